/** @file peer_codec.cpp Messages between daemons as CBOR arrays of two items: the index of the variant alternative and its content. */
#include "connection/peer_codec.h"

#include "connection/enum_codec.h"
#include "connection/member_codec.h"
#include "connection/order_codec.h"
#include "core/cbor.h"

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    Json encodeBytes(const std::string& bytes)
    {
        return Json::binary({ bytes.begin(), bytes.end() });
    }

    std::string decodeBytes(const Json& value)
    {
        const auto& bytes = value.get_binary();
        return { bytes.begin(), bytes.end() };
    }

    std::uint8_t decodeStage(const Json& value)
    {
        if (value.get<std::uint64_t>() >= jobStageCount)
            throw std::out_of_range("unknown stage of a job");
        return value;
    }

    Json begunTermsToJson(const std::vector<BegunTermAge>& terms)
    {
        Json rows = Json::array();
        for (const BegunTermAge& term : terms)
            rows.push_back(Json::array({ term.m_token, term.m_knownFor.m_ms }));
        return rows;
    }

    /** @return The terms in an element of a row; none if it is missing, as in messages of daemons of earlier releases. */
    std::vector<BegunTermAge> begunTermsFromJson(const Json& row, std::size_t index)
    {
        std::vector<BegunTermAge> terms;
        if (row.size() <= index)
            return terms;
        for (const Json& term : row.at(index))
            terms.push_back({ .m_token = term.at(0), .m_knownFor = { term.at(1).get<std::int64_t>() } });
        return terms;
    }

    Json encode(const PeerHeartbeat& message)
    {
        return Json::array({ memberToJson(message.m_from), message.m_leader.m_token, memberToJson(message.m_leader.m_member), message.m_configVersion, message.m_membersVersion, message.m_isStoreReached, begunTermsToJson(message.m_begunTerms) });
    }

    Json encode(const PeerJobQuery& message) { return Json::array({ message.m_job }); }
    Json encode(const PeerPendingJobsQuery& message) { return Json::array({ message.m_queue }); }
    Json encode(const PeerTakeOver& message) { return Json::array({ message.m_token }); }
    Json encode(const PeerSubmit& message) { return Json::array({ encodeBytes(message.m_plan) }); }
    Json encode(const PeerCancel& message) { return Json::array({ message.m_job, message.m_isStored, message.m_patience.m_ms }); }

    Json encode(const PeerAppend& message)
    {
        Json records = Json::array();
        for (const KeyedRecord& record : message.m_append.m_records)
            records.push_back(Json::array({ record.m_key, encodeBytes(record.m_value) }));
        return Json::array({ message.m_append.m_partition.m_topic, message.m_append.m_partition.m_partition, std::move(records), message.m_timeout.m_ms });
    }

    Json encode(const PeerOrders& message)
    {
        Json orders = Json::array();
        for (const RelayedOrder& order : message.m_orders)
            orders.push_back(orderToJson(order));
        return Json::array({ memberToJson(message.m_from), std::move(orders) });
    }

    Json encode(const PeerReports& message)
    {
        Json reports = Json::array();
        for (const OrderReport& report : message.m_reports)
            reports.push_back(reportToJson(report));
        return Json::array({ message.m_token, std::move(reports) });
    }

    Json encode(const PeerApprovalRequest& message) { return Json::array({ taskNameToJson(message.m_step), message.m_workers }); }

    Json encode(const PeerHeartbeatAnswer& reply)
    {
        Json members = Json::array();
        for (const PeerMember& member : reply.m_members)
            members.push_back(memberToJson(member));
        Json row = Json::array({ memberToJson(reply.m_from), reply.m_leader.m_token, memberToJson(reply.m_leader.m_member), reply.m_isLeading, reply.m_isLeaving, reply.m_isStoreReached,
            reply.m_configVersion, reply.m_membersVersion, std::move(members), reply.m_leaderAnswerAge ? Json(reply.m_leaderAnswerAge->m_ms) : Json(), begunTermsToJson(reply.m_begunTerms) });
        if (reply.m_configAge)
            row.push_back(reply.m_configAge->m_ms);
        return row;
    }

    Json encode(const PeerQueryAnswer& reply) { return Json::array({ static_cast<int>(reply.m_status), reply.m_stage, reply.m_count }); }

    Json encode(const PeerAppendAnswer& reply)
    {
        return Json::array({ static_cast<int>(reply.m_answer.m_status), reply.m_answer.m_offset, reply.m_answer.m_end, reply.m_answer.m_reason, reply.m_latency.m_ms });
    }

    Json encode(const PeerApprovalAnswer& reply)
    {
        Json rows = Json::array();
        for (const Approval& approval : reply.m_approvals)
            rows.push_back(Json::array({ approval.m_worker, approval.m_ticket }));
        return Json::array({ reply.m_isAnswered, std::move(rows) });
    }

    Json encode(const PeerConfigRequest& message) { return Json::array({ message.m_newerThan }); }
    Json encode(const PeerConfigAnswer& reply) { return Json::array({ encodeBytes(reply.m_text) }); }
    Json encode(const PeerAck& reply) { return Json::array({ reply.m_isAccepted }); }

    Json encode(const PeerWriteAnswer& reply)
    {
        Json row = Json::array({ static_cast<int>(reply.m_outcome) });
        if (reply.m_retryAfter.m_ms > 0)
            row.push_back(reply.m_retryAfter.m_ms);
        return row;
    }

    PeerMessage decodeMessage(std::size_t type, const Json& row)
    {
        switch (type) {
        case 0:
            return PeerHeartbeat { .m_from = memberFromJson(row.at(0)), .m_leader = { .m_token = row.at(1), .m_member = memberFromJson(row.at(2)) }, .m_configVersion = row.at(3), .m_membersVersion = row.at(4), .m_isStoreReached = row.at(5), .m_begunTerms = begunTermsFromJson(row, 6) };
        case 1:
            return PeerJobQuery { .m_job = row.at(0) };
        case 2:
            return PeerPendingJobsQuery { .m_queue = row.at(0) };
        case 3: {
            PeerAppend message { .m_append = { .m_partition = { .m_topic = row.at(0), .m_partition = row.at(1) }, .m_records = {}, .m_writer = {}, .m_expectedEnd = {} } };
            message.m_timeout = { row.at(3) };
            for (const Json& record : row.at(2))
                message.m_append.m_records.push_back({ .m_key = record.at(0), .m_value = decodeBytes(record.at(1)) });
            return message;
        }
        case 4:
            return PeerApprovalRequest { .m_step = taskNameFromJson(row.at(0)), .m_workers = row.at(1) };
        case 5:
            return PeerTakeOver { .m_token = row.at(0) };
        case 6:
            return PeerSubmit { .m_plan = decodeBytes(row.at(0)) };
        case 7: {
            PeerCancel message { .m_job = row.at(0) };
            constexpr std::size_t completeRow = 3; // Daemons of earlier releases send the job only.
            if (row.size() < completeRow)
                return message;
            message.m_isStored = row.at(1);
            message.m_patience = { row.at(2).get<std::int64_t>() };
            return message;
        }
        case 8: {
            PeerOrders message { .m_from = memberFromJson(row.at(0)), .m_orders = {} };
            for (const Json& order : row.at(1))
                message.m_orders.push_back(orderFromJson(order));
            return message;
        }
        case 9: {
            PeerReports message { .m_token = row.at(0), .m_reports = {} };
            for (const Json& report : row.at(1))
                message.m_reports.push_back(reportFromJson(report));
            return message;
        }
        case 10:
            return PeerConfigRequest { .m_newerThan = row.at(0) };
        default:
            throw std::out_of_range("unknown type of message");
        }
    }

    PeerReply decodeReply(std::size_t type, const Json& row)
    {
        switch (type) {
        case 0: {
            PeerHeartbeatAnswer reply { .m_from = memberFromJson(row.at(0)), .m_leader = { .m_token = row.at(1), .m_member = memberFromJson(row.at(2)) }, .m_isLeading = row.at(3), .m_isLeaving = row.at(4), .m_isStoreReached = row.at(5), .m_configVersion = row.at(6), .m_membersVersion = row.at(7), .m_members = {}, .m_begunTerms = begunTermsFromJson(row, 10) };
            for (const Json& member : row.at(8))
                reply.m_members.push_back(memberFromJson(member));
            if (!row.at(9).is_null())
                reply.m_leaderAnswerAge = Duration { row.at(9).get<std::int64_t>() };
            constexpr std::size_t configAgeIndex = 11;
            if (row.size() > configAgeIndex)
                reply.m_configAge = Duration { row.at(configAgeIndex).get<std::int64_t>() };
            return reply;
        }
        case 1:
            return PeerQueryAnswer { .m_status = decodeEnum(row.at(0), QueryStatus::NotLeading), .m_stage = decodeStage(row.at(1)), .m_count = row.at(2) };
        case 2:
            return PeerAppendAnswer { .m_answer = { .m_status = decodeEnum(row.at(0), StoreStatus::Expired), .m_offset = row.at(1), .m_end = row.at(2), .m_reason = row.at(3) }, .m_latency = { row.at(4) } };
        case 3: {
            PeerApprovalAnswer reply { .m_isAnswered = row.at(0), .m_approvals = {} };
            for (const Json& approval : row.at(1))
                reply.m_approvals.push_back({ .m_worker = approval.at(0), .m_ticket = approval.at(1) });
            return reply;
        }
        case 4:
            return PeerAck { .m_isAccepted = row.at(0) };
        case 5:
            return PeerWriteAnswer { .m_outcome = decodeEnum(row.at(0), WriteOutcome::OverLimit), .m_retryAfter = { row.size() > 1 ? row.at(1).get<std::int64_t>() : 0 } };
        case 6:
            return PeerConfigAnswer { .m_text = decodeBytes(row.at(0)) };
        default:
            throw std::out_of_range("unknown type of reply");
        }
    }

    template <typename Variant>
    std::string encodeVariant(const Variant& value)
    {
        Json row = std::visit([](const auto& alternative) { return encode(alternative); }, value);
        const std::vector<std::uint8_t> bytes = Json::to_cbor(Json::array({ value.index(), std::move(row) }));
        return { bytes.begin(), bytes.end() };
    }

    template <typename Decode>
    auto decodeVariant(std::string_view bytes, Decode decode) -> Expected<decltype(decode(std::size_t {}, std::declval<const Json&>()))>
    {
        try {
            const Json root = decodeCbor(bytes);
            return decode(root.at(0).template get<std::size_t>(), root.at(1));
        } catch (const std::exception& error) {
            return fail(ErrorKind::InvalidInput, std::string("malformed message from a peer: ") + error.what(), "run the same version of the daemon on all VMs");
        }
    }

} // namespace

std::string encodePeerMessage(const PeerMessage& message) { return encodeVariant(message); }
Expected<PeerMessage> decodePeerMessage(std::string_view bytes) { return decodeVariant(bytes, decodeMessage); }
std::string encodePeerReply(const PeerReply& reply) { return encodeVariant(reply); }
Expected<PeerReply> decodePeerReply(std::string_view bytes) { return decodeVariant(bytes, decodeReply); }

} // namespace bulrushloft
