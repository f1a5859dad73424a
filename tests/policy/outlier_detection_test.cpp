#include "policy/outlier_detection.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

constexpr Micros kFast{20'000};

class OutlierDetection : public testing::Test {
protected:
    OutlierDetection() {
        for (unsigned id = 0; id < 10; ++id) {
            add_server(fleet, id, 0);
        }
    }

    /// All ten servers answer well, except `bad_server`; an id above 9: all answer well.
    void report(Micros now, unsigned bad_server, int failures_of_ten, Micros latency) {
        for (unsigned id = 0; id < 10; ++id) {
            const bool bad = id == bad_server;
            detector.on_load_report(
                now, load_report(0, id, 10, bad ? failures_of_ten : 0, bad ? latency : kFast));
        }
    }

    std::vector<EjectionChange> evaluate(Micros now) {
        return detector.evaluate(now, fleet, detector.fleet_stats(now, fleet));
    }

    FleetState fleet = empty_fleet(1);
    OutlierDetector detector{1, kObjective, kNoCpuColumn};
};

// A hung server stays in the endpoint list, and every attempt at it is lost. It leaves the zone's
// tables, and returns through a probation that counts only new reports (scenario outlier_ejection
// checks that the old ones don't count; here they have left the window by then).
TEST_F(OutlierDetection, EjectsAFailingServerAndReturnsItOnProbation) {
    report(kStart, 3, 10, kFast);
    const auto changes = evaluate(kStart);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].server, ServerId{3});
    EXPECT_TRUE(changes[0].ejected);
    EXPECT_TRUE(detector.is_ejected({0}, {3}));
    EXPECT_TRUE(evaluate(kStart + kFirstEjectionTime).empty());
    EXPECT_TRUE(detector.is_on_probation({0}, {3}));
    report(kStart + 7 * kSecond, 3, 0, kFast);
    EXPECT_TRUE(evaluate(kStart + 7 * kSecond).empty());
    const auto back = evaluate(kStart + 12 * kSecond);
    ASSERT_EQ(back.size(), 1U);
    EXPECT_FALSE(back[0].ejected);
}

// A server that fails on probation is ejected for twice as long: with ejections of equal length it
// would cost its zone invocations again and again.
TEST_F(OutlierDetection, FailingOnProbationDoublesTheEjection) {
    report(kStart, 3, 10, kFast);
    evaluate(kStart);
    const Micros probation_start = kStart + kFirstEjectionTime;
    evaluate(probation_start);
    report(probation_start + kSecond, 3, 10, kFast);
    EXPECT_EQ(evaluate(probation_start + kSecond).size(), 1U);
    evaluate(probation_start + kSecond + kFirstEjectionTime);
    EXPECT_TRUE(detector.is_ejected({0}, {3}));
    evaluate(probation_start + kSecond + 2 * kFirstEjectionTime);
    EXPECT_TRUE(detector.is_on_probation({0}, {3}));
}

// In an overload all servers fail alike. Ejecting some would load the others even more.
TEST_F(OutlierDetection, EjectsNoServerIfAllFail) {
    for (unsigned id = 0; id < 10; ++id) {
        detector.on_load_report(kStart, load_report(0, id, 10, 6, kFast));
    }
    EXPECT_TRUE(evaluate(kStart).empty());
    EXPECT_EQ(detector.health({0}).condition, ZoneCondition::Degraded);
    EXPECT_DOUBLE_EQ(detector.health({0}).overload_score, 0.6);
}

// A server whose attempts fail while its latencies are long is overloaded. Ejecting it would
// overload the next one.
TEST_F(OutlierDetection, KeepsAnOverloadedServer) {
    report(kStart, 3, 6, Micros{90'000});
    EXPECT_TRUE(evaluate(kStart).empty());
}

// In a loaded zone the weakest servers are slow, and ejecting them all would overload the zone: at
// most a tenth of the zone's servers is ejected as slow, here one of ten.
TEST_F(OutlierDetection, EjectsAtMostATenthOfAZoneAsSlow) {
    for (unsigned id = 0; id < 10; ++id) {
        detector.on_load_report(kStart,
                                load_report(0, id, 10, 0, id < 3 ? 10 * kObjective : kFast));
    }
    EXPECT_EQ(evaluate(kStart).size(), 1U);
}

// Single failed attempts are not enough for an ejection; four attempts are needed.
TEST_F(OutlierDetection, NeedsAMinimumOfAttempts) {
    report(kStart, 20, 0, kFast);
    detector.on_load_report(kStart + 4 * kSecond, load_report(0, 3, 3, 3, kFast));
    EXPECT_TRUE(evaluate(kStart + 4 * kSecond).empty());
}

// A restarted server is not judged by the attempts at its former process.
TEST_F(OutlierDetection, DiscardsReportsOfARestartedServer) {
    report(kStart, 3, 10, kFast);
    detector.reset({3});
    EXPECT_TRUE(evaluate(kStart).empty());
}

// Failures while the CPUs are not busy are refused connections: load shedding would not help.
TEST(OutlierHealth, DistinguishesRefusedConnectionsFromAnOverload) {
    FleetState fleet = empty_fleet(1);
    OutlierDetector detector(1, kObjective, 0);
    for (unsigned id = 0; id < 4; ++id) {
        add_server(fleet, id, 0);
        auto report = load_report(0, id, 10, 6, kFast);
        report.load_metrics = {0.2};
        detector.on_load_report(kStart, report);
    }
    detector.evaluate(kStart, fleet, detector.fleet_stats(kStart, fleet));
    EXPECT_TRUE(detector.health({0}).refusing_connections);
    EXPECT_EQ(detector.health({0}).overload_score, 0);
}

}  // namespace
}  // namespace badgergrade::policy
