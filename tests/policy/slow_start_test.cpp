#include "policy/slow_start.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

Server started(Micros started_at) {
    Server server;
    server.state = ServerState::Ready;
    server.started_at = started_at;
    server.start_reported_at = started_at;
    return server;
}

// A warm server, or one without a start time, has its whole weight in any overload.
TEST(SlowStart, WarmServersHaveTheirWholeWeight) {
    const SlowStart slow_start(warming_settings(), kObjective, kStart);
    EXPECT_EQ(slow_start.weight_fraction(kStart, started(kStart - 16 * kSecond), 8), 1);
    EXPECT_EQ(slow_start.weight_fraction(kStart, started(Micros{0}), 8), 1);
}

// Proxies may still use tables with a restarted server that this instance did not send. Until their
// attempts are out of the collapse window no weight is safe.
TEST(SlowStart, WaitsForTheCollapseTimeAfterAStart) {
    const SlowStart slow_start(warming_settings(), kObjective, kStart);
    const Server server = started(kStart);
    EXPECT_EQ(slow_start.weight_fraction(kStart + kSecond / 2, server, 1), 0);
    EXPECT_EQ(slow_start.weight_fraction(kStart + kSecond, server, 1), 0.25);
}

// The weight rises with the age, and is lower if retries multiply the attempts at the server: at
// four times the load it must stay below the current capacity.
TEST(SlowStart, RisesAndIsLowerInAnOverload) {
    const SlowStart slow_start(warming_settings(), kObjective, kStart);
    const Server server = started(kStart - 8 * kSecond);
    EXPECT_EQ(slow_start.weight_fraction(kStart, server, 1), 0.5);
    Settings fragile = warming_settings();
    fragile.overload_collapse_factor = 2;
    const SlowStart careful(fragile, kObjective, kStart);
    EXPECT_DOUBLE_EQ(careful.weight_fraction(kStart, server, 4), 2.0 / 4 * 0.625);
}

// In a severe overload a warming server would receive what all busy servers refuse, and collapse.
TEST(SlowStart, NoWeightInASevereOverload) {
    const SlowStart slow_start(warming_settings(), kObjective, kStart);
    EXPECT_EQ(slow_start.weight_fraction(kStart, started(kStart - 8 * kSecond), kSevereOverload),
              0);
}

// An instance that starts during an overload has no reports of it. It expects an overload at first;
// good reports end that after five seconds.
TEST(SlowStart, ExpectsAnOverloadAtItsOwnStart) {
    const FleetState fleet = empty_fleet(1);
    SlowStart slow_start(warming_settings(), kObjective, kStart);
    const Server server = started(kStart - 8 * kSecond);
    EXPECT_EQ(slow_start.weight_fraction(kStart, server), 0);
    AttemptStats good;
    good.attempts = 100;
    slow_start.update_expected_overload(kStart + kSecond, good, false, fleet);
    EXPECT_EQ(slow_start.weight_fraction(kStart + kSecond, server), 0);
    slow_start.update_expected_overload(kStart + 5 * kSecond, good, false, fleet);
    EXPECT_GT(slow_start.weight_fraction(kStart + 5 * kSecond, server), 0);
}

// On probation a server gets at most a quarter of its weight, warm or not.
TEST(SlowStart, ProbationReducesTheWeight) {
    const SlowStart slow_start(warming_settings(), kObjective, kStart);
    EXPECT_EQ(slow_start.planned_weight(kStart, started(Micros{0}), true), 0.25);
    EXPECT_EQ(slow_start.planned_weight(kStart, started(Micros{0}), false), 1);
}

}  // namespace
}  // namespace badgergrade::policy
