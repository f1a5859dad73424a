#include "base/real_clock.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <fstream>

namespace badgergrade::base {

RealClock::RealClock(asio::io_context& io, double speed)
    : timer_(io),
      start_(std::chrono::steady_clock::now()),
      speed_(speed) {}

Micros RealClock::now() const {
    const auto elapsed =
        std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - start_);
    return (speed_ == 1 ? elapsed
                        : Micros(std::llround(static_cast<double>(elapsed.count()) * speed_))) +
           std::chrono::seconds(1000);
}

TimerQueue::Key RealClock::at(ActorId actor, Micros when, std::function<void()> callback) {
    const auto key = queue_.add(actor, when, std::move(callback));
    arm();
    return key;
}

void RealClock::arm() {
    const auto next = queue_.next();
    if (!next || (armed_at_ && *armed_at_ <= *next)) {
        return;
    }
    armed_at_ = next;
    const Micros since_start = *next - std::chrono::seconds(1000);
    timer_.expires_at(
        start_ + (speed_ == 1
                      ? since_start
                      : Micros(std::llround(static_cast<double>(since_start.count()) / speed_))));
    timer_.async_wait([this](const asio::error_code& error) {
        if (!error) {
            fire();
        }
    });
}

void RealClock::fire() {
    armed_at_.reset();
    // Only the timers that are due at this time: callbacks that set timers for the current time
    // must not keep the sockets from being served.
    const Micros due = now();
    while (const auto callback = queue_.pop(due)) {
        callback();
    }
    arm();
}

std::int64_t process_cpu_us() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto to_us = [](const timeval& time) {
        return static_cast<std::int64_t>(time.tv_sec) * 1000000 + time.tv_usec;
    };
    return to_us(usage.ru_utime) + to_us(usage.ru_stime);
}

std::int64_t process_memory_bytes() {
    std::ifstream statm("/proc/self/statm");
    std::int64_t virtual_pages = 0;
    std::int64_t resident_pages = 0;
    return statm >> virtual_pages >> resident_pages ? resident_pages * sysconf(_SC_PAGESIZE) : 0;
}

Micros wall_now() {
    return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
}

std::string wall_time_text() {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    std::tm utc{};
    gmtime_r(&now.tv_sec, &utc);
    char text[64];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
    std::string micros = std::to_string(now.tv_nsec / 1000);
    micros.insert(0, 6 - std::min<std::size_t>(6, micros.size()), '0');
    return std::string(text) + "." + micros + "Z";
}

}  // namespace badgergrade::base
