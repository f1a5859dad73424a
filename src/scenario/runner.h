// Runs a scripted scenario and returns its figures and rule violations.
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
    // Reproducible under the virtual clock, to the byte.
    nlohmann::ordered_json result;
    // CPU time, memory and real time, which depend on the machine.
    nlohmann::ordered_json machine;
    std::vector<RuleViolation> violations;
};

struct ScenarioOptions {
    ClockKind clock = ClockKind::Virtual;
    // Log lines at this level and above are written to standard error.
    log::Level log_level = log::Level::Off;
    log::Form log_form = log::Form::Text;
    // For tests and recorders: called with the fleet before it starts.
    std::function<void(SimulatedFleet&)> before_start;
    std::vector<testbed::Observer*> observers;
    // For tests and recorders: called with the start time before the fleet exists; the returned
    // observers are added.
    std::function<std::vector<testbed::Observer*>(Micros begin)> make_observers;
    // Replaces the script's fleet, faults and traffic.
    const RecordedScenario* recorded = nullptr;
    // The figures count invocations that arrive from this time after the start on.
    Micros measure_from{};
    // The real clock runs this many times faster. Handlers still take real time, so that high
    // speeds distort the result.
    double speed = 1;
};

ScenarioRun run_scenario(const ScenarioScript& script, const ScenarioOptions& options);
// The result as text for operators.
std::string to_text(const ScenarioScript& script, const ScenarioRun& run);

}  // namespace badgergrade::scenario
