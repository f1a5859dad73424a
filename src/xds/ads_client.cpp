#include "xds/ads_client.h"

#include <google/protobuf/util/time_util.h>

#include <algorithm>

#include "envoy/config/cluster/v3/cluster.pb.h"
#include "envoy/config/endpoint/v3/endpoint.pb.h"
#include "envoy/config/listener/v3/listener.pb.h"
#include "envoy/config/route/v3/route.pb.h"
#include "envoy/extensions/filters/http/local_ratelimit/v3/local_rate_limit.pb.h"
#include "envoy/extensions/filters/network/http_connection_manager/v3/http_connection_manager.pb.h"

namespace badgergrade::xds {

using google::protobuf::util::TimeUtil;
namespace core = envoy::config::core::v3;

namespace {
Micros micros(const google::protobuf::Duration& d) {
    return Micros(TimeUtil::DurationToMicroseconds(d));
}

// "a,b,c" holds "b".
bool holds(const std::string& list, std::string_view word) {
    std::size_t at = 0;
    while (at <= list.size()) {
        const auto end = std::min(list.find(',', at), list.size());
        if (std::string_view(list).substr(at, end - at) == word) {
            return true;
        }
        at = end + 1;
    }
    return false;
}
}  // namespace

std::vector<AdsClient::Request> AdsClient::start() {
    for (Lane& lane : lanes_) {
        lane.nonce.clear();
    }
    std::vector<Request> out;
    for (const Type type : {Type::Cluster, Type::Endpoints, Type::Listener, Type::Routes}) {
        if (type == Type::Endpoints) {
            lanes_[index(type)].names.insert(std::string(kStartup));
        }
        if (type == Type::Routes && lanes_[index(type)].names.empty()) {
            continue;
        }
        out.push_back(request(type, out.empty()));
    }
    return out;
}

AdsClient::Request AdsClient::request(Type type, bool with_node) const {
    const Lane& lane = lanes_[index(type)];
    Request out;
    if (with_node) {
        *out.mutable_node() = node_;
    }
    out.set_type_url(std::string(url(type)));
    out.set_version_info(lane.version);
    out.set_response_nonce(lane.nonce);
    for (const auto& name : lane.names) {
        out.add_resource_names(name);
    }
    return out;
}

AdsClient::Outcome AdsClient::on_response(const Response& response) {
    Outcome out;
    const auto type = type_of(response.type_url());
    if (!type) {
        out.rejected = "type '" + response.type_url() + "' was not asked for";
        return out;
    }
    Lane& lane = lanes_[index(*type)];
    lane.nonce = response.nonce();
    ClientTables next = tables_;
    std::set<std::string> routes_wanted = lanes_[index(Type::Routes)].names;
    if (doubt) {
        out.rejected = doubt(response);
    }
    if (out.rejected.empty()) {
        out.rejected = take(*type, response, next, routes_wanted);
    }
    if (!out.rejected.empty()) {
        Request nack = request(*type, false);
        nack.mutable_error_detail()->set_code(3);
        nack.mutable_error_detail()->set_message(out.rejected);
        out.requests.push_back(std::move(nack));
        return out;
    }
    tables_ = std::move(next);
    out.changed = true;
    lane.version = response.version_info();
    out.requests.push_back(request(*type, false));
    // What the accepted resources name is subscribed to in turn.
    const auto resubscribe = [&](Type which, std::set<std::string> names) {
        Lane& other = lanes_[index(which)];
        if (other.names == names) {
            return;
        }
        other.names = std::move(names);
        out.requests.push_back(request(which, false));
    };
    if (*type == Type::Cluster) {
        std::set<std::string> names{std::string(kStartup)};
        for (const auto& [name, table] : tables_.clusters) {
            if (table.listed) {
                names.insert(name);
            }
        }
        resubscribe(Type::Endpoints, std::move(names));
    }
    if (*type == Type::Listener) {
        resubscribe(Type::Routes, std::move(routes_wanted));
    }
    return out;
}

std::string AdsClient::take(Type type, const Response& response, ClientTables& next,
                            std::set<std::string>& routes_wanted) {
    std::set<std::string> kept;
    if (type == Type::Listener) {
        routes_wanted.clear();
    }
    for (const auto& any : response.resources()) {
        if (any.type_url() != response.type_url()) {
            return "a resource of type '" + any.type_url() + "' among others";
        }
        std::string wrong;
        switch (type) {
            case Type::Cluster:
                wrong = take_cluster(any.value(), next, kept);
                break;
            case Type::Endpoints:
                wrong = take_assignment(any.value(), response.version_info(), next);
                break;
            case Type::Listener:
                wrong = take_listener(any.value(), routes_wanted);
                break;
            case Type::Routes:
                wrong = take_routes(any.value(), next);
                break;
        }
        if (!wrong.empty()) {
            return wrong;
        }
    }
    // A governor that starts over lists its new clusters before its routes: what the old routes
    // name stays until then, or this forwarder would have nothing to pick from in between.
    std::set<std::string> routed;
    for (const auto& [path, route] : next.routes) {
        routed.insert(route.cluster);
    }
    if (type == Type::Cluster) {
        for (auto& [name, table] : next.clusters) {
            table.listed = kept.contains(name);
        }
    }
    std::erase_if(next.clusters, [&](const auto& entry) {
        return !entry.second.listed && !routed.contains(entry.first);
    });
    return {};
}

std::string AdsClient::take_cluster(const std::string& bytes, ClientTables& next,
                                    std::set<std::string>& kept) {
    envoy::config::cluster::v3::Cluster cluster;
    if (!cluster.ParseFromString(bytes)) {
        return "a cluster that can't be read";
    }
    if (cluster.name().empty()) {
        return "a cluster without a name";
    }
    ClientTable& table = next.clusters[cluster.name()];
    kept.insert(cluster.name());
    switch (cluster.lb_policy()) {
        case envoy::config::cluster::v3::Cluster::ROUND_ROBIN:
            table.pick = PickPolicy::RoundRobin;
            break;
        case envoy::config::cluster::v3::Cluster::LEAST_REQUEST:
            table.pick = PickPolicy::LeastOfTwo;
            break;
        case envoy::config::cluster::v3::Cluster::RANDOM:
            table.pick = PickPolicy::WeightedRandom;
            break;
        default:
            return "cluster " + cluster.name() + ": a way of picking that is not known";
    }
    table.ejects_after = static_cast<int>(cluster.outlier_detection().consecutive_5xx().value());
    table.eject_time = micros(cluster.outlier_detection().base_ejection_time());
    return {};
}

std::string AdsClient::take_assignment(const std::string& bytes, const std::string& version,
                                       ClientTables& next) {
    envoy::config::endpoint::v3::ClusterLoadAssignment assignment;
    if (!assignment.ParseFromString(bytes)) {
        return "an assignment that can't be read";
    }
    const bool startup = assignment.cluster_name() == kStartup;
    std::vector<TableLine> lines;
    if (startup) {
        next.withdrawn.clear();
    }
    for (const auto& locality : assignment.endpoints()) {
        for (const auto& endpoint : locality.lb_endpoints()) {
            const auto& socket = endpoint.endpoint().address().socket_address();
            if (socket.port_value() == 0 || socket.port_value() > 65535) {
                return "assignment " + assignment.cluster_name() + ": an endpoint without a port";
            }
            TableLine line;
            line.address = {socket.address(), static_cast<std::uint16_t>(socket.port_value())};
            line.zone = locality.locality().zone();
            line.weight =
                endpoint.has_load_balancing_weight()
                    ? static_cast<double>(endpoint.load_balancing_weight().value()) / kWeightScale
                    : 1;
            line.draining = endpoint.health_status() == core::DRAINING;
            if (line.draining && startup) {
                next.withdrawn.insert(line.address);
            }
            lines.push_back(std::move(line));
        }
    }
    if (startup) {
        return {};
    }
    const auto it = next.clusters.find(assignment.cluster_name());
    // An assignment for a cluster that has gone meanwhile is no mistake.
    if (it == next.clusters.end()) {
        return {};
    }
    it->second.lines = std::move(lines);
    it->second.version = version;
    return {};
}

std::string AdsClient::take_listener(const std::string& bytes,
                                     std::set<std::string>& routes_wanted) {
    envoy::config::listener::v3::Listener listener;
    envoy::extensions::filters::network::http_connection_manager::v3::HttpConnectionManager manager;
    if (!listener.ParseFromString(bytes)) {
        return "a listener that can't be read";
    }
    if (!listener.api_listener().api_listener().UnpackTo(&manager)) {
        return "listener " + listener.name() + ": no manager in it";
    }
    if (manager.rds().route_config_name().empty()) {
        return "listener " + listener.name() + ": names no routes";
    }
    routes_wanted.insert(manager.rds().route_config_name());
    return {};
}

std::string AdsClient::take_routes(const std::string& bytes, ClientTables& next) {
    envoy::config::route::v3::RouteConfiguration config;
    if (!config.ParseFromString(bytes)) {
        return "routes that can't be read";
    }
    std::map<std::string, ClientRoute> routes;
    for (const auto& host : config.virtual_hosts()) {
        for (const auto& route : host.routes()) {
            const std::string& path = route.match().path();
            if (path.empty()) {
                return "route " + route.name() + ": no path";
            }
            if (route.has_direct_response()) {
                continue;  // the rest of a share: rate-limited
            }
            ClientRoute out;
            out.cluster = route.route().cluster();
            if (!next.clusters.contains(out.cluster)) {
                return "route " + route.name() + ": no cluster " + out.cluster;
            }
            out.timeout = micros(route.route().timeout());
            if (route.route().has_retry_policy()) {
                const auto& retry = route.route().retry_policy();
                const bool any = holds(retry.retry_on(), "5xx") || holds(retry.retry_on(), "reset");
                out.again = !any                              ? RetryMode::OnlyUnprocessed
                            : retry.num_retries().value() > 1 ? RetryMode::Twice
                                                              : RetryMode::Once;
                out.per_try = micros(retry.per_try_timeout());
            }
            if (route.match().has_runtime_fraction()) {
                const auto& part = route.match().runtime_fraction().default_value();
                const double of =
                    part.denominator() == envoy::type::v3::FractionalPercent::MILLION        ? 1e6
                    : part.denominator() == envoy::type::v3::FractionalPercent::TEN_THOUSAND ? 1e4
                                                                                             : 100;
                out.share = part.numerator() / of;
            }
            const auto limit =
                route.typed_per_filter_config().find("envoy.filters.http.local_ratelimit");
            if (limit != route.typed_per_filter_config().end()) {
                envoy::extensions::filters::http::local_ratelimit::v3::LocalRateLimit bucket;
                if (!limit->second.UnpackTo(&bucket)) {
                    return "route " + route.name() + ": a limit that can't be read";
                }
                const Micros fill = micros(bucket.token_bucket().fill_interval());
                if (fill <= Micros{0}) {
                    return "route " + route.name() + ": a limit that never fills";
                }
                out.rate = bucket.token_bucket().tokens_per_fill().value() * 1e6 /
                           static_cast<double>(fill.count());
                out.burst = bucket.token_bucket().max_tokens();
            }
            routes[path] = std::move(out);
        }
    }
    next.routes = std::move(routes);
    return {};
}

}  // namespace badgergrade::xds
