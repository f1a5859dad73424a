// Drives one module: events that come close together are decided on together, its timers are
// separate events, and its clock is the one handed in. Knows no protocol.
#pragma once

#include <functional>
#include <list>
#include <vector>

#include "base/clock.h"
#include "policy/planner.h"

namespace badgergrade::runtime {

class PolicyRunner {
public:
    // What comes within `batch` is decided on together.
    PolicyRunner(base::Clock& clock, base::ActorId actor, const Settings& told, std::uint64_t seed,
                 Micros batch);

    // Each event before the module takes it, its own timers included. May be unset.
    std::function<void(const Event&)> on_event;
    // All that was decided, before it is carried out: for those who watch, and for tests. May be
    // unset.
    std::function<void(std::vector<Command>&)> on_decided;
    // All that was decided but the timers, which are kept here. Must be set before the first event.
    std::function<void(std::vector<Command>)> on_actions;

    void tell(const Event& event);
    // Decides at the next turn, whether anything happened or not.
    void decide_soon();
    void stop();

    std::size_t timers() const { return timers_.size(); }

    // CPU that decisions took, with all that was done with them.
    std::int64_t cpu_us() const { return cpu_us_; }

private:
    void decide();
    void set_timer(const command::SetTimer& timer);

    base::Clock& clock_;
    base::ActorId actor_;
    Micros batch_;
    policy::Planner module_;
    base::Timer decide_;
    // Each setting is an event of its own, also of a token that is set already.
    std::list<base::Timer> timers_;
    std::int64_t cpu_us_ = 0;
};

}  // namespace badgergrade::runtime
