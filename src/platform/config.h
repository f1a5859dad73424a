/// Parses the JSON documents of the platform: the configuration file of a control plane instance
/// (`badgergrade node`), and the answers of discovery, which list the servers. No I/O.
///
/// The `settings` object of the configuration has the same keys and units (milliseconds) as the
/// start message that the simulator sends. It is converted to that message and parsed by the same
/// code (adapter/codec.h), so that a setting means the same in both.
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

/// The document is not valid; what() names the field, what was expected and what was found.
struct ParseError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The names that stand on the wire for the ids of the policy. The index of a name is the id.
struct ProtocolNames {
    std::vector<std::string> zones;       ///< by ZoneId
    std::vector<std::string> operations;  ///< by OperationId
    /// Names of load metrics in the platform's reports, in the order of the settings.
    std::vector<std::string> load_metrics;
    int proxy_count = 0;  ///< proxies are numbered from 0 to proxy_count - 1
};

/// One server in discovery's list.
struct ServerEntry {
    std::string id;    ///< text id of the server
    std::string zone;  ///< name of its zone; empty if discovery names none
    ServerState state = ServerState::Ready;
    double weight = 1;      ///< relative capacity, not negative
    double started_ms = 0;  ///< start of the server, Unix time in milliseconds; 0: long ago
};

/// An answer of discovery.
struct ServerList {
    std::uint64_t generation = 0;  ///< version of discovery's list after this answer
    /// True: `servers` is the complete list, and a server that is not in it is gone. False:
    /// `servers` holds the changes since the generation that was asked for.
    bool is_snapshot = false;
    std::vector<ServerEntry> servers;
    /// One reason for each entry that was skipped because it is not valid.
    std::vector<std::string> skip_reasons;
    /// Ids of the skipped entries that have a readable id. A snapshot must not mark these servers
    /// as gone.
    std::vector<std::string> skipped_ids{};
};

/// The configuration file of a control plane instance.
struct NodeConfig {
    std::string name;        ///< name of this instance in the log
    net::Address listen;     ///< listening address for proxies, collectors and health checks
    net::Address discovery;  ///< address of discovery's agent
    std::uint64_t seed = 0;  ///< seed of all random choices
    int max_sockets = 1024;  ///< limit of file descriptors of this process
    /// Limit of the memory of this process.
    std::size_t max_memory_bytes = std::size_t{64} << 20;
    Micros batch_window{};  ///< events that arrive within this time share one decision
    Settings settings;      ///< settings of the policy
    ProtocolNames protocol_names;
    ServerList initial_list;  ///< the list of servers at the time the file was written
};

/// Parses a configuration file. Unknown keys are ignored. Throws ParseError.
NodeConfig read_config(const std::string& json);

/// Parses an answer of discovery. An entry that is not valid is skipped and reported in the result.
/// Throws ParseError if the answer as a whole is not valid.
ServerList read_server_list(const std::string& json);

}  // namespace badgergrade::platform
