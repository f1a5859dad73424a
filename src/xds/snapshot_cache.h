/// @file
/// The configuration that the policy decided on, as xDS resources, and the message that each
/// decision is for each connected proxy. No I/O, and no decision is made here.
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

/// One version of one resource: immutable, shared by all streams that carry it.
struct Resource {
    ResourceType type = ResourceType::Cluster;
    std::string name;
    /// The number of the update that made it.
    std::uint64_t version = 0;
    /// The serialized message, without the `Any` around it.
    std::string bytes;
};

using ResourcePtr = std::shared_ptr<const Resource>;

/// A resource that an update adds, replaces or removes.
struct ResourceChange {
    ResourceType type = ResourceType::Cluster;
    std::string name;
    /// Null: removed.
    ResourcePtr resource;
};

/// What one update is for one proxy. It leaves the send queue as a whole.
struct ProxyMessage {
    ProxyId proxy;
    /// Updates of one control plane instance are numbered from 1.
    std::uint64_t update_number = 0;
    Micros decided_at{};
    /// Size as the send queue counts it: message head, acknowledgement request and changed lines.
    double lines = 0;
    /// The acknowledgement that the policy asked for, if any.
    std::optional<ConfigVersion> requested_ack;
    std::vector<ResourceChange> changes;
};

/// Where a server is reached.
struct ServerLocation {
    net::Address address;
    std::string zone;
};

/// Why a command of the policy could not be carried out.
enum class CommandError { UnknownServer, UnknownProxy };

/// A command that was left out.
struct RejectedCommand {
    CommandError error = CommandError::UnknownServer;
    /// Which command, and what it named, for the log.
    std::string text;
};

class SnapshotCache {
public:
    /// `ejection_time` is how long a proxy itself ejects a server that fails.
    SnapshotCache(const Settings& settings, Micros ejection_time);

    /// Sets where a server is reached; commands may name it from then on.
    void set_server_location(ServerId server, ServerLocation location);

    /// Null for a server without a location.
    const ServerLocation* server_location(ServerId server) const;

    /// A stream of this proxy opened: it was sent nothing yet, and no table is assigned to it.
    void on_proxy_connected(ProxyId proxy);

    /// Its stream ended.
    void on_proxy_disconnected(ProxyId proxy);

    /// What one decision is for the proxies, and which of its commands were left out.
    struct Update {
        /// One for each connected proxy concerned, by ascending id.
        std::vector<ProxyMessage> messages;
        std::vector<RejectedCommand> rejected;
    };

    /// Carries out the commands of one decision that change the configuration: weights, cleared
    /// tables, assignments of tables, ejections, admission limits and acknowledgement requests.
    Update apply(Micros now, std::vector<Command> commands);

    /// The number of the newest update; 0 before the first.
    std::uint64_t update_number() const { return update_number_; }

private:
    /// What a proxy was sent on its stream.
    struct SentState {
        /// Tables whose cluster was sent.
        std::set<TableId> tables;
        bool listener = false;
        /// What its routes were made from; see `routes_key`.
        std::string routes;
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
    ResourcePtr assignment(TableId table);
    ResourcePtr ejected_servers();
    ResourcePtr listener();
    ResourcePtr routes(ProxyId proxy);
    std::string routes_key(ProxyId proxy) const;
    ResourcePtr make_resource(ResourceType type, std::string name, std::string bytes) const;

    std::vector<Operation> operations_;
    LoadBalancingPolicy pick_policy_;
    AdmissionMode admission_mode_;
    /// Timeout of one attempt, as a multiple of the operation's latency objective.
    double attempt_timeout_factor_;
    int ejection_failures_;
    Micros ejection_time_;
    std::map<ServerId, ServerLocation> server_locations_;
    runtime::ConfigState config_;
    std::map<ProxyId, SentState> sent_;
    std::uint64_t update_number_ = 0;
    /// Resources made in the current update, so that many proxies share one object.
    std::map<std::string, ResourcePtr> current_resources_;
    std::map<TableId, ResourcePtr> clusters_;
    ResourcePtr listener_;
};

}  // namespace badgergrade::xds
