#include "testbed/fake_client.h"

#include <algorithm>
#include <cmath>

#include "xds/resource_names.h"

namespace badgergrade::testbed {

using namespace std::chrono_literals;
using How = net::HttpOutcome::How;

FakeClient::FakeClient(net::Loop& loop, base::ActorId actor, std::string id,
                       FakeClientSettings settings, net::Address proxy,
                       std::vector<Invocation> schedule, Observer* observer)
    : loop_(loop),
      actor_(actor),
      id_(std::move(id)),
      settings_(std::move(settings)),
      schedule_(std::move(schedule)),
      observer_(observer),
      pool_(loop, actor, id_, std::move(proxy), 250ms, 15s),
      next_timer_(loop.clock(), actor) {
    schedule_next();
}

void FakeClient::schedule_next() {
    if (next_index_ >= schedule_.size()) {
        return;
    }
    next_timer_.at(schedule_[next_index_].arrived_at, [this] {
        const Invocation& invocation = schedule_[next_index_++];
        PendingInvocation& pending = pending_[invocation.id];
        pending.invocation = invocation;
        pending.invocation.arrived_at = loop_.clock().now();
        pending.expires = pending.invocation.arrived_at +
                          settings_.operations[static_cast<std::size_t>(invocation.operation)]
                              .integration_timeout;
        pending.timer = std::make_unique<base::Timer>(loop_.clock(), actor_);
        if (observer_) {
            observer_->on_invocation_arrived(pending.invocation.arrived_at, pending.invocation);
        }
        send(invocation.id);
        schedule_next();
    });
}

void FakeClient::send(std::uint64_t id) {
    PendingInvocation& pending = pending_.at(id);
    const Operation& op =
        settings_.operations[static_cast<std::size_t>(pending.invocation.operation)];
    const Micros remaining = pending.expires - loop_.clock().now();
    if (remaining <= 0us) {
        return finish(id, InvocationResult::TimedOut);
    }
    ++pending.invocation.client_attempts;
    if (observer_) {
        observer_->on_client_attempt(loop_.clock().now(), pending.invocation);
    }
    double timeout_fraction = settings_.attempt_timeout_fraction;
    for (const auto& window : settings_.attempt_timeout_overrides) {
        if (loop_.clock().now() >= window.from && loop_.clock().now() < window.to) {
            timeout_fraction = window.attempt_timeout_fraction;
        }
    }
    const Micros limit = std::min(
        remaining, Micros(std::llround(timeout_fraction *
                                       static_cast<double>(op.integration_timeout.count()))));
    net::HttpMessage request;
    request.method = "POST";
    request.target = xds::operation_path(op.name);
    request.headers = {{"x-invocation", std::to_string(id)},
                       {"x-key", pending.invocation.key},
                       {"x-work-us", std::to_string(pending.invocation.work.count())},
                       {"x-timeout-us", std::to_string(limit.count())}};
    pending.attempt_id =
        pool_.send(std::move(request), limit,
                   [this, id](net::HttpOutcome outcome) { on_response(id, std::move(outcome)); });
}

void FakeClient::on_response(std::uint64_t id, net::HttpOutcome outcome) {
    const auto it = pending_.find(id);
    if (it == pending_.end()) {
        return;
    }
    if (outcome.how == How::Answered && outcome.response.status == 200) {
        return finish(id, InvocationResult::Succeeded);
    }
    PendingInvocation& pending = it->second;
    const Operation& op =
        settings_.operations[static_cast<std::size_t>(pending.invocation.operation)];
    const bool refused =
        outcome.how == How::NeverSent || outcome.response.header("x-not-begun").has_value();
    // An attempt that may have been processed is retried only if a repeat has no second effect.
    const Micros elapsed = loop_.clock().now() - pending.invocation.arrived_at;
    const bool retry_safe = refused || op.effect == Effect::Idempotent ||
                            (op.effect == Effect::Fingerprinted && op.scope == Scope::All &&
                             elapsed < op.fingerprint_ttl);
    const Micros backoff = settings_.retry_backoff *
                           (std::int64_t{1} << std::min(pending.invocation.client_attempts - 1, 6));
    if (retry_safe && pending.invocation.client_attempts <= settings_.max_retries &&
        loop_.clock().now() + backoff < pending.expires) {
        pending.timer->after(backoff, [this, id] { send(id); });
        return;
    }
    finish(id, refused                        ? InvocationResult::RateLimited
               : outcome.how == How::TimedOut ? InvocationResult::TimedOut
                                              : InvocationResult::Errored);
}

void FakeClient::finish(std::uint64_t id, InvocationResult result) {
    auto node = pending_.extract(id);
    if (observer_) {
        observer_->on_invocation_finished(loop_.clock().now(), node.mapped().invocation, result);
    }
}

}  // namespace badgergrade::testbed
