// Former owner's writers: which proxies may still write to the former owner of a shard, and when
// the last of them stops.
//
// A proxy stops writing to the former owner of a vacant shard when
//   - it applies a message that was sent after the shard became vacant, which its acknowledgement
//     proves; or
//   - its write lease ends: Settings::write_lease after its connection was lost or the shard came
//     to this instance, whichever is later; or
//   - its process is replaced: a proxy that has just started has no configuration.
// What it reads or is sent after that no longer names the former owner, so a lease that has begun
// to run out is not renewed by a new connection.
//
// Inputs: connections, lost connections and acknowledgements of proxies. No I/O, no clock.
#pragma once

#include <map>
#include <optional>

#include "policy/event.h"
#include "policy/ids.h"

namespace badgergrade::policy {

/// The proxies that may write to the former owners of shards that became vacant together.
class FormerOwnerWriters {
public:
    /// \param first_version  the first version that is sent after the shards became vacant
    /// \param unseen_until   when the lease ends of a proxy that never connected to this instance
    /// \param proxy_count    proxies of the deployment; 0: unknown
    FormerOwnerWriters(int first_version, Micros unseen_until, int proxy_count);

    /// Adds a proxy that was connected when the shards became vacant. Without `lease_end` it writes
    /// until it acknowledges the first version or its connection is lost.
    void add_connected(ProxyId proxy, std::optional<Micros> lease_end);
    /// Adds a proxy that was not connected when the shards became vacant.
    void add_disconnected(ProxyId proxy, Micros lease_end);

    void on_connected(Micros now, const event::ProxyConnected& event, Micros write_lease);
    void on_disconnected(Micros now, ProxyId proxy, Micros write_lease);
    void on_acknowledged(ProxyId proxy, int version, Micros applied_at);
    /// A request for acknowledgements was sent to all connected proxies.
    void on_acknowledgements_requested();

    /// When the last proxy stops writing; no value while one writes until it acknowledges.
    std::optional<Micros> last_write_at() const;
    /// Whether acknowledgements that were not requested yet could replace all leases that still
    /// run: one that must run out anyway makes the others irrelevant.
    bool needs_acknowledgements(Micros now) const;

private:
    struct Writer {
        /// When it stops; without a value, not before it acknowledges.
        std::optional<Micros> lease_end;
        bool connected = false;
        bool acknowledgement_requested = false;
    };

    static void stop(Writer& writer, Micros stopped_at);
    bool all_proxies_seen() const;

    int first_version_;
    Micros unseen_until_;
    int proxy_count_;
    std::map<ProxyId, Writer> writers_;
};

}  // namespace badgergrade::policy
