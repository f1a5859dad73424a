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
#include "replay/recorded_day.h"
#include "scenario/script.h"

namespace badgergrade::replay {

struct Trial {
    std::string name;          // of its file, or of what was set
    config::IniFile settings;  // the recorded ones with the changes
    int more_workers = 0;      // below 0: fewer
    double traffic = 1;
    std::optional<int> startup;
};

using Sets = std::vector<std::pair<std::string, std::string>>;  // "section.key", value

// Every mistake is told; the trial is good only where there is none.
Trial read_trial(const RecordedDay& day, const std::optional<config::IniFile>& file,
                 const Sets& sets, std::vector<config::ConfigError>& mistakes);
// "section.key=value"; nothing where it is not of that form.
std::optional<std::pair<std::string, std::string>> read_set(const std::string& text);

// The day's script under the trial's settings, checked against the day once more.
scenario::ScenarioScript make_script(const RecordedDay& day, const Trial& trial,
                                     std::vector<config::ConfigError>& mistakes);

struct Playable {
    scenario::ScenarioScript script;
    scenario::RecordedScenario world;
};

// That script, and the recorded world with the ready-made changes.
Playable make_playable(const RecordedDay& day, const Trial& trial,
                       std::vector<config::ConfigError>& mistakes);

}  // namespace badgergrade::replay
