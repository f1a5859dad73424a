// Publishing: sends proxies the differences between desired and published tables, within the send
// budget, and assigns each proxy its tables.
//
// Inputs: desired tables (table_planner.h, subsetting.h, overload_control.h), connected proxies,
// ejections, the mode (full table or zone tables), and the send budget (send_budget.h), whose unit
// is a line. Output: commands in the order in which they must be carried out.
//
// Lines of one table, most urgent first:
//   1. servers that are draining or gone, warming servers that must leave, and reduced weights;
//   2. new servers, raised weights, ejections, and admission limits;
//   3. servers that are ready but now belong to another table.
// Where the table keeps none of its published servers, 2 comes before 1. The budget may cut this
// order at any point: the table stays usable. Removals and the first servers of an empty table are
// sent at once; other changes are merged until the users of the table have acknowledged its last
// change, or for kAckTimeout.
//
// Tables of one batch, in order: tables without users, so that a later assignment finds them
// complete; urgent lines of tables in use; first assignments; changed assignments; all other lines.
// While no proxy waits for its first assignment, all lines of a table that removes servers are sent
// with its urgent lines, as far as the deferrable budget allows.
//
// A server that drains or is gone is removed from its tables by the decision that follows the
// endpoint list update. The removal is delayed, or only a part of it is sent (as many lines as are
// worth a message header), while
//   - a user of the table has used up its message limit: then no user is sent the change;
//   - the estimated queue is above 95% of its limit;
//   - the table was changed less than the urgent interval ago, and only the urgent reserve is left.
// Removals don't wait for acknowledgements. The publisher does not track how much of the drain
// grace is left: the send budget keeps the queue short enough for a removal to pass through it in
// time.
//
// A proxy that connects gets its first assignment with FirstAssignment priority as soon as the
// budget allows for all lines of its tables; so does one that is moved from an empty table to one
// with servers. Until then it is sent nothing and uses the
// configuration that it holds. If complete tables for all such proxies would occupy the channel for
// too long, they first get interim tables (interim_tables.h).
//
// Invariants: a table with users is never emptied before its new servers are sent; a change is
// recorded as published exactly when its command is returned; a proxy gets at most one message per
// batch. docs/design.md, "Changed" 6, has the reasons.
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

/// The lines that turn a published table into the desired one, most urgent first.
struct TableDifference {
    std::vector<Command> lines;
    /// How many of the first lines may use the urgent reserve: removals of servers that are
    /// draining, gone or warming up, reduced weights, and the new servers of a table that is or
    /// would be empty otherwise.
    std::size_t urgent_count = 0;
    /// The difference removes servers that are ready and warm; it does not wait for
    /// acknowledgements.
    bool has_removals = false;
};

/// Compares the desired weights and limits of a table with the published ones.
TableDifference table_difference(Micros now, TableId id, const Table& table,
                                 const FleetState& fleet, const OutlierDetector& outliers,
                                 const SlowStart& slow_start);

/// The tables that a proxy should use, by operations: its zone's tables, or its subset of them; the
/// full table in full table mode, if the zone is unknown, or if the zone table is empty.
std::map<OperationMask, TableId> desired_tables(const Proxy& proxy, const FleetState& fleet,
                                                bool full_table_mode, const Subsetting& subsetting);

class Publisher {
public:
    /// Keeps references: all must outlive the publisher.
    Publisher(const Settings& settings, FleetState& fleet, const OutlierDetector& outliers,
              const SlowStart& slow_start, const Subsetting& subsetting, SendBudget& budget);

    /// Returns the commands of this decision. All of them must be carried out, since they are
    /// recorded as published. If any proxy is sent lines, the last one is a RequestAck. Call it
    /// once per decision.
    std::vector<Command> publish(Micros now, bool full_table_mode);

private:
    using Assignment = InterimTables::Assignment;
    using TableUsers = std::map<TableId, std::vector<ProxyId>>;

    TableUsers users_of_tables() const;
    void publish_table(Micros now, TableId id, Table& table, const std::vector<ProxyId>& users,
                       Priority priority);
    /// How many of the difference's first lines are sent now.
    std::size_t sendable_lines(Micros now, const Table& table, const TableDifference& difference,
                               const std::vector<ProxyId>& users, Priority priority) const;
    /// Whether all users have acknowledged the table's last change, or kAckTimeout has passed.
    bool is_acknowledged(Micros now, const Table& table, const std::vector<ProxyId>& users) const;
    /// The desired tables of each connected proxy that has none assigned by this instance.
    std::vector<Assignment> pending_first_assignments(bool full_table_mode) const;
    bool is_empty(TableId table) const;
    /// Whether the table, as published, contains a warming server whose removal is still to be
    /// sent. No more proxies are assigned to it until then.
    bool awaits_removal(Micros now, TableId id) const;
    /// Whether the proxy has no tables from this instance, or one of them is empty.
    bool lacks_servers(const Proxy& proxy) const;
    /// Whether the desired tables have servers for operations that have none now.
    bool gains_servers(const Proxy& proxy, const Assignment& desired) const;
    void publish_assignments(Micros now, bool full_table_mode, Priority priority);
    void publish_assignment(Micros now, ProxyId id, Proxy& proxy, bool full_table_mode,
                            Priority priority);

    FleetState& fleet_;
    const OutlierDetector& outliers_;
    const SlowStart& slow_start_;
    const Subsetting& subsetting_;
    SendBudget& budget_;
    InterimTables interim_tables_;
    /// After a change of a table, urgent changes that need the reserve are merged for this long, so
    /// that the message limit is not used up: 2 x message window / messages allowed in a window.
    Micros urgent_interval_;
    std::vector<Command> commands_;
    /// Some connected proxy has no tables from this instance yet.
    bool has_pending_assignments_ = false;
};

}  // namespace badgergrade::policy
