/// @file
/// The configuration file of one control plane instance: the settings of the policy, and what the
/// program itself needs. The keys are those of docs and examples/governor.ini.
#pragma once

#include <string>
#include <vector>

#include "config/ini.h"
#include "policy/ids.h"
#include "policy/settings.h"

namespace badgergrade::config {

/// What to do with an endpoint list that is empty after one that was not.
enum class EmptyListPolicy { Refuse, Accept };

struct InstanceConfig {
    std::string id = "governor-0";
    Settings settings;  ///< of the policy
    std::uint64_t seed = 1;
    std::vector<std::string> zones;
    std::string xds_address = "127.0.0.1:18000";       ///< host:port to listen on
    std::string registry_address = "127.0.0.1:18500";  ///< host:port of the service registry
    Micros registry_long_poll_wait{};  ///< how long a blocking query may wait for a change
    Micros registry_timeout{};
    EmptyListPolicy empty_list_policy = EmptyListPolicy::Refuse;
    /// An endpoint list with fewer servers than this fraction of the last one must be confirmed by
    /// a second answer. 0: off.
    double min_endpoint_fraction = 0;
    /// Events that arrive within this time share one decision.
    Micros batch_window{};
    int max_connections = 0;
    std::size_t max_message_bytes = 0;
    std::size_t max_queued_bytes_per_stream = 0;
    Micros keepalive_interval{};
    Micros health_check_timeout{};
    Micros ejection_time{};  ///< how long a proxy ejects a server on its own
    int log_level = 1;       ///< log::Level: debug, info, warning, error
    bool log_json = false;
};

/// Reads the configuration. The result may be used only where `errors` stays empty.
InstanceConfig read_instance_config(const IniFile& file, std::vector<ConfigError>& errors);

}  // namespace badgergrade::config
