#include "xds_server/health_checker.h"

namespace badgergrade::xds_server {

using namespace std::chrono_literals;

namespace {

constexpr Micros kIdleConnectionTimeout = 5s;
constexpr int kHttpOk = 200;
constexpr int kHttpServiceUnavailable = 503;

HealthCheckOutcome outcome_of_http_status(int status) {
    switch (status) {
        case kHttpOk:
            return HealthCheckOutcome::Healthy;
        case kHttpServiceUnavailable:
            return HealthCheckOutcome::Overloaded;
        default:
            return HealthCheckOutcome::Failed;
    }
}

HealthCheckOutcome outcome_of(const net::HttpOutcome& outcome) {
    using How = net::HttpOutcome::How;
    if (outcome.how == How::Answered) {
        return outcome_of_http_status(outcome.response.status);
    }
    if (outcome.how == How::TimedOut) {
        return HealthCheckOutcome::TimedOut;
    }
    if (outcome.how == How::NeverSent) {
        return HealthCheckOutcome::Unreachable;
    }
    if (outcome.how == How::Broken) {
        return HealthCheckOutcome::Reset;
    }
    return HealthCheckOutcome::Other;
}

}  // namespace

std::string to_text(HealthCheckOutcome outcome) {
    switch (outcome) {
        case HealthCheckOutcome::Healthy:
            return "healthy";
        case HealthCheckOutcome::Failed:
            return "failed";
        case HealthCheckOutcome::Overloaded:
            return "overloaded";
        case HealthCheckOutcome::TimedOut:
            return "timed_out";
        case HealthCheckOutcome::Unreachable:
            return "unreachable";
        case HealthCheckOutcome::Reset:
            return "reset";
        case HealthCheckOutcome::Other:
            return "other";
    }
    return "other";
}

HealthChecker::HealthChecker(net::Loop& loop, base::ActorId actor, std::string host, Micros timeout)
    : loop_(loop),
      actor_(actor),
      host_(std::move(host)),
      timeout_(timeout) {}

void HealthChecker::check(ServerId server, const net::Address& address) {
    auto& pool = pools_[server];
    if (!pool) {
        pool = std::make_unique<net::HttpPool>(loop_, actor_, host_, address, timeout_,
                                               kIdleConnectionTimeout);
    }
    net::HttpMessage request;
    request.method = "GET";
    request.target = "/probe/shallow";
    const Micros sent_at = loop_.clock().now();
    pool->send(std::move(request), timeout_, [this, server, sent_at](net::HttpOutcome outcome) {
        const Micros latency = loop_.clock().now() - sent_at;
        on_result({server, outcome_of(outcome), latency, {}});
    });
}

}  // namespace badgergrade::xds_server
