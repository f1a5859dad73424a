#include "runtime/policy_runner.h"

#include <utility>

#include "base/cpu_meter.h"

namespace badgergrade::runtime {

PolicyRunner::PolicyRunner(base::Clock& clock, base::ActorId actor, const Settings& told,
                           std::uint64_t seed, Micros batch)
    : clock_(clock),
      actor_(actor),
      batch_(batch),
      module_(told, seed, clock.now()),
      decide_(clock, actor) {}

void PolicyRunner::tell(const Event& event) {
    if (on_event) {
        on_event(event);
    }
    module_.on_event(clock_.now(), event);
    if (!decide_.set()) {
        decide_.after(batch_, [this] { decide(); });
    }
}

void PolicyRunner::decide_soon() {
    decide_.after(Micros{0}, [this] { decide(); });
}

void PolicyRunner::stop() {
    decide_.stop();
    timers_.clear();
}

void PolicyRunner::set_timer(const command::SetTimer& timer) {
    const auto it = timers_.emplace(timers_.end(), clock_, actor_);
    it->after(timer.delay, [this, it, token = timer.token] {
        const event::TimerFired due{token};
        timers_.erase(it);
        tell(due);
    });
}

void PolicyRunner::decide() {
    const base::CpuMeter meter(cpu_us_);
    std::vector<Command> decided = module_.decide(clock_.now());
    std::vector<Command> orders;
    if (on_decided) {
        on_decided(decided);
    }
    for (Command& action : decided) {
        if (const auto* timer = std::get_if<command::SetTimer>(&action)) {
            set_timer(*timer);
        } else {
            orders.push_back(std::move(action));
        }
    }
    if (!orders.empty()) {
        on_actions(std::move(orders));
    }
}

}  // namespace badgergrade::runtime
