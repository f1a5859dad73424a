#include "platform/server_ids.h"

#include <algorithm>
#include <cmath>

namespace badgergrade::platform {

namespace {
// Longer than any report, verdict or message can still speak of a server that is gone.
constexpr Micros kRemembered = std::chrono::seconds(120);
}  // namespace

// The module takes 0 for "long ago"; a start before this clock began is just as long ago, but stays
// a start, and the same one whenever a list repeats it.
Micros ServerIds::start_of(double started_ms) const {
    if (!(started_ms > 0)) {
        return Micros{0};
    }
    return std::max(Micros{1}, Micros(std::llround(started_ms * 1000)) - wall_ahead_);
}

ServerId ServerIds::new_number() {
    if (free_.empty()) {
        return {++last_};
    }
    const ServerId number = *free_.begin();
    free_.erase(free_.begin());
    return number;
}

event::EndpointListUpdate ServerIds::take(const InstanceList& list, UpdateKind form, Micros now) {
    event::EndpointListUpdate out{form, {}};
    if (form != UpdateKind::Delta) {
        for (auto& [id, known] : by_id_) {
            if (known.gone) {
                known.row.state = ServerState::Gone;
            } else {
                known.gone = true;
                known.gone_since = now;
            }
        }
    }
    for (const Instance& instance : list.instances) {
        auto it = by_id_.find(instance.id);
        if (it == by_id_.end()) {
            // What was never there and is gone already needs no number.
            if (instance.state == ServerState::Gone) {
                continue;
            }
            it = by_id_.emplace(instance.id, Known{{new_number(), {}, {}, 1, {}}, false, {}}).first;
            ids_[it->second.row.server] = instance.id;
        }
        Known& known = it->second;
        const bool gone = instance.state == ServerState::Gone;
        if (gone && !known.gone) {
            known.gone_since = now;
        }
        known.gone = gone;
        const auto zone = std::find(names_.zones.begin(), names_.zones.end(), instance.zone);
        known.row = {
            known.row.server,
            {zone == names_.zones.end() ? -1 : static_cast<int>(zone - names_.zones.begin())},
            instance.state,
            instance.weight,
            start_of(instance.started_ms)};
        out.endpoints.push_back(known.row);
    }
    if (form != UpdateKind::Delta) {
        keep_unreadable(list, out);
    }
    return out;
}

// Whose entry can't be read is named all the same: a whole list does not say that it is gone.
void ServerIds::keep_unreadable(const InstanceList& list, event::EndpointListUpdate& out) {
    for (const std::string& id : list.unreadable) {
        const auto it = by_id_.find(id);
        if (it == by_id_.end() || !it->second.gone || it->second.row.state == ServerState::Gone) {
            continue;
        }
        it->second.gone = false;
        out.endpoints.push_back(it->second.row);
    }
}

bool ServerIds::any() const {
    return std::any_of(by_id_.begin(), by_id_.end(),
                       [](const auto& one) { return !one.second.gone; });
}

std::optional<ServerId> ServerIds::number(std::string_view id) const {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? std::nullopt : std::optional(it->second.row.server);
}

const std::string& ServerIds::id(ServerId server) const {
    static const std::string none;
    const auto it = ids_.find(server);
    return it == ids_.end() ? none : it->second;
}

void ServerIds::forget(Micros now, const std::function<bool(ServerId)>& named) {
    for (auto it = by_id_.begin(); it != by_id_.end();) {
        const Known& known = it->second;
        if (!known.gone || now - known.gone_since < kRemembered || named(known.row.server)) {
            ++it;
            continue;
        }
        free_.insert(known.row.server);
        ids_.erase(known.row.server);
        it = by_id_.erase(it);
    }
}

}  // namespace badgergrade::platform
