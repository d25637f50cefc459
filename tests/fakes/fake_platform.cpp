/** @file fake_platform.cpp Fake platform for local runs: the log, the VM list, the workers and the runners of one cell, over HTTP on loopback addresses. */
#include "cells.h"
#include "connection/http_server.h"
#include "connection/platform_codec.h"
#include "connection/runner_codec.h"
#include "connection/worker_codec.h"
#include "core/event_loop.h"
#include "core/log_func.h"
#include "fake_log.h"
#include "fake_runner.h"
#include "fake_worker.h"

#include <csignal>
#include <iostream>
#include <list>
#include <memory>
#include <mutex>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(cell, "uy-sur", "Cell to simulate: uy-sur or tx-central");
DEFINE_int32(entries, 9, "Number of entry VMs in the VM list");
DEFINE_int32(worker_factor, 1, "Factor by which the number of workers is multiplied");
DEFINE_string(address, "127.0.250.1:7500", "Address on which the log, the VM list and the fault controls listen");
DEFINE_int32(list_lag_ms, 0, "Delay in ms after which a change of a VM's state shows in the VM list");
DEFINE_double(speed_skew, 4, "Approximate speed ratio of the fastest to the slowest runner");
DEFINE_int32(append_ms, 3, "Duration of an append in ms");

namespace bulrushloft {

namespace {

    constexpr Duration tickInterval { 2 };

    /** A response that is sent when its condition holds, at the latest when it is due. */
    struct PendingResponse {
        std::function<bool(bool isDue)> m_tryRespond; ///< Responds if the condition holds or the response is due. @return Whether it has responded.
        TimePoint m_dueAt; ///< Time at which to respond in any case.
    };

    /** State of all services of the platform, guarded by one mutex. */
    struct Platform {
        std::mutex m_mutex;
        FakeLog m_log;
        VmList m_list;
        std::map<std::string, std::pair<VmState, TimePoint>> m_pendingStateChanges; ///< State changes that the VM list does not show yet, with the time at which it will, by name of the VM.
        History m_tasks; ///< Runs of tasks on workers.
        History m_requests; ///< Runs of requests on runners.
        std::map<std::string, FakeWorker> m_workers;
        std::map<std::string, FakeRunner> m_runners;
        std::map<std::string, std::map<std::string, HttpResponder>> m_openDispatches; ///< Responders of running dispatches by runner and dispatch id.
        std::set<std::string> m_unreachableVms; ///< Names of VMs that do not answer.
        std::list<PendingResponse> m_pendingResponses;
        TimePoint m_appendWindowStart;
        std::uint64_t m_appendsInWindow = 0;
        std::mt19937_64 m_random { 1 };
    };

    HttpResponse respondJson(std::string text, unsigned status = 200)
    {
        return { .m_status = status, .m_headers = {}, .m_body = makeBody(std::move(text)) };
    }

    std::string queryParameter(const std::string& target, const std::string& name)
    {
        const std::size_t queryStart = target.find('?');
        const std::string query = queryStart == std::string::npos ? "" : "&" + target.substr(queryStart + 1);
        const std::size_t at = query.find("&" + name + "=");
        if (at == std::string::npos)
            return {};
        const std::size_t start = at + name.size() + 2;
        return query.substr(start, query.find('&', start) - start);
    }

    void onAppend(Platform& platform, const std::string& stream, const HttpRequest& request, const HttpResponder& respond)
    {
        const TimePoint now = steadyNow();
        if (platform.m_log.m_isDown)
            return respond(respondJson("the log is down", 503));
        if (now - platform.m_appendWindowStart >= Duration { 1'000 }) {
            platform.m_appendWindowStart = now;
            platform.m_appendsInWindow = 0;
        }
        if (++platform.m_appendsInWindow > platform.m_log.m_maxAppendsPerSecond)
            return respond(respondJson("too many appends in this second", 429));
        const LogAppendAnswer answer = append(platform.m_log, stream, std::string(viewOf(request.m_body)), now);
        const bool isLost = std::uniform_real_distribution<double>(0, 1)(platform.m_random) < platform.m_log.m_lostAnswerShare;
        const HttpResponse response = isLost ? respondJson("lost", 504) : respondJson(encodeAppendAnswer(answer));
        platform.m_pendingResponses.push_back({ .m_tryRespond = [respond, response](bool isDue) { if (isDue) respond(response); return isDue; }, .m_dueAt = now + Duration { FLAGS_append_ms } });
    }

    void onRead(Platform& platform, const std::string& stream, const std::string& target, const HttpResponder& respond)
    {
        if (platform.m_log.m_isDown)
            return respond(respondJson("the log is down", 503));
        const Offset from { std::strtoull(queryParameter(target, "from").c_str(), nullptr, 10) };
        const std::size_t limit = std::strtoull(queryParameter(target, "limit").c_str(), nullptr, 10);
        const Duration wait { std::atoll(queryParameter(target, "wait_ms").c_str()) };
        platform.m_pendingResponses.push_back({ .m_tryRespond = [&platform, stream, from, limit, respond](bool isDue) {
                                                   if (platform.m_log.m_isDown) {
                                                       respond(respondJson("the log is down", 503));
                                                       return true;
                                                   }
                                                   const LogReadAnswer answer = read(platform.m_log, stream, from, limit, steadyNow());
                                                   if (answer.m_entries.empty() && !isDue)
                                                       return false;
                                                   respond(respondJson(encodeReadAnswer(answer)));
                                                   return true;
                                               },
            .m_dueAt = steadyNow() + wait });
    }

    void onWorkerCall(Platform& platform, FakeWorker& worker, const HttpRequest& request, const HttpResponder& respond)
    {
        if (platform.m_unreachableVms.contains(worker.m_name))
            return;
        const TimePoint now = steadyNow();
        if (request.m_target == adoptWorkerPath) {
            const auto call = decodeAdoptWorkerCall(viewOf(request.m_body));
            const auto answer = call ? adopt(worker, *call, now) : tl::unexpected(StaleToken {});
            return respond(answer ? respondJson(encodeAnswer(*answer)) : respondJson(encodeAnswer(answer.error()), 409));
        }
        const auto call = decodeSyncWorkerCall(viewOf(request.m_body));
        if (!call)
            return respond(respondJson(describe(call.error()), 400));
        auto answer = sync(worker, *call, now);
        if (!answer)
            return respond(respondJson(encodeAnswer(answer.error()), 409));
        const bool isAnswerable = !answer->m_finished.empty() || !answer->m_refused.empty() || call->m_waitFor.m_ms == 0;
        if (isAnswerable)
            return respond(respondJson(encodeAnswer(*answer)));
        platform.m_pendingResponses.push_back({ .m_tryRespond = [&platform, &worker, respond, now, token = call->m_token](bool isDue) {
                                                   if (worker.m_finished.empty() && !isDue)
                                                       return false;
                                                   if (worker.m_token != token || platform.m_unreachableVms.contains(worker.m_name)) {
                                                       respond(respondJson(encodeAnswer(StaleToken { worker.m_token }), 409));
                                                       return true;
                                                   }
                                                   SyncWorkerAnswer delayedAnswer = report(worker, steadyNow());
                                                   delayedAnswer.m_waited = steadyNow() - now;
                                                   respond(respondJson(encodeAnswer(delayedAnswer)));
                                                   return true;
                                               },
            .m_dueAt = now + call->m_waitFor });
    }

    void refuseDispatch(const FakeRunner& runner, const std::string& reason, const HttpResponder& respond)
    {
        HttpResponse response = respondJson(encodeAnswer(StaleToken { runner.m_token }), 409);
        response.m_headers.push_back({ "Bulrush-Refused", reason });
        respond(response);
    }

    void onRunnerCall(Platform& platform, FakeRunner& runner, const HttpRequest& request, const HttpResponder& respond)
    {
        if (platform.m_unreachableVms.contains(runner.m_name))
            return;
        const TimePoint now = steadyNow();
        if (request.m_target == dispatchPath) {
            const auto call = decodeDispatch(request);
            if (!call)
                return refuseDispatch(runner, "malformed", respond);
            if (const auto reason = startDispatch(runner, *call, now))
                return refuseDispatch(runner, *reason, respond);
            platform.m_openDispatches[runner.m_name][call->m_dispatch] = respond;
            return;
        }
        const bool isAdoption = request.m_target == adoptRunnerPath;
        tl::expected<RunnerReport, StaleToken> report = tl::unexpected(StaleToken {});
        if (isAdoption) {
            if (const auto call = decodeAdoptRunnerCall(viewOf(request.m_body)))
                report = adopt(runner, *call, now);
        } else if (const auto call = decodeProbeRunnerCall(viewOf(request.m_body))) {
            report = probe(runner, *call, now);
        }
        respond(report ? respondJson(encodeReport(*report)) : respondJson(encodeAnswer(report.error()), 409));
    }

    void endDispatches(Platform& platform, TimePoint now)
    {
        for (auto& [name, runner] : platform.m_runners) {
            std::vector<std::string> due;
            for (const auto& [id, dispatch] : runner.m_running) {
                if (dispatch.m_endsAt <= now)
                    due.push_back(id);
            }
            for (const std::string& id : due) {
                const DispatchAnswer answer = endDispatch(runner, id, now);
                const auto open = platform.m_openDispatches[name].extract(id);
                if (!open.empty() && !platform.m_unreachableVms.contains(name))
                    open.mapped()(encodeDispatchAnswer(answer, id));
            }
        }
    }

    void scheduleStateChange(Platform& platform, const std::string& name, VmState state)
    {
        platform.m_pendingStateChanges[name] = { state, steadyNow() + Duration { FLAGS_list_lag_ms } };
    }

    void applyStateChanges(Platform& platform, TimePoint now)
    {
        for (auto pending = platform.m_pendingStateChanges.begin(); pending != platform.m_pendingStateChanges.end();) {
            if (pending->second.second > now) {
                ++pending;
                continue;
            }
            for (VmInfo& vm : platform.m_list.m_vms) {
                if (vm.m_name == pending->first)
                    vm.m_state = pending->second.first;
            }
            ++platform.m_list.m_version;
            pending = platform.m_pendingStateChanges.erase(pending);
        }
    }

    void tick(Platform& platform)
    {
        const TimePoint now = steadyNow();
        for (auto& [name, worker] : platform.m_workers)
            advanceTo(worker, now);
        endDispatches(platform, now);
        applyStateChanges(platform, now);
        platform.m_pendingResponses.remove_if([now](const PendingResponse& waiting) { return waiting.m_tryRespond(now >= waiting.m_dueAt); });
    }

    nlohmann::json toJson(const History& history)
    {
        nlohmann::json runs = nlohmann::json::array();
        for (const RunInterval& run : history.m_runs)
            runs.push_back({ run.m_workItem, run.m_endpoint, run.m_start.m_ms, run.m_end.m_ms, run.m_result });
        return { { "runs", std::move(runs) }, { "breaches", history.m_limitViolations }, { "overlaps", findOverlaps(history) } };
    }

    /** Injects or ends a fault, as requested by /control?do=COMMAND&vm=NAME&value=NUMBER. */
    HttpResponse onControl(Platform& platform, const std::string& target)
    {
        const std::string command = queryParameter(target, "do");
        const std::string name = queryParameter(target, "vm");
        const double value = std::atof(queryParameter(target, "value").c_str());
        const auto worker = platform.m_workers.find(name);
        const auto runner = platform.m_runners.find(name);
        if (command == "log-down")
            platform.m_log.m_isDown = value != 0;
        else if (command == "lose-answers")
            platform.m_log.m_lostAnswerShare = value;
        else if (command == "retention-ms")
            platform.m_log.m_retention = { static_cast<std::int64_t>(value) };
        else if (command == "cut")
            value != 0 ? void(platform.m_unreachableVms.insert(name)) : void(platform.m_unreachableVms.erase(name));
        else if (command == "leaving") {
            scheduleStateChange(platform, name, value != 0 ? VmState::Leaving : VmState::Live);
            if (worker != platform.m_workers.end())
                worker->second.m_isLeaving = value != 0;
        } else if (command == "list-leaving")
            scheduleStateChange(platform, name, VmState::Leaving);
        else if (command == "gone")
            scheduleStateChange(platform, name, VmState::Gone);
        else if (command == "fail-everything" && worker != platform.m_workers.end())
            worker->second.m_failsEverything = value != 0;
        else if (command == "reboot" && worker != platform.m_workers.end())
            reboot(worker->second, steadyNow());
        else if (command == "reboot" && runner != platform.m_runners.end())
            reboot(runner->second, steadyNow());
        else
            return respondJson("unknown control command, or no VM of the required kind has this name\n", 404);
        return respondJson("done\n");
    }

    void onPlatformCall(Platform& platform, const HttpRequest& request, const HttpResponder& respond)
    {
        const std::string path = request.m_target.substr(0, request.m_target.find('?'));
        const std::string streams = "/v1/streams/";
        if (path == vmListPath) {
            const bool isKnown = queryParameter(request.m_target, "version") == std::to_string(platform.m_list.m_version);
            return respond(isKnown ? respondJson({}, 304) : respondJson(encodeVmList(platform.m_list)));
        }
        if (path == "/control")
            return respond(onControl(platform, request.m_target));
        if (path == "/history/tasks")
            return respond(respondJson(toJson(platform.m_tasks).dump()));
        if (path == "/history/requests")
            return respond(respondJson(toJson(platform.m_requests).dump()));
        if (path == "/appends")
            return respond(respondJson(std::to_string(platform.m_log.m_appendsTotal) + "\n"));
        if (path.rfind(streams, 0) != 0)
            return respond(respondJson("unknown path", 404));
        const std::size_t end = path.rfind('/');
        const std::string stream = path.substr(streams.size(), end - streams.size());
        if (request.m_method == "POST")
            onAppend(platform, stream, request, respond);
        else
            onRead(platform, stream, request.m_target, respond);
    }

    void createEndpoints(Platform& platform)
    {
        platform.m_list = makeVmList(FLAGS_cell, static_cast<std::uint32_t>(FLAGS_entries), static_cast<std::uint32_t>(FLAGS_worker_factor));
        double step = 0;
        for (const VmInfo& vm : platform.m_list.m_vms) {
            if (vm.m_role == VmRole::Worker)
                platform.m_workers[vm.m_name] = { .m_name = vm.m_name, .m_shard = vm.m_pool + "-0", .m_capacity = vm.m_capacity, .m_boot = platform.m_random() >> 16, .m_history = &platform.m_tasks };
            if (vm.m_role == VmRole::Runner)
                platform.m_runners[vm.m_name] = { .m_name = vm.m_name, .m_slots = vm.m_slots, .m_speed = 1 + (FLAGS_speed_skew - 1) * (step++ / 48), .m_boot = platform.m_random() >> 16, .m_history = &platform.m_requests };
        }
    }

    template <typename Handle>
    std::unique_ptr<HttpServer> serve(EventLoop& loop, Platform& platform, const Address& address, Handle handle)
    {
        auto server = std::make_unique<HttpServer>(loop);
        const auto opened = server->listen({ .m_address = address, .m_limits = { .m_message = { .m_bodyBytes = 64 * 1024 * 1024 } } }, [&platform, handle](const HttpRequest& request, const HttpResponder& respond) {
            const std::lock_guard lock(platform.m_mutex);
            handle(request, respond);
        });
        if (!opened) {
            std::cerr << "fake_platform: " << describe(opened.error()) << "\n";
            std::_Exit(3);
        }
        return server;
    }

    void runForever(Platform& platform)
    {
        EventLoop platformLoop("log");
        EventLoop endpointLoop("endpoints");
        std::vector<std::unique_ptr<HttpServer>> servers;
        servers.push_back(serve(platformLoop, platform, *parseAddress(FLAGS_address), [&platform](const HttpRequest& request, const HttpResponder& respond) { onPlatformCall(platform, request, respond); }));
        for (const VmInfo& vm : platform.m_list.m_vms) {
            if (vm.m_role == VmRole::Worker)
                servers.push_back(serve(endpointLoop, platform, vm.m_address, [&platform, &worker = platform.m_workers.at(vm.m_name)](const HttpRequest& request, const HttpResponder& respond) { onWorkerCall(platform, worker, request, respond); }));
            if (vm.m_role == VmRole::Runner)
                servers.push_back(serve(endpointLoop, platform, vm.m_address, [&platform, &runner = platform.m_runners.at(vm.m_name)](const HttpRequest& request, const HttpResponder& respond) { onRunnerCall(platform, runner, request, respond); }));
        }
        std::function<void()> tickForever = [&] {
            {
                const std::lock_guard lock(platform.m_mutex);
                tick(platform);
            }
            endpointLoop.runAfter(tickInterval, tickForever);
        };
        endpointLoop.post(tickForever);
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        int received = 0;
        sigwait(&signals, &received);
        platformLoop.stop();
        endpointLoop.stop();
    }

} // namespace

} // namespace bulrushloft

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    bulrushloft::openLog({ .m_process = "fake-platform" });
    bulrushloft::Platform platform;
    bulrushloft::createEndpoints(platform);
    bulrushloft::runForever(platform);
    return 0;
}
