/// @file
/// Sends health checks to servers over HTTP/1.1 (`GET /probe/shallow`) and reports their outcomes.
/// Which server is checked when is the policy's decision.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/http_server.h"
#include "policy/event.h"
#include "policy/ids.h"

namespace badgergrade::xds_server {

/// The name of an outcome in the log.
std::string to_text(HealthCheckOutcome outcome);

class HealthChecker {
public:
    /// `host` names the control plane instance on the network.
    HealthChecker(net::Loop& loop, base::ActorId actor, std::string host, Micros timeout);

    /// The end of each health check. Called on the loop's one thread, from a timer or from the end
    /// of a request. May start another check; must not destroy this object.
    std::function<void(const event::HealthCheckResult&)> on_result;

    /// Starts a health check; on_result must be set. Checks of one server may run at the same
    /// time, and each ends with one result, at the latest after the timeout. The address of a
    /// server is fixed by its first check.
    void check(ServerId server, const net::Address& address);

private:
    net::Loop& loop_;
    base::ActorId actor_;
    std::string host_;
    Micros timeout_;
    std::map<ServerId, std::unique_ptr<net::HttpPool>> pools_;
};

}  // namespace badgergrade::xds_server
