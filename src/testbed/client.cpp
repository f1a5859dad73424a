#include "testbed/client.h"

#include <algorithm>
#include <cmath>

#include "xds/resource_names.h"

namespace badgergrade::testbed {

using namespace std::chrono_literals;
using How = net::HttpOutcome::How;

Client::Client(net::Loop& loop, base::ActorId actor, std::string id, ClientSettings settings,
               net::Address forwarder, std::vector<Invocation> schedule, Observer* observer)
    : loop_(loop),
      actor_(actor),
      id_(std::move(id)),
      settings_(std::move(settings)),
      schedule_(std::move(schedule)),
      observer_(observer),
      pool_(loop, actor, id_, std::move(forwarder), 250ms, 15s),
      next_(loop.clock(), actor) {
    next();
}

void Client::next() {
    if (at_ >= schedule_.size()) {
        return;
    }
    next_.at(schedule_[at_].came, [this] {
        const Invocation& what = schedule_[at_++];
        Open& now = open_[what.id];
        now.what = what;
        now.what.came = loop_.clock().now();
        now.expires =
            now.what.came +
            settings_.operations[static_cast<std::size_t>(what.operation)].integration_timeout;
        now.timer = std::make_unique<base::Timer>(loop_.clock(), actor_);
        if (observer_) {
            observer_->invocation_came(now.what.came, now.what);
        }
        send(what.id);
        next();
    });
}

void Client::send(std::uint64_t id) {
    Open& now = open_.at(id);
    const Operation& op = settings_.operations[static_cast<std::size_t>(now.what.operation)];
    const Micros left = now.expires - loop_.clock().now();
    if (left <= 0us) {
        return end(id, Result::TimedOut);
    }
    ++now.what.client_tries;
    if (observer_) {
        observer_->client_try(loop_.clock().now(), now.what);
    }
    double share = settings_.try_share;
    for (const auto& window : settings_.gives_up) {
        if (loop_.clock().now() >= window.from && loop_.clock().now() < window.to) {
            share = window.share;
        }
    }
    const Micros limit = std::min(
        left, Micros(std::llround(share * static_cast<double>(op.integration_timeout.count()))));
    net::HttpMessage request;
    request.method = "POST";
    request.target = xds::operation_path(op.name);
    request.headers = {{"x-invocation", std::to_string(id)},
                       {"x-key", now.what.key},
                       {"x-work-us", std::to_string(now.what.work.count())},
                       {"x-timeout-us", std::to_string(limit.count())}};
    now.now = pool_.send(std::move(request), limit,
                         [this, id](net::HttpOutcome outcome) { came(id, std::move(outcome)); });
}

void Client::came(std::uint64_t id, net::HttpOutcome outcome) {
    const auto it = open_.find(id);
    if (it == open_.end()) {
        return;
    }
    if (outcome.how == How::Answered && outcome.response.status == 200) {
        return end(id, Result::Succeeded);
    }
    Open& now = it->second;
    const Operation& op = settings_.operations[static_cast<std::size_t>(now.what.operation)];
    const bool refused =
        outcome.how == How::NeverSent || outcome.response.header("x-not-begun").has_value();
    // What may have run is sent again only where a repeat has no effect.
    const Micros since = loop_.clock().now() - now.what.came;
    const bool safe = refused || op.effect == Effect::Idempotent ||
                      (op.effect == Effect::Fingerprinted && op.scope == Scope::All &&
                       since < op.fingerprint_ttl);
    const Micros wait =
        settings_.wait * (std::int64_t{1} << std::min(now.what.client_tries - 1, 6));
    if (safe && now.what.client_tries <= settings_.retries &&
        loop_.clock().now() + wait < now.expires) {
        now.timer->after(wait, [this, id] { send(id); });
        return;
    }
    end(id, refused                        ? Result::RateLimited
            : outcome.how == How::TimedOut ? Result::TimedOut
                                           : Result::Errored);
}

void Client::end(std::uint64_t id, Result result) {
    auto node = open_.extract(id);
    if (observer_) {
        observer_->invocation_ended(loop_.clock().now(), node.mapped().what, result);
    }
}

}  // namespace badgergrade::testbed
