// The order of the steps of a decision, how events update the state, and the operator's log lines.
// What each step decides is described in the header of its rule.
#include "policy/planner.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <utility>

#include "policy/demand_estimator.h"
#include "policy/endpoint_list.h"
#include "policy/fleet_state.h"
#include "policy/outlier_detection.h"
#include "policy/overload_control.h"
#include "policy/publisher.h"
#include "policy/required_capacity.h"
#include "policy/send_budget.h"
#include "policy/shard_assignment.h"
#include "policy/slow_start.h"
#include "policy/subsetting.h"
#include "policy/table_planner.h"

namespace badgergrade::policy {
namespace {

/// The token of the timer that triggers the next decision.
constexpr const char* kTickToken = "beat";
/// The token of the timer that triggers a decision when a vacant shard may be assigned.
constexpr const char* kShardTimerToken = "shard";

FleetState initial_fleet(const Settings& settings) {
    FleetState fleet;
    fleet.zone_count = settings.zone_count;
    OperationMask bit = 1;
    for (const Operation& operation : settings.operations) {
        fleet.operations.all |= bit;
        (operation.local_only ? fleet.operations.local_only : fleet.operations.any_zone) |= bit;
        bit <<= 1;
    }
    return fleet;
}

Micros shortest_objective(const Settings& settings) {
    Micros shortest = Micros::max();
    for (const Operation& operation : settings.operations) {
        shortest = std::min(shortest, operation.latency_objective);
    }
    return shortest;
}

/// The column of the CPU utilization in the load metrics; past their end if there is none.
std::size_t cpu_column(const Settings& settings) {
    const auto& names = settings.load_metric_names;
    return static_cast<std::size_t>(std::ranges::find(names, "cpu") - names.begin());
}

std::string rounded(double value) {
    return std::to_string(std::lround(value));
}

std::string log_text(const EjectionChange& change) {
    const std::string server = "server " + std::to_string(change.server.value);
    const std::string zone = "zone " + std::to_string(change.zone.value);
    if (!change.ejected) {
        return server + " passed probation in " + zone;
    }
    constexpr double kMillisecondsPerSecond = 1e3;
    const AttemptStats& stats = change.stats;
    return server + " ejected from " + zone + ": failures " + rounded(stats.failures) + " of " +
           rounded(stats.attempts) + " attempts, mean latency " +
           rounded(stats.mean_latency_seconds() * kMillisecondsPerSecond) + " ms, zone median " +
           rounded(change.median_latency_seconds * kMillisecondsPerSecond);
}

std::string log_text(const SubsetCountChange& change) {
    return "zone " + std::to_string(change.zone.value) + " uses " + std::to_string(change.count) +
           " subsets";
}

}  // namespace

class Planner::State {
public:
    State(const Settings& settings, std::uint64_t seed, Micros now)
        : sharded_(settings.shard_count > 0),
          endpoints_on_request_(settings.endpoints_on_request),
          fleet_(initial_fleet(settings)),
          endpoints_(settings, seed),
          outliers_(settings.zone_count, shortest_objective(settings), cpu_column(settings)),
          slow_start_(settings, shortest_objective(settings), now),
          demand_(settings.zone_count, settings.proxy_count, now),
          required_(settings),
          overload_(settings),
          tables_(settings),
          subsetting_(settings.zone_count, settings.connection_idle_timeout),
          budget_(settings, now),
          shards_(settings, budget_),
          publisher_(settings, fleet_, outliers_, slow_start_, subsetting_, budget_) {}

    // Not copied or moved: the publisher holds references to the other members.
    State(const State&) = delete;
    State& operator=(const State&) = delete;
    State(State&&) = delete;
    State& operator=(State&&) = delete;
    ~State() = default;

    /// Ignores events that no rule uses.
    template <class Unused>
    void on(Micros, const Unused&) {}

    void on(Micros now, const event::EndpointListUpdate& update) {
        if (update.kind == UpdateKind::WatchFailed) {
            watching_endpoints_ = false;
            return;
        }
        endpoints_.apply(now, update, fleet_, outliers_);
    }

    void on(Micros, const event::TimerFired& event) {
        if (event.token != kShardTimerToken) {
            tick_scheduled_ = false;
        }
    }

    void on(Micros now, const event::ProxyConnected& event) {
        Proxy& proxy = fleet_.proxies[event.proxy];
        proxy.connected = true;
        proxy.connected_at = now;
        if (proxy.zone != event.zone) {
            proxy.subset = -1;
        }
        proxy.zone = event.zone;
        proxy.announced_rate = event.announced_rate;
        proxy.assigned_tables.clear();
        proxy.messages = {};
        if (event.fresh_start) {
            proxy.process_started_at = now;
            proxy.demand.clear();
        }
        shards_.on_proxy_connected(now, event);
    }

    void on(Micros now, const event::ProxyDisconnected& event) {
        const auto found = fleet_.proxies.find(event.proxy);
        if (found == fleet_.proxies.end()) {
            return;
        }
        Proxy& proxy = found->second;
        proxy.connected = false;
        proxy.disconnected_at = now;
        proxy.assigned_tables.clear();
        budget_.on_disconnected(proxy);
        shards_.on_proxy_disconnected(now, event.proxy);
    }

    void on(Micros now, const event::ServerLoadReport& report) {
        if (fleet_.servers.contains(report.server) && fleet_.has_zone(report.zone)) {
            outliers_.on_load_report(now, report);
        }
    }

    void on(Micros now, const event::ProxyDemandReport& report) {
        const auto found = fleet_.proxies.find(report.proxy);
        if (found != fleet_.proxies.end() && report.interval > Micros{0}) {
            add_demand(now, report, found->second);
        }
    }

    void on(Micros now, const event::ShardAssignmentChanged& change) {
        shards_.on_assignment_changed(now, change, fleet_);
    }

    void on(Micros, const event::ShardReplica& replica) { shards_.on_replica(replica, fleet_); }

    void on(Micros now, const event::ConfigAcknowledged& event) {
        budget_.on_acknowledged(now, event, fleet_.proxies);
        shards_.on_acknowledged(now, event);
    }

    std::vector<Command> decide(Micros now) {
        if (endpoints_on_request_ && !watching_endpoints_ && now >= next_watch_at_) {
            commands_.emplace_back(command::WatchEndpoints{true});
            watching_endpoints_ = true;
            next_watch_at_ = now + kRecomputeInterval;
        }
        if (sharded_) {
            append(shards_.update(now, fleet_));
            schedule_shard_assignment(now);
        } else {
            decide_tables(now);
        }
        if (!std::exchange(tick_scheduled_, true)) {
            commands_.emplace_back(command::SetTimer{kTickToken, kDecisionInterval});
        }
        return std::exchange(commands_, {});
    }

    ChannelEstimate channel_estimate() const { return budget_.estimate(); }

private:
    void decide_tables(Micros now) {
        if (demand_.update(now, fleet_)) {
            tables_.on_demand_recomputed();
        }
        endpoints_.remove_unresponsive(now, fleet_, outliers_);
        detect_outliers(now);
        required_.update(now, fleet_, outliers_.health());
        if (auto text = tables_.update(now, fleet_, outliers_, slow_start_, required_, demand_)) {
            log(std::move(*text));
        }
        overload_.update(now, fleet_, outliers_, slow_start_, required_, demand_.shares());
        for (const auto& change : subsetting_.update(now, fleet_, outliers_, slow_start_)) {
            log(log_text(change));
        }
        append(publisher_.publish(now, tables_.full_table_mode()));
    }

    /// Asks for a decision when the next vacant shard may be assigned, if that is before the tick.
    void schedule_shard_assignment(Micros now) {
        const std::optional<Micros> next = shards_.next_assignment_after(now);
        if (next && *next < now + kDecisionInterval && next != shard_timer_at_) {
            commands_.emplace_back(command::SetTimer{kShardTimerToken, *next - now});
            shard_timer_at_ = next;
        }
    }

    void detect_outliers(Micros now) {
        const AttemptStats stats = outliers_.fleet_stats(now, fleet_);
        for (const EjectionChange& change : outliers_.evaluate(now, fleet_, stats)) {
            log(log_text(change));
        }
        slow_start_.update_expected_overload(now, stats, overload_.is_shedding(), fleet_);
    }

    void log(std::string text) { commands_.emplace_back(command::LogMessage{std::move(text)}); }

    void append(std::vector<Command> commands) {
        std::ranges::move(commands, std::back_inserter(commands_));
    }

    bool sharded_;
    bool endpoints_on_request_;
    FleetState fleet_;
    EndpointList endpoints_;
    OutlierDetector outliers_;
    SlowStart slow_start_;
    DemandEstimator demand_;
    RequiredCapacity required_;
    OverloadControl overload_;
    TablePlanner tables_;
    Subsetting subsetting_;
    SendBudget budget_;
    ShardAssignment shards_;
    Publisher publisher_;
    bool watching_endpoints_ = false;
    Micros next_watch_at_{};
    bool tick_scheduled_ = false;
    /// The time of the last timer that was set for an assignment.
    std::optional<Micros> shard_timer_at_;
    /// Collected during a decision and returned at its end.
    std::vector<Command> commands_;
};

Planner::Planner(const Settings& settings, std::uint64_t seed, Micros now)
    : state_(std::make_unique<State>(settings, seed, now)) {}

Planner::~Planner() = default;
Planner::Planner(Planner&&) noexcept = default;
Planner& Planner::operator=(Planner&&) noexcept = default;

void Planner::on_event(Micros now, const Event& event) {
    std::visit([&](const auto& content) { state_->on(now, content); }, event);
}

std::vector<Command> Planner::decide(Micros now) {
    return state_->decide(now);
}

ChannelEstimate Planner::channel_estimate() const {
    return state_->channel_estimate();
}

}  // namespace badgergrade::policy
