// Collapse protection: keeps warming servers out of a table in which they would be sent more than
// they withstand.
//
// Inputs: the desired weights of one table, the servers that belong to it, which of them fail, the
// weight that the demand of its users requires (required_capacity.h), and what each warming server
// withstands (slow_start.h). Output: the corrected desired weights.
//
// Slow start limits the weight of a warming server, and that protects it only beside warm servers
// that carry the rest of the demand. With few of them, or while proxies avoid them, the demand of
// all users comes to rest on the warming ones, whatever their weights are. Therefore:
//   - Warming servers that together withstand the whole demand and a reserve may be in the table.
//     Once the table rests on them a smaller reserve is enough. Here and below servers that fail do
//     not count: their share goes to the others.
//   - Otherwise they leave a table without a warm server; one whose servers, at their planned
//     weights, would carry more than twice the proven load, since proxies then avoid the warm ones;
//     and a narrow one with a single warm server: with two servers, a proxy that uses least request
//     picks either half of the time, and a proxy that avoids its failing servers has only the
//     warming one left.
//   - A table that would then be empty gets the warming servers if they withstand the demand, else
//     the warm servers that were left out of it (ejected). If there are none it stays empty: a
//     proxy may be without a server while no warm one is listed, and a warming server that
//     collapses does not come back.
// Where admission limits (overload_control.h) keep the demand of a table below what its servers
// withstand, it may rest on any warming servers, and no load counts as too much.
//
// Invariants: a table that has a warm server to name is not left empty; without a known demand no
// table rests on warming servers, unless admission is limited.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "policy/fleet_state.h"
#include "policy/slow_start.h"

namespace badgergrade::policy {

/// One table and what its users need.
struct TableDemand {
    /// The weight of warm servers that the demand of its users requires; no value: not known.
    std::optional<double> required_weight;
    /// Admission limits keep the demand below what the servers of the table withstand.
    bool limited_by_admission = false;
    /// The ready servers that belong to the table and are not ejected from it; it is filled with
    /// them if it would be empty otherwise. None: it may be empty.
    std::vector<ServerId> usable;
    /// The ready servers that belong to the table and are ejected from it.
    std::vector<ServerId> ejected;
    /// Whether the users see a server fail: it does not count as carrying demand.
    std::function<bool(ServerId)> is_failing;
};

/// Corrects the desired weights of a table after slow start has set them.
void protect_warming_servers(Micros now, const TableDemand& demand, const FleetState& fleet,
                             const SlowStart& slow_start, Table& table);

}  // namespace badgergrade::policy
