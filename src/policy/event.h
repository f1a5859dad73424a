// What the decision module is told. No decision is taken here.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "policy/ids.h"

namespace badgergrade {

enum class ServerState { Gone, Ready, Draining };

/// What an endpoint list update holds.
enum class UpdateKind {
    WatchFailed,  ///< nothing: the watch has ended and must be asked for again
    Delta,        ///< the endpoints that changed
    Cached,       ///< all endpoints as they were known before the start
    Snapshot,     ///< all endpoints; those not named are gone
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

/// One server as the endpoint list names it.
struct Endpoint {
    ServerId server;
    ZoneId zone;
    ServerState state = ServerState::Ready;
    double weight = 1;
    /// When the server last started; 0: long ago.
    Micros started_at{};
};

namespace event {

struct EndpointListUpdate {
    UpdateKind kind;
    std::vector<Endpoint> endpoints;
};

/// A timer of command::SetTimer is due.
struct TimerFired {
    std::string token;
};

struct HealthCheckResult {
    ServerId server;
    HealthCheckOutcome outcome;
    Micros duration;
    std::vector<double> load_metrics;
};

/// A message of another control plane instance.
struct GossipMessage {
    PeerId from;
    std::string payload;
};

struct ProxyConnected {
    ProxyId proxy;
    /// The proxy's process has just started; it holds nothing of an earlier connection.
    bool fresh_start;
    ZoneId zone;
    /// Invocations per second that it expects to be asked for.
    double announced_rate;
};

struct ProxyDisconnected {
    ProxyId proxy;
};

/// What the proxies of one zone met at one server during `interval`.
struct ServerLoadReport {
    ZoneId zone;
    ServerId server;
    std::int64_t attempts;
    std::int64_t failures;
    /// Mean latency of the attempts that succeeded.
    Micros mean_latency;
    Micros interval;
    /// By column of Settings::load_metric_names; empty where servers report none.
    std::vector<double> load_metrics;
};

/// What one proxy was asked for during `interval`.
struct ProxyDemandReport {
    ProxyId proxy;
    OperationId operation;
    std::int64_t attempts;
    std::int64_t failures;
    Micros interval;
};

/// What one shard was asked for during `interval`.
struct ShardDemandReport {
    TableId shard;
    OperationId operation;
    std::int64_t attempts;
    std::int64_t failures;
    Micros interval;
};

/// This instance is, or is no longer, the one that decides on a shard.
struct ShardAssignmentChanged {
    TableId shard;
    bool assigned;
};

/// A replica of a shard as it was recorded before this instance took over.
struct ShardReplica {
    TableId shard;
    ServerId server;
    double weight;
};

/// A proxy has applied all that was sent to it up to this version.
struct ConfigAcknowledged {
    ProxyId proxy;
    ConfigVersion version;
    /// From the command to the acknowledgement.
    Micros delay;
};

}  // namespace event

using Event =
    std::variant<event::EndpointListUpdate, event::TimerFired, event::HealthCheckResult,
                 event::GossipMessage, event::ProxyConnected, event::ProxyDisconnected,
                 event::ServerLoadReport, event::ProxyDemandReport, event::ShardDemandReport,
                 event::ShardAssignmentChanged, event::ShardReplica, event::ConfigAcknowledged>;

}  // namespace badgergrade
