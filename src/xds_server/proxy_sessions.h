/// @file
/// The sessions of the connected proxies: accepts discovery streams (ADS), assigns each to its
/// proxy by node id, handles its requests and writes its responses.
///
/// Current stream: a node id has at most one session, and a session has one stream. If a second
/// stream gives the same node id in its first request, it becomes the current one immediately,
/// whether or not the older one still looks open: an older stream is usually the remainder of a
/// broken network path. The older stream is ended with status ALREADY_EXISTS, and what it still
/// delivers is ignored. The newer stream starts with an empty state: nothing counts as sent or
/// acknowledged on it, while the proxy's id stays the same.
///
/// Re-entrance: a stream may end inside its own callback, because writing to a broken connection
/// ends the stream immediately. Sessions are therefore looked up again by name after each step that
/// may write, and a stream ends a session only if the session still belongs to it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "log/log.h"
#include "log/log_rate_limiter.h"
#include "net/grpc.h"
#include "policy/event.h"
#include "policy/ids.h"
#include "xds/ads_server.h"
#include "xds_server/metrics.h"
#include "xds_server/stream_receiver.h"

namespace badgergrade::xds_server {

/// A connected proxy and its current discovery stream.
struct ProxySession {
    ProxyId proxy;
    /// The node id of the stream's first request.
    std::string name;
    /// -1: the proxy's zone is not in the settings.
    ZoneId zone;
    /// The proxy's current stream. Requests of any other stream are ignored.
    net::GrpcCallPtr call;
    /// The protocol state of that stream.
    std::unique_ptr<xds::AdsServer> stream;
};

class ProxySessions {
public:
    /// `origin` names the incarnation of the control plane in versions. `zones` are the zone names
    /// of the settings. The references must outlive this object.
    ProxySessions(base::Clock& clock, log::Logger& log, log::RateLimitedLogger& warnings,
                  std::string origin, const std::vector<std::string>& zones,
                  XdsServerMetrics& metrics);

    /// The callbacks run on the loop's one thread, while a message or the end of a stream is
    /// handled. They must be set before the first call to `accept`, and must not destroy this
    /// object or send to a proxy.

    /// Called when a proxy opened a stream and gave its node id.
    std::function<void(const event::ProxyConnected&)> on_connected;

    /// Called when a session ended for any reason, including replacement by a newer stream; not
    /// called after `begin_shutdown`.
    std::function<void(ProxyId)> on_disconnected;

    /// Called when a proxy acknowledged an update whose acknowledgement the policy requested.
    std::function<void(const event::ConfigAcknowledged&)> on_acknowledged;

    /// Takes over a new discovery stream of a proxy.
    void accept(const net::GrpcCallPtr& call);

    /// Sends a message that the send queue released. No-op for a proxy that is not connected. May
    /// end the session.
    void send(Micros now, const xds::ProxyMessage& message);

    /// From now on the end of a session is only logged.
    void begin_shutdown() { is_shutting_down_ = true; }

    /// Ends all streams with gRPC status UNAVAILABLE.
    void finish_all();

    /// The session of a proxy by node id; null if it is not connected.
    const ProxySession* find(const std::string& name) const;

    /// Sessions by node id.
    const std::map<std::string, ProxySession>& sessions() const { return sessions_; }

    /// The node id of a proxy, connected or not; empty if the id was never assigned.
    std::string proxy_name(ProxyId proxy) const;

private:
    enum class RefusalReason { InvalidNodeId, TooManyProxies };

    /// Why a stream was refused.
    struct Refusal {
        RefusalReason reason = RefusalReason::InvalidNodeId;
        /// For the log and the status message of the stream.
        std::string text;
    };

    void on_message(const net::GrpcCallPtr& call, StreamIdentity& identity, std::string_view bytes);
    std::variant<ProxyId, Refusal> proxy_id_for(const std::string& name);
    std::variant<ProxyId, Refusal> connect(const net::GrpcCallPtr& call,
                                           const envoy::config::core::v3::Node& node);
    void replace_older_stream(const std::string& name, const net::GrpcCallPtr& newer);
    void disconnect(const std::string& name, const net::GrpcCall* call, const std::string& reason);
    void handle_request(ProxySession& session, const xds::AdsServer::Request& request);
    void log_rejection(const ProxySession& session, const xds::AdsServer::Rejection& rejection);
    void write(ProxySession& session);

    base::Clock& clock_;
    log::Logger& log_;
    /// For what proxies can cause with each message.
    log::RateLimitedLogger& warnings_;
    std::string origin_;
    const std::vector<std::string>& zones_;
    XdsServerMetrics& metrics_;
    xds::ResponseCache responses_;
    std::map<std::string, ProxySession> sessions_;
    /// Ids by node id. They are kept for proxies that reconnect, at most `kMaxProxies` of them.
    std::map<std::string, ProxyId> ids_by_name_;
    std::map<ProxyId, std::string> names_by_id_;
    bool is_shutting_down_ = false;
};

}  // namespace badgergrade::xds_server
