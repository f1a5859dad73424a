#include "xds/ads_client.h"

#include <google/protobuf/util/time_util.h>

#include <algorithm>

#include "envoy/config/cluster/v3/cluster.pb.h"
#include "envoy/config/endpoint/v3/endpoint.pb.h"
#include "envoy/config/listener/v3/listener.pb.h"
#include "envoy/extensions/filters/http/local_ratelimit/v3/local_rate_limit.pb.h"
#include "envoy/extensions/filters/network/http_connection_manager/v3/http_connection_manager.pb.h"

namespace badgergrade::xds {

using google::protobuf::util::TimeUtil;
namespace core = envoy::config::core::v3;
namespace cluster_v3 = envoy::config::cluster::v3;
namespace endpoint_v3 = envoy::config::endpoint::v3;
namespace route_v3 = envoy::config::route::v3;

namespace {

/// gRPC status code INVALID_ARGUMENT, the code of every NACK.
constexpr int kInvalidArgument = 3;
constexpr std::uint32_t kMaxPort = 65535;
constexpr double kMicrosPerSecond = 1e6;
constexpr const char* kRateLimitFilter = "envoy.filters.http.local_ratelimit";

Micros to_micros(const google::protobuf::Duration& duration) {
    return Micros(TimeUtil::DurationToMicroseconds(duration));
}

/// Whether a comma-separated list has this element.
bool list_contains(const std::string& list, std::string_view element) {
    std::size_t begin = 0;
    while (begin <= list.size()) {
        const auto end = std::min(list.find(',', begin), list.size());
        if (std::string_view(list).substr(begin, end - begin) == element) {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

RejectedResponse malformed(std::string text) {
    return {ResponseError::Malformed, std::move(text)};
}

RejectedResponse invalid_field(std::string text) {
    return {ResponseError::InvalidField, std::move(text)};
}

/// The retry mode that a retry policy stands for; the inverse of the snapshot cache's mapping.
/// "5xx" and "reset" allow to retry requests that the server may have processed.
RetryMode retry_mode_of(const route_v3::RetryPolicy& policy) {
    const std::string& conditions = policy.retry_on();
    const bool may_retry_processed =
        list_contains(conditions, "5xx") || list_contains(conditions, "reset");
    if (!may_retry_processed) {
        return RetryMode::OnlyUnprocessed;
    }
    return policy.num_retries().value() > 1 ? RetryMode::Twice : RetryMode::Once;
}

/// The value of the `denominator` enum; HUNDRED is its default.
double denominator_of(const envoy::type::v3::FractionalPercent& fraction) {
    switch (fraction.denominator()) {
        case envoy::type::v3::FractionalPercent::MILLION:
            return 1e6;
        case envoy::type::v3::FractionalPercent::TEN_THOUSAND:
            return 1e4;
        default:
            return 100;
    }
}

}  // namespace

// ---- subscriptions

std::vector<AdsClient::Request> AdsClient::start() {
    for (SubscriptionState& state : subscriptions_) {
        state.nonce.clear();
    }
    std::vector<Request> requests;
    for (const ResourceType type : kResourceTypes) {
        if (type == ResourceType::Endpoints) {
            subscription(type).names.insert(std::string(kStartupClusterName));
        }
        if (type == ResourceType::Routes && subscription(type).names.empty()) {
            continue;
        }
        const bool is_first = requests.empty();
        requests.push_back(make_request(type, is_first));
    }
    return requests;
}

AdsClient::Request AdsClient::make_request(ResourceType type, bool with_node) const {
    const SubscriptionState& state = subscription(type);
    Request request;
    if (with_node) {
        *request.mutable_node() = node_;
    }
    request.set_type_url(std::string(type_url(type)));
    request.set_version_info(state.version);
    request.set_response_nonce(state.nonce);
    for (const auto& name : state.names) {
        request.add_resource_names(name);
    }
    return request;
}

void AdsClient::subscribe(ResourceType type, std::set<std::string> names,
                          std::vector<Request>& requests) {
    SubscriptionState& state = subscription(type);
    if (state.names == names) {
        return;
    }
    state.names = std::move(names);
    requests.push_back(make_request(type, false));
}

// ---- responses

AdsClient::ResponseResult AdsClient::on_response(const Response& response) {
    ResponseResult result;
    const auto type = resource_type_of(response.type_url());
    if (!type) {
        result.rejected = {ResponseError::UnknownType,
                           R"(field "type_url": expected a subscribed xDS resource type, got ")" +
                               response.type_url() + "\""};
        return result;
    }
    SubscriptionState& state = subscription(*type);
    state.nonce = response.nonce();
    ProxyTables next_tables = tables_;
    std::set<std::string> route_names = subscription(ResourceType::Routes).names;
    if (response_check) {
        if (std::string reason = response_check(response); !reason.empty()) {
            result.rejected = {ResponseError::RejectedByCheck, std::move(reason)};
        }
    }
    if (!result.rejected) {
        result.rejected = apply(*type, response, next_tables, route_names);
    }
    if (result.rejected) {
        Request nack = make_request(*type, false);
        nack.mutable_error_detail()->set_code(kInvalidArgument);
        nack.mutable_error_detail()->set_message(result.rejected->text);
        result.requests.push_back(std::move(nack));
        return result;
    }
    tables_ = std::move(next_tables);
    result.tables_changed = true;
    state.version = response.version_info();
    result.requests.push_back(make_request(*type, false));
    // Subscribe to the resources that the accepted ones name.
    if (*type == ResourceType::Cluster) {
        std::set<std::string> assignment_names{std::string(kStartupClusterName)};
        for (const auto& [name, table] : tables_.clusters) {
            if (table.listed) {
                assignment_names.insert(name);
            }
        }
        subscribe(ResourceType::Endpoints, std::move(assignment_names), result.requests);
    }
    if (*type == ResourceType::Listener) {
        subscribe(ResourceType::Routes, std::move(route_names), result.requests);
    }
    return result;
}

AdsClient::Error AdsClient::apply(ResourceType type, const Response& response, ProxyTables& tables,
                                  std::set<std::string>& route_names) {
    std::set<std::string> listed;
    if (type == ResourceType::Listener) {
        route_names.clear();
    }
    for (const auto& any : response.resources()) {
        if (any.type_url() != response.type_url()) {
            return RejectedResponse{ResponseError::MixedTypes,
                                    R"(field "resources.type_url": expected ")" +
                                        response.type_url() + "\", got \"" + any.type_url() + "\""};
        }
        Error error;
        switch (type) {
            case ResourceType::Cluster:
                error = apply_cluster(any.value(), tables, listed);
                break;
            case ResourceType::Endpoints:
                error = apply_assignment(any.value(), response.version_info(), tables);
                break;
            case ResourceType::Listener:
                error = apply_listener(any.value(), route_names);
                break;
            case ResourceType::Routes:
                error = apply_routes(any.value(), tables);
                break;
        }
        if (error) {
            return error;
        }
    }
    if (type == ResourceType::Cluster) {
        for (auto& [name, table] : tables.clusters) {
            table.listed = listed.contains(name);
        }
    }
    // A control plane that restarted sends its new clusters before its new routes. The clusters
    // that the old routes name are kept until the routes arrive; otherwise this proxy would have no
    // server to send requests to in between.
    std::set<std::string> clusters_in_routes;
    for (const auto& [path, route] : tables.routes) {
        clusters_in_routes.insert(route.cluster);
    }
    std::erase_if(tables.clusters, [&](const auto& entry) {
        return !entry.second.listed && !clusters_in_routes.contains(entry.first);
    });
    return std::nullopt;
}

AdsClient::Error AdsClient::apply_cluster(const std::string& bytes, ProxyTables& tables,
                                          std::set<std::string>& listed) {
    cluster_v3::Cluster cluster;
    if (!cluster.ParseFromString(bytes)) {
        return malformed("field \"resources\": expected a serialized Cluster, got " +
                         std::to_string(bytes.size()) + " bytes that do not parse");
    }
    if (cluster.name().empty()) {
        return invalid_field("field \"Cluster.name\": expected a name, got an empty string");
    }
    ProxyTable& table = tables.clusters[cluster.name()];
    listed.insert(cluster.name());
    switch (cluster.lb_policy()) {
        case cluster_v3::Cluster::ROUND_ROBIN:
            table.load_balancing_policy = LoadBalancingPolicy::RoundRobin;
            break;
        case cluster_v3::Cluster::LEAST_REQUEST:
            table.load_balancing_policy = LoadBalancingPolicy::LeastRequest;
            break;
        case cluster_v3::Cluster::RANDOM:
            table.load_balancing_policy = LoadBalancingPolicy::WeightedRandom;
            break;
        default:
            return invalid_field("cluster \"" + cluster.name() +
                                 "\", field \"lb_policy\": expected ROUND_ROBIN, LEAST_REQUEST or "
                                 "RANDOM, got value " +
                                 std::to_string(cluster.lb_policy()));
    }
    const auto& outlier = cluster.outlier_detection();
    table.ejection_failures = static_cast<int>(outlier.consecutive_5xx().value());
    table.ejection_time = to_micros(outlier.base_ejection_time());
    return std::nullopt;
}

AdsClient::Error AdsClient::apply_assignment(const std::string& bytes, const std::string& version,
                                             ProxyTables& tables) {
    endpoint_v3::ClusterLoadAssignment assignment;
    if (!assignment.ParseFromString(bytes)) {
        return malformed("field \"resources\": expected a serialized ClusterLoadAssignment, got " +
                         std::to_string(bytes.size()) + " bytes that do not parse");
    }
    const bool lists_ejected = assignment.cluster_name() == kStartupClusterName;
    std::vector<TableEndpoint> table_endpoints;
    if (lists_ejected) {
        tables.ejected.clear();
    }
    for (const auto& locality : assignment.endpoints()) {
        for (const auto& endpoint : locality.lb_endpoints()) {
            const auto& socket = endpoint.endpoint().address().socket_address();
            if (socket.port_value() == 0 || socket.port_value() > kMaxPort) {
                return invalid_field("assignment \"" + assignment.cluster_name() +
                                     R"(", field "port_value": expected 1 to )" +
                                     std::to_string(kMaxPort) + ", got " +
                                     std::to_string(socket.port_value()));
            }
            TableEndpoint table_endpoint;
            table_endpoint.address = {socket.address(),
                                      static_cast<std::uint16_t>(socket.port_value())};
            table_endpoint.zone = locality.locality().zone();
            table_endpoint.weight = 1;
            if (endpoint.has_load_balancing_weight()) {
                table_endpoint.weight =
                    static_cast<double>(endpoint.load_balancing_weight().value()) / kWeightScale;
            }
            table_endpoint.draining = endpoint.health_status() == core::DRAINING;
            if (table_endpoint.draining && lists_ejected) {
                tables.ejected.insert(table_endpoint.address);
            }
            table_endpoints.push_back(std::move(table_endpoint));
        }
    }
    if (lists_ejected) {
        return std::nullopt;
    }
    const auto table = tables.clusters.find(assignment.cluster_name());
    // Not an error: the cluster may have been removed after the assignment was requested.
    if (table == tables.clusters.end()) {
        return std::nullopt;
    }
    table->second.endpoints = std::move(table_endpoints);
    table->second.version = version;
    return std::nullopt;
}

AdsClient::Error AdsClient::apply_listener(const std::string& bytes,
                                           std::set<std::string>& route_names) {
    envoy::config::listener::v3::Listener listener;
    envoy::extensions::filters::network::http_connection_manager::v3::HttpConnectionManager manager;
    if (!listener.ParseFromString(bytes)) {
        return malformed("field \"resources\": expected a serialized Listener, got " +
                         std::to_string(bytes.size()) + " bytes that do not parse");
    }
    if (!listener.api_listener().api_listener().UnpackTo(&manager)) {
        return malformed(
            "listener \"" + listener.name() +
            R"(", field "api_listener": expected an HttpConnectionManager, got type ")" +
            listener.api_listener().api_listener().type_url() + "\"");
    }
    if (manager.rds().route_config_name().empty()) {
        return invalid_field(
            "listener \"" + listener.name() +
            R"(", field "rds.route_config_name": expected a name, got an empty string)");
    }
    route_names.insert(manager.rds().route_config_name());
    return std::nullopt;
}

AdsClient::Error AdsClient::apply_routes(const std::string& bytes, ProxyTables& tables) {
    route_v3::RouteConfiguration config;
    if (!config.ParseFromString(bytes)) {
        return malformed("field \"resources\": expected a serialized RouteConfiguration, got " +
                         std::to_string(bytes.size()) + " bytes that do not parse");
    }
    std::map<std::string, ProxyRoute> routes;
    for (const auto& host : config.virtual_hosts()) {
        for (const auto& proto : host.routes()) {
            const std::string& path = proto.match().path();
            if (path.empty()) {
                return invalid_field(
                    "route \"" + proto.name() +
                    R"(", field "match.path": expected a path, got an empty string)");
            }
            if (proto.has_direct_response()) {
                continue;  // the response to requests that are not admitted; see admitted_fraction
            }
            ProxyRoute route;
            if (Error error = parse_route(proto, tables, route)) {
                return error;
            }
            routes[path] = std::move(route);
        }
    }
    tables.routes = std::move(routes);
    return std::nullopt;
}

AdsClient::Error AdsClient::parse_route(const route_v3::Route& proto, const ProxyTables& tables,
                                        ProxyRoute& route) {
    route.cluster = proto.route().cluster();
    if (!tables.clusters.contains(route.cluster)) {
        return RejectedResponse{ResponseError::UnknownCluster,
                                "route \"" + proto.name() +
                                    "\", field \"route.cluster\": expected a cluster that was sent "
                                    "before, got \"" +
                                    route.cluster + "\""};
    }
    route.timeout = to_micros(proto.route().timeout());
    if (proto.route().has_retry_policy()) {
        const auto& policy = proto.route().retry_policy();
        route.retry_mode = retry_mode_of(policy);
        route.attempt_timeout = to_micros(policy.per_try_timeout());
    }
    if (proto.match().has_runtime_fraction()) {
        const auto& fraction = proto.match().runtime_fraction().default_value();
        route.admitted_fraction = fraction.numerator() / denominator_of(fraction);
    }
    return parse_rate_limit(proto, route);
}

AdsClient::Error AdsClient::parse_rate_limit(const route_v3::Route& proto, ProxyRoute& route) {
    const auto filter = proto.typed_per_filter_config().find(kRateLimitFilter);
    if (filter == proto.typed_per_filter_config().end()) {
        return std::nullopt;
    }
    envoy::extensions::filters::http::local_ratelimit::v3::LocalRateLimit limit;
    if (!filter->second.UnpackTo(&limit)) {
        return malformed(
            "route \"" + proto.name() +
            R"(", field "typed_per_filter_config": expected a LocalRateLimit, got type ")" +
            filter->second.type_url() + "\"");
    }
    const auto& bucket = limit.token_bucket();
    const Micros fill_interval = to_micros(bucket.fill_interval());
    if (fill_interval <= Micros{0}) {
        return invalid_field("route \"" + proto.name() +
                             R"(", field "fill_interval": expected more than 0 us, got )" +
                             std::to_string(fill_interval.count()) + " us");
    }
    route.admitted_per_second = bucket.tokens_per_fill().value() * kMicrosPerSecond /
                                static_cast<double>(fill_interval.count());
    route.max_burst = bucket.max_tokens();
    return std::nullopt;
}

}  // namespace badgergrade::xds
