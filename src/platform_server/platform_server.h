/// A control plane instance on the platform: proxies and collectors on one address, the list of
/// servers from discovery, and the planner between them.
///
/// Everything runs on the loop's one thread. Bytes go: net::Listener -> ConnectionTable (who may
/// stay) -> PlatformServer (what a message means) -> runtime::PolicyRunner (what to do) ->
/// UpdateSender (CONFIG messages) -> ConnectionTable.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "log/log.h"
#include "log/log_rate_limiter.h"
#include "net/network.h"
#include "platform/config.h"
#include "platform/message_reader.h"
#include "platform/server_ids.h"
#include "platform_server/collector_registry.h"
#include "platform_server/connection_table.h"
#include "platform_server/discovery_watch.h"
#include "platform_server/proxy_connections.h"
#include "platform_server/update_sender.h"
#include "runtime/config_state.h"
#include "runtime/policy_runner.h"

namespace badgergrade::platform_server {

/// Counters since the start, and sizes at this moment.
struct ServerStatistics {
    std::int64_t joins = 0;             ///< Proxies that connected.
    std::int64_t leaves = 0;            ///< Proxies that disconnected.
    std::int64_t updates_sent = 0;      ///< Configuration updates written.
    std::int64_t acknowledged = 0;      ///< Updates that proxies acknowledged.
    std::int64_t invalid_messages = 0;  ///< Messages dropped since they can't be used.
    std::int64_t rejected = 0;          ///< Connections that got NACK.
    std::size_t connections = 0;        ///< Open connections of any role.
    std::size_t unidentified = 0;       ///< Of these, those that have not said who they are.
    std::size_t proxies = 0;            ///< Connected proxies.
    std::size_t servers = 0;            ///< Servers with a number, gone ones included.
    std::size_t buffered_bytes = 0;     ///< Bytes of unfinished messages.
    std::size_t timers = 0;             ///< Timers of the planner.
};

/// The address to listen on can't be had.
struct ListenError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class PlatformServer {
public:
    /// Listens at once or, while a process before this one still holds the address, as soon as it
    /// is free within a time limit. Throws ListenError: from here where the reason is another one,
    /// out of the loop where the time is up. `wall_ahead` is Unix time less the loop's clock.
    PlatformServer(net::Loop& loop, base::ActorId actor, const platform::NodeConfig& config,
                   log::Log& log, Micros wall_ahead);
    ~PlatformServer();
    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

    /// Where it listens, or will once the address is free.
    net::Address address() const { return listener_ ? listener_->address() : config_.listen; }

    /// Applies a new configuration: only the address of discovery takes effect. A changed name,
    /// listening address or limit on sockets is logged (`config.needs_restart`); the other
    /// settings, the known list and the seed are ignored without a line. Connections, tables and
    /// the state of the planner stay. No-op after stop().
    void reload(const platform::NodeConfig& config);

    /// Closes all connections; no message is read and no update sent from then on.
    void stop();

    ServerStatistics statistics() const;

private:
    void set_callbacks();
    void listen();
    void retry_listen(const std::error_code& reason);

    void on_message(ConnectionId id, Connection& connection, const resp::Message& raw);
    void dispatch(ConnectionId id, Connection& connection, const platform::Message& message);
    void on_invalid_message(ConnectionId id, const Connection& connection, const resp::Message& raw,
                            const std::string& why);
    void answer_ping(ConnectionId id);
    void on_unidentified_message(ConnectionId id, Connection& connection,
                                 const platform::Message& message);
    void add_collector(ConnectionId id, Connection& connection, ZoneId zone);
    void add_proxy(ConnectionId id, Connection& connection, const event::ProxyConnected& connected);
    void on_proxy_message(Connection& connection, const platform::Message& message);
    void on_acknowledgement(Connection& connection, const event::ConfigAcknowledged& ack);
    void on_collector_message(Connection& connection, const platform::Message& message);
    void log_demand(const event::ProxyDemandReport& report);
    void log_load(const event::ServerLoadReport& report);

    void on_connection_released(ConnectionId id, const Connection& connection,
                                const std::string& why);
    void on_proxy_released(ConnectionId id, const Connection& connection, const std::string& why);

    void on_instance_list(const platform::InstanceList& list, UpdateKind kind);
    void post(const Event& event);
    void run_housekeeping();
    const std::string& zone_name(ZoneId zone) const;

    base::Clock& clock_;
    log::Logger log_;
    log::RateLimitedLogger warnings_;  // of events that peers can cause
    platform::NodeConfig config_;
    platform::ServerIds server_ids_;
    runtime::ConfigState config_state_;
    runtime::PolicyRunner policy_runner_;
    ConnectionTable connections_;
    ProxyConnections proxy_connections_;
    CollectorRegistry collectors_;
    UpdateSender update_sender_;
    base::Timer housekeeping_timer_;
    base::Timer listen_retry_timer_;
    Micros listen_deadline_;
    DiscoveryWatch discovery_;
    /// Makes a listener that hands its streams to the table; throws std::system_error.
    std::function<std::unique_ptr<net::Listener>()> make_listener_;
    std::unique_ptr<net::Listener> listener_;
    /// The counters that are counted here; statistics() adds the rest.
    ServerStatistics counters_;
    bool stopping_ = false;
};

}  // namespace badgergrade::platform_server
