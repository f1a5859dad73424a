#include "xds/snapshot_cache.h"

#include <google/protobuf/util/time_util.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "envoy/config/cluster/v3/cluster.pb.h"
#include "envoy/config/endpoint/v3/endpoint.pb.h"
#include "envoy/config/listener/v3/listener.pb.h"
#include "envoy/config/route/v3/route.pb.h"
#include "envoy/extensions/filters/http/local_ratelimit/v3/local_rate_limit.pb.h"
#include "envoy/extensions/filters/http/router/v3/router.pb.h"
#include "envoy/extensions/filters/network/http_connection_manager/v3/http_connection_manager.pb.h"

namespace badgergrade::xds {

namespace core = envoy::config::core::v3;
namespace route_v3 = envoy::config::route::v3;
using google::protobuf::util::TimeUtil;

namespace {

constexpr std::uint32_t kMillion = 1000000;
constexpr double kMicrosPerSecond = 1e6;
constexpr std::uint32_t kTooManyRequests = 429;
constexpr const char* kRateLimitFilter = "envoy.filters.http.local_ratelimit";
constexpr const char* kRouterFilter = "envoy.filters.http.router";
/// Upper limit of a weight after scaling with `kWeightScale`. The weight of a locality is the sum
/// of its servers' weights; with at most 1000 servers in the locality it fits into 32 bits.
constexpr double kMaxScaledWeight = 4e9 / 1000;
/// Lower rates are raised to this one: a token bucket needs a finite fill interval.
constexpr double kMinRatePerSecond = 0.001;

void set_source_to_ads(core::ConfigSource* source) {
    source->mutable_ads();
    source->set_resource_api_version(core::V3);
}

/// Serializes equal content to equal bytes: the entries of protobuf maps are sorted.
std::string serialize_deterministically(const google::protobuf::Message& message) {
    std::string bytes;
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    message.SerializeToCodedStream(&coded);
    coded.Trim();
    return bytes;
}

/// The `retry_on` conditions of a retry mode. After "connect-failure" and "refused-stream" the
/// server provably did not process the request; after "reset" and "5xx" it may have.
std::string retry_conditions(RetryMode mode) {
    return mode == RetryMode::OnlyUnprocessed ? "connect-failure,refused-stream"
                                              : "connect-failure,refused-stream,reset,5xx";
}

}  // namespace

SnapshotCache::SnapshotCache(const Settings& settings, Micros ejection_time)
    : operations_(settings.operations),
      load_balancing_policy_(settings.load_balancing_policy),
      admission_mode_(settings.admission_mode),
      attempt_timeout_factor_(settings.attempt_timeout_factor),
      ejection_failures_(settings.proxy_ejection_failures),
      ejection_time_(ejection_time),
      config_(settings) {}

void SnapshotCache::set_server_location(ServerId server, ServerLocation location) {
    server_locations_[server] = std::move(location);
}

const ServerLocation* SnapshotCache::server_location(ServerId server) const {
    const auto location = server_locations_.find(server);
    return location == server_locations_.end() ? nullptr : &location->second;
}

void SnapshotCache::on_proxy_connected(ProxyId proxy) {
    sent_[proxy] = {};
    config_.on_proxy_connected(proxy);
}

void SnapshotCache::on_proxy_disconnected(ProxyId proxy) {
    sent_.erase(proxy);
    config_.on_proxy_disconnected(proxy);
}

// ---- updates

SnapshotCache::Update SnapshotCache::apply(Micros now, std::vector<Command> commands) {
    ++update_number_;
    current_resources_.clear();
    Update update;
    remove_unknown_servers(commands, update.rejected);
    runtime::ApplyResult applied = config_.apply(commands);
    for (runtime::RejectedCommand& rejected : applied.rejected) {
        update.rejected.push_back({CommandError::UnknownProxy, std::move(rejected.reason)});
    }
    for (const runtime::ProxyUpdate& proxy_update : applied.updates) {
        ProxyMessage message;
        message.proxy = proxy_update.proxy;
        message.update_number = update_number_;
        message.decided_at = now;
        message.requested_ack = proxy_update.ack_version;
        message.lines = proxy_update.line_count;
        message.changes = changes_for(proxy_update);
        update.messages.push_back(std::move(message));
    }
    return update;
}

/// Removes commands that name a server without a location: a resource can't be built without its
/// address.
void SnapshotCache::remove_unknown_servers(std::vector<Command>& commands,
                                           std::vector<RejectedCommand>& rejected) const {
    const auto is_unknown = [&](ServerId server, const char* command) {
        if (server_locations_.contains(server)) {
            return false;
        }
        rejected.push_back(
            {CommandError::UnknownServer,
             "command " + std::string(command) +
                 ", field \"server\": expected a server that the registry listed, got id " +
                 std::to_string(server.value)});
        return true;
    };
    std::erase_if(commands, [&](const Command& candidate) {
        if (const auto* set_weight = std::get_if<command::SetWeight>(&candidate)) {
            return is_unknown(set_weight->server, "SetWeight");
        }
        const auto* set_ejected = std::get_if<command::SetEjected>(&candidate);
        return set_ejected && is_unknown(set_ejected->server, "SetEjected");
    });
}

std::set<TableId> SnapshotCache::assigned_tables(ProxyId proxy) const {
    std::set<TableId> tables;
    for (const auto& [operations, table] : config_.assigned_tables(proxy)) {
        tables.insert(table);
    }
    return tables;
}

/// The tables whose endpoint assignment the update changes: their weights changed, or a server in
/// them was ejected or readmitted.
std::set<TableId> SnapshotCache::changed_tables(const runtime::ProxyUpdate& update,
                                                const std::set<TableId>& assigned) const {
    std::set<TableId> changed;
    for (const auto& table_update : update.tables) {
        if (table_update->replace_all || !table_update->weights.empty()) {
            changed.insert(table_update->table);
        }
    }
    for (const auto* servers : {&update.eject, &update.restore}) {
        for (const ServerId server : *servers) {
            for (const TableId table : assigned) {
                if (config_.weights(table).contains(server)) {
                    changed.insert(table);
                }
            }
        }
    }
    return changed;
}

/// Builds the changes of one proxy: new clusters, their endpoint assignments and changed ones, the
/// ejected servers, listener and routes, and last the removed clusters. AdsServer orders them on
/// the stream (make before break).
std::vector<ResourceChange> SnapshotCache::changes_for(const runtime::ProxyUpdate& update) {
    SentState& sent = sent_.at(update.proxy);
    std::set<TableId> assigned = assigned_tables(update.proxy);
    const std::set<TableId> changed = changed_tables(update, assigned);
    std::vector<ResourceChange> changes;
    const auto add = [&](const ResourcePtr& resource) {
        changes.push_back({resource->type, resource->name, resource});
    };
    for (const TableId table : assigned) {
        if (!sent.tables.contains(table)) {
            add(cluster(table));
        }
    }
    for (const TableId table : assigned) {
        if (changed.contains(table) || !sent.tables.contains(table)) {
            add(endpoint_assignment(table));
        }
    }
    if (!update.eject.empty() || !update.restore.empty()) {
        add(ejected_servers());
    }
    if (!assigned.empty()) {
        add_listener_and_routes(update.proxy, sent, changes);
    }
    for (const TableId table : sent.tables) {
        if (!assigned.contains(table)) {
            changes.push_back({ResourceType::Cluster, cluster_name(table), nullptr});
        }
    }
    sent.tables = std::move(assigned);
    return changes;
}

void SnapshotCache::add_listener_and_routes(ProxyId proxy, SentState& sent,
                                            std::vector<ResourceChange>& changes) {
    if (!std::exchange(sent.listener_sent, true)) {
        const ResourcePtr resource = listener();
        changes.push_back({resource->type, resource->name, resource});
    }
    std::string key = routes_key(proxy);
    if (key == sent.routes_key) {
        return;
    }
    const ResourcePtr resource = routes(proxy);
    changes.push_back({resource->type, resource->name, resource});
    sent.routes_key = std::move(key);
}

// ---- resources

ResourcePtr SnapshotCache::make_resource(ResourceType type, std::string name,
                                         std::string bytes) const {
    return std::make_shared<const Resource>(
        Resource{type, std::move(name), update_number_, std::move(bytes)});
}

ResourcePtr SnapshotCache::cluster(TableId table) {
    ResourcePtr& cached = clusters_[table];
    if (cached) {
        return cached;
    }
    envoy::config::cluster::v3::Cluster cluster_proto;
    cluster_proto.set_name(cluster_name(table));
    cluster_proto.set_type(envoy::config::cluster::v3::Cluster::EDS);
    set_source_to_ads(cluster_proto.mutable_eds_cluster_config()->mutable_eds_config());
    switch (load_balancing_policy_) {
        case LoadBalancingPolicy::WeightedRandom:
            cluster_proto.set_lb_policy(envoy::config::cluster::v3::Cluster::RANDOM);
            break;
        case LoadBalancingPolicy::RoundRobin:
            cluster_proto.set_lb_policy(envoy::config::cluster::v3::Cluster::ROUND_ROBIN);
            break;
        case LoadBalancingPolicy::LeastRequest:
            cluster_proto.set_lb_policy(envoy::config::cluster::v3::Cluster::LEAST_REQUEST);
            cluster_proto.mutable_least_request_lb_config()->mutable_choice_count()->set_value(2);
            break;
    }
    if (ejection_failures_ > 0) {
        auto* outlier_detection = cluster_proto.mutable_outlier_detection();
        outlier_detection->mutable_consecutive_5xx()->set_value(
            static_cast<std::uint32_t>(ejection_failures_));
        *outlier_detection->mutable_base_ejection_time() =
            TimeUtil::MicrosecondsToDuration(ejection_time_.count());
    }
    cluster_proto.mutable_lrs_server()->mutable_self();
    cached = make_resource(ResourceType::Cluster, cluster_proto.name(),
                           serialize_deterministically(cluster_proto));
    return cached;
}

namespace {
/// Adds a server to the locality of its zone, and its weight to the weight of the locality. An
/// ejected server is added with health status DRAINING, on which a proxy sends it no new requests.
void add_endpoint(envoy::config::endpoint::v3::ClusterLoadAssignment& assignment_proto,
                  const ServerLocation& location, double weight, bool ejected) {
    auto* localities = assignment_proto.mutable_endpoints();
    envoy::config::endpoint::v3::LocalityLbEndpoints* locality = nullptr;
    for (auto& candidate : *localities) {
        if (candidate.locality().zone() == location.zone) {
            locality = &candidate;
        }
    }
    if (!locality) {
        locality = assignment_proto.add_endpoints();
        locality->mutable_locality()->set_zone(location.zone);
    }
    auto* endpoint = locality->add_lb_endpoints();
    auto* socket = endpoint->mutable_endpoint()->mutable_address()->mutable_socket_address();
    socket->set_address(location.address.host);
    socket->set_port_value(location.address.port);
    const auto scaled_weight = static_cast<std::uint32_t>(
        std::clamp(std::round(weight * kWeightScale), 1.0, kMaxScaledWeight));
    endpoint->mutable_load_balancing_weight()->set_value(scaled_weight);
    locality->mutable_load_balancing_weight()->set_value(locality->load_balancing_weight().value() +
                                                         scaled_weight);
    endpoint->set_health_status(ejected ? core::DRAINING : core::HEALTHY);
}
}  // namespace

ResourcePtr SnapshotCache::endpoint_assignment(TableId table) {
    ResourcePtr& cached = current_resources_[cluster_name(table)];
    if (cached) {
        return cached;
    }
    envoy::config::endpoint::v3::ClusterLoadAssignment assignment_proto;
    assignment_proto.set_cluster_name(cluster_name(table));
    for (const auto& [server, weight] : config_.weights(table)) {
        const bool ejected = config_.ejected_servers().contains(server);
        add_endpoint(assignment_proto, server_locations_.at(server), weight, ejected);
    }
    cached = make_resource(ResourceType::Endpoints, assignment_proto.cluster_name(),
                           serialize_deterministically(assignment_proto));
    return cached;
}

ResourcePtr SnapshotCache::ejected_servers() {
    ResourcePtr& cached = current_resources_[std::string(kStartupClusterName)];
    if (cached) {
        return cached;
    }
    envoy::config::endpoint::v3::ClusterLoadAssignment assignment_proto;
    assignment_proto.set_cluster_name(std::string(kStartupClusterName));
    for (const ServerId server : config_.ejected_servers()) {
        add_endpoint(assignment_proto, server_locations_.at(server), 0, true);
    }
    cached = make_resource(ResourceType::Endpoints, assignment_proto.cluster_name(),
                           serialize_deterministically(assignment_proto));
    return cached;
}

ResourcePtr SnapshotCache::listener() {
    if (listener_) {
        return listener_;
    }
    namespace hcm = envoy::extensions::filters::network::http_connection_manager::v3;
    hcm::HttpConnectionManager manager;
    manager.set_stat_prefix(std::string(kListenerName));
    set_source_to_ads(manager.mutable_rds()->mutable_config_source());
    manager.mutable_rds()->set_route_config_name(std::string(kRouteConfigName));
    if (admission_mode_ == AdmissionMode::Rate) {
        // The filter has no limit of its own: each route with an admission limit carries its own
        // token bucket.
        envoy::extensions::filters::http::local_ratelimit::v3::LocalRateLimit unlimited;
        unlimited.set_stat_prefix("operations");
        auto* filter = manager.add_http_filters();
        filter->set_name(kRateLimitFilter);
        filter->mutable_typed_config()->PackFrom(unlimited);
    }
    auto* router = manager.add_http_filters();
    router->set_name(kRouterFilter);
    router->mutable_typed_config()->PackFrom(
        envoy::extensions::filters::http::router::v3::Router());
    envoy::config::listener::v3::Listener listener_proto;
    listener_proto.set_name(std::string(kListenerName));
    listener_proto.mutable_api_listener()->mutable_api_listener()->PackFrom(manager);
    listener_ = make_resource(ResourceType::Listener, listener_proto.name(),
                              serialize_deterministically(listener_proto));
    return listener_;
}

/// Identifies the content of a proxy's routes. Proxies with equal keys have equal routes if their
/// tables cover the same operations: the key lists tables, limits and retry modes in the order of
/// the operations, but not the operations themselves. Limits are compared to six decimals.
std::string SnapshotCache::routes_key(ProxyId proxy) const {
    std::string key;
    for (std::size_t operation_index = 0; operation_index < operations_.size(); ++operation_index) {
        const OperationId operation{static_cast<int>(operation_index)};
        for (const auto& [operations, table] : config_.assigned_tables(proxy)) {
            if (!runtime::includes(operations, operation)) {
                continue;
            }
            const auto [admission_limit, retry_mode] = config_.admission(table, operation);
            key += std::to_string(table.value) + ":" + std::to_string(admission_limit) + ":" +
                   std::to_string(static_cast<int>(retry_mode)) + ";";
        }
    }
    return key;
}

namespace {
/// The protocol rule on retries, applied to the mode that the policy decided: for an operation with
/// side effects, a request that a server may have processed is never sent again. The values of
/// `RetryMode` are ordered from the fewest retries to the most, so the smaller one is the stricter.
RetryMode safe_retry_mode(const Operation& operation, RetryMode policy_mode) {
    return operation.effect == Effect::SideEffecting
               ? std::min(policy_mode, RetryMode::OnlyUnprocessed)
               : policy_mode;
}

/// Writes the retry policy of a route: none for `RetryMode::Never`; otherwise the conditions, the
/// number of retries and, if the mode also retries requests that a server may have processed, the
/// time limit of one attempt.
void set_retry_policy(route_v3::RouteAction& action, const Operation& operation,
                      RetryMode policy_mode, double attempt_timeout_factor) {
    const RetryMode mode = safe_retry_mode(operation, policy_mode);
    if (mode == RetryMode::Never) {
        return;
    }
    auto* retry = action.mutable_retry_policy();
    retry->set_retry_on(retry_conditions(mode));
    retry->mutable_num_retries()->set_value(mode == RetryMode::Twice ? 2 : 1);
    if (mode == RetryMode::OnlyUnprocessed) {
        return;
    }
    const double attempt_timeout_us =
        static_cast<double>(operation.latency_objective.count()) * attempt_timeout_factor;
    *retry->mutable_per_try_timeout() =
        TimeUtil::MicrosecondsToDuration(static_cast<std::int64_t>(attempt_timeout_us));
}

/// Sets a token bucket that is filled with one token at a time, so that a rate below one request
/// per second still admits single requests.
void set_rate_limit(route_v3::Route& route, const Operation& operation, double rate_per_second) {
    envoy::extensions::filters::http::local_ratelimit::v3::LocalRateLimit limit;
    limit.set_stat_prefix(operation.name);
    auto* bucket = limit.mutable_token_bucket();
    const double fill_interval_us =
        std::round(kMicrosPerSecond / std::max(kMinRatePerSecond, rate_per_second));
    bucket->set_max_tokens(static_cast<std::uint32_t>(std::max(1.0, std::ceil(rate_per_second))));
    bucket->mutable_tokens_per_fill()->set_value(1);
    *bucket->mutable_fill_interval() =
        TimeUtil::MicrosecondsToDuration(static_cast<std::int64_t>(fill_interval_us));
    (*route.mutable_typed_per_filter_config())[kRateLimitFilter].PackFrom(limit);
}

/// Limits the route to this fraction of the requests, and adds a second route with the same path
/// that answers the other requests with HTTP status 429.
void set_admitted_fraction(route_v3::VirtualHost& host, route_v3::Route& route,
                           const Operation& operation, double fraction) {
    auto* runtime_fraction =
        route.mutable_match()->mutable_runtime_fraction()->mutable_default_value();
    runtime_fraction->set_numerator(
        static_cast<std::uint32_t>(std::lround(std::max(0.0, fraction) * kMillion)));
    runtime_fraction->set_denominator(envoy::type::v3::FractionalPercent::MILLION);
    auto* reject_route = host.add_routes();
    reject_route->set_name(operation.name + "/rate-limited");
    reject_route->mutable_match()->set_path(operation_path(operation.name));
    reject_route->mutable_direct_response()->set_status(kTooManyRequests);
}
}  // namespace

ResourcePtr SnapshotCache::routes(ProxyId proxy) {
    ResourcePtr& cached = current_resources_["routes " + routes_key(proxy)];
    if (cached) {
        return cached;
    }
    route_v3::RouteConfiguration route_config;
    route_config.set_name(std::string(kRouteConfigName));
    auto* host = route_config.add_virtual_hosts();
    host->set_name(std::string(kRouteConfigName));
    host->add_domains("*");
    for (std::size_t operation_index = 0; operation_index < operations_.size(); ++operation_index) {
        const OperationId operation_id{static_cast<int>(operation_index)};
        const Operation& operation = operations_[operation_index];
        for (const auto& [operations, table] : config_.assigned_tables(proxy)) {
            if (!runtime::includes(operations, operation_id)) {
                continue;
            }
            const auto [admission_limit, retry_mode] = config_.admission(table, operation_id);
            auto* route = host->add_routes();
            route->set_name(operation.name);
            route->mutable_match()->set_path(operation_path(operation.name));
            auto* action = route->mutable_route();
            action->set_cluster(cluster_name(table));
            *action->mutable_timeout() =
                TimeUtil::MicrosecondsToDuration(operation.integration_timeout.count());
            set_retry_policy(*action, operation, retry_mode, attempt_timeout_factor_);
            if (admission_mode_ == AdmissionMode::Rate &&
                admission_limit < command::SetAdmission::kUnlimitedRate) {
                set_rate_limit(*route, operation, admission_limit);
            }
            if (admission_mode_ == AdmissionMode::Fraction && admission_limit < 1) {
                set_admitted_fraction(*host, *route, operation, admission_limit);
            }
        }
    }
    cached = make_resource(ResourceType::Routes, route_config.name(),
                           serialize_deterministically(route_config));
    return cached;
}

}  // namespace badgergrade::xds
