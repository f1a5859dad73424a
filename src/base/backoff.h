// The delay before a retry: doubles with each one, up to a limit.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace badgergrade::base {

/// The delay before the next attempt, after `retries` retries that failed (0 or more): `first`,
/// twice that, four times that ..., and never more than `max`. Callers add jitter where many
/// instances may retry at once.
constexpr Micros exponential_backoff(Micros first, Micros max, int retries) {
    constexpr int kMaxDoublings = 30;
    return std::min(max, first * (std::int64_t{1} << std::min(retries, kMaxDoublings)));
}

}  // namespace badgergrade::base
