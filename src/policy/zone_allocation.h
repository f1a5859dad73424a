// Which zone's proxies use which server: the paper's mechanism.
//
// Inputs: each zone's share of the demand (fractions that sum to 1), the ready servers with their
// listed and usable weight (in units of the mean listed weight, so that 1 is one average server),
// and the allocation before.
//
// desired = a zone's share x all weight; minimum = ceil(desired / 1.2), so that no zone's servers
// carry more than 20% above their share. Feasibility is decided by listed weights, so that neither
// an ejection nor slow start changes it by the count; infeasible: one full table for all. Every
// server starts in its own zone; then servers move one at a time from the zone with the largest
// surplus to the one with the largest deficit, as long as a whole server fits on both sides.
//
// Invariants: every ready server has exactly one zone; a server that is warming up stays in its own
// zone; the result depends on the arguments alone.
// docs/design.md names the sources.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "policy/ids.h"

namespace badgergrade::policy {

/// How far a zone's servers may be loaded above their share (the paper's figure).
constexpr double kAllowedOverloadFraction = 0.2;

struct ServerCapacity {
    ServerId server;
    ZoneId zone;
    /// Weight from the endpoint list, in mean listed weights.
    double listed;
    /// The part of it that the server can be given now.
    double usable;
    bool warming_up = false;
};

struct ZoneAllocation {
    /// Why the allocation is infeasible; empty where it is feasible.
    std::string infeasible_reason;
    std::map<ServerId, ZoneId> zone_of_server;
    /// Usable weight by zone; empty where infeasible.
    std::vector<double> usable;
};

/// The fewest servers for a zone that desires this many.
double min_servers_for(double desired);

ZoneAllocation allocate_zones(const std::vector<double>& demand_shares,
                              const std::vector<ServerCapacity>& servers,
                              const std::map<ServerId, ZoneId>& previous_zone_of_server);

}  // namespace badgergrade::policy
