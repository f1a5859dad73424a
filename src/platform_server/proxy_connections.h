/// Tracks the current connection of each proxy.
///
/// A proxy may reconnect before the end of its previous connection is seen, so that it has two open
/// connections for a moment. The current one is always the one on which its latest SUBSCRIBE
/// arrived, whatever the order in which the connections were accepted:
/// - on SUBSCRIBE the server closes the previous connection, and the planner sees the proxy
///   disconnect and connect again;
/// - the new connection gets the complete tables again; acknowledgements of versions that were sent
///   on the previous one are not valid on it (PendingAcks belongs to one connection);
/// - the end of a connection that is not the current one does not disconnect the proxy.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "platform_server/connection_table.h"
#include "policy/ids.h"

namespace badgergrade::platform_server {

/// The current connection of each connected proxy.
class ProxyConnections {
public:
    /// Returns the current connection of a proxy, if it is connected.
    std::optional<ConnectionId> find(ProxyId proxy) const {
        const auto it = connections_.find(proxy);
        return it == connections_.end() ? std::nullopt : std::optional(it->second);
    }

    /// Makes this connection the current one of the proxy.
    void set(ProxyId proxy, ConnectionId id) { connections_[proxy] = id; }

    /// Removes this connection if it is the proxy's current one. Returns whether it was.
    bool remove(ProxyId proxy, ConnectionId id) {
        const auto it = connections_.find(proxy);
        if (it == connections_.end() || it->second != id) {
            return false;
        }
        connections_.erase(it);
        return true;
    }

    std::size_t size() const { return connections_.size(); }

    void clear() { connections_.clear(); }

private:
    std::map<ProxyId, ConnectionId> connections_;
};

}  // namespace badgergrade::platform_server
