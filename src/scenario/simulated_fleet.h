// All members of a scenario in one process on loopback sockets: registry, servers, control plane
// instances, proxies and clients. Carries out the faults of the script, or the recorded actions.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "log/log.h"
#include "scenario/fault_action.h"
#include "scenario/network_conditions.h"
#include "scenario/script.h"
#include "scenario/traffic.h"
#include "testbed/fake_client.h"
#include "testbed/fake_proxy.h"
#include "testbed/fake_registry.h"
#include "testbed/fake_server.h"
#include "xds_server/xds_server.h"

namespace badgergrade::scenario {

// Forwards each callback to several observers.
class FanOutObserver final : public testbed::Observer {
public:
    std::vector<testbed::Observer*> observers;

    void on_invocation_arrived(Micros t, const testbed::Invocation& i) override {
        for (auto* o : observers) {
            o->on_invocation_arrived(t, i);
        }
    }

    void on_client_attempt(Micros t, const testbed::Invocation& i) override {
        for (auto* o : observers) {
            o->on_client_attempt(t, i);
        }
    }

    void on_invocation_finished(Micros t, const testbed::Invocation& i,
                                testbed::InvocationResult r) override {
        for (auto* o : observers) {
            o->on_invocation_finished(t, i, r);
        }
    }

    void on_proxy_started(Micros t, const std::string& f) override {
        for (auto* o : observers) {
            o->on_proxy_started(t, f);
        }
    }

    void on_proxy_stopped(Micros t, const std::string& f) override {
        for (auto* o : observers) {
            o->on_proxy_stopped(t, f);
        }
    }

    void on_proxy_connected(Micros t, const std::string& f, const std::string& g) override {
        for (auto* o : observers) {
            o->on_proxy_connected(t, f, g);
        }
    }

    void on_proxy_disconnected(Micros t, const std::string& f, const std::string& g) override {
        for (auto* o : observers) {
            o->on_proxy_disconnected(t, f, g);
        }
    }

    void on_response(Micros t, const std::string& f, const std::string& g,
                     const std::string& release_text, std::size_t n,
                     const std::string& why) override {
        for (auto* o : observers) {
            o->on_response(t, f, g, release_text, n, why);
        }
    }

    void on_endpoint_availability(Micros t, const std::string& f, int op, bool any) override {
        for (auto* o : observers) {
            o->on_endpoint_availability(t, f, op, any);
        }
    }

    void on_attempt_sent(Micros t, const std::string& f, const std::string& s, std::uint64_t i,
                         int op, int n, testbed::AttemptOutcome b) override {
        for (auto* o : observers) {
            o->on_attempt_sent(t, f, s, i, op, n, b);
        }
    }

    void on_attempt_finished(Micros t, const std::string& f, const std::string& s, std::uint64_t i,
                             testbed::AttemptOutcome e) override {
        for (auto* o : observers) {
            o->on_attempt_finished(t, f, s, i, e);
        }
    }

    void on_server_started(Micros t, const std::string& s, bool cold) override {
        for (auto* o : observers) {
            o->on_server_started(t, s, cold);
        }
    }

    void on_server_stopped(Micros t, const std::string& s) override {
        for (auto* o : observers) {
            o->on_server_stopped(t, s);
        }
    }

    void on_server_collapsed(Micros t, const std::string& s,
                             const std::vector<ReceivedWork>& p) override {
        for (auto* o : observers) {
            o->on_server_collapsed(t, s, p);
        }
    }

    void on_execution_started(Micros t, const std::string& s, std::uint64_t i, int op) override {
        for (auto* o : observers) {
            o->on_execution_started(t, s, i, op);
        }
    }

    void on_server_list_sent(Micros t, const std::string& g,
                             const xds_server::ServerList& l) override {
        for (auto* o : observers) {
            o->on_server_list_sent(t, g, l);
        }
    }
};

class SimulatedFleet {
public:
    // The scenario begins at the current time of the loop's clock. With `recorded`, its fleet,
    // faults and invocations replace those that the script would generate.
    SimulatedFleet(net::Loop& loop, const ScenarioScript& script, log::Log& log,
                   const std::vector<testbed::Observer*>& observers,
                   const RecordedScenario* recorded = nullptr);
    ~SimulatedFleet();

    Micros begin() const { return begin_; }

    // The zone of each proxy.
    static std::map<std::string, std::string> proxy_zones(const ScenarioScript& script,
                                                          const RecordedScenario* recorded);

    // For tests: alters the commands of an instance before they are carried out, or a new proxy.
    std::function<void(int instance, xds_server::XdsServer&, Micros, std::vector<Command>&)>
        alter_commands_for_test;
    std::function<void(testbed::FakeProxy&)> on_proxy_created;
    // The pace of the channels was divided by this factor; the auditor scales its time limits by
    // it.
    std::function<void(double slowdown_factor)> on_channels_slowed;
    // Called before each action is carried out (`same_step`: in one step with the action before),
    // and for each fault of the script as it begins.
    std::function<void(Micros now, bool initial, bool same_step, const FaultAction&)> on_action;
    std::function<void(Micros now, const Fault&)> on_fault;
    // Observes the events and commands of all instances.
    xds_server::XdsServerObserver* instance_observer = nullptr;

    std::vector<xds_server::XdsServerMetrics> instance_metrics() const;

    testbed::FakeRegistry& registry() { return *registry_; }

    // Starts the fleet and schedules all faults. To be called once.
    void start();

private:
    struct ServerSlot {
        testbed::FakeServerSettings settings;
        std::unique_ptr<net::PortHold> port;
        std::unique_ptr<testbed::FakeServer> server;
        int incarnation = 0;
        Micros started{};  // 0: before the scenario
    };

    struct ProxySlot {
        ProxyPlan plan;
        std::unique_ptr<net::PortHold> port;
        std::unique_ptr<testbed::FakeProxy> proxy;
        std::unique_ptr<testbed::FakeClient> client;
        int starts = 0;
    };

    struct InstanceSlot {
        std::string name, zone;
        std::unique_ptr<net::PortHold> port;
        std::unique_ptr<xds_server::XdsServer> xds_server;
        int incarnation = 0;
        xds_server::XdsServerMetrics previous_metrics;  // of earlier incarnations
    };

    void schedule(Micros delay, std::function<void()> callback);

    void start_from_script();
    void start_from_recording();
    void add_clients(std::map<std::string, std::vector<testbed::Invocation>> traffic);
    void add_proxy(const ProxyPlan& plan);
    void add_instance(std::size_t k);
    std::vector<testbed::FakeClientSettings::AttemptTimeoutOverride> attempt_timeout_overrides()
        const;
    testbed::FakeServerSettings draw_server_settings(std::size_t k) const;

    void perform(const FaultAction& action);
    void apply(const FaultAction& action);
    void apply_to_server(const FaultAction& action);
    void apply_to_proxy(const FaultAction& action);
    void serve_stale_list(bool active, double seconds_back);
    void set_channel_slowdown(double slowdown_factor);
    std::size_t server_index(const std::string& id) const;
    std::size_t proxy_index(const std::string& id) const;
    std::size_t instance_index(const std::string& id) const;

    void add_server(const testbed::FakeServerSettings& settings);
    void start_server(std::size_t k, bool cold);
    void put_in_registry(std::size_t k, bool draining);
    void stop_server(std::size_t k, bool unlisted);
    void restart_cold(std::size_t k, bool unlisted);
    void list_after_delay(std::size_t k, Micros delay, bool draining = false);
    void start_proxy(std::size_t k);
    void start_instance(std::size_t k);
    void stop_instance(std::size_t k);
    std::vector<xds::TableEndpoint> draw_startup_table(const std::string& zone,
                                                       base::SequentialRandom& random) const;

    std::vector<std::size_t> select_servers(const Fault& fault);
    std::vector<std::size_t> select_proxies(const Fault& fault);
    void inject(const Fault& fault);
    void inject_proxy_fault(const Fault& fault);
    void lose_zone(const Fault& fault);
    void crash_instance(std::size_t k, Micros lasts);
    void change_server_fault(std::size_t k,
                             const std::function<void(testbed::ServerFault&)>& change);
    void inject_server_fault(const Fault& fault);
    void change_for(const Fault& fault,
                    const std::function<void(testbed::ServerFault&, bool active)>& change);
    void flap(const Fault& fault, std::size_t k, Micros end,
              std::shared_ptr<base::SequentialRandom> random);
    void slow_down_gradually(const Fault& fault, std::size_t k, int incarnation, Micros started_at);
    void toggle_noisy_neighbour(const Fault& fault, std::size_t k, Micros end, bool active);

    net::Loop& loop_;
    const ScenarioScript& script_;
    const RecordedScenario* recorded_;
    bool starting_ = false;
    std::uint64_t step_ = 0,
                  last_action_step_ = 0;  // count of timer callbacks; its value at the last action
    log::Log& log_;
    FanOutObserver observers_;
    NetworkConditions network_conditions_;
    Micros begin_{};
    base::SequentialRandom random_;
    std::vector<std::string> operations_;
    std::unique_ptr<net::PortHold> registry_port_;
    std::unique_ptr<testbed::FakeRegistry> registry_;
    std::vector<ServerSlot> servers_;
    std::vector<ProxySlot> proxies_;
    std::vector<InstanceSlot> instances_;
    std::map<net::Address, std::string> server_names_;
    std::map<Micros, std::map<std::string, testbed::FakeRegistry::Entry>> list_history_;
    std::map<std::uint64_t, base::Timer> timers_;
    std::uint64_t timer_ids_ = 0;
};

}  // namespace badgergrade::scenario
