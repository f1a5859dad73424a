#include "xds_server/xds_server.h"

#include <google/protobuf/util/time_util.h>

#include <algorithm>
#include <cmath>

#include "base/cpu_meter.h"
#include "envoy/service/load_stats/v3/lrs.pb.h"

namespace badgergrade::xds_server {

using namespace std::chrono_literals;
using google::protobuf::util::TimeUtil;

namespace {

constexpr Micros kIntakeTick = 100ms;
constexpr int kProxiesMost = 65535;

net::GrpcLimits grpc_limits(const config::GovernorConfig& config) {
    net::GrpcLimits limits;
    limits.message_bytes = config.max_message_bytes;
    limits.waiting_bytes = config.max_queued_bytes;
    limits.keepalive = config.keepalive;
    return limits;
}

std::string outcome_text(HealthCheckOutcome outcome) {
    switch (outcome) {
        case HealthCheckOutcome::Healthy:
            return "answered";
        case HealthCheckOutcome::Failed:
            return "errored";
        case HealthCheckOutcome::Overloaded:
            return "full";
        case HealthCheckOutcome::TimedOut:
            return "late";
        case HealthCheckOutcome::Unreachable:
            return "unreachable";
        case HealthCheckOutcome::Reset:
            return "reset";
        case HealthCheckOutcome::Other:
            return "other";
    }
    return "other";
}

}  // namespace

// What one stream has told of itself so far.
struct XdsServer::StreamState {
    std::string name;
    bool known = false;
};

XdsServer::XdsServer(net::Loop& loop, base::ActorId actor, const config::GovernorConfig& config,
                     log::Log& log, std::string life)
    : loop_(loop),
      clock_(loop.clock()),
      actor_(actor),
      config_(config),
      log_(log, config.id),
      life_(std::move(life)),
      driver_(clock_, actor, config.settings, config.seed, config.batch),
      board_(config.settings, config.zones, config.ejection_time),
      channel_(config.settings.channel_lines_per_second),
      reports_(config.settings),
      server_(loop, actor, config.id, net::parse_address(config.xds_address), grpc_limits(config),
              static_cast<std::size_t>(config.max_connections)),
      registry_(loop, actor, config.id, config),
      channel_timer_(clock_, actor),
      tick_(clock_, actor),
      period_(clock_, actor) {
    driver_.on_event = [this](const Event& event) {
        if (watcher_) {
            watcher_->told(clock_.now(), *this, event);
        }
    };
    driver_.on_decided = [this](std::vector<Command>& actions) {
        ++figures_.decisions;
        if (tamper) {
            tamper(clock_.now(), actions);
        }
        if (watcher_ && !actions.empty()) {
            watcher_->decided(clock_.now(), *this, actions);
        }
    };
    driver_.on_commands = [this](std::vector<Command> actions) {
        carry_out(std::move(actions));
    };
    server_.on_call = [this](net::GrpcCallPtr call) {
        on_call(call);
    };
    server_.on_trouble = [this](const std::string& peer, const std::string& why) {
        log_.warn("connection.ended", {{"peer", peer}, {"why", why}});
    };
    server_.on_exhausted([this](const std::string& why) {
        // Told once a second, not at every attempt.
        if (clock_.now() < exhausted_told_ + 1s) {
            return;
        }
        exhausted_told_ = clock_.now();
        log_.error("descriptors.none", {{"why", why}, {"streams", forwarders_.size()}});
    });
    registry_.on_list = [this](const ServerList& list) {
        on_list(list);
    };
    registry_.on_trouble = [this](const std::string& why) {
        log_.warn("list.trouble", {{"why", why}});
        if (config_.settings.endpoints_on_request) {
            tell(event::EndpointListUpdate{UpdateKind::WatchFailed, {}});
        }
    };
    log_.info("governor.started", {{"xds", net::to_text(address())},
                                   {"registry", config.registry_address},
                                   {"life", life_},
                                   {"zones", config.settings.zone_count},
                                   {"operations", config.settings.operations.size()}});
    if (!config.settings.endpoints_on_request) {
        registry_.start();
    }
    tick();
    period_.after(config.settings.report_interval, [this] { end_period(); });
    driver_.schedule_decision();
}

XdsServer::~XdsServer() {
    // As when the process dies: all connections break at once, while what their callbacks touch
    // still stands.
    stopping_ = true;
    server_.close(false);
    if (watcher_) {
        watcher_->stopped(clock_.now(), *this);
    }
}

void XdsServer::watch(XdsServerObserver& watcher) {
    watcher_ = &watcher;
    watcher_->started(clock_.now(), *this);
}

std::string XdsServer::forwarder_name(ProxyId proxy) const {
    const auto it = proxy_names_.find(proxy);
    return it == proxy_names_.end() ? std::string{} : it->second;
}

std::string XdsServer::server_name(ServerId server) const {
    const auto it = server_names_.find(server);
    return it == server_names_.end() ? std::string{} : it->second;
}

void XdsServer::stop() {
    if (std::exchange(stopping_, true)) {
        return;
    }
    log_.info("governor.stopping", {{"streams", forwarders_.size()}});
    for (auto& [name, forwarder] : forwarders_) {
        if (forwarder.call) {
            forwarder.call->on_closed = {};
            forwarder.call->finish(net::GrpcStatus::Unavailable, "the governor goes away");
        }
    }
    registry_.stop();
    server_.close(true);
    for (base::Timer* timer : {&channel_timer_, &tick_, &period_}) {
        timer->stop();
    }
    driver_.stop();
}

Figures XdsServer::figures() const {
    Figures out = figures_;
    out.handler_cpu_us += driver_.cpu_us();
    out.channel = channel_.figures();
    return out;
}

ZoneId XdsServer::zone_of(const std::string& name) const {
    const auto it = std::find(config_.zones.begin(), config_.zones.end(), name);
    return {it == config_.zones.end() ? -1 : static_cast<int>(it - config_.zones.begin())};
}

// ---- streams

void XdsServer::on_call(const net::GrpcCallPtr& call) {
    if (call->path() == xds::kAdsMethod) {
        open_ads(call);
    } else if (call->path() == xds::kLrsMethod) {
        open_lrs(call);
    } else {
        log_.warn("call.unknown", {{"peer", call->peer()}, {"method", call->path()}});
    }
}

void XdsServer::open_ads(const net::GrpcCallPtr& call) {
    const auto state = std::make_shared<StreamState>();
    call->on_message = [this, weak = std::weak_ptr(call), state](std::string_view bytes) {
        if (const auto strong = weak.lock()) {
            on_ads_message(strong, state, bytes);
        }
    };
    call->on_half_closed = [weak = std::weak_ptr(call)] {
        if (const auto strong = weak.lock()) {
            strong->finish();
        }
    };
    call->on_closed = [this, state, raw = call.get()](std::string why) {
        if (state->known) {
            leave(state->name, raw, why);
        }
    };
}

void XdsServer::on_ads_message(const net::GrpcCallPtr& call,
                               const std::shared_ptr<StreamState>& state, std::string_view bytes) {
    const base::CpuMeter meter(figures_.handler_cpu_us);
    xds::AdsServer::Request request;
    if (!request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        log_.warn("stream.malformed",
                  {{"peer", call->peer()}, {"forwarder", state->name}, {"bytes", bytes.size()}});
        call->finish(net::GrpcStatus::InvalidArgument, "the request can't be read");
        if (state->known) {
            leave(state->name, call.get(), "malformed request");
        }
        return;
    }
    if (!state->known) {
        std::string why;
        if (!join(call, request.node(), why)) {
            log_.warn("stream.refused", {{"peer", call->peer()}, {"why", why}});
            call->finish(net::GrpcStatus::InvalidArgument, why);
            return;
        }
        state->known = true;
        state->name = request.node().id();
    }
    const auto it = forwarders_.find(state->name);
    if (it != forwarders_.end() && it->second.call == call) {
        answer(it->second, request);
    }
}

XdsServer::Forwarder* XdsServer::join(const net::GrpcCallPtr& call,
                                      const envoy::config::core::v3::Node& node, std::string& why) {
    const std::string& name = node.id();
    if (name.empty() || name.size() > 128) {
        why = "the first request must carry a node with an id of 1 to 128 bytes";
        return nullptr;
    }
    // The newest stream of a node stands: an older one is what a broken way left behind.
    if (const auto it = forwarders_.find(name); it != forwarders_.end()) {
        const net::GrpcCallPtr old = it->second.call;
        log_.warn("stream.replaced",
                  {{"forwarder", name}, {"old", old->peer()}, {"new", call->peer()}});
        leave(name, old.get(), "a newer stream of this node");
        old->finish(net::GrpcStatus::AlreadyExists, "a newer stream of this node");
    }
    const auto known = proxy_ids_.find(name);
    if (known == proxy_ids_.end() && proxy_ids_.size() >= kProxiesMost) {
        why = "no more than " + std::to_string(kProxiesMost) + " nodes";
        return nullptr;
    }
    const ProxyId proxy =
        known != proxy_ids_.end() ? known->second : ProxyId{static_cast<int>(proxy_ids_.size())};
    proxy_ids_[name] = proxy;
    proxy_names_[proxy] = name;
    const auto& told = node.metadata().fields();
    const auto rate = told.find("rate");
    const auto fresh = told.find("fresh");
    const double part = rate == told.end() ? 0 : rate->second.number_value();
    Forwarder& forwarder = forwarders_[name];
    forwarder.proxy = proxy;
    forwarder.name = name;
    forwarder.call = call;
    forwarder.zone = zone_of(node.locality().zone());
    forwarder.stream = std::make_unique<xds::AdsServer>(config_.id + "." + life_);
    board_.joined(proxy);
    ++figures_.joins;
    log_.info("forwarder.joined",
              {{"forwarder", name}, {"zone", node.locality().zone()}, {"peer", call->peer()}});
    if (forwarder.zone.value < 0) {
        log_.warn("forwarder.zone_unknown",
                  {{"forwarder", name}, {"zone", node.locality().zone()}});
    }
    tell(event::ProxyConnected{proxy, fresh != told.end() && fresh->second.bool_value(),
                               forwarder.zone, std::isfinite(part) && part > 0 ? part : 0});
    return &forwarder;
}

void XdsServer::leave(const std::string& name, const net::GrpcCall* call, const std::string& why) {
    const auto it = forwarders_.find(name);
    if (it == forwarders_.end() || it->second.call.get() != call) {
        return;
    }
    const ProxyId proxy = it->second.proxy;
    log_.info("forwarder.left",
              {{"forwarder", name}, {"why", why}, {"unproven", it->second.stream->pending()}});
    forwarders_.erase(it);
    if (stopping_) {
        return;
    }
    board_.left(proxy);
    channel_.drop(proxy);
    tell(event::ProxyDisconnected{proxy});
}

void XdsServer::answer(Forwarder& forwarder, const xds::AdsServer::Request& request) {
    const auto outcome = forwarder.stream->on_request(request);
    if (!outcome.ignored.empty()) {
        log_.warn("request.ignored", {{"forwarder", forwarder.name}, {"why", outcome.ignored}});
    }
    if (const auto& no = outcome.rejected) {
        ++figures_.rejections;
        std::string names;
        for (const auto& name : no->names) {
            names += (names.empty() ? "" : ",") + name;
        }
        log_.error("version.rejected", {{"forwarder", forwarder.name},
                                        {"version", no->version},
                                        {"names", names},
                                        {"why", no->why}});
    }
    figures_.applied += static_cast<std::int64_t>(outcome.applied.size());
    for (const auto& applied : outcome.applied) {
        if (applied.mark) {
            tell(event::ConfigAcknowledged{forwarder.proxy, *applied.mark,
                                           clock_.now() - applied.ordered});
        }
    }
    write(forwarder);
}

void XdsServer::write(Forwarder& forwarder) {
    const auto responses = forwarder.stream->take_encoded(responses_);
    if (responses.empty()) {
        return;
    }
    const net::GrpcCallPtr call = forwarder.call;
    call->cork();
    for (const auto& response : responses) {
        call->send(response.common, response.own);
    }
    call->uncork();
}

void XdsServer::open_lrs(const net::GrpcCallPtr& call) {
    const auto state = std::make_shared<StreamState>();
    call->on_message = [this, weak = std::weak_ptr(call), state](std::string_view bytes) {
        if (const auto strong = weak.lock()) {
            on_lrs_message(strong, state, bytes);
        }
    };
    call->on_half_closed = [weak = std::weak_ptr(call)] {
        if (const auto strong = weak.lock()) {
            strong->finish();
        }
    };
}

void XdsServer::on_lrs_message(const net::GrpcCallPtr& call,
                               const std::shared_ptr<StreamState>& state, std::string_view bytes) {
    const base::CpuMeter meter(figures_.handler_cpu_us);
    envoy::service::load_stats::v3::LoadStatsRequest request;
    if (!request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        log_.warn("report.malformed", {{"peer", call->peer()}, {"forwarder", state->name}});
        call->finish(net::GrpcStatus::InvalidArgument, "the report can't be read");
        return;
    }
    if (!state->known) {
        if (request.node().id().empty()) {
            call->finish(net::GrpcStatus::InvalidArgument,
                         "the first report must carry a node with an id");
            return;
        }
        state->known = true;
        state->name = request.node().id();
        envoy::service::load_stats::v3::LoadStatsResponse response;
        response.set_send_all_clusters(true);
        response.set_report_endpoint_granularity(true);
        *response.mutable_load_reporting_interval() =
            TimeUtil::MicrosecondsToDuration(config_.settings.report_interval.count());
        call->send(response.SerializeAsString());
    }
    const auto it = forwarders_.find(state->name);
    // Sums of a forwarder that is not joined tell of orders that are not ours.
    if (it == forwarders_.end()) {
        return;
    }
    std::vector<std::string> refused;
    std::vector<std::string> unknown;
    const auto report = xds::read_report(request, refused);
    reports_.add({it->second.proxy, it->second.zone}, report, by_address_, unknown);
    for (const auto& what : refused) {
        log_.warn("report.refused", {{"forwarder", state->name}, {"why", what}});
    }
    unknown_once(unknown, state->name);
}

void XdsServer::unknown_once(const std::vector<std::string>& what, const std::string& from) {
    for (const auto& name : what) {
        if (told_unknown_.size() < 1000 && told_unknown_.insert(name).second) {
            log_.info("report.unknown", {{"forwarder", from}, {"what", name}});
        }
    }
}

// ---- the list

ServerId XdsServer::server_for(const ListedServer& listed, bool& fresh) {
    // A server that comes back at another address is another server: lines name addresses.
    const auto [it, added] = servers_.try_emplace({listed.id, listed.address});
    Known& known = it->second;
    if (added) {
        known.server = {static_cast<std::uint32_t>(servers_.size())};
        server_names_[known.server] = listed.id;
    }
    fresh = added;
    const Micros started =
        listed.age > Micros{0} ? std::max(Micros{1}, clock_.now() - listed.age) : Micros{0};
    // Ages are told late and unevenly; the first one heard of an incarnation stands, or the module
    // would see a new start in each list.
    if (added || known.incarnation != listed.incarnation) {
        known.started = started;
    }
    known.incarnation = listed.incarnation;
    known.zone = zone_of(listed.zone);
    by_address_[listed.address] = known.server;
    return known.server;
}

void XdsServer::on_list(const ServerList& list) {
    const base::CpuMeter meter(figures_.handler_cpu_us);
    ++figures_.lists;
    event::EndpointListUpdate event{UpdateKind::Snapshot, {}};
    int ready = 0;
    int draining = 0;
    for (const ListedServer& listed : list.servers) {
        bool fresh = false;
        const ServerId server = server_for(listed, fresh);
        const Known& known = servers_.at({listed.id, listed.address});
        if (fresh || !board_.place_of(server)) {
            board_.place(server, {listed.address, listed.zone});
        }
        if (known.zone.value < 0) {
            log_.warn("server.zone_unknown", {{"server", listed.id}, {"zone", listed.zone}});
        }
        event.endpoints.push_back({server, known.zone, listed.state, listed.weight, known.started});
        ++(listed.state == ServerState::Ready ? ready : draining);
    }
    log_.info("list.taken", {{"registry", list.about.registry},
                             {"index", list.about.index},
                             {"ready", ready},
                             {"draining", draining}});
    tell(event);
}

std::optional<ServerId> XdsServer::server_id(const std::string& id) const {
    std::optional<ServerId> out;
    for (const auto& [key, known] : servers_) {
        if (key.first == id) {
            out = known.server;
        }
    }
    return out;
}

void XdsServer::list_for_trial(const ListedServer& listed) {
    bool fresh = false;
    const ServerId server = server_for(listed, fresh);
    board_.place(server, {listed.address, listed.zone});
    tell(event::EndpointListUpdate{
        UpdateKind::Delta, {{server, zone_of(listed.zone), ServerState::Ready, 1, Micros{0}}}});
}

void XdsServer::change_for_trial(double weight) {
    std::vector<Command> actions;
    const TableId full{config_.settings.zone_count};
    for (const auto& [server, name] : server_names_) {
        actions.emplace_back(command::SetWeight{full, server, weight});
    }
    for (const auto& [name, forwarder] : forwarders_) {
        actions.emplace_back(command::AssignTable{full, 0, forwarder.proxy});
    }
    actions.emplace_back(command::RequestAck{{1}, false});
    carry_out(std::move(actions));
}

// ---- the module

void XdsServer::tell(const Event& event) {
    driver_.post(event);
}

void XdsServer::tick() {
    const base::CpuMeter meter(figures_.handler_cpu_us);
    tick_.after(kIntakeTick, [this] { tick(); });
    for (const Event& event : reports_.take(clock_.now())) {
        tell(event);
    }
}

void XdsServer::end_period() {
    period_.after(config_.settings.report_interval, [this] { end_period(); });
    reports_.close_period(clock_.now());
}

void XdsServer::carry_out(std::vector<Command> actions) {
    bool tables = false;
    for (const Command& action : actions) {
        if (const auto* line = std::get_if<command::LogMessage>(&action)) {
            log_.info("module.says", {{"text", line->text}});
        } else if (const auto* watch = std::get_if<command::WatchEndpoints>(&action)) {
            if (watch->enabled) {
                registry_.start();
            } else {
                registry_.stop();
            }
        } else if (std::holds_alternative<command::FetchEndpoints>(action)) {
            registry_.fetch();
        } else if (const auto* one = std::get_if<command::CheckHealth>(&action)) {
            probe(one->server);
        } else if (std::holds_alternative<command::SendGossip>(action)) {
            // No way between governors is set up here; the settings tell the module so.
            log_.error("order.refused", {{"why", "messages between governors are not permitted"}});
        } else {
            tables = true;
        }
    }
    if (!tables) {
        return;
    }
    ++figures_.orders;
    std::vector<std::string> refused;
    const Micros now = clock_.now();
    auto messages = board_.order(now, std::move(actions), refused);
    for (const auto& why : refused) {
        log_.error("order.refused", {{"why", why}});
    }
    double lines = 0;
    for (auto& message : messages) {
        lines += message.lines;
        channel_.put(now, std::move(message));
    }
    if (!messages.empty()) {
        log_.debug("order.given", {{"order", board_.orders()},
                                   {"forwarders", messages.size()},
                                   {"lines", lines},
                                   {"waiting", channel_.waiting()}});
    }
    arm_channel();
}

void XdsServer::arm_channel() {
    if (const auto due = channel_.due()) {
        channel_timer_.at(*due, [this] { run_channel(); });
    } else {
        channel_timer_.stop();
    }
}

void XdsServer::run_channel() {
    const base::CpuMeter meter(figures_.handler_cpu_us);
    // One moment for all that is due: what is sent alike then has the same bytes.
    const Micros now = clock_.now();
    while (auto message = channel_.take(now)) {
        const auto it = forwarders_.find(proxy_names_[message->proxy]);
        if (it == forwarders_.end()) {
            continue;
        }
        it->second.stream->give(now, *message);
        write(it->second);
    }
    arm_channel();
}

void XdsServer::probe(ServerId server) {
    const auto* place = board_.place_of(server);
    if (!place || !config_.settings.health_checks_allowed) {
        log_.error("order.refused", {{"why", place ? "probes are not permitted"
                                                   : "a probe of a server that no list named"}});
        return;
    }
    auto& pool = probes_[server];
    if (!pool) {
        pool = std::make_unique<net::HttpPool>(loop_, actor_, config_.id, place->address,
                                               config_.health_check_timeout, 5s);
    }
    net::HttpMessage request;
    request.method = "GET";
    request.target = "/probe/shallow";
    const Micros sent = clock_.now();
    pool->send(std::move(request), config_.health_check_timeout,
               [this, server, sent](net::HttpOutcome outcome) {
                   using How = net::HttpOutcome::How;
                   HealthCheckOutcome said = HealthCheckOutcome::Other;
                   if (outcome.how == How::Answered) {
                       said = outcome.response.status == 200   ? HealthCheckOutcome::Healthy
                              : outcome.response.status == 503 ? HealthCheckOutcome::Overloaded
                                                               : HealthCheckOutcome::Failed;
                   } else if (outcome.how == How::TimedOut) {
                       said = HealthCheckOutcome::TimedOut;
                   } else if (outcome.how == How::NeverSent) {
                       said = HealthCheckOutcome::Unreachable;
                   } else if (outcome.how == How::Broken) {
                       said = HealthCheckOutcome::Reset;
                   }
                   log_.debug("probe.ended",
                              {{"server", server_names_[server]}, {"outcome", outcome_text(said)}});
                   tell(event::HealthCheckResult{server, said, clock_.now() - sent, {}});
               });
}

}  // namespace badgergrade::xds_server
