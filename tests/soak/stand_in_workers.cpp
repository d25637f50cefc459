/** @file stand_in_workers.cpp The stand-ins of workers and of the approval service. */
#include "stand_in_workers.h"

#include "core/hash_func.h"
#include "platform/worker_client.h"
#include "request/plan_func.h"

#include <nlohmann/json.hpp>

namespace bulrushloft::soak {

using Json = nlohmann::json;

namespace {

    constexpr Duration tickInterval { 10 };
    constexpr std::int64_t minLateMs = 1'000;
    constexpr std::int64_t maxLateMs = 5'000;
    constexpr std::uint16_t workerPort = 7'600;
    constexpr std::uint16_t workerPortBehindProxy = 7'601;
    constexpr int hostsPerSubnet = 200;

    HttpResponse jsonResponse(unsigned status, const Json& body)
    {
        return { .m_status = status, .m_headers = { { "Content-Type", "application/json" } }, .m_body = makeBody(body.dump()) };
    }

    const char* reasonOf(OrderStatus status)
    {
        switch (status) {
        case OrderStatus::Fenced:
            return "fence";
        case OrderStatus::Superseded:
            return "old";
        case OrderStatus::LeaseExpired:
            return "late";
        case OrderStatus::InvalidTicket:
            return "ticket";
        default:
            return "room";
        }
    }

    const char* nameOfEnd(AttemptEnd end)
    {
        switch (end) {
        case AttemptEnd::Done:
            return "done";
        case AttemptEnd::Failed:
            return "failed";
        case AttemptEnd::Stopped:
            return "stopped";
        default:
            return "lapsed";
        }
    }

    std::int64_t runTimeOf(const std::string& payload)
    {
        constexpr std::string_view key = "run_ms=";
        return payload.starts_with(key) ? std::stoll(payload.substr(key.size())) : 100;
    }

    Address addressOf(int network, int index)
    {
        return { "127." + std::to_string(network) + "." + std::to_string(index / hostsPerSubnet) + "." + std::to_string(index % hostsPerSubnet + 1), workerPort };
    }

    Json reportOf(const SyncReport& report)
    {
        Json running = Json::array();
        for (const RunningAttempt& attempt : report.m_running)
            running.push_back(Json::array({ format(attempt.m_task), attempt.m_attempt, attempt.m_checkpoint, attempt.m_percent }));
        Json finished = Json::array();
        for (const EndedAttempt& attempt : report.m_ended)
            finished.push_back(Json::array({ attempt.m_number, format(attempt.m_task), attempt.m_attempt, nameOfEnd(attempt.m_end), attempt.m_checkpoint }));
        return { { "clock_ms", report.m_clockMs }, { "born", report.m_processStartMs }, { "running", std::move(running) }, { "finished", std::move(finished) } };
    }

} // namespace

/** One worker and the syncs that it holds open. */
struct StandInWorkers::Member {
    /** A sync that waits for an end. */
    struct Hold {
        SyncOrder m_order;
        std::uint64_t m_token = 0;
        TimePoint m_until;
        HttpResponder m_respond;
    };

    explicit Member(EventLoop& loop)
        : m_server(loop)
    {
    }

    test::FakeLeaseWorker m_worker;
    Address m_address;
    std::string m_rack;
    HttpServer m_server;
    std::unique_ptr<FaultProxy> m_proxy; ///< Null if the connections are not limited.
    std::vector<Hold> m_holds;
    TimePoint m_silentUntil;
    bool m_isOnCutSide = false; ///< Whether it is reached by the cut daemons only; unused while there is no cut.
};

StandInWorkers::StandInWorkers(EventLoop& loop, EventLoop& proxyLoop, StandInStore& store, const WorkerFleet& fleet, WorkerObserver observer, std::uint64_t seed)
    : m_loop(loop)
    , m_proxyLoop(proxyLoop)
    , m_store(store)
    , m_fleet(fleet)
    , m_observer(std::move(observer))
    , m_random(seed)
{
    constexpr int workersPerRack = 8;
    const std::int64_t now = wallNow().m_ms;
    for (int i = 0; i < fleet.m_count; ++i) {
        auto member = std::make_unique<Member>(loop);
        member->m_address = addressOf(fleet.m_network, i);
        member->m_rack = "r-" + std::to_string(i / workersPerRack);
        test::FakeLeaseWorker& worker = member->m_worker;
        worker.m_id = "i-" + std::to_string(i);
        worker.m_processStartMs = now;
        worker.m_clockOriginMs = steadyNow().m_ms - i * 1'000;
        worker.m_capacityCpuMilli = fleet.m_cpuMilli;
        worker.m_taskCpuMilli = fleet.m_taskCpuMilli;
        if (fleet.m_needsTickets)
            worker.m_isTicketValid = [](const test::FakeLeaseWorker& asked, const StartOrder& order) { return test::FakeApprovals::isValid(order.m_ticket, order.m_task, asked, steadyNow().m_ms); };
        worker.m_onStart = [this](const test::FakeLeaseWorker& started, const TaskName& task, std::uint32_t attempt) { m_observer.m_onStart(started.m_id, task, attempt); };
        worker.m_onEnd = [this](const test::FakeLeaseWorker& ended, const TaskName& task, std::uint32_t attempt, AttemptEnd end) { m_observer.m_onEnd(ended.m_id, task, attempt, end); };
        worker.m_onAck = [this](const test::FakeLeaseWorker& acknowledged, const EndedAttempt& end) { m_observer.m_onAck(acknowledged.m_id, end); };
        m_members.push_back(std::move(member));
    }
}

StandInWorkers::~StandInWorkers() = default;

Expected<void> StandInWorkers::listen()
{
    for (const auto& member : m_members) {
        Address address = member->m_address;
        if (m_fleet.m_connectionLimit > 0) {
            address.m_port = workerPortBehindProxy;
            member->m_proxy = std::make_unique<FaultProxy>(m_proxyLoop, member->m_address, address);
            member->m_proxy->setConnectionLimit(m_fleet.m_connectionLimit);
            if (auto proxied = member->m_proxy->listen(); !proxied)
                return proxied;
        }
        auto listening = member->m_server.listen({ .m_address = address }, [this, each = member.get()](const HttpRequest& request, const HttpResponder& respond) { handle(*each, request, respond); });
        if (!listening)
            return listening;
        announce(*member);
    }
    m_loop.post([this] { tick(); });
    return {};
}

void StandInWorkers::announce(const Member& member)
{
    const Json entry { { "service", m_fleet.m_pool }, { "addr", format(member.m_address) }, { "zone", "a" }, { "state", "ready" }, { "machine", member.m_worker.m_id },
        { "born", member.m_worker.m_processStartMs }, { "capacity", { { "cpu", m_fleet.m_cpuMilli }, { "mem_mb", 65'536 }, { "gpu", 0 } } }, { "labels", { "kind", member.m_rack } } };
    m_store.write("keyed.servers", member.m_worker.m_id, entry.dump());
}

std::vector<FaultProxy*> StandInWorkers::proxies() const
{
    std::vector<FaultProxy*> proxies;
    for (const auto& member : m_members) {
        if (member->m_proxy)
            proxies.push_back(member->m_proxy.get());
    }
    return proxies;
}

void StandInWorkers::crash(int index, Duration downFor, bool isDark)
{
    Member& member = *m_members[static_cast<std::size_t>(index)];
    if (member.m_worker.m_isDown)
        return;
    member.m_worker.crash();
    member.m_holds.clear();
    if (member.m_proxy)
        member.m_proxy->setMode(isDark ? ProxyMode::Silence : ProxyMode::Refuse);
    m_loop.runAfter(downFor, [this, &member] {
        if (member.m_proxy)
            member.m_proxy->setMode(ProxyMode::Pass);
        member.m_worker.restart(steadyNow().m_ms);
        member.m_worker.m_processStartMs = wallNow().m_ms;
        announce(member);
    });
}

void StandInWorkers::silence(int index, Duration length)
{
    Member& member = *m_members[static_cast<std::size_t>(index)];
    member.m_silentUntil = steadyNow() + length;
    member.m_holds.clear();
}

void StandInWorkers::cut(std::set<std::string> daemons)
{
    m_cutDaemons = std::move(daemons);
    for (const auto& member : m_members) {
        member->m_isOnCutSide = std::uniform_int_distribution<int>(0, 1)(m_random) == 1;
        std::erase_if(member->m_holds, [&](const Member::Hold& hold) { return !isReachedBy(*member, hold.m_token); });
    }
}

bool StandInWorkers::isReachedBy(const Member& member, std::uint64_t token) const
{
    return m_cutDaemons.empty() || m_cutDaemons.contains(m_store.claimantOf(token)) == member.m_isOnCutSide;
}

void StandInWorkers::handle(Member& member, const HttpRequest& request, const HttpResponder& respond)
{
    if (member.m_worker.m_isDown || steadyNow() < member.m_silentUntil)
        return;
    if (!m_cutDaemons.empty() && !isReachedBy(member, Json::parse(viewOf(request.m_body)).value("fencing_token", std::uint64_t {})))
        return;
    if (findHeader(request.m_headers, "Expected-Instance") != member.m_worker.m_id)
        return respond(jsonResponse(421, Json::object()));
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_fleet.m_lateOrderShare) {
        const Duration delay { std::uniform_int_distribution<std::int64_t>(minLateMs, maxLateMs)(m_random) };
        return m_loop.runAfter(delay, [this, &member, request] {
            if (!member.m_worker.m_isDown)
                perform(member, request, [](const HttpResponse&) { /* The answer is lost. */ });
        });
    }
    perform(member, request, respond);
}

void StandInWorkers::perform(Member& member, const HttpRequest& request, const HttpResponder& respond)
{
    const Json body = Json::parse(viewOf(request.m_body));
    const std::int64_t now = steadyNow().m_ms;
    const std::uint64_t token = body.value("fencing_token", std::uint64_t {});
    test::FakeLeaseWorker& worker = member.m_worker;
    const auto respondStatus = [&](OrderStatus status) {
        if (status == OrderStatus::Done)
            return respond(jsonResponse(200, { { "clock_ms", worker.clockAt(now) } }));
        respond(jsonResponse(409, { { "clock_ms", worker.clockAt(now) }, { "reason", reasonOf(status) } }));
    };
    if (request.m_target == "/bulrushloft/hold") {
        SyncOrder order { .m_leaseUntilMs = std::nullopt, .m_ackedEndNumber = body.value("ack_seq", std::uint64_t {}), .m_wait = { body.value("wait_ms", std::int64_t {}) } };
        if (body.contains("deadline_ms"))
            order.m_leaseUntilMs = body["deadline_ms"].get<std::int64_t>();
        const auto report = worker.sync(order, token, now);
        if (!report)
            return respondStatus(OrderStatus::Fenced);
        if (!report->m_ended.empty() || order.m_wait.m_ms == 0)
            return respond(jsonResponse(200, reportOf(*report)));
        member.m_holds.push_back({ .m_order = order, .m_token = token, .m_until = TimePoint { now } + order.m_wait, .m_respond = respond });
        return;
    }
    const TaskName task = platform::decodeTaskName(body.at("task").get<std::string>()).value();
    const auto attempt = body.at("attempt").get<std::uint32_t>();
    if (request.m_target == "/bulrushloft/run-start") {
        const StartOrder order { .m_task = task, .m_attempt = attempt, .m_payload = body.at("spec"), .m_leaseUntilMs = body.at("deadline_ms"), .m_checkpoint = {}, .m_ticket = body.value("ticket", std::string {}) };
        return respondStatus(worker.start(order, token, runTimeOf(order.m_payload), now));
    }
    respondStatus(worker.stop({ .m_task = task, .m_attempt = attempt }, token));
}

void StandInWorkers::answerHolds(Member& member, bool isForced)
{
    const TimePoint now = steadyNow();
    std::erase_if(member.m_holds, [&](Member::Hold& hold) {
        if (!isForced && now < hold.m_until)
            return false;
        const auto report = member.m_worker.sync({ .m_leaseUntilMs = std::nullopt, .m_ackedEndNumber = 0, .m_wait = {} }, hold.m_token, now.m_ms);
        hold.m_respond(report ? jsonResponse(200, reportOf(*report)) : jsonResponse(409, { { "reason", "fence" } }));
        return true;
    });
}

void StandInWorkers::tick()
{
    const std::int64_t now = steadyNow().m_ms;
    for (const auto& member : m_members) {
        const std::uint64_t ends = member->m_worker.m_lastEndNumber;
        member->m_worker.tick(now);
        answerHolds(*member, member->m_worker.m_lastEndNumber > ends);
    }
    m_loop.runAfter(tickInterval, [this] { tick(); });
}

std::optional<std::string> StandInWorkers::approve(const std::string& step, const std::string& worker) const
{
    constexpr Duration validity { 2'000 }; // As in the configuration.
    constexpr double approvedShare = 0.6;
    const TaskName task = platform::decodeTaskName(step + ".0").value();
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        const test::FakeLeaseWorker& asked = m_members[i]->m_worker;
        if (asked.m_id == worker && (test::FakeApprovals::isApproved(task, worker, approvedShare) || i == stableHash(step) % m_members.size()))
            return test::FakeApprovals::makeTicket(task, asked, validity, steadyNow().m_ms);
    }
    return std::nullopt;
}

StandInApprovals::StandInApprovals(EventLoop& loop, const StandInWorkers& workers)
    : m_loop(loop)
    , m_workers(workers)
    , m_server(loop)
{
}

Expected<void> StandInApprovals::listen(const Address& address)
{
    return m_server.listen({ .m_address = address }, [this](const HttpRequest& request, const HttpResponder& respond) {
        constexpr std::int64_t baseMs = 25;
        const Json body = Json::parse(viewOf(request.m_body));
        m_loop.runAfter({ baseMs + static_cast<std::int64_t>(body.at("workers").size()) / 2 }, [this, respond, body] {
            Json approved = Json::array();
            for (const Json& worker : body.at("workers")) {
                if (const auto ticket = m_workers.approve(body.at("step").get<std::string>(), worker.get<std::string>()))
                    approved.push_back(Json::array({ worker, *ticket }));
            }
            respond(jsonResponse(200, { { "approved", approved } }));
        });
    });
}

std::string makePayload(Duration runTime, std::size_t length)
{
    std::string payload = "run_ms=" + std::to_string(runTime.m_ms) + ";";
    payload.resize(std::max(payload.size(), length), 'x');
    return payload;
}

} // namespace bulrushloft::soak
