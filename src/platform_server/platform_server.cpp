#include "platform_server/platform_server.h"

#include <algorithm>
#include <asio/error.hpp>
#include <optional>
#include <tuple>
#include <utility>

#include "base/real_clock.h"
#include "platform/config_writer.h"

namespace badgergrade::platform_server {

using namespace std::chrono_literals;

namespace {

// Descriptors that are no connection of a peer: standard streams, the poll, its wake-ups, the
// listener, signals, two for discovery (an old call and a new one), some for files read on reload.
constexpr int kOwnDescriptors = 20;
// Whoever has not joined by then is closed; what it may send until then is small.
constexpr Micros kJoinWithin = 1200ms, kStrangersLook = 100ms;
// A peer that was told NACK has this long to end its side, so that no input of its own turns our
// close into a reset.
constexpr Micros kLeaveWithin = 500ms;
// Each zone has one collector. The ends of older ones may not have been seen: the one silent
// longest goes.
constexpr std::size_t kCollectorsMost = 4;
// An address that the life before still holds is asked for again.
constexpr Micros kListenFor = 10s, kListenAgain = 50ms;
constexpr std::size_t kStrangerBytes = 16 * 1024;
// Unfinished messages of all connections together, and what a peer may leave unread.
constexpr std::size_t kHeldMost = 4 * 1024 * 1024, kUnsentMost = 512 * 1024;
constexpr Micros kLook = 5s;

}  // namespace

PlatformServer::PlatformServer(net::Loop& loop, base::ActorId actor,
                               const platform::NodeConfig& config, log::Log& log, Micros wall_ahead)
    : clock_(loop.clock()),
      log_(log, config.name),
      config_(config),
      servers_(config_.names, wall_ahead),
      orders_(config.settings),
      driver_(clock_, actor, config.settings, config.seed, config.batch),
      connections_most_(static_cast<std::size_t>(std::max(8, config.sockets - kOwnDescriptors))),
      strangers_timer_(clock_, actor),
      look_(clock_, actor),
      listen_again_(clock_, actor),
      listen_until_(clock_.now() + kListenFor),
      discovery_(loop, actor, config.name, config.discovery, config.known.generation, config.seed) {
    driver_.on_commands = [this](std::vector<Command> actions) {
        carry_out(actions);
    };
    discovery_.on_list = [this](const platform::InstanceList& list) {
        on_list(list, list.whole ? UpdateKind::Snapshot : UpdateKind::Delta);
    };
    discovery_.on_trouble = [this](const std::string& why) {
        warn("discovery.trouble", {{"at", net::to_text(discovery_.at())}, {"why", why}});
    };
    discovery_.knows_servers = [this] {
        return servers_.any();
    };
    // The list as it was last held comes before anything else.
    on_list(config_.known, UpdateKind::Cached);
    config_.known = {};
    make_listener_ = [this, &loop, actor] {
        return std::make_unique<net::Listener>(
            loop, actor, config_.name, config_.listen,
            [this](net::StreamPtr stream) { accept(std::move(stream)); });
    };
    listen();
    discovery_.start();
    end_strangers();
    look();
}

void PlatformServer::listen() {
    try {
        listener_ = make_listener_();
    } catch (const std::system_error& wrong) {
        if (wrong.code() != asio::error::address_in_use || clock_.now() >= listen_until_) {
            throw CannotListen("can't listen on " + net::to_text(config_.listen) + ": " +
                               wrong.code().message());
        }
        warn("listen.again",
             {{"listen", net::to_text(config_.listen)}, {"why", wrong.code().message()}});
        return listen_again_.after(kListenAgain, [this] { listen(); });
    }
    listener_->on_trouble([this](std::string why) {
        warn("accept.failed", {{"why", why}, {"connections", connections_.size()}});
    });
    log_.info("node.started", {{"listen", net::to_text(address())},
                               {"discovery", net::to_text(config_.discovery)},
                               {"connections_most", connections_most_},
                               {"zones", config_.names.zones.size()},
                               {"proxies", config_.names.proxies},
                               {"servers", servers_.size()}});
}

PlatformServer::~PlatformServer() {
    stop();
}

void PlatformServer::stop() {
    if (std::exchange(stopping_, true)) {
        return;
    }
    log_.info("node.stopping",
              {{"proxies", streams_.size()}, {"connections", connections_.size()}});
    if (listener_) {
        listener_->close();
    }
    discovery_.stop();
    driver_.stop();
    strangers_timer_.stop();
    look_.stop();
    listen_again_.stop();
    // What the kernel has taken still reaches its peer; what has not left here never will.
    for (auto& [id, connection] : connections_) {
        connection.stream->close(connection.stream->unsent() > 0);
    }
    connections_.clear();
    strangers_.clear();
    leaving_.clear();
    collectors_.clear();
    streams_.clear();
}

void PlatformServer::reload(const platform::NodeConfig& config) {
    if (stopping_) {
        return;
    }
    const bool moved = config.discovery != discovery_.at();
    log_.info("config.reloaded", {{"discovery", net::to_text(config.discovery)},
                                  {"moved", moved},
                                  {"generation", discovery_.generation()}});
    if (config.listen != config_.listen || config.name != config_.name ||
        config.sockets != config_.sockets) {
        log_.warn("config.needs_restart",
                  {{"why", "name, listen and limits are read at the start alone"}});
    }
    if (moved) {
        discovery_.move(config.discovery);
    }
}

Figures PlatformServer::figures() const {
    Figures out = figures_;
    out.connections = connections_.size();
    out.strangers = strangers_.size();
    out.proxies = streams_.size();
    out.servers = servers_.size();
    out.held_bytes = held_bytes_;
    out.timers = driver_.timers();
    return out;
}

void PlatformServer::warn(std::string_view event, std::initializer_list<log::Field> fields) {
    std::int64_t unsaid = 0;
    if (!limit_.allows(event, clock_.now(), unsaid)) {
        return;
    }
    log_.warn(event, fields);
    if (unsaid > 0) {
        log_.warn("lines.left_out", {{"event", event}, {"lines", unsaid}});
    }
}

// ---- connections

void PlatformServer::accept(net::StreamPtr stream) {
    make_room();
    if (connections_.size() >= connections_most_) {
        warn("connection.no_room",
             {{"peer", stream->peer()}, {"connections", connections_.size()}});
        return stream->close(true);
    }
    const ConnectionId id = ++ids_;
    stream->on_data = [this, id](std::string_view bytes) {
        came(id, bytes);
    };
    stream->on_end = [this, id](std::string why) {
        end(id, why);
    };
    Connection& connection = connections_[id];
    connection.stream = std::move(stream);
    connection.reader.set_limits({kStrangerBytes, 64});
    connection.since = clock_.now();
    strangers_.insert(id);
}

// Whoever only holds a place loses it to a newcomer, the oldest first: a proxy that wants to join
// always finds one.
void PlatformServer::make_room() {
    while (connections_.size() >= connections_most_) {
        if (!leaving_.empty()) {
            end(leaving_.front(), "its place is wanted");
        } else if (strangers_.empty()) {
            return;
        } else if (const ConnectionId oldest = *strangers_.begin(); still_silent(oldest)) {
            refuse(oldest, "its place is wanted");
        }
    }
}

// Whether a stranger has not said who it is. What it said may lie unread since this governor was
// busy with others, for as long as a whole time-out where hundreds dial at once on part of a core:
// that is not the peer's lateness.
bool PlatformServer::still_silent(ConnectionId id) {
    const net::StreamPtr stream = connections_.at(id).stream;
    stream->take_unread();
    return strangers_.contains(id);
}

void PlatformServer::end_strangers() {
    strangers_timer_.after(kStrangersLook, [this] { end_strangers(); });
    end_leaving();
    const Micros now = clock_.now();
    while (!strangers_.empty()) {
        const ConnectionId oldest = *strangers_.begin();
        if (now - connections_.at(oldest).since < kJoinWithin) {
            return;
        }
        if (still_silent(oldest)) {
            refuse(oldest, "did not join in time");
        }
    }
}

void PlatformServer::end_leaving() {
    while (!leaving_.empty() &&
           clock_.now() - connections_.at(leaving_.front()).since >= kLeaveWithin) {
        end(leaving_.front(), "was refused");
    }
}

void PlatformServer::refuse(ConnectionId id, const std::string& why) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    ++figures_.refused;
    Connection& connection = it->second;
    warn("connection.refused", {{"peer", connection.stream->peer()}, {"why", why}});
    give_up(id, connection, why);
    connection.role = Role::Leaving;
    connection.since = clock_.now();
    connection.reader = resp::Reader();
    leaving_.push_back(id);
    std::string bytes;
    resp::write(bytes, {"NACK", "why", why.substr(0, 200)});
    connection.stream->write(bytes);
    connection.stream->finish_sending();
}

void PlatformServer::end(ConnectionId id, const std::string& why) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
        return;
    }
    Connection connection = std::move(it->second);
    connections_.erase(it);
    if (connection.role == Role::Leaving) {
        std::erase(leaving_, id);
    } else {
        give_up(id, connection, why);
    }
    connection.stream->close(connection.stream->unsent() > 0);
}

// Nothing of what this connection stood for is left.
void PlatformServer::give_up(ConnectionId id, const Connection& connection,
                             const std::string& why) {
    strangers_.erase(id);
    held_bytes_ -= connection.reader.held();
    if (connection.role == Role::Proxy) {
        log_.info("proxy.left", {{"proxy", connection.proxy.value},
                                 {"why", why},
                                 {"unanswered", connection.marks.size()}});
        forget_proxy(id, connection);
    } else if (connection.role == Role::Collector) {
        log_.info("collector.left",
                  {{"zone", config_.names.zones[static_cast<std::size_t>(connection.zone.value)]},
                   {"why", why}});
        collectors_[connection.zone].erase(id);
    }
}

// The newest stream of a proxy stands: the end of an older one, seen late, does not unjoin it.
void PlatformServer::forget_proxy(ConnectionId id, const Connection& connection) {
    const auto stands = streams_.find(connection.proxy);
    if (stands == streams_.end() || stands->second != id) {
        return;
    }
    streams_.erase(stands);
    orders_.on_proxy_disconnected(connection.proxy);
    ++figures_.leaves;
    if (!stopping_) {
        driver_.post(event::ProxyDisconnected{connection.proxy});
    }
}

// ---- messages

void PlatformServer::came(ConnectionId id, std::string_view bytes) {
    for (;;) {
        const auto it = connections_.find(id);
        if (it == connections_.end() || it->second.role == Role::Leaving) {
            return;
        }
        Connection& connection = it->second;
        held_bytes_ -= connection.reader.held();
        const auto message = connection.reader.next(bytes);
        held_bytes_ += connection.reader.held();
        if (!message) {
            return check_reader(id, connection.reader);
        }
        handle(id, connection, *message);
    }
}

void PlatformServer::check_reader(ConnectionId id, const resp::Reader& reader) {
    if (!reader.error().empty()) {
        return refuse(id, "can't be read: " + reader.error());
    }
    if (held_bytes_ > kHeldMost && reader.held() > kStrangerBytes) {
        refuse(id, "too many unfinished messages");
    }
}

void PlatformServer::handle(ConnectionId id, Connection& connection, const resp::Message& raw) {
    try {
        const platform::Message message = platform::read_message(raw, config_.names, servers_);
        if (std::holds_alternative<platform::Ping>(message)) {
            return answer_ping(id, connection);
        }
        switch (connection.role) {
            case Role::Stranger:
                return handle_stranger(id, connection, message);
            case Role::Collector:
                return handle_collector(connection, message);
            case Role::Proxy:
                return handle_proxy(connection, message);
            case Role::Leaving:
                return;
        }
    } catch (const platform::InvalidMessage& wrong) {
        ++figures_.spoilt;
        const std::string kind = raw.words.empty() ? "" : raw.words.front().substr(0, 20);
        if (connection.role == Role::Stranger) {
            return refuse(id, kind + ": " + wrong.what());
        }
        warn("message.spoilt",
             {{"peer", connection.stream->peer()}, {"kind", kind}, {"why", wrong.what()}});
    }
}

void PlatformServer::answer_ping(ConnectionId id, Connection& connection) {
    std::string pong;
    resp::write(pong, {"PONG"});
    connection.stream->write(pong);
    if (connection.stream->unsent() > kUnsentMost) {
        end(id, "leaves its answers unread");
    }
}

void PlatformServer::handle_stranger(ConnectionId id, Connection& connection,
                                     const platform::Message& message) {
    if (const auto* joined = std::get_if<event::ProxyConnected>(&message)) {
        return join(id, connection, *joined);
    }
    const auto* source = std::get_if<platform::Source>(&message);
    if (!source) {
        return refuse(id, "a report or an answer before joining");
    }
    add_collector(id, connection, source->zone);
}

void PlatformServer::add_collector(ConnectionId id, Connection& connection, ZoneId zone) {
    strangers_.erase(id);
    connection.role = Role::Collector;
    connection.zone = zone;
    connection.since = clock_.now();
    connection.reader.set_limits({});
    log_.info("collector.joined",
              {{"zone", config_.names.zones[static_cast<std::size_t>(zone.value)]},
               {"peer", connection.stream->peer()}});
    std::set<ConnectionId>& all = collectors_[zone];
    const auto longest_silent = [&](ConnectionId a, ConnectionId b) {
        return connections_.at(a).since < connections_.at(b).since;
    };
    if (all.size() >= kCollectorsMost) {
        end(*std::min_element(all.begin(), all.end(), longest_silent),
            "newer collectors of this zone report");
    }
    all.insert(id);
}

void PlatformServer::join(ConnectionId id, Connection& connection,
                          const event::ProxyConnected& joined) {
    strangers_.erase(id);
    connection.role = Role::Proxy;
    connection.proxy = joined.proxy;
    connection.reader.set_limits({});
    if (const auto stands = streams_.find(joined.proxy); stands != streams_.end()) {
        end(stands->second, "a newer stream of this proxy");
    }
    streams_[joined.proxy] = id;
    orders_.on_proxy_connected(joined.proxy);
    ++figures_.joins;
    log_.info("proxy.joined", {{"proxy", joined.proxy.value},
                               {"zone", joined.zone.value},
                               {"fresh", joined.fresh_start},
                               {"peer", connection.stream->peer()}});
    driver_.post(joined);
}

void PlatformServer::handle_proxy(Connection& connection, const platform::Message& message) {
    if (const auto* applied = std::get_if<event::ConfigAcknowledged>(&message)) {
        if (applied->proxy != connection.proxy) {
            throw platform::InvalidMessage("an ACK in another proxy's name");
        }
        const PendingAcks::Answer answer = connection.marks.answered(applied->version);
        if (answer == PendingAcks::Answer::Unknown) {
            throw platform::InvalidMessage("an ACK of a mark that was not written on this stream");
        }
        if (answer == PendingAcks::Answer::Late) {
            return;
        }
        ++figures_.applied;
        driver_.post(*applied);
    } else if (const auto* demand = std::get_if<event::ProxyDemandReport>(&message)) {
        if (demand->proxy != connection.proxy) {
            throw platform::InvalidMessage("a RATE in another proxy's name");
        }
        log_.debug("asked", {{"proxy", demand->proxy.value},
                             {"operation", demand->operation.value},
                             {"tries", demand->attempts},
                             {"failed", demand->failures},
                             {"span_us", demand->interval.count()}});
        driver_.post(*demand);
    } else {
        throw platform::InvalidMessage("a message that is not a proxy's");
    }
}

void PlatformServer::handle_collector(Connection& connection, const platform::Message& message) {
    connection.since = clock_.now();
    if (const auto* heard = std::get_if<event::ServerLoadReport>(&message)) {
        if (heard->zone != connection.zone) {
            throw platform::InvalidMessage("a LOAD of another zone");
        }
        log_.debug("heard", {{"zone", heard->zone.value},
                             {"server", servers_.id(heard->server)},
                             {"number", heard->server.value},
                             {"tries", heard->attempts},
                             {"failed", heard->failures},
                             {"mean_us", heard->mean_latency.count()},
                             {"span_us", heard->interval.count()}});
        driver_.post(*heard);
    } else if (const auto* demand = std::get_if<event::ProxyDemandReport>(&message)) {
        driver_.post(*demand);
    } else {
        throw platform::InvalidMessage("a message that is not a collector's");
    }
}

// ---- the list

void PlatformServer::on_list(const platform::InstanceList& list, UpdateKind form) {
    const event::EndpointListUpdate event = servers_.take(list, form, clock_.now());
    std::size_t ready = 0;
    for (const Endpoint& row : event.endpoints) {
        ready += row.state == ServerState::Ready;
    }
    log_.info("list.taken", {{"generation", list.generation},
                             {"whole", form != UpdateKind::Delta},
                             {"rows", event.endpoints.size()},
                             {"ready", ready}});
    driver_.post(event);
}

// ---- orders

void PlatformServer::carry_out(const std::vector<Command>& actions) {
    for (const Command& action : actions) {
        if (const auto* line = std::get_if<command::LogMessage>(&action)) {
            log_.info("module.says", {{"text", line->text}});
        }
    }
    const runtime::ApplyResult result = orders_.apply(actions);
    for (const runtime::RejectedCommand& rejected : result.rejected) {
        warn("order.refused", {{"why", rejected.reason}});
    }
    // Proxies with the same order get the same bytes.
    std::map<std::tuple<std::vector<runtime::TableUpdatePtr>, std::vector<ServerId>,
                        std::vector<ServerId>>,
             std::optional<std::string>>
        written;
    for (const runtime::ProxyUpdate& order : result.updates) {
        const auto [known, fresh] = written.try_emplace({order.tables, order.eject, order.restore});
        if (fresh) {
            known->second = platform::to_config(order, config_.names, servers_);
        }
        if (known->second) {
            send(order, *known->second);
        } else {
            warn("order.refused", {{"why", "takes more parts than a message may have"},
                                   {"proxy", order.proxy.value}});
        }
    }
}

void PlatformServer::send(const runtime::ProxyUpdate& order, const std::string& bytes) {
    const auto stands = streams_.find(order.proxy);
    if (stands == streams_.end()) {
        return;
    }
    const ConnectionId id = stands->second;
    Connection& connection = connections_.at(id);
    if (order.ack_version) {
        connection.marks.written(*order.ack_version);
    }
    ++figures_.orders;
    connection.stream->write(bytes);
    if (connection.stream->unsent() > kUnsentMost) {
        end(id, "leaves its orders unread");
    }
}

void PlatformServer::look() {
    look_.after(kLook, [this] { look(); });
    servers_.forget(clock_.now(), [this](ServerId server) { return orders_.references(server); });
    const Figures now = figures();
    log_.info("node.state", {{"proxies", now.proxies},
                             {"strangers", now.strangers},
                             {"connections", now.connections},
                             {"servers", now.servers},
                             {"generation", discovery_.generation()},
                             {"orders", now.orders},
                             {"applied", now.applied},
                             {"spoilt", now.spoilt},
                             {"refused", now.refused},
                             {"held", now.held_bytes},
                             {"timers", now.timers},
                             {"cpu_us", base::process_cpu_us()},
                             {"memory_kb", base::process_memory_bytes() / 1024}});
}

}  // namespace badgergrade::platform_server
