// Interim tables: narrow tables for the first assignments when many proxies need one at once and
// complete tables for them would occupy the channel for too long.
//
// Inputs: the drain grace and the channel's lines per second from the settings, the proxies that
// wait for their first assignment (pending proxies), and the tables that they should use. When an
// instance takes over the proxies of other instances, complete tables for all of them may take
// longer to send than the drain grace, and a proxy without tables from this instance may still use
// servers that have drained. If complete tables would take more than a quarter of the drain grace,
// each table of 24 servers or more (twice kMinSubsetWidth) is split into interim tables by the
// servers' subset hash (a single one if fewer than 24 are warm), and each pending proxy is first
// assigned the interim table with the lowest announced rate per weight. The complete table follows
// as an ordinary change of tables when the queue has room. While all servers that this instance
// ever saw listed are ready, nothing is split: then it knows of no drained server that a proxy
// could hold.
//
// Invariants (for the desired weights; the publisher may keep published servers for longer):
// servers that are warming up are in no interim table; an interim table with users only loses
// servers until fewer than three remain, and is then filled anew; no interim table with users is
// empty while the complete table has a warm server. docs/design.md, "Changed" 6, has the reasons.
#pragma once

#include <map>
#include <vector>

#include "policy/fleet_state.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace badgergrade::policy {

class InterimTables {
public:
    /// The table that a proxy should use, by operations.
    using Assignment = std::map<OperationMask, TableId>;

    explicit InterimTables(const Settings& settings);

    /// Splits the tables of the `pending` first assignments if these assignments are too many
    /// lines, and updates the interim tables. While none are needed, it empties the interim tables
    /// of each complete table none of whose interim tables has users. Call it once per decision,
    /// after the base tables and subsets are filled.
    void update(Micros now, const std::vector<Assignment>& pending, FleetState& fleet,
                const SlowStart& slow_start);

    /// The first assignment of a pending proxy in place of `desired`; `desired` itself while no
    /// interim tables are needed.
    Assignment first_assignment(const Proxy& proxy, const Assignment& desired) const;

    /// Adds a proxy to the users of the interim tables in its `assigned_tables`; update() counts
    /// all users anew.
    void on_assigned(const Proxy& proxy);

private:
    /// The interim tables of one table.
    struct Split {
        std::vector<TableId> tables;
        /// The number of proxies, by interim table.
        std::vector<int> users;
        /// By interim table: the announced rate of its users (per second), and the weight of its
        /// servers.
        std::vector<double> rate;
        std::vector<double> weight;
    };

    /// Sets the desired weights and limits of the interim tables of table `id`.
    static void fill_interim_tables(Micros now, TableId id, Split& parts, FleetState& fleet,
                                    const SlowStart& slow_start);
    /// Splits the complete tables of the pending assignments that are not split yet.
    void split_pending_tables(Micros now, const std::vector<Assignment>& pending, FleetState& fleet,
                              const SlowStart& slow_start);
    void count_users(const FleetState& fleet);
    void release_unused(FleetState& fleet);
    /// Reserves interim tables for a table that is wide enough.
    void split(Micros now, TableId id, FleetState& fleet, const SlowStart& slow_start);
    /// The lines of one message with this assignment and the complete tables that it names.
    double assignment_lines(const Assignment& assignment, const FleetState& fleet) const;

    double header_lines_;
    /// Tables are split while the pending first assignments are more lines than this in total, and
    /// some server is draining or gone.
    double max_pending_lines_;
    /// By the table that was split.
    std::map<TableId, Split> split_tables_;
    /// Whether pending proxies are assigned interim tables now.
    bool active_ = false;
};

}  // namespace badgergrade::policy
