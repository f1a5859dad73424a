#include "policy/required_capacity.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"
#include "policy/demand_estimator.h"

namespace badgergrade::policy {
namespace {

Settings two_operations() {
    Settings settings = basic_settings(2);
    settings.proxy_count = 2;
    settings.operations.push_back(settings.operations[0]);
    settings.operations[0].local_only = true;
    settings.operations[1].latency_objective = 3 * kObjective;
    return settings;
}

/// Two zones with four servers each; a proxy in each zone receives 20 invocations per second of
/// operation 0, which is local-only, and as many of operation 1, which is three times the work.
class RequiredCapacityTest : public testing::Test {
protected:
    RequiredCapacityTest() {
        fleet.operations = {3, 1, 2};
        for (unsigned id = 0; id < 8; ++id) {
            add_server(fleet, id, static_cast<int>(id % 2));
        }
        add_proxy(fleet, 0, 0, 40);
        add_proxy(fleet, 1, 1, 40);
    }

    /// One sample, five seconds after the one before.
    void sample(std::int64_t received, std::int64_t failed,
                ZoneCondition condition = ZoneCondition::Healthy) {
        now += kRecomputeInterval;
        for (int proxy = 0; proxy < 2; ++proxy) {
            for (int operation = 0; operation < 2; ++operation) {
                for (const Micros age : {3 * kSecond, kSecond}) {
                    add_demand(now - age, {{proxy}, {operation}, received, failed, kSecond},
                               fleet.proxies[{proxy}]);
                }
            }
        }
        std::vector<ZoneHealth> health(2);
        health[0].condition = condition;
        required.update(now, fleet, health);
    }

    void lose_servers(unsigned first, unsigned last) {
        for (unsigned id = first; id <= last; ++id) {
            fleet.servers[{id}].state = ServerState::Gone;
        }
    }

    FleetState fleet = empty_fleet(2);
    RequiredCapacity required{two_operations()};
    Micros now = kStart;
};

// Nothing is known before the fleet was seen to serve its demand for a while.
TEST_F(RequiredCapacityTest, IsUnknownBeforeAHealthyPeriod) {
    sample(20, 0);
    EXPECT_EQ(required.of_fleet(), std::nullopt);
    sample(20, 0, ZoneCondition::Degraded);
    sample(20, 0);
    EXPECT_EQ(required.of_fleet(), std::nullopt);
    sample(20, 0);
    EXPECT_NEAR(required.of_fleet().value(), 8, 1e-9);
    EXPECT_NEAR(required.of_zone({0}).value(), 4, 1e-9);
    EXPECT_NEAR(required.of_local_only({0}).value(), 1, 1e-9);
}

// Guards against a single server that counts as all that is needed, because it is all that is left.
TEST_F(RequiredCapacityTest, DoesNotShrinkWithTheReadyServers) {
    sample(20, 0);
    sample(20, 0);
    lose_servers(1, 7);
    sample(20, 20, ZoneCondition::Degraded);
    sample(20, 20, ZoneCondition::Unreported);
    EXPECT_NEAR(required.of_fleet().value(), 8, 1e-9);
}

// Guards against refused invocations that pass for a load which the servers carry: the other zones
// are healthy while a zone without servers refuses its local-only operations.
TEST_F(RequiredCapacityTest, RefusedInvocationsProveNothing) {
    sample(20, 0);
    sample(20, 0);
    lose_servers(4, 7);
    sample(60, 40);
    sample(60, 40);
    EXPECT_NEAR(required.of_fleet().value(), 4, 1e-9);
}

// Guards against a healthy sample right after servers were lost: the reports of the overload that
// follows are still on their way.
TEST_F(RequiredCapacityTest, OneSampleAfterALossProvesNothing) {
    sample(20, 0);
    sample(20, 0);
    lose_servers(2, 7);
    sample(20, 0);
    EXPECT_NEAR(required.of_fleet().value(), 8, 1e-9);
    sample(20, 0);
    EXPECT_NEAR(required.of_fleet().value(), 2, 1e-9);
}

// Clients repeat what is refused: the demand is that of the time before.
TEST_F(RequiredCapacityTest, RepeatedInvocationsAreNoDemand) {
    sample(20, 0);
    sample(20, 0);
    sample(40, 40, ZoneCondition::Degraded);
    EXPECT_NEAR(required.of_fleet().value(), 8, 1e-9);
    sample(40, 0, ZoneCondition::Degraded);
    EXPECT_GT(required.of_fleet().value(), 8);
}

// Guards against invocations that were not admitted and pass for a load which the servers carry.
TEST_F(RequiredCapacityTest, LimitedAdmissionProvesNothing) {
    Settings settings = two_operations();
    settings.admission_mode = AdmissionMode::Fraction;
    required = RequiredCapacity(settings);
    sample(20, 0);
    sample(20, 0);
    fleet.tables[{0}].published_limits[{0}] = 0.5;
    lose_servers(4, 7);
    sample(20, 0);
    sample(20, 0);
    EXPECT_NEAR(required.of_fleet().value(), 8, 1e-9);
}

// Guards against a report of an operation that the settings don't have (scenario bad_input): its
// work is not known.
TEST_F(RequiredCapacityTest, UnknownOperationsAreNoPartOfTheWork) {
    add_demand(now + kRecomputeInterval - kSecond, {{0}, {40}, 1000, 0, kSecond},
               fleet.proxies[{0}]);
    sample(20, 0);
    sample(20, 0);
    EXPECT_NEAR(required.of_local_only({0}).value(), required.of_zone({0}).value() / 4, 1e-9);
}

// Rates that proxies only announce prove nothing.
TEST_F(RequiredCapacityTest, AnnouncedRatesProveNothing) {
    for (int round = 0; round < 3; ++round) {
        now += kRecomputeInterval;
        required.update(now, fleet, std::vector<ZoneHealth>(2, {0, ZoneCondition::Healthy, false}));
    }
    EXPECT_EQ(required.of_fleet(), std::nullopt);
}

}  // namespace
}  // namespace badgergrade::policy
