#include "drive/driver.h"

#include <utility>

#include "base/cpu_meter.h"

namespace badgergrade::drive {

Driver::Driver(base::Clock& clock, base::ActorId actor, const Settings& told, std::uint64_t seed,
               Micros batch)
    : clock_(clock),
      actor_(actor),
      batch_(batch),
      module_(told, seed, clock.now()),
      decide_(clock, actor) {}

void Driver::tell(const Event& event) {
    if (on_event) {
        on_event(event);
    }
    module_.take(clock_.now(), event);
    if (!decide_.set()) {
        decide_.after(batch_, [this] { decide(); });
    }
}

void Driver::decide_soon() {
    decide_.after(Micros{0}, [this] { decide(); });
}

void Driver::stop() {
    decide_.stop();
    timers_.clear();
}

void Driver::set_timer(const act::Timer& timer) {
    const auto it = timers_.emplace(timers_.end(), clock_, actor_);
    it->after(timer.delay, [this, it, token = timer.token] {
        const ev::Timer due{token};
        timers_.erase(it);
        tell(due);
    });
}

void Driver::decide() {
    const base::CpuMeter meter(cpu_us_);
    std::vector<Action> decided = module_.decide(clock_.now());
    std::vector<Action> orders;
    if (on_decided) {
        on_decided(decided);
    }
    for (Action& action : decided) {
        if (const auto* timer = std::get_if<act::Timer>(&action)) {
            set_timer(*timer);
        } else {
            orders.push_back(std::move(action));
        }
    }
    if (!orders.empty()) {
        on_actions(std::move(orders));
    }
}

}  // namespace badgergrade::drive
