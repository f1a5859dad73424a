/// @file
/// The xDS client of a proxy: one aggregated discovery stream (ADS, state-of-the-world variant),
/// without a socket. Discovery responses go in; requests to send (subscriptions, ACK, NACK) and the
/// routing tables in force come out.
///
/// Invariants:
/// - a response is applied as a whole or not at all; a rejected one (NACK) changes no table;
/// - tables stay in force when a stream ends and a new one begins;
/// - a cluster that the control plane removed is kept for as long as a route names it.
///
/// All calls come from one thread.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "envoy/config/route/v3/route.pb.h"
#include "envoy/service/discovery/v3/discovery.pb.h"
#include "net/network.h"
#include "policy/ids.h"
#include "policy/settings.h"
#include "xds/resource_names.h"

namespace badgergrade::xds {

/// One server in a proxy's table.
struct TableEndpoint {
    net::Address address;
    std::string zone;
    /// Relative to the other endpoints of the table.
    double weight = 0;
    /// The proxy must not send it new requests.
    bool draining = false;
};

/// A table as a proxy holds it: an xDS cluster with its endpoint assignment.
struct ProxyTable {
    LoadBalancingPolicy load_balancing_policy = LoadBalancingPolicy::WeightedRandom;
    /// Outlier detection by the proxy itself: consecutive failures after which it ejects a server.
    /// 0: never.
    int ejection_failures = 0;
    /// How long the proxy itself ejects a server.
    Micros ejection_time{};
    std::vector<TableEndpoint> endpoints;
    /// `version_info` of the response that carried the assignment.
    std::string version;
    /// False: the control plane removed the cluster, and it is kept only because a route names it.
    bool listed = true;
};

/// How requests for one operation are routed.
struct ProxyRoute {
    /// Name of the cluster in `ProxyTables::clusters`.
    std::string cluster;
    /// Time limit of a request, all its attempts included.
    Micros timeout{};
    RetryMode retry_mode = RetryMode::Never;
    /// Time limit of one attempt; 0: only `timeout` applies.
    Micros attempt_timeout{};
    /// Fraction of the requests that is admitted, 0 to 1.
    double admitted_fraction = 1;
    /// Admitted requests per second; 0: no limit.
    double admitted_per_second = 0;
    /// Size of the token bucket of `admitted_per_second`: requests that may be admitted at once.
    double max_burst = 0;
};

/// The configuration that a proxy acts on. Each accepted response replaces it as a whole, so that a
/// partly applied response is never visible.
struct ProxyTables {
    /// Routes by request path.
    std::map<std::string, ProxyRoute> routes;
    /// Tables by cluster name.
    std::map<std::string, ProxyTable> clusters;
    /// Servers that must not be sent requests, even if a table lists them.
    std::set<net::Address> ejected;
};

/// Why a discovery response was rejected.
enum class ResponseError {
    UnknownType,
    MixedTypes,
    Malformed,
    InvalidField,
    UnknownCluster,
    RejectedByCheck
};

/// Why a discovery response was answered with a NACK, or ignored if its type is unknown.
struct RejectedResponse {
    ResponseError error = ResponseError::Malformed;
    /// The reason, sent as `error_detail.message` of the NACK.
    std::string text;
};

class AdsClient {
public:
    using Request = envoy::service::discovery::v3::DiscoveryRequest;
    using Response = envoy::service::discovery::v3::DiscoveryResponse;

    explicit AdsClient(envoy::config::core::v3::Node node) : node_(std::move(node)) {}

    /// Begins a new stream and returns its first requests. Tables, versions and subscriptions are
    /// kept; nonces belong to a stream and are forgotten.
    std::vector<Request> start();

    struct ResponseResult {
        /// Requests to send, in this order.
        std::vector<Request> requests;
        /// The response was accepted, and `tables()` may have changed.
        bool tables_changed = false;
        std::optional<RejectedResponse> rejected;
    };

    /// Handles a discovery response. An accepted one is applied to the tables and acknowledged
    /// (ACK); a rejected one (NACK) leaves the tables unchanged. A response of an unknown type is
    /// not answered.
    ResponseResult on_response(const Response& response);

    /// Takes over the tables that an earlier client left in force.
    void restore_tables(ProxyTables tables) { tables_ = std::move(tables); }

    const ProxyTables& tables() const { return tables_; }

    /// For tests: called with each response before it is parsed. A text that is not empty rejects
    /// the response with that text as the reason. Must not call back into this object.
    std::function<std::string(const Response&)> response_check;

private:
    /// The state of one resource type.
    struct SubscriptionState {
        /// `version_info` of the last accepted response.
        std::string version;
        /// Nonce of the last response on this stream, accepted or not.
        std::string nonce;
        /// Subscribed resource names; empty: all clusters or listeners (wildcard), no routes.
        std::set<std::string> names;
    };

    using Error = std::optional<RejectedResponse>;

    SubscriptionState& subscription(ResourceType type) { return subscriptions_[index(type)]; }

    const SubscriptionState& subscription(ResourceType type) const {
        return subscriptions_[index(type)];
    }

    Request make_request(ResourceType type, bool with_node) const;
    void subscribe(ResourceType type, std::set<std::string> names, std::vector<Request>& requests);

    static Error apply(ResourceType type, const Response& response, ProxyTables& tables,
                       std::set<std::string>& route_names);
    static Error apply_cluster(const std::string& bytes, ProxyTables& tables,
                               std::set<std::string>& listed);
    static Error apply_assignment(const std::string& bytes, const std::string& version,
                                  ProxyTables& tables);
    static Error apply_listener(const std::string& bytes, std::set<std::string>& route_names);
    static Error apply_routes(const std::string& bytes, ProxyTables& tables);
    static Error parse_route(const envoy::config::route::v3::Route& proto,
                             const ProxyTables& tables, ProxyRoute& route);
    static Error parse_rate_limit(const envoy::config::route::v3::Route& proto, ProxyRoute& route);

    envoy::config::core::v3::Node node_;
    std::array<SubscriptionState, kResourceTypes.size()> subscriptions_;
    ProxyTables tables_;
};

}  // namespace badgergrade::xds
