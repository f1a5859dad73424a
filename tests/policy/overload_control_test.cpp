#include "policy/overload_control.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"
#include "policy/command.h"
#include "policy/demand_estimator.h"

namespace badgergrade::policy {
namespace {

// Load is shed step by step, and never completely: without any work a recovery could not be
// observed.
TEST(OverloadControl, ShedsMoreWhileOverloadedUpToAMaximum) {
    EXPECT_DOUBLE_EQ(next_shed_fraction(0, 0.5), 0.2);
    double shed = 0;
    for (int step = 0; step < 100; ++step) {
        shed = next_shed_fraction(shed, 1);
    }
    EXPECT_DOUBLE_EQ(shed, 0.8);
}

// Between the two thresholds of the overload score the shed fraction stays, to prevent oscillation;
// below the lower one everything is admitted again in the end.
TEST(OverloadControl, RecoversOnlyBelowTheLowerThreshold) {
    EXPECT_EQ(next_shed_fraction(0.5, 0.1), 0.5);
    double shed = 0.8;
    for (int step = 0; step < 100; ++step) {
        shed = next_shed_fraction(shed, 0);
    }
    EXPECT_EQ(shed, 0);
}

// The same rate limit applies to all proxies, so it limits the busiest first, and proxies with a
// lower rate keep theirs.
TEST(OverloadControl, RateLimitAppliesToTheBusiestFirst) {
    EXPECT_DOUBLE_EQ(admission_rate_limit({1, 1, 10}, 0.5), 4);
    EXPECT_DOUBLE_EQ(admission_rate_limit({}, 0.5), command::SetAdmission::kUnlimitedRate);
}

// In an overload the operation with the lowest priority weight per work is shed first; the two here
// are equal work.
TEST(OverloadControl, ShedsTheLowestPriorityWeightFirst) {
    Settings settings = basic_settings(1);
    settings.admission_mode = AdmissionMode::Fraction;
    settings.operations.push_back(settings.operations[0]);
    settings.operations[0].priority_weight = 5;
    FleetState fleet = empty_fleet(1);
    fleet.operations = {3, 0, 3};
    OutlierDetector outliers(1, kObjective, kNoCpuColumn);
    for (unsigned id = 0; id < 3; ++id) {
        add_server(fleet, id, 0);
        outliers.on_load_report(kStart, load_report(0, id, 10, 5, kSecond / 50));
    }
    outliers.evaluate(kStart, fleet, outliers.fleet_stats(kStart, fleet));
    Proxy& proxy = add_proxy(fleet, 1, 0, 20);
    for (const int operation : {0, 1}) {
        add_demand(kStart, {{1}, {operation}, 10, 0, kSecond}, proxy);
    }
    OverloadControl control(settings);
    control.update(kStart, fleet, outliers, SlowStart(settings, kObjective, kStart),
                   RequiredCapacity(settings), {1.0});
    const auto& limits = fleet.tables[FleetState::zone_table({0})].desired_limits;
    EXPECT_EQ(limits.at({0}), 1);
    EXPECT_LT(limits.at({1}), 1);
    EXPECT_TRUE(control.is_shedding());
}

// Guards against a local-only table of a single warming server whose limit is computed for the
// servers that happen to be ready: its zone was lost and the others are not back yet. It admits
// nothing before the demand is known, and everything where servers never collapse.
TEST(OverloadControl, ALoneWarmingServerAdmitsNothingWhileTheDemandIsUnknown) {
    for (const double collapse_factor : {3.0, 0.0}) {
        Settings settings = warming_settings();
        settings.operations[0].local_only = true;
        settings.admission_mode = AdmissionMode::Fraction;
        settings.overload_collapse_factor = collapse_factor;
        FleetState fleet = empty_fleet(1);
        fleet.operations = {1, 1, 0};
        add_server(fleet, 1, 0).started_at = kStart - 8 * kSecond;
        add_proxy(fleet, 1, 0, 20);
        const TableId table = fleet.local_only_table({0});
        fleet.tables[table].desired_weights[{1}] = 0.5;
        const OutlierDetector outliers(1, kObjective, kNoCpuColumn);
        const SlowStart slow_start(settings, kObjective, kStart);
        OverloadControl control(settings);
        control.update(kStart, fleet, outliers, slow_start, RequiredCapacity(settings), {1.0});
        EXPECT_EQ(fleet.tables[table].desired_limits.at({0}), collapse_factor > 0 ? 0 : 1);
    }
}

// Proxies that can't limit admission are sent no limits.
TEST(OverloadControl, SetsNoLimitsIfProxiesCannotLimitAdmission) {
    const Settings settings = basic_settings(1);
    FleetState fleet = empty_fleet(1);
    OverloadControl control(settings);
    control.update(kStart, fleet, OutlierDetector(1, kObjective, kNoCpuColumn),
                   SlowStart(settings, kObjective, kStart), RequiredCapacity(settings), {1.0});
    EXPECT_TRUE(fleet.tables.empty());
}

}  // namespace
}  // namespace badgergrade::policy
