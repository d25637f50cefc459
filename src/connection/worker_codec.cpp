/** @file worker_codec.cpp The worker protocol as JSON. */
#include "connection/worker_codec.h"

#include "connection/json_func.h"
#include "table/job_table.h"

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    /** Lists are left out when they are empty, which most are. */
    template <typename Item, typename Encode>
    void putList(Json& object, const char* name, const std::vector<Item>& items, Encode encode)
    {
        if (items.empty())
            return;
        Json& list = object[name] = Json::array();
        for (const Item& item : items)
            list.push_back(encode(item));
    }

    template <typename Item, typename Decode>
    std::vector<Item> takeList(const Json& object, const char* name, Decode decode)
    {
        std::vector<Item> items;
        const auto found = object.find(name);
        if (found == object.end())
            return items;
        for (const Json& row : *found)
            items.push_back(decode(row));
        return items;
    }

    Json encodeRunning(const RunningTask& task)
    {
        return Json::array({ toJson(task.m_ref), task.m_isHeld, toJson(task.m_grant), toJson(task.m_usage) });
    }

    RunningTask decodeRunning(const Json& row)
    {
        return { .m_ref = taskRefFromJson(row.at(0)), .m_isHeld = row.at(1), .m_grant = resourcesFromJson(row.at(2)), .m_usage = resourcesFromJson(row.at(3)) };
    }

    Json encodeFinished(const FinishedTask& task)
    {
        return Json::array({ toJson(task.m_ref), nameOf(task.m_result), toJson(task.m_usage) });
    }

    FinishedTask decodeFinished(const Json& row)
    {
        const auto result = findValue(taskResultNames, row.at(1).get<std::string>());
        if (!result)
            throw std::out_of_range("unknown result " + row.at(1).dump());
        return { .m_ref = taskRefFromJson(row.at(0)), .m_result = *result, .m_usage = taskUsageFromJson(row.at(2)) };
    }

    Json encodeStart(const StartTask& start)
    {
        return Json::array({ toJson(start.m_ref), toJson(start.m_grant), start.m_isHeld, start.m_payload });
    }

    StartTask decodeStart(const Json& row)
    {
        return { .m_ref = taskRefFromJson(row.at(0)), .m_grant = resourcesFromJson(row.at(1)), .m_isHeld = row.at(2), .m_payload = row.at(3) };
    }

    Json encodeRef(const TaskRef& ref) { return toJson(ref); }

} // namespace

std::string encodeCall(const AdoptWorkerCall& call)
{
    return dumpJson({ { "token", toJson(call.m_token) } });
}

Expected<AdoptWorkerCall> decodeAdoptWorkerCall(std::string_view text)
{
    return readJson(text, "the adoption of a worker", [](const Json& whole) {
        return AdoptWorkerCall { .m_token = fencingTokenFromJson(whole.at("token")) };
    });
}

std::string encodeAnswer(const AdoptWorkerAnswer& answer)
{
    Json whole = { { "boot", answer.m_boot }, { "clock_ms", answer.m_clock.m_ms }, { "capacity", toJson(answer.m_capacity) }, { "leaving", answer.m_isLeaving } };
    putList(whole, "running", answer.m_running, encodeRunning);
    putList(whole, "finished", answer.m_finished, encodeFinished);
    return dumpJson(whole);
}

Expected<AdoptWorkerAnswer> decodeAdoptWorkerAnswer(std::string_view text)
{
    return readJson(text, "a worker's answer to its adoption", [](const Json& whole) {
        AdoptWorkerAnswer answer;
        answer.m_boot = whole.at("boot");
        answer.m_clock.m_ms = whole.at("clock_ms");
        answer.m_capacity = resourcesFromJson(whole.at("capacity"));
        answer.m_isLeaving = whole.at("leaving");
        answer.m_running = takeList<RunningTask>(whole, "running", decodeRunning);
        answer.m_finished = takeList<FinishedTask>(whole, "finished", decodeFinished);
        return answer;
    });
}

std::string encodeCall(const SyncWorkerCall& call)
{
    Json whole = { { "token", toJson(call.m_token) }, { "boot", call.m_boot }, { "lease", call.m_leaseUntil.m_ms }, { "wait_ms", call.m_waitFor.m_ms } };
    putList(whole, "start", call.m_starts, encodeStart);
    putList(whole, "release", call.m_releases, encodeRef);
    putList(whole, "stop", call.m_stops, [](const StopTask& stop) { return Json::array({ toJson(stop.m_ref), stop.m_wantsCheckpoint }); });
    putList(whole, "throttle", call.m_throttles, [](const ThrottleTask& throttle) { return Json::array({ toJson(throttle.m_ref), throttle.m_cpuMilli }); });
    putList(whole, "ack", call.m_acks, encodeRef);
    return dumpJson(whole);
}

Expected<SyncWorkerCall> decodeSyncWorkerCall(std::string_view text)
{
    return readJson(text, "a command to a worker", [](const Json& whole) {
        SyncWorkerCall call;
        call.m_token = fencingTokenFromJson(whole.at("token"));
        call.m_boot = whole.at("boot");
        call.m_leaseUntil.m_ms = whole.at("lease");
        call.m_waitFor.m_ms = whole.at("wait_ms");
        call.m_starts = takeList<StartTask>(whole, "start", decodeStart);
        call.m_releases = takeList<TaskRef>(whole, "release", taskRefFromJson);
        call.m_stops = takeList<StopTask>(whole, "stop", [](const Json& row) { return StopTask { .m_ref = taskRefFromJson(row.at(0)), .m_wantsCheckpoint = row.at(1) }; });
        call.m_throttles = takeList<ThrottleTask>(whole, "throttle", [](const Json& row) { return ThrottleTask { .m_ref = taskRefFromJson(row.at(0)), .m_cpuMilli = row.at(1) }; });
        call.m_acks = takeList<TaskRef>(whole, "ack", taskRefFromJson);
        return call;
    });
}

std::string encodeAnswer(const SyncWorkerAnswer& answer)
{
    Json whole = { { "clock_ms", answer.m_clock.m_ms }, { "waited_ms", answer.m_waited.m_ms } };
    if (answer.m_isLeaving)
        whole["leaving"] = true;
    putList(whole, "refused", answer.m_refused, [](const RefusedStart& refused) { return Json::array({ toJson(refused.m_ref), refused.m_reason }); });
    putList(whole, "finished", answer.m_finished, encodeFinished);
    putList(whole, "usage", answer.m_usage, encodeRunning);
    return dumpJson(whole);
}

Expected<SyncWorkerAnswer> decodeSyncWorkerAnswer(std::string_view text)
{
    return readJson(text, "a worker's answer", [](const Json& whole) {
        SyncWorkerAnswer answer;
        answer.m_clock.m_ms = whole.at("clock_ms");
        answer.m_waited.m_ms = whole.at("waited_ms");
        answer.m_isLeaving = whole.value("leaving", false);
        answer.m_refused = takeList<RefusedStart>(whole, "refused", [](const Json& row) { return RefusedStart { .m_ref = taskRefFromJson(row.at(0)), .m_reason = row.at(1) }; });
        answer.m_finished = takeList<FinishedTask>(whole, "finished", decodeFinished);
        answer.m_usage = takeList<RunningTask>(whole, "usage", decodeRunning);
        return answer;
    });
}

std::string encodeAnswer(const StaleToken& answer)
{
    return dumpJson({ { "highest", toJson(answer.m_highest) } });
}

Expected<StaleToken> decodeStaleToken(std::string_view text)
{
    return readJson(text, "a refusal of a token", [](const Json& whole) {
        return StaleToken { .m_highest = fencingTokenFromJson(whole.at("highest")) };
    });
}

} // namespace bulrushloft
