// Assignment of vacant shards; shard_assignment.h describes the rule.
#include "policy/shard_assignment.h"

#include <algorithm>

namespace badgergrade::policy {
namespace {

/// The time between two requests for acknowledgements alone.
constexpr Micros kRequestInterval = kDecisionInterval;

std::vector<ProxyId> connected_proxies(const FleetState& fleet) {
    std::vector<ProxyId> connected;
    for (const auto& [id, proxy] : fleet.proxies) {
        if (proxy.connected) {
            connected.push_back(id);
        }
    }
    return connected;
}

}  // namespace

ShardAssignment::ShardAssignment(const Settings& settings, SendBudget& budget)
    : exclusive_(settings.exclusive_shards),
      drain_grace_(settings.drain_grace),
      max_network_delay_(settings.max_network_delay),
      channel_lines_per_second_(settings.channel_lines_per_second),
      message_header_lines_(settings.message_header_lines),
      budget_(budget),
      handover_(settings) {}

void ShardAssignment::on_assignment_changed(Micros now, const event::ShardAssignmentChanged& change,
                                            FleetState& fleet) {
    assigned_at_.erase(change.shard);
    if (!change.assigned) {
        fleet.tables.erase(change.shard);
        handover_.on_taken(change.shard);
        return;
    }
    fleet.tables[change.shard] = {};
    if (exclusive_) {
        handover_.on_arrived(now, change.shard, fleet.proxies, budget_.next_version());
    }
}

void ShardAssignment::on_replica(const event::ShardReplica& replica, FleetState& fleet) {
    const auto found = fleet.tables.find(replica.shard);
    if (found == fleet.tables.end() || !(replica.weight > 0)) {
        return;
    }
    found->second.published_weights[replica.server] = replica.weight;
    handover_.on_owner(replica.shard);
}

void ShardAssignment::on_proxy_connected(Micros now, const event::ProxyConnected& event) {
    handover_.on_proxy_connected(now, event);
}

void ShardAssignment::on_proxy_disconnected(Micros now, ProxyId proxy) {
    handover_.on_proxy_disconnected(now, proxy);
}

void ShardAssignment::on_acknowledged(Micros now, const event::ConfigAcknowledged& event) {
    if (!is_newer(event.version.value, budget_.version())) {
        handover_.on_acknowledged(now, event);
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

void ShardAssignment::track_unavailable_servers(Micros now, const FleetState& fleet) {
    for (const auto& [id, server] : fleet.servers) {
        if (server.state == ServerState::Ready) {
            unavailable_since_.erase(id);
        } else {
            unavailable_since_.try_emplace(id, now);
        }
    }
}

bool ShardAssignment::defers_removal(Micros now, ServerId owner, TableId shard,
                                     const FleetState& fleet) const {
    const auto since = unavailable_since_.find(owner);
    if (!exclusive_ || since == unavailable_since_.end()) {
        return false;
    }
    const Micros delivery = delivery_time(fleet);
    if (now + delivery + kDecisionInterval >= since->second + drain_grace_) {
        return false;
    }
    const auto assigned = assigned_at_.find(shard);
    if (assigned != assigned_at_.end() && now < assigned->second + delivery) {
        return true;
    }
    return now + max_network_delay_ < handover_.disconnected_lease_end(shard, fleet.proxies);
}

// One message with all shards to each proxy, at the channel's stated pace. Where the channel is
// slower than that, the grace is longer by the same factor.
Micros ShardAssignment::delivery_time(const FleetState& fleet) const {
    const double lines_per_proxy =
        message_header_lines_ + 1 + static_cast<double>(fleet.tables.size());
    const double lines = lines_per_proxy * static_cast<double>(fleet.proxies.size());
    const double pace = std::max(1.0, channel_lines_per_second_);
    const std::chrono::duration<double> transmission(lines / pace);
    return max_network_delay_ + std::chrono::duration_cast<Micros>(transmission);
}

void ShardAssignment::remove_unavailable(Micros now, FleetState& fleet, const ShardCounts& counts,
                                         std::vector<Command>& commands) {
    for (auto& [shard, table] : fleet.tables) {
        const bool had_server = !table.published_weights.empty();
        std::erase_if(table.published_weights, [&](const auto& replica) {
            const ServerId server = replica.first;
            if (counts.contains(server) || defers_removal(now, server, shard, fleet)) {
                return false;
            }
            commands.emplace_back(command::SetWeight{shard, server, 0});
            return true;
        });
        if (exclusive_ && had_server && table.published_weights.empty()) {
            handover_.on_removed(now, shard, fleet.proxies, budget_.next_version());
        }
    }
}

void ShardAssignment::assign_vacant(Micros now, FleetState& fleet, ShardCounts& counts,
                                    std::vector<Command>& commands) {
    for (auto& [shard, table] : fleet.tables) {
        if (!table.published_weights.empty() || counts.empty()) {
            continue;
        }
        const std::optional<Micros> next_owner_at = handover_.next_owner_at(shard);
        if (!next_owner_at || now < *next_owner_at) {
            continue;
        }
        const auto fewest = std::min_element(
            counts.begin(), counts.end(),
            [](const auto& one, const auto& other) { return one.second < other.second; });
        ++fewest->second;
        table.published_weights[fewest->first] = 1;
        assigned_at_[shard] = now;
        handover_.on_owner(shard);
        commands.emplace_back(command::SetWeight{shard, fewest->first, 1});
    }
}

std::vector<Command> ShardAssignment::update(Micros now, FleetState& fleet) {
    std::vector<Command> commands;
    track_unavailable_servers(now, fleet);
    ShardCounts counts = count_shards(fleet);
    remove_unavailable(now, fleet, counts, commands);
    assign_vacant(now, fleet, counts, commands);
    if (exclusive_) {
        request_acknowledgements(now, fleet, commands);
    }
    return commands;
}

void ShardAssignment::request_acknowledgements(Micros now, FleetState& fleet,
                                               std::vector<Command>& commands) {
    const std::vector<ProxyId> recipients = connected_proxies(fleet);
    if (recipients.empty()) {
        return;
    }
    budget_.begin_batch(now);
    if (commands.empty()) {
        if (now < next_request_at_ || !handover_.needs_acknowledgements(now) ||
            budget_.lines_available(now, fleet.proxies, recipients, Priority::Deferrable) == 0) {
            return;
        }
        next_request_at_ = now + kRequestInterval;
    }
    budget_.reserve(fleet.proxies, recipients, static_cast<double>(commands.size()));
    if (budget_.commit_batch(now, fleet.proxies) && handover_.any_vacant()) {
        commands.emplace_back(command::RequestAck{{budget_.version()}, true});
        handover_.on_version_sent(now, budget_.version());
    }
}

}  // namespace badgergrade::policy
