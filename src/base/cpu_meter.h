// Adds the CPU time of this thread between its making and its end to a sum: a measurement, never a
// decision.
#pragma once

#include <cstdint>
#include <ctime>

namespace badgergrade::base {

class CpuMeter {
public:
    explicit CpuMeter(std::int64_t& sum_us) : sum_(sum_us), begin_(now_ns()) {}

    CpuMeter(const CpuMeter&) = delete;

    ~CpuMeter() { sum_ += (now_ns() - begin_) / 1000; }

private:
    static std::int64_t now_ns() {
        timespec t{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
        return static_cast<std::int64_t>(t.tv_sec) * 1000000000 + t.tv_nsec;
    }

    std::int64_t& sum_;
    std::int64_t begin_;
};

}  // namespace badgergrade::base
