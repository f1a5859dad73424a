// The settings of one governor: what the module is told, and what the program itself needs.
#pragma once

#include <string>
#include <vector>

#include "config/ini.h"
#include "policy/ids.h"
#include "policy/settings.h"

namespace badgergrade::config {

enum class EmptyList { Refuse, Take };

struct GovernorConfig {
    std::string id = "governor-0";
    Settings told;
    std::uint64_t seed = 1;
    std::vector<std::string> zones;
    std::string xds_address = "127.0.0.1:18000";
    std::string registry_address = "127.0.0.1:18500";
    Micros registry_wait{};
    Micros registry_timeout{};
    EmptyList empty_list = EmptyList::Refuse;
    double shrink_refused =
        0;  // a list that names fewer than this part of the last is doubted once
    // Events that come within this time are decided on together.
    Micros batch{};
    int connections_most = 0;
    std::size_t message_bytes = 0, waiting_bytes = 0;
    Micros keepalive{};
    Micros probe_timeout{};
    Micros eject_time{};
    int log_level = 1;  // debug, info, warning, error
    bool log_json = false;
};

// Reads the settings; every mistake is added to `mistakes`, and the result is good only where there
// is none.
GovernorConfig read_governor(const IniFile& file, std::vector<Mistake>& mistakes);

}  // namespace badgergrade::config
