#include "runtime/policy_runner.h"

#include <utility>

#include "base/cpu_meter.h"

namespace badgergrade::runtime {

PolicyRunner::PolicyRunner(base::Clock& clock, base::ActorId actor, const Settings& settings,
                           std::uint64_t seed, Micros batch_window)
    : clock_(clock),
      actor_(actor),
      batch_window_(batch_window),
      planner_(settings, seed, clock.now()),
      decision_timer_(clock, actor) {}

void PolicyRunner::post(const Event& event) {
    if (on_event) {
        on_event(event);
    }
    planner_.on_event(clock_.now(), event);
    if (!decision_timer_.set()) {
        decision_timer_.after(batch_window_, [this] { decide(); });
    }
}

void PolicyRunner::schedule_decision() {
    decision_timer_.after(Micros{0}, [this] { decide(); });
}

void PolicyRunner::stop() {
    decision_timer_.stop();
    pending_timers_.clear();
}

void PolicyRunner::set_timer(const command::SetTimer& timer) {
    const auto it = pending_timers_.emplace(pending_timers_.end(), clock_, actor_);
    it->after(timer.delay, [this, it, token = timer.token] {
        const event::TimerFired fired{token};
        pending_timers_.erase(it);
        post(fired);
    });
}

void PolicyRunner::decide() {
    const base::CpuMeter meter(cpu_us_);
    std::vector<Command> all_commands = planner_.decide(clock_.now());
    if (on_decided) {
        on_decided(all_commands);
    }
    std::vector<Command> commands;
    for (Command& command : all_commands) {
        if (const auto* timer = std::get_if<command::SetTimer>(&command)) {
            set_timer(*timer);
        } else {
            commands.push_back(std::move(command));
        }
    }
    if (!commands.empty()) {
        on_commands(std::move(commands));
    }
}

}  // namespace badgergrade::runtime
