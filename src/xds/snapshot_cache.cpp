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
using google::protobuf::util::TimeUtil;

namespace {

constexpr std::uint32_t kMillion = 1000000;

void by_ads(core::ConfigSource* source) {
    source->mutable_ads();
    source->set_resource_api_version(core::V3);
}

// Bytes that are the same for the same content: maps in messages are sorted.
std::string stable_bytes(const google::protobuf::Message& message) {
    std::string out;
    google::protobuf::io::StringOutputStream to(&out);
    google::protobuf::io::CodedOutputStream coded(&to);
    coded.SetSerializationDeterministic(true);
    message.SerializeToCodedStream(&coded);
    coded.Trim();
    return out;
}

std::string retry_on(RetryMode again) {
    // "connect-failure" and "refused-stream" prove that nothing ran; the others may follow a run.
    return again == RetryMode::OnlyUnprocessed ? "connect-failure,refused-stream"
                                               : "connect-failure,refused-stream,reset,5xx";
}

}  // namespace

SnapshotCache::SnapshotCache(const Settings& told, const std::vector<std::string>& zones,
                             Micros eject_time)
    : operations_(told.operations),
      zones_(zones),
      pick_(told.pick_policy),
      admit_(told.admission_mode),
      try_factor_(told.attempt_timeout_factor),
      ejects_after_(told.proxy_ejection_failures),
      eject_time_(eject_time),
      book_(told) {}

void SnapshotCache::place(ServerId server, ServerPlace place) {
    places_[server] = std::move(place);
}

const ServerPlace* SnapshotCache::place_of(ServerId server) const {
    const auto it = places_.find(server);
    return it == places_.end() ? nullptr : &it->second;
}

void SnapshotCache::joined(ProxyId proxy) {
    proxies_[proxy] = {};
    book_.on_proxy_connected(proxy);
}

void SnapshotCache::left(ProxyId proxy) {
    proxies_.erase(proxy);
    book_.on_proxy_disconnected(proxy);
}

std::vector<Message> SnapshotCache::order(Micros now, std::vector<Command> actions,
                                          std::vector<std::string>& refused) {
    ++orders_;
    made_.clear();
    const auto known = [&](ServerId server, const char* what) {
        if (places_.contains(server)) {
            return true;
        }
        refused.push_back(std::string(what) + " server " + std::to_string(server.value) +
                          ", which no list named");
        return false;
    };
    std::erase_if(actions, [&](const Command& action) {
        if (const auto* line = std::get_if<command::SetWeight>(&action)) {
            return !known(line->server, "a line for");
        }
        const auto* withdraw = std::get_if<command::SetEjected>(&action);
        return withdraw && !known(withdraw->server, "a withdrawal of");
    });
    std::vector<Message> out;
    const runtime::ApplyResult result = book_.apply(actions);
    for (const runtime::RejectedCommand& rejected : result.rejected) {
        refused.push_back(rejected.reason);
    }
    for (const runtime::ProxyUpdate& order : result.updates) {
        Message message;
        message.proxy = order.proxy;
        message.order = orders_;
        message.ordered = now;
        message.mark = order.ack_version;
        message.lines = order.line_count;
        message.changes = changes_for(order);
        out.push_back(std::move(message));
    }
    return out;
}

// Tables whose lines an order changes, also by what it shuts out or lets back.
std::set<TableId> SnapshotCache::assignments_of(const runtime::ProxyUpdate& order) const {
    std::set<TableId> out;
    for (const auto& part : order.tables) {
        if (part->replace_all || !part->weights.empty()) {
            out.insert(part->table);
        }
    }
    for (const auto* servers : {&order.eject, &order.restore}) {
        for (const ServerId server : *servers) {
            for (const auto& [ops, table] : book_.assigned_tables(order.proxy)) {
                if (book_.weights(table).contains(server)) {
                    out.insert(table);
                }
            }
        }
    }
    return out;
}

std::vector<Change> SnapshotCache::changes_for(const runtime::ProxyUpdate& order) {
    Held& held = proxies_.at(order.proxy);
    const auto& bound = book_.assigned_tables(order.proxy);
    const std::set<TableId> assignments = assignments_of(order);
    std::vector<Change> out;
    const auto put = [&](ResourcePtr resource) {
        out.push_back({resource->type, resource->name, resource});
    };
    std::set<TableId> now;
    for (const auto& [ops, table] : bound) {
        now.insert(table);
    }
    for (const TableId table : now) {
        if (!held.laid.contains(table)) {
            put(cluster(table));
        }
    }
    for (const TableId table : now) {
        if (assignments.contains(table) || !held.laid.contains(table)) {
            put(assignment(table));
        }
    }
    if (!order.eject.empty() || !order.restore.empty()) {
        put(startup());
    }
    if (!bound.empty()) {
        if (!std::exchange(held.listener, true)) {
            put(listener());
        }
        if (std::string key = routes_key(order.proxy); key != held.routes) {
            put(routes(order.proxy));
            held.routes = std::move(key);
        }
    }
    for (const TableId table : held.laid) {
        if (!now.contains(table)) {
            out.push_back({Type::Cluster, cluster_name(table), nullptr});
        }
    }
    held.laid = std::move(now);
    return out;
}

ResourcePtr SnapshotCache::keep(Type type, std::string name, std::string bytes) {
    return std::make_shared<const Resource>(
        Resource{type, std::move(name), orders_, std::move(bytes)});
}

ResourcePtr SnapshotCache::cluster(TableId table) {
    ResourcePtr& known = clusters_[table];
    if (known) {
        return known;
    }
    envoy::config::cluster::v3::Cluster out;
    out.set_name(cluster_name(table));
    out.set_type(envoy::config::cluster::v3::Cluster::EDS);
    by_ads(out.mutable_eds_cluster_config()->mutable_eds_config());
    switch (pick_) {
        case PickPolicy::WeightedRandom:
            out.set_lb_policy(envoy::config::cluster::v3::Cluster::RANDOM);
            break;
        case PickPolicy::RoundRobin:
            out.set_lb_policy(envoy::config::cluster::v3::Cluster::ROUND_ROBIN);
            break;
        case PickPolicy::LeastOfTwo:
            out.set_lb_policy(envoy::config::cluster::v3::Cluster::LEAST_REQUEST);
            out.mutable_least_request_lb_config()->mutable_choice_count()->set_value(2);
            break;
    }
    if (ejects_after_ > 0) {
        auto* outlier = out.mutable_outlier_detection();
        outlier->mutable_consecutive_5xx()->set_value(static_cast<std::uint32_t>(ejects_after_));
        *outlier->mutable_base_ejection_time() =
            TimeUtil::MicrosecondsToDuration(eject_time_.count());
    }
    out.mutable_lrs_server()->mutable_self();
    return known = keep(Type::Cluster, out.name(), stable_bytes(out));
}

namespace {
void add_endpoint(envoy::config::endpoint::v3::ClusterLoadAssignment& out, const ServerPlace& place,
                  double weight, bool draining) {
    auto* group = out.mutable_endpoints();
    envoy::config::endpoint::v3::LocalityLbEndpoints* locality = nullptr;
    for (auto& known : *group) {
        if (known.locality().zone() == place.zone) {
            locality = &known;
        }
    }
    if (!locality) {
        locality = out.add_endpoints();
        locality->mutable_locality()->set_zone(place.zone);
    }
    auto* endpoint = locality->add_lb_endpoints();
    auto* socket = endpoint->mutable_endpoint()->mutable_address()->mutable_socket_address();
    socket->set_address(place.address.host);
    socket->set_port_value(place.address.port);
    const auto scaled =
        static_cast<std::uint32_t>(std::clamp(std::round(weight * kWeightScale), 1.0, 4e9 / 1000));
    endpoint->mutable_load_balancing_weight()->set_value(scaled);
    locality->mutable_load_balancing_weight()->set_value(locality->load_balancing_weight().value() +
                                                         scaled);
    endpoint->set_health_status(draining ? core::DRAINING : core::HEALTHY);
}
}  // namespace

ResourcePtr SnapshotCache::assignment(TableId table) {
    ResourcePtr& made = made_[cluster_name(table)];
    if (made) {
        return made;
    }
    envoy::config::endpoint::v3::ClusterLoadAssignment out;
    out.set_cluster_name(cluster_name(table));
    for (const auto& [server, weight] : book_.weights(table)) {
        add_endpoint(out, places_.at(server), weight, book_.ejected_servers().contains(server));
    }
    return made = keep(Type::Endpoints, out.cluster_name(), stable_bytes(out));
}

ResourcePtr SnapshotCache::startup() {
    ResourcePtr& made = made_[std::string(kStartup)];
    if (made) {
        return made;
    }
    envoy::config::endpoint::v3::ClusterLoadAssignment out;
    out.set_cluster_name(std::string(kStartup));
    for (const ServerId server : book_.ejected_servers()) {
        add_endpoint(out, places_.at(server), 0, true);
    }
    return made = keep(Type::Endpoints, out.cluster_name(), stable_bytes(out));
}

ResourcePtr SnapshotCache::listener() {
    if (listener_) {
        return listener_;
    }
    namespace hcm = envoy::extensions::filters::network::http_connection_manager::v3;
    hcm::HttpConnectionManager manager;
    manager.set_stat_prefix(std::string(kListener));
    by_ads(manager.mutable_rds()->mutable_config_source());
    manager.mutable_rds()->set_route_config_name(std::string(kRoutes));
    if (admit_ == AdmissionMode::Rate) {
        auto* limit = manager.add_http_filters();
        limit->set_name("envoy.filters.http.local_ratelimit");
        envoy::extensions::filters::http::local_ratelimit::v3::LocalRateLimit none;
        none.set_stat_prefix("operations");
        limit->mutable_typed_config()->PackFrom(none);
    }
    auto* router = manager.add_http_filters();
    router->set_name("envoy.filters.http.router");
    router->mutable_typed_config()->PackFrom(
        envoy::extensions::filters::http::router::v3::Router());
    envoy::config::listener::v3::Listener out;
    out.set_name(std::string(kListener));
    out.mutable_api_listener()->mutable_api_listener()->PackFrom(manager);
    return listener_ = keep(Type::Listener, out.name(), stable_bytes(out));
}

std::string SnapshotCache::routes_key(ProxyId proxy) const {
    std::string key;
    for (std::size_t k = 0; k < operations_.size(); ++k) {
        for (const auto& [ops, table] : book_.assigned_tables(proxy)) {
            if (!runtime::includes(ops, {static_cast<int>(k)})) {
                continue;
            }
            const auto [let_in, again] = book_.admission(table, {static_cast<int>(k)});
            key += std::to_string(table.value) + ":" + std::to_string(let_in) + ":" +
                   std::to_string(static_cast<int>(again)) + ";";
        }
    }
    return key;
}

ResourcePtr SnapshotCache::routes(ProxyId proxy) {
    ResourcePtr& made = made_["routes " + routes_key(proxy)];
    if (made) {
        return made;
    }
    namespace limit = envoy::extensions::filters::http::local_ratelimit::v3;
    envoy::config::route::v3::RouteConfiguration out;
    out.set_name(std::string(kRoutes));
    auto* host = out.add_virtual_hosts();
    host->set_name(std::string(kRoutes));
    host->add_domains("*");
    for (std::size_t k = 0; k < operations_.size(); ++k) {
        for (const auto& [ops, table] : book_.assigned_tables(proxy)) {
            if (!runtime::includes(ops, {static_cast<int>(k)})) {
                continue;
            }
            const Operation& op = operations_[k];
            const auto [let_in, again] = book_.admission(table, {static_cast<int>(k)});
            auto* route = host->add_routes();
            route->set_name(op.name);
            route->mutable_match()->set_path(path_of(op.name));
            auto* to = route->mutable_route();
            to->set_cluster(cluster_name(table));
            *to->mutable_timeout() =
                TimeUtil::MicrosecondsToDuration(op.integration_timeout.count());
            // Rule 2: whatever was ordered, what may have run is not sent again where a repeat has
            // an effect.
            const RetryMode safe = op.effect == Effect::SideEffecting
                                       ? std::min(again, RetryMode::OnlyUnprocessed)
                                       : again;
            if (safe != RetryMode::Never) {
                auto* retry = to->mutable_retry_policy();
                retry->set_retry_on(retry_on(safe));
                retry->mutable_num_retries()->set_value(safe == RetryMode::Twice ? 2 : 1);
                if (safe != RetryMode::OnlyUnprocessed) {
                    *retry->mutable_per_try_timeout() =
                        TimeUtil::MicrosecondsToDuration(static_cast<std::int64_t>(
                            static_cast<double>(op.latency_objective.count()) * try_factor_));
                }
            }
            if (admit_ == AdmissionMode::Rate && let_in < runtime::kUnlimitedRate) {
                limit::LocalRateLimit bucket;
                bucket.set_stat_prefix(op.name);
                // Filled ten times a second, so that a rate under one a second still lets single
                // ones in.
                auto* tokens = bucket.mutable_token_bucket();
                const auto fill_us =
                    static_cast<std::int64_t>(std::round(1e6 / std::max(0.001, let_in)));
                tokens->set_max_tokens(
                    static_cast<std::uint32_t>(std::max(1.0, std::ceil(let_in))));
                tokens->mutable_tokens_per_fill()->set_value(1);
                *tokens->mutable_fill_interval() = TimeUtil::MicrosecondsToDuration(fill_us);
                (*route->mutable_typed_per_filter_config())["envoy.filters.http.local_ratelimit"]
                    .PackFrom(bucket);
            }
            if (admit_ == AdmissionMode::Fraction && let_in < 1) {
                auto* part =
                    route->mutable_match()->mutable_runtime_fraction()->mutable_default_value();
                part->set_numerator(
                    static_cast<std::uint32_t>(std::lround(std::max(0.0, let_in) * kMillion)));
                part->set_denominator(envoy::type::v3::FractionalPercent::MILLION);
                auto* rest = host->add_routes();
                rest->set_name(op.name + "/rate-limited");
                rest->mutable_match()->set_path(path_of(op.name));
                rest->mutable_direct_response()->set_status(429);
            }
        }
    }
    return made = keep(Type::Routes, out.name(), stable_bytes(out));
}

}  // namespace badgergrade::xds
