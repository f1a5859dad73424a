// Everything that takes part in a day, in one process on loopback: registry, workers, governors,
// forwarders and clients, and what the script does to them.
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

// Hands what it hears on to several.
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
                     const std::string& orders, std::size_t n, const std::string& why) override {
        for (auto* o : observers) {
            o->on_response(t, f, g, orders, n, why);
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
    // Starts the fleet at the clock's present; invocations come from then on.
    // With `given`, the fleet, the troubles and the invocations are those, and the script's are not
    // drawn.
    SimulatedFleet(net::Loop& loop, const ScenarioScript& script, log::Log& log,
                   const std::vector<testbed::Observer*>& watchers,
                   const RecordedScenario* given = nullptr);
    ~SimulatedFleet();

    Micros begin() const { return begin_; }

    // Zones by forwarder.
    static std::map<std::string, std::string> proxy_zones(const ScenarioScript& script,
                                                          const RecordedScenario* given);

    // For tests: changes what governors decided before it is carried out, and what forwarders do.
    std::function<void(int governor, xds_server::XdsServer&, Micros, std::vector<Command>&)>
        alter_commands_for_test;
    std::function<void(testbed::FakeProxy&)> on_proxy_created;
    // The channel's pace changed by this factor (the auditor's rules stretch with it).
    std::function<void(double slower)> on_channels_slowed;
    // Hears of each move before it is made (`joined`: in one step with the move before), and of
    // each trouble of the script as it strikes.
    std::function<void(Micros now, bool opening, bool joined, const FaultAction&)> on_action;
    std::function<void(Micros now, const Fault&)> on_fault;
    // Hears what governors are told and decide.
    xds_server::XdsServerObserver* instance_observer = nullptr;

    std::vector<xds_server::XdsServerMetrics> instance_metrics() const;

    testbed::FakeRegistry& registry() { return *registry_; }

    // Sends all troubles on their way. Called once.
    void start();

private:
    struct WorkerSlot {
        testbed::FakeServerSettings settings;
        std::unique_ptr<net::PortHold> port;
        std::unique_ptr<testbed::FakeServer> worker;
        int incarnation = 0;
        Micros started{};  // 0: long ago
    };

    struct ForwarderSlot {
        ProxyPlan plan;
        std::unique_ptr<net::PortHold> port;
        std::unique_ptr<testbed::FakeProxy> forwarder;
        std::unique_ptr<testbed::FakeClient> client;
        int starts = 0;
    };

    struct GovernorSlot {
        std::string name, zone;
        std::unique_ptr<net::PortHold> port;
        std::unique_ptr<xds_server::XdsServer> service;
        int life = 0;
        xds_server::XdsServerMetrics past;  // of its earlier lives
    };

    void later(Micros delay, std::function<void()> what);

    void open_script();
    void open_given();
    void add_clients(std::map<std::string, std::vector<testbed::Invocation>> traffic);
    void add_forwarder(const ProxyPlan& plan);
    void add_governor(std::size_t k);
    std::vector<testbed::FakeClientSettings::AttemptTimeoutOverride> gives_up() const;
    testbed::FakeServerSettings draw_worker(std::size_t k) const;

    void make(const FaultAction& move);
    void apply(const FaultAction& move);
    void apply_to_worker(const FaultAction& move);
    void apply_to_forwarder(const FaultAction& move);
    void show_old_list(bool on, double seconds_back);
    void pace_channels(double slower);
    std::size_t worker_called(const std::string& id) const;
    std::size_t forwarder_called(const std::string& id) const;
    std::size_t governor_called(const std::string& id) const;

    void add_worker(const testbed::FakeServerSettings& settings);
    void start_worker(std::size_t k, bool cold);
    void put_on_list(std::size_t k, bool draining);
    void stop_worker(std::size_t k, bool unlisted);
    void bring_back(std::size_t k, bool unlisted);
    void list_worker(std::size_t k, Micros delay, bool draining = false);
    void start_forwarder(std::size_t k);
    void start_governor(std::size_t k);
    void stop_governor(std::size_t k);
    std::vector<xds::TableEndpoint> draw_startup(const std::string& zone,
                                                 base::SequentialRandom& chance) const;

    std::vector<std::size_t> struck_workers(const Fault& trouble);
    std::vector<std::size_t> struck_forwarders(const Fault& trouble);
    void strike(const Fault& trouble);
    void strike_forwarders(const Fault& trouble);
    void lose_zone(const Fault& trouble);
    void crash_governor(std::size_t k, Micros lasts);
    void trouble_worker(std::size_t k, const std::function<void(testbed::ServerFault&)>& change);
    void strike_workers(const Fault& trouble);
    void each_worker(const Fault& trouble,
                     const std::function<void(testbed::ServerFault&, bool on)>& change);
    void flap(const Fault& trouble, std::size_t k, Micros end,
              std::shared_ptr<base::SequentialRandom> chance);
    void age(const Fault& trouble, std::size_t k, int incarnation, Micros began);
    void strike_neighbour(const Fault& trouble, std::size_t k, Micros end, bool on);

    net::Loop& loop_;
    const ScenarioScript& script_;
    const RecordedScenario* given_;
    bool opening_ = false;
    std::uint64_t step_ = 0, moved_step_ = 0;  // steps of the world; the one of its last move
    log::Log& log_;
    FanOutObserver watchers_;
    NetworkConditions weather_;
    Micros begin_{};
    base::SequentialRandom chance_;
    std::vector<std::string> operations_;
    std::unique_ptr<net::PortHold> registry_port_;
    std::unique_ptr<testbed::FakeRegistry> registry_;
    std::vector<WorkerSlot> workers_;
    std::vector<ForwarderSlot> forwarders_;
    std::vector<GovernorSlot> governors_;
    std::map<net::Address, std::string> server_names_;
    std::map<Micros, std::map<std::string, testbed::FakeRegistry::Entry>> list_history_;
    std::map<std::uint64_t, base::Timer> timers_;
    std::uint64_t timer_ids_ = 0;
};

}  // namespace badgergrade::scenario
