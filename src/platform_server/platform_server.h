/// A control plane instance on the platform. It serves proxies and collectors on one listening
/// address, watches discovery's list of servers, and runs the planner on what they report.
///
/// Data flow: net::Listener -> ConnectionTable (admission and framing) -> PlatformServer (meaning
/// of messages) -> runtime::PolicyRunner (decisions) -> UpdateSender (CONFIG messages) ->
/// ConnectionTable. Everything runs on the loop's one thread.
///
/// What bounds the memory of a long-running server, however many peers and servers come and go:
/// - connections: the descriptor limit of the configuration (ConnectionTable, which closes
///   unidentified and rejected peers after a timeout), and four collectors per zone
///   (CollectorConnections);
/// - input: the size limit of one message (resp::Limits);
/// - output: a limit of unsent bytes per connection; peers that do not read are closed;
/// - both together: a part of the configured memory limit for what all connections hold
///   (net::MemoryBudget), beyond which the largest holders are closed;
/// - unacknowledged versions: a fixed number per connection (PendingAcks);
/// - servers: one that is gone is forgotten, and its number reused, after two minutes unless a
///   table or an ejection refers to it (platform::ServerIds::release_unused, every five seconds);
/// - proxies: their number is fixed by the settings.
/// ServerStatistics and the log event `node.state` report these sizes.
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
#include "platform_server/collector_connections.h"
#include "platform_server/connection_table.h"
#include "platform_server/discovery_watch.h"
#include "platform_server/proxy_connections.h"
#include "platform_server/update_sender.h"
#include "runtime/config_state.h"
#include "runtime/policy_runner.h"

namespace badgergrade::platform_server {

/// Counters since the start of the server (std::int64_t), and current sizes (std::size_t).
struct ServerStatistics {
    std::int64_t proxy_connects = 0;        ///< SUBSCRIBEs accepted
    std::int64_t proxy_disconnects = 0;     ///< proxy connections ended or replaced
    std::int64_t updates_sent = 0;          ///< configuration updates written
    std::int64_t acknowledged = 0;          ///< updates that proxies acknowledged
    std::int64_t invalid_messages = 0;      ///< messages dropped because they are not valid
    std::int64_t rejected_connections = 0;  ///< connections that were sent NACK
    std::size_t connections = 0;            ///< open connections of any role
    std::size_t unidentified = 0;           ///< open connections that are not identified yet
    std::size_t proxies = 0;                ///< connected proxies
    std::size_t servers = 0;                ///< servers with a number, gone ones included
    std::size_t held_bytes = 0;             ///< memory of incomplete messages and unsent bytes
    std::size_t planner_timers = 0;         ///< timers of the planner that have not fired
};

/// Listening on the configured address failed.
struct ListenError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Connects the parts named above. The loop must outlive it.
class PlatformServer {
public:
    /// Starts to listen. If the address is still in use by a previous process, listening is retried
    /// for 10 s. Throws ListenError from the constructor for any other error, and from the loop
    /// when the retries end. `wall_clock_offset` is Unix time minus the loop's clock.
    PlatformServer(net::Loop& loop, base::ActorId actor, const platform::NodeConfig& config,
                   log::Log& log, Micros wall_clock_offset);
    ~PlatformServer();
    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

    /// The listening address; the configured one until listening succeeds.
    net::Address address() const { return listener_ ? listener_->address() : config_.listen; }

    /// Applies a new configuration. Only the address of discovery takes effect. A changed name,
    /// listening address or descriptor limit is logged (`config.needs_restart`); changes to the
    /// other settings, the initial list and the seed are ignored silently. Connections, tables and
    /// the planner's state are kept. No effect after stop().
    void reload(const platform::NodeConfig& config);

    /// Closes all connections. No message is read and no update is sent afterwards.
    void stop();

    ServerStatistics statistics() const;

private:
    void set_callbacks();
    void listen();
    void retry_listen(const std::error_code& reason);

    /// Returns the work that the message took (ConnectionTable::on_message).
    std::size_t on_message(ConnectionId id, Connection& connection, const resp::Message& raw);
    void dispatch(ConnectionId id, Connection& connection, const platform::Message& message);
    void on_invalid_message(ConnectionId id, const Connection& connection, const resp::Message& raw,
                            const std::string& reason);
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
                                const std::string& reason);
    void on_proxy_released(ConnectionId id, const Connection& connection,
                           const std::string& reason);

    void on_server_list(const platform::ServerList& list, UpdateKind kind);
    void post(const Event& event);
    void run_housekeeping();
    const std::string& zone_name(ZoneId zone) const;

    base::Clock& clock_;
    log::Logger log_;
    log::RateLimitedLogger warnings_;  // for events that peers can cause
    platform::NodeConfig config_;
    platform::ServerIds server_ids_;
    runtime::ConfigState config_state_;
    runtime::PolicyRunner policy_runner_;
    ConnectionTable connections_;
    ProxyConnections proxy_connections_;
    CollectorConnections collectors_;
    UpdateSender update_sender_;
    base::Timer housekeeping_timer_;
    base::Timer listen_retry_timer_;
    Micros listen_deadline_;
    DiscoveryWatch discovery_;
    /// Creates a listener that passes new streams to `connections_`; throws std::system_error.
    std::function<std::unique_ptr<net::Listener>()> make_listener_;
    std::unique_ptr<net::Listener> listener_;
    /// The counters that are kept here; statistics() adds the other fields.
    ServerStatistics counters_;
    bool stopping_ = false;
};

}  // namespace badgergrade::platform_server
