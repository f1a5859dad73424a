// Delivery scheduler: what proxies must be sent by when, in which order, and whether the cheapest
// message is needed to meet these times.
//
// Some changes have a due time, which the settings follow from:
//   - a server that is draining or gone must leave all tables within the drain grace after this
//     instance was told of it;
//   - a proxy that has just connected may hold such servers in a table of another instance: it
//     needs its first assignment within the drain grace after both;
//   - a proxy whose table is empty needs servers within the longest time without one;
//   - a warming server must leave a table, or have a lower weight, before it collapses.
// All of them share one channel. They are sent earliest deadline first, and only what has no due
// time waits for them (the publisher sends it while the channel has room).
//
// A removal from a wide table is as many lines as servers, for each user of the table and again at
// the next drain; a first assignment of a wide table is as many lines as the table. An interim
// table (interim_tables.h) has a few lines, and the next drain concerns only some of them. It is
// used in place of a wide one where that is fewer lines, while the wide ones would keep the channel
// busy for too long: the deliveries that the drain grace limits have to fit, one after the other at
// the pace that acknowledgements show (channel_model.h), into half of the grace each. The rest
// is kept for what is not known yet: further drains, and proxies that are still to connect.
//
// Invariants: the order depends on due times alone, not on what kind of change is due; while no
// server is draining or gone, no interim table is needed. docs/design.md, "Changed" 6, has
// the reasons.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "policy/fleet_state.h"
#include "policy/send_budget.h"
#include "policy/settings.h"

namespace badgergrade::policy {

/// Lines that some proxies must be sent by a time.
struct Delivery {
    Micros due;
    /// The table whose changes are due, for all its users. Without a value, `proxy` is to be
    /// assigned its tables.
    std::optional<TableId> table;
    ProxyId proxy{};
    /// Of all its messages, without their headers.
    double lines = 0;
    double messages = 1;
    /// The due time follows from the drain grace.
    bool is_limited_by_grace = false;
};

class DeliveryScheduler {
public:
    explicit DeliveryScheduler(const Settings& settings);

    /// When a server that is draining or gone must have left the tables of all proxies.
    Micros removal_due(const Server& server) const;
    /// When a proxy without tables from this instance must have them. `unavailable_since`: when
    /// this instance was first told that a server drains or is gone; no value: no server is.
    Micros first_assignment_due(const Proxy& proxy, std::optional<Micros> unavailable_since) const;

    /// When the users of a table that has been empty since this time must have servers.
    Micros refill_due(Micros empty_since) const { return empty_since + max_time_without_server_; }

    /// When a warming server must be sent less, if that is known since this time.
    Micros weight_reduction_due(Micros since) const { return since + overload_collapse_time_; }

    /// Whether a change with this due time should not wait for others any more: the second half of
    /// the drain grace has begun.
    bool is_near(Micros now, Micros due) const {
        return has_grace_ && now + drain_grace_ / 2 >= due;
    }

    /// Whether a message with a narrow table of so many lines is cheaper than one with the
    /// removals from a wide table, with one more such message, which the next drain would need.
    static bool is_narrow_cheaper(const SendBudget& budget, double removal_lines,
                                  double narrow_lines) {
        return budget.seconds(narrow_lines, 1) < 2 * budget.seconds(removal_lines, 1);
    }

    /// How long one change without a due time may keep the channel busy.
    double max_deferrable_seconds() const;

    /// Sorts the deliveries by their due times and decides whether wide tables can meet them.
    /// `deliveries` are those of wide tables wherever a narrow one could take their place.
    void update(Micros now, const SendBudget& budget, std::vector<Delivery>& deliveries);

    /// Whether interim tables are used in place of wide ones where that is fewer lines.
    bool uses_interim_tables() const { return uses_interim_tables_; }

private:
    /// Whether each delivery that the grace limits fits into its part of the grace.
    bool fits(Micros now, const SendBudget& budget, const std::vector<Delivery>& sorted) const;

    bool has_grace_;
    /// A time that only orders the deliveries, where the settings give no grace.
    Micros drain_grace_;
    Micros max_time_without_server_;
    Micros overload_collapse_time_;
    /// The part of the drain grace that is kept for what is not known yet.
    Micros reserved_grace_;
    bool uses_interim_tables_ = false;
};

}  // namespace badgergrade::policy
