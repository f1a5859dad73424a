// Drives one module: events that come close together are decided on together, its timers are separate events, and its
// clock is the one handed in. Knows no protocol.
#pragma once

#include <functional>
#include <list>
#include <vector>

#include "base/clock.h"
#include "logic.h"

namespace badgergrade::drive {

class Driver {
public:
    // What comes within `batch` is decided on together.
    Driver(base::Clock& clock, base::ActorId actor, const Settings& told, std::uint64_t seed, Micros batch);

    // All that was decided but the timers, which are kept here. Must be set before the first event.
    std::function<void(std::vector<Action>)> on_actions;

    void tell(const Event& event);
    void stop();
    std::size_t timers() const { return timers_.size(); }

private:
    void decide();
    void set_timer(const act::Timer& timer);

    base::Clock& clock_;
    base::ActorId actor_;
    Micros batch_;
    badgergrade::Governor module_;
    base::Timer decide_;
    // Each setting is an event of its own, also of a token that is set already.
    std::list<base::Timer> timers_;
};

}  // namespace badgergrade::drive
