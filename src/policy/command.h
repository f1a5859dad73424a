// What the decision module wants done. Commands of one decision are carried out in their order.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "policy/ids.h"
#include "policy/settings.h"

namespace badgergrade {
namespace command {

/// Fire event::TimerFired with this token after the delay.
struct SetTimer {
    std::string token;
    Micros delay;
};

/// A line for the operator's log.
struct LogMessage {
    std::string text;
};

/// Begin or end the watch of the endpoint list.
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
    /// Nothing: every other instance.
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

/// Let a proxy use a table for some operations.
struct AssignTable {
    TableId table;
    OperationMask operations;
    ProxyId proxy;
};

/// Let no connected proxy use a server, whatever its tables say; or take that back.
struct SetEjected {
    ServerId server;
    bool ejected;
};

/// How much of some operations the users of a table admit, and what they retry.
struct SetAdmission {
    /// A rate (invocations per second) at or above this admits everything.
    static constexpr double kUnlimitedRate = 1e6;

    TableId table;
    OperationMask operations;
    /// A fraction (0 to 1) or a rate per second, by Settings::admission_mode.
    double limit;
    RetryMode retry_mode;
};

/// Ask the proxies that this decision concerns, or all, to acknowledge it.
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
