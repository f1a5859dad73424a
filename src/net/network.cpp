#include "net/network.h"

#include <poll.h>

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

constexpr std::size_t kReadBufferBytes = 64 * 1024;
/// Reads of one stream before the loop serves the others.
constexpr int kMaxReadsPerTurn = 1;
/// Reads of take_unread().
constexpr int kMaxUnreadReads = 16;
/// Bytes up to which queued pieces are joined.
constexpr std::size_t kMaxJoinedBytes = 16 * 1024;
/// Time that a closed stream has to write its last bytes. If the peer does not read them in this
/// time they are lost.
constexpr Micros kLingerTimeout = 5s;
/// Interval at which a sender checks whether a partition has ended.
constexpr Micros kPartitionCheckInterval = 20ms;
/// Limit of the waits of up to 1 ms of real time for bytes in flight on loopback. Beyond it the
/// virtual clock is stuck.
constexpr int kMaxInFlightWaits = 20000;

std::array<char, kReadBufferBytes>& read_buffer() {
    thread_local std::array<char, kReadBufferBytes> buffer;
    return buffer;
}

tcp::endpoint endpoint_of(const Address& address) {
    asio::error_code error;
    const auto ip =
        asio::ip::make_address(address.host == "localhost" ? "127.0.0.1" : address.host, error);
    if (error) {
        throw std::invalid_argument("expected an IP address, got '" + address.host + "'");
    }
    return {ip, address.port};
}

}  // namespace

Address parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        throw std::invalid_argument("expected host:port, got '" + std::string(text) +
                                    "' with no port");
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 1 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view port = text.substr(colon + 1);
    unsigned value = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), value);
    if (error != std::errc{} || end != port.data() + port.size() || value > 65535 || host.empty()) {
        throw std::invalid_argument("expected host:port, got '" + std::string(text) + "'");
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
        for (int waits = 0; !ledger_.settled(); ++waits) {
            if (waits == kMaxInFlightWaits) {
                throw std::runtime_error(
                    "the virtual clock is stuck, bytes in flight (sent/received):" +
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
      release_timer_(loop.clock(), actor) {
    asio::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
    const auto remote = socket_.remote_endpoint(ignored);
    if (!ignored) {
        peer_ = to_text({remote.address().to_string(), remote.port()});
    }
}

Stream::~Stream() {
    if (pair_) {
        loop_.ledger().closed(pair_, side_);
    }
}

std::string Stream::peer_host() const {
    return pair_ ? loop_.ledger().host(pair_, other(side_)) : std::string{};
}

void Stream::start() {
    if (!reading_ && !paused_ && open_) {
        wait_read();
    }
}

void Stream::deliver(std::function<void()> event) {
    if (loop_.is_virtual() && pair_) {
        loop_.ledger().hold(pair_, side_, std::move(event));
    } else {
        event();
    }
}

void Stream::wait_read() {
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const asio::error_code& error) {
                           self->reading_ = false;
                           if (error || !self->open_ || self->paused_) {
                               return;
                           }
                           self->read_ready();
                       });
}

void Stream::read_ready() {
    if (read_available(kMaxReadsPerTurn)) {
        wait_read();
    }
}

void Stream::take_unread() {
    const auto self = shared_from_this();
    if (open_ && !paused_ && !ended_) {
        read_available(kMaxUnreadReads);
    }
}

bool Stream::read_available(int max_reads) {
    // Real time: one read for each pass of the loop, so that one busy peer does not delay the
    // others. Virtual time: all bytes are read before any of them are handled.
    for (int reads = 0; loop_.is_virtual() || reads < max_reads; ++reads) {
        asio::error_code error;
        auto& buffer = read_buffer();
        const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) {
            break;
        }
        if (error) {
            ended(error == asio::error::eof ? "closed by the peer" : error.message());
            return false;
        }
        if (pair_) {
            loop_.ledger().read(pair_, side_, size);
        }
        if (loop_.is_virtual() && pair_) {
            inbox_.append(buffer.data(), size);
            if (std::exchange(delivery_scheduled_, true)) {
                continue;
            }
            deliver([self = shared_from_this()] {
                self->delivery_scheduled_ = false;
                const std::string bytes = std::exchange(self->inbox_, {});
                if (self->open_ && !self->closing_ && self->on_data) {
                    self->on_data(bytes);
                }
            });
        } else if (!closing_ && on_data) {
            const auto self = shared_from_this();
            const std::string bytes(buffer.data(), size);
            on_data(bytes);
        }
        if (!open_ || paused_) {
            return false;
        }
    }
    return true;
}

bool Stream::peer_has_left() {
    if (pair_) {
        return false;
    }
    if (ended_ || !open_) {
        return true;
    }
    pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
    return poll(&descriptor, 1, 0) > 0;
}

void Stream::discard_unread() {
    asio::error_code error;
    for (int reads = 0; reads < 16 && !error; ++reads) {
        socket_.read_some(asio::buffer(read_buffer()), error);
    }
}

void Stream::ended(std::string reason) {
    if (std::exchange(ended_, true)) {
        return;
    }
    if (pair_) {
        loop_.ledger().saw_end(pair_, side_);
    }
    deliver([self = shared_from_this(), reason = std::move(reason)] {
        if (self->closing_) {
            return self->finish();
        }
        if (self->open_ && self->on_end) {
            std::exchange(self->on_end, {})(reason);
        }
    });
}

void Stream::send(std::string bytes) {
    if (!open_ || closing_ || half_closing_ || bytes.empty()) {
        return;
    }
    unsent_ += bytes.size();
    if (loop_.weather) {
        const std::string to_host = peer_host();
        const Micros now = loop_.clock().now();
        Micros due = now + loop_.weather->delay(host_, to_host);
        const bool partitioned = loop_.weather->cut(host_, to_host);
        if (!delayed_.empty()) {
            due = std::max(due, delayed_.back().due);
        }
        if (partitioned || !delayed_.empty() || due > now) {
            delayed_.push_back({due, std::move(bytes)});
            if (!release_timer_.set()) {
                release_timer_.at(partitioned ? now + kPartitionCheckInterval : due,
                                  [this] { release_delayed(); });
            }
            return;
        }
    }
    queue_for_kernel(std::move(bytes));
}

void Stream::write(std::string_view bytes) {
    const bool direct = open_ && !closing_ && !half_closing_ && !loop_.weather && pair_ == 0 &&
                        queue_.empty() && !writing_;
    if (direct && !bytes.empty()) {
        asio::error_code error;
        const std::size_t written =
            socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
        if (!error) {
            bytes.remove_prefix(written);
        }
    }
    send(std::string(bytes));
}

std::size_t Stream::held_bytes() const {
    std::size_t held = 0;
    for (const std::string& piece : queue_) {
        held += sizeof(std::string) + piece.capacity();
    }
    for (const DelayedBytes& piece : delayed_) {
        held += sizeof piece + piece.bytes.capacity();
    }
    return held;
}

void Stream::release_delayed() {
    const auto self = shared_from_this();
    const Micros now = loop_.clock().now();
    const bool partitioned = loop_.weather && loop_.weather->cut(host_, peer_host());
    while (!partitioned && !delayed_.empty() && delayed_.front().due <= now) {
        std::string bytes = std::move(delayed_.front().bytes);
        delayed_.pop_front();
        queue_for_kernel(std::move(bytes));
        if (!open_) {
            return;
        }
    }
    if (!delayed_.empty()) {
        release_timer_.at(partitioned ? now + kPartitionCheckInterval : delayed_.front().due,
                          [this] { release_delayed(); });
    } else if (closing_ && queue_.empty()) {
        finish();
    } else if (half_closing_ && queue_.empty()) {
        shut_sending();
    }
}

void Stream::queue_for_kernel(std::string bytes) {
    if (pair_) {
        loop_.ledger().wrote(pair_, side_, bytes.size());
    }
    // Small pieces are joined: a string for each would hold several times their bytes.
    if (!queue_.empty() && queue_.back().size() + bytes.size() <= kMaxJoinedBytes) {
        queue_.back() += bytes;
    } else {
        queue_.push_back(std::move(bytes));
    }
    if (!writing_) {
        write_queued();
    }
}

void Stream::write_queued() {
    while (!queue_.empty()) {
        asio::error_code error;
        const std::string& first = queue_.front();
        const std::size_t written = socket_.write_some(
            asio::buffer(first.data() + first_offset_, first.size() - first_offset_), error);
        if (error == asio::error::would_block) {
            return wait_write();
        }
        if (error) {
            // Reported from the loop, not from here: the caller of send() must not be re-entered.
            if (pair_) {
                loop_.ledger().saw_end(pair_, side_);
            }
            asio::post(loop_.io(), [self = shared_from_this(), reason = error.message()] {
                self->ended(reason);
            });
            queue_.clear();
            first_offset_ = unsent_ = 0;
            return;
        }
        unsent_ -= written;
        first_offset_ += written;
        if (first_offset_ < first.size()) {
            continue;
        }
        first_offset_ = 0;
        queue_.pop_front();
    }
    if (closing_ && delayed_.empty()) {
        return finish();
    }
    if (half_closing_ && delayed_.empty()) {
        return shut_sending();
    }
    if (on_drained && unsent_ == 0) {
        on_drained();
    }
}

void Stream::wait_write() {
    writing_ = true;
    socket_.async_wait(tcp::socket::wait_write,
                       [self = shared_from_this()](const asio::error_code& error) {
                           self->writing_ = false;
                           if (!error && self->open_) {
                               self->write_queued();
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
    if (!open_ || closing_ || std::exchange(half_closing_, true)) {
        return;
    }
    if (queue_.empty() && delayed_.empty()) {
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
    if ((queue_.empty() && delayed_.empty()) || ended_) {
        return finish();
    }
    // The linger timeout starts here unless bytes are still delayed by the network conditions.
    if (delayed_.empty()) {
        release_timer_.after(kLingerTimeout, [self = shared_from_this()] { self->finish(); });
    }
}

void Stream::finish() {
    if (!std::exchange(open_, false)) {
        return;
    }
    const auto self = weak_from_this().lock();
    release_timer_.stop();
    queue_.clear();
    delayed_.clear();
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
    const auto endpoint = socket_.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

// ---- Listener

struct Listener::State : std::enable_shared_from_this<Listener::State> {
    State(Loop& owner_loop, base::ActorId owner_actor, std::string host_name,
          std::function<void(StreamPtr)> stream_callback)
        : loop(owner_loop),
          actor(owner_actor),
          host(std::move(host_name)),
          on_stream(std::move(stream_callback)),
          acceptor(owner_loop.io()),
          retry_timer(owner_loop.clock(), owner_actor) {}

    void accept() {
        acceptor.async_accept(
            [self = shared_from_this()](const asio::error_code& error, tcp::socket socket) {
                if (!self->acceptor.is_open()) {
                    return;
                }
                if (error) {
                    return self->accept_later(error.message());
                }
                self->on_accepted(std::move(socket));
                if (self->acceptor.is_open()) {
                    self->accept();
                }
            });
    }

    /// Retries after a delay: without a free file descriptor each accept fails at once. Connections
    /// wait in the backlog meanwhile.
    void accept_later(const std::string& reason) {
        if (on_trouble) {
            on_trouble(reason);
        }
        retry_timer.after(50ms, [this] {
            if (acceptor.is_open()) {
                accept();
            }
        });
    }

    void on_accepted(tcp::socket socket) {
        asio::error_code error;
        const auto remote = socket.remote_endpoint(error);
        if (error) {
            return;
        }
        InFlightBytes& ledger = loop.ledger();
        const InFlightBytes::PairId pair =
            loop.keeps_ledger ? ledger.accept(remote.port(), port, host) : 0;
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
    base::Timer retry_timer;
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
    state_->retry_timer.stop();
    state_->acceptor.close(ignored);
}

void Listener::on_trouble(std::function<void(std::string)> callback) {
    state_->on_trouble = std::move(callback);
}

Address Listener::address() const {
    const auto endpoint = state_->acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

// ---- Dial

struct Dial::State : std::enable_shared_from_this<Dial::State> {
    State(Loop& owner_loop, base::ActorId owner_actor, std::string host_name, Address destination,
          std::function<void(StreamPtr, std::string)> done_callback)
        : loop(owner_loop),
          actor(owner_actor),
          host(std::move(host_name)),
          to(std::move(destination)),
          done(std::move(done_callback)),
          socket(owner_loop.io()),
          timeout_timer(owner_loop.clock(), owner_actor),
          delay_timer(owner_loop.clock(), owner_actor) {}

    void begin(Micros timeout) {
        timeout_timer.after(timeout, [this] { end(nullptr, "timed out"); });
        wait_for_network();
    }

    /// Connects after the round-trip delay of the network conditions. During a partition it waits,
    /// at most until the timeout.
    void wait_for_network() {
        if (!loop.weather) {
            return connect();
        }
        const std::string to_host = loop.ledger().listener(to.port);
        if (loop.weather->cut(host, to_host)) {
            return delay_timer.after(kPartitionCheckInterval, [this] { wait_for_network(); });
        }
        delay_timer.after(loop.weather->delay(host, to_host) + loop.weather->delay(to_host, host),
                          [this] { connect(); });
    }

    void connect() {
        asio::error_code error;
        const auto endpoint = endpoint_of(to);
        socket.open(endpoint.protocol(), error);
        if (error) {
            return end_later(error.message());
        }
        // The socket has its local port once the attempt has begun. The result is handled in a
        // later iteration of the loop.
        socket.async_connect(endpoint,
                             [self = shared_from_this()](const asio::error_code& connect_error) {
                                 self->on_connect_result(connect_error);
                             });
        if (!loop.keeps_ledger) {
            return;
        }
        const auto local = socket.local_endpoint(error);
        if (!error) {
            pair = loop.ledger().dial(local.port(), to.port, host);
        }
    }

    void on_connect_result(const asio::error_code& error) {
        if (ended) {
            return;
        }
        InFlightBytes& ledger = loop.ledger();
        if (error) {
            if (loop.is_virtual() && pair) {
                ledger.hold(pair, Side::Dialler,
                            [self = shared_from_this(), reason = error.message()] {
                                self->end(nullptr, reason);
                            });
                ledger.failed(std::exchange(pair, 0));
            } else {
                if (pair) {
                    ledger.failed(std::exchange(pair, 0));
                }
                end(nullptr, error.message());
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
                if (self->ended) {
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

    /// Ends from the loop, so that `done` is not called from the constructor of Dial.
    void end_later(std::string reason) {
        delay_timer.after(Micros{0}, [this, reason = std::move(reason)] { end(nullptr, reason); });
    }

    void end(StreamPtr stream, std::string reason) {
        if (std::exchange(ended, true)) {
            return;
        }
        const auto self = shared_from_this();
        cancel();
        if (done) {
            std::exchange(done, {})(std::move(stream), std::move(reason));
        }
    }

    void cancel() {
        ended = true;
        timeout_timer.stop();
        delay_timer.stop();
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
    base::Timer timeout_timer;
    base::Timer delay_timer;
    InFlightBytes::PairId pair = 0;
    bool ended = false;
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
