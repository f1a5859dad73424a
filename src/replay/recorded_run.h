/// @file
/// Loads a recording into memory in a form that can be replayed: the actions on the fleet, the
/// invocations, and the figures that the recorded run had.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "recording/reader.h"
#include "scenario/fault_action.h"
#include "scenario/metrics.h"

namespace badgergrade::replay {

using base::Micros;
namespace pb = badgergrade::recording::v1;

/// A fault that the script started, for reports.
struct FaultSpan {
    /// Since the scenario began. A `duration` of 0 means permanent.
    Micros start{}, duration{};
    std::string description;
};

struct RecordedRun {
    std::string path;
    pb::Header header;
    /// The settings that were in force when the run was recorded.
    config::IniFile settings;
    /// The scenario's script without the lines that name settings.
    std::string script;
    scenario::RecordedScenario input;
    std::vector<FaultSpan> faults;
    Micros length{};
    /// `lost_records` were never written; see recording::WriterOptions.
    std::uint64_t records = 0, lost_records = 0, invocations = 0;
    std::vector<recording::Damage> damage;
    /// The figures of the recorded run. Attempts and effects that only the fakes can count are
    /// contained as far as they were recorded.
    nlohmann::ordered_json figures;
    /// Number of records by kind, as `replay info` names the kinds.
    std::map<std::string, std::uint64_t> record_counts;
};

/// Reads the whole file. Damaged blocks are skipped and listed in `damage`. Throws
/// std::runtime_error if the file is not a recording or does not hold a scenario that can be
/// replayed.
RecordedRun load_recording(const std::string& path);

/// The script without the lines that name settings, since the recording holds the settings itself.
std::string strip_settings(const std::string& script);

}  // namespace badgergrade::replay
