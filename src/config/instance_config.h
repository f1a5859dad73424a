/// @file
/// The INI configuration file of one control plane instance: the settings of the policy, and those
/// of the program around it (listening address, registry, limits, log). The keys are described in
/// docs and shown in examples/governor.ini.
#pragma once

#include <string>
#include <vector>

#include "config/ini.h"
#include "policy/ids.h"
#include "policy/settings.h"

namespace badgergrade::config {

/// How to treat an empty endpoint list if the previous one was not empty.
enum class EmptyListPolicy { Refuse, Accept };

/// The validated configuration of a control plane instance. Times are in microseconds.
struct InstanceConfig {
    std::string id = "governor-0";
    Settings settings;                                 ///< settings of the policy
    std::uint64_t seed = 1;                            ///< seed of all random choices
    std::vector<std::string> zones;                    ///< names by ZoneId
    std::string xds_address = "127.0.0.1:18000";       ///< host:port to listen on
    std::string registry_address = "127.0.0.1:18500";  ///< host:port of the service registry
    Micros registry_long_poll_wait{};  ///< how long the registry may hold a poll without changes
    /// Timeout for connecting to the registry, and for an answer in addition to the long poll wait.
    Micros registry_timeout{};
    EmptyListPolicy empty_list_policy = EmptyListPolicy::Refuse;
    /// An endpoint list with fewer servers than this fraction of the previous one is accepted only
    /// after a second answer confirms it. 0: always accepted.
    double min_endpoint_fraction = 0;
    /// Events that arrive within this time share one decision.
    Micros batch_window{};
    int max_connections = 0;  ///< limit of simultaneous xDS connections
    std::size_t max_message_bytes = 0;
    /// A proxy that does not read is disconnected when more bytes than this wait for it.
    std::size_t max_queued_bytes_per_stream = 0;
    /// Limit of the memory that all xDS connections together hold.
    std::size_t max_held_bytes = 0;
    Micros keepalive_interval{};  ///< idle time before a ping; 0: no pings
    Micros health_check_timeout{};
    Micros ejection_time{};  ///< how long a proxy's own outlier detection ejects a server
    int log_level = 1;       ///< log::Level as a number: debug, info, warning, error
    bool log_json = false;   ///< JSON lines instead of text
};

/// Reads and validates the configuration and appends all errors to `errors`. The result may be used
/// only if `errors` is empty.
InstanceConfig read_instance_config(const IniFile& file, std::vector<ConfigError>& errors);

}  // namespace badgergrade::config
