// Plays a scripted day and tells what it came to.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "scenario/auditor.h"
#include "scenario/metrics.h"
#include "scenario/script.h"
#include "scenario/simulated_fleet.h"

namespace badgergrade::scenario {

enum class ClockKind { Real, Virtual };

struct ScenarioRun {
    // All that is the same each time under the virtual clock.
    nlohmann::ordered_json result;
    // CPU, memory and real time: this machine's.
    nlohmann::ordered_json machine;
    std::vector<RuleViolation> violations;
};

struct ScenarioOptions {
    ClockKind clock = ClockKind::Virtual;
    // Log lines at this level and above go to standard error.
    log::Level log_level = log::Level::Off;
    log::Form log_form = log::Form::Text;
    // For tests: called with the world before it starts.
    std::function<void(SimulatedFleet&)> before_start;
    std::vector<testbed::Observer*> observers;
    // For tests and recorders: told the clock's time before anything begins; what it names watches
    // too.
    std::function<std::vector<testbed::Observer*>(Micros begin)> make_observers;
    // Played in place of the script's fleet, troubles and traffic.
    const RecordedScenario* recorded = nullptr;
    // The figures count what came from here on, up to the script's length.
    Micros measure_from{};
    // The real clock runs this many times faster; handlers take their real time, so that high
    // speeds distort.
    double speed = 1;
};

ScenarioRun run_scenario(const ScenarioScript& script, const ScenarioOptions& options);
// The run as text for people.
std::string to_text(const ScenarioScript& script, const ScenarioRun& run);

}  // namespace badgergrade::scenario
