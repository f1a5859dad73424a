#include "base/clock.h"

namespace badgergrade::base {

TimerQueue::Key TimerQueue::add(ActorId actor, Micros when, std::function<void()> callback) {
    const Key key{when, actor, ++last_order_};
    timers_.emplace(key, std::move(callback));
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

void Timer::at(Micros when, std::function<void()> callback) {
    stop();
    key_ = clock_->at(actor_, when, [this, callback = std::move(callback)] {
        // The callback may set this timer again or destroy its owner, so `this` is not used after
        // it.
        key_.reset();
        const auto copy = callback;
        copy();
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
    if (const auto callback = queue_.pop(now_)) {
        callback();
    }
    return true;
}

}  // namespace badgergrade::base
