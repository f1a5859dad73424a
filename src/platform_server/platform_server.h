// The governor in service on the platform: proxies and collectors on one address, discovery's
// watch, the module between.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "log/log.h"
#include "log/log_rate_limiter.h"
#include "net/network.h"
#include "platform/config.h"
#include "platform/message_reader.h"
#include "platform/server_ids.h"
#include "platform_server/discovery_watch.h"
#include "platform_server/pending_acks.h"
#include "resp/resp.h"
#include "runtime/config_state.h"
#include "runtime/policy_runner.h"

namespace badgergrade::platform_server {

struct Figures {
    std::int64_t joins = 0, leaves = 0, orders = 0, applied = 0, spoilt = 0, refused = 0;
    std::size_t connections = 0, strangers = 0, proxies = 0, servers = 0, held_bytes = 0,
                timers = 0;
};

struct CannotListen : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class PlatformServer {
public:
    // Listens at once, or once the life before has let go of the address: it is asked for again for
    // a while. Throws CannotListen where it can't be had, then out of the loop. `wall_ahead` is
    // Unix time less the loop's clock.
    PlatformServer(net::Loop& loop, base::ActorId actor, const platform::NodeConfig& config,
                   log::Log& log, Micros wall_ahead);
    ~PlatformServer();
    PlatformServer(const PlatformServer&) = delete;

    // Where it listens, or will once the address is free.
    net::Address address() const { return listener_ ? listener_->address() : config_.listen; }

    // A configuration that replaces the one before: discovery may have moved. What needs a new
    // start is told in the log.
    void reload(const platform::NodeConfig& config);
    // Ends all connections; nothing is heard or ordered from then on.
    void stop();
    Figures figures() const;

private:
    // Leaving: was told NACK and that we send no more; what it still sends is read, so that the
    // answer reaches it.
    enum class Role { Stranger, Collector, Proxy, Leaving };
    using ConnectionId = std::uint64_t;  // rises with each connection: the smallest is the oldest

    struct Connection {
        net::StreamPtr stream;
        resp::Reader reader;
        Role role = Role::Stranger;
        Micros since{};  // accepted, last heard (collectors), or leaving
        ProxyId proxy;
        ZoneId zone;
        PendingAcks marks;
    };

    void listen();
    void accept(net::StreamPtr stream);
    void make_room();
    bool still_silent(ConnectionId id);
    void came(ConnectionId id, std::string_view bytes);
    void handle(ConnectionId id, Connection& connection, const resp::Message& message);
    void answer_ping(ConnectionId id, Connection& connection);
    void handle_stranger(ConnectionId id, Connection& connection, const platform::Message& message);
    void handle_proxy(Connection& connection, const platform::Message& message);
    void handle_collector(Connection& connection, const platform::Message& message);
    void add_collector(ConnectionId id, Connection& connection, ZoneId zone);
    void join(ConnectionId id, Connection& connection, const event::ProxyConnected& joined);
    void refuse(ConnectionId id, const std::string& why);
    void end(ConnectionId id, const std::string& why);
    void give_up(ConnectionId id, const Connection& connection, const std::string& why);
    void forget_proxy(ConnectionId id, const Connection& connection);
    void check_reader(ConnectionId id, const resp::Reader& reader);
    void end_strangers();
    void end_leaving();
    void look();

    void on_list(const platform::InstanceList& list, UpdateKind form);
    void carry_out(const std::vector<Command>& actions);
    void send(const runtime::ProxyUpdate& order, const std::string& bytes);
    void warn(std::string_view event, std::initializer_list<log::Field> fields);

    base::Clock& clock_;
    log::Logger log_;
    LogRateLimiter limit_;
    platform::NodeConfig config_;
    platform::ServerIds servers_;
    runtime::ConfigState orders_;
    runtime::PolicyRunner driver_;
    std::size_t connections_most_;
    std::map<ConnectionId, Connection> connections_;
    std::set<ConnectionId> strangers_;
    std::deque<ConnectionId> leaving_;  // the one that was told first in front
    std::map<ZoneId, std::set<ConnectionId>> collectors_;
    std::map<ProxyId, ConnectionId> streams_;
    ConnectionId ids_ = 0;
    std::size_t held_bytes_ = 0;  // what all readers hold of unfinished messages
    base::Timer strangers_timer_, look_, listen_again_;
    Micros listen_until_;
    DiscoveryWatch discovery_;
    std::function<std::unique_ptr<net::Listener>()> make_listener_;
    std::unique_ptr<net::Listener> listener_;
    Figures figures_;
    bool stopping_ = false;
};

}  // namespace badgergrade::platform_server
