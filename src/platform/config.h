/// The configuration of an instance on the platform, and discovery's answers: JSON into types of
/// the decision module. No I/O.
///
/// The settings are the object that the simulator sends at the start, with its names and units
/// (milliseconds). They are put into the form of that message and read by the same reader, so that
/// both ways in have one meaning.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/network.h"
#include "policy/event.h"
#include "policy/ids.h"
#include "policy/settings.h"

namespace badgergrade::platform {

/// A configuration or an answer can't be read; the text says why in plain words.
struct ParseError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Names on the wire behind the ids of the decision module: the index in the list is the id.
struct ProtocolNames {
    std::vector<std::string> zones;       ///< By ZoneId.
    std::vector<std::string> operations;  ///< By OperationId.
    /// Names of load metrics in the platform's reports, in the order of the settings.
    std::vector<std::string> load_metrics;
    int proxy_count = 0;  ///< Proxies are numbered from 0.
};

/// One entry of discovery's list.
struct Instance {
    std::string id;    ///< Text id of the server.
    std::string zone;  ///< Name of its zone; empty where discovery gives none.
    ServerState state = ServerState::Ready;
    double weight = 1;      ///< Relative capacity, not negative.
    double started_ms = 0;  ///< Start of the server, Unix time in milliseconds; 0: long ago.
};

/// An answer of discovery.
struct InstanceList {
    std::uint64_t generation = 0;
    /// True: all instances, so that one that is not named is gone. False: changes to the list of
    /// the generation before.
    bool is_snapshot = false;
    std::vector<Instance> instances;
    /// Why entries were skipped: one reason for each entry that can't be read.
    std::vector<std::string> skipped_entries;
    /// Ids of skipped entries, where the id could be read: a snapshot does not say that these
    /// servers are gone.
    std::vector<std::string> unreadable_ids{};
};

/// The configuration file.
struct NodeConfig {
    std::string name;        ///< Of this instance, in the log.
    net::Address listen;     ///< For proxies, collectors and health checks.
    net::Address discovery;  ///< Of discovery's agent.
    std::uint64_t seed = 0;  ///< Of all random choices.
    int max_sockets = 1024;  ///< Most descriptors that this process may use.
    Micros batch_window{};   ///< Events that arrive within it are decided on together.
    Settings settings;
    ProtocolNames protocol_names;
    InstanceList initial_list;  ///< The list of servers as it was when the file was written.
};

/// Reads a configuration file. Unknown keys are skipped. Throws ParseError.
NodeConfig read_config(const std::string& json);

/// Reads an answer of discovery. An entry that can't be read is skipped and named in the list;
/// throws ParseError where the answer as a whole can't be read.
InstanceList read_instances(const std::string& json);

}  // namespace badgergrade::platform
