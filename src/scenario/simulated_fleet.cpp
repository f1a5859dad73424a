#include "scenario/simulated_fleet.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace badgergrade::scenario {

using namespace std::chrono_literals;

namespace {

// Actor ids by kind: timers due at the same time fire in the order faults, registry, instances,
// servers, proxies, clients.
constexpr std::uint32_t kFaultActor = 2, kRegistryActor = 3, kFirstInstanceActor = 10,
                        kFirstServerActor = 1000, kFirstProxyActor = 100000,
                        kFirstClientActor = 200000;

base::ActorId actor(std::uint32_t kind, std::size_t k = 0) {
    return {kind + static_cast<std::uint32_t>(k)};
}

xds_server::XdsServerMetrics& operator+=(xds_server::XdsServerMetrics& a,
                                         const xds_server::XdsServerMetrics& b) {
    a.decisions += b.decisions;
    a.config_updates += b.config_updates;
    a.proxy_connections += b.proxy_connections;
    a.rejected_responses += b.rejected_responses;
    a.endpoint_updates += b.endpoint_updates;
    a.handler_cpu_us += b.handler_cpu_us;
    a.send_queue.sent_messages += b.send_queue.sent_messages;
    a.send_queue.discarded_messages += b.send_queue.discarded_messages;
    a.send_queue.sent_lines += b.send_queue.sent_lines;
    a.send_queue.max_queued_lines =
        std::max(a.send_queue.max_queued_lines, b.send_queue.max_queued_lines);
    a.send_queue.max_queueing_delay =
        std::max(a.send_queue.max_queueing_delay, b.send_queue.max_queueing_delay);
    return a;
}

}  // namespace

std::map<std::string, std::string> SimulatedFleet::proxy_zones(const ScenarioScript& script,
                                                               const RecordedScenario* recorded) {
    std::map<std::string, std::string> out;
    if (recorded) {
        for (const TimedFaultAction& action : recorded->actions) {
            if (action.action.kind == FaultActionKind::AddProxy) {
                out[action.action.target] = action.action.text;
            }
        }
        return out;
    }
    for (const auto& plan : plan_proxies(script)) {
        out[plan.id] = plan.zone;
    }
    return out;
}

SimulatedFleet::SimulatedFleet(net::Loop& loop, const ScenarioScript& script, log::Log& log,
                               const std::vector<testbed::Observer*>& observers,
                               const RecordedScenario* recorded)
    : loop_(loop),
      script_(script),
      recorded_(recorded),
      log_(log),
      network_conditions_(loop.clock(), script, script.seed),
      begin_(loop.clock().now()),
      random_(script.seed, "world") {
    observers_.observers = observers;
    loop_.weather = &network_conditions_;
    loop_.keeps_ledger = true;
    for (const Operation& op : script.instance_config.settings.operations) {
        operations_.push_back(op.name);
    }
    registry_port_ = std::make_unique<net::PortHold>(loop);
    registry_ = std::make_unique<testbed::FakeRegistry>(loop, actor(kRegistryActor), "registry",
                                                        registry_port_->address(), &observers_);
}

SimulatedFleet::~SimulatedFleet() {
    timers_.clear();
    proxies_.clear();
    instances_.clear();
    servers_.clear();
    registry_.reset();
    loop_.weather = nullptr;
}

void SimulatedFleet::schedule(Micros delay, std::function<void()> callback) {
    const std::uint64_t id = ++timer_ids_;
    auto& timer = timers_.try_emplace(id, loop_.clock(), actor(kFaultActor)).first->second;
    timer.after(delay, [this, id, callback = std::move(callback)] {
        const auto run = callback;
        timers_.erase(id);
        ++step_;
        run();
    });
}

void SimulatedFleet::start() {
    starting_ = true;
    if (recorded_) {
        start_from_recording();
    } else {
        start_from_script();
    }
    starting_ = false;
}

void SimulatedFleet::start_from_script() {
    using enum FaultActionKind;
    for (std::size_t k = 0; k < static_cast<std::size_t>(script_.server_count); ++k) {
        const auto settings = draw_server_settings(k);
        perform({.kind = AddServer, .target = settings.id, .server_settings = settings});
        perform({.kind = StartServer, .target = settings.id});
        perform({.kind = ListServer, .target = settings.id});
    }
    for (std::size_t k = 0; k < static_cast<std::size_t>(script_.instance_count); ++k) {
        add_instance(k);
        perform({.kind = StartInstance, .target = instances_[k].name});
    }
    const auto plans = plan_proxies(script_);
    for (const auto& plan : plans) {
        perform({.kind = AddProxy,
                 .target = plan.id,
                 .magnitude = plan.invocations_per_second,
                 .text = plan.zone});
    }
    for (const auto& plan : plans) {
        perform({.kind = StartProxy, .target = plan.id});
    }
    add_clients(generate_traffic(script_, plans, begin_));
    for (const Fault& fault : script_.faults) {
        schedule(fault.begin, [this, &fault] { inject(fault); });
    }
}

void SimulatedFleet::start_from_recording() {
    for (std::size_t k = 0; k < static_cast<std::size_t>(script_.instance_count); ++k) {
        add_instance(k);
    }
    for (const TimedFaultAction& action : recorded_->actions) {
        if (action.initial) {
            perform(action.action);
        }
    }
    auto traffic = recorded_->traffic;
    for (auto& [proxy, list] : traffic) {
        for (auto& invocation : list) {
            invocation.arrived_at += begin_;
        }
    }
    add_clients(std::move(traffic));
    // Actions recorded in one step are carried out in one callback, with no event in between.
    for (auto first = recorded_->actions.begin(); first != recorded_->actions.end();) {
        auto end = std::next(first);
        while (end != recorded_->actions.end() && end->same_step && end->at == first->at) {
            ++end;
        }
        if (!first->initial) {
            schedule(first->at, [this, first, end] {
                for (auto action = first; action != end; ++action) {
                    perform(action->action);
                }
            });
        }
        first = end;
    }
}

void SimulatedFleet::add_instance(std::size_t k) {
    InstanceSlot slot;
    slot.name = "governor-" + std::to_string(k);
    slot.zone = script_.instance_config.zones[k % script_.instance_config.zones.size()];
    slot.port = std::make_unique<net::PortHold>(loop_);
    network_conditions_.set_zone(slot.name, slot.zone);
    network_conditions_.add_instance(slot.name);
    instances_.push_back(std::move(slot));
}

void SimulatedFleet::add_proxy(const ProxyPlan& plan) {
    ProxySlot slot;
    slot.plan = plan;
    slot.port = std::make_unique<net::PortHold>(loop_);
    network_conditions_.set_zone(plan.id, plan.zone);
    network_conditions_.add_proxy(plan.id);
    proxies_.push_back(std::move(slot));
}

std::vector<testbed::FakeClientSettings::AttemptTimeoutOverride>
SimulatedFleet::attempt_timeout_overrides() const {
    std::vector<testbed::FakeClientSettings::AttemptTimeoutOverride> out;
    if (recorded_) {
        for (const TimedFaultAction& action : recorded_->actions) {
            if (action.action.kind == FaultActionKind::ShortenAttemptTimeouts) {
                out.push_back({begin_ + action.at, begin_ + action.at + action.action.duration,
                               action.action.magnitude});
            }
        }
        return out;
    }
    for (const Fault& t : script_.faults) {
        if (t.kind == FaultKind::ShortAttemptTimeouts) {
            out.push_back({begin_ + t.begin, begin_ + t.begin + t.duration, t.magnitude});
        }
    }
    return out;
}

void SimulatedFleet::add_clients(std::map<std::string, std::vector<testbed::Invocation>> traffic) {
    testbed::FakeClientSettings clients;
    clients.max_retries = script_.client_retries;
    clients.retry_backoff = script_.client_retry_backoff;
    clients.attempt_timeout_fraction = script_.client_attempt_timeout_fraction;
    clients.operations = script_.instance_config.settings.operations;
    clients.attempt_timeout_overrides = attempt_timeout_overrides();
    for (std::size_t k = 0; k < proxies_.size(); ++k) {
        ProxySlot& slot = proxies_[k];
        const std::string client = numbered_name("client", k);
        network_conditions_.set_zone(client, slot.plan.zone);
        slot.client = std::make_unique<testbed::FakeClient>(
            loop_, actor(kFirstClientActor, k), client, clients, slot.port->address(),
            std::move(traffic[slot.plan.id]), &observers_);
    }
}

// ---- fault actions

void SimulatedFleet::perform(const FaultAction& action) {
    if (on_action) {
        on_action(loop_.clock().now(), starting_, last_action_step_ == step_, action);
    }
    last_action_step_ = step_;
    apply(action);
}

namespace {
template <class Slots, class Name>
std::size_t index_of(const Slots& slots, const std::string& id, Name name) {
    const auto it = std::find_if(slots.begin(), slots.end(),
                                 [&](const auto& slot) { return name(slot) == id; });
    if (it == slots.end()) {
        throw std::runtime_error("fault action: unknown target '" + id + "'");
    }
    return static_cast<std::size_t>(it - slots.begin());
}
}  // namespace

std::size_t SimulatedFleet::server_index(const std::string& id) const {
    return index_of(servers_, id, [](const ServerSlot& slot) { return slot.settings.id; });
}

std::size_t SimulatedFleet::proxy_index(const std::string& id) const {
    return index_of(proxies_, id, [](const ProxySlot& slot) { return slot.plan.id; });
}

std::size_t SimulatedFleet::instance_index(const std::string& id) const {
    return index_of(instances_, id, [](const InstanceSlot& slot) { return slot.name; });
}

void SimulatedFleet::apply(const FaultAction& action) {
    using enum FaultActionKind;
    switch (action.kind) {
        case AddServer:
            return add_server(action.server_settings);
        case AddProxy:
            return add_proxy({action.target, action.text, 1, action.magnitude});
        case StartServer:
        case StopServer:
        case ListServer:
        case UnlistServer:
        case SetServerFault:
            return apply_to_server(action);
        case PartitionZone:
            return network_conditions_.set_partitioned(action.target, action.enabled);
        case DelayZone:
            return network_conditions_.set_zone_delay(action.target,
                                                      {action.duration, action.magnitude});
        case StartProxy:
        case StopProxy:
        case BreakStream:
        case IsolateProxy:
        case StallProxy:
            return apply_to_proxy(action);
        case StartInstance:
            return start_instance(instance_index(action.target));
        case StopInstance:
            return stop_instance(instance_index(action.target));
        case SlowChannels:
            return set_channel_slowdown(action.magnitude);
        case HangRegistry:
            return registry_->set_hanging(action.enabled);
        case RestartRegistry:
            return registry_->restart(action.enabled);
        case CorruptRegistry:
            return void(registry_->malformed_response = action.text);
        case ServeStaleList:
            return serve_stale_list(action.enabled, action.magnitude);
        case ShortenAttemptTimeouts:
            return;  // passed to the clients before the start
    }
}

void SimulatedFleet::apply_to_server(const FaultAction& action) {
    const std::size_t k = server_index(action.target);
    switch (action.kind) {
        case FaultActionKind::StartServer:
            return start_server(k, action.enabled);
        case FaultActionKind::StopServer:
            return servers_[k].server.reset();
        case FaultActionKind::ListServer:
            return put_in_registry(k, action.enabled);
        case FaultActionKind::UnlistServer:
            registry_->remove(action.target);
            list_history_[loop_.clock().now()] = registry_->entries();
            return;
        default:
            if (servers_[k].server) {
                servers_[k].server->fault = action.server_fault;
            }
    }
}

void SimulatedFleet::apply_to_proxy(const FaultAction& action) {
    const std::size_t k = proxy_index(action.target);
    if (action.kind == FaultActionKind::StartProxy) {
        return start_proxy(k);
    }
    const auto& proxy = proxies_[k].proxy;
    if (!proxy) {
        return;
    }
    if (action.kind == FaultActionKind::StopProxy) {
        proxies_[k].proxy.reset();
    } else if (action.kind == FaultActionKind::BreakStream) {
        proxy->break_stream();
    } else if (action.kind == FaultActionKind::IsolateProxy) {
        proxy->set_isolated(action.enabled);
    } else {
        proxy->set_stalled(action.enabled);
    }
}

// Serves the server list as it was this long ago.
void SimulatedFleet::serve_stale_list(bool active, double seconds_back) {
    if (!active) {
        return registry_->serve_instead(std::nullopt);
    }
    const Micros list_time = loop_.clock().now() - Micros(std::llround(seconds_back * 1e6));
    auto at = list_history_.upper_bound(list_time);
    if (at != list_history_.begin()) {
        --at;
    }
    if (at != list_history_.end()) {
        registry_->serve_instead(at->second);
    }
}

void SimulatedFleet::set_channel_slowdown(double slowdown_factor) {
    for (auto& slot : instances_) {
        if (slot.xds_server) {
            slot.xds_server->set_send_pace(1 / slowdown_factor);
        }
    }
    if (on_channels_slowed) {
        on_channels_slowed(slowdown_factor);
    }
}

// ---- servers

testbed::FakeServerSettings SimulatedFleet::draw_server_settings(std::size_t k) const {
    base::SequentialRandom random(script_.seed, "worker/" + std::to_string(k));
    const Settings& settings = script_.instance_config.settings;
    double shares = 0;
    for (const auto& kind : script_.machine_kinds) {
        shares += kind.share;
    }
    double draw = random.part() * shares;
    std::size_t kind_index = 0;
    while (kind_index + 1 < script_.machine_kinds.size() &&
           (draw -= script_.machine_kinds[kind_index].share) >= 0) {
        ++kind_index;
    }
    const MachineKind& kind = script_.machine_kinds[kind_index];
    testbed::FakeServerSettings s;
    s.id = numbered_name("worker", k);
    s.zone = script_.instance_config.zones[k % script_.instance_config.zones.size()];
    s.cores = kind.cores;
    s.speed = random.between(kind.speed.low, kind.speed.high);
    s.max_queued_per_core = static_cast<std::size_t>(
        std::llround(random.between(kind.max_queued_per_core.low, kind.max_queued_per_core.high)));
    s.max_connections = static_cast<std::size_t>(
        std::llround(random.between(kind.max_connections.low, kind.max_connections.high)));
    s.handshake_work = Micros(std::llround(random.between(8000, 15000)));
    // The settings state the worst case of a cold server; the drawn server is at least as fast.
    s.initial_capacity_fraction =
        std::min(1.0, settings.initial_capacity_fraction * random.between(1, 1.5));
    s.warm_up_time = Micros(std::llround(static_cast<double>(settings.slow_start_window.count()) *
                                         random.between(0.7, 1)));
    s.collapse_factor = settings.overload_collapse_factor;
    s.collapse_window = settings.overload_collapse_time;
    s.cache_saving_fraction = script_.cache_saving_fraction;
    s.cache_ttl = script_.cache_ttl;
    s.reports_load = !settings.load_metric_names.empty();
    s.load_report_interval = Micros(std::llround(random.between(300e3, 1000e3)));
    return s;
}

void SimulatedFleet::add_server(const testbed::FakeServerSettings& settings) {
    ServerSlot slot;
    slot.settings = settings;
    slot.port = std::make_unique<net::PortHold>(loop_);
    slot.settings.listen = slot.port->address();
    network_conditions_.set_zone(settings.id, settings.zone);
    servers_.push_back(std::move(slot));
}

void SimulatedFleet::start_server(std::size_t k, bool cold) {
    ServerSlot& slot = servers_[k];
    slot.server.reset();
    ++slot.incarnation;
    slot.started = cold ? loop_.clock().now() : 0us;
    testbed::FakeServerSettings settings = slot.settings;
    settings.id += "/" + std::to_string(slot.incarnation);
    network_conditions_.set_zone(settings.id, settings.zone);
    server_names_[settings.listen] = settings.id;
    slot.server = std::make_unique<testbed::FakeServer>(
        loop_, actor(kFirstServerActor, k), settings, base::seed_for(script_.seed, settings.id),
        &observers_, cold, operations_);
}

void SimulatedFleet::stop_server(std::size_t k, bool unlisted) {
    ServerSlot& slot = servers_[k];
    if (!slot.server) {
        return;
    }
    perform({.kind = FaultActionKind::StopServer, .target = slot.settings.id});
    if (unlisted) {
        return;
    }
    const Micros delay(
        std::llround(random_.between(script_.unlist_delay_us.low, script_.unlist_delay_us.high)));
    schedule(delay, [this, k, incarnation = slot.incarnation] {
        // Restarted before its removal: the registry lists the new incarnation instead.
        if (servers_[k].incarnation != incarnation || servers_[k].server) {
            return;
        }
        perform({.kind = FaultActionKind::UnlistServer, .target = servers_[k].settings.id});
    });
}

// Starts the server cold; the registry lists it after a delay.
void SimulatedFleet::restart_cold(std::size_t k, bool unlisted) {
    perform(
        {.kind = FaultActionKind::StartServer, .target = servers_[k].settings.id, .enabled = true});
    if (!unlisted) {
        list_after_delay(k, Micros(std::llround(random_.between(script_.list_delay_us.low,
                                                                script_.list_delay_us.high))));
    }
}

void SimulatedFleet::list_after_delay(std::size_t k, Micros delay, bool draining) {
    schedule(delay, [this, k, draining, incarnation = servers_[k].incarnation] {
        const ServerSlot& slot = servers_[k];
        if (slot.incarnation == incarnation && slot.server) {
            perform({.kind = FaultActionKind::ListServer,
                     .target = slot.settings.id,
                     .enabled = draining});
        }
    });
}

void SimulatedFleet::put_in_registry(std::size_t k, bool draining) {
    const ServerSlot& slot = servers_[k];
    testbed::FakeRegistry::Entry entry;
    entry.server.id = slot.settings.id;
    entry.server.zone = slot.settings.zone;
    entry.server.address = slot.settings.listen;
    entry.server.incarnation = std::to_string(slot.incarnation);
    entry.server.state = draining ? ServerState::Draining : ServerState::Ready;
    // The registered weight is the capacity, rounded to quarters.
    entry.server.weight = std::round(slot.settings.cores * slot.settings.speed * 4) / 4;
    entry.started_at = slot.started;
    registry_->put(entry);
    list_history_[loop_.clock().now()] = registry_->entries();
}

// ---- control plane instances and proxies

void SimulatedFleet::start_instance(std::size_t k) {
    stop_instance(k);
    InstanceSlot& slot = instances_[k];
    config::InstanceConfig config = script_.instance_config;
    config.id = slot.name;
    config.seed =
        base::seed_for(script_.seed, slot.name + "/" + std::to_string(slot.incarnation)) >> 12;
    config.settings.ordinal = static_cast<int>(k);
    config.settings.instance_count = script_.instance_count;
    const auto at = std::find(config.zones.begin(), config.zones.end(), slot.zone);
    config.settings.zone = {static_cast<int>(at - config.zones.begin())};
    config.xds_address = net::to_text(slot.port->address());
    config.registry_address = net::to_text(registry_port_->address());
    slot.xds_server =
        std::make_unique<xds_server::XdsServer>(loop_, actor(kFirstInstanceActor, k), config, log_,
                                                "life-" + std::to_string(++slot.incarnation));
    if (instance_observer) {
        slot.xds_server->set_observer(*instance_observer);
    }
    slot.xds_server->alter_commands_for_test = [this, k](Micros now,
                                                         std::vector<Command>& actions) {
        if (alter_commands_for_test) {
            alter_commands_for_test(static_cast<int>(k), *instances_[k].xds_server, now, actions);
        }
    };
}

void SimulatedFleet::stop_instance(std::size_t k) {
    InstanceSlot& slot = instances_[k];
    if (!slot.xds_server) {
        return;
    }
    slot.previous_metrics += slot.xds_server->metrics();
    slot.xds_server.reset();
}

std::vector<xds_server::XdsServerMetrics> SimulatedFleet::instance_metrics() const {
    std::vector<xds_server::XdsServerMetrics> out;
    for (const InstanceSlot& slot : instances_) {
        xds_server::XdsServerMetrics sum = slot.previous_metrics;
        if (slot.xds_server) {
            sum += slot.xds_server->metrics();
        }
        out.push_back(sum);
    }
    return out;
}

std::vector<xds::TableEndpoint> SimulatedFleet::draw_startup_table(
    const std::string& zone, base::SequentialRandom& random) const {
    std::vector<xds::TableEndpoint> same_zone;
    std::vector<xds::TableEndpoint> all;
    for (const auto& [id, entry] : registry_->entries()) {
        if (entry.server.state != ServerState::Ready) {
            continue;
        }
        const xds::TableEndpoint line{entry.server.address, entry.server.zone, 1, false};
        all.push_back(line);
        if (entry.server.zone == zone) {
            same_zone.push_back(line);
        }
    }
    auto& candidates = same_zone.size() >= 3 ? same_zone : all;
    std::vector<xds::TableEndpoint> out;
    while (!candidates.empty() &&
           out.size() < static_cast<std::size_t>(script_.startup_table_size)) {
        const std::size_t k = random.below(candidates.size());
        out.push_back(candidates[k]);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(k));
    }
    return out;
}

void SimulatedFleet::start_proxy(std::size_t k) {
    ProxySlot& slot = proxies_[k];
    slot.proxy.reset();
    ++slot.starts;
    const Settings& settings = script_.instance_config.settings;
    base::SequentialRandom random(script_.seed,
                                  slot.plan.id + "/start/" + std::to_string(slot.starts));
    testbed::FakeProxySettings s;
    s.id = slot.plan.id;
    s.zone = slot.plan.zone;
    s.invocations_per_second = slot.plan.invocations_per_second;
    s.listen = slot.port->address();
    s.operations = settings.operations;
    // Instances of its own zone come first, then the others from a random one on.
    std::vector<std::size_t> order;
    for (std::size_t g = 0; g < instances_.size(); ++g) {
        if (instances_[g].zone == slot.plan.zone) {
            order.push_back(g);
        }
    }
    const std::size_t first = random.below(instances_.size());
    for (std::size_t g = 0; g < instances_.size(); ++g) {
        const std::size_t next = (first + g) % instances_.size();
        if (std::find(order.begin(), order.end(), next) == order.end()) {
            order.push_back(next);
        }
    }
    for (const std::size_t g : order) {
        s.instance_addresses.push_back(instances_[g].port->address());
        s.instance_names.push_back(instances_[g].name);
    }
    s.startup_table = draw_startup_table(slot.plan.zone, random);
    s.load_balancing_policy = settings.load_balancing_policy;
    s.retry_mode = settings.default_retry_mode;
    s.ejection_failures = settings.proxy_ejection_failures;
    s.ejection_time = script_.instance_config.ejection_time;
    s.connect_timeout = 250ms;
    s.dial_timeout = 1s;
    s.connection_idle_timeout = settings.connection_idle_timeout;
    s.min_reconnect_delay = Micros(std::llround(script_.reconnect_delay_us.low));
    s.max_reconnect_delay = Micros(std::llround(script_.reconnect_delay_us.high));
    // Without a keepalive a proxy does not notice a network partition.
    s.keepalive_interval = 1s;
    slot.proxy = std::make_unique<testbed::FakeProxy>(
        loop_, actor(kFirstProxyActor, k), s,
        base::seed_for(script_.seed, "start/" + std::to_string(slot.starts)), &observers_,
        &server_names_);
    if (on_proxy_created) {
        on_proxy_created(*slot.proxy);
    }
}

// ---- faults

namespace {
// Samples `count` candidates, or if it is 0 this fraction of them (rounded up), without
// replacement. Keeps their order.
std::vector<std::size_t> sample(std::vector<std::size_t> candidates, double part, int count,
                                base::SequentialRandom& random) {
    const auto wanted =
        count > 0
            ? static_cast<std::size_t>(count)
            : static_cast<std::size_t>(std::ceil(part * static_cast<double>(candidates.size())));
    std::vector<std::size_t> out;
    while (!candidates.empty() && out.size() < wanted) {
        const std::size_t k = random.below(candidates.size());
        out.push_back(candidates[k]);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(k));
    }
    std::sort(out.begin(), out.end());
    return out;
}
}  // namespace

std::vector<std::size_t> SimulatedFleet::select_servers(const Fault& fault) {
    std::vector<std::size_t> candidates;
    for (std::size_t k = 0; k < servers_.size(); ++k) {
        if (!fault.target_name.empty() && servers_[k].settings.id != fault.target_name) {
            continue;
        }
        if (servers_[k].server) {
            candidates.push_back(k);
        }
    }
    if (!fault.target_name.empty()) {
        return candidates;
    }
    base::SequentialRandom random(script_.seed, "struck/" + std::to_string(fault.line));
    return sample(std::move(candidates), fault.target_fraction, fault.target_count, random);
}

std::vector<std::size_t> SimulatedFleet::select_proxies(const Fault& fault) {
    std::vector<std::size_t> candidates;
    for (std::size_t k = 0; k < proxies_.size(); ++k) {
        if (fault.target_name.empty() || proxies_[k].plan.id == fault.target_name) {
            candidates.push_back(k);
        }
    }
    if (!fault.target_name.empty()) {
        return candidates;
    }
    base::SequentialRandom random(script_.seed, "struck/" + std::to_string(fault.line));
    return sample(std::move(candidates), fault.target_fraction, fault.target_count, random);
}

void SimulatedFleet::change_server_fault(std::size_t k,
                                         const std::function<void(testbed::ServerFault&)>& change) {
    FaultAction action{.kind = FaultActionKind::SetServerFault,
                       .target = servers_[k].settings.id,
                       .server_fault = servers_[k].server->fault};
    change(action.server_fault);
    perform(action);
}

// Changes the targets now, and back at the end of the fault unless they have restarted meanwhile.
void SimulatedFleet::change_for(const Fault& fault,
                                const std::function<void(testbed::ServerFault&, bool)>& change) {
    for (const std::size_t k : select_servers(fault)) {
        change_server_fault(k, [&](testbed::ServerFault& t) { change(t, true); });
        schedule(fault.duration, [this, k, change, incarnation = servers_[k].incarnation] {
            if (servers_[k].server && servers_[k].incarnation == incarnation) {
                change_server_fault(k, [&](testbed::ServerFault& t) { change(t, false); });
            }
        });
    }
}

void SimulatedFleet::flap(const Fault& fault, std::size_t k, Micros end,
                          std::shared_ptr<base::SequentialRandom> random) {
    const Micros now = loop_.clock().now();
    if (now >= end) {
        return;
    }
    const double period = static_cast<double>(fault.period.count()) * random->between(0.7, 1.3);
    const Micros up_time(std::llround(period * (1 - fault.magnitude)));
    const Micros down_time(std::llround(period * fault.magnitude));
    schedule(up_time, [this, &fault, k, end, random, down_time] {
        if (loop_.clock().now() >= end || !servers_[k].server) {
            return;
        }
        if (fault.mode == "hang" || fault.mode == "errors") {
            change_server_fault(k, [&](testbed::ServerFault& t) {
                fault.mode == "hang" ? void(t.hangs = true) : void(t.error_fraction = 0.95);
            });
            schedule(down_time,
                     [this, &fault, k, end, random, incarnation = servers_[k].incarnation] {
                         if (!servers_[k].server || servers_[k].incarnation != incarnation) {
                             return;
                         }
                         change_server_fault(k, [](testbed::ServerFault& t) { t = {}; });
                         flap(fault, k, end, random);
                     });
            return;
        }
        stop_server(k, fault.unlisted);
        schedule(down_time, [this, &fault, k, end, random] {
            if (servers_[k].server) {
                return;
            }
            restart_cold(k, fault.unlisted);
            flap(fault, k, end, random);
        });
    });
}

void SimulatedFleet::slow_down_gradually(const Fault& fault, std::size_t k, int incarnation,
                                         Micros started_at) {
    ServerSlot& slot = servers_[k];
    if (!slot.server || slot.incarnation != incarnation) {
        return;
    }
    const double part = static_cast<double>((loop_.clock().now() - started_at).count()) /
                        static_cast<double>(fault.duration.count());
    if (part < 1) {
        change_server_fault(k, [&](testbed::ServerFault& t) {
            t.slowdown_factor = 1 + (fault.magnitude - 1) * part;
        });
        schedule(500ms, [this, &fault, k, incarnation, started_at] {
            slow_down_gradually(fault, k, incarnation, started_at);
        });
        return;
    }
    stop_server(k, false);
    schedule(fault.downtime > 0us ? fault.downtime : Micros{5s}, [this, k] {
        if (!servers_[k].server) {
            restart_cold(k, false);
        }
    });
}

void SimulatedFleet::toggle_noisy_neighbour(const Fault& fault, std::size_t k, Micros end,
                                            bool active) {
    if (!servers_[k].server) {
        return;
    }
    const bool over = loop_.clock().now() >= end;
    change_server_fault(k, [&](testbed::ServerFault& t) {
        t.stolen_cpu_fraction = active && !over ? fault.magnitude : 0;
    });
    if (over) {
        return;
    }
    const Micros period = fault.period > 0us ? fault.period : fault.duration;
    schedule(std::min(period, end - loop_.clock().now()),
             [this, &fault, k, end, active] { toggle_noisy_neighbour(fault, k, end, !active); });
}

void SimulatedFleet::inject_server_fault(const Fault& fault) {
    using T = testbed::ServerFault;
    const double size = fault.magnitude;
    switch (fault.kind) {
        case FaultKind::Hang:
            return change_for(fault, [](T& t, bool on) { t.hangs = on; });
        case FaultKind::FastErrors:
            return change_for(fault, [size](T& t, bool on) { t.error_fraction = on ? size : 0; });
        case FaultKind::Slow:
            return change_for(fault, [size](T& t, bool on) { t.slowdown_factor = on ? size : 1; });
        case FaultKind::ResponsesLost:
            return change_for(fault,
                              [size](T& t, bool on) { t.lost_response_fraction = on ? size : 0; });
        case FaultKind::LoadUnderreported:
            return change_for(fault,
                              [size](T& t, bool on) { t.reported_load_fraction = on ? size : 1; });
        case FaultKind::ConnectionLimit:
            return change_for(fault, [size](T& t, bool on) {
                t.max_connections = on ? static_cast<std::size_t>(size) : SIZE_MAX;
            });
        default:
            break;
    }
    const Micros now = loop_.clock().now();
    for (const std::size_t k : select_servers(fault)) {
        if (fault.kind == FaultKind::GradualSlowdown) {
            slow_down_gradually(fault, k, servers_[k].incarnation, now);
        } else if (fault.kind == FaultKind::NoisyNeighbour) {
            toggle_noisy_neighbour(fault, k, now + fault.duration, true);
        } else if (fault.kind == FaultKind::Flapping) {
            flap(fault, k, now + fault.duration,
                 std::make_shared<base::SequentialRandom>(
                     script_.seed, "flap/" + std::to_string(fault.line) + "/" + std::to_string(k)));
        } else if (fault.kind == FaultKind::Drain) {
            list_after_delay(k, 1us, true);
            schedule(fault.duration > 0us ? fault.duration
                                          : 3 * script_.instance_config.settings.drain_grace,
                     [this, k] { stop_server(k, false); });
        } else {  // a crash, also as part of the loss of a zone
            stop_server(k, fault.unlisted);
            if (fault.duration <= 0us) {
                continue;
            }
            schedule(fault.duration, [this, k, unlisted = fault.unlisted] {
                if (!servers_[k].server) {
                    restart_cold(k, unlisted);
                }
            });
        }
    }
}

void SimulatedFleet::inject_proxy_fault(const Fault& fault) {
    for (const std::size_t k : select_proxies(fault)) {
        const std::string& id = proxies_[k].plan.id;
        if (!proxies_[k].proxy) {
            continue;
        }
        if (fault.kind == FaultKind::StreamsBreak) {
            perform({.kind = FaultActionKind::BreakStream, .target = id});
        } else if (fault.kind == FaultKind::ProxyCrash) {
            perform({.kind = FaultActionKind::StopProxy, .target = id});
            schedule(fault.duration, [this, k] {
                if (!proxies_[k].proxy) {
                    perform({.kind = FaultActionKind::StartProxy, .target = proxies_[k].plan.id});
                }
            });
        } else {
            const auto kind = fault.kind == FaultKind::ProxyStall ? FaultActionKind::StallProxy
                                                                  : FaultActionKind::IsolateProxy;
            perform({.kind = kind, .target = id, .enabled = true});
            schedule(fault.duration, [this, k, kind] {
                if (proxies_[k].proxy) {
                    perform({.kind = kind, .target = proxies_[k].plan.id, .enabled = false});
                }
            });
        }
    }
}

void SimulatedFleet::lose_zone(const Fault& fault) {
    for (auto& server : servers_) {
        if (server.settings.zone != fault.target_name) {
            continue;
        }
        Fault crash = fault;
        crash.kind = FaultKind::Crash;
        crash.target_name = server.settings.id;
        inject_server_fault(crash);
    }
    for (std::size_t k = 0; fault.with_proxies && k < proxies_.size(); ++k) {
        if (proxies_[k].plan.zone != fault.target_name) {
            continue;
        }
        perform({.kind = FaultActionKind::StopProxy, .target = proxies_[k].plan.id});
        schedule(fault.duration, [this, k] {
            if (!proxies_[k].proxy) {
                perform({.kind = FaultActionKind::StartProxy, .target = proxies_[k].plan.id});
            }
        });
    }
    for (std::size_t k = 0; fault.with_instances && k < instances_.size(); ++k) {
        if (instances_[k].zone == fault.target_name) {
            crash_instance(k, fault.duration);
        }
    }
}

void SimulatedFleet::crash_instance(std::size_t k, Micros lasts) {
    perform({.kind = FaultActionKind::StopInstance, .target = instances_[k].name});
    schedule(lasts, [this, k] {
        if (!instances_[k].xds_server) {
            perform({.kind = FaultActionKind::StartInstance, .target = instances_[k].name});
        }
    });
}

void SimulatedFleet::inject(const Fault& fault) {
    using enum FaultActionKind;
    log::Logger(log_, "day").info("trouble", {{"kind", fault.name}, {"line", fault.line}});
    if (on_fault) {
        on_fault(loop_.clock().now(), fault);
    }
    // Carries out `action` now and its reversal at the end of the fault.
    const auto for_a_while = [&](FaultAction action, FaultAction back) {
        perform(action);
        schedule(fault.duration, [this, back = std::move(back)] { perform(back); });
    };
    switch (fault.kind) {
        case FaultKind::ZoneCut:
            return for_a_while(
                {.kind = PartitionZone, .target = fault.target_name, .enabled = true},
                {.kind = PartitionZone, .target = fault.target_name});
        case FaultKind::SlowLink:
            return for_a_while({.kind = DelayZone,
                                .target = fault.target_name,
                                .magnitude = fault.magnitude,
                                .duration = fault.delay},
                               {.kind = DelayZone, .target = fault.target_name});
        case FaultKind::ZoneLoss:
            return lose_zone(fault);
        case FaultKind::SlowChannel:
            return for_a_while({.kind = SlowChannels, .magnitude = fault.magnitude},
                               {.kind = SlowChannels, .magnitude = 1});
        case FaultKind::StreamsBreak:
        case FaultKind::InstancesUnreachable:
        case FaultKind::ProxyStall:
        case FaultKind::ProxyCrash:
            return inject_proxy_fault(fault);
        case FaultKind::InstanceCrash:
            return crash_instance(static_cast<std::size_t>(std::stoi(fault.target_name)),
                                  fault.duration);
        case FaultKind::StaleList:
            return for_a_while(
                {.kind = ServeStaleList, .enabled = true, .magnitude = fault.magnitude},
                {.kind = ServeStaleList});
        case FaultKind::AddServers:
            for (int n = 0; n < std::max(1, fault.target_count); ++n) {
                const std::size_t k = servers_.size();
                const auto settings = draw_server_settings(k);
                perform({.kind = AddServer, .target = settings.id, .server_settings = settings});
                restart_cold(k, false);
            }
            return;
        case FaultKind::RegistryHang:
            return for_a_while({.kind = HangRegistry, .enabled = true}, {.kind = HangRegistry});
        case FaultKind::RegistryRestart:
            return perform({.kind = RestartRegistry, .enabled = fault.mode != "empty"});
        case FaultKind::RegistryGarbage:
            return for_a_while({.kind = CorruptRegistry, .text = "{\"registry\": 7, "},
                               {.kind = CorruptRegistry});
        case FaultKind::ShortAttemptTimeouts:
            return perform({.kind = FaultActionKind::ShortenAttemptTimeouts,
                            .magnitude = fault.magnitude,
                            .duration = fault.duration});
        // Part of the generated traffic.
        case FaultKind::Burst:
        case FaultKind::Shift:
            return;
        default:
            return inject_server_fault(fault);
    }
}

}  // namespace badgergrade::scenario
