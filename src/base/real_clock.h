// The real clock: Asio's steady timer behind base::Clock. The only place that names a system clock.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "base/clock.h"

namespace badgergrade::base {

class RealClock final : public Clock {
public:
    explicit RealClock(asio::io_context& io, double speed = 1);
    Micros now() const override;
    TimerQueue::Key at(ActorId actor, Micros when, std::function<void()> what) override;

    void cancel(const TimerQueue::Key& key) override { queue_.cancel(key); }

private:
    void arm();
    void fire();

    asio::steady_timer timer_;
    std::chrono::steady_clock::time_point begin_;
    double speed_;
    TimerQueue queue_;
    std::optional<Micros> armed_;
};

// Unix time in whole microseconds: to set a clock's beginning beside it once, never to measure
// with.
Micros wall_now();

// Microseconds of CPU that this process has used, user and system: a measurement, never a decision.
std::int64_t process_cpu_us();
// Resident memory in bytes, and open descriptors, as the kernel tells; 0 where it does not.
std::int64_t process_memory_bytes();
// The wall clock in text (RFC 3339, UTC), for log lines only.
std::string wall_time_text();

}  // namespace badgergrade::base
