// Interim tables: narrow tables for the first assignments of many proxies at once, which would
// occupy the channel for too long with complete tables.
//
// Inputs: the drain grace and the channel's pace from the settings, the proxies that wait for their
// first assignment, and the tables that they should use. When an instance takes over the proxies of
// other instances, complete tables for all of them may take longer to send than the drain grace,
// and a proxy without tables from this instance may still use servers that have drained. If they
// would take more than a quarter of the drain grace, wide tables are split into interim tables by
// the servers' subset hash, and each pending proxy is first assigned the interim table with the
// lowest announced rate per weight. The complete table follows as an ordinary change of tables when
// the queue has room. While all known servers are ready, nothing is split: no proxy can hold a
// drained one.
//
// Invariants: servers that are warming up are in no interim table; an interim table with users only
// loses servers until few remain, and is then filled anew; no interim table is empty while the
// complete table has a warm server. docs/design.md, "Changed" 6, has the reasons.
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

    /// Splits the tables of the `pending` first assignments if these are too many lines, updates
    /// the interim tables, and empties those without users. Call it once per decision, after the
    /// base tables and subsets are filled.
    void update(Micros now, const std::vector<Assignment>& pending, FleetState& fleet,
                const SlowStart& slow_start);

    /// The first assignment of a pending proxy in place of `desired`.
    Assignment first_assignment(const Proxy& proxy, const Assignment& desired) const;

    /// Adds a proxy to the users of its interim tables; update() counts all users anew.
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

    static void update_parts(Micros now, TableId id, Split& parts, FleetState& fleet,
                             const SlowStart& slow_start);
    /// Splits the complete tables of the pending assignments that are not split yet.
    void split_pending_tables(Micros now, const std::vector<Assignment>& pending, FleetState& fleet,
                              const SlowStart& slow_start);
    void count_users(const FleetState& fleet);
    void release_unused(FleetState& fleet);
    /// Reserves interim tables for a table that is wide enough.
    void split(Micros now, TableId id, FleetState& fleet, const SlowStart& slow_start);
    /// The lines of one message with this assignment.
    double assignment_lines(const Assignment& assignment, const FleetState& fleet) const;

    double header_lines_;
    /// Tables are split while the pending first assignments are more lines than this in total.
    double max_pending_lines_;
    /// By the table that was split.
    std::map<TableId, Split> split_tables_;
    /// Whether pending proxies are assigned interim tables now.
    bool active_ = false;
};

}  // namespace badgergrade::policy
