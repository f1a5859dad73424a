// A recording read back into what can be played again: the world as it was, the invocations as they
// came, and what the day came to.
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

struct FaultSpan {
    Micros start{}, duration{};  // lasts 0: for good
    std::string description;
};

struct RecordedRun {
    std::string path;
    pb::Header header;
    config::IniFile settings;  // as in force when it was recorded
    std::string script;        // the day's text, without its settings
    scenario::RecordedScenario input;
    std::vector<FaultSpan> faults;
    Micros length{};
    std::uint64_t records = 0, lost_records = 0, invocations = 0;
    std::vector<recording::Damage> damage;
    nlohmann::ordered_json
        figures;  // as recorded; tries and effects of the stand-ins only as far as recorded
    std::map<std::string, std::uint64_t> record_counts;  // records by kind
};

// Reads it whole. Throws std::runtime_error where the file is none, or holds no day that could be
// played.
RecordedRun load_recording(const std::string& path);

// The script without the lines that name settings: those stand in the recording.
std::string strip_settings(const std::string& script);

}  // namespace badgergrade::replay
