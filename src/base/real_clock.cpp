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
      begin_(std::chrono::steady_clock::now()),
      speed_(speed) {}

Micros RealClock::now() const {
    const auto passed =
        std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - begin_);
    return (speed_ == 1 ? passed
                        : Micros(std::llround(static_cast<double>(passed.count()) * speed_))) +
           std::chrono::seconds(1000);
}

TimerQueue::Key RealClock::at(ActorId actor, Micros when, std::function<void()> what) {
    const auto key = queue_.add(actor, when, std::move(what));
    arm();
    return key;
}

void RealClock::arm() {
    const auto next = queue_.next();
    if (!next || (armed_ && *armed_ <= *next)) {
        return;
    }
    armed_ = next;
    const Micros wait = *next - std::chrono::seconds(1000);
    timer_.expires_at(
        begin_ +
        (speed_ == 1 ? wait : Micros(std::llround(static_cast<double>(wait.count()) / speed_))));
    timer_.async_wait([this](const asio::error_code& wrong) {
        if (!wrong) {
            fire();
        }
    });
}

void RealClock::fire() {
    armed_.reset();
    // Only what is due now: callbacks that set timers for "now" must not keep the sockets waiting.
    const Micros due = now();
    while (const auto run = queue_.pop(due)) {
        run();
    }
    arm();
}

std::int64_t process_cpu_us() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto us = [](const timeval& t) {
        return static_cast<std::int64_t>(t.tv_sec) * 1000000 + t.tv_usec;
    };
    return us(used.ru_utime) + us(used.ru_stime);
}

std::int64_t process_memory_bytes() {
    std::ifstream statm("/proc/self/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    return statm >> size >> resident ? resident * sysconf(_SC_PAGESIZE) : 0;
}

Micros wall_now() {
    return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
}

std::string wall_time_text() {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    std::tm parts{};
    gmtime_r(&now.tv_sec, &parts);
    char text[64];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::string micros = std::to_string(now.tv_nsec / 1000);
    micros.insert(0, 6 - std::min<std::size_t>(6, micros.size()), '0');
    return std::string(text) + "." + micros + "Z";
}

}  // namespace badgergrade::base
