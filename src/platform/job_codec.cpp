/** @file job_codec.cpp Decodes clients' calls once, encodes replies. */
#include "platform/job_codec.h"

#include "core/enum_table.h"
#include "platform/json_read.h"
#include "process/scheduler/scheduler_base.h"

#include <charconv>

namespace bulrushloft::platform {

using Json = nlohmann::json;
using scheduler::JobStage;

namespace {

    constexpr Duration usualDeadline { 3'000 };
    constexpr Duration longestDeadline { 60'000 };

    /** The platform's words for the stages of a job. */
    constexpr std::array<EnumName<JobStage>, 5> stageWords { {
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

    StepPlan stepFrom(const Json& row)
    {
        if (!row.is_object())
            throw std::invalid_argument("a step is not an object");
        StepPlan step { .m_count = readCount(row, "count", 0),
            .m_size = { .m_cpuMilli = readInt(row, "cpu"), .m_memoryMb = readInt(row, "mem_mb"), .m_gpus = readInt(row, "gpu") },
            .m_estimatedRunTime = { readInt(row, "estimated_ms") },
            .m_after = {},
            .m_isGang = readBool(row, "gang"),
            .m_isRackLocal = readBool(row, "rack_local"),
            .m_isCheckpointing = readBool(row, "checkpointing"),
            .m_isSpeculative = readBool(row, "speculative"),
            .m_isLongRunning = readBool(row, "long_running"),
            .m_isBestEffort = readBool(row, "fills"),
            .m_label = readText(row, "constraints"),
            .m_dataRack = readText(row, "affinity"),
            .m_perWorkerLimit = readCount(row, "anti_affinity", 0),
            .m_image = readText(row, "image"),
            .m_tailLatencyTarget = { readInt(row, "target_ms") },
            .m_unavailableLimit = readCount(row, "max_unavailable", 0) };
        if (const auto after = row.find("after"); after != row.end())
            step.m_after = after->get<std::vector<std::uint32_t>>();
        return step;
    }

    HttpResponse respond(unsigned status, const Json& body)
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
        const Json whole = Json::parse(body);
        JobPlan plan;
        plan.m_payload = readText(whole, "spec");
        for (const Json& row : whole.at("steps").get_ref<const Json::array_t&>())
            plan.m_steps.push_back(stepFrom(row));
        plan.m_occurrenceCount = readCount(whole, "repeat_count", 0);
        plan.m_firstStart = { readInt(whole, "start_at_ms") };
        plan.m_period = { readInt(whole, "period_ms") };
        return plan;
    } catch (const std::exception&) {
        return fail(ErrorKind::InvalidInput, "the body is not a job", "send a JSON object with spec and a list of steps, whose numbers are not negative");
    }
}

ClientCall decodeClientCall(const HttpRequest& request, TimePoint now)
{
    ClientCall call { .m_verb = findValue(verbMethods, request.m_method).value_or(ClientVerb::Unknown),
        .m_host = hostWithoutPort(findHeader(request.m_headers, "Host")),
        .m_path = request.m_target.substr(0, request.m_target.find('?')),
        .m_body = std::string(viewOf(request.m_body)),
        .m_arrivedAt = now,
        .m_deadline = now + usualDeadline };
    const std::string_view text = findHeader(request.m_headers, "Deadline-Ms");
    std::int64_t wait = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), wait);
    if (parsed.ec == std::errc() && wait > 0)
        call.m_deadline = now + std::min(Duration { wait }, longestDeadline);
    return call;
}

HttpResponse encodeClientReply(const ClientReply& reply)
{
    HttpResponse response;
    switch (reply.m_status) {
    case ClientStatus::Accepted:
    case ClientStatus::Cancelled:
        return respond(200, Json::object());
    case ClientStatus::Known:
        return respond(200, { { "state", findName(stageWords, static_cast<JobStage>(reply.m_stage)) } });
    case ClientStatus::Counted:
        return respond(200, { { "pending_count", reply.m_count } });
    case ClientStatus::NoSuchQueue:
        return respond(404, { { "error", "no queue has this host and path; look at the configuration" } });
    case ClientStatus::NoSuchJob:
        return respond(410, { { "error", "no such job has been accepted; submit it" } });
    case ClientStatus::Invalid:
        return respond(400, { { "error", reply.m_text } });
    case ClientStatus::Unknown:
        return respond(504, { { "error", "it is not known whether this was done; send it again under the same id" } });
    case ClientStatus::NotDone:
        break;
    }
    response = respond(503, { { "error", "not done; come back after the time that Retry-After names" } });
    const std::int64_t seconds = std::max<std::int64_t>(1, (reply.m_retryAfter.m_ms + 999) / 1'000);
    response.m_headers.push_back({ "Retry-After", std::to_string(seconds) });
    return response;
}

} // namespace bulrushloft::platform
