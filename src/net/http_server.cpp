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
                       HttpLimits limits, std::size_t connections_most)
    : limits_(limits),
      most_(connections_most),
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
    if (connections_.size() >= most_) {
        if (on_trouble) {
            on_trouble(stream->peer(), "refused: too many connections");
        }
        stream->close(true);
        return;
    }
    const std::uint64_t id = ++ids_;
    Connection& connection = connections_[id];
    connection.stream = stream;
    connection.parser = std::make_unique<Http1Parser>(
        Http1Parser::Kind::Requests, limits_, [this, id](HttpMessage message) {
            const auto it = connections_.find(id);
            if (it != connections_.end()) {
                it->second.waiting.push_back(std::move(message));
            }
        });
    stream->on_data = [this, id](std::string_view bytes) {
        came(id, bytes);
    };
    stream->on_end = [this, id](std::string) {
        drop(id, false);
    };
    if (on_connection) {
        on_connection(connections_.size());
    }
}

void HttpServer::came(std::uint64_t id, std::string_view bytes) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    const bool good = it->second.parser->feed(bytes);
    if (!good) {
        if (on_trouble) {
            on_trouble(it->second.stream->peer(),
                       "no good HTTP/1.1: " + it->second.parser->error());
        }
        HttpMessage refusal;
        refusal.status = 400;
        refusal.body = it->second.parser->error() + "\n";
        refusal.keep_alive = false;
        it->second.stream->send(to_bytes_response(refusal));
        return drop(id, false);
    }
    // A client that sends on and on without waiting for answers is not let fill our memory.
    if (it->second.waiting.size() > 64) {
        return drop(id, true);
    }
    next(id);
}

void HttpServer::next(std::uint64_t id) {
    const auto it = connections_.find(id);
    if (it == connections_.end() || it->second.now || it->second.waiting.empty()) {
        return;
    }
    const auto exchange = std::make_shared<HttpExchange>();
    exchange->request = std::move(it->second.waiting.front());
    it->second.waiting.pop_front();
    exchange->server_ = this;
    exchange->connection_ = id;
    it->second.now = exchange;
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
    it->second.now.reset();
    it->second.stream->send(to_bytes_response(response));
    if (last) {
        return drop(id, false);
    }
    next(id);
}

void HttpServer::drop(std::uint64_t id, bool abort) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    // Destroyed only after the callbacks: the parser may be what is calling.
    const auto gone = std::make_shared<Connection>(std::move(it->second));
    connections_.erase(it);
    gone->stream->close(abort);
    if (gone->now) {
        gone->now->connection_ = 0;
        if (gone->now->on_gone) {
            std::exchange(gone->now->on_gone, {})();
        }
    }
}

// ---- HttpPool

HttpPool::HttpPool(Loop& loop, base::ActorId actor, std::string host, Address to,
                   Micros connect_timeout, Micros idle)
    : loop_(loop),
      actor_(actor),
      host_(std::move(host)),
      to_(std::move(to)),
      connect_timeout_(connect_timeout),
      idle_(idle),
      sweep_(loop.clock(), actor) {}

HttpPool::~HttpPool() {
    for (auto& [id, link] : links_) {
        link->stream->close(true);
    }
}

HttpPool::TryId HttpPool::send(HttpMessage request, Micros timeout, Done done, Micros silence) {
    const TryId id = ++ids_;
    auto fresh = std::make_unique<Try>();
    fresh->request = std::move(request);
    fresh->done = std::move(done);
    fresh->limit = base::Timer(loop_.clock(), actor_);
    Try& now = *fresh;
    tries_[id] = std::move(fresh);
    now.silence = silence;
    now.due = loop_.clock().now() + timeout;
    now.limit.at(now.due, [this, id] { overdue(id); });
    for (auto& [link_id, link] : links_) {
        if (!link->now && !link->dead) {
            on_link(id, link_id);
            return id;
        }
    }
    now.fresh = true;
    now.dial = std::make_unique<Dial>(loop_, actor_, host_, to_, connect_timeout_,
                                      [this, id](StreamPtr stream, std::string why) {
                                          if (stream) {
                                              return add_link(id, std::move(stream));
                                          }
                                          HttpOutcome outcome;
                                          outcome.why = std::move(why);
                                          outcome.fresh_connection = true;
                                          end(id, std::move(outcome));
                                      });
    return id;
}

void HttpPool::overdue(TryId id) {
    // What came while this process had no processor lies unread: that is not the peer's silence.
    if (const auto it = tries_.find(id); it != tries_.end() && it->second->link) {
        const StreamPtr stream = links_.at(it->second->link)->stream;
        stream->take_unread();
    }
    const auto it = tries_.find(id);
    if (it == tries_.end()) {
        return;
    }
    Try& now = *it->second;
    if (now.due > loop_.clock().now()) {
        return now.limit.at(now.due, [this, id] { overdue(id); });
    }
    HttpOutcome outcome;
    outcome.how = now.written ? HttpOutcome::How::TimedOut : HttpOutcome::How::NeverSent;
    outcome.why = "timed out";
    outcome.fresh_connection = now.fresh;
    const std::uint64_t link = now.link;
    end(id, std::move(outcome));
    if (link) {
        link_over(link, "given up");
    }
}

void HttpPool::add_link(TryId id, StreamPtr stream) {
    const auto it = tries_.find(id);
    if (it == tries_.end()) {
        return stream->close(true);
    }
    const std::uint64_t link_id = ++ids_;
    auto link = std::make_unique<Link>();
    link->stream = std::move(stream);
    link->idle = base::Timer(loop_.clock(), actor_);
    link->parser = std::make_unique<Http1Parser>(
        Http1Parser::Kind::Responses, HttpLimits{},
        [this, link_id](HttpMessage response) { answered(link_id, std::move(response)); });
    Link& now = *link;
    links_[link_id] = std::move(link);
    now.stream->on_data = [this, link_id](std::string_view bytes) {
        const auto at = links_.find(link_id);
        if (at == links_.end()) {
            return;
        }
        Link& here = *at->second;
        if (const auto now = tries_.find(here.now);
            now != tries_.end() && now->second->silence > Micros{0}) {
            now->second->due =
                std::max(now->second->due, loop_.clock().now() + now->second->silence);
        }
        here.feeding = true;
        const bool good = here.parser->feed(bytes);
        here.feeding = false;
        if (!good) {
            link_over(link_id, "no good HTTP/1.1: " + here.parser->error());
        } else if (here.dead) {
            link_over(link_id, "closed");
        }
    };
    now.stream->on_end = [this, link_id](std::string why) {
        link_over(link_id, why);
    };
    on_link(id, link_id);
}

void HttpPool::on_link(TryId id, std::uint64_t link_id) {
    Try& now = *tries_.at(id);
    Link& link = *links_.at(link_id);
    now.link = link_id;
    now.written = true;
    link.now = id;
    link.idle.stop();
    link.stream->send(to_bytes_request(now.request, to_text(to_)));
}

void HttpPool::answered(std::uint64_t link_id, HttpMessage response) {
    Link& link = *links_.at(link_id);
    const TryId id = std::exchange(link.now, 0);
    if (!response.keep_alive || retired_) {
        link.dead = true;
    } else {
        link.idle.after(idle_, [this, link_id] { link_over(link_id, "idle"); });
    }
    if (id == 0) {
        link.dead = true;  // an answer that nobody asked for
        return;
    }
    HttpOutcome outcome;
    outcome.how = HttpOutcome::How::Answered;
    outcome.response = std::move(response);
    if (const auto it = tries_.find(id); it != tries_.end()) {
        outcome.fresh_connection = it->second->fresh;
    }
    end(id, std::move(outcome));
}

void HttpPool::link_over(std::uint64_t link_id, const std::string& why) {
    const auto it = links_.find(link_id);
    if (it == links_.end()) {
        return;
    }
    if (it->second->feeding) {
        it->second->dead = true;
        return;
    }
    auto link = std::move(it->second);
    links_.erase(it);
    link->stream->close(link->now != 0);
    const TryId id = link->now;
    link->idle.stop();
    dead_links_.push_back(std::move(link));
    if (!sweep_.set()) {
        sweep_.after(Micros{0}, [this] {
            dead_links_.clear();
            dead_tries_.clear();
        });
    }
    if (id == 0) {
        return;
    }
    HttpOutcome outcome;
    outcome.how = HttpOutcome::How::Broken;
    outcome.why = why;
    end(id, std::move(outcome));
}

void HttpPool::cancel(TryId id) {
    const auto it = tries_.find(id);
    if (it == tries_.end()) {
        return;
    }
    it->second->done = {};
    const std::uint64_t link = it->second->link;
    end(id, {});
    if (const auto at = links_.find(link); at != links_.end()) {
        at->second->now = 0;
        link_over(link, "cancelled");
    }
}

void HttpPool::end(TryId id, HttpOutcome outcome) {
    const auto it = tries_.find(id);
    if (it == tries_.end()) {
        return;
    }
    auto now = std::move(it->second);
    tries_.erase(it);
    now->limit.stop();
    // The link of a try that ended early is closed by whoever ended it; it must not answer this one
    // again.
    if (const auto at = links_.find(now->link); at != links_.end() && at->second->now == id) {
        at->second->now = 0;
    }
    const Done done = std::move(now->done);
    dead_tries_.push_back(std::move(now));
    if (!sweep_.set()) {
        sweep_.after(Micros{0}, [this] {
            dead_links_.clear();
            dead_tries_.clear();
        });
    }
    if (done) {
        done(std::move(outcome));
    }
}

void HttpPool::take_unread() {
    std::vector<StreamPtr> streams;
    streams.reserve(links_.size());
    for (const auto& [id, link] : links_) {
        streams.push_back(link->stream);
    }
    for (const StreamPtr& stream : streams) {
        stream->take_unread();
    }
}

void HttpPool::retire() {
    retired_ = true;
    std::vector<std::uint64_t> idle;
    for (const auto& [id, link] : links_) {
        if (!link->now) {
            idle.push_back(id);
        }
    }
    for (const auto id : idle) {
        link_over(id, "retired");
    }
}

}  // namespace badgergrade::net
