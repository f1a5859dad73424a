// The metrics of a scenario: service as billed, attempts, configuration updates and delays,
// collected from the testbed's fakes and written as JSON figures.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "scenario/script.h"
#include "testbed/observer.h"

namespace badgergrade::scenario {

// Sums over invocations. Billed value is the operation's priority weight; the fraction of it
// answered within the latency objective is the service figure.
struct ServiceTotals {
    double billed_value = 0, value_within_objective = 0;
    std::int64_t invocations = 0, succeeded = 0, rate_limited = 0, errored = 0, timed_out = 0,
                 late = 0;

    double fraction() const { return billed_value > 0 ? value_within_objective / billed_value : 0; }
};

class ScenarioMetrics final : public testbed::Observer {
public:
    // Counts the invocations that arrive from `begin` on, per second over `length`.
    ScenarioMetrics(const ScenarioScript& script, Micros begin, Micros length,
                    std::map<std::string, std::string> proxy_zones);

    void on_invocation_arrived(Micros, const testbed::Invocation&) override;
    void on_client_attempt(Micros, const testbed::Invocation&) override;
    void on_invocation_finished(Micros, const testbed::Invocation&,
                                testbed::InvocationResult) override;
    void on_proxy_connected(Micros, const std::string& proxy, const std::string& instance) override;
    void on_proxy_disconnected(Micros, const std::string& proxy,
                               const std::string& instance) override;
    void on_response(Micros, const std::string& proxy, const std::string& instance,
                     const std::string& release_text, std::size_t bytes,
                     const std::string& why) override;
    void on_attempt_sent(Micros, const std::string& proxy, const std::string& server,
                         std::uint64_t invocation, int operation, int number,
                         testbed::AttemptOutcome before) override;
    void on_attempt_finished(Micros, const std::string&, const std::string&, std::uint64_t,
                             testbed::AttemptOutcome) override;
    void on_server_started(Micros, const std::string& server, bool cold) override;
    void on_server_collapsed(Micros, const std::string& server,
                             const std::vector<ReceivedWork>&) override;
    void on_execution_started(Micros, const std::string& server, std::uint64_t invocation,
                              int operation) override;
    void on_server_list_sent(Micros, const std::string& instance,
                             const xds_server::ServerList& list) override;

    // For a proxy whose zone was not known at construction.
    void set_proxy_zone(const std::string& proxy, const std::string& zone) {
        proxy_zones_[proxy] = zone;
    }

    // Counts the invocations without a result as timed out. To be called at the end.
    void finish();

    const ServiceTotals& total() const { return total_; }

    ServiceTotals worst_window() const;
    nlohmann::ordered_json json() const;

private:
    struct InstanceCounts {
        std::int64_t responses = 0, bytes = 0, updates = 0, lines = 0, rejected = 0, lists = 0;
        std::string ready_servers;         // ready servers of the latest list
        std::vector<Micros> list_changes;  // times at which ready_servers changed
    };

    struct ProxyState {
        std::string instance;
        Micros applied{};  // list changes up to this time are applied
    };

    void record(const testbed::Invocation& invocation, testbed::InvocationResult result,
                Micros response_time);

    const ScenarioScript& script_;
    Micros begin_;
    std::map<std::string, std::string> proxy_zones_;
    std::map<std::uint64_t, testbed::Invocation> pending_;
    ServiceTotals total_;
    std::vector<ServiceTotals> by_operation_, by_second_;
    std::map<std::string, ServiceTotals> by_zone_;
    std::map<std::string, InstanceCounts> instances_;
    std::map<std::string, ProxyState> proxies_;
    std::vector<Micros> apply_delays_, response_times_;
    std::int64_t proxy_attempts_ = 0, retries_ = 0, client_attempts_ = 0, executions_ = 0,
                 double_executions_ = 0, collapses_ = 0, server_starts_ = 0;
    std::map<std::string, std::int64_t> attempt_outcomes_;
    std::map<std::uint64_t, int> side_effect_counts_;
    std::map<std::string, std::int64_t> executions_by_server_;
};

// The value at this fraction of the sorted values; 0 if there are none.
Micros quantile(std::vector<Micros> values, double part);

}  // namespace badgergrade::scenario
