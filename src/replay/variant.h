// What is changed for a replay: settings that are a user's to choose, and ready-made changes of the
// recorded fleet and traffic. What is a fact of the recorded day can't be tried and is refused
// before the run.
//
//   key=value of the INI:   reports.period=1 s    channel.lines_per_second=7000
//   forwarders.levels=share [replay] of a file, or replay.KEY:
//     workers = +10% | -2     more or fewer of them (more: like the recorded ones, warm from the
//     beginning) traffic = 1.2           so many times the invocations, each drawn by its id
//     startup = 5             servers in a start-up table
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/ini.h"
#include "replay/recorded_run.h"
#include "scenario/script.h"

namespace badgergrade::replay {

struct Variant {
    std::string name;          // of its file, or of what was set
    config::IniFile settings;  // the recorded ones with the changes
    int added_servers = 0;     // below 0: fewer
    double traffic_factor = 1;
    std::optional<int> startup_servers;
};

using SettingOverrides = std::vector<std::pair<std::string, std::string>>;  // "section.key", value

// Every mistake is told; the trial is good only where there is none.
Variant read_variant(const RecordedRun& day, const std::optional<config::IniFile>& file,
                     const SettingOverrides& sets, std::vector<config::ConfigError>& mistakes);
// "section.key=value"; nothing where it is not of that form.
std::optional<std::pair<std::string, std::string>> parse_override(const std::string& text);

// The day's script under the trial's settings, checked against the day once more.
scenario::ScenarioScript make_script(const RecordedRun& day, const Variant& variant,
                                     std::vector<config::ConfigError>& mistakes);

struct ReplayInput {
    scenario::ScenarioScript script;
    scenario::RecordedScenario input;
};

// That script, and the recorded world with the ready-made changes.
ReplayInput make_replay_input(const RecordedRun& day, const Variant& variant,
                              std::vector<config::ConfigError>& mistakes);

}  // namespace badgergrade::replay
