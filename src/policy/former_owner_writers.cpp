// When proxies stop writing to the former owner of a shard; former_owner_writers.h has the rule.
#include "policy/former_owner_writers.h"

#include <algorithm>

#include "policy/send_budget.h"

namespace badgergrade::policy {

FormerOwnerWriters::FormerOwnerWriters(int first_version, Micros unseen_until, int proxy_count)
    : first_version_(first_version),
      unseen_until_(unseen_until),
      proxy_count_(proxy_count) {}

void FormerOwnerWriters::add_connected(ProxyId proxy, std::optional<Micros> lease_end) {
    writers_[proxy] = {.lease_end = lease_end, .connected = true};
}

void FormerOwnerWriters::add_disconnected(ProxyId proxy, Micros lease_end) {
    writers_[proxy] = {.lease_end = lease_end};
}

void FormerOwnerWriters::on_connected(Micros now, const event::ProxyConnected& event,
                                      Micros write_lease) {
    const auto [it, is_new] = writers_.try_emplace(event.proxy);
    Writer& writer = it->second;
    if (is_new) {
        writer.lease_end = unseen_until_;
    }
    if (writer.connected && !writer.lease_end) {
        // The earlier connection was lost without notice, and with it what was sent on it.
        writer.lease_end = now + write_lease;
    }
    writer.connected = true;
    writer.acknowledgement_requested = false;
    if (event.fresh_start) {
        stop(writer, now);
    }
}

void FormerOwnerWriters::on_disconnected(Micros now, ProxyId proxy, Micros write_lease) {
    const auto found = writers_.find(proxy);
    if (found == writers_.end()) {
        return;
    }
    Writer& writer = found->second;
    writer.connected = false;
    if (!writer.lease_end) {
        writer.lease_end = now + write_lease;
    }
}

void FormerOwnerWriters::on_acknowledged(ProxyId proxy, int version, Micros applied_at) {
    const auto found = writers_.find(proxy);
    if (found != writers_.end() && !is_newer(first_version_, version)) {
        stop(found->second, applied_at);
    }
}

void FormerOwnerWriters::on_acknowledgements_requested() {
    for (auto& [id, writer] : writers_) {
        writer.acknowledgement_requested = writer.connected;
    }
}

void FormerOwnerWriters::stop(Writer& writer, Micros stopped_at) {
    writer.lease_end = std::min(stopped_at, writer.lease_end.value_or(stopped_at));
}

bool FormerOwnerWriters::all_proxies_seen() const {
    return proxy_count_ > 0 && std::ssize(writers_) >= proxy_count_;
}

std::optional<Micros> FormerOwnerWriters::last_write_at() const {
    std::optional<Micros> last;
    if (!all_proxies_seen()) {
        last = unseen_until_;
    }
    for (const auto& [id, writer] : writers_) {
        if (!writer.lease_end) {
            return std::nullopt;
        }
        last = std::max(last.value_or(*writer.lease_end), *writer.lease_end);
    }
    return last;
}

bool FormerOwnerWriters::needs_acknowledgements(Micros now) const {
    if (!all_proxies_seen() && unseen_until_ > now) {
        return false;
    }
    bool any_missing = false;
    for (const auto& [id, writer] : writers_) {
        const bool stopped = writer.lease_end && *writer.lease_end <= now;
        if (!stopped && !writer.connected) {
            return false;
        }
        any_missing |= !stopped && !writer.acknowledgement_requested;
    }
    return any_missing;
}

}  // namespace badgergrade::policy
