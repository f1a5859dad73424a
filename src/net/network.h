/// TCP on an event loop: listeners, outgoing connections and byte streams. Everything runs on one
/// thread; callbacks run on the loop.
///
/// A Loop owns the clock. For a scenario that runs in one process it also keeps account of the
/// bytes in flight (ledger.h) and applies network conditions: delays and partitions between hosts,
/// which are identified by name. Without those it is an ordinary Asio loop.
///
/// Under the virtual clock all bytes in flight are received and handled before the next timer runs,
/// in an order that does not depend on the kernel.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "net/ledger.h"

namespace badgergrade::net {

using base::Micros;

/// Network conditions between two hosts, which are identified by name.
class Weather {
public:
    virtual ~Weather() = default;
    /// Delay of bytes from one host to another, in addition to that of the loopback interface.
    virtual Micros delay(const std::string& from, const std::string& to) = 0;
    /// Whether the hosts are partitioned. Bytes then wait at the sender until the partition ends.
    virtual bool cut(const std::string& from, const std::string& to) = 0;
};

/// An IP address or "localhost", and a TCP port.
struct Address {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    friend auto operator<=>(const Address&, const Address&) = default;
};

/// Parses "host:port" or "[IPv6 address]:port". Throws std::invalid_argument with the reason.
Address parse_address(std::string_view text);
/// The text form that parse_address reads.
std::string to_text(const Address& address);

/// An event loop and its clock.
class Loop {
public:
    /// Real time, or time that runs `speed` times as fast.
    explicit Loop(double speed = 1);
    /// Virtual time that starts at `begin`. It advances only in run() and run_until(), as fast as
    /// the work allows.
    explicit Loop(Micros begin);
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    base::Clock& clock() { return *clock_; }

    asio::io_context& io() { return io_; }

    InFlightBytes& ledger() { return ledger_; }

    bool is_virtual() const { return virtual_ != nullptr; }

    /// Network conditions between the hosts of this loop; null for none.
    Weather* weather = nullptr;
    /// Whether the bytes in flight of this loop's connections are accounted for. Scenarios in one
    /// process need it, a control plane instance on its own does not.
    bool keeps_ledger = false;

    /// Runs until the clock reaches `when` or stop() is called. In virtual time the clock then
    /// jumps to `when` even if no timer is left before it.
    void run_until(Micros when);
    /// Runs until stop() is called; in virtual time, at most until no timer is left.
    void run();
    void stop();

    bool stopped() const { return stopped_; }

private:
    /// Receives and handles bytes until none are in flight. Virtual time only.
    void settle();

    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::unique_ptr<base::Clock> clock_;
    base::VirtualClock* virtual_ = nullptr;
    InFlightBytes ledger_;
    bool stopped_ = false;
};

/// One TCP connection. Sent bytes are queued without limit: the caller watches unsent().
class Stream : public std::enable_shared_from_this<Stream> {
public:
    /// `host` is the name of the host at this end, for the network conditions.
    Stream(Loop& loop, base::ActorId actor, std::string host, asio::ip::tcp::socket socket,
           InFlightBytes::PairId pair, Side side);
    ~Stream();

    /// Called with the bytes received; never after close().
    std::function<void(std::string_view)> on_data;
    /// The peer closed the connection or it broke. Called once, with the reason; never after
    /// close().
    std::function<void(std::string)> on_end;
    /// The kernel has accepted all bytes that were given to send() so far.
    std::function<void()> on_drained;

    /// Starts to read.
    void start();
    /// Queues bytes to be sent.
    void send(std::string bytes);
    /// Same as send(), but copies only the bytes that the kernel does not accept at once.
    void write(std::string_view bytes);

    /// Bytes given to send() that the kernel has not accepted yet.
    std::size_t unsent() const { return unsent_; }

    /// Memory that the bytes occupy that the kernel has not accepted yet.
    std::size_t held_bytes() const;

    /// Backpressure: reads nothing, so that the peer's sends eventually block.
    void pause_reading();
    void resume_reading();
    /// Reads the bytes that the kernel has received so far, without waiting for the loop to reach
    /// this stream. For a caller that is about to time out a silent peer: it may be this process
    /// that is late.
    void take_unread();
    /// Half-close: sends the queued bytes and then the end of the stream, and goes on reading.
    /// Closing a socket that has unread input resets the connection instead, and the peer may lose
    /// the last bytes sent to it.
    void finish_sending();
    /// Sends the queued bytes, then closes the connection. With `abort`, drops the queued bytes and
    /// resets the connection.
    void close(bool abort = false);

    bool open() const { return open_; }

    /// Whether the peer has closed or reset the connection, even if bytes that it sent before are
    /// not read yet. For a caller that is about to start something for it. Always false for
    /// accounted connections (ledger.h), whose ends are delivered in order.
    bool peer_has_left();

    /// Address of the peer as text.
    std::string peer() const { return peer_; }

private:
    /// Bytes that the network conditions delay until `due`.
    struct DelayedBytes {
        Micros due;
        std::string bytes;
    };

    void wait_read();
    void read_ready();
    /// Reads and passes on received bytes, in real time with so many reads at most. False if the
    /// stream has ended or is paused.
    bool read_available(int max_reads);
    /// Discards received bytes, so that closing the socket does not reset the connection.
    void discard_unread();
    void shut_sending();
    void wait_write();
    /// Writes queued bytes until the kernel accepts no more.
    void write_queued();
    /// Queues the delayed bytes that are due.
    void release_delayed();
    void queue_for_kernel(std::string bytes);
    /// Handles the end of the peer's bytes or an error.
    void ended(std::string reason);
    /// Calls `event`; under the virtual clock not before all bytes in flight have been received.
    void deliver(std::function<void()> event);
    /// Closes the socket at once.
    void finish();
    /// Name of the host at the other end; empty if it is not known.
    std::string peer_host() const;

    Loop& loop_;
    std::string host_;
    asio::ip::tcp::socket socket_;
    InFlightBytes::PairId pair_;
    Side side_;
    std::string peer_;
    /// Bytes to be written; the first `first_offset_` bytes of the first entry are written.
    std::deque<std::string> queue_;
    std::size_t first_offset_ = 0;
    std::size_t unsent_ = 0;
    std::deque<DelayedBytes> delayed_;
    /// Runs release_delayed(), or ends a close that lingers.
    base::Timer release_timer_;
    /// Virtual time: bytes received and not yet delivered, and whether their delivery is scheduled.
    std::string inbox_;
    bool delivery_scheduled_ = false;
    bool open_ = true;
    /// Whether a wait for the socket to become readable is pending.
    bool reading_ = false;
    bool paused_ = false;
    /// Whether a wait for the socket to become writable is pending.
    bool writing_ = false;
    /// Whether the peer's end of the stream or an error was seen.
    bool ended_ = false;
    /// close(): the socket is closed when the queued bytes are written.
    bool closing_ = false;
    /// finish_sending(): the sending half is shut down when the queued bytes are written.
    bool half_closing_ = false;
    bool aborted_ = false;
};

using StreamPtr = std::shared_ptr<Stream>;

/// Reserves a loopback port for a simulated process that ends and starts again at its old address.
/// The socket is bound but does not listen, so that meanwhile connections are refused and no other
/// socket takes the port.
class PortHold {
public:
    explicit PortHold(Loop& loop);
    Address address() const;

private:
    asio::ip::tcp::socket socket_;
};

/// Accepts connections at one address.
class Listener {
public:
    /// Listens at `at`; port 0 selects a free port. `on_stream` is called with each connection.
    /// Throws std::system_error, for example if the port is in use.
    Listener(Loop& loop, base::ActorId actor, std::string host, const Address& at,
             std::function<void(StreamPtr)> on_stream);
    ~Listener();
    /// Sets the callback for a failure to accept for lack of file descriptors or memory, which is
    /// called with the reason. Accepting is retried after a delay in any case.
    void on_trouble(std::function<void(std::string)> callback);
    Address address() const;
    /// Stops listening: new connections are refused. Streams that were accepted stay open.
    void close();

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// One attempt to connect, limited by a timeout. `done` is called once, with a started stream, or
/// with null and the reason. Destroying the object cancels the attempt.
class Dial {
public:
    Dial(Loop& loop, base::ActorId actor, std::string host, const Address& to, Micros timeout,
         std::function<void(StreamPtr, std::string)> done);
    ~Dial();
    Dial(const Dial&) = delete;

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace badgergrade::net
