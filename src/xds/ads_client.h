/// @file
/// The proxy's side of an aggregated discovery stream (ADS, state of the world), without a socket:
/// responses in, requests (subscriptions, ACK, NACK) and routing tables out.
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

/// One server in a table as a proxy holds it.
struct TableEndpoint {
    net::Address address;
    std::string zone;
    /// Relative to the other lines of the table.
    double weight = 0;
    /// Must not be sent new requests.
    bool draining = false;
};

/// A cluster with its endpoint assignment.
struct ProxyTable {
    LoadBalancingPolicy pick_policy = LoadBalancingPolicy::WeightedRandom;
    /// Consecutive failures after which the proxy itself ejects a server; 0: never.
    int ejection_failures = 0;
    Micros ejection_time{};
    std::vector<TableEndpoint> endpoints;
    /// Version of the assignment.
    std::string version;
    /// False: the cluster was removed, and is kept only because routes still name it.
    bool listed = true;
};

/// How requests for one operation are routed.
struct ProxyRoute {
    std::string cluster;
    Micros timeout{};
    RetryMode retry_mode = RetryMode::Never;
    /// Timeout of one attempt; 0: none of its own.
    Micros attempt_timeout{};
    /// Fraction of the requests that is admitted.
    double admitted_fraction = 1;
    /// Admitted requests a second; 0: no limit.
    double admitted_per_second = 0;
    /// Most requests that may be admitted at once under `admitted_per_second`.
    double max_burst = 0;
};

/// What the proxy acts on. Replaced as a whole with each accepted response: half of a response is
/// never visible.
struct ProxyTables {
    /// By request path.
    std::map<std::string, ProxyRoute> routes;
    /// By cluster name.
    std::map<std::string, ProxyTable> clusters;
    /// Must not be sent requests, whatever a table says.
    std::set<net::Address> ejected;
};

/// Why a response was rejected.
enum class ResponseError {
    UnknownType,
    MixedTypes,
    Unreadable,
    InvalidField,
    UnknownCluster,
    RefusedByCheck
};

struct RejectedResponse {
    ResponseError error = ResponseError::Unreadable;
    /// The reason, as the NACK carries it.
    std::string text;
};

class AdsClient {
public:
    using Request = envoy::service::discovery::v3::DiscoveryRequest;
    using Response = envoy::service::discovery::v3::DiscoveryResponse;

    explicit AdsClient(envoy::config::core::v3::Node node) : node_(std::move(node)) {}

    /// Begins a new stream and returns its first requests. Tables stay in force.
    std::vector<Request> start();

    struct ResponseResult {
        /// To be sent in this order.
        std::vector<Request> requests;
        /// The response was accepted, and `tables()` may differ.
        bool tables_changed = false;
        std::optional<RejectedResponse> rejected;
    };

    /// Handles a response. An accepted one replaces the tables and is acknowledged (ACK); for a
    /// rejected one (NACK) the tables stay as they are.
    ResponseResult on_response(const Response& response);

    /// Continues with tables that an earlier stream left in force.
    void restore_tables(ProxyTables tables) { tables_ = std::move(tables); }

    const ProxyTables& tables() const { return tables_; }

    /// For tests of rejected versions: called with each response before it is read. A text that is
    /// not empty rejects the response with that reason. Must not call back into this object.
    std::function<std::string(const Response&)> response_check;

private:
    struct SubscriptionState {
        std::string version;
        std::string nonce;
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
    static Error read_route(const envoy::config::route::v3::Route& from, const ProxyTables& tables,
                            ProxyRoute& route);
    static Error read_rate_limit(const envoy::config::route::v3::Route& from, ProxyRoute& route);

    envoy::config::core::v3::Node node_;
    std::array<SubscriptionState, kResourceTypes.size()> subscriptions_;
    ProxyTables tables_;
};

}  // namespace badgergrade::xds
