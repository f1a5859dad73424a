// The endpoint list: applies updates of the list of servers to the fleet state.
//
// A server that is removed from the list is gone at once, with one exception: with
// Settings::keep_unlisted_servers a ready server that disappears without having been listed as
// draining stays in use while it answers. A list that falls back to an old state would otherwise
// remove most of a live fleet. Servers that are down show failures, and are removed then.
//
// Invariants: a listed drain is always applied; a server that restarts keeps its id and subset
// hash, and the reports from before its restart don't count. The subset hashes are the only random
// numbers of all decisions: one for each new server, in the order of the list.
#pragma once

#include <cstdint>
#include <random>

#include "policy/event.h"
#include "policy/fleet_state.h"
#include "policy/outlier_detection.h"
#include "policy/settings.h"

namespace badgergrade::policy {

class EndpointList {
public:
    EndpointList(const Settings& settings, std::uint64_t seed);

    /// Applies any update except UpdateKind::WatchFailed.
    void apply(Micros now, const event::EndpointListUpdate& update, FleetState& fleet,
               OutlierDetector& outliers);
    /// Removes unlisted servers that no longer answer: no success within the kept reports, or 40%
    /// or more failures within the decision window.
    void remove_unresponsive(Micros now, FleetState& fleet, const OutlierDetector& outliers) const;

private:
    /// Marks a server that is no longer listed as unlisted or as gone.
    void mark_missing(Micros now, Server& server) const;
    static void set_state(Micros now, ServerState state, Server& server);

    std::ranlux24_base random_;
    bool equal_weights_;
    bool keep_unlisted_servers_;
};

}  // namespace badgergrade::policy
