#include "net/http_server.h"

namespace badgergrade::net {

void HttpExchange::answer(HttpMessage response) {
    if (const auto id = std::exchange(connection_, 0)) {
        server_->answer(id, std::move(response));
    }
}

void HttpExchange::break_off() {
    if (const auto id = std::exchange(connection_, 0)) {
        server_->drop(id, true);
    }
}

HttpServer::HttpServer(Loop& loop, base::ActorId actor, std::string host, const Address& at,
                       HttpLimits limits, std::size_t max_connections, std::size_t max_held_bytes)
    : limits_(limits),
      max_connections_(max_connections),
      memory_budget_(max_held_bytes),
      listener_(
          std::make_unique<Listener>(loop, actor, std::move(host), at,
                                     [this](StreamPtr stream) { accept(std::move(stream)); })) {}

HttpServer::~HttpServer() {
    abort();
}

void HttpServer::abort() {
    listener_.reset();
    while (!connections_.empty()) {
        drop(connections_.begin()->first, true);
    }
}

void HttpServer::accept(StreamPtr stream) {
    if (connections_.size() >= max_connections_) {
        if (on_trouble) {
            on_trouble(stream->peer(), "connection refused: the connection limit is reached");
        }
        stream->close(true);
        return;
    }
    const std::uint64_t id = ++last_id_;
    Connection& connection = connections_[id];
    connection.stream = stream;
    connection.parser = std::make_unique<Http1Parser>(
        Http1Parser::Kind::Requests, limits_, [this, id](HttpMessage message) {
            const auto it = connections_.find(id);
            if (it != connections_.end()) {
                it->second.pipelined.push_back(std::move(message));
            }
        });
    stream->on_data = [this, id](std::string_view bytes) {
        on_bytes(id, bytes);
    };
    stream->on_end = [this, id](std::string) {
        drop(id, false);
    };
    const auto measure = [this, id] {
        const auto it = connections_.find(id);
        return it == connections_.end() ? 0 : held_bytes(it->second);
    };
    connection.held_memory =
        std::make_unique<MemoryBudget::Account>(memory_budget_, measure, [this, id] {
            if (on_trouble) {
                on_trouble(
                    connections_.at(id).stream->peer(),
                    "memory limit of all connections exceeded: closed as the largest holder");
            }
            drop(id, true);
        });
    if (on_connection) {
        on_connection(connections_.size());
    }
}

void HttpServer::account_memory(std::uint64_t id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    it->second.held_memory->set(held_bytes(it->second));
    memory_budget_.enforce();
}

std::size_t HttpServer::held_bytes(const Connection& connection) {
    std::size_t held = connection.parser->held_bytes() + connection.stream->held_bytes();
    for (const HttpMessage& request : connection.pipelined) {
        held += net::held_bytes(request);
    }
    if (connection.current) {
        held += net::held_bytes(connection.current->request);
    }
    return held;
}

void HttpServer::on_bytes(std::uint64_t id, std::string_view bytes) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    const bool valid = it->second.parser->feed(bytes);
    if (!valid) {
        if (on_trouble) {
            on_trouble(it->second.stream->peer(), "HTTP/1.1 error: " + it->second.parser->error());
        }
        HttpMessage error_response;
        error_response.status = 400;
        error_response.body = it->second.parser->error() + "\n";
        error_response.keep_alive = false;
        it->second.stream->send(to_bytes_response(error_response));
        return drop(id, false);
    }
    // Limits the memory that a client can use by pipelining requests without waiting for answers.
    if (it->second.pipelined.size() > 64) {
        return drop(id, true);
    }
    start_next(id);
    account_memory(id);
}

void HttpServer::start_next(std::uint64_t id) {
    const auto it = connections_.find(id);
    if (it == connections_.end() || it->second.current || it->second.pipelined.empty()) {
        return;
    }
    if (it->second.stream->peer_has_left()) {
        return drop(id, true);
    }
    const auto exchange = std::make_shared<HttpExchange>();
    exchange->request = std::move(it->second.pipelined.front());
    it->second.pipelined.pop_front();
    exchange->server_ = this;
    exchange->connection_ = id;
    it->second.current = exchange;
    it->second.last = !exchange->request.keep_alive;
    if (on_request) {
        on_request(exchange);
    } else {
        exchange->break_off();
    }
}

void HttpServer::answer(std::uint64_t id, HttpMessage response) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    if (it->second.last) {
        response.keep_alive = false;
    }
    const bool last = !response.keep_alive;
    it->second.current.reset();
    it->second.stream->send(to_bytes_response(response));
    if (last) {
        return drop(id, false);
    }
    start_next(id);
    account_memory(id);
}

void HttpServer::drop(std::uint64_t id, bool abort) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    // Destroyed after the callbacks: a callback of its parser may be running now.
    const auto closed = std::make_shared<Connection>(std::move(it->second));
    connections_.erase(it);
    closed->stream->close(abort);
    if (closed->current) {
        closed->current->connection_ = 0;
        if (closed->current->on_gone) {
            std::exchange(closed->current->on_gone, {})();
        }
    }
}

// ---- HttpPool

HttpPool::HttpPool(Loop& loop, base::ActorId actor, std::string host, Address to,
                   Micros connect_timeout, Micros idle_timeout)
    : loop_(loop),
      actor_(actor),
      host_(std::move(host)),
      to_(std::move(to)),
      connect_timeout_(connect_timeout),
      idle_timeout_(idle_timeout),
      cleanup_timer_(loop.clock(), actor) {}

HttpPool::~HttpPool() {
    for (auto& [id, connection] : connections_) {
        connection->stream->close(true);
    }
}

HttpPool::TryId HttpPool::send(HttpMessage request, Micros timeout, Done done, Micros max_pause) {
    const TryId id = ++last_id_;
    auto added = std::make_unique<Attempt>();
    added->request = std::move(request);
    added->done = std::move(done);
    added->timeout_timer = base::Timer(loop_.clock(), actor_);
    Attempt& attempt = *added;
    attempts_[id] = std::move(added);
    attempt.max_pause = max_pause;
    attempt.deadline = loop_.clock().now() + timeout;
    attempt.timeout_timer.at(attempt.deadline, [this, id] { on_deadline(id); });
    for (auto& [connection_id, connection] : connections_) {
        if (!connection->attempt && !connection->closing) {
            send_on(id, connection_id);
            return id;
        }
    }
    attempt.fresh_connection = true;
    attempt.dial = std::make_unique<Dial>(loop_, actor_, host_, to_, connect_timeout_,
                                          [this, id](StreamPtr stream, std::string reason) {
                                              if (stream) {
                                                  return add_connection(id, std::move(stream));
                                              }
                                              HttpOutcome outcome;
                                              outcome.why = std::move(reason);
                                              outcome.fresh_connection = true;
                                              end(id, std::move(outcome));
                                          });
    return id;
}

void HttpPool::on_deadline(TryId id) {
    // The answer may have arrived unread while this process did not run. Then the peer is not late.
    if (const auto it = attempts_.find(id); it != attempts_.end() && it->second->connection_id) {
        const StreamPtr stream = connections_.at(it->second->connection_id)->stream;
        stream->take_unread();
    }
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) {
        return;
    }
    Attempt& attempt = *it->second;
    if (attempt.deadline > loop_.clock().now()) {
        return attempt.timeout_timer.at(attempt.deadline, [this, id] { on_deadline(id); });
    }
    HttpOutcome outcome;
    outcome.how = attempt.written ? HttpOutcome::How::TimedOut : HttpOutcome::How::NeverSent;
    outcome.why = "timed out";
    outcome.fresh_connection = attempt.fresh_connection;
    const std::uint64_t connection_id = attempt.connection_id;
    end(id, std::move(outcome));
    if (connection_id) {
        close_connection(connection_id, "attempt timed out");
    }
}

void HttpPool::add_connection(TryId id, StreamPtr stream) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) {
        return stream->close(true);
    }
    const std::uint64_t connection_id = ++last_id_;
    auto added = std::make_unique<PooledConnection>();
    added->stream = std::move(stream);
    added->idle_timer = base::Timer(loop_.clock(), actor_);
    added->parser = std::make_unique<Http1Parser>(
        Http1Parser::Kind::Responses, HttpLimits{}, [this, connection_id](HttpMessage response) {
            on_response(connection_id, std::move(response));
        });
    PooledConnection& connection = *added;
    connections_[connection_id] = std::move(added);
    connection.stream->on_data = [this, connection_id](std::string_view bytes) {
        const auto found = connections_.find(connection_id);
        if (found == connections_.end()) {
            return;
        }
        PooledConnection& receiving = *found->second;
        if (const auto attempt = attempts_.find(receiving.attempt);
            attempt != attempts_.end() && attempt->second->max_pause > Micros{0}) {
            attempt->second->deadline = std::max(attempt->second->deadline,
                                                 loop_.clock().now() + attempt->second->max_pause);
        }
        receiving.parsing = true;
        const bool valid = receiving.parser->feed(bytes);
        receiving.parsing = false;
        if (!valid) {
            close_connection(connection_id, "HTTP/1.1 error: " + receiving.parser->error());
        } else if (receiving.closing) {
            close_connection(connection_id, "closed");
        }
    };
    connection.stream->on_end = [this, connection_id](std::string reason) {
        close_connection(connection_id, reason);
    };
    send_on(id, connection_id);
}

void HttpPool::send_on(TryId id, std::uint64_t connection_id) {
    Attempt& attempt = *attempts_.at(id);
    PooledConnection& connection = *connections_.at(connection_id);
    attempt.connection_id = connection_id;
    attempt.written = true;
    connection.attempt = id;
    connection.idle_timer.stop();
    connection.stream->send(to_bytes_request(attempt.request, to_text(to_)));
}

void HttpPool::on_response(std::uint64_t connection_id, HttpMessage response) {
    PooledConnection& connection = *connections_.at(connection_id);
    const TryId id = std::exchange(connection.attempt, 0);
    if (!response.keep_alive || retired_) {
        connection.closing = true;
    } else {
        connection.idle_timer.after(idle_timeout_, [this, connection_id] {
            close_connection(connection_id, "idle timeout");
        });
    }
    if (id == 0) {
        connection.closing = true;  // a response without a request
        return;
    }
    HttpOutcome outcome;
    outcome.how = HttpOutcome::How::Answered;
    outcome.response = std::move(response);
    if (const auto it = attempts_.find(id); it != attempts_.end()) {
        outcome.fresh_connection = it->second->fresh_connection;
    }
    end(id, std::move(outcome));
}

void HttpPool::close_connection(std::uint64_t connection_id, const std::string& reason) {
    const auto it = connections_.find(connection_id);
    if (it == connections_.end()) {
        return;
    }
    if (it->second->parsing) {
        it->second->closing = true;
        return;
    }
    auto connection = std::move(it->second);
    connections_.erase(it);
    connection->stream->close(connection->attempt != 0);
    const TryId id = connection->attempt;
    connection->idle_timer.stop();
    closed_connections_.push_back(std::move(connection));
    if (!cleanup_timer_.set()) {
        cleanup_timer_.after(Micros{0}, [this] {
            closed_connections_.clear();
            ended_attempts_.clear();
        });
    }
    if (id == 0) {
        return;
    }
    HttpOutcome outcome;
    outcome.how = HttpOutcome::How::Broken;
    outcome.why = reason;
    end(id, std::move(outcome));
}

void HttpPool::cancel(TryId id) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) {
        return;
    }
    it->second->done = {};
    const std::uint64_t connection_id = it->second->connection_id;
    end(id, {});
    if (const auto found = connections_.find(connection_id); found != connections_.end()) {
        found->second->attempt = 0;
        close_connection(connection_id, "attempt cancelled");
    }
}

void HttpPool::end(TryId id, HttpOutcome outcome) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) {
        return;
    }
    auto attempt = std::move(it->second);
    attempts_.erase(it);
    attempt->timeout_timer.stop();
    // The caller closes the connection of an attempt that ended early. That must not end this
    // attempt again.
    if (const auto found = connections_.find(attempt->connection_id);
        found != connections_.end() && found->second->attempt == id) {
        found->second->attempt = 0;
    }
    const Done done = std::move(attempt->done);
    ended_attempts_.push_back(std::move(attempt));
    if (!cleanup_timer_.set()) {
        cleanup_timer_.after(Micros{0}, [this] {
            closed_connections_.clear();
            ended_attempts_.clear();
        });
    }
    if (done) {
        done(std::move(outcome));
    }
}

void HttpPool::take_unread() {
    std::vector<StreamPtr> streams;
    streams.reserve(connections_.size());
    for (const auto& [id, connection] : connections_) {
        streams.push_back(connection->stream);
    }
    for (const StreamPtr& stream : streams) {
        stream->take_unread();
    }
}

void HttpPool::retire() {
    retired_ = true;
    std::vector<std::uint64_t> idle;
    for (const auto& [id, connection] : connections_) {
        if (!connection->attempt) {
            idle.push_back(id);
        }
    }
    for (const auto id : idle) {
        close_connection(id, "retired");
    }
}

}  // namespace badgergrade::net
