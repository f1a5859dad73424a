#include "net/http2.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>

namespace badgergrade::net {

namespace {
/// The headers in the form of nghttp2, which refer to the strings of `headers`.
std::vector<nghttp2_nv> to_nv(const Http2Headers& headers) {
    std::vector<nghttp2_nv> out;
    out.reserve(headers.size());
    for (const auto& [name, value] : headers) {
        out.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
                       reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
                       name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return out;
}
}  // namespace

struct Http2Session::Callbacks {
    static Http2Session& of(void* user) { return *static_cast<Http2Session*>(user); }

    static int begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        of(user).headers_[frame->hd.stream_id] = {};
        return 0;
    }

    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                      std::uint8_t, void* user) {
        Http2Session& self = of(user);
        IncomingHeaders& incoming = self.headers_[frame->hd.stream_id];
        incoming.bytes += name_size + value_size + 32;
        if (incoming.bytes > self.limits_.head_bytes) {
            self.error_ = "expected a header list of at most " +
                          std::to_string(self.limits_.head_bytes) + " bytes, got more";
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        incoming.headers.emplace_back(
            std::string(reinterpret_cast<const char*>(name), name_size),
            std::string(reinterpret_cast<const char*>(value), value_size));
        return 0;
    }

    static int frame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        Http2Session& self = of(user);
        const std::int32_t stream = frame->hd.stream_id;
        const bool last = frame->hd.flags & NGHTTP2_FLAG_END_STREAM;
        switch (frame->hd.type) {
            case NGHTTP2_HEADERS: {
                self.idle_frames_ = 0;
                const Http2Headers headers = std::move(self.headers_[stream].headers);
                self.headers_[stream].headers.clear();
                if (self.on_headers) {
                    self.on_headers(stream, headers, last);
                }
                if (last && self.on_half_closed) {
                    self.on_half_closed(stream);
                }
                return 0;
            }
            case NGHTTP2_DATA:
                if (frame->hd.length > 0) {
                    self.idle_frames_ = 0;
                }
                if (last && self.on_half_closed) {
                    self.on_half_closed(stream);
                }
                return self.count_idle_frame(frame->hd.length == 0 && !last);
            case NGHTTP2_GOAWAY:
                if (self.on_goaway) {
                    self.on_goaway();
                }
                return 0;
            case NGHTTP2_PING:
            case NGHTTP2_SETTINGS:
                return self.count_idle_frame(!(frame->hd.flags & NGHTTP2_FLAG_ACK));
            case NGHTTP2_RST_STREAM:
            case NGHTTP2_PRIORITY:
                return self.count_idle_frame(true);
            default:
                return 0;
        }
    }

    static int data(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* bytes,
                    std::size_t size, void* user) {
        Http2Session& self = of(user);
        if (self.on_data) {
            self.on_data(stream, {reinterpret_cast<const char*>(bytes), size});
        }
        return 0;
    }

    static int stream_close(nghttp2_session*, std::int32_t stream, std::uint32_t error,
                            void* user) {
        Http2Session& self = of(user);
        if (const auto it = self.bodies_.find(stream); it != self.bodies_.end()) {
            for (const auto& part : it->second.parts) {
                self.queued_bytes_ -= part.bytes().size();
                self.held_part_bytes_ -= part.held_bytes();
            }
            self.queued_bytes_ += it->second.offset;
            self.bodies_.erase(it);
        }
        self.headers_.erase(stream);
        if (self.on_closed) {
            self.on_closed(stream, error);
        }
        return 0;
    }

    static ssize_t read(nghttp2_session* session, std::int32_t stream, std::uint8_t* buffer,
                        std::size_t size, std::uint32_t* flags, nghttp2_data_source*, void* user) {
        Http2Session& self = of(user);
        const auto it = self.bodies_.find(stream);
        if (it == self.bodies_.end()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            return 0;
        }
        OutgoingBody& body = it->second;
        std::size_t copied = 0;
        while (copied < size && !body.parts.empty()) {
            const std::string& part = body.parts.front().bytes();
            const std::size_t n = std::min(size - copied, part.size() - body.offset);
            std::copy_n(part.data() + body.offset, n, buffer + copied);
            copied += n;
            body.offset += n;
            self.queued_bytes_ -= n;
            if (body.offset < part.size()) {
                break;
            }
            body.offset = 0;
            self.held_part_bytes_ -= body.parts.front().held_bytes();
            body.parts.pop_front();
        }
        if (body.parts.empty() && body.ending) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            if (!body.trailers.empty()) {
                *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
                const auto nv = to_nv(body.trailers);
                nghttp2_submit_trailer(session, stream, nv.data(), nv.size());
            }
            return static_cast<ssize_t>(copied);
        }
        if (copied == 0) {
            body.deferred = true;
            return NGHTTP2_ERR_DEFERRED;
        }
        return static_cast<ssize_t>(copied);
    }

    /// A GOAWAY of this end with an error code: the code says what the peer did wrong.
    static int frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user) {
        if (frame->hd.type == NGHTTP2_GOAWAY && frame->goaway.error_code != NGHTTP2_NO_ERROR &&
            of(user).error_.empty()) {
            of(user).error_ = nghttp2_http2_strerror(frame->goaway.error_code);
        }
        return 0;
    }

    static int invalid(nghttp2_session*, const nghttp2_frame*, int code, void* user) {
        of(user).error_ = nghttp2_strerror(code);
        return 0;
    }
};

int Http2Session::count_idle_frame(bool is_idle) {
    if (!is_idle || ++idle_frames_ <= limits_.idle_frames) {
        return 0;
    }
    error_ = "too many frames in a row without headers or data";
    return NGHTTP2_ERR_CALLBACK_FAILURE;
}

Http2Session::Http2Session(Role role, Http2Limits limits) : limits_(limits) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Callbacks::begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::frame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::data);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::stream_close);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, Callbacks::frame_sent);
    nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(callbacks, Callbacks::invalid);
    nghttp2_option* options = nullptr;
    nghttp2_option_new(&options);
    nghttp2_option_set_max_outbound_ack(options, 100);
    if (role == Role::Server) {
        nghttp2_session_server_new2(&session_, callbacks, this, options);
    } else {
        nghttp2_session_client_new2(&session_, callbacks, this, options);
    }
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);
    const nghttp2_settings_entry settings[] = {
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits.streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, 1 << 20},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, limits.head_bytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    };
    // A server must not send ENABLE_PUSH with a value other than 0, and does not have to send it.
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, role == Role::Server ? 3 : 4);
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, 4 << 20);
}

Http2Session::~Http2Session() {
    // Deleting the session closes its streams; the owner is not notified of that.
    on_headers = {};
    on_data = {};
    on_half_closed = {};
    on_closed = {};
    on_goaway = {};
    nghttp2_session_del(session_);
}

bool Http2Session::feed(std::string_view bytes) {
    if (!error_.empty()) {
        return false;
    }
    const ssize_t processed = nghttp2_session_mem_recv(
        session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (processed < 0 && error_.empty()) {
        error_ = nghttp2_strerror(static_cast<int>(processed));
    }
    return error_.empty();
}

std::string Http2Session::output() {
    std::string out;
    output(out);
    return out;
}

void Http2Session::output(std::string& out) {
    for (;;) {
        const std::uint8_t* bytes = nullptr;
        const ssize_t size = nghttp2_session_mem_send(session_, &bytes);
        if (size <= 0) {
            if (size < 0 && error_.empty()) {
                error_ = nghttp2_strerror(static_cast<int>(size));
            }
            return;
        }
        out.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
    }
}

std::size_t Http2Session::held_bytes() const {
    std::size_t held = held_part_bytes_;
    for (const auto& [stream, incoming] : headers_) {
        held += incoming.headers.capacity() * sizeof incoming.headers.front();
        held += incoming.headers.empty() ? 0 : incoming.bytes;
    }
    return held;
}

bool Http2Session::over() const {
    return nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
}

std::int32_t Http2Session::open(const Http2Headers& headers) {
    const auto nv = to_nv(headers);
    nghttp2_data_provider body{};
    body.read_callback = Callbacks::read;
    const std::int32_t stream =
        nghttp2_submit_request(session_, nullptr, nv.data(), nv.size(), &body, nullptr);
    if (stream > 0) {
        bodies_[stream].has_body = true;
    }
    return stream;
}

void Http2Session::respond(std::int32_t stream, const Http2Headers& headers, bool last) {
    const auto nv = to_nv(headers);
    nghttp2_data_provider body{};
    body.read_callback = Callbacks::read;
    if (!last) {
        bodies_[stream].has_body = true;
    }
    nghttp2_submit_response(session_, stream, nv.data(), nv.size(), last ? nullptr : &body);
}

void Http2Session::send(std::int32_t stream, std::string bytes) {
    add(stream, {std::move(bytes), nullptr});
}

void Http2Session::send(std::int32_t stream, std::shared_ptr<const std::string> bytes) {
    add(stream, {{}, std::move(bytes)});
}

void Http2Session::add(std::int32_t stream, BodyPart part) {
    const auto it = bodies_.find(stream);
    if (it == bodies_.end() || it->second.ending || part.bytes().empty()) {
        return;
    }
    queued_bytes_ += part.bytes().size();
    it->second.parts.push_back(std::move(part));
    held_part_bytes_ += it->second.parts.back().held_bytes();
    resume_body(stream);
}

void Http2Session::end(std::int32_t stream, Http2Headers trailers) {
    const auto it = bodies_.find(stream);
    if (it == bodies_.end() || it->second.ending) {
        return;
    }
    it->second.ending = true;
    it->second.trailers = std::move(trailers);
    resume_body(stream);
}

void Http2Session::resume_body(std::int32_t stream) {
    OutgoingBody& body = bodies_.at(stream);
    if (std::exchange(body.deferred, false)) {
        nghttp2_session_resume_data(session_, stream);
    }
}

void Http2Session::reset(std::int32_t stream, std::uint32_t error) {
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, error);
}

void Http2Session::goaway() {
    nghttp2_session_terminate_session(session_, NGHTTP2_NO_ERROR);
}

void Http2Session::ping() {
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
}

}  // namespace badgergrade::net
