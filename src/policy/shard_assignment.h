// Shard assignment: which server holds each shard (key range) of a sharded deployment.
//
// Inputs: the ready servers, and the shards that this instance is responsible for, with their
// current servers. A shard whose server is no longer ready is assigned to the ready server with the
// fewest shards. If a shard must have only one owner at a time, the next owner is assigned only
// when all writes of the former owner have taken effect.
//
// Invariants: only a shard without any server is assigned one; with exclusive shards, the removal
// of one owner and the assignment of the next are apart by Settings::shard_handover_delay plus the
// longest network delay.
#pragma once

#include <map>
#include <vector>

#include "policy/command.h"
#include "policy/event.h"
#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace badgergrade::policy {

class ShardAssignment {
public:
    explicit ShardAssignment(const Settings& settings);

    /// Starts with an empty table for the shard, or drops it.
    void on_assignment_changed(const event::ShardAssignmentChanged& change, FleetState& fleet);
    /// Records a replica; ignored if this instance is not responsible for the shard.
    static void on_replica(const event::ShardReplica& replica, FleetState& fleet);
    /// Removes servers that are not ready and assigns servers to vacant shards. All commands must
    /// be carried out: they are recorded as published. Call it once per decision.
    std::vector<Command> update(Micros now, FleetState& fleet);

private:
    /// The number of shards of each ready server.
    using ShardCounts = std::map<ServerId, int>;

    static ShardCounts count_shards(const FleetState& fleet);
    void remove_unavailable(Micros now, TableId shard, Table& table, const ShardCounts& counts,
                            std::vector<Command>& commands);

    bool exclusive_;
    /// How long after its removal the writes of an owner may still take effect.
    Micros handover_delay_;
    /// The earliest time for the next server of a shard that has lost one.
    std::map<TableId, Micros> vacant_until_;
};

}  // namespace badgergrade::policy
