#include "net/network.h"

#include <array>
#include <asio/connect.hpp>
#include <asio/ip/v6_only.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <stdexcept>
#include <utility>

#include "base/real_clock.h"

namespace badgergrade::net {

using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

constexpr std::size_t kChunk = 64 * 1024;
// A peer that does not take the last bytes of a stream in this time loses them.
constexpr Micros kLinger = 5s;
constexpr Micros kCutLook = 20ms;
// Real time that the virtual clock waits for bytes on loopback before it calls the day stuck.
constexpr int kStuckLooks = 20000;

std::array<char, kChunk>& read_buffer() {
    thread_local std::array<char, kChunk> buffer;
    return buffer;
}

tcp::endpoint endpoint_of(const Address& address) {
    asio::error_code wrong;
    const auto ip =
        asio::ip::make_address(address.host == "localhost" ? "127.0.0.1" : address.host, wrong);
    if (wrong) {
        throw std::invalid_argument("'" + address.host + "' is no IP address");
    }
    return {ip, address.port};
}

}  // namespace

Address parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        throw std::invalid_argument("'" + std::string(text) + "' has no port (host:port)");
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 1 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view port = text.substr(colon + 1);
    unsigned value = 0;
    const auto [end, wrong] = std::from_chars(port.data(), port.data() + port.size(), value);
    if (wrong != std::errc{} || end != port.data() + port.size() || value > 65535 || host.empty()) {
        throw std::invalid_argument("'" + std::string(text) + "' is no address (host:port)");
    }
    Address out{std::string(host), static_cast<std::uint16_t>(value)};
    endpoint_of(out);
    return out;
}

std::string to_text(const Address& address) {
    const bool v6 = address.host.find(':') != std::string::npos;
    return (v6 ? "[" + address.host + "]" : address.host) + ":" + std::to_string(address.port);
}

Loop::Loop(double speed)
    : work_(asio::make_work_guard(io_)),
      clock_(std::make_unique<base::RealClock>(io_, speed)) {}

Loop::Loop(Micros begin) : work_(asio::make_work_guard(io_)) {
    auto clock = std::make_unique<base::VirtualClock>(begin);
    virtual_ = clock.get();
    clock_ = std::move(clock);
    keeps_ledger = true;
}

Loop::~Loop() = default;

void Loop::stop() {
    stopped_ = true;
    io_.stop();
}

void Loop::run() {
    if (virtual_) {
        return run_until(Micros::max());
    }
    io_.restart();
    io_.run();
}

void Loop::settle() {
    for (;;) {
        io_.poll();
        for (int looks = 0; !ledger_.settled(); ++looks) {
            if (looks == kStuckLooks) {
                throw std::runtime_error("the virtual clock is stuck: bytes in flight" +
                                         ledger_.unsettled());
            }
            io_.run_one_for(1ms);
            io_.poll();
        }
        if (!ledger_.holds()) {
            return;
        }
        ledger_.deliver();
    }
}

void Loop::run_until(Micros when) {
    if (!virtual_) {
        base::Timer end(*clock_, base::ActorId{0});
        end.at(when, [this] { io_.stop(); });
        io_.restart();
        io_.run();
        return;
    }
    settle();
    while (!stopped_ && virtual_->step(when)) {
        if (!ledger_.settled() || ledger_.holds()) {
            settle();
        }
    }
    if (!stopped_ && when < Micros::max()) {
        virtual_->jump(when);
    }
}

// ---- Stream

Stream::Stream(Loop& loop, base::ActorId actor, std::string host, tcp::socket socket,
               InFlightBytes::PairId pair, Side side)
    : loop_(loop),
      host_(std::move(host)),
      socket_(std::move(socket)),
      pair_(pair),
      side_(side),
      release_(loop.clock(), actor) {
    asio::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
    const auto far = socket_.remote_endpoint(ignored);
    if (!ignored) {
        peer_ = to_text({far.address().to_string(), far.port()});
    }
}

Stream::~Stream() {
    if (pair_) {
        loop_.ledger().closed(pair_, side_);
    }
}

std::string Stream::far_host() const {
    return pair_ ? loop_.ledger().host(pair_, other(side_)) : std::string{};
}

void Stream::start() {
    if (!reading_ && !paused_ && open_) {
        wait_read();
    }
}

void Stream::hand_over(std::function<void()> event) {
    if (loop_.is_virtual() && pair_) {
        loop_.ledger().hold(pair_, side_, std::move(event));
    } else {
        event();
    }
}

void Stream::wait_read() {
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const asio::error_code& wrong) {
                           self->reading_ = false;
                           if (wrong || !self->open_ || self->paused_) {
                               return;
                           }
                           self->read_ready();
                       });
}

void Stream::read_ready() {
    if (read_waiting()) {
        wait_read();
    }
}

void Stream::take_unread() {
    const auto self = shared_from_this();
    if (open_ && !paused_ && !ended_) {
        read_waiting();
    }
}

bool Stream::read_waiting() {
    // In real time one busy peer must not keep the others waiting; in virtual time all is read
    // before any of it is handled.
    for (int turns = 0; loop_.is_virtual() || turns < 16; ++turns) {
        asio::error_code wrong;
        auto& buffer = read_buffer();
        const std::size_t got = socket_.read_some(asio::buffer(buffer), wrong);
        if (wrong == asio::error::would_block) {
            break;
        }
        if (wrong) {
            ended(wrong == asio::error::eof ? "closed by the other side" : wrong.message());
            return false;
        }
        if (pair_) {
            loop_.ledger().read(pair_, side_, got);
        }
        if (loop_.is_virtual() && pair_) {
            inbox_.append(buffer.data(), got);
            if (std::exchange(inbox_due_, true)) {
                continue;
            }
            hand_over([self = shared_from_this()] {
                self->inbox_due_ = false;
                const std::string came = std::exchange(self->inbox_, {});
                if (self->open_ && !self->closing_ && self->on_data) {
                    self->on_data(came);
                }
            });
        } else if (!closing_ && on_data) {
            const auto self = shared_from_this();
            const std::string came(buffer.data(), got);
            on_data(came);
        }
        if (!open_ || paused_) {
            return false;
        }
    }
    return true;
}

void Stream::discard_unread() {
    asio::error_code wrong;
    for (int turns = 0; turns < 16 && !wrong; ++turns) {
        socket_.read_some(asio::buffer(read_buffer()), wrong);
    }
}

void Stream::ended(std::string reason) {
    if (std::exchange(ended_, true)) {
        return;
    }
    if (pair_) {
        loop_.ledger().saw_end(pair_, side_);
    }
    hand_over([self = shared_from_this(), reason = std::move(reason)] {
        if (self->closing_) {
            return self->finish();
        }
        if (self->open_ && self->on_end) {
            std::exchange(self->on_end, {})(reason);
        }
    });
}

void Stream::send(std::string bytes) {
    if (!open_ || closing_ || finishing_ || bytes.empty()) {
        return;
    }
    unsent_ += bytes.size();
    if (loop_.weather) {
        const std::string far = far_host();
        const Micros now = loop_.clock().now();
        Micros due = now + loop_.weather->delay(host_, far);
        const bool cut = loop_.weather->cut(host_, far);
        if (!held_.empty()) {
            due = std::max(due, held_.back().due);
        }
        if (cut || !held_.empty() || due > now) {
            held_.push_back({due, std::move(bytes)});
            if (!release_.set()) {
                release_.at(cut ? now + kCutLook : due, [this] { release_held(); });
            }
            return;
        }
    }
    to_kernel(std::move(bytes));
}

void Stream::write(std::string_view bytes) {
    const bool direct = open_ && !closing_ && !finishing_ && !loop_.weather && pair_ == 0 &&
                        queue_.empty() && !writing_;
    if (direct && !bytes.empty()) {
        asio::error_code wrong;
        const std::size_t took =
            socket_.write_some(asio::buffer(bytes.data(), bytes.size()), wrong);
        if (!wrong) {
            bytes.remove_prefix(took);
        }
    }
    send(std::string(bytes));
}

void Stream::release_held() {
    const auto self = shared_from_this();
    const Micros now = loop_.clock().now();
    const bool cut = loop_.weather && loop_.weather->cut(host_, far_host());
    while (!cut && !held_.empty() && held_.front().due <= now) {
        std::string bytes = std::move(held_.front().bytes);
        held_.pop_front();
        to_kernel(std::move(bytes));
        if (!open_) {
            return;
        }
    }
    if (!held_.empty()) {
        release_.at(cut ? now + kCutLook : held_.front().due, [this] { release_held(); });
    } else if (closing_ && queue_.empty()) {
        finish();
    } else if (finishing_ && queue_.empty()) {
        shut_sending();
    }
}

void Stream::to_kernel(std::string bytes) {
    if (pair_) {
        loop_.ledger().wrote(pair_, side_, bytes.size());
    }
    queue_.push_back(std::move(bytes));
    if (!writing_) {
        push();
    }
}

void Stream::push() {
    while (!queue_.empty()) {
        asio::error_code wrong;
        const std::string& first = queue_.front();
        const std::size_t took =
            socket_.write_some(asio::buffer(first.data() + offset_, first.size() - offset_), wrong);
        if (wrong == asio::error::would_block) {
            return wait_write();
        }
        if (wrong) {
            // Told at the next turn: whoever is sending is in the middle of its own work.
            if (pair_) {
                loop_.ledger().saw_end(pair_, side_);
            }
            asio::post(loop_.io(),
                       [self = shared_from_this(), why = wrong.message()] { self->ended(why); });
            queue_.clear();
            offset_ = unsent_ = 0;
            return;
        }
        unsent_ -= took;
        offset_ += took;
        if (offset_ < first.size()) {
            continue;
        }
        offset_ = 0;
        queue_.pop_front();
    }
    if (closing_ && held_.empty()) {
        return finish();
    }
    if (finishing_ && held_.empty()) {
        return shut_sending();
    }
    if (on_drained && unsent_ == 0) {
        on_drained();
    }
}

void Stream::wait_write() {
    writing_ = true;
    socket_.async_wait(tcp::socket::wait_write,
                       [self = shared_from_this()](const asio::error_code& wrong) {
                           self->writing_ = false;
                           if (!wrong && self->open_) {
                               self->push();
                           }
                       });
}

void Stream::pause_reading() {
    if (std::exchange(paused_, true)) {
        return;
    }
    if (pair_) {
        loop_.ledger().paused(pair_, side_, true);
    }
}

void Stream::resume_reading() {
    if (!std::exchange(paused_, false)) {
        return;
    }
    if (pair_) {
        loop_.ledger().paused(pair_, side_, false);
    }
    start();
}

void Stream::finish_sending() {
    if (!open_ || closing_ || std::exchange(finishing_, true)) {
        return;
    }
    if (queue_.empty() && held_.empty()) {
        shut_sending();
    }
}

void Stream::shut_sending() {
    asio::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void Stream::close(bool abort) {
    if (!open_) {
        return;
    }
    on_data = {};
    on_end = {};
    on_drained = {};
    if (abort) {
        asio::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        aborted_ = true;
        return finish();
    }
    if (std::exchange(closing_, true)) {
        return;
    }
    if ((queue_.empty() && held_.empty()) || ended_) {
        return finish();
    }
    // What still waits may be held by the weather; the last part gets the linger time from when it
    // may go.
    if (held_.empty()) {
        release_.after(kLinger, [self = shared_from_this()] { self->finish(); });
    }
}

void Stream::finish() {
    if (!std::exchange(open_, false)) {
        return;
    }
    const auto self = weak_from_this().lock();
    release_.stop();
    queue_.clear();
    held_.clear();
    unsent_ = 0;
    asio::error_code ignored;
    if (!ended_ && !aborted_) {
        discard_unread();
    }
    if (!ended_) {
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
    }
    socket_.close(ignored);
    if (pair_) {
        loop_.ledger().closed(std::exchange(pair_, 0), side_);
    }
}

PortHold::PortHold(Loop& loop) : socket_(loop.io()) {
    socket_.open(tcp::v4());
    socket_.set_option(tcp::socket::reuse_address(true));
    socket_.bind({asio::ip::address_v4::loopback(), 0});
}

Address PortHold::address() const {
    const auto here = socket_.local_endpoint();
    return {here.address().to_string(), here.port()};
}

// ---- Listener

struct Listener::State : std::enable_shared_from_this<Listener::State> {
    State(Loop& l, base::ActorId a, std::string h, std::function<void(StreamPtr)> f)
        : loop(l),
          actor(a),
          host(std::move(h)),
          on_stream(std::move(f)),
          acceptor(l.io()),
          again(l.clock(), a) {}

    void accept() {
        acceptor.async_accept(
            [self = shared_from_this()](const asio::error_code& wrong, tcp::socket socket) {
                if (!self->acceptor.is_open()) {
                    return;
                }
                if (wrong) {
                    return self->accept_later(wrong.message());
                }
                self->take(std::move(socket));
                if (self->acceptor.is_open()) {
                    self->accept();
                }
            });
    }

    // Without descriptors left an accept fails at once, again and again: wait a little, lose
    // nobody.
    void accept_later(const std::string& why) {
        if (on_trouble) {
            on_trouble(why);
        }
        again.after(50ms, [this] {
            if (acceptor.is_open()) {
                accept();
            }
        });
    }

    void take(tcp::socket socket) {
        asio::error_code wrong;
        const auto far = socket.remote_endpoint(wrong);
        if (wrong) {
            return;
        }
        InFlightBytes& ledger = loop.ledger();
        const InFlightBytes::PairId pair =
            loop.keeps_ledger ? ledger.accept(far.port(), port, host) : 0;
        auto stream =
            std::make_shared<Stream>(loop, actor, host, std::move(socket), pair, Side::Accepter);
        if (loop.is_virtual() && pair) {
            stream->start();
            ledger.hold(pair, Side::Accepter, [self = shared_from_this(), stream] {
                if (self->on_stream && self->acceptor.is_open()) {
                    self->on_stream(stream);
                } else {
                    stream->close(true);
                }
            });
        } else {
            on_stream(stream);
            stream->start();
        }
    }

    Loop& loop;
    base::ActorId actor;
    std::string host;
    std::function<void(StreamPtr)> on_stream;
    std::function<void(std::string)> on_trouble;
    tcp::acceptor acceptor;
    std::uint16_t port = 0;
    base::Timer again;
};

Listener::Listener(Loop& loop, base::ActorId actor, std::string host, const Address& at,
                   std::function<void(StreamPtr)> on_stream)
    : state_(std::make_shared<State>(loop, actor, std::move(host), std::move(on_stream))) {
    const auto endpoint = endpoint_of(at);
    state_->acceptor.open(endpoint.protocol());
    state_->acceptor.set_option(tcp::acceptor::reuse_address(true));
    state_->acceptor.bind(endpoint);
    state_->acceptor.listen(4096);
    state_->port = address().port;
    loop.ledger().listens(state_->port, state_->host);
    state_->accept();
}

Listener::~Listener() {
    close();
}

void Listener::close() {
    asio::error_code ignored;
    state_->on_stream = {};
    state_->on_trouble = {};
    state_->again.stop();
    state_->acceptor.close(ignored);
}

void Listener::on_trouble(std::function<void(std::string)> told) {
    state_->on_trouble = std::move(told);
}

Address Listener::address() const {
    const auto here = state_->acceptor.local_endpoint();
    return {here.address().to_string(), here.port()};
}

// ---- Dial

struct Dial::State : std::enable_shared_from_this<Dial::State> {
    State(Loop& l, base::ActorId a, std::string h, Address t,
          std::function<void(StreamPtr, std::string)> d)
        : loop(l),
          actor(a),
          host(std::move(h)),
          to(std::move(t)),
          done(std::move(d)),
          socket(l.io()),
          limit(l.clock(), a),
          way(l.clock(), a) {}

    void begin(Micros timeout) {
        limit.after(timeout, [this] { end(nullptr, "timed out"); });
        travel();
    }

    // The way there takes its time, and a cut lets nothing through: the time-out ends the wait.
    void travel() {
        if (!loop.weather) {
            return connect();
        }
        const std::string far = loop.ledger().listener(to.port);
        if (loop.weather->cut(host, far)) {
            return way.after(kCutLook, [this] { travel(); });
        }
        way.after(loop.weather->delay(host, far) + loop.weather->delay(far, host),
                  [this] { connect(); });
    }

    void connect() {
        asio::error_code wrong;
        const auto endpoint = endpoint_of(to);
        socket.open(endpoint.protocol(), wrong);
        if (wrong) {
            return end_later(wrong.message());
        }
        // The attempt itself gives the socket its port; what comes of it is handled in a later turn
        // of the loop.
        socket.async_connect(endpoint, [self = shared_from_this()](const asio::error_code& failed) {
            self->came(failed);
        });
        if (!loop.keeps_ledger) {
            return;
        }
        const auto here = socket.local_endpoint(wrong);
        if (!wrong) {
            pair = loop.ledger().dial(here.port(), to.port, host);
        }
    }

    void came(const asio::error_code& failed) {
        if (over) {
            return;
        }
        InFlightBytes& ledger = loop.ledger();
        if (failed) {
            if (loop.is_virtual() && pair) {
                ledger.hold(pair, Side::Dialler,
                            [self = shared_from_this(), why = failed.message()] {
                                self->end(nullptr, why);
                            });
                ledger.failed(std::exchange(pair, 0));
            } else {
                if (pair) {
                    ledger.failed(std::exchange(pair, 0));
                }
                end(nullptr, failed.message());
            }
            return;
        }
        if (pair) {
            ledger.connected(pair);
        }
        auto stream =
            std::make_shared<Stream>(loop, actor, host, std::move(socket), pair, Side::Dialler);
        if (loop.is_virtual() && pair) {
            stream->start();
            ledger.hold(pair, Side::Dialler, [self = shared_from_this(), stream] {
                if (self->over) {
                    stream->close(true);
                } else {
                    self->end(stream, {});
                }
            });
            pair = 0;
        } else {
            pair = 0;
            end(stream, {});
            stream->start();
        }
    }

    void end_later(std::string why) {
        way.after(Micros{0}, [this, why = std::move(why)] { end(nullptr, why); });
    }

    void end(StreamPtr stream, std::string why) {
        if (std::exchange(over, true)) {
            return;
        }
        const auto self = shared_from_this();
        cancel();
        if (done) {
            std::exchange(done, {})(std::move(stream), std::move(why));
        }
    }

    void cancel() {
        over = true;
        limit.stop();
        way.stop();
        if (pair) {
            loop.ledger().closed(std::exchange(pair, 0), Side::Dialler);
        }
        asio::error_code ignored;
        if (socket.is_open()) {
            socket.close(ignored);
        }
    }

    Loop& loop;
    base::ActorId actor;
    std::string host;
    Address to;
    std::function<void(StreamPtr, std::string)> done;
    tcp::socket socket;
    base::Timer limit, way;
    InFlightBytes::PairId pair = 0;
    bool over = false;
};

Dial::Dial(Loop& loop, base::ActorId actor, std::string host, const Address& to, Micros timeout,
           std::function<void(StreamPtr, std::string)> done)
    : state_(std::make_shared<State>(loop, actor, std::move(host), to, std::move(done))) {
    state_->begin(timeout);
}

Dial::~Dial() {
    state_->done = {};
    state_->cancel();
}

}  // namespace badgergrade::net
