// Everything that takes part in a day, in one process on loopback: registry, workers, governors,
// forwarders and clients, and what the script does to them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "log/log.h"
#include "scenario/moves.h"
#include "scenario/script.h"
#include "scenario/traffic.h"
#include "scenario/weather.h"
#include "testbed/client.h"
#include "testbed/forwarder.h"
#include "testbed/registry.h"
#include "testbed/worker.h"
#include "xds_server/xds_server.h"

namespace badgergrade::scenario {

// Hands what it hears on to several.
class Watchers final : public testbed::Observer {
public:
    std::vector<testbed::Observer*> all;

    void invocation_came(Micros t, const testbed::Invocation& i) override {
        for (auto* o : all) {
            o->invocation_came(t, i);
        }
    }

    void client_try(Micros t, const testbed::Invocation& i) override {
        for (auto* o : all) {
            o->client_try(t, i);
        }
    }

    void invocation_ended(Micros t, const testbed::Invocation& i, testbed::Result r) override {
        for (auto* o : all) {
            o->invocation_ended(t, i, r);
        }
    }

    void forwarder_up(Micros t, const std::string& f) override {
        for (auto* o : all) {
            o->forwarder_up(t, f);
        }
    }

    void forwarder_down(Micros t, const std::string& f) override {
        for (auto* o : all) {
            o->forwarder_down(t, f);
        }
    }

    void joined(Micros t, const std::string& f, const std::string& g) override {
        for (auto* o : all) {
            o->joined(t, f, g);
        }
    }

    void left(Micros t, const std::string& f, const std::string& g) override {
        for (auto* o : all) {
            o->left(t, f, g);
        }
    }

    void response_read(Micros t, const std::string& f, const std::string& g,
                       const std::string& orders, std::size_t n, const std::string& why) override {
        for (auto* o : all) {
            o->response_read(t, f, g, orders, n, why);
        }
    }

    void pickable(Micros t, const std::string& f, int op, bool any) override {
        for (auto* o : all) {
            o->pickable(t, f, op, any);
        }
    }

    void try_sent(Micros t, const std::string& f, const std::string& s, std::uint64_t i, int op,
                  int n, testbed::TryEnd b) override {
        for (auto* o : all) {
            o->try_sent(t, f, s, i, op, n, b);
        }
    }

    void try_ended(Micros t, const std::string& f, const std::string& s, std::uint64_t i,
                   testbed::TryEnd e) override {
        for (auto* o : all) {
            o->try_ended(t, f, s, i, e);
        }
    }

    void server_up(Micros t, const std::string& s, bool cold) override {
        for (auto* o : all) {
            o->server_up(t, s, cold);
        }
    }

    void server_down(Micros t, const std::string& s) override {
        for (auto* o : all) {
            o->server_down(t, s);
        }
    }

    void server_fell(Micros t, const std::string& s, const std::vector<Push>& p) override {
        for (auto* o : all) {
            o->server_fell(t, s, p);
        }
    }

    void took_effect(Micros t, const std::string& s, std::uint64_t i, int op) override {
        for (auto* o : all) {
            o->took_effect(t, s, i, op);
        }
    }

    void list_told(Micros t, const std::string& g, const xds_server::ServerList& l) override {
        for (auto* o : all) {
            o->list_told(t, g, l);
        }
    }
};

class World {
public:
    // Starts the fleet at the clock's present; invocations come from then on.
    // With `given`, the fleet, the troubles and the invocations are those, and the script's are not
    // drawn.
    World(net::Loop& loop, const DayScript& script, log::Log& log,
          const std::vector<testbed::Observer*>& watchers, const GivenWorld* given = nullptr);
    ~World();

    Micros begin() const { return begin_; }

    // Zones by forwarder.
    static std::map<std::string, std::string> forwarder_zones(const DayScript& script,
                                                              const GivenWorld* given);

    // For tests: changes what governors decided before it is carried out, and what forwarders do.
    std::function<void(int governor, xds_server::XdsServer&, Micros, std::vector<Command>&)> tamper;
    std::function<void(testbed::Forwarder&)> on_forwarder;
    // The channel's pace changed by this factor (the auditor's rules stretch with it).
    std::function<void(double slower)> on_slow_channel;
    // Hears of each move before it is made (`joined`: in one step with the move before), and of
    // each trouble of the script as it strikes.
    std::function<void(Micros now, bool opening, bool joined, const Move&)> on_move;
    std::function<void(Micros now, const Trouble&)> on_trouble;
    // Hears what governors are told and decide.
    xds_server::XdsServerObserver* governor_watcher = nullptr;

    std::vector<xds_server::XdsServerMetrics> governor_figures() const;

    testbed::Registry& registry() { return *registry_; }

    // Sends all troubles on their way. Called once.
    void start();

private:
    struct WorkerSlot {
        testbed::WorkerSettings settings;
        std::unique_ptr<net::PortHold> port;
        std::unique_ptr<testbed::Worker> worker;
        int incarnation = 0;
        Micros started{};  // 0: long ago
    };

    struct ForwarderSlot {
        ForwarderPlan plan;
        std::unique_ptr<net::PortHold> port;
        std::unique_ptr<testbed::Forwarder> forwarder;
        std::unique_ptr<testbed::Client> client;
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
    void add_forwarder(const ForwarderPlan& plan);
    void add_governor(std::size_t k);
    std::vector<testbed::ClientSettings::GivesUp> gives_up() const;
    testbed::WorkerSettings draw_worker(std::size_t k) const;

    void make(const Move& move);
    void apply(const Move& move);
    void apply_to_worker(const Move& move);
    void apply_to_forwarder(const Move& move);
    void show_old_list(bool on, double seconds_back);
    void pace_channels(double slower);
    std::size_t worker_called(const std::string& id) const;
    std::size_t forwarder_called(const std::string& id) const;
    std::size_t governor_called(const std::string& id) const;

    void add_worker(const testbed::WorkerSettings& settings);
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

    std::vector<std::size_t> struck_workers(const Trouble& trouble);
    std::vector<std::size_t> struck_forwarders(const Trouble& trouble);
    void strike(const Trouble& trouble);
    void strike_forwarders(const Trouble& trouble);
    void lose_zone(const Trouble& trouble);
    void crash_governor(std::size_t k, Micros lasts);
    void trouble_worker(std::size_t k, const std::function<void(testbed::WorkerTrouble&)>& change);
    void strike_workers(const Trouble& trouble);
    void each_worker(const Trouble& trouble,
                     const std::function<void(testbed::WorkerTrouble&, bool on)>& change);
    void flap(const Trouble& trouble, std::size_t k, Micros end,
              std::shared_ptr<base::SequentialRandom> chance);
    void age(const Trouble& trouble, std::size_t k, int incarnation, Micros began);
    void strike_neighbour(const Trouble& trouble, std::size_t k, Micros end, bool on);

    net::Loop& loop_;
    const DayScript& script_;
    const GivenWorld* given_;
    bool opening_ = false;
    std::uint64_t step_ = 0, moved_step_ = 0;  // steps of the world; the one of its last move
    log::Log& log_;
    Watchers watchers_;
    DayWeather weather_;
    Micros begin_{};
    base::SequentialRandom chance_;
    std::vector<std::string> operations_;
    std::unique_ptr<net::PortHold> registry_port_;
    std::unique_ptr<testbed::Registry> registry_;
    std::vector<WorkerSlot> workers_;
    std::vector<ForwarderSlot> forwarders_;
    std::vector<GovernorSlot> governors_;
    std::map<net::Address, std::string> server_names_;
    std::map<Micros, std::map<std::string, testbed::Registry::Row>> list_history_;
    std::map<std::uint64_t, base::Timer> timers_;
    std::uint64_t timer_ids_ = 0;
};

}  // namespace badgergrade::scenario
