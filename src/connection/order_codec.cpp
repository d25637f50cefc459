/** @file order_codec.cpp Conversion of orders and reports to and from JSON arrays. */
#include "connection/order_codec.h"

#include "connection/enum_codec.h"

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    Json encode(const StartOrder& order) { return Json::array({ taskNameToJson(order.m_task), order.m_attempt, order.m_payload, order.m_leaseUntilMs, order.m_checkpoint, order.m_ticket }); }
    Json encode(const StopOrder& order) { return Json::array({ taskNameToJson(order.m_task), order.m_attempt }); }
    Json encode(const SyncOrder& order) { return Json::array({ order.m_leaseUntilMs ? Json(*order.m_leaseUntilMs) : Json(), order.m_ackedEndNumber, order.m_wait.m_ms }); }

    std::variant<StartOrder, StopOrder, SyncOrder> decodeOrder(std::size_t type, const Json& row)
    {
        switch (type) {
        case 0:
            return StartOrder { .m_task = taskNameFromJson(row.at(0)), .m_attempt = row.at(1), .m_payload = row.at(2), .m_leaseUntilMs = row.at(3), .m_checkpoint = row.at(4), .m_ticket = row.at(5) };
        case 1:
            return StopOrder { .m_task = taskNameFromJson(row.at(0)), .m_attempt = row.at(1) };
        case 2:
            return SyncOrder { .m_leaseUntilMs = row.at(0).is_null() ? std::nullopt : std::optional(row.at(0).get<std::int64_t>()), .m_ackedEndNumber = row.at(1), .m_wait = { row.at(2).get<std::int64_t>() } };
        default:
            throw std::out_of_range("unknown type of order");
        }
    }

} // namespace

Json taskNameToJson(const TaskName& name)
{
    return Json::array({ name.m_job, name.m_occurrence, name.m_step, name.m_index });
}

TaskName taskNameFromJson(const Json& row)
{
    return { .m_job = row.at(0), .m_occurrence = row.at(1), .m_step = row.at(2), .m_index = row.at(3) };
}

Json orderToJson(const RelayedOrder& order)
{
    Json content = std::visit([](const auto& alternative) { return encode(alternative); }, order.m_order);
    return Json::array({ order.m_number, order.m_to.m_worker, order.m_to.m_address.m_host, order.m_to.m_address.m_port, order.m_to.m_token, order.m_timeout.m_ms, order.m_order.index(), std::move(content) });
}

RelayedOrder orderFromJson(const Json& row)
{
    return { .m_number = row.at(0), .m_to = { .m_worker = row.at(1), .m_address = { .m_host = row.at(2), .m_port = row.at(3) }, .m_token = row.at(4) }, .m_timeout = { row.at(5).get<std::int64_t>() }, .m_order = decodeOrder(row.at(6), row.at(7)) };
}

Json reportToJson(const OrderReport& report)
{
    Json running = Json::array();
    for (const RunningAttempt& attempt : report.m_sync.m_running)
        running.push_back(Json::array({ taskNameToJson(attempt.m_task), attempt.m_attempt, attempt.m_checkpoint, attempt.m_percent, attempt.m_loadMetric }));
    Json ended = Json::array();
    for (const EndedAttempt& attempt : report.m_sync.m_ended)
        ended.push_back(Json::array({ attempt.m_number, taskNameToJson(attempt.m_task), attempt.m_attempt, static_cast<int>(attempt.m_end), attempt.m_checkpoint }));
    return Json::array({ report.m_number, static_cast<int>(report.m_status), report.m_sync.m_clockMs, report.m_sync.m_processStartMs, std::move(running), std::move(ended) });
}

OrderReport reportFromJson(const Json& row)
{
    OrderReport report { .m_number = row.at(0), .m_status = decodeEnum(row.at(1), OrderStatus::Unreported), .m_sync = { .m_clockMs = row.at(2), .m_processStartMs = row.at(3), .m_running = {}, .m_ended = {} } };
    for (const Json& attempt : row.at(4))
        report.m_sync.m_running.push_back({ .m_task = taskNameFromJson(attempt.at(0)), .m_attempt = attempt.at(1), .m_checkpoint = attempt.at(2), .m_percent = attempt.at(3), .m_loadMetric = attempt.at(4) });
    for (const Json& attempt : row.at(5))
        report.m_sync.m_ended.push_back({ .m_number = attempt.at(0), .m_task = taskNameFromJson(attempt.at(1)), .m_attempt = attempt.at(2), .m_end = decodeEnum(attempt.at(3), AttemptEnd::GangIncomplete), .m_checkpoint = attempt.at(4) });
    return report;
}

} // namespace bulrushloft
