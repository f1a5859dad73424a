// Seeded chance: every actor draws from a stream of its own, derived from the day's seed and the
// actor's name, so that what one actor draws never shifts what another does.
#pragma once

#include <xxhash.h>

#include <cmath>
#include <cstdint>
#include <random>
#include <string_view>

namespace badgergrade::base {

inline std::uint64_t seed_for(std::uint64_t seed, std::string_view name) {
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

// SequentialRandom by number rather than by order: what falls to number n is the same whoever asked
// before. For invocations, so that two days under other settings meet the same luck.
class CounterRandom {
public:
    CounterRandom(std::uint64_t seed, std::uint64_t number) : seed_(seed), number_(number) {}

    double part() {
        const std::uint64_t key[2] = {number_, ++draws_};
        return static_cast<double>(XXH3_64bits_withSeed(key, sizeof key, seed_) >> 11) * 0x1p-53;
    }

    double between(double low, double high) { return low + (high - low) * part(); }

private:
    std::uint64_t seed_, number_, draws_ = 0;
};

class SequentialRandom {
public:
    SequentialRandom(std::uint64_t seed, std::string_view name) : engine_(seed_for(seed, name)) {}

    // Evenly in [0, 1).
    double part() { return std::generate_canonical<double, 53>(engine_); }

    double between(double low, double high) { return low + (high - low) * part(); }

    bool happens(double probability) { return part() < probability; }

    std::size_t below(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(engine_);
    }

    double exponential(double mean) {
        return std::exponential_distribution<double>(1 / mean)(engine_);
    }

    // Mean 1 with the coefficient of variation given.
    double lognormal(double cv) {
        if (cv <= 0) {
            return 1;
        }
        const double s2 = std::log(1 + cv * cv);
        return std::lognormal_distribution<double>(-s2 / 2, std::sqrt(s2))(engine_);
    }

private:
    std::mt19937_64 engine_;
};

}  // namespace badgergrade::base
