#include "testbed/fake_client.h"

#include <algorithm>
#include <cmath>

#include "xds/resource_names.h"

namespace badgergrade::testbed {

using namespace std::chrono_literals;
using How = net::HttpOutcome::How;

FakeClient::FakeClient(net::Loop& loop, base::ActorId actor, std::string id,
                       FakeClientSettings settings, net::Address forwarder,
                       std::vector<Invocation> schedule, Observer* observer)
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

void FakeClient::next() {
    if (at_ >= schedule_.size()) {
        return;
    }
    next_.at(schedule_[at_].arrived_at, [this] {
        const Invocation& what = schedule_[at_++];
        Open& now = open_[what.id];
        now.what = what;
        now.what.arrived_at = loop_.clock().now();
        now.expires =
            now.what.arrived_at +
            settings_.operations[static_cast<std::size_t>(what.operation)].integration_timeout;
        now.timer = std::make_unique<base::Timer>(loop_.clock(), actor_);
        if (observer_) {
            observer_->on_invocation_arrived(now.what.arrived_at, now.what);
        }
        send(what.id);
        next();
    });
}

void FakeClient::send(std::uint64_t id) {
    Open& now = open_.at(id);
    const Operation& op = settings_.operations[static_cast<std::size_t>(now.what.operation)];
    const Micros left = now.expires - loop_.clock().now();
    if (left <= 0us) {
        return end(id, InvocationResult::TimedOut);
    }
    ++now.what.client_attempts;
    if (observer_) {
        observer_->on_client_attempt(loop_.clock().now(), now.what);
    }
    double share = settings_.attempt_timeout_fraction;
    for (const auto& window : settings_.attempt_timeout_overrides) {
        if (loop_.clock().now() >= window.from && loop_.clock().now() < window.to) {
            share = window.attempt_timeout_fraction;
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

void FakeClient::came(std::uint64_t id, net::HttpOutcome outcome) {
    const auto it = open_.find(id);
    if (it == open_.end()) {
        return;
    }
    if (outcome.how == How::Answered && outcome.response.status == 200) {
        return end(id, InvocationResult::Succeeded);
    }
    Open& now = it->second;
    const Operation& op = settings_.operations[static_cast<std::size_t>(now.what.operation)];
    const bool refused =
        outcome.how == How::NeverSent || outcome.response.header("x-not-begun").has_value();
    // What may have run is sent again only where a repeat has no effect.
    const Micros since = loop_.clock().now() - now.what.arrived_at;
    const bool safe = refused || op.effect == Effect::Idempotent ||
                      (op.effect == Effect::Fingerprinted && op.scope == Scope::All &&
                       since < op.fingerprint_ttl);
    const Micros wait =
        settings_.retry_backoff * (std::int64_t{1} << std::min(now.what.client_attempts - 1, 6));
    if (safe && now.what.client_attempts <= settings_.max_retries &&
        loop_.clock().now() + wait < now.expires) {
        now.timer->after(wait, [this, id] { send(id); });
        return;
    }
    end(id, refused                        ? InvocationResult::RateLimited
            : outcome.how == How::TimedOut ? InvocationResult::TimedOut
                                           : InvocationResult::Errored);
}

void FakeClient::end(std::uint64_t id, InvocationResult result) {
    auto node = open_.extract(id);
    if (observer_) {
        observer_->on_invocation_finished(loop_.clock().now(), node.mapped().what, result);
    }
}

}  // namespace badgergrade::testbed
