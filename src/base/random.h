/// Seeded pseudo-random numbers. Each actor has a generator of its own, whose seed is derived from
/// the seed of the run and the name of the actor, so that the draws of one actor do not change
/// those of another.
#pragma once

#include <xxhash.h>

#include <cmath>
#include <cstdint>
#include <random>
#include <string_view>

namespace badgergrade::base {

/// The seed of the generator called `name` in a run with seed `seed`.
inline std::uint64_t seed_for(std::uint64_t seed, std::string_view name) {
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

/// A counter-based generator: its draws depend on `seed` and `number` only, not on the draws for
/// other numbers. Used with the number of an invocation, so that two runs with different settings
/// draw the same values for the same invocation.
class CounterRandom {
public:
    CounterRandom(std::uint64_t seed, std::uint64_t number) : seed_(seed), number_(number) {}

    /// Uniform in [0, 1).
    double part() {
        const std::uint64_t key[2] = {number_, ++draws_};
        return static_cast<double>(XXH3_64bits_withSeed(key, sizeof key, seed_) >> 11) * 0x1p-53;
    }

    /// Uniform in [low, high).
    double between(double low, double high) { return low + (high - low) * part(); }

private:
    std::uint64_t seed_;
    std::uint64_t number_;
    std::uint64_t draws_ = 0;
};

/// A generator whose draws depend on the number of draws before.
class SequentialRandom {
public:
    SequentialRandom(std::uint64_t seed, std::string_view name) : engine_(seed_for(seed, name)) {}

    /// Uniform in [0, 1).
    /// Uniform in [0, 1).
    double part() { return std::generate_canonical<double, 53>(engine_); }

    /// Uniform in [low, high).
    double between(double low, double high) { return low + (high - low) * part(); }

    /// True with the given probability.
    bool happens(double probability) { return part() < probability; }

    /// Uniform in [0, count); `count` must be above 0.
    std::size_t below(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(engine_);
    }

    /// Exponentially distributed with the given mean.
    double exponential(double mean) {
        return std::exponential_distribution<double>(1 / mean)(engine_);
    }

    /// Lognormally distributed with mean 1 and the given coefficient of variation.
    double lognormal(double cv) {
        if (cv <= 0) {
            return 1;
        }
        const double sigma_squared = std::log(1 + cv * cv);
        return std::lognormal_distribution<double>(-sigma_squared / 2,
                                                   std::sqrt(sigma_squared))(engine_);
    }

private:
    std::mt19937_64 engine_;
};

}  // namespace badgergrade::base
