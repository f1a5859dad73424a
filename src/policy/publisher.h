// What is sent to the proxies now: the difference between desired and published tables, as far as
// the send budget allows, and the tables that each proxy is to use.
//
// Inputs: the tables and proxies, ejections, the mode, subsets, and the send budget. Outputs:
// commands in the order in which they must be carried out.
//
// Order of a table's lines: servers that are urgent, or too heavy; newcomers and admission limits;
// last what reassigned to another table, so that a part of the difference leaves the table usable.
// Removals go at once; all else is merged until the table's users have acknowledged its last change
// or the acknowledgement timeout has passed. Order of a batch: tables that nobody uses, so that an
// assignment finds its table whole; then urgent servers; first assignments; changes of assignments;
// the rest. Where no proxy waits for its first assignment, what reassigned goes with the urgent
// servers.
//
// A server that drains or is gone is a urgent server: it is removed with the decision after the
// list named it so. Its removal is delayed, or cut to a portion worth its message head, while
// - one user of the table has used up its message allowance: no user is sent the table's change;
// - the estimated queue is over 95% of its limit;
// - the table's last change is younger than the urgent interval, and only the reserve is left.
// Acknowledgements are not waited for. Nothing here measures how much of the drain grace is left:
// the send budget keeps the queue short enough for a removal behind it.
//
// A proxy that connects is first assigned its tables, with FirstAssignment priority, as soon as the
// budget has the lines of all of them; until then it is sent nothing and uses what it holds. Where
// whole tables are too many lines it gets interim tables first.
//
// Invariants: a table with users is never emptied before its newcomers are sent; a change is
// recorded as published exactly when its command is given out; a batch is one message a proxy.
// docs/design.md, "Changed" 6, has the reasons.
#pragma once

#include <map>
#include <vector>

#include "policy/command.h"
#include "policy/fleet_state.h"
#include "policy/interim_tables.h"
#include "policy/outlier_detection.h"
#include "policy/send_budget.h"
#include "policy/settings.h"
#include "policy/slow_start.h"
#include "policy/subsetting.h"

namespace badgergrade::policy {

/// A table's difference, the most urgent lines first.
struct TableDifference {
    std::vector<Command> lines;
    /// The first lines that may use the reserve: servers that are urgent or too heavy, and the
    /// newcomers of a table that would be empty otherwise.
    std::size_t urgent_count = 0;
    /// Holds removals of servers that are still ready: they don't wait for acknowledgements.
    bool has_removals = false;
};

TableDifference table_difference(TableId id, const Table& table, const FleetState& fleet,
                                 const OutlierDetector& outliers);

/// The tables that a proxy is to use, by operations.
std::map<OperationMask, TableId> desired_tables(const Proxy& proxy, const FleetState& fleet,
                                                bool full_table_mode, const Subsetting& subsetting);

class Publisher {
public:
    /// Keeps references: all must outlive the publisher.
    Publisher(const Settings& settings, FleetState& fleet, const OutlierDetector& outliers,
              const SlowStart& slow_start, const Subsetting& subsetting, SendBudget& budget);

    /// The commands of this decision, which must all be carried out: they are recorded as
    /// published. The last one is a RequestAck, if any proxy is concerned. Call it once a
    /// decision.
    std::vector<Command> publish(Micros now, bool full_table_mode);

private:
    using TableUsers = std::map<TableId, std::vector<ProxyId>>;

    TableUsers users_of_tables() const;
    void publish_table(Micros now, TableId id, Table& table, const std::vector<ProxyId>& users,
                       Priority priority);
    std::size_t sendable_lines(Micros now, const Table& table, const TableDifference& difference,
                               const std::vector<ProxyId>& users, Priority priority) const;
    bool is_acknowledged(Micros now, const Table& table, const std::vector<ProxyId>& users) const;
    std::vector<InterimTables::Assignment> pending_first_assignments(bool full_table_mode) const;
    void publish_assignments(Micros now, bool full_table_mode, Priority priority);
    void publish_assignment(Micros now, ProxyId id, Proxy& proxy, bool full_table_mode,
                            Priority priority);

    FleetState& fleet_;
    const OutlierDetector& outliers_;
    const SlowStart& slow_start_;
    const Subsetting& subsetting_;
    SendBudget& budget_;
    InterimTables interim_tables_;
    /// Urgent changes of one table that need the reserve are merged for this long after its last
    /// change, so that messages last: two message windows / the messages allowed in one.
    Micros urgent_interval_;
    std::vector<Command> commands_;
    /// A connected proxy has no tables of this instance yet.
    bool has_pending_assignments_ = false;
};

}  // namespace badgergrade::policy
