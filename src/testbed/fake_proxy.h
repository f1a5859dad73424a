// A fake of a plain xDS proxy: takes its tables from a control plane instance over ADS, reports
// load over LRS, and balances the invocations of its clients over the servers of its tables.
//
// Beyond its tables it has only what the settings give it: a static start-up table for the time
// before the first configuration, ejection of endpoints after consecutive failures, and retries, as
// the route says or after proof that an attempt was not processed.
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

// Times in microseconds.
struct FakeProxySettings {
    std::string id, zone;
    net::Address listen;  // port 0 selects a free port
    double invocations_per_second =
        1;  // usual rate, announced to the instance in the node metadata
    std::vector<Operation> operations;
    std::vector<net::Address> instance_addresses;  // the preferred instance first
    std::vector<std::string> instance_names;
    std::vector<xds::TableEndpoint> startup_table;  // used before any configuration has arrived
    LoadBalancingPolicy load_balancing_policy =
        LoadBalancingPolicy::LeastRequest;  // of the start-up table
    RetryMode retry_mode = RetryMode::OnlyUnprocessed;
    int ejection_failures = 5;
    Micros ejection_time{}, connect_timeout{}, connection_idle_timeout{}, dial_timeout{},
        min_reconnect_delay{}, max_reconnect_delay{};
    // Time after which a proxy connected to another instance reconnects to its preferred one. 0
    // disables failback.
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

    // Aborts the connection to the instance. The proxy reconnects by itself.
    void break_stream();
    // While isolated, the proxy reaches no control plane instance.
    void set_isolated(bool isolated);
    // While stalled, the proxy does not read from its instance, which causes backpressure.
    void set_stalled(bool stalled);

    // Rejects (NACK) each response for which `why` returns a reason.
    void set_response_check(std::function<std::string(const xds::AdsClient::Response&)> why) {
        ads_.response_check = std::move(why);
    }

    // Retries side-effecting invocations after any failure. Tests set it to violate the rule
    // "effect".
    bool retries_everything_for_test = false;

private:
    struct PendingInvocation {
        net::HttpExchangePtr exchange;
        std::uint64_t invocation = 0;
        int operation = 0;
        Micros received_at{}, deadline{};
        std::set<net::Address> tried_addresses;
        net::Address address;
        net::HttpPool::TryId attempt_id = 0;
        int attempts = 0;
        RetryMode retry_mode = RetryMode::OnlyUnprocessed;
        Micros attempt_timeout{};
        std::string cluster;
        AttemptOutcome previous_outcome =
            AttemptOutcome::NeverSent;  // of the attempt before the current one
    };

    struct EndpointState {
        int consecutive_failures = 0, active_requests = 0;
        Micros ejected_until{};
        double round_robin_credit = 0;  // for smooth weighted round robin
    };

    struct Bucket {
        double tokens = 0;
        Micros filled{};
    };

    void connect();
    void schedule_reconnect();
    void on_connected(net::StreamPtr stream, std::size_t instance);
    void on_disconnected(const std::string& why);
    void on_response(std::string_view bytes);
    void report();
    void on_request(const net::HttpExchangePtr& exchange);
    bool admit(const std::string& path, const xds::ProxyRoute& route, std::uint64_t invocation);
    const xds::ProxyTable* table_for(const PendingInvocation& pending) const;
    const xds::TableEndpoint* pick(const xds::ProxyTable& table,
                                   const std::set<net::Address>& excluded,
                                   base::CounterRandom random);
    void attempt(std::uint64_t id);
    void on_attempt_finished(std::uint64_t id, net::HttpOutcome outcome, Micros sent);
    void finish(std::uint64_t id, net::HttpMessage response);
    void report_endpoint_availability();
    net::HttpPool& pool(const net::Address& to);
    std::string server_name(const net::Address& address) const;
    envoy::config::core::v3::Node node() const;

    net::Loop& loop_;
    base::ActorId actor_;
    FakeProxySettings settings_;
    Observer* observer_;
    const std::map<net::Address, std::string>* server_names_;
    base::SequentialRandom random_;
    std::uint64_t attempt_seed_;
    bool awaiting_config_ = true, isolated_ = false,
         stalled_ =
             false;  // declared before ads_: node(), which builds ads_, reads awaiting_config_
    xds::AdsClient ads_;
    xds::ProxyTable startup_;
    std::unique_ptr<net::HttpServer> server_;
    std::unique_ptr<net::Dial> dial_;
    net::GrpcConnectionPtr connection_;
    net::StreamPtr stream_;
    net::GrpcCallPtr call_, reports_;
    std::size_t instance_index_ = 0;
    base::Timer reconnect_timer_, report_timer_, failback_timer_;
    Micros report_interval_{}, last_report_at_{};
    std::map<net::Address, xds::EndpointLoad> endpoint_loads_;
    std::map<std::string, xds::OperationDemand> operation_demands_;
    std::map<net::Address, std::unique_ptr<net::HttpPool>> pools_;
    std::map<net::Address, EndpointState> endpoint_states_;
    std::map<std::string, Bucket> buckets_;
    std::map<std::uint64_t, PendingInvocation> pending_;
    std::map<int, bool> has_endpoint_;
    std::uint64_t last_id_ = 0;
};

}  // namespace badgergrade::testbed
