// gRPC over HTTP/2 on one connection, either role: calls with messages both ways. Framing
// (grpc.io's PROTOCOL-HTTP2): each message is a byte of compression (0 only here), a length of four
// bytes, the message.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "net/http2.h"
#include "net/network.h"

namespace badgergrade::net {

// The status codes of gRPC that we answer.
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

std::string grpc_frame(std::string_view message);

// Takes a byte stream apart into messages.
class GrpcFramer {
public:
    explicit GrpcFramer(std::size_t message_most) : most_(message_most) {}

    // False on a compressed or oversized message, told by error().
    bool feed(std::string_view bytes, const std::function<void(std::string_view)>& on_message);

    const std::string& error() const { return error_; }

    bool midway() const { return !buffer_.empty(); }

private:
    std::size_t most_;
    std::string buffer_, error_;
};

struct GrpcLimits {
    Http2Limits http2;
    std::size_t message_bytes = 4 * 1024 * 1024;
    // Bytes that may wait for a peer that does not read before its connection is given up.
    std::size_t waiting_bytes = 8 * 1024 * 1024;
    // A ping goes out after this long without a byte; without any answer for as long again the peer
    // is gone. Zero: never.
    Micros keepalive{};
};

class GrpcConnection;

class GrpcCall : public std::enable_shared_from_this<GrpcCall> {
public:
    GrpcCall(GrpcConnection& connection, std::int32_t stream, std::string path,
             std::size_t message_most);

    std::function<void(std::string_view)> on_message;
    // The other side ended its half in order.
    std::function<void()> on_half_closed;
    // Over, whatever the cause: once. The text is empty after a good end.
    std::function<void(std::string)> on_closed;

    const std::string& path() const { return path_; }

    std::string peer() const;
    // Bytes that wait on this call's connection.
    std::size_t waiting() const;

    bool open() const { return connection_ != nullptr; }

    void send(std::string_view message);
    // A message whose first part is sent alike to many.
    void send(std::shared_ptr<const std::string> common, std::string_view rest);
    // Server: ends the call with a status. Client: ends its half.
    void finish(GrpcStatus status = GrpcStatus::Ok, std::string_view why = {});
    // Gives the whole connection up at once.
    void abort(const std::string& why);
    // What is sent until the matching uncork leaves in one piece.
    void cork();
    void uncork();

private:
    friend class GrpcConnection;
    void over(const std::string& why);

    GrpcConnection* connection_;
    std::int32_t stream_;
    std::string path_;
    GrpcFramer framer_;
    bool finished_ = false;
    std::string status_;  // client: what the trailers said, if not good
};

using GrpcCallPtr = std::shared_ptr<GrpcCall>;

class GrpcConnection : public std::enable_shared_from_this<GrpcConnection> {
public:
    GrpcConnection(Loop& loop, base::ActorId actor, Http2Session::Role role, StreamPtr stream,
                   GrpcLimits limits);
    ~GrpcConnection();

    // Server: a call was opened; its handlers are to be set in here.
    std::function<void(GrpcCallPtr)> on_call;
    // The connection is over; not called from close().
    std::function<void(std::string)> on_closed;

    void start();
    GrpcCallPtr call(const std::string& path);
    // Ends in order: a GOAWAY, then what is queued, then the socket.
    void close();
    // Ends at once; calls hear `why`.
    void abort(const std::string& why);

    std::string peer() const { return stream_->peer(); }

    std::size_t waiting() const { return session_.queued() + stream_->unsent(); }

private:
    friend class GrpcCall;
    void came(std::string_view bytes);
    void headers(std::int32_t id, const Http2Headers& headers, bool last);
    void flush();
    void fail(const std::string& why);
    void end_calls(const std::string& why);
    void look();

    Loop& loop_;
    Http2Session::Role role_;
    GrpcLimits limits_;
    StreamPtr stream_;
    Http2Session session_;
    std::map<std::int32_t, GrpcCallPtr> calls_;
    base::Timer keepalive_;
    Micros heard_{};
    bool pinged_ = false, feeding_ = false, over_ = false;
    int corks_ = 0;
    std::string failed_;
};

using GrpcConnectionPtr = std::shared_ptr<GrpcConnection>;

class GrpcServer {
public:
    GrpcServer(Loop& loop, base::ActorId actor, std::string host, const Address& at,
               GrpcLimits limits, std::size_t connections_most);
    ~GrpcServer();

    std::function<void(GrpcCallPtr)> on_call;
    // For the log: a connection that ended badly or was refused.
    std::function<void(const std::string& peer, const std::string& why)> on_trouble;

    // No connection can be taken for want of descriptors.
    void on_exhausted(std::function<void(std::string)> told) {
        listener_->on_trouble(std::move(told));
    }

    Address address() const { return listener_->address(); }

    // All connections in order (true) or at once.
    void close(bool in_order);

    std::size_t connections() const { return connections_.size(); }

private:
    void accept(StreamPtr stream);
    Loop& loop_;
    base::ActorId actor_;
    GrpcLimits limits_;
    std::size_t most_;
    std::uint64_t ids_ = 0;
    std::map<std::uint64_t, GrpcConnectionPtr> connections_;
    std::unique_ptr<Listener> listener_;
};

}  // namespace badgergrade::net
