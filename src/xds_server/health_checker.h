/// @file
/// Active health checks: sends `GET /probe/shallow` over HTTP/1.1 to a server and reports the
/// outcome. HTTP status 200 is healthy, 503 overloaded, any other status failed. Without a response
/// it is timed out, unreachable (no request was written) or reset (the connection broke after the
/// request was written). The policy decides which server is checked and when.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/http_server.h"
#include "policy/event.h"
#include "policy/ids.h"

namespace badgergrade::xds_server {

/// Name of an outcome in log lines.
std::string to_text(HealthCheckOutcome outcome);

class HealthChecker {
public:
    /// `host` is the id of the control plane instance; a simulated network identifies the sender by
    /// it. `timeout` is the time limit of one check and of connecting.
    HealthChecker(net::Loop& loop, base::ActorId actor, std::string host, Micros timeout);

    /// Called at the end of each health check, on the loop's one thread, from a timer or from the
    /// end of a request. May start another check; must not destroy this object.
    std::function<void(const event::HealthCheckResult&)> on_result;

    /// Starts a health check; on_result must be set. Several checks of one server may run at the
    /// same time. Each ends with one result, at the latest after the timeout. The address of the
    /// first check of a server is used for all later ones.
    void check(ServerId server, const net::Address& address);

private:
    net::Loop& loop_;
    base::ActorId actor_;
    std::string host_;
    Micros timeout_;
    /// One connection pool for each server that was ever checked. Pools are never removed; they
    /// close idle connections.
    std::map<ServerId, std::unique_ptr<net::HttpPool>> pools_;
};

}  // namespace badgergrade::xds_server
