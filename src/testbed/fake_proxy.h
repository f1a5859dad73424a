// A stand-in for a plain forwarder: does as its tables say, and nothing else of its own than what
// the settings give it: a start-up table, ejection after failures, a further try as ordered or
// after proof.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "net/grpc.h"
#include "net/http_server.h"
#include "testbed/observer.h"
#include "xds/ads_client.h"
#include "xds/load_report.h"

namespace badgergrade::testbed {

struct FakeProxySettings {
    std::string id, zone;
    net::Address listen;                // port 0: a free one
    double invocations_per_second = 1;  // invocations a second, as told on joining
    std::vector<Operation> operations;
    std::vector<net::Address> instance_addresses;  // the preferred one first
    std::vector<std::string> instance_names;
    std::vector<xds::TableEndpoint> startup_table;  // its standing table
    LoadBalancingPolicy load_balancing_policy =
        LoadBalancingPolicy::LeastRequest;  // for the start-up table
    RetryMode retry_mode = RetryMode::OnlyUnprocessed;
    int ejection_failures = 5;
    Micros ejection_time{}, connect_timeout{}, connection_idle_timeout{}, dial_timeout{},
        min_reconnect_delay{}, max_reconnect_delay{};
    // Waits this long before it looks for its preferred governor again; 0: stays where it is.
    Micros failback_delay{};
    Micros keepalive_interval{};
};

class FakeProxy {
public:
    FakeProxy(net::Loop& loop, base::ActorId actor, FakeProxySettings settings, std::uint64_t seed,
              Observer* observer, std::map<net::Address, std::string> const* server_names);
    ~FakeProxy();

    net::Address address() const { return server_->address(); }

    const FakeProxySettings& settings() const { return settings_; }

    const xds::ProxyTables& tables() const { return ads_.tables(); }

    bool connected() const { return call_ != nullptr; }

    // Breaks the stream, as a cut on the way would; it dials again by itself.
    void break_stream();
    // Reaches no governor while this holds.
    void set_isolated(bool on);
    // Stops reading from its governor (back pressure).
    void set_stalled(bool on);

    // Refuses what this finds wrong.
    void set_response_check(std::function<std::string(const xds::AdsClient::Response&)> why) {
        ads_.response_check = std::move(why);
    }

    // Sends side-effecting invocations again after any failure: a forwarder that breaks the rules,
    // for tests alone.
    bool retries_everything_for_test = false;

private:
    struct Work {
        net::HttpExchangePtr exchange;
        std::uint64_t invocation = 0;
        int operation = 0;
        Micros began{}, expires{};
        std::set<net::Address> tried;
        net::Address now;
        net::HttpPool::TryId attempt = 0;
        int tries = 0;
        RetryMode again = RetryMode::OnlyUnprocessed;
        Micros per_try{};
        std::string cluster;
        AttemptOutcome before = AttemptOutcome::NeverSent;  // how the try before this one ended
    };

    struct Standing {
        int failures = 0, open = 0;
        Micros ejected_until{};
        double turn = 0;  // for picking by turns
    };

    struct Bucket {
        double tokens = 0;
        Micros filled{};
    };

    void dial();
    void redial();
    void on_connected(net::StreamPtr stream, std::size_t governor);
    void stream_over(const std::string& why);
    void on_response(std::string_view bytes);
    void report();
    void take(const net::HttpExchangePtr& exchange);
    bool let_in(const std::string& path, const xds::ProxyRoute& route, std::uint64_t invocation);
    const xds::ProxyTable* table_for(const Work& work) const;
    const xds::TableEndpoint* pick(const xds::ProxyTable& table,
                                   const std::set<net::Address>& not_these,
                                   base::CounterRandom luck);
    void attempt(std::uint64_t id);
    void attempted(std::uint64_t id, net::HttpOutcome outcome, Micros sent);
    void finish(std::uint64_t id, net::HttpMessage response);
    void tell_pickable();
    net::HttpPool& pool(const net::Address& to);
    std::string name_of(const net::Address& address) const;
    envoy::config::core::v3::Node node() const;

    net::Loop& loop_;
    base::ActorId actor_;
    FakeProxySettings settings_;
    Observer* observer_;
    const std::map<net::Address, std::string>* server_names_;
    base::SequentialRandom chance_;
    std::uint64_t luck_;
    bool fresh_ = true, isolated_ = false,
         stalled_ = false;  // before ads_, whose node tells of the first
    xds::AdsClient ads_;
    xds::ProxyTable startup_;
    std::unique_ptr<net::HttpServer> server_;
    std::unique_ptr<net::Dial> dial_;
    net::GrpcConnectionPtr connection_;
    net::StreamPtr stream_;
    net::GrpcCallPtr call_, reports_;
    std::size_t governor_ = 0;
    base::Timer redial_, report_, go_back_;
    Micros report_every_{}, reported_{};
    std::map<net::Address, xds::EndpointLoad> met_;
    std::map<std::string, xds::OperationDemand> asked_;
    std::map<net::Address, std::unique_ptr<net::HttpPool>> pools_;
    std::map<net::Address, Standing> standings_;
    std::map<std::string, Bucket> buckets_;
    std::map<std::uint64_t, Work> works_;
    std::map<int, bool> pickable_;
    std::uint64_t ids_ = 0;
};

}  // namespace badgergrade::testbed
