// Interim tables: narrow tables in place of wide ones, for proxies that must stop using drained
// servers while the channel can't carry the lines of the wide ones in time (delivery_scheduler.h).
//
// Inputs: the tables that some proxies can't be sent in time, and the proxies that use interim
// tables. An interim table of a complete table has kInterimWidth of its warm servers, those with
// the lowest load from interim tables: the announced rates of the users, by weight. A proxy shares
// the table of others while the servers of that table have at most the mean load and none of them
// has to leave it; otherwise it gets a new one. So no server has much more load than others, and
// no proxy is assigned a table that it must be sent again. Its complete table follows as an
// ordinary change when the channel has room and nothing is due.
//
// Invariants (for the desired weights; the publisher may keep published servers for longer):
// servers that are warming up are in no interim table; an interim table only loses servers that
// leave the complete one, and each is replaced by one with a low load; no interim table with users
// is empty while the complete table has a warm server. docs/design.md, "Changed" 6, has the
// reasons.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "policy/fleet_state.h"
#include "policy/slow_start.h"

namespace badgergrade::policy {

/// The width of an interim table, in servers.
constexpr std::size_t kInterimWidth = 6;

class InterimTables {
public:
    /// Keeps references: both must outlive this object.
    InterimTables(FleetState& fleet, const SlowStart& slow_start);

    /// Fills the interim tables that have users, and empties the others. Call it once per decision,
    /// after the base tables and subsets are filled.
    void update(Micros now);

    /// Whether a table has enough servers for interim tables in its place.
    bool can_replace(Micros now, TableId complete) const;

    /// The interim table of a complete one for this proxy. A new one is filled, and its lines must
    /// be published before the assignment.
    TableId table_for(Micros now, const Proxy& proxy, TableId complete);

    /// Counts a proxy as a user of the interim tables in its `assigned_tables`; update() counts all
    /// users anew.
    void on_assigned(const Proxy& proxy);

private:
    using Weights = std::map<ServerId, double>;

    /// An interim table that has users.
    struct Part {
        /// The announced rate of its users, per second.
        double rate = 0;
        /// No server has to leave it.
        bool is_current = true;
    };

    /// The interim tables of one complete table.
    struct Split {
        Weights warm;
        std::map<TableId, Part> parts;
        /// The announced rate, per second, that comes to each server by its interim tables.
        std::map<ServerId, double> load;
    };

    Weights warm_weights(Micros now, TableId complete) const;
    void empty_unused_tables();
    void count_user(const Proxy& proxy, TableId id);
    /// Sets the desired weights to the published servers that are still warm and in the complete
    /// table.
    void keep_warm_servers(TableId id, Part& part, Split& split);
    void replace_missing_servers(TableId complete, TableId id, const Part& part, Split& split);
    /// Adds the servers with the lowest load until the table is wide enough.
    static void add_servers(Weights& weights, const Split& split);
    void add_load(TableId id, double rate, Split& split);
    /// The mean load of an interim table's servers, for each unit of weight.
    double mean_load(TableId id, const Split& split) const;
    /// The current interim table with the lowest load, if that is at most the mean of all.
    std::optional<TableId> shared_table(const Split& split) const;
    std::optional<TableId> unused_table(TableId complete, const Split& split) const;
    /// The interim table with the lowest load, if no other is left.
    TableId least_loaded_table(const Split& split) const;

    FleetState& fleet_;
    const SlowStart& slow_start_;
    /// By complete table, those with interim tables that have users.
    std::map<TableId, Split> splits_;
};

}  // namespace badgergrade::policy
