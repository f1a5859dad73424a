#include "xds_server/endpoint_watch.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "base/backoff.h"

namespace badgergrade::xds_server {

using namespace std::chrono_literals;

namespace {

constexpr Micros kFirstRetryDelay = 250ms;
constexpr Micros kMaxRetryDelay = 5s;
constexpr Micros kIdleConnectionTimeout = 60s;
/// Delays until the next poll. Without them, a registry that responds immediately would turn the
/// watch into a busy loop.
constexpr Micros kDelayAfterUpdate = 1ms;
constexpr Micros kDelayAfterUnchanged = 100ms;

constexpr int kHttpOk = 200;
constexpr std::size_t kMaxServers = 65535;
constexpr std::size_t kMaxServerIdBytes = 128;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxAgeMs = 1e13;
constexpr double kMicrosPerMilli = 1000;

ServerState parse_state(const std::string& state, const std::string& server_id) {
    if (state == "ready") {
        return ServerState::Ready;
    }
    if (state == "draining") {
        return ServerState::Draining;
    }
    throw InvalidServerList("server \"" + server_id +
                            R"(", field "state": expected "ready" or "draining", got ")" + state +
                            "\"");
}

/// Parses one entry. `ids` holds the ids of the entries before it; the id of this one is added.
ListedServer parse_server(const nlohmann::json& json, std::set<std::string>& ids) {
    ListedServer server;
    server.id = json.at("id").get<std::string>();
    if (server.id.empty() || server.id.size() > kMaxServerIdBytes) {
        throw InvalidServerList("field \"id\": expected 1 to " + std::to_string(kMaxServerIdBytes) +
                                " bytes, got " + std::to_string(server.id.size()));
    }
    if (!ids.insert(server.id).second) {
        throw InvalidServerList("server \"" + server.id +
                                R"(", field "id": expected a unique id, got this one twice)");
    }
    server.zone = json.value("zone", "");
    server.incarnation = json.value("incarnation", "");
    server.address = net::parse_address(json.at("address").get<std::string>());
    server.state = parse_state(json.value("state", "ready"), server.id);
    server.weight = json.value("weight", 1.0);
    if (!(server.weight > 0) || !std::isfinite(server.weight) || server.weight > kMaxWeight) {
        throw InvalidServerList("server \"" + server.id +
                                R"(", field "weight": expected above 0 and at most 1000000, got )" +
                                std::to_string(server.weight));
    }
    const double age_ms = json.value("age_ms", 0.0);
    if (!(age_ms >= 0) || age_ms > kMaxAgeMs) {
        throw InvalidServerList("server \"" + server.id +
                                R"(", field "age_ms": expected 0 to 1e13, got )" +
                                std::to_string(age_ms));
    }
    server.age = Micros(static_cast<std::int64_t>(age_ms * kMicrosPerMilli));
    return server;
}

}  // namespace

ServerList parse_server_list(const std::string& text) {
    ServerList list;
    try {
        const auto json = nlohmann::json::parse(text);
        list.header.registry_incarnation = json.at("registry").get<std::string>();
        list.header.index = json.at("index").get<std::uint64_t>();
        std::set<std::string> ids;
        for (const auto& entry : json.at("servers")) {
            list.servers.push_back(parse_server(entry, ids));
        }
    } catch (const nlohmann::json::exception& error) {
        throw InvalidServerList(std::string("malformed server list: ") + error.what());
    } catch (const std::invalid_argument& error) {
        throw InvalidServerList(std::string("malformed server list: ") + error.what());
    }
    if (list.servers.size() > kMaxServers) {
        throw InvalidServerList("field \"servers\": expected at most " +
                                std::to_string(kMaxServers) + " entries, got " +
                                std::to_string(list.servers.size()));
    }
    list.header.server_count = list.servers.size();
    return list;
}

EndpointWatch::EndpointWatch(net::Loop& loop, base::ActorId actor, std::string host,
                             const config::InstanceConfig& config)
    : loop_(loop),
      instance_id_(config.id),
      long_poll_wait_(config.registry_long_poll_wait),
      timeout_(config.registry_timeout),
      validator_(config.empty_list_policy, config.min_endpoint_fraction),
      pool_(loop, actor, std::move(host), net::parse_address(config.registry_address),
            config.registry_timeout, kIdleConnectionTimeout),
      poll_timer_(loop.clock(), actor) {}

void EndpointWatch::start() {
    if (std::exchange(is_watching_, true)) {
        return;
    }
    poll();
}

void EndpointWatch::stop() {
    is_watching_ = false;
    poll_timer_.stop();
    if (request_in_flight_) {
        pool_.cancel(std::exchange(request_in_flight_, 0));
    }
}

void EndpointWatch::fetch() {
    fetch_whole_list_ = true;
    const bool was_watching = is_watching_;
    stop();
    is_watching_ = was_watching;
    poll();
}

void EndpointWatch::poll() {
    poll_timer_.stop();
    const std::uint64_t known_index = fetch_whole_list_ ? 0 : index_;
    const auto wait_ms = std::chrono::floor<std::chrono::milliseconds>(long_poll_wait_).count();
    net::HttpMessage request;
    request.method = "GET";
    request.target =
        "/v1/servers?index=" + std::to_string(known_index) + "&wait_ms=" + std::to_string(wait_ms);
    request.headers.emplace_back("x-governor", instance_id_);
    // The time limit of the request. A registry that has not responded `timeout_` after the
    // requested wait is treated as unreachable: the request times out and is retried. With index 0
    // the registry has nothing to wait for, provided that its own index is above 0.
    const Micros hold_time = known_index == 0 ? Micros{0} : long_poll_wait_;
    request_in_flight_ =
        pool_.send(std::move(request), hold_time + timeout_, [this](net::HttpOutcome outcome) {
            request_in_flight_ = 0;
            on_outcome(std::move(outcome));
        });
}

void EndpointWatch::retry_after_error(const std::string& reason) {
    if (on_error) {
        on_error(reason);
    }
    const Micros delay =
        base::exponential_backoff(kFirstRetryDelay, kMaxRetryDelay, consecutive_errors_++);
    poll_timer_.after(delay, [this] { poll(); });
}

void EndpointWatch::on_outcome(net::HttpOutcome outcome) {
    using Decision = EndpointListValidator::Decision;
    if (outcome.how != net::HttpOutcome::How::Answered) {
        return retry_after_error("no response from the registry: " + outcome.why);
    }
    if (outcome.response.status != kHttpOk) {
        return retry_after_error("HTTP status: expected 200, got " +
                                 std::to_string(outcome.response.status));
    }
    ServerList list;
    try {
        list = parse_server_list(outcome.response.body);
    } catch (const std::runtime_error& error) {
        return retry_after_error(error.what());
    }
    const auto result = validator_.validate(list.header);
    if (result.decision == Decision::Reject) {
        // `index_` remains that of the accepted list and does not become that of the rejected one,
        // so that a registry whose list has an index above the accepted one responds to the next
        // poll immediately.
        return retry_after_error("server list rejected: " + result.reason);
    }
    if (result.decision == Decision::Confirm) {
        fetch_whole_list_ = true;
        return retry_after_error("server list not confirmed yet: " + result.reason);
    }
    consecutive_errors_ = 0;
    fetch_whole_list_ = false;
    index_ = list.header.index;
    if (result.decision == Decision::Accept && on_update) {
        on_update(list);
    }
    if (!is_watching_) {
        return;
    }
    const Micros delay =
        result.decision == Decision::Unchanged ? kDelayAfterUnchanged : kDelayAfterUpdate;
    poll_timer_.after(delay, [this] { poll(); });
}

}  // namespace badgergrade::xds_server
