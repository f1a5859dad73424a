/// @file
/// The discovery streams (ADS) of the connected proxies: who is connected, which stream belongs to
/// whom, and what is read from and written to each.
///
/// There is at most one session for each node id. If a proxy opens a second stream, the newer one
/// replaces the older: the older is what a broken network path left behind.
///
/// Re-entrance: a stream may end inside its own callback, because writing to a broken connection
/// ends it at once. Sessions are therefore looked up again by name after each step that can write,
/// and a stream ends a session only if the session still belongs to it.
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
#include "net/grpc.h"
#include "policy/event.h"
#include "policy/ids.h"
#include "xds/ads_server.h"
#include "xds_server/metrics.h"
#include "xds_server/stream_receiver.h"

namespace badgergrade::xds_server {

/// One connected proxy.
struct ProxySession {
    ProxyId proxy;
    /// The node id that it gave.
    std::string name;
    /// -1: its zone is not in the settings.
    ZoneId zone;
    net::GrpcCallPtr call;
    std::unique_ptr<xds::AdsServer> stream;
};

class ProxySessions {
public:
    /// `origin` names the incarnation of the control plane in versions. `zones` are the names in
    /// the settings. The references must outlive this object.
    ProxySessions(base::Clock& clock, log::Logger& log, std::string origin,
                  const std::vector<std::string>& zones, XdsServerMetrics& metrics);

    /// The callbacks run on the loop's one thread, from within the handling of a message or of the
    /// end of a stream. They must be set before the first call to `accept`. They must not destroy
    /// this object or send to a proxy.

    /// A proxy opened a stream and gave its node id.
    std::function<void(const event::ProxyConnected&)> on_connected;

    /// Its session ended, for whatever reason; not called after `begin_shutdown`.
    std::function<void(ProxyId)> on_disconnected;

    /// A proxy acknowledged an update for which the policy asked for an acknowledgement.
    std::function<void(const event::ConfigAcknowledged&)> on_acknowledged;

    /// Takes over a new discovery stream.
    void accept(const net::GrpcCallPtr& call);

    /// Writes a message that the send queue released. Does nothing for a proxy that is not
    /// connected. May end the session.
    void send(Micros now, const xds::ProxyMessage& message);

    /// From now on sessions that end are only logged.
    void begin_shutdown() { is_shutting_down_ = true; }

    /// Ends all streams with the status "unavailable".
    void finish_all();

    /// The session of a proxy; null if it is not connected.
    const ProxySession* find(const std::string& name) const;

    /// Sessions by name.
    const std::map<std::string, ProxySession>& sessions() const { return sessions_; }

    /// The name behind an id, also of a proxy that is not connected any more; empty if there is
    /// none.
    std::string proxy_name(ProxyId proxy) const;

private:
    enum class RefusalReason { InvalidNodeId, TooManyProxies };

    /// Why a stream was refused.
    struct Refusal {
        RefusalReason reason = RefusalReason::InvalidNodeId;
        /// For the log and for the status of the stream.
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
    std::string origin_;
    const std::vector<std::string>& zones_;
    XdsServerMetrics& metrics_;
    xds::ResponseCache responses_;
    std::map<std::string, ProxySession> sessions_;
    /// Ids are kept for proxies that come back.
    std::map<std::string, ProxyId> ids_by_name_;
    std::map<ProxyId, std::string> names_by_id_;
    bool is_shutting_down_ = false;
};

}  // namespace badgergrade::xds_server
