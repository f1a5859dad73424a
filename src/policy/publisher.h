// Publishing: sends proxies the differences between desired and published tables, within the send
// budget, and assigns each proxy its tables.
//
// Inputs: desired tables (table_planner.h, subsetting.h, overload_control.h), connected proxies,
// ejections, the mode (full table or zone tables), and the send budget (send_budget.h), whose unit
// is a line. Output: commands in the order in which they must be carried out.
//
// A batch, in order: tables without users, so that a later assignment finds them complete; what has
// a due time, earliest deadline first (delivery_scheduler.h): due lines of tables in use, first
// assignments, and assignments of proxies whose table is empty; the changes of tables that remove
// servers which are ready, such as ejected ones; changed assignments; the changes of all other
// tables. Without a due time, the table whose last change is oldest comes first. Nothing is sent
// while the channel has no room (send_budget.h). A table's other lines are sent with its due lines
// as far as the budget allows, while no interim tables are in use.
//
// Due lines are delayed, or only a part of them is sent (as many lines as are worth a message
// header), while a user of the table has used up its message limit, or the estimated queue is above
// 95% of its limit. They also wait, so that the message limit lasts, until the urgent interval
// after the table's last change, but not in the second half of their time.
//
// Until its first assignment a proxy is sent nothing and uses the configuration that it holds.
// While the scheduler asks for interim tables (interim_tables.h), proxies get these in their first
// assignment, and in place of the due lines of a wide table where the scheduler says that this is
// cheaper.
//
// Invariants: a table with users is never emptied before its new servers are sent; a change is
// recorded as published exactly when its command is returned; a proxy gets at most one message per
// batch. docs/design.md, "Changed" 6, has the reasons.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "policy/command.h"
#include "policy/delivery_scheduler.h"
#include "policy/fleet_state.h"
#include "policy/interim_tables.h"
#include "policy/outlier_detection.h"
#include "policy/send_budget.h"
#include "policy/settings.h"
#include "policy/slow_start.h"
#include "policy/subsetting.h"
#include "policy/table_difference.h"

namespace badgergrade::policy {

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
    using Assignment = std::map<OperationMask, TableId>;
    using TableUsers = std::map<TableId, std::vector<ProxyId>>;

    TableUsers users_of_tables() const;
    /// A table that is no longer desired may have users that can't be assigned another one yet: it
    /// loses only the servers that are not ready, and those that all its users would overload.
    void keep_ready_servers(Micros now);
    /// Compares all tables and sends the changes of those without users.
    void update_differences(Micros now);
    /// Compares one table, and sends its changes if it has no users.
    void update_difference(Micros now, TableId id);
    /// The lines that turn a table as published into the desired one. Those of an interim table are
    /// due together.
    TableDifference compare(Micros now, TableId id) const;

    /// What must be sent by a time, with complete tables.
    std::vector<Delivery> due_deliveries(Micros now, bool full_table_mode);
    void add_due_changes(Micros now, std::vector<Delivery>& deliveries);
    void add_due_assignments(Micros now, bool full_table_mode, std::vector<Delivery>& deliveries);
    /// A delivery with the due time of this table's difference.
    Delivery due_change(Micros now, TableId id, const TableDifference& difference);
    /// The lines of an assignment, without a message header.
    double assignment_lines(const Assignment& assignment) const;
    /// When this instance was first told of a server that is draining or gone now.
    std::optional<Micros> unavailable_since() const;
    /// Since when a table of this proxy has been empty.
    Micros empty_since(Micros now, const Proxy& proxy) const;

    /// Replaces the changes of wide tables by assignments of interim ones where these are cheaper.
    void replace_crowded_changes(Micros now, std::vector<Delivery>& deliveries);
    /// Whether an interim table is cheaper than the due lines of a table.
    bool is_narrow_cheaper(Micros now, TableId id) const;

    void send_due(Micros now, bool full_table_mode, const std::vector<Delivery>& deliveries);
    void send_deferrable(Micros now, bool full_table_mode);
    void publish_table(Micros now, TableId id, Priority priority, Micros due);
    void send_lines(Micros now, TableId id, std::size_t count);
    /// How many of the difference's first lines are sent now.
    std::size_t sendable_lines(Micros now, TableId id, Priority priority, Micros due) const;
    /// How many lines without a due time so many proxies may be sent at once.
    std::size_t deferrable_lines(std::size_t recipients) const;
    /// Whether all users have acknowledged the table's last change, or kAckTimeout has passed.
    bool is_acknowledged(Micros now, const Table& table, const std::vector<ProxyId>& users) const;
    bool is_empty(TableId table) const;
    /// Whether the table, as published, contains a warming server whose removal is still to be
    /// sent. No more proxies are assigned to it until then.
    bool awaits_removal(Micros now, TableId id) const;
    /// Whether the proxy has no tables from this instance, or one of them is empty.
    bool lacks_servers(const Proxy& proxy) const;
    /// Whether the desired tables have servers for operations that have none now.
    bool gains_servers(const Proxy& proxy, const Assignment& desired) const;
    /// The tables that a proxy is to be assigned now. Publishes a new interim table.
    Assignment target_tables(Micros now, const Proxy& proxy, bool full_table_mode);
    void publish_assignment(Micros now, ProxyId id, bool full_table_mode, Priority priority);
    void assign(const command::AssignTable& change);

    FleetState& fleet_;
    const OutlierDetector& outliers_;
    const SlowStart& slow_start_;
    const Subsetting& subsetting_;
    SendBudget& budget_;
    DeliveryScheduler scheduler_;
    InterimTables interim_tables_;
    /// Due changes of a table are merged for this long, so that the message limit is not used up: 2
    /// x message window / messages allowed in a window.
    Micros urgent_interval_;
    /// Since when a warming server in a table must be sent less.
    std::map<TableId, Micros> overloading_since_;
    /// Of this decision: the users of each table, and what is to be sent to them.
    TableUsers users_;
    std::map<TableId, TableDifference> differences_;
    /// Wide tables whose users get interim tables in this decision.
    std::set<TableId> crowded_tables_;
    std::vector<Command> commands_;
};

}  // namespace badgergrade::policy
