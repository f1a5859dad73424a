/// Measures the CPU time of a scope on this thread. For metrics only: no decision depends on it.
#pragma once

#include <cstdint>
#include <ctime>

namespace badgergrade::base {

/// Adds the CPU time between its construction and its destruction, in microseconds, to a sum.
class CpuMeter {
public:
    explicit CpuMeter(std::int64_t& sum_us) : sum_(sum_us), start_ns_(now_ns()) {}

    CpuMeter(const CpuMeter&) = delete;

    ~CpuMeter() { sum_ += (now_ns() - start_ns_) / 1000; }

private:
    static std::int64_t now_ns() {
        timespec cpu_time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu_time);
        return static_cast<std::int64_t>(cpu_time.tv_sec) * 1000000000 + cpu_time.tv_nsec;
    }

    std::int64_t& sum_;
    std::int64_t start_ns_;
};

}  // namespace badgergrade::base
