#include "net/grpc.h"

#include <nghttp2/nghttp2.h>

#include <utility>

namespace badgergrade::net {

namespace {
/// The buffer that a stream without an incomplete message keeps.
constexpr std::size_t kMaxKeptBytes = 4 * 1024;

/// The header of a frame: a byte for compression (none), and the length in four bytes, big-endian.
std::string frame_header(std::size_t size) {
    std::string out(1, '\0');
    for (int i = 0; i < 4; ++i) {
        out += static_cast<char>(size >> (24 - 8 * i) & 255);
    }
    return out;
}
}  // namespace

std::string grpc_frame(std::string_view message) {
    std::string out;
    out.reserve(5 + message.size());
    return out.append(frame_header(message.size())).append(message);
}

bool GrpcFramer::feed(std::string_view bytes,
                      const std::function<void(std::string_view)>& on_message) {
    if (!error_.empty()) {
        return false;
    }
    buffer_ += bytes;
    std::size_t offset = 0;
    while (buffer_.size() - offset >= 5) {
        const auto* header = reinterpret_cast<const unsigned char*>(buffer_.data() + offset);
        const std::size_t size =
            std::size_t{header[1]} << 24 | header[2] << 16 | header[3] << 8 | header[4];
        if (header[0] != 0) {
            error_ = "expected an uncompressed message, got a compressed one";
        } else if (size > max_message_bytes_) {
            error_ = "expected a message of at most " + std::to_string(max_message_bytes_) +
                     " bytes, got " + std::to_string(size) + " bytes";
        }
        if (!error_.empty()) {
            return false;
        }
        if (buffer_.size() - offset - 5 < size) {
            break;
        }
        const std::string message = buffer_.substr(offset + 5, size);
        offset += 5 + size;
        on_message(message);
    }
    buffer_.erase(0, offset);
    if (buffer_.empty() && buffer_.capacity() > kMaxKeptBytes) {
        buffer_ = {};
    }
    return true;
}

// ---- GrpcCall

GrpcCall::GrpcCall(GrpcConnection& connection, std::int32_t stream, std::string path,
                   std::size_t max_message_bytes)
    : connection_(&connection),
      stream_(stream),
      path_(std::move(path)),
      framer_(max_message_bytes) {}

std::string GrpcCall::peer() const {
    return connection_ ? connection_->peer() : std::string{};
}

std::size_t GrpcCall::waiting() const {
    return connection_ ? connection_->waiting() : 0;
}

void GrpcCall::send(std::string_view message) {
    if (!connection_ || finished_) {
        return;
    }
    connection_->session_.send(stream_, grpc_frame(message));
    connection_->flush();
}

void GrpcCall::send(std::shared_ptr<const std::string> common, std::string_view rest) {
    if (!connection_ || finished_) {
        return;
    }
    connection_->session_.send(stream_, frame_header(common->size() + rest.size()));
    connection_->session_.send(stream_, std::move(common));
    connection_->session_.send(stream_, std::string(rest));
    connection_->flush();
}

void GrpcCall::finish(GrpcStatus status, std::string_view message) {
    if (!connection_ || std::exchange(finished_, true)) {
        return;
    }
    Http2Headers trailers;
    if (connection_->role_ == Http2Session::Role::Server) {
        trailers.emplace_back("grpc-status", std::to_string(static_cast<int>(status)));
        if (!message.empty()) {
            trailers.emplace_back("grpc-message", std::string(message));
        }
    }
    connection_->session_.end(stream_, std::move(trailers));
    connection_->flush();
}

void GrpcCall::abort(const std::string& reason) {
    if (connection_) {
        connection_->abort(reason);
    }
}

void GrpcCall::cork() {
    if (connection_) {
        ++connection_->corks_;
    }
}

void GrpcCall::uncork() {
    if (!connection_) {
        return;
    }
    if (--connection_->corks_ == 0) {
        connection_->flush();
    }
}

void GrpcCall::end(const std::string& reason) {
    connection_ = nullptr;
    const auto self = shared_from_this();
    if (on_closed) {
        std::exchange(on_closed, {})(reason.empty() ? status_ : reason);
    }
    on_message = {};
    on_half_closed = {};
}

// ---- GrpcConnection

GrpcConnection::GrpcConnection(Loop& loop, base::ActorId actor, Http2Session::Role role,
                               StreamPtr stream, GrpcLimits limits)
    : loop_(loop),
      role_(role),
      limits_(limits),
      stream_(std::move(stream)),
      session_(role, limits.http2),
      keepalive_(loop.clock(), actor) {}

GrpcConnection::~GrpcConnection() {
    if (!ended_) {
        stream_->close(true);
    }
}

void GrpcConnection::start() {
    stream_->on_data = [this](std::string_view bytes) {
        on_bytes(bytes);
    };
    stream_->on_end = [this](std::string reason) {
        fail(reason);
    };
    session_.on_headers = [this](std::int32_t id, const Http2Headers& received, bool last) {
        handle_headers(id, received, last);
    };
    session_.on_data = [this](std::int32_t id, std::string_view bytes) {
        const auto it = calls_.find(id);
        if (it == calls_.end()) {
            return;
        }
        const GrpcCallPtr call = it->second;
        const bool valid = call->framer_.feed(bytes, [&](std::string_view message) {
            if (call->on_message && !call->finished_) {
                call->on_message(message);
            }
        });
        if (!valid) {
            call->finish(GrpcStatus::ResourceExhausted, call->framer_.error());
        }
    };
    session_.on_half_closed = [this](std::int32_t id) {
        const auto it = calls_.find(id);
        if (it == calls_.end()) {
            return;
        }
        const GrpcCallPtr call = it->second;
        if (role_ == Http2Session::Role::Client) {
            // The end of the server's half ends the call, even if the client's half is still open.
            calls_.erase(it);
            session_.reset(id, NGHTTP2_CANCEL);
            call->end(call->status_);
        } else if (call->on_half_closed) {
            call->on_half_closed();
        }
    };
    session_.on_closed = [this](std::int32_t id, std::uint32_t error) {
        const auto it = calls_.find(id);
        if (it == calls_.end()) {
            return;
        }
        const GrpcCallPtr call = it->second;
        calls_.erase(it);
        call->end(error == 0 ? std::string{}
                             : std::string("stream reset: ") + nghttp2_http2_strerror(error));
    };
    last_received_at_ = loop_.clock().now();
    if (limits_.keepalive > Micros{0}) {
        keepalive_.after(limits_.keepalive, [this] { check_keepalive(); });
    }
    flush();
}

void GrpcConnection::handle_headers(std::int32_t id, const Http2Headers& headers, bool last) {
    if (const auto known = calls_.find(id); known != calls_.end()) {
        // Client: the headers of the response, or its trailers with the status.
        std::string status;
        std::string message;
        for (const auto& [name, value] : headers) {
            if (name == "grpc-status") {
                status = value;
            } else if (name == "grpc-message") {
                message = value;
            } else if (name == ":status" && value != "200") {
                message = "HTTP status " + value;
                status = "2";
            }
        }
        if (!status.empty() && status != "0") {
            known->second->status_ = "gRPC status " + status + ": " + message;
        }
        return;
    }
    if (role_ == Http2Session::Role::Client) {
        return;
    }
    std::string path;
    std::string type;
    std::string method;
    for (const auto& [name, value] : headers) {
        if (name == ":path") {
            path = value;
        } else if (name == ":method") {
            method = value;
        } else if (name == "content-type") {
            type = value;
        }
    }
    if (method != "POST" || type.rfind("application/grpc", 0) != 0) {
        session_.respond(id, {{":status", method != "POST" ? "405" : "415"}}, true);
        return;
    }
    const auto call = std::make_shared<GrpcCall>(*this, id, path, limits_.message_bytes);
    calls_[id] = call;
    session_.respond(id, {{":status", "200"}, {"content-type", "application/grpc"}}, false);
    if (on_call) {
        on_call(call);
    }
    if (!call->on_message) {
        call->finish(GrpcStatus::Unimplemented, "unknown method");
    } else if (last && call->on_half_closed) {
        call->on_half_closed();
    }
}

GrpcCallPtr GrpcConnection::call(const std::string& path) {
    const std::int32_t id = session_.open({{":method", "POST"},
                                           {":scheme", "http"},
                                           {":path", path},
                                           {":authority", "governor"},
                                           {"te", "trailers"},
                                           {"content-type", "application/grpc"}});
    auto call = std::make_shared<GrpcCall>(*this, id, path, limits_.message_bytes);
    if (id > 0) {
        calls_[id] = call;
    }
    flush();
    return call;
}

void GrpcConnection::on_bytes(std::string_view bytes) {
    const auto self = shared_from_this();
    last_received_at_ = loop_.clock().now();
    ping_pending_ = false;
    receiving_ = true;
    const bool valid = session_.feed(bytes);
    receiving_ = false;
    if (!deferred_failure_.empty()) {
        return fail(std::exchange(deferred_failure_, {}));
    }
    if (ended_) {
        return;
    }
    account_memory();
    if (ended_) {
        return;
    }
    flush();
    if (!valid) {
        return fail("HTTP/2 error: " + session_.error());
    }
    if (!ended_ && session_.over()) {
        fail(session_.error().empty() ? "" : "HTTP/2 error: " + session_.error());
    }
}

void GrpcConnection::flush() {
    if (ended_ || receiving_ || corks_ > 0) {
        return;
    }
    const auto self = shared_from_this();
    // One buffer for all connections of the thread, so that a burst to many streams does not
    // allocate memory for each.
    thread_local std::string out;
    out.clear();
    session_.output(out);
    if (!out.empty()) {
        stream_->write(out);
    }
    if (!ended_ && waiting() > limits_.waiting_bytes) {
        return fail("peer does not read: " + std::to_string(waiting()) + " bytes wait to be sent");
    }
    account_memory();
}

std::size_t GrpcConnection::held_bytes() const {
    std::size_t held = session_.held_bytes() + stream_->held_bytes();
    for (const auto& [id, call] : calls_) {
        held += call->framer_.held_bytes();
    }
    return held;
}

void GrpcConnection::set_budget(MemoryBudget& budget) {
    budget_ = &budget;
    const auto measure = [this] {
        return held_bytes();
    };
    held_memory_ = std::make_unique<MemoryBudget::Account>(budget, measure, [this] {
        held_memory_->set(0);
        fail("memory limit of all connections exceeded: closed as the largest holder");
    });
}

void GrpcConnection::account_memory() {
    if (!held_memory_ || ended_) {
        return;
    }
    const auto self = shared_from_this();
    held_memory_->set(held_bytes());
    budget_->enforce();
}

void GrpcConnection::check_keepalive() {
    const Micros silence = loop_.clock().now() - last_received_at_;
    if (ping_pending_ && silence >= 2 * limits_.keepalive) {
        return fail("keepalive timeout: no answer to a PING");
    }
    if (!ping_pending_ && silence >= limits_.keepalive) {
        ping_pending_ = true;
        session_.ping();
        flush();
    }
    if (!ended_) {
        keepalive_.after(limits_.keepalive, [this] { check_keepalive(); });
    }
}

void GrpcConnection::fail(const std::string& reason) {
    if (receiving_) {
        // nghttp2 is processing bytes of this session, which must not be destroyed before it
        // returns.
        if (deferred_failure_.empty()) {
            deferred_failure_ = reason.empty() ? "closed" : reason;
        }
        return;
    }
    if (std::exchange(ended_, true)) {
        return;
    }
    const auto self = shared_from_this();
    keepalive_.stop();
    held_memory_.reset();
    stream_->close(!reason.empty());
    end_calls(reason.empty() ? "closed" : reason);
    if (on_closed) {
        std::exchange(on_closed, {})(reason);
    }
}

void GrpcConnection::end_calls(const std::string& reason) {
    while (!calls_.empty()) {
        const GrpcCallPtr call = calls_.begin()->second;
        calls_.erase(calls_.begin());
        call->end(reason);
    }
}

void GrpcConnection::close() {
    if (ended_) {
        return;
    }
    const auto self = shared_from_this();
    session_.goaway();
    if (std::string out = session_.output(); !out.empty()) {
        stream_->send(std::move(out));
    }
    ended_ = true;
    keepalive_.stop();
    held_memory_.reset();
    stream_->close(false);
    on_closed = {};
    end_calls("closed by this end");
}

void GrpcConnection::abort(const std::string& reason) {
    fail(reason.empty() ? "aborted" : reason);
}

// ---- GrpcServer

GrpcServer::GrpcServer(Loop& loop, base::ActorId actor, std::string host, const Address& at,
                       GrpcLimits limits, std::size_t max_connections)
    : loop_(loop),
      actor_(actor),
      limits_(limits),
      max_connections_(max_connections),
      memory_budget_(limits.held_bytes),
      listener_(
          std::make_unique<Listener>(loop, actor, std::move(host), at,
                                     [this](StreamPtr stream) { accept(std::move(stream)); })) {}

GrpcServer::~GrpcServer() {
    close(false);
}

void GrpcServer::accept(StreamPtr stream) {
    if (connections_.size() >= max_connections_) {
        if (on_trouble) {
            on_trouble(stream->peer(), "connection refused: the limit of " +
                                           std::to_string(max_connections_) +
                                           " connections is reached");
        }
        stream->close(true);
        return;
    }
    const auto connection = std::make_shared<GrpcConnection>(
        loop_, actor_, Http2Session::Role::Server, stream, limits_);
    const std::uint64_t id = ++last_id_;
    connections_[id] = connection;
    connection->set_budget(memory_budget_);
    connection->on_call = [this](GrpcCallPtr call) {
        if (on_call) {
            on_call(std::move(call));
        }
    };
    connection->on_closed = [this, id, peer = stream->peer()](std::string reason) {
        if (on_trouble && !reason.empty()) {
            on_trouble(peer, reason);
        }
        connections_.erase(id);
    };
    connection->start();
}

void GrpcServer::close(bool graceful) {
    listener_.reset();
    auto all = std::exchange(connections_, {});
    for (auto& [id, connection] : all) {
        connection->on_closed = {};
        if (graceful) {
            connection->close();
        } else {
            connection->abort("the server shuts down");
        }
    }
}

}  // namespace badgergrade::net
