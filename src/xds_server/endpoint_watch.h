/// @file
/// Follows the list of servers at the registry by long polls over HTTP/1.1.
///
///   GET /v1/servers?index=N&wait_ms=W  ->  200 {"registry": "...", "index": M, "servers": [
///       {"id": "...", "zone": "...", "address": "host:port", "state": "ready" | "draining",
///        "weight": 1.0, "incarnation": "...", "age_ms": 1234}, ...]}
///
/// The answer comes when the index is above N, or after W with the same index. `age_ms` is how long
/// ago the server last started; missing or 0 is long ago. `incarnation` changes with each start.
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
    std::string id;
    std::string zone;
    /// Changes with each start of the server.
    std::string incarnation;
    net::Address address;
    ServerState state = ServerState::Ready;
    /// Capacity relative to the other servers; above 0.
    double weight = 1;
    /// How long ago it started; 0: long ago.
    Micros age{};
};

struct ServerList {
    EndpointListHeader header;
    std::vector<ListedServer> servers;
};

/// An answer of the registry that can't be used; `what()` says what is wrong with it.
class InvalidServerList : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Reads an answer of the registry; throws InvalidServerList.
ServerList parse_server_list(const std::string& json);

/// All callbacks run on the loop's one thread, from a timer or from the end of a request. They may
/// call any method of this object, but must not destroy it.
class EndpointWatch {
public:
    EndpointWatch(net::Loop& loop, base::ActorId actor, std::string host,
                  const config::InstanceConfig& config);

    /// An accepted list that differs from the last one.
    std::function<void(const ServerList&)> on_update;

    /// An answer did not come, could not be read or was rejected. The last list stays valid, and
    /// the watch retries with exponential backoff.
    std::function<void(const std::string& reason)> on_error;

    /// Begins to poll, at once. No-op while the watch runs.
    void start();

    /// Cancels the request in flight and the retries. The last list is kept. From within on_error
    /// it does not cancel the retry, which is scheduled after that callback.
    void stop();

    /// Requests the whole list once more, at once, in place of the request in flight; also while
    /// the watch is stopped; after an error it is then retried until an answer is accepted. Not
    /// from within on_update of a running watch: it would poll twice from then on.
    void fetch();

private:
    void poll();
    void retry_after_error(const std::string& reason);
    void on_outcome(net::HttpOutcome outcome);

    net::Loop& loop_;
    std::string instance_id_;
    Micros long_poll_wait_;
    Micros timeout_;
    EndpointListValidator validator_;
    net::HttpPool pool_;
    base::Timer poll_timer_;
    /// Index of the accepted list.
    std::uint64_t index_ = 0;
    int consecutive_errors_ = 0;
    bool is_watching_ = false;
    /// The next request asks for the whole list, whatever its index.
    bool fetch_whole_list_ = true;
    /// The request in flight; 0: none.
    net::HttpPool::TryId request_ = 0;
};

}  // namespace badgergrade::xds_server
