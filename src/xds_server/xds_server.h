/// @file
/// A running control plane instance. Connects the policy with the network: network activity becomes
/// events for the policy, and the policy's commands become messages to proxies, health checks and
/// requests to the registry.
///
/// Everything runs on the one thread of the loop. Components:
///   ProxySessions      discovery streams of the proxies (ADS)
///   LoadReportStreams  load reporting streams of the proxies (LRS)
///   ServerDirectory    ids of the listed servers
///   EndpointWatch      watches the registry's list of servers
///   HealthChecker      health checks that the policy commands
///   SnapshotCache      the decided configuration as xDS resources
///   PacedSendQueue     limits the rate of messages to proxies (lines per second)
///   LoadReportQueue    aggregates load reports and limits their rate to the policy
///
/// What bounds the memory of a long run:
/// - the settings: connections, bytes of one message, unsent bytes of one connection;
/// - constants: node ids with a proxy id (kMaxProxies), unacknowledged updates of one stream
///   (AdsServer::kMaxPendingUpdates), shared responses (kMaxCachedResponses), logged unknown names
///   (kMaxLoggedUnknownNames), servers in one list (kMaxServers);
/// - the end of a stream: it frees the stream's state and discards its queued messages;
/// - the policy's send budget, for the lines in the send queue; the queue itself has no limit.
///
/// Without a limit: the server directory, server locations and health check connections, which keep
/// an entry for each server that was ever listed or checked; the cluster of each table that was
/// ever assigned; events in the load report queue; and responses in flight on the stream of a proxy
/// that reads but answers nothing.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/instance_config.h"
#include "log/log.h"
#include "log/log_rate_limiter.h"
#include "net/grpc.h"
#include "pacing/paced_send_queue.h"
#include "runtime/policy_runner.h"
#include "xds/snapshot_cache.h"
#include "xds_server/endpoint_watch.h"
#include "xds_server/health_checker.h"
#include "xds_server/load_report_queue.h"
#include "xds_server/load_report_streams.h"
#include "xds_server/metrics.h"
#include "xds_server/proxy_sessions.h"
#include "xds_server/server_directory.h"
#include "xds_server/xds_server_observer.h"

namespace badgergrade::xds_server {

class XdsServer {
public:
    /// Starts listening; throws std::system_error if the port is not available. `incarnation`
    /// distinguishes this run from earlier ones of the same instance; it is part of every version.
    XdsServer(net::Loop& loop, base::ActorId actor, const config::InstanceConfig& config,
              log::Log& log, std::string incarnation);

    /// Closes all connections immediately and without a status, like the death of the process.
    ~XdsServer();
    XdsServer(const XdsServer&) = delete;

    net::Address address() const { return server_.address(); }

    /// Shuts down gracefully: ends all streams with a status and sends what is queued on the
    /// connections. The loop must keep running until that is done.
    void stop();

    XdsServerMetrics metrics() const;

    /// Sets the observer, which must outlive the server.
    void set_observer(XdsServerObserver& observer);

    const std::string& id() const { return config_.id; }

    const std::string& incarnation() const { return incarnation_; }

    /// The index of this instance among the control plane instances.
    int ordinal() const { return config_.settings.ordinal; }

    /// Names of the policy's ids; empty if the id was never assigned.
    std::string proxy_name(ProxyId proxy) const { return sessions_.proxy_name(proxy); }

    std::string server_name(ServerId server) const { return servers_.name(server); }

    // ---- for tests and benchmarks

    /// For tests of a slow link: sets the send rate as a fraction of the configured one.
    void set_send_pace(double pace_fraction);

    /// For tests of the rule auditor: changes the commands of a decision before they are executed,
    /// so that the control plane breaks rules that the auditor must report.
    std::function<void(Micros, std::vector<Command>&)> alter_commands_for_test;

    /// For tests: the id of a listed server by its name in the list.
    std::optional<ServerId> server_id(const std::string& id) const { return servers_.find(id); }

    /// For benchmarks: adds a server without a registry.
    void add_server_for_benchmark(const ListedServer& listed);

    /// For benchmarks: sets this weight for all servers of the table that lists all servers, and
    /// assigns that table to all connected proxies.
    void publish_weight_for_benchmark(double weight);

private:
    void connect_policy();
    void connect_sessions();
    void connect_sockets();
    void connect_endpoint_watch();

    void on_call(const net::GrpcCallPtr& call);
    void on_endpoint_update(const ServerList& list);

    void post(const Event& event) { policy_.post(event); }

    void execute(std::vector<Command> commands);
    bool execute_immediately(const Command& command);
    void queue_config_update(std::vector<Command> commands);
    void start_health_check(ServerId server);

    void schedule_sending();
    void send_due_messages();
    void deliver_load_reports();
    void close_report_interval();

    base::Clock& clock_;
    config::InstanceConfig config_;
    log::Logger log_;
    /// For what peers can cause with each message or connection.
    log::RateLimitedLogger warnings_;
    std::string incarnation_;
    XdsServerMetrics metrics_;
    runtime::PolicyRunner policy_;
    xds::SnapshotCache snapshots_;
    pacing::PacedSendQueue send_queue_;
    LoadReportQueue load_reports_;
    net::GrpcServer server_;
    EndpointWatch endpoint_watch_;
    ServerDirectory servers_;
    // Destroyed before `server_`, since the sessions hold calls of its connections.
    ProxySessions sessions_;
    LoadReportStreams report_streams_;
    HealthChecker health_checker_;
    base::Timer send_timer_;
    base::Timer load_report_timer_;
    base::Timer report_interval_timer_;
    XdsServerObserver* observer_ = nullptr;
    /// When the lack of file descriptors was last logged.
    Micros last_exhausted_log_{};
    bool is_stopping_ = false;
};

}  // namespace badgergrade::xds_server
