/// The clock interface of all modules: time in whole microseconds, and timers. Implementations are
/// RealClock (real_clock.h) and VirtualClock (below), which advances only when its owner advances
/// it.
///
/// Invariant: timers run in the order (time, actor, order in which they were set), which depends
/// neither on addresses nor on the arrival of bytes. So a scenario runs the same way each time with
/// the same seed.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace badgergrade::base {

using Micros = std::chrono::microseconds;

/// Identifies the owner of a timer: a control plane instance, a proxy, a server and so on. Of
/// timers that are due at the same time, those of smaller numbers run first.
struct ActorId {
    std::uint32_t v = 0;
    friend auto operator<=>(const ActorId&, const ActorId&) = default;
};

/// The pending timers of one clock, in the order in which they run.
class TimerQueue {
public:
    /// Identifies a pending timer and gives its place in the order. `order` is a sequence number.
    struct Key {
        Micros when{};
        ActorId actor;
        std::uint64_t order = 0;
        friend auto operator<=>(const Key&, const Key&) = default;
    };

    Key add(ActorId actor, Micros when, std::function<void()> callback);

    /// Removes a timer. False if it is not pending any more.
    bool cancel(const Key& key) { return timers_.erase(key) > 0; }

    /// Time of the first timer, if any.
    std::optional<Micros> next() const;
    /// Removes the first timer if it is due at `now` and returns its callback, else an empty
    /// function.
    std::function<void()> pop(Micros now);

    std::size_t size() const { return timers_.size(); }

private:
    std::map<Key, std::function<void()>> timers_;
    std::uint64_t last_order_ = 0;
};

/// Monotonic time and timers.
class Clock {
public:
    virtual ~Clock() = default;
    /// Whole microseconds since an arbitrary start; never decreases.
    virtual Micros now() const = 0;
    /// Runs `callback` once at `when`, or as soon as possible if that has passed.
    virtual TimerQueue::Key at(ActorId actor, Micros when, std::function<void()> callback) = 0;
    /// Removes a timer; does nothing if it has run.
    virtual void cancel(const TimerQueue::Key& key) = 0;
};

/// One timer, cancelled when this object is destroyed, so that its callback does not outlive the
/// objects that it captured. Setting it again replaces the earlier setting.
class Timer {
public:
    Timer() = default;

    Timer(Clock& clock, ActorId actor) : clock_(&clock), actor_(actor) {}

    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    Timer(Timer&& other) noexcept { *this = std::move(other); }

    /// Only a timer that is not set may be moved: the callback of a set one holds the address of
    /// the timer.
    Timer& operator=(Timer&& other) noexcept {
        stop();
        clock_ = other.clock_;
        actor_ = other.actor_;
        other.stop();
        return *this;
    }

    ~Timer() { stop(); }

    /// Runs `callback` after `delay`.
    void after(Micros delay, std::function<void()> callback) {
        at(clock_->now() + delay, std::move(callback));
    }

    /// Runs `callback` at `when`.
    void at(Micros when, std::function<void()> callback);
    /// Cancels the timer if it is set.
    void stop();

    /// Whether the timer is pending.
    bool set() const { return key_.has_value(); }

private:
    Clock* clock_ = nullptr;
    ActorId actor_;
    std::optional<TimerQueue::Key> key_;
};

/// A clock for scenarios and tests. It stands still until its owner, which knows that no bytes are
/// in flight, advances it (net::Loop in net/network.h).
class VirtualClock final : public Clock {
public:
    explicit VirtualClock(Micros start = std::chrono::seconds(1000)) : now_(start) {}

    Micros now() const override { return now_; }

    TimerQueue::Key at(ActorId actor, Micros when, std::function<void()> callback) override {
        return queue_.add(actor, std::max(when, now_), std::move(callback));
    }

    void cancel(const TimerQueue::Key& key) override { queue_.cancel(key); }

    /// Time of the next timer, if any.
    std::optional<Micros> next() const { return queue_.next(); }

    /// Advances to the next timer and runs it. False if no timer is due at or before `until`.
    bool step(Micros until);

    /// Advances to `to` without running timers.
    void jump(Micros to) { now_ = std::max(now_, to); }

private:
    Micros now_;
    TimerQueue queue_;
};

}  // namespace badgergrade::base
