#include "platform_server/platform_server.h"

#include <algorithm>
#include <asio/error.hpp>
#include <cmath>
#include <optional>
#include <system_error>
#include <utility>

#include "base/real_clock.h"
#include "platform/protocol_words.h"

namespace badgergrade::platform_server {

using namespace std::chrono_literals;

namespace {

/// Descriptors that are no connection of a peer: standard streams, the poll, its wake-ups, the
/// listener, signals, two for discovery (an old call and a new one), some for files read on reload.
constexpr int kReservedDescriptors = 20;
/// Fewest connections that are admitted, whatever the limit of descriptors says.
constexpr int kMinConnections = 8;
/// How long an address that is in use is tried again: the process before this one may take as long
/// to end.
constexpr Micros kListenRetryPeriod = 10s;
/// Pause between two tries to listen.
constexpr Micros kListenRetryInterval = 50ms;
/// How often old server numbers are released and the state is logged.
constexpr Micros kHousekeepingInterval = 5s;
/// Bytes of a message's kind that are logged.
constexpr std::size_t kMaxLoggedKindBytes = 20;

std::size_t max_connections(const platform::NodeConfig& config) {
    return static_cast<std::size_t>(
        std::max(kMinConnections, config.max_sockets - kReservedDescriptors));
}

}  // namespace

PlatformServer::PlatformServer(net::Loop& loop, base::ActorId actor,
                               const platform::NodeConfig& config, log::Log& log, Micros wall_ahead)
    : clock_(loop.clock()),
      log_(log, config.name),
      warnings_(clock_, log_),
      config_(config),
      server_ids_(config_.protocol_names, wall_ahead),
      config_state_(config.settings),
      policy_runner_(clock_, actor, config.settings, config.seed, config.batch_window),
      connections_(clock_, actor, max_connections(config), warnings_),
      update_sender_({config_.protocol_names, server_ids_, config_state_, proxy_connections_,
                      connections_, warnings_},
                     log_),
      housekeeping_timer_(clock_, actor),
      listen_retry_timer_(clock_, actor),
      listen_deadline_(clock_.now() + kListenRetryPeriod),
      discovery_(loop, actor, config.name, config.discovery, config.initial_list.generation,
                 config.seed) {
    set_callbacks();
    // The list in the configuration is the planner's first event: a proxy that connects at once
    // must get servers.
    on_instance_list(config_.initial_list, UpdateKind::Cached);
    config_.initial_list = {};
    make_listener_ = [this, &loop, actor] {
        return std::make_unique<net::Listener>(
            loop, actor, config_.name, config_.listen,
            [this](net::StreamPtr stream) { connections_.accept(std::move(stream)); });
    };
    listen();
    discovery_.start();
    connections_.start();
    run_housekeeping();
}

void PlatformServer::set_callbacks() {
    policy_runner_.on_commands = [this](std::vector<Command> commands) {
        update_sender_.carry_out(commands);
    };
    connections_.on_message = [this](ConnectionId id, Connection& connection,
                                     const resp::Message& raw) {
        on_message(id, connection, raw);
    };
    connections_.on_released = [this](ConnectionId id, const Connection& connection,
                                      const std::string& why) {
        on_connection_released(id, connection, why);
    };
    discovery_.on_list = [this](const platform::InstanceList& list) {
        on_instance_list(list, list.is_snapshot ? UpdateKind::Snapshot : UpdateKind::Delta);
    };
    discovery_.on_trouble = [this](const std::string& why) {
        warnings_.warn("discovery.trouble",
                       {{"at", net::to_text(discovery_.address())}, {"why", why}});
    };
    discovery_.knows_servers = [this] {
        return server_ids_.has_servers();
    };
}

void PlatformServer::listen() {
    try {
        listener_ = make_listener_();
    } catch (const std::system_error& error) {
        return retry_listen(error.code());
    }
    listener_->on_trouble([this](std::string why) {
        warnings_.warn("accept.failed", {{"why", why}, {"connections", connections_.size()}});
    });
    log_.info("node.started", {{"listen", net::to_text(address())},
                               {"discovery", net::to_text(config_.discovery)},
                               {"connections_most", connections_.max_size()},
                               {"zones", config_.protocol_names.zones.size()},
                               {"proxies", config_.protocol_names.proxy_count},
                               {"servers", server_ids_.size()}});
}

// Failure guarded against: a restart comes while the process before still holds the address, and
// the new one gives up at once. Any other reason does not go away by itself.
void PlatformServer::retry_listen(const std::error_code& reason) {
    if (reason != asio::error::address_in_use || clock_.now() >= listen_deadline_) {
        throw ListenError("can't listen on " + net::to_text(config_.listen) + ": " +
                          reason.message());
    }
    warnings_.warn("listen.retry",
                   {{"listen", net::to_text(config_.listen)}, {"why", reason.message()}});
    listen_retry_timer_.after(kListenRetryInterval, [this] { listen(); });
}

PlatformServer::~PlatformServer() {
    stop();
}

void PlatformServer::stop() {
    if (std::exchange(stopping_, true)) {
        return;
    }
    log_.info("node.stopping",
              {{"proxies", proxy_connections_.size()}, {"connections", connections_.size()}});
    if (listener_) {
        listener_->close();
    }
    discovery_.stop();
    policy_runner_.stop();
    housekeeping_timer_.stop();
    listen_retry_timer_.stop();
    connections_.close_all();
    collectors_.clear();
    proxy_connections_.clear();
}

void PlatformServer::reload(const platform::NodeConfig& config) {
    if (stopping_) {
        return;
    }
    const bool moved = config.discovery != discovery_.address();
    log_.info("config.reloaded", {{"discovery", net::to_text(config.discovery)},
                                  {"moved", moved},
                                  {"generation", discovery_.generation()}});
    if (config.listen != config_.listen || config.name != config_.name ||
        config.max_sockets != config_.max_sockets) {
        log_.warn("config.needs_restart",
                  {{"why", "name, listen and limits are read at the start alone"}});
    }
    if (moved) {
        discovery_.move(config.discovery);
    }
}

ServerStatistics PlatformServer::statistics() const {
    ServerStatistics statistics = counters_;
    statistics.updates_sent = update_sender_.sent_total();
    statistics.rejected = connections_.rejected_total();
    statistics.connections = connections_.size();
    statistics.unidentified = connections_.unidentified();
    statistics.proxies = proxy_connections_.size();
    statistics.servers = server_ids_.size();
    statistics.buffered_bytes = connections_.buffered_bytes();
    statistics.timers = policy_runner_.timers();
    return statistics;
}

// ---- messages

void PlatformServer::on_message(ConnectionId id, Connection& connection, const resp::Message& raw) {
    try {
        dispatch(id, connection, platform::read_message(raw, config_.protocol_names, server_ids_));
    } catch (const platform::InvalidMessage& error) {
        // Thrown only before a handler has closed anything: the connection still exists.
        on_invalid_message(id, connection, raw, error.what());
    }
}

void PlatformServer::dispatch(ConnectionId id, Connection& connection,
                              const platform::Message& message) {
    if (std::holds_alternative<platform::Ping>(message)) {
        return answer_ping(id);
    }
    switch (connection.role) {
        case ConnectionRole::Unidentified:
            return on_unidentified_message(id, connection, message);
        case ConnectionRole::Collector:
            return on_collector_message(connection, message);
        case ConnectionRole::Proxy:
            return on_proxy_message(connection, message);
        case ConnectionRole::Rejected:
            return;
    }
}

void PlatformServer::on_invalid_message(ConnectionId id, const Connection& connection,
                                        const resp::Message& raw, const std::string& why) {
    ++counters_.invalid_messages;
    const std::string kind =
        raw.words.empty() ? "" : raw.words.front().substr(0, kMaxLoggedKindBytes);
    if (connection.role == ConnectionRole::Unidentified) {
        return connections_.reject(id, kind + ": " + why);
    }
    warnings_.warn("message.invalid",
                   {{"peer", connection.stream->peer()}, {"kind", kind}, {"why", why}});
}

void PlatformServer::answer_ping(ConnectionId id) {
    std::string pong;
    resp::write(pong, {platform::words::kPong});
    connections_.write(id, pong, "leaves its answers unread");
}

void PlatformServer::on_unidentified_message(ConnectionId id, Connection& connection,
                                             const platform::Message& message) {
    if (const auto* connected = std::get_if<event::ProxyConnected>(&message)) {
        return add_proxy(id, connection, *connected);
    }
    if (const auto* source = std::get_if<platform::Source>(&message)) {
        return add_collector(id, connection, source->zone);
    }
    connections_.reject(id, "a report or an answer before joining");
}

void PlatformServer::add_collector(ConnectionId id, Connection& connection, ZoneId zone) {
    connections_.identify(id, ConnectionRole::Collector);
    connection.zone = zone;
    log_.info("collector.connected",
              {{"zone", zone_name(zone)}, {"peer", connection.stream->peer()}});
    if (const auto evicted = collectors_.to_evict(zone, connections_)) {
        connections_.close(*evicted, "newer collectors of this zone report");
    }
    collectors_.add(zone, id);
}

// The planner sees ProxyDisconnected of the older session before ProxyConnected of the newer one.
void PlatformServer::add_proxy(ConnectionId id, Connection& connection,
                               const event::ProxyConnected& connected) {
    connections_.identify(id, ConnectionRole::Proxy);
    connection.proxy = connected.proxy;
    if (const auto existing = proxy_connections_.find(connected.proxy)) {
        connections_.close(*existing, "a newer stream of this proxy");
    }
    proxy_connections_.set(connected.proxy, id);
    config_state_.on_proxy_connected(connected.proxy);
    ++counters_.joins;
    log_.info("proxy.connected", {{"proxy", connected.proxy.value},
                                  {"zone", connected.zone.value},
                                  {"fresh", connected.fresh_start},
                                  {"peer", connection.stream->peer()}});
    post(connected);
}

void PlatformServer::on_proxy_message(Connection& connection, const platform::Message& message) {
    if (const auto* ack = std::get_if<event::ConfigAcknowledged>(&message)) {
        return on_acknowledgement(connection, *ack);
    }
    const auto* demand = std::get_if<event::ProxyDemandReport>(&message);
    if (!demand) {
        throw platform::InvalidMessage("a message that is not a proxy's");
    }
    if (demand->proxy != connection.proxy) {
        throw platform::InvalidMessage("a RATE in another proxy's name");
    }
    log_demand(*demand);
    post(*demand);
}

// Failure guarded against: an acknowledgement of a version that was sent on an older stream counts
// for the newer one, and lines that never arrived are taken for delivered. Pending versions are
// therefore kept per stream; the unknown ones are invalid.
void PlatformServer::on_acknowledgement(Connection& connection,
                                        const event::ConfigAcknowledged& ack) {
    if (ack.proxy != connection.proxy) {
        throw platform::InvalidMessage("an ACK in another proxy's name");
    }
    switch (connection.pending_acks.on_acknowledged(ack.version)) {
        case PendingAcks::Answer::Unknown:
            throw platform::InvalidMessage("an ACK of a mark that was not written on this stream");
        case PendingAcks::Answer::Late:
            return;
        case PendingAcks::Answer::Awaited:
            ++counters_.acknowledged;
            post(ack);
    }
}

void PlatformServer::on_collector_message(Connection& connection,
                                          const platform::Message& message) {
    connection.since = clock_.now();
    if (const auto* load = std::get_if<event::ServerLoadReport>(&message)) {
        if (load->zone != connection.zone) {
            throw platform::InvalidMessage("a LOAD of another zone");
        }
        log_load(*load);
        return post(*load);
    }
    const auto* demand = std::get_if<event::ProxyDemandReport>(&message);
    if (!demand) {
        throw platform::InvalidMessage("a message that is not a collector's");
    }
    post(*demand);
}

void PlatformServer::log_demand(const event::ProxyDemandReport& report) {
    log_.debug("demand.reported", {{"proxy", report.proxy.value},
                                   {"operation", report.operation.value},
                                   {"tries", report.attempts},
                                   {"failed", report.failures},
                                   {"span_us", report.interval.count()}});
}

void PlatformServer::log_load(const event::ServerLoadReport& report) {
    log_.debug("load.reported", {{"zone", report.zone.value},
                                 {"server", server_ids_.text_id(report.server)},
                                 {"number", report.server.value},
                                 {"tries", report.attempts},
                                 {"failed", report.failures},
                                 {"mean_us", report.mean_latency.count()},
                                 {"span_us", report.interval.count()}});
}

// ---- ends of connections

void PlatformServer::on_connection_released(ConnectionId id, const Connection& connection,
                                            const std::string& why) {
    if (connection.role == ConnectionRole::Proxy) {
        on_proxy_released(id, connection, why);
    } else if (connection.role == ConnectionRole::Collector) {
        log_.info("collector.disconnected", {{"zone", zone_name(connection.zone)}, {"why", why}});
        collectors_.remove(connection.zone, id);
    }
}

void PlatformServer::on_proxy_released(ConnectionId id, const Connection& connection,
                                       const std::string& why) {
    log_.info("proxy.disconnected", {{"proxy", connection.proxy.value},
                                     {"why", why},
                                     {"unanswered", connection.pending_acks.size()}});
    if (!proxy_connections_.remove(connection.proxy, id)) {
        return;
    }
    config_state_.on_proxy_disconnected(connection.proxy);
    ++counters_.leaves;
    if (!stopping_) {
        post(event::ProxyDisconnected{connection.proxy});
    }
}

// ---- planner, discovery, housekeeping

void PlatformServer::on_instance_list(const platform::InstanceList& list, UpdateKind kind) {
    const event::EndpointListUpdate update = server_ids_.update(list, kind, clock_.now());
    const auto ready =
        std::count_if(update.endpoints.begin(), update.endpoints.end(),
                      [](const Endpoint& e) { return e.state == ServerState::Ready; });
    log_.info("endpoints.updated", {{"generation", list.generation},
                                    {"whole", kind != UpdateKind::Delta},
                                    {"rows", update.endpoints.size()},
                                    {"ready", ready}});
    post(update);
}

void PlatformServer::post(const Event& event) {
    policy_runner_.post(event);
}

void PlatformServer::run_housekeeping() {
    housekeeping_timer_.after(kHousekeepingInterval, [this] { run_housekeeping(); });
    server_ids_.release_unused(
        clock_.now(), [this](ServerId server) { return config_state_.references(server); });
    const ServerStatistics now = statistics();
    const policy::ChannelEstimate channel = policy_runner_.channel_estimate();
    log_.info("node.state", {{"proxies", now.proxies},
                             {"strangers", now.unidentified},
                             {"connections", now.connections},
                             {"servers", now.servers},
                             {"generation", discovery_.generation()},
                             {"orders", now.updates_sent},
                             {"applied", now.acknowledged},
                             {"spoilt", now.invalid_messages},
                             {"refused", now.rejected},
                             {"held", now.buffered_bytes},
                             {"timers", now.timers},
                             {"queued_lines", std::lround(channel.queued_lines)},
                             {"unacknowledged_lines", std::lround(channel.unacknowledged_lines)},
                             {"ack_delay_us", channel.last_acknowledgement_delay.count()},
                             {"cpu_us", base::process_cpu_us()},
                             {"memory_kb", base::process_memory_bytes() / 1024}});
}

const std::string& PlatformServer::zone_name(ZoneId zone) const {
    return config_.protocol_names.zones[index_of(zone)];
}

}  // namespace badgergrade::platform_server
