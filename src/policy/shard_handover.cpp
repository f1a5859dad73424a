// The waits of vacant exclusive shards; shard_handover.h has the rule.
#include "policy/shard_handover.h"

#include <algorithm>

namespace badgergrade::policy {
namespace {

/// Versions whose time of sending is kept. The acknowledgement of an older one counts from its
/// arrival.
constexpr std::size_t kMaxSentVersions = 64;

}  // namespace

ShardHandover::ShardHandover(const Settings& settings)
    : handover_delay_(settings.shard_handover_delay),
      write_lease_(settings.write_lease),
      max_network_delay_(settings.max_network_delay),
      proxy_count_(settings.proxy_count) {}

void ShardHandover::on_arrived(Micros now, TableId shard, const Proxies& proxies,
                               int next_version) {
    arrived_at_[shard] = now;
    start_wait(shard, {now, now, false}, proxies, next_version);
}

void ShardHandover::on_owner(TableId shard) {
    end_wait(shard);
}

void ShardHandover::on_taken(TableId shard) {
    end_wait(shard);
    arrived_at_.erase(shard);
}

void ShardHandover::on_proxy_connected(Micros now, const event::ProxyConnected& event) {
    for (auto& [key, wait] : waits_) {
        wait.writers.on_connected(now, event, write_lease_);
    }
}

void ShardHandover::on_proxy_disconnected(Micros now, ProxyId proxy) {
    for (auto& [key, wait] : waits_) {
        wait.writers.on_disconnected(now, proxy, write_lease_);
    }
}

void ShardHandover::on_acknowledged(Micros now, const event::ConfigAcknowledged& event) {
    const Micros stopped_at = applied_at(now, event);
    for (auto& [key, wait] : waits_) {
        wait.writers.on_acknowledged(event.proxy, event.version.value, stopped_at);
    }
}

void ShardHandover::on_removed(Micros now, TableId shard, const Proxies& proxies,
                               int next_version) {
    start_wait(shard, {arrived_at(shard), now, true}, proxies, next_version);
}

void ShardHandover::on_version_sent(Micros now, int version) {
    sent_versions_.push_back({version, now});
    if (sent_versions_.size() > kMaxSentVersions) {
        sent_versions_.pop_front();
    }
    for (auto& [key, wait] : waits_) {
        wait.writers.on_acknowledgements_requested();
    }
}

std::optional<Micros> ShardHandover::next_owner_at(TableId shard) const {
    const auto vacant = vacant_.find(shard);
    if (vacant == vacant_.end()) {
        return Micros::min();
    }
    const auto last_write_at = waits_.at(vacant->second).writers.last_write_at();
    if (!last_write_at) {
        return std::nullopt;
    }
    return *last_write_at + handover_delay_;
}

std::optional<Micros> ShardHandover::next_owner_after(Micros now) const {
    std::optional<Micros> next;
    for (const auto& [key, wait] : waits_) {
        const auto last_write_at = wait.writers.last_write_at();
        if (!last_write_at || *last_write_at + handover_delay_ <= now) {
            continue;
        }
        const Micros at = *last_write_at + handover_delay_;
        next = std::min(next.value_or(at), at);
    }
    return next;
}

// A request that takes longer to reach a proxy than its lease runs saves nothing.
bool ShardHandover::needs_acknowledgements(Micros now) const {
    return std::ranges::any_of(waits_, [&](const auto& entry) {
        const FormerOwnerWriters& writers = entry.second.writers;
        const auto last_write_at = writers.last_write_at();
        return (!last_write_at || *last_write_at > now + max_network_delay_) &&
               writers.needs_acknowledgements(now);
    });
}

Micros ShardHandover::disconnected_lease_end(TableId shard, const Proxies& proxies) const {
    const Micros arrived = arrived_at(shard);
    const bool all_seen = proxy_count_ > 0 && std::ssize(proxies) >= proxy_count_;
    Micros last = all_seen ? Micros::min() : arrived + write_lease_;
    for (const auto& [id, proxy] : proxies) {
        if (!proxy.connected) {
            last = std::max(last, lease_end(proxy, arrived));
        }
    }
    return last;
}

void ShardHandover::start_wait(TableId shard, const WaitKey& key, const Proxies& proxies,
                               int next_version) {
    end_wait(shard);
    auto found = waits_.find(key);
    if (found == waits_.end()) {
        found = waits_.emplace(key, Wait{create_writers(key, proxies, next_version)}).first;
    }
    ++found->second.shard_count;
    vacant_[shard] = key;
}

FormerOwnerWriters ShardHandover::create_writers(const WaitKey& key, const Proxies& proxies,
                                                 int next_version) const {
    const Micros arrival_lease_end = key.arrived_at + write_lease_;
    FormerOwnerWriters writers(next_version, arrival_lease_end, proxy_count_);
    for (const auto& [id, proxy] : proxies) {
        if (!proxy.connected) {
            writers.add_disconnected(id, lease_end(proxy, key.arrived_at));
        } else if (key.owner_removed) {
            writers.add_connected(id, std::nullopt);
        } else {
            writers.add_connected(id, arrival_lease_end);
        }
    }
    return writers;
}

void ShardHandover::end_wait(TableId shard) {
    const auto vacant = vacant_.find(shard);
    if (vacant == vacant_.end()) {
        return;
    }
    const auto wait = waits_.find(vacant->second);
    if (--wait->second.shard_count == 0) {
        waits_.erase(wait);
    }
    vacant_.erase(vacant);
}

Micros ShardHandover::arrived_at(TableId shard) const {
    const auto found = arrived_at_.find(shard);
    return found == arrived_at_.end() ? Micros::min() : found->second;
}

Micros ShardHandover::lease_end(const Proxy& proxy, Micros arrived_at) const {
    return std::max(proxy.disconnected_at, arrived_at) + write_lease_;
}

// The reported delay says when the version took effect, which may be long before its
// acknowledgement arrives.
Micros ShardHandover::applied_at(Micros now, const event::ConfigAcknowledged& event) const {
    const auto sent = std::ranges::find(sent_versions_, event.version.value, &SentVersion::version);
    if (sent == sent_versions_.end() || event.delay < Micros{0}) {
        return now;
    }
    return std::min(now, sent->sent_at + event.delay);
}

}  // namespace badgergrade::policy
