#include "xds_server/server_directory.h"

#include <algorithm>

namespace badgergrade::xds_server {

ZoneId find_zone(const std::vector<std::string>& zones, const std::string& name) {
    const auto zone = std::find(zones.begin(), zones.end(), name);
    return {zone == zones.end() ? -1 : static_cast<int>(zone - zones.begin())};
}

const ServerDirectory::Entry& ServerDirectory::update(const ListedServer& listed, Micros now) {
    const auto [it, is_new] = entries_.try_emplace({listed.id, listed.address});
    Entry& entry = it->second;
    if (is_new) {
        entry.server = {static_cast<std::uint32_t>(entries_.size())};
        names_[entry.server] = listed.id;
    }
    // The age is rounded and arrives late, so the start time computed from it differs slightly in
    // each list. The first start time of an incarnation is kept: otherwise the policy would see a
    // new start with each list and keep the server in slow start for ever.
    if (is_new || entry.incarnation != listed.incarnation) {
        const bool started_long_ago = listed.age <= Micros{0};
        entry.started_at = started_long_ago ? Micros{0} : std::max(Micros{1}, now - listed.age);
    }
    entry.incarnation = listed.incarnation;
    entry.zone = find_zone(zones_, listed.zone);
    by_address_[listed.address] = entry.server;
    return entry;
}

std::string ServerDirectory::name(ServerId server) const {
    const auto it = names_.find(server);
    return it == names_.end() ? std::string{} : it->second;
}

std::optional<ServerId> ServerDirectory::find(const std::string& name) const {
    std::optional<ServerId> found;
    for (const auto& [key, entry] : entries_) {
        if (key.first == name) {
            found = entry.server;
        }
    }
    return found;
}

}  // namespace badgergrade::xds_server
