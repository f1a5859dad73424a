// Commands: what the planner asks its caller to do. The commands of one decision are carried out in
// their order.
//
// To a proxy that uses the table, a SetWeight or SetAdmission is one line of a configuration
// message; an AssignTable is one line and all lines of the table. A proxy receives the lines of one
// decision as one message, under the version of its RequestAck.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "policy/ids.h"
#include "policy/settings.h"

namespace badgergrade {
namespace command {

/// Deliver event::TimerFired with this token after the delay.
struct SetTimer {
    std::string token;
    Micros delay;
};

/// Write a line to the operator's log.
struct LogMessage {
    std::string text;
};

/// Start or stop watching the endpoint list.
struct WatchEndpoints {
    bool enabled;
};

/// Read the whole endpoint list once.
struct FetchEndpoints {};

/// Check a server once; event::HealthCheckResult brings the outcome.
struct CheckHealth {
    ServerId server;
};

/// Send a message to other control plane instances; it arrives as event::GossipMessage.
struct SendGossip {
    /// Without a value: every other instance.
    std::optional<PeerId> recipient;
    std::string payload;
};

/// Set a server's weight in a table; 0 removes it.
struct SetWeight {
    TableId table;
    ServerId server;
    double weight;
};

/// Remove all servers and admission settings from a table.
struct ClearTable {
    TableId table;
};

/// Assign a table to a proxy for some operations.
struct AssignTable {
    TableId table;
    OperationMask operations;
    ProxyId proxy;
};

/// Stop all connected proxies from using a server, whatever their tables say, or undo that.
struct SetEjected {
    ServerId server;
    bool ejected;
};

/// Set the admission limit of some operations for all users of a table, and what they may retry.
struct SetAdmission {
    /// A rate (invocations per second) from this one on admits everything.
    static constexpr double kUnlimitedRate = 1e6;

    TableId table;
    OperationMask operations;
    /// A fraction (0 to 1) or a rate per second, by Settings::admission_mode.
    double limit;
    RetryMode retry_mode;
};

/// Ask the proxies that were sent lines in this decision, or all proxies, to acknowledge it under
/// this version.
struct RequestAck {
    ConfigVersion version;
    bool all_proxies;
};

}  // namespace command

using Command = std::variant<command::SetTimer, command::LogMessage, command::WatchEndpoints,
                             command::FetchEndpoints, command::CheckHealth, command::SendGossip,
                             command::SetWeight, command::ClearTable, command::AssignTable,
                             command::SetEjected, command::SetAdmission, command::RequestAck>;

}  // namespace badgergrade
