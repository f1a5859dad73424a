/// @file
/// A running control plane instance. Connects the policy with the network: what happens on the
/// sockets becomes events of the policy, and its commands become messages to proxies, health checks
/// and requests to the registry.
///
/// Everything runs on the one thread of the loop. Concerns:
///   ProxySessions      discovery streams of the proxies (ADS)
///   LoadReportStreams  load reporting streams of the proxies (LRS)
///   ServerDirectory    ids of the listed servers
///   EndpointWatch      the list of servers at the registry
///   HealthChecker      health checks that the policy asks for
///   SnapshotCache      the decided configuration as xDS resources
///   PacedSendQueue     the rate at which messages leave
///   LoadReportQueue    the rate at which reports reach the policy
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/instance_config.h"
#include "log/log.h"
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
    /// Listens at once; throws std::system_error if the port is not available. `incarnation` tells
    /// this start from earlier ones of the same instance; it is part of every version.
    XdsServer(net::Loop& loop, base::ActorId actor, const config::InstanceConfig& config,
              log::Log& log, std::string incarnation);

    /// Breaks all connections at once, as the death of the process would.
    ~XdsServer();
    XdsServer(const XdsServer&) = delete;

    net::Address address() const { return server_.address(); }

    /// Ends all streams with a status and sends what is queued on the connections. The loop must
    /// run on until that is done.
    void stop();

    XdsServerMetrics metrics() const;

    /// Reports to this observer from now on; it must outlive the server.
    void set_observer(XdsServerObserver& observer);

    const std::string& id() const { return config_.id; }

    const std::string& incarnation() const { return incarnation_; }

    /// The position of this instance among the control plane instances.
    int ordinal() const { return config_.settings.ordinal; }

    /// Names behind the policy's ids; empty if there is none.
    std::string proxy_name(ProxyId proxy) const { return sessions_.proxy_name(proxy); }

    std::string server_name(ServerId server) const { return servers_.name(server); }

    // ---- for tests and benchmarks

    /// Tests of a slow link: the send rate as a fraction of the configured one.
    void set_send_pace(double pace_fraction);

    /// Tests of the rule auditor: changes the commands of a decision before they are executed, so
    /// that the auditor can be shown a control plane that breaks the rules.
    std::function<void(Micros, std::vector<Command>&)> alter_commands_for_test;

    /// Tests: the id of a listed server.
    std::optional<ServerId> server_id(const std::string& id) const { return servers_.find(id); }

    /// Benchmarks: lists a server without a registry.
    void add_server_for_benchmark(const ListedServer& listed);

    /// Benchmarks: puts all servers into the full table with this weight and assigns it to all
    /// proxies.
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
    void pass_load_reports();
    void close_report_interval();

    base::Clock& clock_;
    config::InstanceConfig config_;
    log::Logger log_;
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
    Micros last_exhausted_log_{};
    bool is_stopping_ = false;
};

}  // namespace badgergrade::xds_server
