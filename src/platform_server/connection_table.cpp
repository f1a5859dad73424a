#include "platform_server/connection_table.h"

#include <utility>

#include "platform/protocol_words.h"

namespace badgergrade::platform_server {

using namespace std::chrono_literals;

namespace {

/// Whoever has not identified itself by then is rejected, so that idle connections don't hold
/// descriptors without bound.
constexpr Micros kIdentifyTimeout = 1200ms;
/// How often the time-outs are checked.
constexpr Micros kTimeoutCheckInterval = 100ms;
/// A rejected peer has this long to end its side, so that no input of its own turns our close into
/// a reset.
constexpr Micros kRejectedTimeout = 500ms;
/// Longest message of an unidentified peer, in bytes: a SUBSCRIBE or SOURCE is far shorter.
constexpr std::size_t kMaxUnidentifiedMessageBytes = 16 * 1024;
/// Most words in a message of an unidentified peer.
constexpr std::size_t kMaxUnidentifiedWords = 64;
/// Unfinished messages of all connections together, in bytes: bounds the memory.
constexpr std::size_t kMaxBufferedBytes = 4 * 1024 * 1024;
/// What one peer may leave unread, in bytes: a peer that reads nothing must not cost memory.
constexpr std::size_t kMaxUnsentBytes = 512 * 1024;
/// Longest reason in a NACK, in bytes.
constexpr std::size_t kMaxNackReasonBytes = 200;

}  // namespace

ConnectionTable::ConnectionTable(base::Clock& clock, base::ActorId actor,
                                 std::size_t max_connections, log::RateLimitedLogger& warnings)
    : clock_(clock),
      warnings_(warnings),
      max_connections_(max_connections),
      timeout_timer_(clock, actor) {}

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
    stream->on_end = [this, id](std::string why) {
        close(id, why);
    };
    Connection& connection = connections_[id];
    connection.stream = std::move(stream);
    connection.reader.set_limits({kMaxUnidentifiedMessageBytes, kMaxUnidentifiedWords});
    connection.since = clock_.now();
    unidentified_.insert(id);
}

// Failure guarded against: silent connections take all descriptors, and a proxy that wants to join
// is refused. Rejected and unidentified connections are ended for new ones, the oldest first.
void ConnectionTable::evict_unidentified() {
    while (connections_.size() >= max_connections_) {
        if (!rejected_.empty()) {
            close(rejected_.front(), "its place is wanted");
            continue;
        }
        if (unidentified_.empty()) {
            return;
        }
        const ConnectionId oldest = *unidentified_.begin();
        if (has_not_identified(oldest)) {
            reject(oldest, "its place is wanted");
        }
    }
}

// Failure guarded against: where hundreds of proxies dial at once and this process has only a part
// of a core, their messages lie unread for as long as a whole time-out, and proxies that identified
// themselves in time would be rejected. The socket is therefore read before the peer is judged.
bool ConnectionTable::has_not_identified(ConnectionId id) {
    // A copy of the pointer: reading may close the connection.
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
        if (now - connections_.at(oldest).since < kIdentifyTimeout) {
            return;
        }
        if (has_not_identified(oldest)) {
            reject(oldest, "did not join in time");
        }
    }
}

void ConnectionTable::close_rejected() {
    while (!rejected_.empty() &&
           clock_.now() - connections_.at(rejected_.front()).since >= kRejectedTimeout) {
        close(rejected_.front(), "was refused");
    }
}

void ConnectionTable::identify(ConnectionId id, ConnectionRole role) {
    unidentified_.erase(id);
    Connection& connection = connections_.at(id);
    connection.role = role;
    connection.since = clock_.now();
    connection.reader.set_limits({});
}

// ---- ends of connections

void ConnectionTable::reject(ConnectionId id, const std::string& why) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    ++rejected_total_;
    Connection& connection = it->second;
    warnings_.warn("connection.refused", {{"peer", connection.stream->peer()}, {"why", why}});
    release_connection(id, connection, why);
    connection.role = ConnectionRole::Rejected;
    connection.since = clock_.now();
    connection.reader = resp::Reader();
    rejected_.push_back(id);
    std::string bytes;
    resp::write(
        bytes, {platform::words::kNack, platform::words::kWhy, why.substr(0, kMaxNackReasonBytes)});
    connection.stream->write(bytes);
    connection.stream->finish_sending();
}

void ConnectionTable::close(ConnectionId id, const std::string& why) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    // Taken out first: the callback must find a table without this connection.
    const Connection connection = std::move(it->second);
    connections_.erase(it);
    if (connection.role == ConnectionRole::Rejected) {
        std::erase(rejected_, id);
    } else {
        release_connection(id, connection, why);
    }
    connection.stream->close(connection.stream->unsent() > 0);
}

void ConnectionTable::release_connection(ConnectionId id, const Connection& connection,
                                         const std::string& why) {
    unidentified_.erase(id);
    buffered_bytes_ -= connection.reader.buffered_bytes();
    if (connection.role != ConnectionRole::Unidentified) {
        on_released(id, connection, why);
    }
}

void ConnectionTable::close_all() {
    timeout_timer_.stop();
    // What the kernel has taken still reaches its peer. Bytes that are queued here can't be sent
    // any more: a reset shows the peer that its last message is not complete.
    for (auto& [id, connection] : connections_) {
        connection.stream->close(connection.stream->unsent() > 0);
    }
    connections_.clear();
    unidentified_.clear();
    rejected_.clear();
}

// ---- bytes

void ConnectionTable::on_data(ConnectionId id, std::string_view bytes) {
    for (;;) {
        // Found anew for each message: the one before may have closed or rejected the connection.
        const auto it = connections_.find(id);
        if (it == connections_.end() || it->second.role == ConnectionRole::Rejected) {
            return;
        }
        Connection& connection = it->second;
        buffered_bytes_ -= connection.reader.buffered_bytes();
        const auto message = connection.reader.read_message(bytes);
        buffered_bytes_ += connection.reader.buffered_bytes();
        if (!message) {
            return check_reader(id, connection.reader);
        }
        on_message(id, connection, *message);
    }
}

void ConnectionTable::check_reader(ConnectionId id, const resp::Reader& reader) {
    if (reader.error()) {
        return reject(id, "can't be read: " + reader.error()->text);
    }
    if (buffered_bytes_ > kMaxBufferedBytes &&
        reader.buffered_bytes() > kMaxUnidentifiedMessageBytes) {
        reject(id, "too many unfinished messages");
    }
}

void ConnectionTable::write(ConnectionId id, std::string_view bytes,
                            const std::string& why_unread) {
    // A copy of the pointer: the stream must outlive a close during the write.
    const net::StreamPtr stream = connections_.at(id).stream;
    stream->write(bytes);
    if (stream->unsent() > kMaxUnsentBytes) {
        close(id, why_unread);
    }
}

}  // namespace badgergrade::platform_server
