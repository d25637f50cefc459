/** @file runner_codec.cpp Encoding of the runner protocol over HTTP. */
#include "connection/runner_codec.h"

#include "connection/json_func.h"
#include "core/hash_func.h"
#include "table/runner_table.h"

#include <charconv>

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    constexpr std::string_view dispatchHeader = "Bulrush-Dispatch";
    constexpr std::string_view digestHeader = "Bulrush-Digest";
    constexpr std::string_view tokenHeader = "Bulrush-Token";
    constexpr std::string_view leavingHeader = "Bulrush-Leaving";
    constexpr std::string_view targetHeader = "Bulrush-Target";

    /** @return The value of the token header: epoch and generation of the token, boot id, time limit and validity, separated by dots. */
    std::string formatTokenHeader(const DispatchCall& call)
    {
        return std::to_string(call.m_token.m_epoch.m_value) + "." + std::to_string(call.m_token.m_generation) + "." + std::to_string(call.m_boot)
            + "." + std::to_string(call.m_timeLimit.m_ms) + "." + std::to_string(call.m_validUntil.m_ms);
    }

    bool parseTokenHeader(std::string_view text, DispatchCall& call)
    {
        std::array<std::uint64_t, 5> numbers {};
        const char* position = text.data();
        const char* const end = text.data() + text.size();
        for (std::size_t i = 0; i < numbers.size(); ++i) {
            const auto parsed = std::from_chars(position, end, numbers[i]);
            const bool isLast = i + 1 == numbers.size();
            if (parsed.ec != std::errc {} || (isLast ? parsed.ptr != end : (parsed.ptr == end || *parsed.ptr != '.')))
                return false;
            position = parsed.ptr + 1;
        }
        call.m_token = { .m_epoch = { numbers[0] }, .m_generation = static_cast<std::uint32_t>(numbers[1]) };
        call.m_boot = numbers[2];
        call.m_timeLimit = { static_cast<std::int64_t>(numbers[3]) };
        call.m_validUntil = { static_cast<std::int64_t>(numbers[4]) };
        return true;
    }

} // namespace

std::string_view nameOf(DispatchState state)
{
    return findName(dispatchStateNames, state);
}

std::string digestOf(std::string_view body)
{
    return std::to_string(stableHash(body));
}

std::string encodeCall(const AdoptRunnerCall& call)
{
    return dumpJson({ { "token", toJson(call.m_token) }, { "ask", call.m_queriedIds } });
}

Expected<AdoptRunnerCall> decodeAdoptRunnerCall(std::string_view text)
{
    return readJson(text, "the adoption call to a runner", [](const Json& root) {
        return AdoptRunnerCall { .m_token = fencingTokenFromJson(root.at("token")), .m_queriedIds = root.at("ask") };
    });
}

std::string encodeCall(const ProbeRunnerCall& call)
{
    return dumpJson({ { "token", toJson(call.m_token) }, { "ask", call.m_queriedIds }, { "cancel", call.m_cancelledIds } });
}

Expected<ProbeRunnerCall> decodeProbeRunnerCall(std::string_view text)
{
    return readJson(text, "the probe of a runner", [](const Json& root) {
        return ProbeRunnerCall { .m_token = fencingTokenFromJson(root.at("token")), .m_queriedIds = root.at("ask"), .m_cancelledIds = root.at("cancel") };
    });
}

std::string encodeReport(const RunnerReport& report)
{
    Json states = Json::array();
    for (const DispatchReport& state : report.m_states)
        states.push_back(Json::array({ state.m_dispatch, nameOf(state.m_state) }));
    return dumpJson({ { "boot", report.m_boot }, { "clock_ms", report.m_clock.m_ms }, { "slots", report.m_slots },
        { "leaving", report.m_isLeaving }, { "in_flight", report.m_inFlight }, { "states", std::move(states) } });
}

Expected<RunnerReport> decodeRunnerReport(std::string_view text)
{
    return readJson(text, "a runner's report", [](const Json& root) {
        RunnerReport report;
        report.m_boot = root.at("boot");
        report.m_clock.m_ms = root.at("clock_ms");
        report.m_slots = root.at("slots");
        report.m_isLeaving = root.at("leaving");
        report.m_inFlight = root.at("in_flight").get<std::vector<std::string>>();
        for (const Json& row : root.at("states")) {
            const auto state = findValue(dispatchStateNames, row.at(1).get<std::string>());
            if (!state)
                throw std::out_of_range("unknown dispatch state " + row.at(1).dump());
            report.m_states.push_back({ .m_dispatch = row.at(0), .m_state = *state });
        }
        return report;
    });
}

HttpRequest encodeDispatch(const DispatchCall& call)
{
    HttpRequest request { .m_method = "POST", .m_target = std::string(dispatchPath), .m_headers = {}, .m_body = call.m_body };
    request.m_headers.push_back({ std::string(dispatchHeader), call.m_dispatch });
    request.m_headers.push_back({ std::string(tokenHeader), formatTokenHeader(call) });
    request.m_headers.push_back({ std::string(targetHeader), call.m_target });
    request.m_headers.push_back({ std::string(digestHeader), digestOf(viewOf(call.m_body)) });
    return request;
}

Expected<DispatchCall> decodeDispatch(const HttpRequest& request)
{
    DispatchCall call;
    call.m_dispatch = findHeader(request.m_headers, dispatchHeader);
    call.m_target = findHeader(request.m_headers, targetHeader);
    call.m_body = request.m_body;
    const bool hasValidToken = parseTokenHeader(findHeader(request.m_headers, tokenHeader), call);
    if (call.m_dispatch.empty() || !hasValidToken)
        return fail(ErrorKind::InvalidInput, "the dispatch has no id, or its token is missing or malformed", "send valid Bulrush-Dispatch and Bulrush-Token headers");
    if (findHeader(request.m_headers, digestHeader) != digestOf(viewOf(call.m_body)))
        return fail(ErrorKind::InvalidInput, "the body of dispatch " + call.m_dispatch + " does not match its digest", "retry the dispatch");
    return call;
}

HttpResponse encodeDispatchAnswer(const DispatchAnswer& answer, const std::string& dispatch)
{
    HttpResponse response { .m_status = answer.m_status, .m_headers = {}, .m_body = answer.m_body };
    response.m_headers.push_back({ std::string(dispatchHeader), dispatch });
    response.m_headers.push_back({ std::string(digestHeader), digestOf(viewOf(answer.m_body)) });
    if (answer.m_isLeaving)
        response.m_headers.push_back({ std::string(leavingHeader), "1" });
    return response;
}

Expected<DispatchAnswer> decodeDispatchAnswer(const HttpResponse& response, const std::string& dispatch)
{
    if (findHeader(response.m_headers, dispatchHeader) != dispatch)
        return fail(ErrorKind::BrokenAnswer, "the runner's answer does not belong to dispatch " + dispatch, "check the runner for mixed-up answers");
    if (findHeader(response.m_headers, digestHeader) != digestOf(viewOf(response.m_body)))
        return fail(ErrorKind::BrokenAnswer, "the runner's answer to dispatch " + dispatch + " does not match its digest", "check the network for corrupted or truncated transfers");
    return DispatchAnswer { .m_status = response.m_status, .m_isLeaving = !findHeader(response.m_headers, leavingHeader).empty(), .m_body = response.m_body };
}

} // namespace bulrushloft
