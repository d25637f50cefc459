/** @file job_codec.cpp Decodes client requests and encodes replies. */
#include "platform/job_codec.h"

#include "core/enum_table.h"
#include "platform/json_read.h"
#include "process/scheduler/scheduler_base.h"

#include <charconv>

namespace bulrushloft::platform {

using Json = nlohmann::json;
using scheduler::JobStage;

namespace {

    constexpr Duration defaultClientTimeout { 3'000 }; ///< Used if the request has no valid Deadline-Ms header.
    constexpr Duration maxClientTimeout { 60'000 }; ///< Longer Deadline-Ms values are reduced to it.

    /** Names of the job stages in the platform's API. */
    constexpr std::array<EnumName<JobStage>, 5> platformStageNames { {
        { JobStage::Pending, "pending" },
        { JobStage::Active, "active" },
        { JobStage::Complete, "complete" },
        { JobStage::Failed, "failed" },
        { JobStage::Cancelled, "canceled" },
    } };

    constexpr std::array<EnumName<ClientVerb>, 3> verbMethods { {
        { ClientVerb::Submit, "POST" },
        { ClientVerb::Query, "GET" },
        { ClientVerb::Cancel, "DELETE" },
    } };

    std::uint32_t readCount(const Json& row, const char* field, std::int64_t fallback)
    {
        const std::int64_t value = readInt(row, field, fallback);
        if (value < 0 || value > UINT32_MAX)
            throw std::out_of_range(std::string(field) + " is out of range");
        return static_cast<std::uint32_t>(value);
    }

    StepPlan decodeStep(const Json& row)
    {
        if (!row.is_object())
            throw std::invalid_argument("the list of steps has an entry that is not an object");
        StepPlan step { .m_count = readCount(row, "count", 0),
            .m_size = { .m_cpuMilli = readInt(row, "cpu"), .m_memoryMb = readInt(row, "mem_mb"), .m_gpus = readInt(row, "gpu") },
            .m_estimatedRunTime = { readInt(row, "estimated_ms") },
            .m_predecessors = {},
            .m_isGang = readBool(row, "gang"),
            .m_isRackLocal = readBool(row, "rack_local"),
            .m_isCheckpointing = readBool(row, "checkpointing"),
            .m_isSpeculative = readBool(row, "speculative"),
            .m_isLongRunning = readBool(row, "long_running"),
            .m_isBestEffort = readBool(row, "fills"),
            .m_label = readString(row, "constraints"),
            .m_dataRack = readString(row, "affinity"),
            .m_perWorkerLimit = readCount(row, "anti_affinity", 0),
            .m_image = readString(row, "image"),
            .m_tailLatencyTarget = { readInt(row, "target_ms") },
            .m_unavailableLimit = readCount(row, "max_unavailable", 0) };
        if (const auto after = row.find("after"); after != row.end())
            step.m_predecessors = after->get<std::vector<std::uint32_t>>();
        return step;
    }

    HttpResponse makeJsonResponse(unsigned status, const Json& body)
    {
        return { .m_status = status, .m_headers = { { "Content-Type", "application/json" } }, .m_body = makeBody(body.dump()) };
    }

    std::string hostWithoutPort(std::string_view host)
    {
        return std::string(host.substr(0, host.find(':')));
    }

} // namespace

Expected<JobPlan> decodeJobBody(const std::string& body)
{
    try {
        const Json root = Json::parse(body);
        JobPlan plan;
        plan.m_payload = readString(root, "spec");
        for (const Json& row : root.at("steps").get_ref<const Json::array_t&>())
            plan.m_steps.push_back(decodeStep(row));
        plan.m_occurrenceCount = readCount(root, "repeat_count", 0);
        plan.m_firstStart = { readInt(root, "start_at_ms") };
        plan.m_period = { readInt(root, "period_ms") };
        return plan;
    } catch (const std::exception&) {
        return fail(ErrorKind::InvalidInput, "the request body is not a valid job", "send a JSON object with the field spec and a list named steps, in which no number is negative");
    }
}

ClientCall decodeClientCall(const HttpRequest& request, TimePoint now)
{
    ClientCall call { .m_verb = findValue(verbMethods, request.m_method).value_or(ClientVerb::Unknown),
        .m_host = hostWithoutPort(findHeader(request.m_headers, "Host")),
        .m_path = request.m_target.substr(0, request.m_target.find('?')),
        .m_body = std::string(viewOf(request.m_body)),
        .m_key = std::string(findHeader(request.m_headers, "Api-Key")),
        .m_arrivedAt = now,
        .m_deadline = now + defaultClientTimeout };
    const std::string_view timeoutText = findHeader(request.m_headers, "Deadline-Ms");
    std::int64_t timeoutMs = 0;
    const auto parsed = std::from_chars(timeoutText.data(), timeoutText.data() + timeoutText.size(), timeoutMs);
    if (parsed.ec == std::errc() && timeoutMs > 0)
        call.m_deadline = now + std::min(Duration { timeoutMs }, maxClientTimeout);
    return call;
}

HttpResponse encodeClientReply(const ClientReply& reply)
{
    HttpResponse response;
    switch (reply.m_status) {
    case ClientStatus::Accepted:
    case ClientStatus::Cancelled:
        return makeJsonResponse(200, Json::object());
    case ClientStatus::Known:
        return makeJsonResponse(200, { { "state", findName(platformStageNames, static_cast<JobStage>(reply.m_stage)) } });
    case ClientStatus::Counted:
        return makeJsonResponse(200, { { "pending_count", reply.m_count } });
    case ClientStatus::NoSuchQueue:
        return makeJsonResponse(404, { { "error", "no queue has this host and path; check them against the routes of the configuration" } });
    case ClientStatus::NoSuchJob:
        return makeJsonResponse(410, { { "error", "no job with this id has been accepted; submit the job" } });
    case ClientStatus::Invalid:
        return makeJsonResponse(400, { { "error", reply.m_text } });
    case ClientStatus::Unknown:
        return makeJsonResponse(504, { { "error", "the request may or may not have been carried out; retry with the same id" } });
    case ClientStatus::UnknownKey:
        return makeJsonResponse(401, { { "error", "the request has no key of a customer; send a valid key in the header Api-Key" } });
    case ClientStatus::OverLimit:
        response = makeJsonResponse(429, { { "error", "the request was not carried out, as the customer is over its share or limit; retry after the time in Retry-After" } });
        break;
    case ClientStatus::NotDone:
        response = makeJsonResponse(503, { { "error", "the request was not carried out; retry after the time in Retry-After" } });
        break;
    }
    const std::int64_t seconds = std::max<std::int64_t>(1, (reply.m_retryAfter.m_ms + 999) / 1'000);
    response.m_headers.push_back({ "Retry-After", std::to_string(seconds) });
    return response;
}

} // namespace bulrushloft::platform
