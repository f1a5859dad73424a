#include "policy/shard_assignment.h"

#include <gtest/gtest.h>

#include "fleet_builder.h"

namespace badgergrade::policy {
namespace {

class ShardAssignmentTest : public testing::Test {
protected:
    ShardAssignmentTest() {
        settings.exclusive_shards = true;
        settings.shard_handover_delay = 3 * kSecond;
        settings.max_network_delay = kSecond;
        add_server(fleet, 1, 0);
        add_server(fleet, 2, 0);
    }

    Settings settings = basic_settings(1);
    FleetState fleet = empty_fleet(1);
};

// Shards are spread evenly: each goes to the ready server with the fewest.
TEST_F(ShardAssignmentTest, SpreadsShardsEvenly) {
    ShardAssignment shards(settings);
    for (int shard = 0; shard < 4; ++shard) {
        shards.on_assignment_changed({{shard}, true}, fleet);
    }
    EXPECT_EQ(shards.update(kStart, fleet).size(), 4U);
    std::map<ServerId, int> counts;
    for (const auto& [shard, table] : fleet.tables) {
        ++counts[table.published_weights.begin()->first];
    }
    EXPECT_EQ(counts[{1}], 2);
    EXPECT_EQ(counts[{2}], 2);
    EXPECT_TRUE(shards.update(kStart, fleet).empty());
}

// Writes of a gone owner may still take effect for the handover delay plus the network delay after
// its removal. If the next owner were assigned earlier, both would write.
TEST_F(ShardAssignmentTest, WaitsForTheFormerOwnersWrites) {
    ShardAssignment shards(settings);
    shards.on_assignment_changed({{7}, true}, fleet);
    ShardAssignment::on_replica({{7}, {1}, 1}, fleet);
    fleet.servers[{1}].state = ServerState::Gone;
    EXPECT_EQ(shards.update(kStart, fleet).size(), 1U);
    EXPECT_TRUE(shards.update(kStart + 4 * kSecond - Micros{1}, fleet).empty());
    const auto commands = shards.update(kStart + 4 * kSecond, fleet);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(std::get<command::SetWeight>(commands[0]).server, ServerId{2});
}

// Another instance is responsible for a shard that was taken away from this one: no commands for
// the shard may follow.
TEST_F(ShardAssignmentTest, DropsAShardThatIsTakenAway) {
    ShardAssignment shards(settings);
    shards.on_assignment_changed({{7}, true}, fleet);
    shards.on_assignment_changed({{7}, false}, fleet);
    EXPECT_TRUE(shards.update(kStart, fleet).empty());
}

}  // namespace
}  // namespace badgergrade::policy
