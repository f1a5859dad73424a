// Which servers there are, by the endpoint list.
//
// A server that leaves the list is gone at once, with one exception: where the settings say that
// only a stated drain obliges proxies to stop, a server that merely vanished stays in use as long
// as it goes on answering. A list that falls back to an old state would otherwise name most of a
// live fleet gone. Servers that are dead show failures, and leave then.
//
// Invariants: a stated drain always binds; a server that restarts keeps its id and subset hash, and
// what proxies met at it before does not count. The only random draws of all decisions are the
// subset hashes, one a new server, in the order of the list.
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

    /// Any update but UpdateKind::WatchFailed.
    void apply(Micros now, const event::EndpointListUpdate& update, FleetState& fleet,
               OutlierDetector& outliers);
    /// Removes servers that vanished from the list and no longer answer.
    void remove_unresponsive(Micros now, FleetState& fleet, const OutlierDetector& outliers) const;

private:
    void mark_missing(Server& server) const;

    std::ranlux24_base random_;
    bool equal_weights_;
    bool keep_unlisted_servers_;
};

}  // namespace badgergrade::policy
