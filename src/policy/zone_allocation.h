// Zone allocation: which zone's proxies use which server (the paper's algorithm).
//
// Inputs: each zone's share of the demand (fractions that sum to 1), the ready servers with their
// listed and usable weight (in units of the mean listed weight: 1 is one average server), and the
// previous allocation.
//
// The desired weight of a zone is its share x the weight of all servers. Its minimum is
// ceil(desired / 1.2), so that no zone's servers are loaded more than 20% above their share.
// Feasibility is decided by listed weights, so that an ejection or slow start does not change it;
// if the allocation is infeasible, all proxies use one full table. Every server starts in its own
// zone; then servers are moved one at a time from the zone with the largest surplus to the zone
// with the largest deficit, as long as a whole server fits into both.
//
// Invariants: every ready server is allocated to exactly one zone; a server that is warming up
// stays in its own zone; the result depends on the arguments alone. docs/design.md names the
// sources.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "policy/ids.h"

namespace badgergrade::policy {

/// How far a zone's servers may be loaded above their share, as a fraction (the paper's figure).
constexpr double kAllowedOverloadFraction = 0.2;

struct ServerCapacity {
    ServerId server;
    ZoneId zone;
    /// Weight from the endpoint list, in units of the mean listed weight.
    double listed;
    /// The part of `listed` that the server can be given now: 0 if ejected, less on probation or
    /// while warming up.
    double usable;
    bool warming_up = false;
};

struct ZoneAllocation {
    /// Why the allocation is infeasible; empty if it is feasible.
    std::string infeasible_reason;
    std::map<ServerId, ZoneId> zone_of_server;
    /// Usable weight by zone; empty if infeasible.
    std::vector<double> usable;
};

/// The least number of servers for a zone whose desired number is this.
double min_servers_for(double desired);

/// Allocates servers to zones. `previous_zone_of_server`: the previous allocation; a move prefers a
/// server that was in the target zone there.
ZoneAllocation allocate_zones(const std::vector<double>& demand_shares,
                              const std::vector<ServerCapacity>& servers,
                              const std::map<ServerId, ZoneId>& previous_zone_of_server);

}  // namespace badgergrade::policy
