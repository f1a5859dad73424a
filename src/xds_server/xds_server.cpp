#include "xds_server/xds_server.h"

#include <utility>

#include "base/cpu_meter.h"

namespace badgergrade::xds_server {

using namespace std::chrono_literals;

namespace {

/// How often queued load reports are delivered to the policy.
constexpr Micros kLoadReportDeliveryInterval = 100ms;
/// Minimum time between two log lines about missing file descriptors.
constexpr Micros kMinExhaustedLogInterval = 1s;

net::GrpcLimits grpc_limits(const config::InstanceConfig& config) {
    net::GrpcLimits limits;
    limits.message_bytes = config.max_message_bytes;
    limits.waiting_bytes = config.max_queued_bytes_per_stream;
    limits.held_bytes = config.max_held_bytes;
    limits.keepalive = config.keepalive_interval;
    return limits;
}

}  // namespace

XdsServer::XdsServer(net::Loop& loop, base::ActorId actor, const config::InstanceConfig& config,
                     log::Log& log, std::string incarnation)
    : clock_(loop.clock()),
      config_(config),
      log_(log, config.id),
      warnings_(clock_, log_),
      incarnation_(std::move(incarnation)),
      policy_(clock_, actor, config.settings, config.seed, config.batch_window),
      snapshots_(config.settings, config.ejection_time),
      send_queue_(config.settings.channel_lines_per_second),
      load_reports_(config.settings),
      server_(loop, actor, config.id, net::parse_address(config.xds_address), grpc_limits(config),
              static_cast<std::size_t>(config.max_connections)),
      endpoint_watch_(loop, actor, config.id, config),
      servers_(config_.zones),
      sessions_(clock_, log_, warnings_, config.id + "." + incarnation_, config_.zones, metrics_),
      report_streams_(log_, warnings_, config.settings.report_interval, sessions_, servers_,
                      load_reports_, metrics_),
      health_checker_(loop, actor, config.id, config.health_check_timeout),
      send_timer_(clock_, actor),
      load_report_timer_(clock_, actor),
      report_interval_timer_(clock_, actor) {
    connect_policy();
    connect_sessions();
    connect_sockets();
    connect_endpoint_watch();
    log_.info("governor.started", {{"xds", net::to_text(address())},
                                   {"registry", config.registry_address},
                                   {"incarnation", incarnation_},
                                   {"zones", config.settings.zone_count},
                                   {"operations", config.settings.operations.size()}});
    if (!config.settings.endpoints_on_request) {
        endpoint_watch_.start();
    }
    deliver_load_reports();
    report_interval_timer_.after(config.settings.report_interval,
                                 [this] { close_report_interval(); });
    policy_.schedule_decision();
}

XdsServer::~XdsServer() {
    // Connections are closed here, while the members that their callbacks use still exist.
    sessions_.begin_shutdown();
    server_.close(false);
    if (observer_) {
        observer_->on_stopped(clock_.now(), *this);
    }
}

// ---- wiring

void XdsServer::connect_policy() {
    policy_.on_event = [this](const Event& event) {
        if (observer_) {
            observer_->on_event(clock_.now(), *this, event);
        }
    };
    policy_.on_decided = [this](std::vector<Command>& commands) {
        ++metrics_.decisions;
        if (alter_commands_for_test) {
            alter_commands_for_test(clock_.now(), commands);
        }
        if (observer_ && !commands.empty()) {
            observer_->on_commands(clock_.now(), *this, commands);
        }
    };
    policy_.on_commands = [this](std::vector<Command> commands) {
        execute(std::move(commands));
    };
}

void XdsServer::connect_sessions() {
    sessions_.on_connected = [this](const event::ProxyConnected& connected) {
        snapshots_.on_proxy_connected(connected.proxy);
        post(connected);
    };
    sessions_.on_disconnected = [this](ProxyId proxy) {
        snapshots_.on_proxy_disconnected(proxy);
        send_queue_.discard(proxy);
        post(event::ProxyDisconnected{proxy});
    };
    sessions_.on_acknowledged = [this](const event::ConfigAcknowledged& acknowledged) {
        post(acknowledged);
    };
    health_checker_.on_result = [this](const event::HealthCheckResult& result) {
        log_.debug("health_check.ended", {{"server", servers_.name(result.server)},
                                          {"outcome", to_text(result.outcome)}});
        post(result);
    };
}

void XdsServer::connect_sockets() {
    server_.on_call = [this](const net::GrpcCallPtr& call) {
        on_call(call);
    };
    server_.on_trouble = [this](const std::string& peer, const std::string& reason) {
        warnings_.warn("connection.ended", {{"peer", peer}, {"why", reason}});
    };
    // Out of file descriptors: new connections wait, and the server keeps trying to accept them.
    // Without the rate limit each attempt would write a log line.
    server_.on_exhausted([this](const std::string& reason) {
        if (clock_.now() < last_exhausted_log_ + kMinExhaustedLogInterval) {
            return;
        }
        last_exhausted_log_ = clock_.now();
        log_.error("descriptors.none", {{"why", reason}, {"streams", sessions_.sessions().size()}});
    });
}

void XdsServer::connect_endpoint_watch() {
    endpoint_watch_.on_update = [this](const ServerList& list) {
        on_endpoint_update(list);
    };
    endpoint_watch_.on_error = [this](const std::string& reason) {
        log_.warn("endpoints.watch_failed", {{"why", reason}});
        if (config_.settings.endpoints_on_request) {
            post(event::EndpointListUpdate{UpdateKind::WatchFailed, {}});
        }
    };
}

void XdsServer::set_observer(XdsServerObserver& observer) {
    observer_ = &observer;
    observer_->on_started(clock_.now(), *this);
}

void XdsServer::stop() {
    if (std::exchange(is_stopping_, true)) {
        return;
    }
    sessions_.begin_shutdown();
    log_.info("governor.stopping", {{"streams", sessions_.sessions().size()}});
    sessions_.finish_all();
    endpoint_watch_.stop();
    server_.close(true);
    for (base::Timer* timer : {&send_timer_, &load_report_timer_, &report_interval_timer_}) {
        timer->stop();
    }
    policy_.stop();
}

XdsServerMetrics XdsServer::metrics() const {
    XdsServerMetrics metrics = metrics_;
    metrics.handler_cpu_us += policy_.cpu_us();
    metrics.send_queue = send_queue_.metrics();
    return metrics;
}

// ---- from the network to the policy

void XdsServer::on_call(const net::GrpcCallPtr& call) {
    if (call->path() == xds::kAdsMethod) {
        sessions_.accept(call);
    } else if (call->path() == xds::kLrsMethod) {
        report_streams_.accept(call);
    } else {
        warnings_.warn("call.unknown", {{"peer", call->peer()}, {"method", call->path()}});
    }
}

void XdsServer::on_endpoint_update(const ServerList& list) {
    const base::CpuMeter meter(metrics_.handler_cpu_us);
    ++metrics_.endpoint_updates;
    event::EndpointListUpdate update{UpdateKind::Snapshot, {}};
    int ready = 0;
    int draining = 0;
    for (const ListedServer& listed : list.servers) {
        const ServerDirectory::Entry& entry = servers_.update(listed, clock_.now());
        if (!snapshots_.server_location(entry.server)) {
            snapshots_.set_server_location(entry.server, {listed.address, listed.zone});
        }
        if (entry.zone.value < 0) {
            log_.warn("server.zone_unknown", {{"server", listed.id}, {"zone", listed.zone}});
        }
        update.endpoints.push_back(
            {entry.server, entry.zone, listed.state, listed.weight, entry.started_at});
        ++(listed.state == ServerState::Ready ? ready : draining);
    }
    log_.info("endpoints.updated", {{"registry", list.header.registry_incarnation},
                                    {"index", list.header.index},
                                    {"ready", ready},
                                    {"draining", draining}});
    post(update);
}

void XdsServer::deliver_load_reports() {
    const base::CpuMeter meter(metrics_.handler_cpu_us);
    load_report_timer_.after(kLoadReportDeliveryInterval, [this] { deliver_load_reports(); });
    for (const Event& event : load_reports_.pop(clock_.now())) {
        post(event);
    }
}

void XdsServer::close_report_interval() {
    report_interval_timer_.after(config_.settings.report_interval,
                                 [this] { close_report_interval(); });
    load_reports_.close_interval(clock_.now());
}

// ---- from the policy to the network

void XdsServer::execute(std::vector<Command> commands) {
    bool changes_config = false;
    for (const Command& command : commands) {
        const bool is_executed = execute_immediately(command);
        changes_config = changes_config || !is_executed;
    }
    if (changes_config) {
        queue_config_update(std::move(commands));
    }
}

/// Executes a command that does not change the configuration of proxies. Returns false, without
/// executing it, for one that does.
bool XdsServer::execute_immediately(const Command& command) {
    if (const auto* message = std::get_if<command::LogMessage>(&command)) {
        log_.info("policy.log", {{"text", message->text}});
        return true;
    }
    if (const auto* watch = std::get_if<command::WatchEndpoints>(&command)) {
        if (watch->enabled) {
            endpoint_watch_.start();
        } else {
            endpoint_watch_.stop();
        }
        return true;
    }
    if (std::holds_alternative<command::FetchEndpoints>(command)) {
        endpoint_watch_.fetch();
        return true;
    }
    if (const auto* check = std::get_if<command::CheckHealth>(&command)) {
        start_health_check(check->server);
        return true;
    }
    if (std::holds_alternative<command::SendGossip>(command)) {
        // There are no connections between control plane instances; the settings tell the policy
        // so.
        log_.error(
            "order.refused",
            {{"why",
              "command SendGossip: expected none, as control plane instances have no connection"}});
        return true;
    }
    return false;
}

void XdsServer::queue_config_update(std::vector<Command> commands) {
    ++metrics_.config_updates;
    const Micros now = clock_.now();
    auto update = snapshots_.apply(now, std::move(commands));
    for (const auto& rejected : update.rejected) {
        log_.error("order.refused", {{"why", rejected.text}});
    }
    double lines = 0;
    const std::size_t proxies = update.messages.size();
    for (auto& message : update.messages) {
        lines += message.lines;
        send_queue_.push(now, std::move(message));
    }
    if (proxies > 0) {
        log_.debug("update.queued", {{"update", snapshots_.update_number()},
                                     {"proxies", proxies},
                                     {"lines", lines},
                                     {"queued_lines", send_queue_.queued_lines()}});
    }
    schedule_sending();
}

void XdsServer::start_health_check(ServerId server) {
    const auto* location = snapshots_.server_location(server);
    if (!location) {
        log_.error("order.refused", {{"why",
                                      "command CheckHealth, field \"server\": expected a server "
                                      "that the registry listed, got id " +
                                          std::to_string(server.value)}});
        return;
    }
    if (!config_.settings.health_checks_allowed) {
        log_.error(
            "order.refused",
            {{"why",
              "command CheckHealth: expected none, as the settings do not allow health checks"}});
        return;
    }
    health_checker_.check(server, location->address);
}

void XdsServer::schedule_sending() {
    if (const auto send_time = send_queue_.next_send_time()) {
        send_timer_.at(*send_time, [this] { send_due_messages(); });
    } else {
        send_timer_.stop();
    }
}

void XdsServer::send_due_messages() {
    const base::CpuMeter meter(metrics_.handler_cpu_us);
    // All messages that are due get the same release time: it is part of a response, and streams
    // with equal responses can then share the serialized bytes.
    const Micros now = clock_.now();
    while (const auto message = send_queue_.pop(now)) {
        sessions_.send(now, *message);
    }
    schedule_sending();
}

// ---- for tests and benchmarks

void XdsServer::set_send_pace(double pace_fraction) {
    send_queue_.set_pace(clock_.now(), pace_fraction);
    schedule_sending();
}

void XdsServer::add_server_for_benchmark(const ListedServer& listed) {
    const ServerDirectory::Entry& entry = servers_.update(listed, clock_.now());
    snapshots_.set_server_location(entry.server, {listed.address, listed.zone});
    post(event::EndpointListUpdate{UpdateKind::Delta,
                                   {{entry.server, entry.zone, ServerState::Ready, 1, Micros{0}}}});
}

void XdsServer::publish_weight_for_benchmark(double weight) {
    std::vector<Command> commands;
    const TableId full_table{config_.settings.zone_count};
    for (const auto& [server, name] : servers_.names()) {
        commands.emplace_back(command::SetWeight{full_table, server, weight});
    }
    for (const auto& [name, session] : sessions_.sessions()) {
        commands.emplace_back(command::AssignTable{full_table, 0, session.proxy});
    }
    commands.emplace_back(command::RequestAck{{1}, false});
    execute(std::move(commands));
}

}  // namespace badgergrade::xds_server
