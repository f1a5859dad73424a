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

/// Descriptors not available for peers: standard streams, epoll and its wake-up, the listener,
/// signals, two for discovery (a previous call and a new one), and some for files read on reload.
constexpr int kReservedDescriptors = 20;
/// Lower limit of the admitted connections, whatever the descriptor limit is.
constexpr int kMinConnections = 8;
/// The part of the memory limit that the connections may hold. The rest is for the planner's state,
/// the tables, and what the allocator keeps.
constexpr std::size_t kHeldMemoryDivisor = 8;
/// The work of messages: an invalid one costs an exception, its text, and at times a log line.
constexpr std::size_t kValidMessageWork = 1;
constexpr std::size_t kInvalidMessageWork = 8;
/// How long listening is retried while the address is in use. The previous process may take as long
/// to exit.
constexpr Micros kListenRetryPeriod = 10s;
/// Pause between two attempts to listen.
constexpr Micros kListenRetryInterval = 50ms;
/// How often numbers of gone servers are released and the state is logged.
constexpr Micros kHousekeepingInterval = 5s;
/// Limit of the bytes of an invalid message's kind that are logged.
constexpr std::size_t kMaxLoggedKindBytes = 20;

std::size_t max_connections(const platform::NodeConfig& config) {
    return static_cast<std::size_t>(
        std::max(kMinConnections, config.max_sockets - kReservedDescriptors));
}

std::size_t max_held_bytes(const platform::NodeConfig& config) {
    return config.max_memory_bytes / kHeldMemoryDivisor;
}

}  // namespace

PlatformServer::PlatformServer(net::Loop& loop, base::ActorId actor,
                               const platform::NodeConfig& config, log::Log& log,
                               Micros wall_clock_offset)
    : clock_(loop.clock()),
      log_(log, config.name),
      warnings_(clock_, log_),
      config_(config),
      server_ids_(config_.protocol_names, wall_clock_offset),
      config_state_(config.settings),
      policy_runner_(clock_, actor, config.settings, config.seed, config.batch_window),
      connections_(clock_, actor, max_connections(config), max_held_bytes(config), warnings_),
      update_sender_({config_.protocol_names, server_ids_, config_state_, proxy_connections_,
                      connections_, warnings_},
                     log_),
      housekeeping_timer_(clock_, actor),
      listen_retry_timer_(clock_, actor),
      listen_deadline_(clock_.now() + kListenRetryPeriod),
      discovery_(loop, actor, config.name, config.discovery, config.initial_list.generation,
                 config.seed) {
    set_callbacks();
    // The list in the configuration is the planner's first event, so that a proxy that connects
    // immediately gets servers.
    on_server_list(config_.initial_list, UpdateKind::Cached);
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
        update_sender_.execute(commands);
    };
    connections_.on_message = [this](ConnectionId id, Connection& connection,
                                     const resp::Message& raw) {
        return on_message(id, connection, raw);
    };
    connections_.on_released = [this](ConnectionId id, const Connection& connection,
                                      const std::string& reason) {
        on_connection_released(id, connection, reason);
    };
    discovery_.on_list = [this](const platform::ServerList& list) {
        on_server_list(list, list.is_snapshot ? UpdateKind::Snapshot : UpdateKind::Delta);
    };
    discovery_.on_failure = [this](const std::string& reason) {
        warnings_.warn("discovery.trouble",
                       {{"at", net::to_text(discovery_.address())}, {"why", reason}});
    };
    discovery_.has_known_servers = [this] {
        return server_ids_.has_servers();
    };
}

void PlatformServer::listen() {
    try {
        listener_ = make_listener_();
    } catch (const std::system_error& error) {
        return retry_listen(error.code());
    }
    listener_->on_trouble([this](std::string reason) {
        warnings_.warn("accept.failed", {{"why", reason}, {"connections", connections_.size()}});
    });
    log_.info("node.started", {{"listen", net::to_text(address())},
                               {"discovery", net::to_text(config_.discovery)},
                               {"connections_most", connections_.max_size()},
                               {"zones", config_.protocol_names.zones.size()},
                               {"proxies", config_.protocol_names.proxy_count},
                               {"servers", server_ids_.size()}});
}

// After a restart the previous process may still hold the address for a while. Retrying does not
// help with any other error.
void PlatformServer::retry_listen(const std::error_code& reason) {
    if (reason != asio::error::address_in_use || clock_.now() >= listen_deadline_) {
        throw ListenError("cannot listen on " + net::to_text(config_.listen) + ": " +
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
    const bool discovery_changed = config.discovery != discovery_.address();
    log_.info("config.reloaded", {{"discovery", net::to_text(config.discovery)},
                                  {"moved", discovery_changed},
                                  {"generation", discovery_.generation()}});
    if (config.listen != config_.listen || config.name != config_.name ||
        config.max_sockets != config_.max_sockets) {
        log_.warn("config.needs_restart",
                  {{"why", "changes to name, listen and limits take effect only after a restart"}});
    }
    if (discovery_changed) {
        discovery_.change_address(config.discovery);
    }
}

ServerStatistics PlatformServer::statistics() const {
    ServerStatistics statistics = counters_;
    statistics.updates_sent = update_sender_.sent_total();
    statistics.rejected_connections = connections_.rejected_total();
    statistics.connections = connections_.size();
    statistics.unidentified = connections_.unidentified_count();
    statistics.proxies = proxy_connections_.size();
    statistics.servers = server_ids_.size();
    statistics.held_bytes = connections_.held_bytes();
    statistics.planner_timers = policy_runner_.pending_timers();
    return statistics;
}

// ---- messages

std::size_t PlatformServer::on_message(ConnectionId id, Connection& connection,
                                       const resp::Message& raw) {
    try {
        dispatch(id, connection, platform::read_message(raw, config_.protocol_names, server_ids_));
        return kValidMessageWork;
    } catch (const platform::InvalidMessage& error) {
        // Handlers throw only before they close any connection, so that this one still exists.
        on_invalid_message(id, connection, raw, error.what());
        return kInvalidMessageWork;
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
                                        const resp::Message& raw, const std::string& reason) {
    ++counters_.invalid_messages;
    const std::string kind =
        raw.words.empty() ? "" : raw.words.front().substr(0, kMaxLoggedKindBytes);
    if (connection.role == ConnectionRole::Unidentified) {
        return connections_.reject(id, kind + ": " + reason);
    }
    warnings_.warn("message.invalid",
                   {{"peer", connection.stream->peer()}, {"kind", kind}, {"why", reason}});
}

void PlatformServer::answer_ping(ConnectionId id) {
    std::string pong;
    resp::write(pong, {platform::words::kPong});
    connections_.write(id, pong, "send buffer limit exceeded: peer leaves answers to PING unread");
}

void PlatformServer::on_unidentified_message(ConnectionId id, Connection& connection,
                                             const platform::Message& message) {
    if (const auto* connected = std::get_if<event::ProxyConnected>(&message)) {
        return add_proxy(id, connection, *connected);
    }
    if (const auto* source = std::get_if<platform::Source>(&message)) {
        return add_collector(id, connection, source->zone);
    }
    connections_.reject(id,
                        "expected SUBSCRIBE or SOURCE first, got a report or an acknowledgement");
}

void PlatformServer::add_collector(ConnectionId id, Connection& connection, ZoneId zone) {
    connections_.identify(id, ConnectionRole::Collector);
    connection.zone = zone;
    log_.info("collector.connected",
              {{"zone", zone_name(zone)}, {"peer", connection.stream->peer()}});
    if (const auto evicted = collectors_.connection_to_evict(zone, connections_)) {
        connections_.close(*evicted, "collector limit of the zone: closed for a new collector");
    }
    collectors_.add(zone, id);
}

// A SUBSCRIBE may be read long after its sender has left, and after the proxy has connected again:
// it must not replace the newer connection.
// Closes the previous connection first: the planner must see its ProxyDisconnected before the
// ProxyConnected of the new one.
void PlatformServer::add_proxy(ConnectionId id, Connection& connection,
                               const event::ProxyConnected& connected) {
    if (connection.stream->peer_has_left()) {
        return connections_.close(id, "the peer left before its SUBSCRIBE was read");
    }
    connections_.identify(id, ConnectionRole::Proxy);
    connection.proxy = connected.proxy;
    if (const auto previous = proxy_connections_.find(connected.proxy)) {
        connections_.close(*previous, "replaced by a newer connection of this proxy");
    }
    proxy_connections_.set(connected.proxy, id);
    config_state_.on_proxy_connected(connected.proxy);
    ++counters_.proxy_connects;
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
        throw platform::InvalidMessage(
            "expected ACK or RATE on a proxy's connection, got another message");
    }
    if (demand->proxy != connection.proxy) {
        throw platform::InvalidMessage("field \"proxy\": expected " +
                                       std::to_string(connection.proxy.value) + ", got " +
                                       std::to_string(demand->proxy.value));
    }
    log_demand(*demand);
    post(*demand);
}

// Pending versions are kept per connection, and an acknowledgement of an unknown version is
// invalid: if a version that was sent on an earlier connection counted for the current one, lines
// that never arrived would be taken as delivered.
void PlatformServer::on_acknowledgement(Connection& connection,
                                        const event::ConfigAcknowledged& ack) {
    if (ack.proxy != connection.proxy) {
        throw platform::InvalidMessage("field \"proxy\": expected " +
                                       std::to_string(connection.proxy.value) + ", got " +
                                       std::to_string(ack.proxy.value));
    }
    switch (connection.pending_acks.on_acknowledged(ack.version)) {
        case PendingAcks::Answer::Unknown:
            throw platform::InvalidMessage(
                "field \"mark\": expected an unacknowledged version sent on this connection, got " +
                std::to_string(ack.version.value));
        case PendingAcks::Answer::Late:
            return;
        case PendingAcks::Answer::Awaited:
            ++counters_.acknowledged;
            post(ack);
    }
}

void PlatformServer::on_collector_message(Connection& connection,
                                          const platform::Message& message) {
    connection.timeout_start = clock_.now();
    if (const auto* load = std::get_if<event::ServerLoadReport>(&message)) {
        if (load->zone != connection.zone) {
            throw platform::InvalidMessage("field \"zone\": expected " +
                                           zone_name(connection.zone) + ", got " +
                                           zone_name(load->zone));
        }
        log_load(*load);
        return post(*load);
    }
    const auto* demand = std::get_if<event::ProxyDemandReport>(&message);
    if (!demand) {
        throw platform::InvalidMessage(
            "expected LOAD or RATE on a collector's connection, got another message");
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
                                            const std::string& reason) {
    if (connection.role == ConnectionRole::Proxy) {
        on_proxy_released(id, connection, reason);
    } else if (connection.role == ConnectionRole::Collector) {
        log_.info("collector.disconnected",
                  {{"zone", zone_name(connection.zone)}, {"why", reason}});
        collectors_.remove(connection.zone, id);
    }
}

void PlatformServer::on_proxy_released(ConnectionId id, const Connection& connection,
                                       const std::string& reason) {
    log_.info("proxy.disconnected", {{"proxy", connection.proxy.value},
                                     {"why", reason},
                                     {"unanswered", connection.pending_acks.size()}});
    if (!proxy_connections_.remove(connection.proxy, id)) {
        return;
    }
    config_state_.on_proxy_disconnected(connection.proxy);
    ++counters_.proxy_disconnects;
    if (!stopping_) {
        post(event::ProxyDisconnected{connection.proxy});
    }
}

// ---- planner, discovery, housekeeping

void PlatformServer::on_server_list(const platform::ServerList& list, UpdateKind kind) {
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
                             {"refused", now.rejected_connections},
                             {"held", now.held_bytes},
                             {"timers", now.planner_timers},
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
