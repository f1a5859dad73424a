/// A small HTTP/1.1 server and client on streams. Used for the registry, health checks, and the
/// fakes of the testbed: servers, proxies and clients. The server answers pipelined requests of a
/// connection one after the other, and starts none for a client that has left. What all connections
/// of a server hold together is bounded (memory_budget.h). The client keeps connections to one
/// address alive and runs one request at a time on each.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/http1.h"
#include "net/memory_budget.h"
#include "net/network.h"

namespace badgergrade::net {

class HttpServer;

/// A request that the server has received and not answered yet. The answer may be given at any
/// later time; meanwhile the client may close the connection.
class HttpExchange {
public:
    HttpMessage request;
    /// The connection closed before the answer.
    std::function<void()> on_gone;

    /// Whether the connection is open and the request is not answered yet.
    bool open() const { return connection_ != 0; }

    void answer(HttpMessage response);
    /// Resets the connection instead of answering.
    void break_off();

private:
    friend class HttpServer;
    HttpServer* server_ = nullptr;
    /// Id of the connection; 0 when answered or closed.
    std::uint64_t connection_ = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// The default limit of the memory that all connections of a server hold.
constexpr std::size_t kMaxHttpServerHeldBytes = std::size_t{32} << 20;

/// Accepts connections at one address and passes on their requests.
class HttpServer {
public:
    HttpServer(Loop& loop, base::ActorId actor, std::string host, const Address& at,
               HttpLimits limits, std::size_t max_connections,
               std::size_t max_held_bytes = kMaxHttpServerHeldBytes);
    ~HttpServer();

    std::function<void(HttpExchangePtr)> on_request;
    /// A connection was accepted; the argument is the number of open connections. May be unset.
    std::function<void(std::size_t)> on_connection;
    /// For the log: a connection was refused or sent invalid HTTP. May be unset.
    std::function<void(const std::string& peer, const std::string& reason)> on_trouble;

    Address address() const { return listener_->address(); }

    std::size_t connections() const { return connections_.size(); }

    /// Memory of incomplete and waiting requests and of unsent answers.
    std::size_t held_bytes() const { return memory_budget_.held_bytes(); }

    void limit_connections(std::size_t max_connections) { max_connections_ = max_connections; }

    /// Stops listening and resets all connections, as when the process crashes.
    void abort();

private:
    friend class HttpExchange;

    struct Connection {
        StreamPtr stream;
        std::unique_ptr<Http1Parser> parser;
        /// Pipelined requests behind the current one.
        std::deque<HttpMessage> pipelined;
        /// The request that is being answered, if any.
        HttpExchangePtr current;
        bool feeding = false;
        /// Whether the connection closes after the current answer.
        bool last = false;
        std::unique_ptr<MemoryBudget::Account> held_memory;
    };

    void accept(StreamPtr stream);
    /// Counts what a connection holds, and resets the largest holders over the limit.
    void account_memory(std::uint64_t id);
    static std::size_t held_bytes(const Connection& connection);
    void on_bytes(std::uint64_t id, std::string_view bytes);
    /// Starts the next pipelined request if none is being answered.
    void start_next(std::uint64_t id);
    void answer(std::uint64_t id, HttpMessage response);
    /// Closes the connection, with a reset if `abort`.
    void drop(std::uint64_t id, bool abort);

    HttpLimits limits_;
    std::size_t max_connections_;
    std::uint64_t last_id_ = 0;
    /// Before the connections, which have accounts in it.
    MemoryBudget memory_budget_;
    std::map<std::uint64_t, Connection> connections_;
    std::unique_ptr<Listener> listener_;
};

/// How an attempt over HTTP ended, and what that shows about its execution at the peer.
struct HttpOutcome {
    enum class How {
        Answered,
        NeverSent,  // refused, not connected or nothing written: surely not executed
        Broken,     // the connection broke after bytes were written: it may have been executed
        TimedOut,   // no answer in time after bytes were written: it may have been executed
    };
    How how = How::NeverSent;
    /// Valid if answered.
    HttpMessage response;
    /// Reason of a failure.
    std::string why;
    /// Whether the attempt opened a connection.
    bool fresh_connection = false;
};

/// Connection pool for one address. A connection carries one attempt at a time and is kept open for
/// the next one; an attempt that finds none idle opens one.
class HttpPool {
public:
    HttpPool(Loop& loop, base::ActorId actor, std::string host, Address to, Micros connect_timeout,
             Micros idle_timeout);
    ~HttpPool();

    using Done = std::function<void(HttpOutcome)>;
    using TryId = std::uint64_t;
    /// Starts an attempt; `timeout` counts from now. `done` is called once, never from within
    /// send(). If `max_pause` is not 0, an answer that has begun may take longer than `timeout`, as
    /// long as no pause in it is longer than `max_pause`.
    TryId send(HttpMessage request, Micros timeout, Done done, Micros max_pause = Micros{0});
    /// Cancels an attempt: its connection is closed and `done` is not called.
    void cancel(TryId id);

    std::size_t connections() const { return connections_.size(); }

    /// Reads the bytes that the kernel has received on all connections, without waiting for the
    /// loop to reach them (see Stream::take_unread).
    void take_unread();
    /// Closes idle connections now, and each other one when its attempt ends.
    void retire();

private:
    struct Attempt {
        HttpMessage request;
        Done done;
        base::Timer timeout_timer;
        std::unique_ptr<Dial> dial;
        /// Id of its connection; 0 while connecting.
        std::uint64_t connection_id = 0;
        /// Whether the request was given to a connection.
        bool written = false;
        /// Whether the connection was opened for this attempt.
        bool fresh_connection = false;
        Micros max_pause{};
        Micros deadline{};
    };

    struct PooledConnection {
        StreamPtr stream;
        std::unique_ptr<Http1Parser> parser;
        base::Timer idle_timer;
        /// The attempt that uses the connection; 0 for none.
        TryId attempt = 0;
        /// Whether the parser is processing received bytes; closing is deferred meanwhile.
        bool parsing = false;
        /// Whether the connection closes and must not be used again.
        bool closing = false;
    };

    void on_deadline(TryId id);
    /// Sends the request of an attempt on an idle connection.
    void send_on(TryId id, std::uint64_t connection_id);
    /// Adds the connection that was opened for an attempt.
    void add_connection(TryId id, StreamPtr stream);
    void on_response(std::uint64_t connection_id, HttpMessage response);
    /// Closes a connection. Its attempt, if any, ends as broken, with the reason.
    void close_connection(std::uint64_t connection_id, const std::string& reason);
    void end(TryId id, HttpOutcome outcome);

    Loop& loop_;
    base::ActorId actor_;
    std::string host_;
    Address to_;
    Micros connect_timeout_;
    Micros idle_timeout_;
    /// Last id given to an attempt or a connection.
    std::uint64_t last_id_ = 0;
    bool retired_ = false;
    std::map<TryId, std::unique_ptr<Attempt>> attempts_;
    std::map<std::uint64_t, std::unique_ptr<PooledConnection>> connections_;
    /// Destroys what has ended in the next iteration of the loop: a callback of it may be running
    /// now.
    base::Timer cleanup_timer_;
    std::vector<std::unique_ptr<PooledConnection>> closed_connections_;
    std::vector<std::unique_ptr<Attempt>> ended_attempts_;
};

}  // namespace badgergrade::net
