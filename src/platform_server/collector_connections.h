/// Tracks the connections of collectors (the senders of load reports) by zone.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "platform_server/connection_table.h"
#include "policy/ids.h"

namespace badgergrade::platform_server {

/// A bounded set of collector connections for each zone.
///
/// Each zone has one collector, but the end of an earlier connection may never be seen, for example
/// when its host is gone. So that such connections do not accumulate, the one that has been silent
/// for the longest time is closed for a new one once a zone has four. A collector that sends only
/// PING or messages that can't be decoded counts as silent.
class CollectorConnections {
public:
    /// Returns the collector of `zone` that must be closed before another one is added, or nothing
    /// if the zone has fewer than the maximum. `table` must hold all connections of this set.
    std::optional<ConnectionId> connection_to_evict(ZoneId zone, ConnectionTable& table) const {
        const auto it = collectors_.find(zone);
        if (it == collectors_.end() || it->second.size() < kMaxCollectorsPerZone) {
            return std::nullopt;
        }
        const auto silent_longer = [&](ConnectionId a, ConnectionId b) {
            return table.at(a).timeout_start < table.at(b).timeout_start;
        };
        return *std::min_element(it->second.begin(), it->second.end(), silent_longer);
    }

    void add(ZoneId zone, ConnectionId id) { collectors_[zone].insert(id); }

    void remove(ZoneId zone, ConnectionId id) { collectors_[zone].erase(id); }

    void clear() { collectors_.clear(); }

private:
    /// Room for the working collector and a few connections whose ends were not seen.
    static constexpr std::size_t kMaxCollectorsPerZone = 4;

    std::map<ZoneId, std::set<ConnectionId>> collectors_;
};

}  // namespace badgergrade::platform_server
