// The forwarder's side of an aggregated discovery stream, state of the world, without a socket:
// responses in, requests (subscriptions, ACK, NACK) and tables out.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "envoy/service/discovery/v3/discovery.pb.h"
#include "net/network.h"
#include "policy/ids.h"
#include "policy/settings.h"
#include "xds/resource_names.h"

namespace badgergrade::xds {

// One line of a table as a forwarder holds it.
struct TableLine {
    net::Address address;
    std::string zone;
    double weight = 0;
    bool draining = false;
};

struct ClientTable {
    PickPolicy pick = PickPolicy::WeightedRandom;
    int ejects_after = 0;
    Micros eject_time{};
    std::vector<TableLine> lines;
    std::string version;  // of the assignment
    bool listed = true;   // false: removed, and kept only because routes still name it
};

struct ClientRoute {
    std::string cluster;
    Micros timeout{};
    RetryMode again = RetryMode::Never;
    Micros per_try{};
    double share = 1;  // let in
    double rate = 0;   // tokens a second; 0: no limit
    double burst = 0;
};

// What the forwarder acts on. Replaced whole at each accepted response: no half of one is ever
// seen.
struct ClientTables {
    std::map<std::string, ClientRoute> routes;  // by path
    std::map<std::string, ClientTable> clusters;
    std::set<net::Address> withdrawn;  // not to be sent to, whatever a table says
};

class AdsClient {
public:
    using Request = envoy::service::discovery::v3::DiscoveryRequest;
    using Response = envoy::service::discovery::v3::DiscoveryResponse;

    explicit AdsClient(envoy::config::core::v3::Node node) : node_(std::move(node)) {}

    // A new stream: what to send first. What is held stays in force.
    std::vector<Request> start();

    struct Outcome {
        std::vector<Request> requests;
        bool changed = false;
        std::string rejected;  // why the response was not taken
    };

    Outcome on_response(const Response& response);

    // Goes on with what an earlier stream left in force.
    void keep(ClientTables held) { tables_ = std::move(held); }

    const ClientTables& tables() const { return tables_; }

    // Refuses what this says is wrong (tests, trials of rejected versions); empty: nothing.
    std::function<std::string(const Response&)> doubt;

private:
    struct Lane {
        std::string version, nonce;
        std::set<std::string> names;
    };

    Request request(Type type, bool with_node) const;
    std::string take(Type type, const Response& response, ClientTables& next,
                     std::set<std::string>& routes_wanted);
    std::string take_cluster(const std::string& bytes, ClientTables& next,
                             std::set<std::string>& kept);
    std::string take_assignment(const std::string& bytes, const std::string& version,
                                ClientTables& next);
    std::string take_listener(const std::string& bytes, std::set<std::string>& routes_wanted);
    std::string take_routes(const std::string& bytes, ClientTables& next);

    envoy::config::core::v3::Node node_;
    std::array<Lane, 4> lanes_;
    ClientTables tables_;
};

}  // namespace badgergrade::xds
