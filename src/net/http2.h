// HTTP/2 without sockets, on nghttp2: bytes in, streams and their events out, bytes to write on
// demand.
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

using Http2Headers = std::vector<std::pair<std::string, std::string>>;

struct Http2Limits {
    std::uint32_t streams = 100;
    std::uint32_t head_bytes = 16 * 1024;
    // Frames that cost us work and carry nothing: pings, settings, resets in a row without data
    // between them.
    int idle_frames = 200;
};

class Http2Session {
public:
    enum class Role { Server, Client };
    Http2Session(Role role, Http2Limits limits);
    ~Http2Session();
    Http2Session(const Http2Session&) = delete;

    std::function<void(std::int32_t stream, const Http2Headers&, bool last)> on_headers;
    std::function<void(std::int32_t stream, std::string_view)> on_data;
    // The other side sends nothing more on this stream.
    std::function<void(std::int32_t stream)> on_half_closed;
    // The stream is over; 0 is a good end.
    std::function<void(std::int32_t stream, std::uint32_t error)> on_closed;
    // The other side goes away: no new streams.
    std::function<void()> on_goaway;

    // False where the bytes are no HTTP/2 or break a limit; error() says what is wrong.
    bool feed(std::string_view bytes);
    // What is to be written now, added to `out`.
    void output(std::string& out);
    std::string output();

    const std::string& error() const { return error_; }

    bool over() const;

    // Client: opens a stream whose body is sent with send().
    std::int32_t open(const Http2Headers& headers);
    void respond(std::int32_t stream, const Http2Headers& headers, bool last);
    void send(std::int32_t stream, std::string bytes);
    // Bytes that many sessions send alike are shared, not copied for each.
    void send(std::int32_t stream, std::shared_ptr<const std::string> bytes);
    // Ends our side, with trailers where given (gRPC's status).
    void end(std::int32_t stream, Http2Headers trailers);
    void reset(std::int32_t stream, std::uint32_t error);
    void goaway();
    void ping();

    std::size_t queued() const { return queued_; }

private:
    struct Part {
        std::string own;
        std::shared_ptr<const std::string> shared;

        const std::string& bytes() const { return shared ? *shared : own; }
    };

    struct Out {
        std::deque<Part> parts;
        std::size_t offset = 0;
        bool ending = false, deferred = false, has_body = false;
        Http2Headers trailers;
    };

    struct In {
        Http2Headers headers;
        std::size_t bytes = 0;
        bool seen = false;
    };
    struct Callbacks;
    friend struct Callbacks;
    void add(std::int32_t stream, Part part);
    void body_for(std::int32_t stream);
    // Counts a frame that carries nothing; the code that ends the session once there are too many.
    int idle(bool counts);

    nghttp2_session* session_ = nullptr;
    Http2Limits limits_;
    std::map<std::int32_t, Out> out_;
    std::map<std::int32_t, In> in_;
    std::size_t queued_ = 0;
    int idle_frames_ = 0;
    std::string error_;
};

}  // namespace badgergrade::net
