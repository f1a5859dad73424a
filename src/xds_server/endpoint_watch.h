// Follows the list of servers at a registry by long polls over HTTP/1.1.
//
//   GET /v1/servers?index=N&wait_ms=W  ->  200 {"registry": "...", "index": M, "servers": [
//       {"id": "...", "zone": "...", "address": "host:port", "state": "ready" | "draining",
//        "weight": 1.0, "incarnation": "...", "age_ms": 1234}, ...]}
//
// The answer comes when the index is above N, or after W with the same index. `age_ms` is how long
// ago the server last started; missing or 0 is long ago. `incarnation` changes with each start.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "policy/event.h"
#include "policy/ids.h"
#include "xds_server/endpoint_list_validator.h"

namespace badgergrade::xds_server {

struct ListedServer {
    std::string id, zone, incarnation;
    net::Address address;
    ServerState state = ServerState::Ready;
    double weight = 1;
    Micros age{};  // 0: long ago
};

struct ServerList {
    EndpointListHeader about;
    std::vector<ListedServer> servers;
};

// Reads an answer; throws std::runtime_error that says what is wrong with it.
ServerList parse_list(const std::string& json);

class EndpointWatch {
public:
    EndpointWatch(net::Loop& loop, base::ActorId actor, std::string host,
                  const config::GovernorConfig& config);

    std::function<void(const ServerList&)> on_list;
    // An answer was refused or could not be had; the last list stays valid. Retried by itself.
    std::function<void(const std::string& why)> on_trouble;

    void start();
    void stop();
    // The whole list once more, at once.
    void fetch();

private:
    void poll();
    void later(const std::string& why);
    void came(net::HttpOutcome outcome);

    net::Loop& loop_;
    std::string id_;
    Micros wait_, timeout_;
    EndpointListValidator check_;
    net::HttpPool pool_;
    base::Timer again_;
    std::uint64_t index_ = 0;
    int failures_ = 0;
    bool on_ = false, whole_ = true;
    net::HttpPool::TryId now_ = 0;
};

}  // namespace badgergrade::xds_server
