/** @file worker_codec.cpp Encoding of the worker protocol as JSON. */
#include "connection/worker_codec.h"

#include "connection/json_func.h"
#include "table/job_table.h"

namespace bulrushloft {

using Json = nlohmann::json;

namespace {

    /** Adds a list to an object; an empty list is omitted, as most lists are empty. */
    template <typename Item, typename Encode>
    void encodeList(Json& object, const char* name, const std::vector<Item>& items, Encode encode)
    {
        if (items.empty())
            return;
        Json& list = object[name] = Json::array();
        for (const Item& item : items)
            list.push_back(encode(item));
    }

    /** @return The items of a list in an object; none when the object does not have the list. */
    template <typename Item, typename Decode>
    std::vector<Item> decodeList(const Json& object, const char* name, Decode decode)
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
            throw std::out_of_range("unknown task result " + row.at(1).dump());
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
    return readJson(text, "the adoption call to a worker", [](const Json& root) {
        return AdoptWorkerCall { .m_token = fencingTokenFromJson(root.at("token")) };
    });
}

std::string encodeAnswer(const AdoptWorkerAnswer& answer)
{
    Json root = { { "boot", answer.m_boot }, { "clock_ms", answer.m_clock.m_ms }, { "capacity", toJson(answer.m_capacity) }, { "leaving", answer.m_isLeaving } };
    encodeList(root, "running", answer.m_running, encodeRunning);
    encodeList(root, "finished", answer.m_finished, encodeFinished);
    return dumpJson(root);
}

Expected<AdoptWorkerAnswer> decodeAdoptWorkerAnswer(std::string_view text)
{
    return readJson(text, "a worker's answer to an adoption call", [](const Json& root) {
        AdoptWorkerAnswer answer;
        answer.m_boot = root.at("boot");
        answer.m_clock.m_ms = root.at("clock_ms");
        answer.m_capacity = resourcesFromJson(root.at("capacity"));
        answer.m_isLeaving = root.at("leaving");
        answer.m_running = decodeList<RunningTask>(root, "running", decodeRunning);
        answer.m_finished = decodeList<FinishedTask>(root, "finished", decodeFinished);
        return answer;
    });
}

std::string encodeCall(const SyncWorkerCall& call)
{
    Json root = { { "token", toJson(call.m_token) }, { "boot", call.m_boot }, { "lease", call.m_leaseUntil.m_ms }, { "wait_ms", call.m_waitFor.m_ms } };
    encodeList(root, "start", call.m_starts, encodeStart);
    encodeList(root, "release", call.m_releases, encodeRef);
    encodeList(root, "stop", call.m_stops, [](const StopTask& stop) { return Json::array({ toJson(stop.m_ref), stop.m_wantsCheckpoint }); });
    encodeList(root, "throttle", call.m_throttles, [](const ThrottleTask& throttle) { return Json::array({ toJson(throttle.m_ref), throttle.m_cpuMilli }); });
    encodeList(root, "ack", call.m_acks, encodeRef);
    return dumpJson(root);
}

Expected<SyncWorkerCall> decodeSyncWorkerCall(std::string_view text)
{
    return readJson(text, "a sync call to a worker", [](const Json& root) {
        SyncWorkerCall call;
        call.m_token = fencingTokenFromJson(root.at("token"));
        call.m_boot = root.at("boot");
        call.m_leaseUntil.m_ms = root.at("lease");
        call.m_waitFor.m_ms = root.at("wait_ms");
        call.m_starts = decodeList<StartTask>(root, "start", decodeStart);
        call.m_releases = decodeList<TaskRef>(root, "release", taskRefFromJson);
        call.m_stops = decodeList<StopTask>(root, "stop", [](const Json& row) { return StopTask { .m_ref = taskRefFromJson(row.at(0)), .m_wantsCheckpoint = row.at(1) }; });
        call.m_throttles = decodeList<ThrottleTask>(root, "throttle", [](const Json& row) { return ThrottleTask { .m_ref = taskRefFromJson(row.at(0)), .m_cpuMilli = row.at(1) }; });
        call.m_acks = decodeList<TaskRef>(root, "ack", taskRefFromJson);
        return call;
    });
}

std::string encodeAnswer(const SyncWorkerAnswer& answer)
{
    Json root = { { "clock_ms", answer.m_clock.m_ms }, { "waited_ms", answer.m_waited.m_ms } };
    if (answer.m_isLeaving)
        root["leaving"] = true;
    encodeList(root, "refused", answer.m_refused, [](const RefusedStart& refused) { return Json::array({ toJson(refused.m_ref), refused.m_reason }); });
    encodeList(root, "finished", answer.m_finished, encodeFinished);
    encodeList(root, "usage", answer.m_usage, encodeRunning);
    return dumpJson(root);
}

Expected<SyncWorkerAnswer> decodeSyncWorkerAnswer(std::string_view text)
{
    return readJson(text, "a worker's answer to a sync call", [](const Json& root) {
        SyncWorkerAnswer answer;
        answer.m_clock.m_ms = root.at("clock_ms");
        answer.m_waited.m_ms = root.at("waited_ms");
        answer.m_isLeaving = root.value("leaving", false);
        answer.m_refused = decodeList<RefusedStart>(root, "refused", [](const Json& row) { return RefusedStart { .m_ref = taskRefFromJson(row.at(0)), .m_reason = row.at(1) }; });
        answer.m_finished = decodeList<FinishedTask>(root, "finished", decodeFinished);
        answer.m_usage = decodeList<RunningTask>(root, "usage", decodeRunning);
        return answer;
    });
}

std::string encodeAnswer(const StaleToken& answer)
{
    return dumpJson({ { "highest", toJson(answer.m_highest) } });
}

Expected<StaleToken> decodeStaleToken(std::string_view text)
{
    return readJson(text, "the refusal of a fencing token", [](const Json& root) {
        return StaleToken { .m_highest = fencingTokenFromJson(root.at("highest")) };
    });
}

} // namespace bulrushloft
