/// Which connections are collectors, by zone.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "platform_server/connection_table.h"
#include "policy/ids.h"

namespace badgergrade::platform_server {

/// A bounded set of collectors for each zone.
///
/// Failure guarded against: each zone has one collector, but the end of an older one's connection
/// may never be seen (its host is gone). Such connections would add up; the one that was silent
/// longest is therefore given up for a new one.
class CollectorRegistry {
public:
    /// The collector of `zone` to close before another one is added; nothing while there is space.
    std::optional<ConnectionId> to_evict(ZoneId zone, ConnectionTable& table) const {
        const auto it = collectors_.find(zone);
        if (it == collectors_.end() || it->second.size() < kMaxCollectorsPerZone) {
            return std::nullopt;
        }
        const auto silent_longer = [&](ConnectionId a, ConnectionId b) {
            return table.at(a).since < table.at(b).since;
        };
        return *std::min_element(it->second.begin(), it->second.end(), silent_longer);
    }

    void add(ZoneId zone, ConnectionId id) { collectors_[zone].insert(id); }

    void remove(ZoneId zone, ConnectionId id) { collectors_[zone].erase(id); }

    void clear() { collectors_.clear(); }

private:
    /// One that works, and some whose ends were not seen.
    static constexpr std::size_t kMaxCollectorsPerZone = 4;

    std::map<ZoneId, std::set<ConnectionId>> collectors_;
};

}  // namespace badgergrade::platform_server
