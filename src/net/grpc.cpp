#include "net/grpc.h"

#include <nghttp2/nghttp2.h>

#include <utility>

namespace badgergrade::net {

namespace {
// One byte of compression (none), four of length.
std::string frame_head(std::size_t size) {
    std::string out(1, '\0');
    for (int k = 0; k < 4; ++k) {
        out += static_cast<char>(size >> (24 - 8 * k) & 255);
    }
    return out;
}
}  // namespace

std::string grpc_frame(std::string_view message) {
    std::string out;
    out.reserve(5 + message.size());
    return out.append(frame_head(message.size())).append(message);
}

bool GrpcFramer::feed(std::string_view bytes,
                      const std::function<void(std::string_view)>& on_message) {
    if (!error_.empty()) {
        return false;
    }
    buffer_ += bytes;
    std::size_t at = 0;
    while (buffer_.size() - at >= 5) {
        const auto* head = reinterpret_cast<const unsigned char*>(buffer_.data() + at);
        const std::size_t size =
            std::size_t{head[1]} << 24 | head[2] << 16 | head[3] << 8 | head[4];
        if (head[0] != 0) {
            error_ = "a compressed message, which was not agreed on";
        } else if (size > most_) {
            error_ = "a message of " + std::to_string(size) + " bytes, " + std::to_string(most_) +
                     " at most";
        }
        if (!error_.empty()) {
            return false;
        }
        if (buffer_.size() - at - 5 < size) {
            break;
        }
        const std::string message = buffer_.substr(at + 5, size);
        at += 5 + size;
        on_message(message);
    }
    buffer_.erase(0, at);
    return true;
}

// ---- GrpcCall

GrpcCall::GrpcCall(GrpcConnection& connection, std::int32_t stream, std::string path,
                   std::size_t message_most)
    : connection_(&connection),
      stream_(stream),
      path_(std::move(path)),
      framer_(message_most) {}

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
    connection_->session_.send(stream_, frame_head(common->size() + rest.size()));
    connection_->session_.send(stream_, std::move(common));
    connection_->session_.send(stream_, std::string(rest));
    connection_->flush();
}

void GrpcCall::finish(GrpcStatus status, std::string_view why) {
    if (!connection_ || std::exchange(finished_, true)) {
        return;
    }
    Http2Headers trailers;
    if (connection_->role_ == Http2Session::Role::Server) {
        trailers.emplace_back("grpc-status", std::to_string(static_cast<int>(status)));
        if (!why.empty()) {
            trailers.emplace_back("grpc-message", std::string(why));
        }
    }
    connection_->session_.end(stream_, std::move(trailers));
    connection_->flush();
}

void GrpcCall::abort(const std::string& why) {
    if (connection_) {
        connection_->abort(why);
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

void GrpcCall::over(const std::string& why) {
    connection_ = nullptr;
    const auto self = shared_from_this();
    if (on_closed) {
        std::exchange(on_closed, {})(why.empty() ? status_ : why);
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
    if (!over_) {
        stream_->close(true);
    }
}

void GrpcConnection::start() {
    stream_->on_data = [this](std::string_view bytes) {
        came(bytes);
    };
    stream_->on_end = [this](std::string why) {
        fail(why);
    };
    session_.on_headers = [this](std::int32_t id, const Http2Headers& h, bool last) {
        headers(id, h, last);
    };
    session_.on_data = [this](std::int32_t id, std::string_view bytes) {
        const auto it = calls_.find(id);
        if (it == calls_.end()) {
            return;
        }
        const GrpcCallPtr call = it->second;
        const bool good = call->framer_.feed(bytes, [&](std::string_view message) {
            if (call->on_message && !call->finished_) {
                call->on_message(message);
            }
        });
        if (!good) {
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
            // The server's end is the call's end, whatever of ours is still open.
            calls_.erase(it);
            session_.reset(id, NGHTTP2_CANCEL);
            call->over(call->status_);
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
        call->over(error == 0 ? std::string{}
                              : std::string("stream reset: ") + nghttp2_http2_strerror(error));
    };
    heard_ = loop_.clock().now();
    if (limits_.keepalive > Micros{0}) {
        keepalive_.after(limits_.keepalive, [this] { look(); });
    }
    flush();
}

void GrpcConnection::headers(std::int32_t id, const Http2Headers& headers, bool last) {
    if (const auto known = calls_.find(id); known != calls_.end()) {
        // Client: the answer's head, or its trailers with the status.
        std::string status;
        std::string why;
        for (const auto& [name, value] : headers) {
            if (name == "grpc-status") {
                status = value;
            } else if (name == "grpc-message") {
                why = value;
            } else if (name == ":status" && value != "200") {
                why = "HTTP status " + value;
                status = "2";
            }
        }
        if (!status.empty() && status != "0") {
            known->second->status_ = "gRPC status " + status + ": " + why;
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
        call->finish(GrpcStatus::Unimplemented, "no such method");
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

void GrpcConnection::came(std::string_view bytes) {
    const auto self = shared_from_this();
    heard_ = loop_.clock().now();
    pinged_ = false;
    feeding_ = true;
    const bool good = session_.feed(bytes);
    feeding_ = false;
    if (!failed_.empty()) {
        return fail(std::exchange(failed_, {}));
    }
    if (over_) {
        return;
    }
    flush();
    if (!good) {
        return fail("no good HTTP/2: " + session_.error());
    }
    if (!over_ && session_.over()) {
        fail(session_.error().empty() ? "" : "no good HTTP/2: " + session_.error());
    }
}

void GrpcConnection::flush() {
    if (over_ || feeding_ || corks_ > 0) {
        return;
    }
    const auto self = shared_from_this();
    // One buffer for all connections of the thread: a burst to many streams must not allocate for
    // each.
    thread_local std::string out;
    out.clear();
    session_.output(out);
    if (!out.empty()) {
        stream_->write(out);
    }
    if (!over_ && waiting() > limits_.waiting_bytes) {
        fail("does not read: " + std::to_string(waiting()) + " bytes wait for it");
    }
}

void GrpcConnection::look() {
    const Micros quiet = loop_.clock().now() - heard_;
    if (pinged_ && quiet >= 2 * limits_.keepalive) {
        return fail("no answer to a ping");
    }
    if (!pinged_ && quiet >= limits_.keepalive) {
        pinged_ = true;
        session_.ping();
        flush();
    }
    if (!over_) {
        keepalive_.after(limits_.keepalive, [this] { look(); });
    }
}

void GrpcConnection::fail(const std::string& why) {
    if (feeding_) {
        // nghttp2 is still at work on this session: what ends it waits until it returns.
        if (failed_.empty()) {
            failed_ = why.empty() ? "closed" : why;
        }
        return;
    }
    if (std::exchange(over_, true)) {
        return;
    }
    const auto self = shared_from_this();
    keepalive_.stop();
    stream_->close(!why.empty());
    end_calls(why.empty() ? "closed" : why);
    if (on_closed) {
        std::exchange(on_closed, {})(why);
    }
}

void GrpcConnection::end_calls(const std::string& why) {
    while (!calls_.empty()) {
        const GrpcCallPtr call = calls_.begin()->second;
        calls_.erase(calls_.begin());
        call->over(why);
    }
}

void GrpcConnection::close() {
    if (over_) {
        return;
    }
    const auto self = shared_from_this();
    session_.goaway();
    if (std::string out = session_.output(); !out.empty()) {
        stream_->send(std::move(out));
    }
    over_ = true;
    keepalive_.stop();
    stream_->close(false);
    on_closed = {};
    end_calls("closed here");
}

void GrpcConnection::abort(const std::string& why) {
    fail(why.empty() ? "given up" : why);
}

// ---- GrpcServer

GrpcServer::GrpcServer(Loop& loop, base::ActorId actor, std::string host, const Address& at,
                       GrpcLimits limits, std::size_t connections_most)
    : loop_(loop),
      actor_(actor),
      limits_(limits),
      most_(connections_most),
      listener_(
          std::make_unique<Listener>(loop, actor, std::move(host), at,
                                     [this](StreamPtr stream) { accept(std::move(stream)); })) {}

GrpcServer::~GrpcServer() {
    close(false);
}

void GrpcServer::accept(StreamPtr stream) {
    if (connections_.size() >= most_) {
        if (on_trouble) {
            on_trouble(stream->peer(),
                       "refused: " + std::to_string(most_) + " connections stand already");
        }
        stream->close(true);
        return;
    }
    const auto connection = std::make_shared<GrpcConnection>(
        loop_, actor_, Http2Session::Role::Server, stream, limits_);
    const std::uint64_t id = ++ids_;
    connections_[id] = connection;
    connection->on_call = [this](GrpcCallPtr call) {
        if (on_call) {
            on_call(std::move(call));
        }
    };
    connection->on_closed = [this, id, peer = stream->peer()](std::string why) {
        if (on_trouble && !why.empty()) {
            on_trouble(peer, why);
        }
        connections_.erase(id);
    };
    connection->start();
}

void GrpcServer::close(bool in_order) {
    listener_.reset();
    auto all = std::exchange(connections_, {});
    for (auto& [id, connection] : all) {
        connection->on_closed = {};
        if (in_order) {
            connection->close();
        } else {
            connection->abort("the server ends");
        }
    }
}

}  // namespace badgergrade::net
