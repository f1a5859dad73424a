/// @file
/// Watches the registry's list of servers by long polling over HTTP/1.1.
///
///   GET /v1/servers?index=N&wait_ms=W  ->  200 {"registry": "...", "index": M, "servers": [
///       {"id": "...", "zone": "...", "address": "host:port", "state": "ready" | "draining",
///        "weight": 1.0, "incarnation": "...", "age_ms": 1234}, ...]}
///
/// The registry responds when the index is above N, or after W milliseconds with the same index.
/// `age_ms` is how long ago the server last started; missing or 0: long ago. `incarnation` changes
/// with each start. A list with an invalid entry is rejected as a whole; the last accepted list
/// stays valid after every error.
#pragma once

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "policy/event.h"
#include "policy/ids.h"
#include "xds_server/endpoint_list_validator.h"

namespace badgergrade::xds_server {

/// One server of the registry's list.
struct ListedServer {
    /// Name in the registry, 1 to 128 bytes.
    std::string id;
    /// Name of the zone; empty if the registry gives none.
    std::string zone;
    /// Changes with each start of the server.
    std::string incarnation;
    net::Address address;
    ServerState state = ServerState::Ready;
    /// Capacity relative to the other servers; above 0.
    double weight = 1;
    /// Time since the server last started; 0: long ago.
    Micros age{};
};

/// A valid response of the registry.
struct ServerList {
    EndpointListHeader header;
    std::vector<ListedServer> servers;
};

/// A malformed response of the registry; `what()` names the field, the expected and the actual
/// value.
class InvalidServerList : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Parses a response body of the registry. Throws InvalidServerList.
ServerList parse_server_list(const std::string& json);

/// Polls the registry and reports each accepted list. All callbacks run on the loop's one thread,
/// from a timer or from the end of a request. They may call any method of this object, but must not
/// destroy it.
class EndpointWatch {
public:
    /// `host` names the control plane instance on the network.
    EndpointWatch(net::Loop& loop, base::ActorId actor, std::string host,
                  const config::InstanceConfig& config);

    /// Called with each accepted list that differs from the last one.
    std::function<void(const ServerList&)> on_update;

    /// Called if a response did not come, was malformed or was rejected. The last list stays valid,
    /// and the watch retries with exponential backoff.
    std::function<void(const std::string& reason)> on_error;

    /// Starts polling immediately. No-op while the watch runs.
    void start();

    /// Stops polling: cancels the request in flight and the retry timer. The last list is kept.
    /// Called from within on_error it does not cancel the retry, which is scheduled after that
    /// callback.
    void stop();

    /// Requests the whole list immediately, in place of the request in flight. Works while the
    /// watch is stopped too; after an error the request is then retried until a response is
    /// accepted. Must not be called from within on_update of a running watch: two polls would run
    /// from then on.
    void fetch();

private:
    void poll();
    void retry_after_error(const std::string& reason);
    void on_outcome(net::HttpOutcome outcome);

    net::Loop& loop_;
    std::string instance_id_;
    /// How long the registry is asked to hold a long poll.
    Micros long_poll_wait_;
    /// Time limit of a request in addition to `long_poll_wait_`.
    Micros timeout_;
    EndpointListValidator validator_;
    net::HttpPool pool_;
    base::Timer poll_timer_;
    /// Index of the accepted list.
    std::uint64_t index_ = 0;
    int consecutive_errors_ = 0;
    bool is_watching_ = false;
    /// The next request asks for the whole list, even if its index has not changed.
    bool fetch_whole_list_ = true;
    /// The request in flight; 0: none.
    net::HttpPool::TryId request_in_flight_ = 0;
};

}  // namespace badgergrade::xds_server
