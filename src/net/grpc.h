/// gRPC over HTTP/2, as client and as server: bidirectional calls on one connection, keepalive, and
/// limits on the memory that a peer can use.
///
/// Framing (gRPC's PROTOCOL-HTTP2): a byte for compression, which must be 0 here, the length of the
/// message in four bytes, big-endian, and the message.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "net/http2.h"
#include "net/memory_budget.h"
#include "net/network.h"

namespace badgergrade::net {

/// The gRPC status codes that this program sends.
enum class GrpcStatus {
    Ok = 0,
    Cancelled = 1,
    InvalidArgument = 3,
    AlreadyExists = 6,
    PermissionDenied = 7,
    ResourceExhausted = 8,
    Unimplemented = 12,
    Internal = 13,
    Unavailable = 14
};

/// A message with its frame header.
std::string grpc_frame(std::string_view message);

/// Splits a byte stream into messages.
class GrpcFramer {
public:
    explicit GrpcFramer(std::size_t max_message_bytes) : max_message_bytes_(max_message_bytes) {}

    /// Calls `on_message` for each complete message. False at a compressed or oversized one:
    /// error() then holds the reason.
    bool feed(std::string_view bytes, const std::function<void(std::string_view)>& on_message);

    const std::string& error() const { return error_; }

    /// Whether part of a message has been received.
    bool midway() const { return !buffer_.empty(); }

    /// Memory of the part that has been received.
    std::size_t held_bytes() const { return buffer_.capacity(); }

private:
    std::size_t max_message_bytes_;
    std::string buffer_;
    std::string error_;
};

/// Limits of one connection.
struct GrpcLimits {
    Http2Limits http2;
    std::size_t message_bytes = 4 * 1024 * 1024;
    /// Limit of the bytes that wait to be sent. A peer that does not read and exceeds it is
    /// disconnected.
    std::size_t waiting_bytes = 8 * 1024 * 1024;
    /// Limit of the memory that all connections of a server hold: incomplete messages, header
    /// lists, and bytes that wait to be sent. The largest holders are disconnected beyond it.
    std::size_t held_bytes = std::size_t{256} << 20;
    /// A PING is sent when nothing was received for this time. The connection is closed if nothing
    /// is received for the same time again. 0 disables both.
    Micros keepalive{};
};

class GrpcConnection;

/// One call. The connection and the user share it; when it is closed, sending has no effect.
class GrpcCall : public std::enable_shared_from_this<GrpcCall> {
public:
    GrpcCall(GrpcConnection& connection, std::int32_t stream, std::string path,
             std::size_t max_message_bytes);

    std::function<void(std::string_view)> on_message;
    /// The peer has ended its half of the call normally.
    std::function<void()> on_half_closed;
    /// The call is closed, for whatever reason. Called once, with the reason; empty after a normal
    /// end.
    std::function<void(std::string)> on_closed;

    const std::string& path() const { return path_; }

    std::string peer() const;
    /// Bytes that wait to be sent on the connection of this call.
    std::size_t waiting() const;

    bool open() const { return connection_ != nullptr; }

    void send(std::string_view message);
    /// Sends a message whose first part is shared with other calls, without copying that part.
    void send(std::shared_ptr<const std::string> common, std::string_view rest);
    /// Server: ends the call with a status. Client: ends its half of the call.
    void finish(GrpcStatus status = GrpcStatus::Ok, std::string_view message = {});
    /// Closes the whole connection at once.
    void abort(const std::string& reason);
    /// Collects the messages that are sent until the matching uncork(), to write them at once.
    void cork();
    void uncork();

private:
    friend class GrpcConnection;
    void end(const std::string& reason);

    GrpcConnection* connection_;
    std::int32_t stream_;
    std::string path_;
    GrpcFramer framer_;
    bool finished_ = false;
    /// Client: the status in the trailers, as text, unless it is OK.
    std::string status_;
};

using GrpcCallPtr = std::shared_ptr<GrpcCall>;

/// One HTTP/2 connection that carries gRPC calls.
class GrpcConnection : public std::enable_shared_from_this<GrpcConnection> {
public:
    GrpcConnection(Loop& loop, base::ActorId actor, Http2Session::Role role, StreamPtr stream,
                   GrpcLimits limits);
    ~GrpcConnection();

    /// Server: a call was opened. The callback sets the handlers of the call; without `on_message`
    /// the call ends with UNIMPLEMENTED.
    std::function<void(GrpcCallPtr)> on_call;
    /// The connection is closed, with the reason; empty after a normal end. Not called from
    /// close().
    std::function<void(std::string)> on_closed;

    void start();
    /// Client: opens a call of the method at `path`.
    GrpcCallPtr call(const std::string& path);
    /// Closes normally: sends GOAWAY and what is queued, then closes the socket.
    void close();
    /// Closes at once. `reason` is passed to the calls.
    void abort(const std::string& reason);

    std::string peer() const { return stream_->peer(); }

    /// Bytes that wait to be sent.
    std::size_t waiting() const { return session_.queued() + stream_->unsent(); }

    /// Memory of incomplete messages, header lists, and bytes that wait to be sent.
    std::size_t held_bytes() const;
    /// Counts what the connection holds in a budget, which must outlive it.
    void set_budget(MemoryBudget& budget);

private:
    friend class GrpcCall;
    void on_bytes(std::string_view bytes);
    void handle_headers(std::int32_t id, const Http2Headers& headers, bool last);
    /// Writes what the session has to send. Fails the connection if too many bytes wait then.
    void flush();
    /// Closes the connection with a reason, empty for a normal end. While the session processes
    /// received bytes, the close is deferred.
    void fail(const std::string& reason);
    void end_calls(const std::string& reason);
    void account_memory();
    void check_keepalive();

    Loop& loop_;
    Http2Session::Role role_;
    GrpcLimits limits_;
    StreamPtr stream_;
    Http2Session session_;
    std::map<std::int32_t, GrpcCallPtr> calls_;
    base::Timer keepalive_;
    Micros last_received_at_{};
    bool ping_pending_ = false;
    /// Whether the session is processing received bytes.
    bool receiving_ = false;
    bool ended_ = false;
    /// Number of cork() calls without their uncork().
    int corks_ = 0;
    /// Reason of a failure while `receiving_`, handled afterwards.
    std::string deferred_failure_;
    MemoryBudget* budget_ = nullptr;
    std::unique_ptr<MemoryBudget::Account> held_memory_;
};

using GrpcConnectionPtr = std::shared_ptr<GrpcConnection>;

/// Accepts connections at one address and passes their calls on.
class GrpcServer {
public:
    GrpcServer(Loop& loop, base::ActorId actor, std::string host, const Address& at,
               GrpcLimits limits, std::size_t max_connections);
    ~GrpcServer();

    std::function<void(GrpcCallPtr)> on_call;
    /// For the log: a connection that ended with an error or was refused.
    std::function<void(const std::string& peer, const std::string& reason)> on_trouble;

    /// Sets the callback for a failure to accept a connection, for example for lack of file
    /// descriptors.
    void on_exhausted(std::function<void(std::string)> callback) {
        listener_->on_trouble(std::move(callback));
    }

    Address address() const { return listener_->address(); }

    /// Closes all connections, normally if `graceful`, else at once.
    void close(bool graceful);

    std::size_t connections() const { return connections_.size(); }

    /// Memory that all connections hold.
    std::size_t held_bytes() const { return memory_budget_.held_bytes(); }

private:
    void accept(StreamPtr stream);
    Loop& loop_;
    base::ActorId actor_;
    GrpcLimits limits_;
    std::size_t max_connections_;
    std::uint64_t last_id_ = 0;
    /// Before the connections, which have accounts in it.
    MemoryBudget memory_budget_;
    std::map<std::uint64_t, GrpcConnectionPtr> connections_;
    std::unique_ptr<Listener> listener_;
};

}  // namespace badgergrade::net
