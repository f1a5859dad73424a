/// Which connection carries the configuration of which proxy.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "platform_server/connection_table.h"
#include "policy/ids.h"

namespace badgergrade::platform_server {

/// The newest connection of each proxy that has identified itself.
///
/// Failure guarded against: a proxy dials anew before the end of its old stream is seen. The end
/// that then arrives late must not disconnect the proxy: the newest connection stands, and
/// the end of another one changes nothing.
class ProxyConnections {
public:
    /// The connection of a proxy, if it has one.
    std::optional<ConnectionId> find(ProxyId proxy) const {
        const auto it = connections_.find(proxy);
        return it == connections_.end() ? std::nullopt : std::optional(it->second);
    }

    /// Makes this connection the one of the proxy.
    void set(ProxyId proxy, ConnectionId id) { connections_[proxy] = id; }

    /// Forgets the connection of the proxy if it is this one; whether it was.
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
