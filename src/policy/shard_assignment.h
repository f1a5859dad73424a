// Shard assignment: which server holds each shard (key range) of a sharded deployment.
//
// Inputs: the ready servers; the shards that this instance is responsible for, with their current
// servers; connections and acknowledgements of proxies. A shard whose server is no longer ready is
// assigned to the ready server with the fewest shards. If a shard must have only one owner at a
// time (exclusive shards), shard_handover.h decides when the next owner may be published.
//
// Proxies have no owner between the removal and the next assignment. These shorten that time:
//   - acknowledgements are requested with each change, and from proxies that connect later if they
//     can end a wait earlier;
//   - a removal waits for the leases of disconnected proxies as long as the drain grace allows: the
//     next owner comes no later for it, and connected proxies keep the former one;
//   - so does the removal of an owner that was assigned just now, until it has reached the proxies:
//     else they would be without an owner for two handovers in a row.
//
// Invariants: only a shard without any server is assigned one; with exclusive shards never before
// the handover is complete. Removals and assignments are sent at once, whatever the send budget
// says; requests for acknowledgements alone wait for it.
#pragma once

#include <map>
#include <vector>

#include "policy/command.h"
#include "policy/event.h"
#include "policy/fleet_state.h"
#include "policy/send_budget.h"
#include "policy/settings.h"
#include "policy/shard_handover.h"

namespace badgergrade::policy {

class ShardAssignment {
public:
    /// The budget counts what is sent and numbers its versions; it must outlive this object.
    ShardAssignment(const Settings& settings, SendBudget& budget);

    /// Starts with an empty table for the shard, or drops it.
    void on_assignment_changed(Micros now, const event::ShardAssignmentChanged& change,
                               FleetState& fleet);
    /// Records a replica; ignored if this instance is not responsible for the shard.
    void on_replica(const event::ShardReplica& replica, FleetState& fleet);
    void on_proxy_connected(Micros now, const event::ProxyConnected& event);
    void on_proxy_disconnected(Micros now, ProxyId proxy);
    void on_acknowledged(Micros now, const event::ConfigAcknowledged& event);

    /// Removes servers that are not ready and assigns servers to vacant shards. All commands must
    /// be carried out: they are recorded as published. Call it once per decision.
    std::vector<Command> update(Micros now, FleetState& fleet);

    /// The earliest time after `now` at which a vacant shard may be assigned, as far as it is
    /// known. Call update() then.
    std::optional<Micros> next_assignment_after(Micros now) const {
        return handover_.next_owner_after(now);
    }

private:
    /// The number of shards of each ready server.
    using ShardCounts = std::map<ServerId, int>;

    static ShardCounts count_shards(const FleetState& fleet);
    void track_unavailable_servers(Micros now, const FleetState& fleet);
    /// Whether the removal of an unavailable owner waits: for the leases of disconnected proxies,
    /// or until connected proxies have the owner, if it was assigned just now.
    bool defers_removal(Micros now, ServerId owner, TableId shard, const FleetState& fleet) const;
    /// The longest time until a change has reached all connected proxies.
    Micros delivery_time(const FleetState& fleet) const;
    void remove_unavailable(Micros now, FleetState& fleet, const ShardCounts& counts,
                            std::vector<Command>& commands);
    void assign_vacant(Micros now, FleetState& fleet, ShardCounts& counts,
                       std::vector<Command>& commands);
    /// Counts the lines of this decision as sent and requests their acknowledgement; without lines,
    /// requests acknowledgements if they end a wait earlier.
    void request_acknowledgements(Micros now, FleetState& fleet, std::vector<Command>& commands);

    bool exclusive_;
    Micros drain_grace_;
    Micros max_network_delay_;
    double channel_lines_per_second_;
    double message_header_lines_;
    SendBudget& budget_;
    ShardHandover handover_;
    /// Since when each server that is not ready is known to be so.
    std::map<ServerId, Micros> unavailable_since_;
    /// When each shard was last assigned a server by this instance.
    std::map<TableId, Micros> assigned_at_;
    Micros next_request_at_{};
};

}  // namespace badgergrade::policy
