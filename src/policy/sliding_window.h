// Sliding windows: sums over the recent past, kept in a fixed number of time buckets.
//
// A sample counts from its arrival until its bucket leaves the window. Memory is bounded by the
// number of buckets, whatever the rate of samples.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "policy/ids.h"

namespace badgergrade::policy {

/// The sum of the samples of the last `BucketCount` buckets, a ring buffer. `Sample` needs
/// `operator+=` and value initialization to zero. All calls for one window must use the same bucket
/// width, and `now` never goes back.
template <class Sample, int BucketCount>
class SlidingWindow {
public:
    /// The bucket that contains `now`, for adding to it; cleared first if it is of an older time.
    Sample& bucket(Micros now, Micros bucket_width) {
        const std::int64_t index = now / bucket_width;
        Bucket& found = buckets_[static_cast<std::size_t>(index % BucketCount)];
        if (found.index != index) {
            found = {index, {}};
        }
        return found.sample;
    }

    /// The sum of the `newest` buckets up to and including the one that contains `now`.
    Sample sum(Micros now, Micros bucket_width, int newest = BucketCount) const {
        Sample total{};
        const std::int64_t index = now / bucket_width;
        for (const Bucket& candidate : buckets_) {
            if (candidate.index > index - newest && candidate.index <= index) {
                total += candidate.sample;
            }
        }
        return total;
    }

private:
    struct Bucket {
        std::int64_t index = -1;
        Sample sample{};
    };

    std::array<Bucket, BucketCount> buckets_{};
};

/// The invocations that a proxy received, and the time in which it received them.
struct DemandSample {
    double invocations = 0;
    /// Those that the proxy let in and could not serve.
    double failures = 0;
    double interval_seconds = 0;

    DemandSample& operator+=(const DemandSample& other) {
        invocations += other.invocations;
        failures += other.failures;
        interval_seconds += other.interval_seconds;
        return *this;
    }

    /// Invocations per second; 0 if nothing was reported.
    double rate() const { return interval_seconds > 0 ? invocations / interval_seconds : 0; }

    /// Served invocations per second.
    double served_rate() const {
        return interval_seconds > 0 ? (invocations - failures) / interval_seconds : 0;
    }
};

/// The results of the attempts at one server, or at several.
struct AttemptStats {
    /// From this mean CPU utilization (0 to 1) on a server counts as busy: measured utilization
    /// stays below 1 even when all cores are in use.
    static constexpr double kBusyUtilization = 0.8;

    double attempts = 0;
    double failures = 0;
    /// Sum of the latencies of the attempts that succeeded.
    double latency_seconds = 0;
    /// Sum over the attempts of the CPU utilization (0 to 1) reported with them.
    double utilization = 0;

    AttemptStats& operator+=(const AttemptStats& other) {
        attempts += other.attempts;
        failures += other.failures;
        latency_seconds += other.latency_seconds;
        utilization += other.utilization;
        return *this;
    }

    bool busy() const { return utilization >= kBusyUtilization * attempts; }

    double failed_fraction() const { return attempts > 0 ? failures / attempts : 0; }

    /// Of the attempts that succeeded; 0 if none did.
    double mean_latency_seconds() const {
        return attempts > failures ? latency_seconds / (attempts - failures) : 0;
    }
};

}  // namespace badgergrade::policy
