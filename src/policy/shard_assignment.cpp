// Assignment of vacant shards; shard_assignment.h describes the rule.
#include "policy/shard_assignment.h"

#include <algorithm>

namespace badgergrade::policy {

ShardAssignment::ShardAssignment(const Settings& settings)
    : exclusive_(settings.exclusive_shards),
      handover_delay_(settings.shard_handover_delay + settings.max_network_delay) {}

void ShardAssignment::on_assignment_changed(const event::ShardAssignmentChanged& change,
                                            FleetState& fleet) {
    if (change.assigned) {
        fleet.tables[change.shard] = {};
    } else {
        fleet.tables.erase(change.shard);
    }
    vacant_until_.erase(change.shard);
}

void ShardAssignment::on_replica(const event::ShardReplica& replica, FleetState& fleet) {
    if (const auto found = fleet.tables.find(replica.shard); found != fleet.tables.end()) {
        found->second.published_weights[replica.server] = replica.weight;
    }
}

ShardAssignment::ShardCounts ShardAssignment::count_shards(const FleetState& fleet) {
    ShardCounts counts;
    for (const auto& [id, server] : fleet.servers) {
        if (server.state == ServerState::Ready) {
            counts[id] = 0;
        }
    }
    for (const auto& [shard, table] : fleet.tables) {
        for (const auto& [server, weight] : table.published_weights) {
            if (const auto found = counts.find(server); found != counts.end()) {
                ++found->second;
            }
        }
    }
    return counts;
}

void ShardAssignment::remove_unavailable(Micros now, TableId shard, Table& table,
                                         const ShardCounts& counts,
                                         std::vector<Command>& commands) {
    std::erase_if(table.published_weights, [&](const auto& replica) {
        if (counts.contains(replica.first)) {
            return false;
        }
        commands.emplace_back(command::SetWeight{shard, replica.first, 0});
        vacant_until_[shard] = exclusive_ ? now + handover_delay_ : now;
        return true;
    });
}

std::vector<Command> ShardAssignment::update(Micros now, FleetState& fleet) {
    std::vector<Command> commands;
    ShardCounts counts = count_shards(fleet);
    for (auto& [shard, table] : fleet.tables) {
        remove_unavailable(now, shard, table, counts, commands);
        if (!table.published_weights.empty() || counts.empty()) {
            continue;
        }
        const auto vacant = vacant_until_.find(shard);
        if (vacant != vacant_until_.end() && now < vacant->second) {
            continue;
        }
        const auto fewest = std::min_element(
            counts.begin(), counts.end(),
            [](const auto& one, const auto& other) { return one.second < other.second; });
        ++fewest->second;
        table.published_weights[fewest->first] = 1;
        commands.emplace_back(command::SetWeight{shard, fewest->first, 1});
    }
    return commands;
}

}  // namespace badgergrade::policy
