/// @file
/// A variant of a recorded scenario: what a replay changes of it. These are settings that the user
/// can choose, and a few changes of the recorded fleet and traffic. Facts of the recorded scenario,
/// such as its zones and operations, cannot be changed; a variant that tries to is refused before
/// the replay.
///
/// Changes are given in an INI file or as section.key=value:
///
///   reports.period=1 s              any setting of the control plane instances
///   channel.lines_per_second=7000
///   forwarders.levels=share
///
/// and, in the section `replay`:
///
///   workers = +10% | -2   more or fewer servers; added ones resemble recorded ones and are warm
///                         from the start
///   traffic = 1.2         this many times the invocations, each one selected by its id
///   startup = 5           servers in a proxy's start-up table
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
    /// For reports: the name of the file, or the changes.
    std::string name;
    /// The recorded settings with the changes.
    config::IniFile settings;
    /// Negative: this many servers fewer.
    int added_servers = 0;
    double traffic_factor = 1;
    std::optional<int> startup_servers;
};

/// Pairs of "section.key" and value.
using SettingOverrides = std::vector<std::pair<std::string, std::string>>;

/// Reads the changes in `file` and then in `overrides`. All errors are added to `errors`; the
/// variant is valid only if there are none.
Variant read_variant(const RecordedRun& recorded, const std::optional<config::IniFile>& file,
                     const SettingOverrides& overrides, std::vector<config::ConfigError>& errors);
/// Splits "section.key=value"; nothing if `text` does not have that form.
std::optional<std::pair<std::string, std::string>> parse_override(const std::string& text);

/// The recorded script under the variant's settings. Settings that contradict the recording are
/// added to `errors`.
scenario::ScenarioScript make_script(const RecordedRun& recorded, const Variant& variant,
                                     std::vector<config::ConfigError>& errors);

struct ReplayInput {
    scenario::ScenarioScript script;
    scenario::RecordedScenario input;
};

/// That script, and the recorded actions and invocations with the variant's changes of fleet and
/// traffic.
ReplayInput make_replay_input(const RecordedRun& recorded, const Variant& variant,
                              std::vector<config::ConfigError>& errors);

}  // namespace badgergrade::replay
