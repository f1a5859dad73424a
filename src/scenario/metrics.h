// What a day came to: service as billed, tries, orders, delays. Filled from what the stand-ins saw.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "scenario/script.h"
#include "testbed/observer.h"

namespace badgergrade::scenario {

// Billed value asked for and answered within the latency objective.
struct ServiceTotals {
    double billed_value = 0, value_within_objective = 0;
    std::int64_t invocations = 0, succeeded = 0, rate_limited = 0, errored = 0, timed_out = 0,
                 late = 0;

    double fraction() const { return billed_value > 0 ? value_within_objective / billed_value : 0; }
};

class ScenarioMetrics final : public testbed::Observer {
public:
    // Counts the invocations that come from `begin` on, by seconds over `length`.
    ScenarioMetrics(const ScenarioScript& script, Micros begin, Micros length,
                    std::map<std::string, std::string> zone_of_forwarder);

    void on_invocation_arrived(Micros, const testbed::Invocation&) override;
    void on_client_attempt(Micros, const testbed::Invocation&) override;
    void on_invocation_finished(Micros, const testbed::Invocation&,
                                testbed::InvocationResult) override;
    void on_proxy_connected(Micros, const std::string& forwarder,
                            const std::string& governor) override;
    void on_proxy_disconnected(Micros, const std::string& forwarder,
                               const std::string& governor) override;
    void on_response(Micros, const std::string& forwarder, const std::string& governor,
                     const std::string& orders, std::size_t bytes, const std::string& why) override;
    void on_attempt_sent(Micros, const std::string& forwarder, const std::string& server,
                         std::uint64_t invocation, int operation, int number,
                         testbed::AttemptOutcome before) override;
    void on_attempt_finished(Micros, const std::string&, const std::string&, std::uint64_t,
                             testbed::AttemptOutcome) override;
    void on_server_started(Micros, const std::string& server, bool cold) override;
    void on_server_collapsed(Micros, const std::string& server,
                             const std::vector<ReceivedWork>&) override;
    void on_execution_started(Micros, const std::string& server, std::uint64_t invocation,
                              int operation) override;
    void on_server_list_sent(Micros, const std::string& governor,
                             const xds_server::ServerList& list) override;

    // Where a forwarder stands, learnt later.
    void set_proxy_zone(const std::string& forwarder, const std::string& zone) {
        zones_[forwarder] = zone;
    }

    // Ends what clients still wait for at the day's end: counted as timed out.
    void finish();

    const ServiceTotals& total() const { return whole_; }

    ServiceTotals worst_window() const;
    nlohmann::ordered_json json() const;

private:
    struct GovernorCounts {
        std::int64_t responses = 0, bytes = 0, orders = 0, lines = 0, rejected = 0, lists = 0;
        std::string shown;           // the servers it was last told, ready ones
        std::vector<Micros> untold;  // list changes that some forwarder has not applied yet
    };

    struct ForwarderSight {
        std::string governor;
        Micros applied{};  // list changes up to here are in force
    };

    void add(const testbed::Invocation& what, testbed::InvocationResult result, Micros took);

    const ScenarioScript& script_;
    Micros begin_;
    std::map<std::string, std::string> zones_;
    std::map<std::uint64_t, testbed::Invocation> open_;
    ServiceTotals whole_;
    std::vector<ServiceTotals> by_operation_, by_second_;
    std::map<std::string, ServiceTotals> by_zone_;
    std::map<std::string, GovernorCounts> governors_;
    std::map<std::string, ForwarderSight> forwarders_;
    std::vector<Micros> applied_, answered_;
    std::int64_t tries_ = 0, further_ = 0, client_tries_ = 0, effects_ = 0, double_effects_ = 0,
                 falls_ = 0, starts_ = 0;
    std::map<std::string, std::int64_t> ends_;
    std::map<std::uint64_t, int> effect_counts_;
    std::map<std::string, std::int64_t> effects_by_server_;
};

// The value below which this part lies; sorts its copy.
Micros quantile(std::vector<Micros> values, double part);

}  // namespace badgergrade::scenario
