// Which server holds each shard (key range) of a sharded deployment.
//
// Inputs: the ready servers, and the shards that this instance decides on with their present
// replicas. A shard whose server is lost goes to the ready server with the fewest shards. Where a
// shard has one owner at a time, the next one gets it only when all writes of the former are over.
//
// Invariants: only a shard without any server gets one; where owners are exclusive, two
// owners are apart by the settle time and the network delay.
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

    /// Begins with an empty table for the shard, or forgets it.
    void on_assignment_changed(const event::ShardAssignmentChanged& change, FleetState& fleet);
    /// Takes in a replica; ignored where this instance does not decide on the shard.
    static void on_replica(const event::ShardReplica& replica, FleetState& fleet);
    /// Removes lost servers and fills vacant shards. The commands must all be carried out: they
    /// are recorded as published. Call it once a decision.
    std::vector<Command> update(Micros now, FleetState& fleet);

private:
    /// Shards by ready server.
    using ShardCounts = std::map<ServerId, int>;

    static ShardCounts count_shards(const FleetState& fleet);
    void remove_unavailable(Micros now, TableId shard, Table& table, const ShardCounts& counts,
                            std::vector<Command>& commands);

    bool exclusive_;
    /// How long after an owner was removed its writes may still take effect.
    Micros handover_delay_;
    /// When a shard that has lost its server may get the next.
    std::map<TableId, Micros> vacant_until_;
};

}  // namespace badgergrade::policy
