// Plays a scripted day and tells what it came to.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "scenario/auditor.h"
#include "scenario/figures.h"
#include "scenario/script.h"
#include "scenario/world.h"

namespace badgergrade::scenario {

enum class ClockKind { Real, Virtual };

struct DayRun {
    // All that is the same each time under the virtual clock.
    nlohmann::ordered_json result;
    // CPU, memory and real time: this machine's.
    nlohmann::ordered_json machine;
    std::vector<RuleBreak> breaks;
};

struct DayOptions {
    ClockKind clock = ClockKind::Virtual;
    // Log lines at this level and above go to standard error.
    log::Level log = log::Level::Off;
    log::Form log_form = log::Form::Text;
    // For tests: called with the world before it starts.
    std::function<void(World&)> before;
    std::vector<testbed::Observer*> watchers;
    // For tests and recorders: told the clock's time before anything begins; what it names watches
    // too.
    std::function<std::vector<testbed::Observer*>(Micros begin)> prepare;
    // Played in place of the script's fleet, troubles and traffic.
    const GivenWorld* given = nullptr;
    // The figures count what came from here on, up to the script's length.
    Micros count_from{};
    // The real clock runs this many times faster; handlers take their real time, so that high
    // speeds distort.
    double speed = 1;
};

DayRun run_day(const DayScript& script, const DayOptions& options);
// The run as text for people.
std::string to_text(const DayScript& script, const DayRun& run);

}  // namespace badgergrade::scenario
