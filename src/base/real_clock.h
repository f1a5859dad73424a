/// The real clock, a base::Clock on the steady clock and one Asio timer, and readings of the wall
/// clock, of CPU time and of memory. No other file of the program reads a system clock.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "base/clock.h"

namespace badgergrade::base {

/// Starts at 1000 s and runs `speed` times as fast as the steady clock.
class RealClock final : public Clock {
public:
    explicit RealClock(asio::io_context& io, double speed = 1);
    Micros now() const override;
    TimerQueue::Key at(ActorId actor, Micros when, std::function<void()> callback) override;

    void cancel(const TimerQueue::Key& key) override { queue_.cancel(key); }

private:
    /// Sets the Asio timer to the first pending timer, unless it is set for that time or earlier.
    void arm();
    /// Runs the timers that are due.
    void fire();

    asio::steady_timer timer_;
    std::chrono::steady_clock::time_point start_;
    double speed_;
    TimerQueue queue_;
    /// The time, on this clock, for which the Asio timer is set.
    std::optional<Micros> armed_at_;
};

/// Unix time in whole microseconds. Only to relate the start of a clock to wall time once, never to
/// measure durations: the wall clock may be adjusted.
Micros wall_now();

/// CPU time that this process has used, user and system, in microseconds. For metrics only: no
/// decision depends on it.
std::int64_t process_cpu_us();
/// Resident memory of this process in bytes; 0 if the kernel does not report it.
std::int64_t process_memory_bytes();
/// The wall time as text (RFC 3339, UTC, with microseconds). For log lines only.
std::string wall_time_text();

}  // namespace badgergrade::base
