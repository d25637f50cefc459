/** @file node_soak_test.cpp Simulations of daemons with random faults. RC_PARAMS="seed=N max_success=M" sets the seed and the number of simulations; WORLD_LOG turns on the log, WORLD_VERBOSE prints a summary of each simulation and the state of the owners of jobs that did not end. */
#define BOOST_TEST_MODULE node_soak
#include "core/log_func.h"
#include "node_simulation.h"

#include <cstdlib>
#include <iostream>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bulrushloft;

namespace {

rc::Gen<Fault> anyFault()
{
    return rc::gen::build<Fault>(
        rc::gen::set(&Fault::m_kind, rc::gen::map(rc::gen::inRange(0U, faultKindCount), [](unsigned kind) { return static_cast<FaultKind>(kind); })),
        rc::gen::set(&Fault::m_atMs, rc::gen::inRange<std::int64_t>(0, 28'000)),
        rc::gen::set(&Fault::m_durationMs, rc::gen::inRange<std::int64_t>(100, 15'000)),
        rc::gen::set(&Fault::m_target, rc::gen::inRange(0U, 24U)));
}

struct Setup {
    Setup()
    {
        openLog({ .m_level = std::getenv("WORLD_LOG") ? LogLevel::Debug : LogLevel::Off, .m_process = "world" });
        setenv("RC_PARAMS", "seed=20261204 max_success=25 noshrink=1", 0);
        std::cout << "RC_PARAMS=\"" << std::getenv("RC_PARAMS") << "\"\n";
    }
};

} // namespace

BOOST_GLOBAL_FIXTURE(Setup);

BOOST_AUTO_TEST_CASE(guarantees_hold_under_random_faults)
{
    const bool holds = rc::check("guarantees hold under random faults", [] {
        NodeSimulationOptions options;
        options.m_seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
        const int count = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 9));
        options.m_faults = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<Fault>>(static_cast<std::size_t>(count), anyFault()));
        NodeSimulation simulation(options);
        simulation.run();
        const std::vector<std::string> violations = simulation.findViolations();
        RC_LOG() << "simulation seed " << options.m_seed << ": " << simulation.summary() << "\n";
        for (const Fault& fault : options.m_faults)
            RC_LOG() << "  " << fault << "\n";
        for (const std::string& violation : violations)
            RC_LOG() << "  VIOLATION " << violation << "\n";
        if (std::getenv("WORLD_VERBOSE"))
            std::cout << "simulation seed " << options.m_seed << ": " << simulation.summary() << std::endl;
        RC_ASSERT(violations.empty());
    });
    BOOST_TEST(holds);
}
