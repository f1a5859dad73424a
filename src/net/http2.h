/// HTTP/2 without sockets, on nghttp2: received bytes go in, events of the streams come out through
/// callbacks, and the bytes to send are produced on request. Limits bound the memory and the CPU
/// time that a peer can use.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct nghttp2_session;

namespace badgergrade::net {

/// Names and values in order, pseudo-headers included.
using Http2Headers = std::vector<std::pair<std::string, std::string>>;

/// Limits of one connection.
struct Http2Limits {
    /// Concurrent streams that the peer may open.
    std::uint32_t streams = 100;
    /// Size of a header list as HTTP/2 counts it: names, values and 32 bytes for each header.
    std::uint32_t head_bytes = 16 * 1024;
    /// Protection from floods: PING, SETTINGS, RST_STREAM, PRIORITY and empty DATA frames in a row,
    /// without headers or data between them. They cost work and carry nothing.
    int idle_frames = 200;
};

/// One HTTP/2 connection, as server or client.
class Http2Session {
public:
    enum class Role { Server, Client };
    Http2Session(Role role, Http2Limits limits);
    ~Http2Session();
    Http2Session(const Http2Session&) = delete;

    /// Headers or trailers; `last` if they end the peer's half of the stream.
    std::function<void(std::int32_t stream, const Http2Headers&, bool last)> on_headers;
    /// Part of the body.
    std::function<void(std::int32_t stream, std::string_view)> on_data;
    /// The peer has ended its half of the stream.
    std::function<void(std::int32_t stream)> on_half_closed;
    /// The stream is closed. `error` is an HTTP/2 error code; 0 is a normal end.
    std::function<void(std::int32_t stream, std::uint32_t error)> on_closed;
    /// The peer has sent GOAWAY: no new streams may be opened.
    std::function<void()> on_goaway;

    /// Processes received bytes. False if they are not valid HTTP/2 or exceed a limit: error() then
    /// holds the reason.
    bool feed(std::string_view bytes);
    /// Appends the bytes that can be sent now to `out`.
    void output(std::string& out);
    std::string output();

    const std::string& error() const { return error_; }

    /// Whether the session is finished: nothing remains to be read or written.
    bool over() const;

    /// Client: opens a stream whose body is sent with send(). Returns its id, or a negative error
    /// code.
    std::int32_t open(const Http2Headers& headers);
    /// Server: sends the response headers; `last` if no body follows.
    void respond(std::int32_t stream, const Http2Headers& headers, bool last);
    /// Queues part of the body.
    void send(std::int32_t stream, std::string bytes);
    /// Same, with bytes that several sessions send and that are not copied for each.
    void send(std::int32_t stream, std::shared_ptr<const std::string> bytes);
    /// Ends this half of the stream, with trailers if there are any (the gRPC status).
    void end(std::int32_t stream, Http2Headers trailers);
    /// Closes a stream with RST_STREAM and an HTTP/2 error code.
    void reset(std::int32_t stream, std::uint32_t error);
    /// Ends the session with GOAWAY.
    void goaway();
    void ping();

    /// Bytes of bodies that are queued: they wait for output() or for the flow control of the peer.
    std::size_t queued() const { return queued_bytes_; }

    /// Memory of received header lists and of bodies that are queued; of a body that several
    /// sessions share, only the reference to it.
    std::size_t held_bytes() const;

private:
    /// A piece of a body, owned or shared.
    struct BodyPart {
        std::string own;
        std::shared_ptr<const std::string> shared;

        const std::string& bytes() const { return shared ? *shared : own; }

        std::size_t held_bytes() const { return sizeof(BodyPart) + own.capacity(); }
    };

    /// The body that is sent on a stream.
    struct OutgoingBody {
        std::deque<BodyPart> parts;
        /// Bytes of the first part that have been sent.
        std::size_t offset = 0;
        /// Whether the body ends after the queued parts.
        bool ending = false;
        /// Whether nghttp2 waits for more of the body.
        bool deferred = false;
        bool has_body = false;
        Http2Headers trailers;
    };

    /// The header list that is being received on a stream.
    struct IncomingHeaders {
        Http2Headers headers;
        std::size_t bytes = 0;
        bool seen = false;
    };
    /// Callbacks of nghttp2.
    struct Callbacks;
    friend struct Callbacks;
    void add(std::int32_t stream, BodyPart part);
    /// Lets nghttp2 ask for the body again if it waits for more.
    void resume_body(std::int32_t stream);
    /// Counts a frame that carries nothing, if `is_idle`. Returns the nghttp2 result: 0, or a
    /// failure that ends the session if there are too many.
    int count_idle_frame(bool is_idle);

    nghttp2_session* session_ = nullptr;
    Http2Limits limits_;
    std::map<std::int32_t, OutgoingBody> bodies_;
    std::map<std::int32_t, IncomingHeaders> headers_;
    std::size_t queued_bytes_ = 0;
    /// Memory of all queued parts.
    std::size_t held_part_bytes_ = 0;
    int idle_frames_ = 0;
    std::string error_;
};

}  // namespace badgergrade::net
