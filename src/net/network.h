// Sockets for one host: listen, dial, and streams of bytes. All of it on one thread; callbacks run
// on the loop.
//
// A Loop carries the clock and, for a day that is played in one process, the ledger and the weather
// (delays and cuts between hosts). Without those it is an ordinary Asio loop.
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

// The day's way between two hosts, by name.
class Weather {
public:
    virtual ~Weather() = default;
    // How long bytes from one host take to another, on top of the loopback itself.
    virtual Micros delay(const std::string& from, const std::string& to) = 0;
    // Nothing passes while cut: bytes wait at the sender until it is over.
    virtual bool cut(const std::string& from, const std::string& to) = 0;
};

struct Address {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    friend auto operator<=>(const Address&, const Address&) = default;
};

// "host:port", "[v6]:port"; throws std::invalid_argument that says what is wrong.
Address parse_address(std::string_view text);
std::string to_text(const Address& address);

class Loop {
public:
    // Real time, or time that runs so many times faster.
    explicit Loop(double speed = 1);
    // Virtual time: `until` is reached by run_until only, as fast as the work allows.
    explicit Loop(Micros begin);
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    base::Clock& clock() { return *clock_; }

    asio::io_context& io() { return io_; }

    InFlightBytes& ledger() { return ledger_; }

    bool is_virtual() const { return virtual_ != nullptr; }

    Weather* weather = nullptr;
    // Whether connections of this loop enter the ledger (days do; a governor alone does not need
    // it).
    bool keeps_ledger = false;

    // Runs until the clock shows this or stop() is called.
    void run_until(Micros when);
    void run();
    void stop();

    bool stopped() const { return stopped_; }

private:
    void settle();

    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::unique_ptr<base::Clock> clock_;
    base::VirtualClock* virtual_ = nullptr;
    InFlightBytes ledger_;
    bool stopped_ = false;
};

class Stream : public std::enable_shared_from_this<Stream> {
public:
    // `host` is the name of the host this end belongs to, for the weather.
    Stream(Loop& loop, base::ActorId actor, std::string host, asio::ip::tcp::socket socket,
           InFlightBytes::PairId pair, Side side);
    ~Stream();

    // Called with what came; never after close().
    std::function<void(std::string_view)> on_data;
    // The other side closed or the connection broke: once, with the reason; never after close().
    std::function<void(std::string)> on_end;
    // Everything handed to send() so far has been taken by the kernel.
    std::function<void()> on_drained;

    void start();
    void send(std::string bytes);
    // The same without handing the bytes over: they are copied only where the kernel does not take
    // them at once.
    void write(std::string_view bytes);

    // Bytes handed to send() which the kernel has not taken yet.
    std::size_t unsent() const { return unsent_; }

    void pause_reading();
    void resume_reading();
    // Reads what the kernel holds by now, without waiting for this stream's turn: for whoever is
    // about to give a peer up for its silence, and may itself have been the one that was late.
    void take_unread();
    // Half-close: sends what is queued, then the end; what the other side still sends is read on. A
    // close while input waits unread is a reset, which may cost the other side the last bytes it
    // was sent.
    void finish_sending();
    // Sends what is queued, then ends. With `abort`, queued bytes are dropped and the other side
    // sees a reset.
    void close(bool abort = false);

    bool open() const { return open_; }

    std::string peer() const { return peer_; }

private:
    struct Held {
        Micros due;
        std::string bytes;
    };

    void wait_read();
    void read_ready();
    // False where the stream is over or paused.
    bool read_waiting();
    void discard_unread();
    void shut_sending();
    void wait_write();
    void push();
    void release_held();
    void to_kernel(std::string bytes);
    void ended(std::string reason);
    void hand_over(std::function<void()> event);
    void finish();
    std::string far_host() const;

    Loop& loop_;
    std::string host_;
    asio::ip::tcp::socket socket_;
    InFlightBytes::PairId pair_;
    Side side_;
    std::string peer_;
    std::deque<std::string> queue_;
    std::size_t offset_ = 0, unsent_ = 0;
    std::deque<Held> held_;
    base::Timer release_;
    std::string inbox_;
    bool inbox_due_ = false;
    bool open_ = true, reading_ = false, paused_ = false, writing_ = false, ended_ = false,
         closing_ = false;
    bool finishing_ = false, aborted_ = false;
};

using StreamPtr = std::shared_ptr<Stream>;

// Keeps a loopback port for a process of a day that dies and comes back at its old address: bound,
// not listening, so that meanwhile connections are refused and no other socket takes the port.
class PortHold {
public:
    explicit PortHold(Loop& loop);
    Address address() const;

private:
    asio::ip::tcp::socket socket_;
};

class Listener {
public:
    // Listens on the address; port 0 takes a free one. Throws std::system_error (port in use, ...).
    Listener(Loop& loop, base::ActorId actor, std::string host, const Address& at,
             std::function<void(StreamPtr)> on_stream);
    ~Listener();
    // Accepting fails for want of descriptors or memory; it is tried again by itself. May be unset.
    void on_trouble(std::function<void(std::string)> told);
    Address address() const;
    // While closed to newcomers, connections are refused as if nothing listened.
    void close();

private:
    struct State;
    std::shared_ptr<State> state_;
};

// Dials; on success a started stream, else null and the reason. Bounded by the time-out.
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
