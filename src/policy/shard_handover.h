// Shard handover: when the next owner of a vacant exclusive shard may be published.
//
// Rule: no proxy can still be writing to the former owner (former_owner_writers.h), and
// Settings::shard_handover_delay has passed since, so that the writes that were accepted until then
// have concluded. A shard that arrives without an owner may have lost it at any earlier moment,
// with the removal still on its way to the proxies, so it counts as vacant since its arrival.
//
// Inputs: when shards arrive and become vacant, connections and acknowledgements of proxies, and
// the versions that were sent. No I/O, no clock.
//
// Invariant: a wait never gets shorter than the rule says; it does get shorter than first known
// when acknowledgements arrive.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "policy/event.h"
#include "policy/fleet_state.h"
#include "policy/former_owner_writers.h"
#include "policy/settings.h"

namespace badgergrade::policy {

class ShardHandover {
public:
    using Proxies = std::map<ProxyId, Proxy>;

    explicit ShardHandover(const Settings& settings);

    /// This instance has become responsible for a shard, which has no owner unless on_owner()
    /// follows. `next_version` is the version that is sent next.
    void on_arrived(Micros now, TableId shard, const Proxies& proxies, int next_version);
    /// The shard has an owner.
    void on_owner(TableId shard);
    /// Another instance has become responsible for the shard.
    void on_taken(TableId shard);
    void on_proxy_connected(Micros now, const event::ProxyConnected& event);
    void on_proxy_disconnected(Micros now, ProxyId proxy);
    void on_acknowledged(Micros now, const event::ConfigAcknowledged& event);

    /// The owner of the shard is removed under the version that is sent next.
    void on_removed(Micros now, TableId shard, const Proxies& proxies, int next_version);
    /// A version was sent to all connected proxies with a request for acknowledgements.
    void on_version_sent(Micros now, int version);

    /// When the next owner may be published: not before this moment and, without a value, not
    /// before further events. The past for a shard that is not vacant.
    std::optional<Micros> next_owner_at(TableId shard) const;
    /// The earliest of these moments that is in the future, over all shards.
    std::optional<Micros> next_owner_after(Micros now) const;
    /// Whether a request for acknowledgements now would end a wait earlier.
    bool needs_acknowledgements(Micros now) const;

    /// Whether any shard is vacant.
    bool any_vacant() const { return !vacant_.empty(); }

    /// When the last proxy that is not connected stops writing to the shard's present owner.
    Micros disconnected_lease_end(TableId shard, const Proxies& proxies) const;

private:
    /// Shards that become vacant together wait for the same proxies.
    struct WaitKey {
        Micros arrived_at;
        Micros vacant_since;
        bool owner_removed;
        friend auto operator<=>(const WaitKey&, const WaitKey&) = default;
    };

    struct Wait {
        FormerOwnerWriters writers;
        int shard_count = 0;
    };

    /// A version that was sent, and when.
    struct SentVersion {
        int version;
        Micros sent_at;
    };

    void start_wait(TableId shard, const WaitKey& key, const Proxies& proxies, int next_version);
    FormerOwnerWriters create_writers(const WaitKey& key, const Proxies& proxies,
                                      int next_version) const;
    void end_wait(TableId shard);
    Micros arrived_at(TableId shard) const;
    /// When a lease ends that has run since a proxy's connection was lost or the shard arrived.
    Micros lease_end(const Proxy& proxy, Micros arrived_at) const;
    Micros applied_at(Micros now, const event::ConfigAcknowledged& event) const;

    Micros handover_delay_;
    Micros write_lease_;
    Micros max_network_delay_;
    int proxy_count_;
    /// When this instance became responsible for each of its shards.
    std::map<TableId, Micros> arrived_at_;
    /// The wait of each vacant shard.
    std::map<TableId, WaitKey> vacant_;
    /// Dropped with the last shard that waits.
    std::map<WaitKey, Wait> waits_;
    /// The newest versions, oldest first.
    std::deque<SentVersion> sent_versions_;
};

}  // namespace badgergrade::policy
