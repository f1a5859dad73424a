// A small HTTP/1.1 server and client on streams: for the registry, probes, workers, forwarders and
// clients.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/http1.h"
#include "net/network.h"

namespace badgergrade::net {

class HttpServer;

// One request that waits for its answer. The answer may come later; the peer may go away meanwhile.
class HttpExchange {
public:
    HttpMessage request;
    // The client went away before the answer.
    std::function<void()> on_gone;

    bool open() const { return connection_ != 0; }

    void answer(HttpMessage response);
    // Breaks the connection off without an answer.
    void break_off();

private:
    friend class HttpServer;
    HttpServer* server_ = nullptr;
    std::uint64_t connection_ = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

class HttpServer {
public:
    HttpServer(Loop& loop, base::ActorId actor, std::string host, const Address& at,
               HttpLimits limits, std::size_t connections_most);
    ~HttpServer();

    std::function<void(HttpExchangePtr)> on_request;
    // A connection was taken; tells how many stand now. May be unset.
    std::function<void(std::size_t)> on_connection;
    std::function<void(const std::string& peer, const std::string& why)> on_trouble;

    Address address() const { return listener_->address(); }

    std::size_t connections() const { return connections_.size(); }

    void limit_connections(std::size_t most) { most_ = most; }

    // Ends all connections at once, as when the process dies.
    void abort();

private:
    friend class HttpExchange;

    struct Connection {
        StreamPtr stream;
        std::unique_ptr<Http1Parser> parser;
        std::deque<HttpMessage> waiting;
        HttpExchangePtr now;
        bool feeding = false, last = false;
    };

    void accept(StreamPtr stream);
    void came(std::uint64_t id, std::string_view bytes);
    void next(std::uint64_t id);
    void answer(std::uint64_t id, HttpMessage response);
    void drop(std::uint64_t id, bool abort);

    HttpLimits limits_;
    std::size_t most_;
    std::uint64_t ids_ = 0;
    std::map<std::uint64_t, Connection> connections_;
    std::unique_ptr<Listener> listener_;
};

// How a try over HTTP ended, with what it proves about the far side.
struct HttpOutcome {
    enum class How {
        Answered,
        NeverSent,  // refused, no connection, nothing written: it surely never ran
        Broken,     // the connection broke after bytes were written: it may have run
        TimedOut,
    };
    How how = How::NeverSent;
    HttpMessage response;
    std::string why;
    bool fresh_connection = false;
};

// Connections to one address, kept open between tries, one try at a time on each.
class HttpPool {
public:
    HttpPool(Loop& loop, base::ActorId actor, std::string host, Address to, Micros connect_timeout,
             Micros idle);
    ~HttpPool();

    using Done = std::function<void(HttpOutcome)>;
    using TryId = std::uint64_t;
    // `timeout` counts from now; `done` is called once, never from within send(). Where `silence`
    // is given, an answer that has begun may take longer, as long as no pause in it is longer than
    // that.
    TryId send(HttpMessage request, Micros timeout, Done done, Micros silence = Micros{0});
    // Gives a try up: its connection is closed, `done` is not called.
    void cancel(TryId id);

    std::size_t connections() const { return links_.size(); }

    // Reads what has come on all connections, without waiting for their turn.
    void take_unread();
    // Closes what is idle and every other connection when its try is over.
    void retire();

private:
    struct Try {
        HttpMessage request;
        Done done;
        base::Timer limit;
        std::unique_ptr<Dial> dial;
        std::uint64_t link = 0;
        bool written = false, fresh = false;
        Micros silence{}, due{};
    };

    struct Link {
        StreamPtr stream;
        std::unique_ptr<Http1Parser> parser;
        base::Timer idle;
        TryId now = 0;
        bool feeding = false, dead = false;
    };

    void overdue(TryId id);
    void on_link(TryId id, std::uint64_t link);
    void add_link(TryId id, StreamPtr stream);
    void answered(std::uint64_t link, HttpMessage response);
    void link_over(std::uint64_t link, const std::string& why);
    void end(TryId id, HttpOutcome outcome);

    Loop& loop_;
    base::ActorId actor_;
    std::string host_;
    Address to_;
    Micros connect_timeout_, idle_;
    std::uint64_t ids_ = 0;
    bool retired_ = false;
    std::map<TryId, std::unique_ptr<Try>> tries_;
    std::map<std::uint64_t, std::unique_ptr<Link>> links_;
    // What ended is destroyed at the next turn: it may be what is calling.
    base::Timer sweep_;
    std::vector<std::unique_ptr<Link>> dead_links_;
    std::vector<std::unique_ptr<Try>> dead_tries_;
};

}  // namespace badgergrade::net
