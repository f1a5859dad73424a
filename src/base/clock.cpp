#include "base/clock.h"

namespace badgergrade::base {

TimerQueue::Key TimerQueue::add(ActorId actor, Micros when, std::function<void()> what) {
    const Key key{when, actor, ++orders_};
    timers_.emplace(key, std::move(what));
    return key;
}

std::optional<Micros> TimerQueue::next() const {
    if (timers_.empty()) {
        return std::nullopt;
    }
    return timers_.begin()->first.when;
}

std::function<void()> TimerQueue::pop(Micros now) {
    if (timers_.empty() || timers_.begin()->first.when > now) {
        return {};
    }
    return std::move(timers_.extract(timers_.begin()).mapped());
}

void Timer::at(Micros when, std::function<void()> what) {
    stop();
    key_ = clock_->at(actor_, when, [this, run = std::move(what)] {
        // The callback may set this timer again or end its owner: nothing of `this` is touched
        // after it.
        key_.reset();
        const auto once = run;
        once();
    });
}

void Timer::stop() {
    if (key_) {
        clock_->cancel(*std::exchange(key_, std::nullopt));
    }
}

bool VirtualClock::step(Micros until) {
    const auto due = queue_.next();
    if (!due || *due > until) {
        return false;
    }
    now_ = std::max(now_, *due);
    if (const auto run = queue_.pop(now_)) {
        run();
    }
    return true;
}

}  // namespace badgergrade::base
