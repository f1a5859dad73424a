#include "policy/sliding_window.h"

#include <gtest/gtest.h>

namespace badgergrade::policy {
namespace {

constexpr Micros kWidth{1'000'000};

// A sample must stop counting when its time has passed; a bucket that is reused without being
// cleared would count it forever.
TEST(SlidingWindow, AReusedBucketIsCleared) {
    SlidingWindow<double, 4> window;
    window.bucket(Micros{0}, kWidth) += 5;
    EXPECT_EQ(window.sum(3 * kWidth, kWidth), 5);
    window.bucket(4 * kWidth, kWidth) += 1;
    EXPECT_EQ(window.sum(4 * kWidth, kWidth), 1);
}

// A pause as long as the window or longer leaves old buckets in place; they must not count either.
TEST(SlidingWindow, OldBucketsDoNotCountAfterAPause) {
    SlidingWindow<double, 4> window;
    window.bucket(Micros{0}, kWidth) += 5;
    EXPECT_EQ(window.sum(4 * kWidth, kWidth), 0);
}

// Some rules use only the newest buckets, to notice a recovery early.
TEST(SlidingWindow, SumsTheNewestBuckets) {
    SlidingWindow<double, 4> window;
    for (int second = 0; second < 4; ++second) {
        window.bucket(second * kWidth, kWidth) += 1 + second;
    }
    EXPECT_EQ(window.sum(3 * kWidth, kWidth, 2), 7);
    EXPECT_EQ(window.sum(3 * kWidth, kWidth), 10);
}

// Without a success there is no latency: dividing 0 seconds by 0 successes would give NaN, with
// which every comparison is false.
TEST(AttemptStats, NoLatencyWithoutASuccess) {
    AttemptStats stats;
    stats.attempts = 3;
    stats.failures = 3;
    EXPECT_EQ(stats.mean_latency_seconds(), 0);
    EXPECT_EQ(stats.failed_fraction(), 1);
    EXPECT_EQ(AttemptStats{}.failed_fraction(), 0);
}

// Nothing reported is no demand, not a division by zero.
TEST(DemandSample, NoRateWithoutAnInterval) {
    EXPECT_EQ(DemandSample{}.rate(), 0);
}

}  // namespace
}  // namespace badgergrade::policy
