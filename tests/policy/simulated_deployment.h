// A deployment for tests of the planner on a virtual clock: clients, proxies, servers, the endpoint
// list, and one planner with its configuration channel for each control plane instance. It plays
// every single invocation, so that the load of a warming server follows from what proxies really
// do: pick from the tables that have reached them, retry, and avoid servers that fail.
//
// It checks the deployment's rules from outside of the planner: whether a warming server collapses,
// whether a proxy is without a server for too long while a warm one is listed, whether drained
// servers are still sent to after the grace, the queue limit and the message limit.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fleet_builder.h"
#include "policy/planner.h"

namespace badgergrade::policy {

/// An operation as clients use it.
struct SimulatedOperation {
    /// Of all invocations, 0 to 1.
    double share = 1;
    /// The mean work, in seconds of one server of weight 1.
    double work_seconds = 0.1;
};

/// A server, and what happens to it.
struct SimulatedServer {
    ServerId id;
    ZoneId zone;
    double weight = 1;
    /// When it crashes; no value: never.
    std::optional<Micros> crashes_at{};
    Micros starts_again_at{};
    /// When the instances are told of the crash (no value: only of the new start), and of the new
    /// start.
    std::optional<Micros> crash_listed_at{};
    Micros start_listed_at{};
};

struct SimulatedDeploymentOptions {
    Settings settings;
    std::vector<SimulatedOperation> operations;
    std::vector<SimulatedServer> servers;
    /// Invocations per second of each zone's proxies together.
    std::vector<double> zone_rates;
    int proxies_per_zone = 4;
    /// Whether all proxies of a zone connect to the same instance.
    bool instances_by_zone = false;
    /// When an instance is replaced by a new process that knows the last list; no value: never.
    std::optional<Micros> instance_restarts_at;
    std::uint32_t seed = 1;
};

/// What broke the deployment's rules.
struct RuleViolations {
    /// Warming servers that collapsed by the attempts of proxies that knew of the start.
    std::vector<std::string> collapses;
    /// Proxies without a server for too long while a warm one was listed.
    std::vector<std::string> without_server;
    /// Attempts at a server that was listed as gone, after the drain grace.
    std::vector<std::string> late_attempts;
    /// Excesses of the queue limit or of the message limit.
    std::vector<std::string> channel_excesses;

    /// All of them, one a line; empty if no rule was broken.
    std::string text() const;
};

class SimulatedDeployment {
public:
    explicit SimulatedDeployment(SimulatedDeploymentOptions options);
    ~SimulatedDeployment();

    /// Plays from the start until `length` later.
    void play(Micros length);

    const RuleViolations& violations() const { return violations_; }

    /// The invocations that were answered, as a fraction (0 to 1) of all.
    double answered_fraction() const;

private:
    struct Server;
    struct Proxy;
    struct Instance;
    struct Message;

    void connect(Proxy& proxy);
    void run_lifecycle(Server& server);
    void tell(const Server& server, ServerState state);
    void restart_instances();
    void decide(Instance& instance);
    void deliver(Instance& instance);
    void report(Instance& instance);
    void schedule_arrival(Proxy& proxy, OperationId operation, double rate);
    void invoke(Proxy& proxy, OperationId operation, bool is_repeated);
    bool admits(Proxy& proxy, OperationId operation);
    Server* pick(Proxy& proxy, OperationId operation, const Server* excluded);
    void attempt(Proxy& proxy, OperationId operation, Server& server, bool is_retry);
    void check_collapse(const Proxy& proxy, Server& server, double work_seconds);
    void check_without_server(Proxy& proxy);
    double capacity_fraction(const Server& server, Micros now) const;
    Micros exponential(double rate_per_second);
    void schedule(Micros at, std::function<void()> action);

    SimulatedDeploymentOptions options_;
    std::ranlux24_base random_;
    Micros now_{kStart};
    std::map<ServerId, std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Proxy>> proxies_;
    std::vector<std::unique_ptr<Instance>> instances_;

    struct Action {
        Micros at;
        std::uint64_t order;
        std::function<void()> run;

        bool operator<(const Action& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    std::priority_queue<Action> actions_;
    std::uint64_t next_order_ = 0;
    RuleViolations violations_;
    std::int64_t invocations_ = 0;
    std::int64_t answered_ = 0;
};

}  // namespace badgergrade::policy
