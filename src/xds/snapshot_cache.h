/// @file
/// Translates the policy's decisions into xDS resources: holds the decided configuration and
/// builds, for each decision, one message of resource changes per connected proxy. No I/O; no
/// decision is made here.
///
/// Retries: two rules decide what a proxy may retry, when its routes are built.
/// - The policy's decision: the retry mode of the admission setting for the table and operation
///   (`runtime::ConfigState::admission`), or `Settings::default_retry_mode` if there is none.
/// - The protocol rule, which overrides it: for an operation with side effects, the mode is at most
///   `RetryMode::OnlyUnprocessed`, so that a request that a server may have processed is never sent
///   again. Idempotent and fingerprinted operations keep the policy's mode.
/// The route carries the result as `retry_on`, `num_retries` and `per_try_timeout`, and no retry
/// policy for `RetryMode::Never`.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/network.h"
#include "policy/command.h"
#include "policy/ids.h"
#include "policy/settings.h"
#include "runtime/config_state.h"
#include "xds/resource_names.h"

namespace badgergrade::xds {

/// One version of one xDS resource; immutable, shared by all streams that carry it.
struct Resource {
    ResourceType type = ResourceType::Cluster;
    std::string name;
    /// Number of the update that built this version.
    std::uint64_t version = 0;
    /// The serialized resource, without the `Any` that wraps it on the wire.
    std::string bytes;
};

using ResourcePtr = std::shared_ptr<const Resource>;

/// A resource that an update adds, replaces or removes.
struct ResourceChange {
    ResourceType type = ResourceType::Cluster;
    std::string name;
    /// Null: the resource is removed.
    ResourcePtr resource;
};

/// The changes of one update for one proxy. The send queue releases it as a whole.
struct ProxyMessage {
    ProxyId proxy;
    /// Updates of one incarnation of a control plane instance are numbered from 1.
    std::uint64_t update_number = 0;
    Micros decided_at{};
    /// Size as the send queue counts it: the message head, the acknowledgement request and the
    /// changed lines.
    double lines = 0;
    /// The version whose acknowledgement the policy requested, if any.
    std::optional<ConfigVersion> requested_ack;
    std::vector<ResourceChange> changes;
};

/// The network address and zone of a server.
struct ServerLocation {
    net::Address address;
    std::string zone;
};

/// Why a command of the policy could not be executed.
enum class CommandError { UnknownServer, UnknownProxy };

/// A command that was not executed.
struct RejectedCommand {
    CommandError error = CommandError::UnknownServer;
    /// The command and the unknown id in it, for the log.
    std::string text;
};

class SnapshotCache {
public:
    /// `ejection_time` is how long a proxy's own outlier detection ejects a server.
    SnapshotCache(const Settings& settings, Micros ejection_time);

    /// Sets the location of a server. Commands that name the server are rejected before that.
    void set_server_location(ServerId server, ServerLocation location);

    /// Null for a server without a location.
    const ServerLocation* server_location(ServerId server) const;

    /// A stream of this proxy opened. Nothing has been sent on it, and no table is assigned to the
    /// proxy.
    void on_proxy_connected(ProxyId proxy);

    /// The proxy's stream ended.
    void on_proxy_disconnected(ProxyId proxy);

    /// The messages that result from one decision, and the commands that were not executed.
    struct Update {
        /// One for each connected proxy that the decision concerns, by ascending id.
        std::vector<ProxyMessage> messages;
        std::vector<RejectedCommand> rejected;
    };

    /// Executes the commands of one decision that change the configuration: weights, cleared
    /// tables, assignments of tables, ejections, admission limits and acknowledgement requests.
    /// Other commands are ignored.
    Update apply(Micros now, std::vector<Command> commands);

    /// Number of the newest update; 0 before the first.
    std::uint64_t update_number() const { return update_number_; }

private:
    /// What a proxy was sent on its current stream.
    struct SentState {
        /// Tables whose cluster was sent.
        std::set<TableId> tables;
        bool listener_sent = false;
        /// `routes_key()` of the routes that were sent last; empty: none were sent.
        std::string routes_key;
    };

    void remove_unknown_servers(std::vector<Command>& commands,
                                std::vector<RejectedCommand>& rejected) const;
    std::vector<ResourceChange> changes_for(const runtime::ProxyUpdate& update);
    std::set<TableId> assigned_tables(ProxyId proxy) const;
    std::set<TableId> changed_tables(const runtime::ProxyUpdate& update,
                                     const std::set<TableId>& assigned) const;
    void add_listener_and_routes(ProxyId proxy, SentState& sent,
                                 std::vector<ResourceChange>& changes);

    ResourcePtr cluster(TableId table);
    ResourcePtr endpoint_assignment(TableId table);
    ResourcePtr ejected_servers();
    ResourcePtr listener();
    ResourcePtr routes(ProxyId proxy);
    std::string routes_key(ProxyId proxy) const;
    ResourcePtr make_resource(ResourceType type, std::string name, std::string bytes) const;

    std::vector<Operation> operations_;
    LoadBalancingPolicy load_balancing_policy_;
    AdmissionMode admission_mode_;
    /// Time limit of one attempt, as a multiple of the operation's latency objective.
    double attempt_timeout_factor_;
    int ejection_failures_;
    Micros ejection_time_;
    std::map<ServerId, ServerLocation> server_locations_;
    runtime::ConfigState config_;
    std::map<ProxyId, SentState> sent_;
    std::uint64_t update_number_ = 0;
    /// Resources built in the current update, so that proxies with equal resources share one
    /// object. Keys: the cluster name for an endpoint assignment, "routes " and `routes_key()` for
    /// routes.
    std::map<std::string, ResourcePtr> current_resources_;
    /// The cluster of each table. It depends on the settings alone, and so does the listener.
    std::map<TableId, ResourcePtr> clusters_;
    ResourcePtr listener_;
};

}  // namespace badgergrade::xds
