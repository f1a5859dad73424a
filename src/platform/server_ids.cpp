#include "platform/server_ids.h"

#include <algorithm>
#include <cmath>

namespace badgergrade::platform {

namespace {
/// How long a gone server keeps its number: longer than any report, ejection or message that is on
/// its way can still name it.
constexpr Micros kGoneServerKept = std::chrono::seconds(120);
/// The zone of a server whose zone the settings don't name.
constexpr ZoneId kUnknownZone{-1};
}  // namespace

// The planner takes 0 for "long ago". A start before the loop's clock began is just as long ago,
// but it stays a start: 1 us, the same in every list that repeats it.
Micros ServerIds::start_time(double started_ms) const {
    if (!(started_ms > 0)) {
        return Micros{0};
    }
    return std::max(Micros{1}, Micros(std::llround(started_ms * 1000)) - wall_ahead_);
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

void ServerIds::apply_instance(Server& server, const Instance& instance, Micros now) {
    const bool is_gone = instance.state == ServerState::Gone;
    if (is_gone && !server.is_gone) {
        server.gone_since = now;
    }
    server.is_gone = is_gone;
    server.endpoint = {server.endpoint.server, zone_id(instance.zone), instance.state,
                       instance.weight, start_time(instance.started_ms)};
}

event::EndpointListUpdate ServerIds::update(const InstanceList& list, UpdateKind kind, Micros now) {
    event::EndpointListUpdate update{kind, {}};
    const bool names_all = kind != UpdateKind::Delta;
    if (names_all) {
        mark_all_gone(now);
    }
    for (const Instance& instance : list.instances) {
        // A server that was never known and is gone already needs no number.
        if (instance.state == ServerState::Gone && !find(instance.id)) {
            continue;
        }
        Server& server = find_or_add(instance.id);
        apply_instance(server, instance, now);
        update.endpoints.push_back(server.endpoint);
    }
    if (names_all) {
        keep_unreadable(list, update);
    }
    return update;
}

// Failure guarded against: an entry of a snapshot can't be read, its server counts as gone, and all
// proxies drop a server that works. A server whose entry can't be read is listed as it was.
void ServerIds::keep_unreadable(const InstanceList& list, event::EndpointListUpdate& update) {
    for (const std::string& text_id : list.unreadable_ids) {
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
                       [](const auto& entry) { return !entry.second.is_gone; });
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
        if (!server.is_gone || now - server.gone_since < kGoneServerKept || is_in_use(number)) {
            ++it;
            continue;
        }
        released_numbers_.insert(number);
        text_ids_.erase(number);
        it = servers_.erase(it);
    }
}

}  // namespace badgergrade::platform
