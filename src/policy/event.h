// Events: the inputs of the planner. They hold data only.
//
// Counts are of the reporting interval, rates are per second. In server reports an attempt is one
// transmission of an invocation to a server; in demand reports `attempts` counts the invocations
// that a proxy or shard received.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "policy/ids.h"

namespace badgergrade {

enum class ServerState { Gone, Ready, Draining };

/// What an endpoint list update contains.
enum class UpdateKind {
    WatchFailed,  ///< nothing: the watch has ended and must be requested again
    Delta,        ///< the endpoints that changed
    Cached,       ///< all endpoints as they were known before this instance started
    Snapshot,     ///< all endpoints; those not listed are gone
};

enum class HealthCheckOutcome {
    Healthy,
    Failed,
    Overloaded,
    TimedOut,
    Unreachable,
    Reset,
    Other,
};

/// One entry of the endpoint list.
struct Endpoint {
    ServerId server;
    ZoneId zone;
    ServerState state = ServerState::Ready;
    double weight = 1;
    /// When the server last started; 0: unknown or long ago.
    Micros started_at{};
};

namespace event {

struct EndpointListUpdate {
    UpdateKind kind;
    std::vector<Endpoint> endpoints;
};

/// A timer that was set by command::SetTimer has expired.
struct TimerFired {
    std::string token;
};

struct HealthCheckResult {
    ServerId server;
    HealthCheckOutcome outcome;
    Micros duration;
    std::vector<double> load_metrics;
};

/// A message from another control plane instance.
struct GossipMessage {
    PeerId from;
    std::string payload;
};

struct ProxyConnected {
    ProxyId proxy;
    /// The proxy's process has just started; it has no configuration from an earlier connection.
    bool fresh_start;
    ZoneId zone;
    /// Invocations per second that the proxy expects to receive.
    double announced_rate;
};

struct ProxyDisconnected {
    ProxyId proxy;
};

/// The results of the attempts that the proxies of one zone made at one server during `interval`.
struct ServerLoadReport {
    ZoneId zone;
    ServerId server;
    std::int64_t attempts;
    std::int64_t failures;
    /// Mean latency of the attempts that succeeded.
    Micros mean_latency;
    Micros interval;
    /// One value for each column of Settings::load_metric_names; empty if servers report none.
    std::vector<double> load_metrics;
};

/// The invocations of one operation that one proxy received during `interval`.
struct ProxyDemandReport {
    ProxyId proxy;
    OperationId operation;
    std::int64_t attempts;
    std::int64_t failures;
    Micros interval;
};

/// The invocations of one operation that one shard received during `interval`.
struct ShardDemandReport {
    TableId shard;
    OperationId operation;
    std::int64_t attempts;
    std::int64_t failures;
    Micros interval;
};

/// This instance has become, or is no longer, responsible for a shard.
struct ShardAssignmentChanged {
    TableId shard;
    bool assigned;
};

/// A server that held a shard before this instance became responsible for the shard.
struct ShardReplica {
    TableId shard;
    ServerId server;
    double weight;
};

/// A proxy has applied everything that was sent to it up to this version.
struct ConfigAcknowledged {
    ProxyId proxy;
    ConfigVersion version;
    /// From the command to the acknowledgement of this version.
    Micros delay;
};

}  // namespace event

using Event =
    std::variant<event::EndpointListUpdate, event::TimerFired, event::HealthCheckResult,
                 event::GossipMessage, event::ProxyConnected, event::ProxyDisconnected,
                 event::ServerLoadReport, event::ProxyDemandReport, event::ShardDemandReport,
                 event::ShardAssignmentChanged, event::ShardReplica, event::ConfigAcknowledged>;

}  // namespace badgergrade
