#include "platform_server/connection_table.h"

#include <utility>

#include "platform/protocol_words.h"

namespace badgergrade::platform_server {

using namespace std::chrono_literals;

namespace {

/// A connection that is not identified within this time is rejected, so that idle connections do
/// not occupy descriptors forever.
constexpr Micros kIdentifyTimeout = 1200ms;
/// How often the timeouts are checked.
constexpr Micros kTimeoutCheckInterval = 100ms;
/// How long a rejected peer may keep its side open. Its input is read meanwhile, because unread
/// input would turn the close into a reset.
constexpr Micros kRejectedTimeout = 500ms;
/// Limit for a message of an unidentified peer. SUBSCRIBE and SOURCE are far shorter.
constexpr std::size_t kMaxUnidentifiedMessageBytes = 16 * 1024;
/// Limit of the elements in a message of an unidentified peer.
constexpr std::size_t kMaxUnidentifiedElements = 64;
/// Limit for the bytes that wait to be sent to one peer, so that a peer that does not read uses
/// bounded memory.
constexpr std::size_t kMaxUnsentBytes = 512 * 1024;
/// The work of one turn: messages, each counted by what its handling took and by its length.
constexpr std::size_t kMaxWorkPerTurn = 128;
/// Bytes of a message that count like a short one.
constexpr std::size_t kBytesPerWork = 512;
/// Limit for the reason in a NACK.
constexpr std::size_t kMaxNackReasonBytes = 200;

}  // namespace

ConnectionTable::ConnectionTable(base::Clock& clock, base::ActorId actor,
                                 std::size_t max_connections, std::size_t max_held_bytes,
                                 log::RateLimitedLogger& warnings)
    : clock_(clock),
      warnings_(warnings),
      max_connections_(max_connections),
      memory_budget_(max_held_bytes),
      timeout_timer_(clock, actor),
      turn_timer_(clock, actor) {}

void ConnectionTable::start() {
    check_timeouts();
}

// ---- admission

void ConnectionTable::accept(net::StreamPtr stream) {
    evict_unidentified();
    if (connections_.size() >= max_connections_) {
        warnings_.warn("connection.no_room",
                       {{"peer", stream->peer()}, {"connections", connections_.size()}});
        return stream->close(true);
    }
    const ConnectionId id = ++last_id_;
    stream->on_data = [this, id](std::string_view bytes) {
        on_data(id, bytes);
    };
    stream->on_end = [this, id](std::string reason) {
        close(id, reason);
    };
    Connection& connection = connections_[id];
    connection.stream = std::move(stream);
    connection.reader.set_limits({kMaxUnidentifiedMessageBytes, kMaxUnidentifiedElements});
    connection.timeout_start = clock_.now();
    const auto measure = [this, id] {
        const auto it = connections_.find(id);
        return it == connections_.end() ? 0 : held_bytes(it->second);
    };
    connection.held_memory =
        std::make_unique<net::MemoryBudget::Account>(memory_budget_, measure, [this, id] {
            warnings_.warn("connection.memory_limit", {{"peer", connections_.at(id).stream->peer()},
                                                       {"held", memory_budget_.held_bytes()}});
            close(id, "memory limit of all connections exceeded: closed as the largest holder");
        });
    unidentified_.insert(id);
}

// Silent connections must not occupy all descriptors, because then no proxy could connect. At the
// limit, rejected and unidentified connections are closed for a new one, the oldest first.
void ConnectionTable::evict_unidentified() {
    while (connections_.size() >= max_connections_) {
        if (!rejected_.empty()) {
            close(rejected_.front(), "connection limit: closed for a new connection");
            continue;
        }
        if (unidentified_.empty()) {
            return;
        }
        const ConnectionId oldest = *unidentified_.begin();
        if (is_unidentified_after_read(oldest)) {
            reject(oldest, "connection limit: closed for a new connection");
        }
    }
}

// Reads the socket before deciding: when hundreds of proxies connect at once and this process gets
// only a part of a core, their messages may wait unread in the kernel for longer than the timeout,
// and proxies that sent SUBSCRIBE in time would be rejected.
bool ConnectionTable::is_unidentified_after_read(ConnectionId id) {
    // Copies the pointer, because reading may close the connection.
    const net::StreamPtr stream = connections_.at(id).stream;
    stream->take_unread();
    return unidentified_.contains(id);
}

void ConnectionTable::check_timeouts() {
    timeout_timer_.after(kTimeoutCheckInterval, [this] { check_timeouts(); });
    close_rejected();
    const Micros now = clock_.now();
    while (!unidentified_.empty()) {
        const ConnectionId oldest = *unidentified_.begin();
        if (now - connections_.at(oldest).timeout_start < kIdentifyTimeout) {
            return;
        }
        if (is_unidentified_after_read(oldest)) {
            reject(oldest, "no SUBSCRIBE or SOURCE within the identification timeout");
        }
    }
}

void ConnectionTable::close_rejected() {
    while (!rejected_.empty() &&
           clock_.now() - connections_.at(rejected_.front()).timeout_start >= kRejectedTimeout) {
        close(rejected_.front(), "timeout after the rejection");
    }
}

void ConnectionTable::identify(ConnectionId id, ConnectionRole role) {
    unidentified_.erase(id);
    Connection& connection = connections_.at(id);
    connection.role = role;
    connection.timeout_start = clock_.now();
    connection.reader.set_limits({});
}

// ---- ends of connections

void ConnectionTable::reject(ConnectionId id, const std::string& reason) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    ++rejected_total_;
    Connection& connection = it->second;
    warnings_.warn("connection.refused", {{"peer", connection.stream->peer()}, {"why", reason}});
    release_connection(id, connection, reason);
    connection.role = ConnectionRole::Rejected;
    connection.timeout_start = clock_.now();
    connection.reader = resp::Reader();
    connection.waiting_input = {};
    connection.stream->resume_reading();
    connection.held_memory->set(0);
    rejected_.push_back(id);
    std::string bytes;
    resp::write(bytes, {platform::words::kNack, platform::words::kReason,
                        reason.substr(0, kMaxNackReasonBytes)});
    connection.stream->write(bytes);
    connection.stream->finish_sending();
}

void ConnectionTable::close(ConnectionId id, const std::string& reason) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    // Removed first, because the callback must not find this connection in the table.
    const Connection connection = std::move(it->second);
    connections_.erase(it);
    if (connection.role == ConnectionRole::Rejected) {
        std::erase(rejected_, id);
    } else {
        release_connection(id, connection, reason);
    }
    connection.stream->close(connection.stream->unsent() > 0);
}

void ConnectionTable::release_connection(ConnectionId id, const Connection& connection,
                                         const std::string& reason) {
    unidentified_.erase(id);
    if (connection.role != ConnectionRole::Unidentified) {
        on_released(id, connection, reason);
    }
}

void ConnectionTable::close_all() {
    timeout_timer_.stop();
    turn_timer_.stop();
    turns_.clear();
    // Bytes that the kernel has accepted still reach the peer. Bytes that are queued here can no
    // longer be sent: a reset shows the peer that the last message is incomplete.
    for (auto& [id, connection] : connections_) {
        connection.stream->close(connection.stream->unsent() > 0);
    }
    connections_.clear();
    unidentified_.clear();
    rejected_.clear();
}

// ---- bytes

void ConnectionTable::on_data(ConnectionId id, std::string_view bytes) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    if (std::string& waiting = it->second.waiting_input; !waiting.empty()) {
        waiting += bytes;
        return account_memory(it->second);
    }
    end_turn(id, run_turn(id, bytes));
}

std::string_view ConnectionTable::run_turn(ConnectionId id, std::string_view bytes) {
    std::size_t work = 0;
    while (work < kMaxWorkPerTurn) {
        // Looked up again for each message: the previous one may have closed or rejected the
        // connection.
        const auto it = connections_.find(id);
        if (it == connections_.end() || it->second.role == ConnectionRole::Rejected) {
            return {};
        }
        Connection& connection = it->second;
        const std::size_t bytes_before = bytes.size();
        const auto message = connection.reader.read_message(bytes);
        if (!message) {
            if (connection.reader.error()) {
                reject(id, "invalid RESP: " + connection.reader.error()->text);
            }
            return {};
        }
        work += (bytes_before - bytes.size()) / kBytesPerWork;
        work += on_message(id, connection, *message);
    }
    return bytes;
}

void ConnectionTable::end_turn(ConnectionId id, std::string_view rest) {
    const auto it = connections_.find(id);
    if (it == connections_.end() || it->second.role == ConnectionRole::Rejected) {
        return;
    }
    Connection& connection = it->second;
    connection.waiting_input = std::string(rest);
    if (rest.empty()) {
        connection.stream->resume_reading();
    } else {
        connection.stream->pause_reading();
        turns_.push_back(id);
        if (!turn_timer_.set()) {
            turn_timer_.after(Micros{0}, [this] { run_next_turn(); });
        }
    }
    account_memory(connection);
}

// One connection for each pass of the loop, which then serves all sockets that are ready.
void ConnectionTable::run_next_turn() {
    const ConnectionId id = turns_.front();
    turns_.pop_front();
    if (!turns_.empty()) {
        turn_timer_.after(Micros{0}, [this] { run_next_turn(); });
    }
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    const std::string input = std::exchange(it->second.waiting_input, {});
    end_turn(id, run_turn(id, input));
}

void ConnectionTable::account_memory(Connection& connection) {
    connection.held_memory->set(held_bytes(connection));
    memory_budget_.enforce();
}

std::size_t ConnectionTable::held_bytes(const Connection& connection) {
    return connection.reader.held_bytes() + connection.stream->held_bytes() +
           connection.waiting_input.size();
}

void ConnectionTable::write(ConnectionId id, std::string_view bytes,
                            const std::string& overflow_reason) {
    // Copies the pointer, because the stream must outlive a close during the write.
    const net::StreamPtr stream = connections_.at(id).stream;
    stream->write(bytes);
    if (stream->unsent() > kMaxUnsentBytes) {
        return close(id, overflow_reason);
    }
    if (const auto it = connections_.find(id); it != connections_.end()) {
        account_memory(it->second);
    }
}

}  // namespace badgergrade::platform_server
