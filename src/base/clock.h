// Time as it is handed to every room: a clock that tells whole microseconds and runs timers. Two
// makers stand behind it: RealClock (real_clock.h) and VirtualClock (below), which moves only when
// it is told to.
//
// Timers due at one moment run by (time, actor, order of setting), never by address or by the
// arrival of bytes, so that one seed gives one day.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace badgergrade::base {

using Micros = std::chrono::microseconds;

// Who set a timer: governor, forwarder, worker ...; smaller numbers run first at one moment.
struct ActorId {
    std::uint32_t v = 0;
    friend auto operator<=>(const ActorId&, const ActorId&) = default;
};

// The timers of one loop in the order in which they run.
class TimerQueue {
public:
    struct Key {
        Micros when{};
        ActorId actor;
        std::uint64_t order = 0;
        friend auto operator<=>(const Key&, const Key&) = default;
    };

    Key add(ActorId actor, Micros when, std::function<void()> what);

    bool cancel(const Key& key) { return timers_.erase(key) > 0; }

    std::optional<Micros> next() const;
    // Takes out the first timer that is due at `now`, if any.
    std::function<void()> pop(Micros now);

    std::size_t size() const { return timers_.size(); }

private:
    std::map<Key, std::function<void()>> timers_;
    std::uint64_t orders_ = 0;
};

class Clock {
public:
    virtual ~Clock() = default;
    // Whole microseconds since an arbitrary beginning; never goes back.
    virtual Micros now() const = 0;
    virtual TimerQueue::Key at(ActorId actor, Micros when, std::function<void()> what) = 0;
    virtual void cancel(const TimerQueue::Key& key) = 0;
};

// One timer that dies with its owner, so that no callback outlives what it captured.
class Timer {
public:
    Timer() = default;

    Timer(Clock& clock, ActorId actor) : clock_(&clock), actor_(actor) {}

    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    Timer(Timer&& other) noexcept { *this = std::move(other); }

    // Only a timer that is not set may be moved: a set one captures its own address.
    Timer& operator=(Timer&& other) noexcept {
        stop();
        clock_ = other.clock_;
        actor_ = other.actor_;
        other.stop();
        return *this;
    }

    ~Timer() { stop(); }

    void after(Micros delay, std::function<void()> what) {
        at(clock_->now() + delay, std::move(what));
    }

    void at(Micros when, std::function<void()> what);
    void stop();

    bool set() const { return key_.has_value(); }

private:
    Clock* clock_ = nullptr;
    ActorId actor_;
    std::optional<TimerQueue::Key> key_;
};

// Stands still until somebody who knows that nothing is in flight moves it (net/loop.h).
class VirtualClock final : public Clock {
public:
    explicit VirtualClock(Micros begin = std::chrono::seconds(1000)) : now_(begin) {}

    Micros now() const override { return now_; }

    TimerQueue::Key at(ActorId actor, Micros when, std::function<void()> what) override {
        return queue_.add(actor, std::max(when, now_), std::move(what));
    }

    void cancel(const TimerQueue::Key& key) override { queue_.cancel(key); }

    std::optional<Micros> next() const { return queue_.next(); }

    // Moves to the next timer and runs it; false where there is none at or before `until`.
    bool step(Micros until);

    void jump(Micros to) { now_ = std::max(now_, to); }

private:
    Micros now_;
    TimerQueue queue_;
};

}  // namespace badgergrade::base
