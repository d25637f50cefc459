/** @file caller_codec.cpp Encodes and decodes the callers' API over HTTP. */
#include "connection/caller_codec.h"

#include "connection/caller_json.h"
#include "connection/json_func.h"
#include "connection/runner_codec.h"
#include "request/job_func.h"
#include "table/caller_table.h"
#include "table/error_table.h"

#include <algorithm>
#include <charconv>

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    constexpr Duration callTimeout { 12'000 }; ///< Time limit of a call that carries no deadline; a status call adds its wait.
    constexpr std::int64_t maxDeadlineMs = 60'000;
    constexpr std::int64_t maxWaitMs = 60'000;
    constexpr std::size_t maxHeaderValueBytes = 200;

    std::string percentDecode(std::string_view text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            unsigned value = 0;
            const bool isEscape = text[i] == '%' && i + 2 < text.size();
            if (isEscape && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ec == std::errc {}) {
                decoded += static_cast<char>(value);
                i += 2;
            } else {
                decoded += text[i] == '+' ? ' ' : text[i];
            }
        }
        return decoded;
    }

    std::string percentEncode(std::string_view text)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        std::string encoded;
        for (const unsigned char c : text) {
            if (std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' || c == '~') {
                encoded += static_cast<char>(c);
            } else {
                encoded += '%';
                encoded += digits[c >> 4];
                encoded += digits[c & 15];
            }
        }
        return encoded;
    }

    /** A request target split into path and query. */
    struct Target {
        std::vector<std::string> m_segments; ///< Path segments, decoded.
        Json m_query = Json::object(); ///< Decoded query parameters; all values are strings.
    };

    Target parseTarget(std::string_view target)
    {
        Target parsed;
        const std::size_t queryMark = std::min(target.find('?'), target.size());
        std::size_t start = 1;
        while (start < queryMark) {
            const std::size_t slash = std::min(target.find('/', start), queryMark);
            parsed.m_segments.push_back(percentDecode(target.substr(start, slash - start)));
            start = slash + 1;
        }
        start = queryMark + 1;
        while (start < target.size()) {
            const std::size_t end = std::min(target.find('&', start), target.size());
            const std::string_view item = target.substr(start, end - start);
            const std::size_t equals = std::min(item.find('='), item.size());
            parsed.m_query[percentDecode(item.substr(0, equals))] = equals < item.size() ? percentDecode(item.substr(equals + 1)) : std::string();
            start = end + 1;
        }
        return parsed;
    }

    std::int64_t parseNumber(std::string_view text, std::string_view name, std::int64_t low, std::int64_t high)
    {
        std::int64_t value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size() || value < low || value > high)
            throw std::invalid_argument(std::string(name) + " is \"" + std::string(text) + "\"; expected an integer from " + std::to_string(low) + " to " + std::to_string(high));
        return value;
    }

    std::string requireHeader(const HttpRequest& request, std::string_view name, std::string_view hint)
    {
        const std::string_view value = findHeader(request.m_headers, name);
        if (value.empty())
            throw std::invalid_argument("the header " + std::string(name) + " is missing; expected " + std::string(hint));
        if (value.size() > maxHeaderValueBytes)
            throw std::invalid_argument("the header " + std::string(name) + " has " + std::to_string(value.size()) + " bytes; the limit is " + std::to_string(maxHeaderValueBytes));
        return std::string(value);
    }

    std::int64_t readNumberHeader(const HttpRequest& request, std::string_view name, std::int64_t fallback, std::int64_t low, std::int64_t high)
    {
        const std::string_view value = findHeader(request.m_headers, name);
        return value.empty() ? fallback : parseNumber(value, "the header " + std::string(name), low, high);
    }

    std::uint32_t readAttempt(const HttpRequest& request)
    {
        return static_cast<std::uint32_t>(readNumberHeader(request, "Bulrush-Attempt", 1, 1, 1'000'000));
    }

    RunCall readRun(const HttpRequest& request, const std::string& service)
    {
        RunCall call;
        call.m_service = service;
        call.m_target = findHeader(request.m_headers, "Bulrush-Target");
        call.m_team = requireHeader(request, "Bulrush-Team", "the team to charge");
        call.m_workClass = findHeader(request.m_headers, "Bulrush-Class");
        if (call.m_workClass.empty())
            call.m_workClass = "standard";
        call.m_key = requireHeader(request, "Bulrush-Key", "a key that is unique to the request and the same in all its retries");
        const std::string idempotent = requireHeader(request, "Bulrush-Idempotent", "true or false");
        if (idempotent != "true" && idempotent != "false")
            throw std::invalid_argument("the header Bulrush-Idempotent is \"" + idempotent + "\"; expected true or false");
        call.m_isIdempotent = idempotent == "true";
        call.m_attempt = readAttempt(request);
        const std::int64_t age = readNumberHeader(request, "Bulrush-Age-Ms", -1, 0, INT64_MAX / 4);
        if (age >= 0)
            call.m_age = Duration { age };
        call.m_deadline.m_ms = readNumberHeader(request, "Bulrush-Deadline-Ms", call.m_deadline.m_ms, 1, maxDeadlineMs);
        call.m_body = request.m_body;
        return call;
    }

    JobId requireJobId(const std::string& text)
    {
        auto id = parseJobId(text);
        if (!id)
            throw std::invalid_argument(describe(id.error()));
        return *id;
    }

    std::int64_t readQueryNumber(JsonFields& fields, const char* name, std::int64_t fallback, std::int64_t high)
    {
        const std::string value = fields.text(name);
        return value.empty() ? fallback : parseNumber(value, name, 0, high);
    }

    StatusCall readStatus(const Target& target)
    {
        JsonFields query(target.m_query);
        StatusCall call { .m_job = requireJobId(target.m_segments[2]) };
        const std::string until = query.text("until", "now");
        const auto value = findValue(waitUntilNames, until);
        if (!value)
            throw std::invalid_argument("\"until\" is \"" + until + "\"; expected one of: " + listNames(waitUntilNames));
        call.m_until = *value;
        call.m_maxWait.m_ms = readQueryNumber(query, "wait_ms", 0, maxWaitMs);
        query.rejectUnknown();
        return call;
    }

    JobSelector readSelector(JsonFields& fields)
    {
        return { .m_pool = fields.text("pool"), .m_team = fields.text("team"), .m_name = fields.text("name"), .m_state = fields.text("state") };
    }

    ListCall readList(const Target& target)
    {
        JsonFields query(target.m_query);
        ListCall call { .m_shard = target.m_segments[2], .m_selector = readSelector(query) };
        call.m_limit = static_cast<std::uint32_t>(readQueryNumber(query, "limit", 1'000, 100'000));
        query.rejectUnknown();
        return call;
    }

    CancelSelectedCall readCancelSelected(const Target& target, const Json& body)
    {
        JsonFields fields(body);
        CancelSelectedCall call { .m_shard = target.m_segments[2], .m_selector = readSelector(fields) };
        fields.rejectUnknown();
        return call;
    }

    SettingsChangeCall readChange(const Json& body)
    {
        JsonFields fields(body);
        SettingsChangeCall call;
        call.m_change.m_id = fields.text("id");
        call.m_change.m_operator = fields.text("operator");
        call.m_change.m_path = fields.text("path");
        call.m_change.m_baseRevision.m_value = static_cast<std::uint64_t>(fields.integer("base", 0, 0, INT64_MAX));
        call.m_change.m_yaml = fields.text("yaml");
        fields.rejectUnknown();
        if (call.m_change.m_id.empty() || call.m_change.m_operator.empty())
            throw std::invalid_argument("\"id\" or \"operator\" is empty; give each change a unique id and name the operator");
        return call;
    }

    Json parseBody(const HttpRequest& request)
    {
        return Json::parse(viewOf(request.m_body));
    }

    bool isPath(const Target& target, std::initializer_list<std::string_view> pattern)
    {
        return target.m_segments.size() == pattern.size()
            && std::equal(pattern.begin(), pattern.end(), target.m_segments.begin(), [](std::string_view expected, const std::string& part) { return expected == "*" || expected == part; });
    }

    /** One route of the API: method, path and decoder. */
    struct Route {
        std::string_view m_method;
        std::initializer_list<std::string_view> m_path; ///< Path segments; "*" matches any segment.
        CallerCall (*m_read)(const HttpRequest&, const Target&);
    };

    const std::initializer_list<Route> routes = {
        { "POST", { "v1", "services", "*", "run" }, [](const HttpRequest& request, const Target& target) -> CallerCall { return readRun(request, target.m_segments[2]); } },
        { "POST", { "v1", "jobs" }, [](const HttpRequest& request, const Target&) -> CallerCall { return SubmitCall { jobSpecFromJson(parseBody(request)), readAttempt(request) }; } },
        { "GET", { "v1", "jobs", "*" }, [](const HttpRequest&, const Target& target) -> CallerCall { return readStatus(target); } },
        { "POST", { "v1", "jobs", "*", "cancel" }, [](const HttpRequest&, const Target& target) -> CallerCall { return CancelCall { requireJobId(target.m_segments[2]) }; } },
        { "GET", { "v1", "shards", "*", "jobs" }, [](const HttpRequest&, const Target& target) -> CallerCall { return readList(target); } },
        { "POST", { "v1", "shards", "*", "cancel" }, [](const HttpRequest& request, const Target& target) -> CallerCall { return readCancelSelected(target, parseBody(request)); } },
        { "GET", { "v1", "shards", "*", "endpoints" }, [](const HttpRequest&, const Target& target) -> CallerCall { return EndpointsCall { target.m_segments[2] }; } },
        { "GET", { "v1", "settings" }, [](const HttpRequest&, const Target& target) -> CallerCall { JsonFields query(target.m_query); SettingsGetCall call { query.text("path") }; query.rejectUnknown(); return call; } },
        { "POST", { "v1", "settings" }, [](const HttpRequest& request, const Target&) -> CallerCall { return readChange(parseBody(request)); } },
        { "GET", { "v1", "settings", "history" }, [](const HttpRequest&, const Target& target) -> CallerCall { JsonFields query(target.m_query); SettingsHistoryCall call { query.text("path"), static_cast<std::uint32_t>(readQueryNumber(query, "limit", 50, 1'000)) }; query.rejectUnknown(); return call; } },
        { "GET", { "v1", "cell" }, [](const HttpRequest&, const Target&) -> CallerCall { return CellCall {}; } },
    };

    Duration timeoutOf(const CallerCall& call)
    {
        if (const auto* run = std::get_if<RunCall>(&call))
            return run->m_deadline;
        if (const auto* status = std::get_if<StatusCall>(&call))
            return callTimeout + status->m_maxWait;
        return callTimeout;
    }

    HttpResponse jsonResponse(unsigned status, const Json& body)
    {
        return { .m_status = status, .m_headers = { { "Content-Type", "application/json" } }, .m_body = makeBody(dumpJson(body) + "\n") };
    }

    unsigned httpStatusOf(RunOutcome outcome)
    {
        switch (outcome) {
        case RunOutcome::Done:
            return 200;
        case RunOutcome::AnswerLost:
            return 410;
        case RunOutcome::Failed:
            return 422;
        case RunOutcome::NotRun:
            return 503;
        case RunOutcome::Unknown:
            return 504;
        }
        return 500;
    }

    Json errorToJson(const Error& error)
    {
        return { { "kind", nameOf(error.m_kind) }, { "message", error.m_message }, { "remedy", error.m_remedy } };
    }

    Error errorFromJson(const Json& row)
    {
        return { .m_kind = findValue(errorKindNames, row.at("kind").get<std::string>()).value_or(ErrorKind::Internal), .m_message = row.at("message"), .m_remedy = row.at("remedy") };
    }

    HttpResponse encodeAnswer(const RunAnswer& answer)
    {
        const bool hasServiceAnswer = answer.m_serviceStatus != 0;
        HttpResponse response { .m_status = httpStatusOf(answer.m_outcome) };
        response.m_headers.push_back({ "Bulrush-Outcome", std::string(nameOf(answer.m_outcome)) });
        if (!hasServiceAnswer) {
            response.m_headers.push_back({ "Content-Type", "application/json" });
            response.m_body = makeBody(dumpJson({ { "outcome", nameOf(answer.m_outcome) }, { "error", errorToJson(answer.m_error) } }) + "\n");
            return response;
        }
        response.m_headers.push_back({ "Bulrush-Service-Status", std::to_string(answer.m_serviceStatus) });
        response.m_headers.push_back({ "Bulrush-Runner", answer.m_runner });
        response.m_headers.push_back({ "Bulrush-Digest", digestOf(viewOf(answer.m_body)) });
        response.m_body = answer.m_body;
        return response;
    }

    HttpResponse encodeAnswer(const JobView& answer) { return jsonResponse(200, jobViewToJson(answer)); }

    HttpResponse encodeAnswer(const JobListAnswer& answer)
    {
        Json jobs = Json::array();
        for (const JobView& view : answer.m_jobs)
            jobs.push_back(jobViewToJson(view));
        return jsonResponse(200, { { "jobs", std::move(jobs) } });
    }

    HttpResponse encodeAnswer(const CancelSelectedAnswer& answer) { return jsonResponse(200, { { "cancelled", answer.m_count } }); }

    HttpResponse encodeAnswer(const EndpointsAnswer& answer)
    {
        Json endpoints = Json::array();
        for (const EndpointView& view : answer.m_endpoints)
            endpoints.push_back(endpointToJson(view));
        return jsonResponse(200, { { "endpoints", std::move(endpoints) } });
    }

    HttpResponse encodeAnswer(const ErrorAnswer& answer) { return errorResponse(answer.m_error, answer.m_outcome, answer.m_retryAfter); }

    HttpResponse encodeAnswer(const MovedAnswer& answer)
    {
        HttpResponse response = errorResponse({ ErrorKind::Unavailable, "this daemon does not own the shard", "send the call to any daemon without the header Bulrush-Forwarded" }, RunOutcome::NotRun, {});
        response.m_status = 421;
        response.m_headers.push_back({ "Bulrush-Moved", answer.m_mayHaveRun ? "may-have-run" : "not-run" });
        return response;
    }

    HttpResponse encodeAnswer(const SettingsAnswer& answer) { return jsonResponse(200, settingsToJson(answer)); }

    HttpResponse encodeAnswer(const ChangeAnswer& answer)
    {
        const unsigned status = answer.m_record.m_verdict == ChangeVerdict::Accepted ? 200 : (answer.m_record.m_verdict == ChangeVerdict::Conflict ? 409 : 400);
        return jsonResponse(status, { { "change", changeToJson(answer.m_record) }, { "in_force", subtreeToJson(answer.m_inForce) }, { "diff", answer.m_diff } });
    }

    HttpResponse encodeAnswer(const HistoryAnswer& answer)
    {
        Json changes = Json::array();
        for (const ChangeRecord& record : answer.m_changes)
            changes.push_back(changeToJson(record));
        return jsonResponse(200, { { "changes", std::move(changes) } });
    }

    HttpResponse encodeAnswer(const CellAnswer& answer) { return jsonResponse(200, cellToJson(answer)); }

    HttpRequest post(std::string target, const Json& body)
    {
        return { .m_method = "POST", .m_target = std::move(target), .m_headers = { { "Content-Type", "application/json" } }, .m_body = makeBody(dumpJson(body)) };
    }

    HttpRequest get(std::string target) { return { .m_method = "GET", .m_target = std::move(target) }; }

    HttpRequest encodeCall(const RunCall& call)
    {
        HttpRequest request { .m_method = "POST", .m_target = "/v1/services/" + percentEncode(call.m_service) + "/run", .m_headers = {}, .m_body = call.m_body };
        request.m_headers = { { "Bulrush-Target", call.m_target }, { "Bulrush-Team", call.m_team }, { "Bulrush-Class", call.m_workClass }, { "Bulrush-Key", call.m_key },
            { "Bulrush-Idempotent", call.m_isIdempotent ? "true" : "false" }, { "Bulrush-Attempt", std::to_string(call.m_attempt) }, { "Bulrush-Deadline-Ms", std::to_string(std::max<std::int64_t>(call.m_deadline.m_ms, 1)) } };
        if (call.m_age)
            request.m_headers.push_back({ "Bulrush-Age-Ms", std::to_string(call.m_age->m_ms) });
        return request;
    }

    HttpRequest encodeCall(const SubmitCall& call)
    {
        HttpRequest request = post("/v1/jobs", jobSpecToJson(call.m_spec));
        request.m_headers.push_back({ "Bulrush-Attempt", std::to_string(call.m_attempt) });
        return request;
    }

    HttpRequest encodeCall(const StatusCall& call)
    {
        return get("/v1/jobs/" + percentEncode(format(call.m_job)) + "?until=" + std::string(findName(waitUntilNames, call.m_until)) + "&wait_ms=" + std::to_string(call.m_maxWait.m_ms));
    }

    HttpRequest encodeCall(const CancelCall& call) { return post("/v1/jobs/" + percentEncode(format(call.m_job)) + "/cancel", Json::object()); }

    std::string selectorQuery(const JobSelector& selector)
    {
        return "pool=" + percentEncode(selector.m_pool) + "&team=" + percentEncode(selector.m_team) + "&name=" + percentEncode(selector.m_name) + "&state=" + percentEncode(selector.m_state);
    }

    HttpRequest encodeCall(const ListCall& call)
    {
        return get("/v1/shards/" + percentEncode(call.m_shard) + "/jobs?" + selectorQuery(call.m_selector) + "&limit=" + std::to_string(call.m_limit));
    }

    HttpRequest encodeCall(const CancelSelectedCall& call)
    {
        const JobSelector& selector = call.m_selector;
        return post("/v1/shards/" + percentEncode(call.m_shard) + "/cancel", { { "pool", selector.m_pool }, { "team", selector.m_team }, { "name", selector.m_name }, { "state", selector.m_state } });
    }

    HttpRequest encodeCall(const EndpointsCall& call) { return get("/v1/shards/" + percentEncode(call.m_shard) + "/endpoints"); }
    HttpRequest encodeCall(const SettingsGetCall& call) { return get("/v1/settings?path=" + percentEncode(call.m_path)); }

    HttpRequest encodeCall(const SettingsChangeCall& call)
    {
        const SettingsChange& change = call.m_change;
        return post("/v1/settings", { { "id", change.m_id }, { "operator", change.m_operator }, { "path", change.m_path }, { "base", change.m_baseRevision.m_value }, { "yaml", change.m_yaml } });
    }

    HttpRequest encodeCall(const SettingsHistoryCall& call) { return get("/v1/settings/history?path=" + percentEncode(call.m_path) + "&limit=" + std::to_string(call.m_limit)); }
    HttpRequest encodeCall(const CellCall&) { return get("/v1/cell"); }

    CallerAnswer decodeRun(const HttpResponse& response, const std::string& outcome)
    {
        RunAnswer answer;
        answer.m_outcome = findValue(runOutcomeNames, outcome).value_or(RunOutcome::Unknown);
        const std::string_view status = findHeader(response.m_headers, "Bulrush-Service-Status");
        if (status.empty()) {
            answer.m_error = errorFromJson(Json::parse(viewOf(response.m_body)).at("error"));
            return answer;
        }
        answer.m_serviceStatus = static_cast<unsigned>(parseNumber(status, "the header Bulrush-Service-Status", 0, 999));
        answer.m_runner = findHeader(response.m_headers, "Bulrush-Runner");
        answer.m_body = response.m_body;
        if (findHeader(response.m_headers, "Bulrush-Digest") != digestOf(viewOf(response.m_body)))
            throw std::invalid_argument("the body does not match its digest");
        return answer;
    }

    /** Decodes the answer to each kind of call. */
    struct AnswerReader {
        const Json& m_body;

        CallerAnswer operator()(const RunCall&) const { throw std::invalid_argument("the header Bulrush-Outcome is missing"); }
        CallerAnswer operator()(const SubmitCall&) const { return jobViewFromJson(m_body); }
        CallerAnswer operator()(const StatusCall&) const { return jobViewFromJson(m_body); }
        CallerAnswer operator()(const CancelCall&) const { return jobViewFromJson(m_body); }
        CallerAnswer operator()(const ListCall&) const
        {
            JobListAnswer answer;
            for (const Json& row : m_body.at("jobs"))
                answer.m_jobs.push_back(jobViewFromJson(row));
            return answer;
        }
        CallerAnswer operator()(const CancelSelectedCall&) const { return CancelSelectedAnswer { m_body.at("cancelled") }; }
        CallerAnswer operator()(const EndpointsCall&) const
        {
            EndpointsAnswer answer;
            for (const Json& row : m_body.at("endpoints"))
                answer.m_endpoints.push_back(endpointFromJson(row));
            return answer;
        }
        CallerAnswer operator()(const SettingsGetCall&) const { return settingsFromJson(m_body); }
        CallerAnswer operator()(const SettingsChangeCall&) const
        {
            return ChangeAnswer { .m_record = changeFromJson(m_body.at("change")), .m_inForce = subtreeFromJson(m_body.at("in_force")), .m_diff = m_body.at("diff") };
        }
        CallerAnswer operator()(const SettingsHistoryCall&) const
        {
            HistoryAnswer answer;
            for (const Json& row : m_body.at("changes"))
                answer.m_changes.push_back(changeFromJson(row));
            return answer;
        }
        CallerAnswer operator()(const CellCall&) const { return cellFromJson(m_body); }
    };

    CallerAnswer decodeAnswer(const CallerCall& call, const HttpResponse& response)
    {
        const std::string moved(findHeader(response.m_headers, "Bulrush-Moved"));
        if (!moved.empty())
            return MovedAnswer { .m_mayHaveRun = moved == "may-have-run" };
        const std::string outcome(findHeader(response.m_headers, "Bulrush-Outcome"));
        if (!outcome.empty())
            return decodeRun(response, outcome);
        const Json body = Json::parse(viewOf(response.m_body));
        if (!body.contains("error"))
            return std::visit(AnswerReader { body }, call);
        ErrorAnswer answer { .m_error = errorFromJson(body.at("error")) };
        answer.m_outcome = findValue(runOutcomeNames, body.value("certainty", std::string("not-run"))).value_or(RunOutcome::Unknown);
        answer.m_retryAfter.m_ms = body.value("retry_after_ms", 0);
        return answer;
    }

} // namespace

std::string_view nameOf(RunOutcome outcome) { return findName(runOutcomeNames, outcome); }

unsigned httpStatusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return 400;
    case ErrorKind::UnknownName:
        return 404;
    case ErrorKind::Conflict:
    case ErrorKind::Stale:
        return 409;
    case ErrorKind::TooLarge:
        return 422;
    case ErrorKind::QuotaExceeded:
        return 429;
    case ErrorKind::Overloaded:
    case ErrorKind::Unavailable:
        return 503;
    case ErrorKind::TimedOut:
        return 504;
    case ErrorKind::BrokenAnswer:
        return 502;
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

HttpResponse errorResponse(const Error& error, RunOutcome outcome, Duration retryAfter)
{
    Json body = { { "error", errorToJson(error) }, { "certainty", nameOf(outcome) } };
    if (retryAfter.m_ms > 0)
        body["retry_after_ms"] = retryAfter.m_ms;
    return jsonResponse(httpStatusOf(error.m_kind), body);
}

Expected<IncomingCall> decodeCallerCall(const HttpRequest& request)
{
    try {
        const Target target = parseTarget(request.m_target);
        bool isKnownPath = false;
        for (const Route& route : routes) {
            if (!isPath(target, route.m_path))
                continue;
            isKnownPath = true;
            if (route.m_method != request.m_method)
                continue;
            IncomingCall incoming { .m_call = route.m_read(request, target) };
            incoming.m_isForwarded = !findHeader(request.m_headers, "Bulrush-Forwarded").empty();
            incoming.m_timeout = timeoutOf(incoming.m_call);
            if (incoming.m_isForwarded)
                incoming.m_timeout.m_ms = readNumberHeader(request, "Bulrush-Timeout-Ms", incoming.m_timeout.m_ms, 1, INT64_MAX / 4);
            return incoming;
        }
        if (isKnownPath)
            return fail(ErrorKind::InvalidInput, "method " + request.m_method + " is not supported for " + request.m_target, "see docs/API.md for the supported methods");
        return fail(ErrorKind::UnknownName, "unknown path " + request.m_target, "see docs/API.md for the supported paths");
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, error.what(), "correct the request and send it again");
    }
}

HttpRequest encodeCallerCall(const CallerCall& call)
{
    return std::visit([](const auto& each) { return encodeCall(each); }, call);
}

void markForwarded(HttpRequest& request, Duration timeout)
{
    request.m_headers.push_back({ "Bulrush-Forwarded", "1" });
    request.m_headers.push_back({ "Bulrush-Timeout-Ms", std::to_string(std::max<std::int64_t>(timeout.m_ms, 1)) });
}

HttpResponse encodeCallerAnswer(const CallerAnswer& answer)
{
    return std::visit([](const auto& each) { return encodeAnswer(each); }, answer);
}

Expected<CallerAnswer> decodeCallerAnswer(const CallerCall& call, const HttpResponse& response)
{
    try {
        return decodeAnswer(call, response);
    } catch (const std::exception& error) {
        return fail(ErrorKind::BrokenAnswer, std::string("the answer cannot be decoded: ") + error.what(), "retry with the same key");
    }
}

} // namespace bulrushloft
