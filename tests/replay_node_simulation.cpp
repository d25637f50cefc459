/** @file replay_node_simulation.cpp Runs one simulation with given faults: replay_node_simulation SEED KIND:TARGET:AT_MS:DURATION_MS ... KIND is the number of the FaultKind. WORLD_LOG turns on the log, WORLD_VERBOSE prints the state of the owners of jobs that did not end. */
#include "core/log_func.h"
#include "node_simulation.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace bulrushloft;
    openLog({ .m_level = std::getenv("WORLD_LOG") ? LogLevel::Debug : LogLevel::Off, .m_process = "world" });
    NodeSimulationOptions options;
    options.m_seed = std::strtoull(argc > 1 ? argv[1] : "1", nullptr, 10);
    for (int i = 2; i < argc; ++i) {
        unsigned kind = 0;
        unsigned target = 0;
        long at = 0;
        long duration = 0;
        if (std::sscanf(argv[i], "%u:%u:%ld:%ld", &kind, &target, &at, &duration) != 4) {
            std::cerr << "replay_node_simulation: invalid fault \"" << argv[i] << "\"; write it as KIND:TARGET:AT_MS:DURATION_MS\n";
            return 2;
        }
        options.m_faults.push_back({ static_cast<FaultKind>(kind), at, duration, target });
    }
    NodeSimulation simulation(options);
    simulation.run();
    const auto violations = simulation.findViolations();
    std::cout << simulation.summary() << "\n";
    for (const std::string& violation : violations)
        std::cout << "VIOLATION " << violation << "\n";
    return violations.empty() ? 0 : 1;
}
