/// @file
/// Runs one policy::Planner on a clock. Events that arrive within the batch window share one
/// decision, and timers that the planner requests come back to it as events. Independent of the
/// wire protocol: the owner posts events and executes the commands.
///
/// All calls and callbacks happen on the thread of the clock's loop. Callbacks must not destroy the
/// runner. Reports no errors of its own; exceptions from callbacks propagate to the caller.
#pragma once

#include <functional>
#include <list>
#include <vector>

#include "base/clock.h"
#include "policy/planner.h"

namespace badgergrade::runtime {

/// Feeds events to a planner and schedules its decisions and timers.
class PolicyRunner {
public:
    /// \param seed          seed of the planner's random choices
    /// \param batch_window  events that arrive within this time share one decision
    PolicyRunner(base::Clock& clock, base::ActorId actor, const Settings& settings,
                 std::uint64_t seed, Micros batch_window);

    /// Called with each event before the planner gets it, timer events included. May be unset.
    std::function<void(const Event&)> on_event;
    /// Called with all commands of a decision before any of them is executed. Meant for observers
    /// and for tests, which may change the commands. May be unset.
    std::function<void(std::vector<Command>&)> on_decided;
    /// Called with the commands of a decision except SetTimer, which the runner executes itself.
    /// Not called if no other command is left. Must be set before the first event.
    std::function<void(std::vector<Command>)> on_commands;

    /// Passes an event to the planner immediately and schedules a decision after the batch window
    /// unless one is scheduled already. Calls on_event before it returns; on_commands is called
    /// later, by the decision's timer.
    void post(const Event& event);
    /// Schedules a decision for the current time, whether or not an event was posted. Replaces the
    /// one that is scheduled, if any.
    void schedule_decision();
    /// Cancels the scheduled decision and all timers.
    void stop();

    /// The planner's estimate of the configuration channel: queued and unacknowledged lines, and
    /// the delay of the last acknowledgement.
    policy::ChannelEstimate channel_estimate() const { return planner_.channel_estimate(); }

    /// Number of the planner's timers that have not fired yet.
    std::size_t pending_timers() const { return pending_timers_.size(); }

    /// CPU time in microseconds spent in decisions and in the callbacks that execute them.
    std::int64_t cpu_us() const { return cpu_us_; }

private:
    void decide();
    void set_timer(const command::SetTimer& timer);

    base::Clock& clock_;
    base::ActorId actor_;
    Micros batch_window_;
    policy::Planner planner_;
    base::Timer decision_timer_;
    /// One per SetTimer command. A second timer with the same token does not replace the first one:
    /// each fires as an event of its own.
    std::list<base::Timer> pending_timers_;
    std::int64_t cpu_us_ = 0;
};

}  // namespace badgergrade::runtime
