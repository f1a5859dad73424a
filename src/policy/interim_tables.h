// Narrow tables for first assignments that would keep the channel busy for too long.
//
// Inputs: the drain grace and the channel's pace from the settings, the proxies that wait for their
// first assignment, and the tables that these are to use. When an instance takes over the proxies
// of others, base tables for all of them may take longer than the drain grace, and until a proxy
// has its first tables it may go on using servers that have drained. Then a wide table is split
// into interim tables by the servers' subset hash; a pending proxy is first assigned one of them,
// the one with the lowest requested rate for its weight. The base table follows like any change of
// tables, when the queue has room. Where no server has left the endpoint list nothing is split.
//
// Invariants: servers that are warming up are in no interim table; an interim table with users only
// loses servers, until few are left, and is then filled anew; no interim table is empty while its
// table has a server that is warm.
// docs/design.md, "Changed" 6, has the reasons.
#pragma once

#include <map>
#include <vector>

#include "policy/fleet_state.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace badgergrade::policy {

class InterimTables {
public:
    /// By operations, the table that a proxy is to use.
    using Assignment = std::map<OperationMask, TableId>;

    explicit InterimTables(const Settings& settings);

    /// Splits the tables of `pending` where they are too many lines as a base, updates the interim
    /// tables, and empties those without users. Call it once a decision, after the tables are
    /// filled.
    void update(Micros now, const std::vector<Assignment>& pending, FleetState& fleet,
                const SlowStart& slow_start);

    /// What a pending proxy is assigned first in place of `desired`.
    Assignment first_assignment(const Proxy& proxy, const Assignment& desired) const;

    /// Counts a proxy on its interim tables until the next update.
    void on_assigned(const Proxy& proxy);

private:
    /// The interim tables of one table.
    struct Split {
        std::vector<TableId> tables;
        /// By part, as are the next two.
        std::vector<int> users;
        /// The announced rate of its users, and the weight of its servers.
        std::vector<double> rate;
        std::vector<double> weight;
    };

    static void update_parts(Micros now, TableId id, Split& parts, FleetState& fleet,
                             const SlowStart& slow_start);
    void split_pending_tables(Micros now, const std::vector<Assignment>& pending, FleetState& fleet,
                              const SlowStart& slow_start);
    void count_users(const FleetState& fleet);
    void release_unused(FleetState& fleet);
    void split(Micros now, TableId id, FleetState& fleet, const SlowStart& slow_start);
    double assignment_lines(const Assignment& assignment, const FleetState& fleet) const;

    double header_lines_;
    /// First assignments may take so many lines in all before tables are split.
    double max_pending_lines_;
    std::map<TableId, Split> split_tables_;
    /// Whether pending proxies get interim tables now.
    bool active_ = false;
};

}  // namespace badgergrade::policy
