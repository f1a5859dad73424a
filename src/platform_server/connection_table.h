/// All connections of peers, from accept to close: which are admitted, which are ended, and what
/// the bytes on them say.
///
/// Re-entrance: reading a socket (take_unread), a message handler, or a write can close any
/// connection, the current one included. Code that keeps working on a connection after one of these
/// finds it by its id again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "log/log_rate_limiter.h"
#include "net/network.h"
#include "platform_server/pending_acks.h"
#include "policy/ids.h"
#include "resp/resp.h"

namespace badgergrade::platform_server {

/// Rises with each connection: the smallest id is the oldest connection.
using ConnectionId = std::uint64_t;

enum class ConnectionRole {
    Unidentified,  ///< Has not said yet who it is.
    Collector,     ///< Sends the load reports of one zone.
    Proxy,         ///< Carries the configuration of one proxy.
    Rejected,      ///< Was sent NACK and half-closed; what it still sends is read and dropped, so
                   ///< that our close does not become a reset that costs it the NACK.
};

struct Connection {
    net::StreamPtr stream;
    resp::Reader reader;
    ConnectionRole role = ConnectionRole::Unidentified;
    /// When it was accepted (unidentified), last sent a message (collector) or was rejected.
    Micros since{};
    ProxyId proxy;               ///< Of a proxy's connection.
    ZoneId zone;                 ///< Of a collector's connection.
    PendingAcks pending_acks{};  ///< Of a proxy's connection: versions sent on this very stream.
};

/// Admission, identification time-out, rejection and closing of connections. Everything runs on
/// the loop's one thread.
class ConnectionTable {
public:
    /// At most `max_connections` are open at a time.
    ConnectionTable(base::Clock& clock, base::ActorId actor, std::size_t max_connections,
                    log::RateLimitedLogger& warnings);
    ConnectionTable(const ConnectionTable&) = delete;
    ConnectionTable& operator=(const ConnectionTable&) = delete;

    /// Called for each complete message of a connection that is not rejected. May close or reject
    /// any connection, this one included.
    std::function<void(ConnectionId, Connection&, const resp::Message&)> on_message;
    /// Called once for an identified connection when it is rejected or closed, before its stream
    /// is; not called by close_all(). May not close connections.
    std::function<void(ConnectionId, const Connection&, const std::string& why)> on_released;

    /// Begins the periodic check of the time-outs.
    void start();
    /// Admits a connection, at the expense of one that holds a place without having identified
    /// itself; closes it where there is none.
    void accept(net::StreamPtr stream);
    /// Marks a connection as identified: it no longer times out and may send large messages.
    void identify(ConnectionId id, ConnectionRole role);
    /// Sends NACK with the reason, half-closes, and closes a little later. No-op on unknown ids.
    void reject(ConnectionId id, const std::string& why);
    /// Closes at once: gracefully where all bytes have left, with a reset otherwise. No-op on
    /// unknown ids.
    void close(ConnectionId id, const std::string& why);
    /// Writes to a connection, and closes it for the reason `why_unread` where its peer has left
    /// too much unread. The connection must exist.
    void write(ConnectionId id, std::string_view bytes, const std::string& why_unread);
    /// Closes all connections and stops the checks; no callback is called any more.
    void close_all();

    /// The connection, which must exist. The reference is valid until the connection is closed.
    Connection& at(ConnectionId id) { return connections_.at(id); }

    std::size_t size() const { return connections_.size(); }

    std::size_t max_size() const { return max_connections_; }

    std::size_t unidentified() const { return unidentified_.size(); }

    /// Connections rejected so far.
    std::int64_t rejected_total() const { return rejected_total_; }

    /// Bytes of unfinished messages of all connections together.
    std::size_t buffered_bytes() const { return buffered_bytes_; }

private:
    void on_data(ConnectionId id, std::string_view bytes);
    void check_reader(ConnectionId id, const resp::Reader& reader);
    void evict_unidentified();
    bool has_not_identified(ConnectionId id);
    void check_timeouts();
    void close_rejected();
    void release_connection(ConnectionId id, const Connection& connection, const std::string& why);

    base::Clock& clock_;
    log::RateLimitedLogger& warnings_;
    std::size_t max_connections_;
    std::map<ConnectionId, Connection> connections_;
    std::set<ConnectionId> unidentified_;
    std::deque<ConnectionId> rejected_;  // in the order of their rejection
    ConnectionId last_id_ = 0;
    std::size_t buffered_bytes_ = 0;
    std::int64_t rejected_total_ = 0;
    base::Timer timeout_timer_;
};

}  // namespace badgergrade::platform_server
