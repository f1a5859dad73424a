#include "platform/server_ids.h"

#include <algorithm>
#include <cmath>

namespace badgergrade::platform {

namespace {
/// How long a gone server keeps its number. Longer than a report, ejection or message in transit
/// can still name the server.
constexpr Micros kGoneServerRetention = std::chrono::seconds(120);
/// The zone of a server whose zone name is not in the settings.
constexpr ZoneId kUnknownZone{-1};
}  // namespace

// For the planner 0 means "long ago". A start before the origin of the loop's clock is clamped to
// 1 us, so that it stays a known start with the same value in every list that repeats it.
Micros ServerIds::start_time(double started_ms) const {
    if (!(started_ms > 0)) {
        return Micros{0};
    }
    return std::max(Micros{1}, Micros(std::llround(started_ms * 1000)) - wall_clock_offset_);
}

ZoneId ServerIds::zone_id(const std::string& zone) const {
    const auto it = std::find(names_.zones.begin(), names_.zones.end(), zone);
    return it == names_.zones.end() ? kUnknownZone
                                    : ZoneId{static_cast<int>(it - names_.zones.begin())};
}

ServerId ServerIds::allocate_number() {
    if (released_numbers_.empty()) {
        return {++highest_number_};
    }
    const ServerId number = *released_numbers_.begin();
    released_numbers_.erase(released_numbers_.begin());
    return number;
}

ServerIds::Server& ServerIds::find_or_add(const std::string& text_id) {
    const auto it = servers_.find(text_id);
    if (it != servers_.end()) {
        return it->second;
    }
    Server& server = servers_[text_id];
    server.endpoint.server = allocate_number();
    text_ids_[server.endpoint.server] = text_id;
    return server;
}

void ServerIds::mark_all_gone(Micros now) {
    for (auto& [text_id, server] : servers_) {
        if (server.is_gone) {
            server.endpoint.state = ServerState::Gone;
        } else {
            server.is_gone = true;
            server.gone_since = now;
        }
    }
}

void ServerIds::apply_entry(Server& server, const ServerEntry& entry, Micros now) {
    const bool is_gone = entry.state == ServerState::Gone;
    if (is_gone && !server.is_gone) {
        server.gone_since = now;
    }
    server.is_gone = is_gone;
    server.endpoint = {server.endpoint.server, zone_id(entry.zone), entry.state, entry.weight,
                       start_time(entry.started_ms)};
}

event::EndpointListUpdate ServerIds::update(const ServerList& list, UpdateKind kind, Micros now) {
    event::EndpointListUpdate update{kind, {}};
    const bool is_complete = kind != UpdateKind::Delta;
    if (is_complete) {
        mark_all_gone(now);
    }
    for (const ServerEntry& entry : list.servers) {
        // A server that is not known and already gone needs no number.
        if (entry.state == ServerState::Gone && !find(entry.id)) {
            continue;
        }
        Server& server = find_or_add(entry.id);
        apply_entry(server, entry, now);
        update.endpoints.push_back(server.endpoint);
    }
    if (is_complete) {
        keep_skipped(list, update);
    }
    return update;
}

// A snapshot marks every server that it does not name as gone. A server whose entry was skipped
// because it is not valid must not be removed from all tables: it is listed in its previous state.
void ServerIds::keep_skipped(const ServerList& list, event::EndpointListUpdate& update) {
    for (const std::string& text_id : list.skipped_ids) {
        const auto it = servers_.find(text_id);
        if (it == servers_.end() || !it->second.is_gone ||
            it->second.endpoint.state == ServerState::Gone) {
            continue;
        }
        it->second.is_gone = false;
        update.endpoints.push_back(it->second.endpoint);
    }
}

bool ServerIds::has_servers() const {
    return std::any_of(servers_.begin(), servers_.end(),
                       [](const auto& server) { return !server.second.is_gone; });
}

std::optional<ServerId> ServerIds::find(std::string_view text_id) const {
    const auto it = servers_.find(text_id);
    return it == servers_.end() ? std::nullopt : std::optional(it->second.endpoint.server);
}

const std::string& ServerIds::text_id(ServerId server) const {
    static const std::string kUnknownServer;
    const auto it = text_ids_.find(server);
    return it == text_ids_.end() ? kUnknownServer : it->second;
}

void ServerIds::release_unused(Micros now, const std::function<bool(ServerId)>& is_in_use) {
    for (auto it = servers_.begin(); it != servers_.end();) {
        const Server& server = it->second;
        const ServerId number = server.endpoint.server;
        if (!server.is_gone || now - server.gone_since < kGoneServerRetention ||
            is_in_use(number)) {
            ++it;
            continue;
        }
        released_numbers_.insert(number);
        text_ids_.erase(number);
        it = servers_.erase(it);
    }
}

}  // namespace badgergrade::platform
