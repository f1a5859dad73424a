// Planner: the decision core of one control plane instance. Events go in (policy/event.h), commands
// come out (policy/command.h).
//
// Pass each event to on_event(), then call decide() once for that moment and carry out its commands
// in their order. decide() asks for a timer every kDecisionInterval (250 ms).
//
// The steps of a decision, one file each: demand estimation (demand_estimator.h), the endpoint list
// (endpoint_list.h), outlier detection (outlier_detection.h), the weight that the demand requires
// (required_capacity.h), table planning with zone allocation, slow start and the protection of
// warming servers (table_planner.h, zone_allocation.h, slow_start.h, collapse_protection.h),
// admission limits (overload_control.h), subsetting (subsetting.h), and publishing (publisher.h)
// within the send budget (send_budget.h). A sharded deployment runs shard_assignment.h instead.
// What proxies may retry is decided when admission limits are published: see RetryMode in
// settings.h.
//
// Invariants: no I/O, no clock and no thread; time points come from the caller and never go back;
// instances share no state; the same settings, seed, events and times give the same commands.
//
// Memory does not grow with time or traffic, only with the ids that were seen: one entry for each
// server that was ever listed, each proxy that ever connected and each pair of zone and server that
// was reported, all of them kept when the server or proxy is gone. Reports are summed in a fixed
// number of time buckets (sliding_window.h), unacknowledged lines of a proxy are kept in at most 64
// entries (send_budget.cpp), and the number of tables follows from the zone count or the shards.
// Shards that became vacant together share one entry for each proxy (shard_handover.h).
//
// docs/design.md is the design that the rules follow, with its sources.
#pragma once

#include <memory>
#include <vector>

#include "policy/command.h"
#include "policy/event.h"
#include "policy/ids.h"
#include "policy/send_budget.h"
#include "policy/settings.h"

namespace badgergrade::policy {

class Planner {
public:
    Planner(const Settings& settings, std::uint64_t seed, Micros now);
    ~Planner();
    Planner(Planner&&) noexcept;
    Planner& operator=(Planner&&) noexcept;

    /// Updates the state with one event; the commands follow with the next decide().
    void on_event(Micros now, const Event& event);
    /// Returns the commands of this moment. Call it once after the events of the moment.
    std::vector<Command> decide(Micros now);

    /// The estimated state of the configuration channel after the last decision.
    ChannelEstimate channel_estimate() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

}  // namespace badgergrade::policy
