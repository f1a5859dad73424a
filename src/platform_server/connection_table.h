/// All connections of peers, from accept to close: admission, identification timeout, message
/// framing, send buffer limit, rejection and closing.
///
/// Life of a connection: Unidentified until it sends SUBSCRIBE or SOURCE, then Proxy or Collector.
/// A rejected connection is sent NACK and closed shortly after. A connection is rejected if its
/// bytes are not valid RESP, or if it is unidentified and sends anything but PING or does not
/// identify itself in time. If incomplete messages and unsent bytes of all connections together
/// occupy too much memory, those that hold most are closed. At the connection limit a new
/// connection evicts rejected ones first, then the oldest unidentified one; identified connections
/// are never evicted for it.
///
/// Turns: a connection whose input takes more work than one turn allows keeps the rest and is not
/// read meanwhile. The connections with such a rest get one turn after the other, and between two
/// of them the loop serves all others. So a peer at full speed delays others by one turn, whatever
/// the number and kind of its messages.
///
/// Re-entrancy: reading a socket (take_unread), a message handler, or a write can close any
/// connection, including the current one. Code that continues to use a connection after one of
/// these must look it up by its id again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "log/log_rate_limiter.h"
#include "net/memory_budget.h"
#include "net/network.h"
#include "platform_server/pending_acks.h"
#include "policy/ids.h"
#include "resp/resp.h"

namespace badgergrade::platform_server {

/// Increases with each connection: the smallest id is the oldest connection.
using ConnectionId = std::uint64_t;

enum class ConnectionRole {
    Unidentified,  ///< Has not sent SUBSCRIBE or SOURCE yet.
    Collector,     ///< Sends the load reports of one zone.
    Proxy,         ///< Receives the configuration of one proxy.
    Rejected,      ///< Was sent NACK and half-closed. Its further input is read and discarded:
                   ///< closing a socket with unread input sends a reset, which may destroy the
                   ///< NACK before the peer reads it.
};

struct Connection {
    net::StreamPtr stream;
    resp::Reader reader;
    ConnectionRole role = ConnectionRole::Unidentified;
    /// When the connection was accepted (Unidentified), identified (Proxy), last sent a message
    /// (Collector) or was rejected (Rejected). Timeouts and the eviction of collectors start here.
    Micros timeout_start{};
    ProxyId proxy;               ///< set if role is Proxy
    ZoneId zone;                 ///< set if role is Collector
    PendingAcks pending_acks{};  ///< Proxy only: versions sent on this connection
    /// Input that waits for the connection's next turn.
    std::string waiting_input{};
    /// The memory of its incomplete message, its waiting input and its unsent bytes.
    std::unique_ptr<net::MemoryBudget::Account> held_memory{};
};

/// Owns the connections. Not thread-safe: used on the loop's thread only.
class ConnectionTable {
public:
    /// \param max_connections  limit of simultaneously open connections
    /// \param max_held_bytes   limit of the memory that all connections together hold
    /// \param warnings         log for events that peers can cause
    ConnectionTable(base::Clock& clock, base::ActorId actor, std::size_t max_connections,
                    std::size_t max_held_bytes, log::RateLimitedLogger& warnings);
    ConnectionTable(const ConnectionTable&) = delete;
    ConnectionTable& operator=(const ConnectionTable&) = delete;

    /// Called for each complete message of a connection that is not rejected. May close or reject
    /// any connection, including this one. Returns the work that it took: 1 for a short message.
    std::function<std::size_t(ConnectionId, Connection&, const resp::Message&)> on_message;
    /// Called once for a connection that had been identified, when it is rejected or closed and
    /// before its stream is closed. Not called by close_all(). Must not close connections.
    std::function<void(ConnectionId, const Connection&, const std::string& reason)> on_released;

    /// Starts the periodic check of the timeouts.
    void start();
    /// Admits a new connection. At the connection limit, a rejected or unidentified one is closed
    /// for it; if there is none, the new connection is reset.
    void accept(net::StreamPtr stream);
    /// Marks a connection as identified: it no longer times out and may send large messages.
    void identify(ConnectionId id, ConnectionRole role);
    /// Sends NACK with the reason, half-closes the connection, and closes it when the peer does or
    /// after a timeout. Unknown ids are ignored.
    void reject(ConnectionId id, const std::string& reason);
    /// Closes a connection immediately: gracefully if all bytes have been passed to the kernel,
    /// otherwise with a reset. Unknown ids are ignored.
    void close(ConnectionId id, const std::string& reason);
    /// Writes to a connection, which must exist. Closes it with `overflow_reason` if more bytes are
    /// then unsent than a peer that does not read may occupy.
    void write(ConnectionId id, std::string_view bytes, const std::string& overflow_reason);
    /// Closes all connections and stops the checks. Calls no callbacks.
    void close_all();

    /// Returns a connection, which must exist. The reference is valid until it is closed.
    Connection& at(ConnectionId id) { return connections_.at(id); }

    std::size_t size() const { return connections_.size(); }

    std::size_t max_size() const { return max_connections_; }

    /// Number of connections that have not identified themselves.
    std::size_t unidentified_count() const { return unidentified_.size(); }

    /// Number of connections rejected since the start.
    std::int64_t rejected_total() const { return rejected_total_; }

    /// Memory of the incomplete messages and unsent bytes of all connections.
    std::size_t held_bytes() const { return memory_budget_.held_bytes(); }

private:
    void on_data(ConnectionId id, std::string_view bytes);
    /// Handles messages for one turn. Returns the bytes that are left.
    std::string_view run_turn(ConnectionId id, std::string_view bytes);
    /// Keeps the rest of a turn's input for the next one.
    void end_turn(ConnectionId id, std::string_view rest);
    void run_next_turn();
    /// Counts what the connection holds, and closes the largest holders over the limit.
    void account_memory(Connection& connection);
    static std::size_t held_bytes(const Connection& connection);
    void evict_unidentified();
    bool is_unidentified_after_read(ConnectionId id);
    void check_timeouts();
    void close_rejected();
    void release_connection(ConnectionId id, const Connection& connection,
                            const std::string& reason);

    base::Clock& clock_;
    log::RateLimitedLogger& warnings_;
    std::size_t max_connections_;
    /// Before the connections, which have accounts in it.
    net::MemoryBudget memory_budget_;
    std::map<ConnectionId, Connection> connections_;
    std::set<ConnectionId> unidentified_;
    std::deque<ConnectionId> rejected_;  // in the order of rejection
    ConnectionId last_id_ = 0;
    std::int64_t rejected_total_ = 0;
    base::Timer timeout_timer_;
    /// Connections with waiting input, in the order of their turns. May hold closed ones.
    std::deque<ConnectionId> turns_;
    base::Timer turn_timer_;
};

}  // namespace badgergrade::platform_server
