#include "xds_server/proxy_sessions.h"

#include <cmath>

#include "base/cpu_meter.h"
#include "xds_server/server_directory.h"

namespace badgergrade::xds_server {

namespace {

/// Node ids that are given a proxy id in one run of the process; bounds the memory for them.
constexpr std::size_t kMaxProxies = 65535;
constexpr std::size_t kMaxNodeIdBytes = 128;
constexpr const char* kReplacedReason = "replaced by a newer stream of this node";

/// The invocations per second that a proxy announces in its node's metadata; 0 if it announces
/// none.
double announced_rate(const envoy::config::core::v3::Node& node) {
    const auto& metadata = node.metadata().fields();
    const auto field = metadata.find("rate");
    const double rate = field == metadata.end() ? 0 : field->second.number_value();
    return std::isfinite(rate) && rate > 0 ? rate : 0;
}

/// Whether the node's metadata says that the proxy has just started.
bool has_just_started(const envoy::config::core::v3::Node& node) {
    const auto& metadata = node.metadata().fields();
    const auto field = metadata.find("fresh");
    return field != metadata.end() && field->second.bool_value();
}

}  // namespace

ProxySessions::ProxySessions(base::Clock& clock, log::Logger& log, log::RateLimitedLogger& warnings,
                             std::string origin, const std::vector<std::string>& zones,
                             XdsServerMetrics& metrics)
    : clock_(clock),
      log_(log),
      warnings_(warnings),
      origin_(std::move(origin)),
      zones_(zones),
      metrics_(metrics) {}

void ProxySessions::accept(const net::GrpcCallPtr& call) {
    const auto identity =
        receive_stream(call, [this](const auto& stream, StreamIdentity& identity, auto bytes) {
            on_message(stream, identity, bytes);
        });
    call->on_closed = [this, identity, raw_call = call.get()](const std::string& reason) {
        if (identity->is_known) {
            disconnect(identity->name, raw_call, reason);
        }
    };
}

void ProxySessions::on_message(const net::GrpcCallPtr& call, StreamIdentity& identity,
                               std::string_view bytes) {
    const base::CpuMeter meter(metrics_.handler_cpu_us);
    xds::AdsServer::Request request;
    if (!request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        warnings_.warn("stream.malformed",
                       {{"peer", call->peer()}, {"proxy", identity.name}, {"bytes", bytes.size()}});
        call->finish(net::GrpcStatus::InvalidArgument,
                     "malformed DiscoveryRequest: expected a serialized message, got " +
                         std::to_string(bytes.size()) + " bytes that do not parse");
        if (identity.is_known) {
            disconnect(identity.name, call.get(), "malformed request");
        }
        return;
    }
    if (!identity.is_known) {
        const auto connect_result = connect(call, request.node());
        if (const auto* refusal = std::get_if<Refusal>(&connect_result)) {
            warnings_.warn("stream.refused", {{"peer", call->peer()}, {"why", refusal->text}});
            call->finish(net::GrpcStatus::InvalidArgument, refusal->text);
            return;
        }
        identity.is_known = true;
        identity.name = request.node().id();
    }
    // A stream that was replaced may still deliver requests that it had received before its end.
    // The session belongs to the newer stream by then and must not handle them: nonces are numbered
    // per stream.
    const auto session = sessions_.find(identity.name);
    if (session != sessions_.end() && session->second.call == call) {
        handle_request(session->second, request);
    }
}

std::variant<ProxyId, ProxySessions::Refusal> ProxySessions::proxy_id_for(const std::string& name) {
    const auto known = ids_by_name_.find(name);
    if (known != ids_by_name_.end()) {
        return known->second;
    }
    if (ids_by_name_.size() >= kMaxProxies) {
        return Refusal{RefusalReason::TooManyProxies,
                       "field \"node.id\": expected at most " + std::to_string(kMaxProxies) +
                           " different ids, got a further one, \"" + name + "\""};
    }
    const ProxyId proxy{static_cast<int>(ids_by_name_.size())};
    ids_by_name_[name] = proxy;
    names_by_id_[proxy] = name;
    return proxy;
}

std::variant<ProxyId, ProxySessions::Refusal> ProxySessions::connect(
    const net::GrpcCallPtr& call, const envoy::config::core::v3::Node& node) {
    const std::string& name = node.id();
    if (name.empty() || name.size() > kMaxNodeIdBytes) {
        return Refusal{RefusalReason::InvalidNodeId,
                       "field \"node.id\": expected 1 to " + std::to_string(kMaxNodeIdBytes) +
                           " bytes in the first request, got " + std::to_string(name.size())};
    }
    replace_older_stream(name, call);
    auto assigned_id = proxy_id_for(name);
    if (std::holds_alternative<Refusal>(assigned_id)) {
        return assigned_id;
    }
    const ProxyId proxy = std::get<ProxyId>(assigned_id);
    const std::string& zone_name = node.locality().zone();
    ProxySession& session = sessions_[name];
    session.proxy = proxy;
    session.name = name;
    session.call = call;
    session.zone = find_zone(zones_, zone_name);
    session.stream = std::make_unique<xds::AdsServer>(origin_);
    ++metrics_.proxy_connections;
    log_.info("proxy.connected", {{"proxy", name}, {"zone", zone_name}, {"peer", call->peer()}});
    if (session.zone.value < 0) {
        log_.warn("proxy.zone_unknown", {{"proxy", name}, {"zone", zone_name}});
    }
    on_connected({proxy, has_just_started(node), session.zone, announced_rate(node)});
    return proxy;
}

/// Ends the older stream of a node in favour of the newer one. Otherwise a proxy that reconnects
/// after a broken network path would not get updates until the dead connection is detected.
void ProxySessions::replace_older_stream(const std::string& name, const net::GrpcCallPtr& newer) {
    const auto session = sessions_.find(name);
    if (session == sessions_.end()) {
        return;
    }
    const net::GrpcCallPtr older = session->second.call;
    log_.warn("stream.replaced", {{"proxy", name}, {"old", older->peer()}, {"new", newer->peer()}});
    // The session is removed first: `finish` calls `on_closed` of the older stream, which must not
    // find a session to end.
    disconnect(name, older.get(), kReplacedReason);
    older->finish(net::GrpcStatus::AlreadyExists, kReplacedReason);
}

/// Ends a session if it still belongs to this stream: the end of a replaced stream must not end the
/// session of the newer one.
void ProxySessions::disconnect(const std::string& name, const net::GrpcCall* call,
                               const std::string& reason) {
    const auto session = sessions_.find(name);
    if (session == sessions_.end() || session->second.call.get() != call) {
        return;
    }
    const ProxyId proxy = session->second.proxy;
    log_.info("proxy.disconnected",
              {{"proxy", name},
               {"why", reason},
               {"unacknowledged", session->second.stream->unacknowledged_updates()}});
    sessions_.erase(session);
    if (!is_shutting_down_) {
        on_disconnected(proxy);
    }
}

void ProxySessions::handle_request(ProxySession& session, const xds::AdsServer::Request& request) {
    const auto result = session.stream->on_request(request);
    if (result.ignored) {
        warnings_.warn("request.ignored", {{"proxy", session.name}, {"why", result.ignored->text}});
    }
    if (result.rejected) {
        ++metrics_.rejected_responses;
        log_rejection(session, *result.rejected);
    }
    metrics_.acknowledged_updates += static_cast<std::int64_t>(result.acknowledged.size());
    for (const auto& update : result.acknowledged) {
        if (update.requested_ack) {
            on_acknowledged(
                {session.proxy, *update.requested_ack, clock_.now() - update.decided_at});
        }
    }
    write(session);
}

void ProxySessions::log_rejection(const ProxySession& session,
                                  const xds::AdsServer::Rejection& rejection) {
    std::string names;
    for (const auto& name : rejection.resource_names) {
        names += (names.empty() ? "" : ",") + name;
    }
    log_.error("version.rejected", {{"proxy", session.name},
                                    {"version", rejection.version},
                                    {"names", names},
                                    {"why", rejection.reason}});
}

void ProxySessions::send(Micros now, const xds::ProxyMessage& message) {
    const auto session = sessions_.find(proxy_name(message.proxy));
    if (session == sessions_.end()) {
        return;
    }
    session->second.stream->release(now, message);
    write(session->second);
}

/// Writes the responses that the stream has to send. The session may be gone afterwards: a write to
/// a broken connection ends the stream immediately, and `on_closed` removes the session. The call
/// is therefore held here, and the session is not used after the first write.
void ProxySessions::write(ProxySession& session) {
    const auto responses = session.stream->take_encoded(responses_);
    if (responses.empty()) {
        return;
    }
    const net::GrpcCallPtr call = session.call;
    call->cork();
    for (const auto& response : responses) {
        call->send(response.shared, response.own);
    }
    call->uncork();
}

void ProxySessions::finish_all() {
    for (auto& [name, session] : sessions_) {
        if (session.call) {
            // The callback is removed because it would change the map during this loop.
            session.call->on_closed = {};
            session.call->finish(net::GrpcStatus::Unavailable,
                                 "the control plane instance is shutting down");
        }
    }
}

const ProxySession* ProxySessions::find(const std::string& name) const {
    const auto session = sessions_.find(name);
    return session == sessions_.end() ? nullptr : &session->second;
}

std::string ProxySessions::proxy_name(ProxyId proxy) const {
    const auto entry = names_by_id_.find(proxy);
    return entry == names_by_id_.end() ? std::string{} : entry->second;
}

}  // namespace badgergrade::xds_server
