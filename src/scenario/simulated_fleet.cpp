#include "scenario/simulated_fleet.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace badgergrade::scenario {

using namespace std::chrono_literals;

namespace {

// Actors by kind, so that ties at one moment go: troubles, registry, governors, workers,
// forwarders, clients.
constexpr std::uint32_t kTroubles = 2, kRegistry = 3, kGovernors = 10, kWorkers = 1000,
                        kForwarders = 100000, kClients = 200000;

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
                                                               const RecordedScenario* given) {
    std::map<std::string, std::string> out;
    if (given) {
        for (const TimedFaultAction& move : given->actions) {
            if (move.action.kind == FaultActionKind::AddProxy) {
                out[move.action.target] = move.action.text;
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
                               const std::vector<testbed::Observer*>& watchers,
                               const RecordedScenario* given)
    : loop_(loop),
      script_(script),
      given_(given),
      log_(log),
      weather_(loop.clock(), script, script.seed),
      begin_(loop.clock().now()),
      chance_(script.seed, "world") {
    watchers_.observers = watchers;
    loop_.weather = &weather_;
    loop_.keeps_ledger = true;
    for (const Operation& op : script.instance_config.settings.operations) {
        operations_.push_back(op.name);
    }
    registry_port_ = std::make_unique<net::PortHold>(loop);
    registry_ = std::make_unique<testbed::FakeRegistry>(loop, actor(kRegistry), "registry",
                                                        registry_port_->address(), &watchers_);
}

SimulatedFleet::~SimulatedFleet() {
    timers_.clear();
    forwarders_.clear();
    governors_.clear();
    workers_.clear();
    registry_.reset();
    loop_.weather = nullptr;
}

void SimulatedFleet::later(Micros delay, std::function<void()> what) {
    const std::uint64_t id = ++timer_ids_;
    auto& timer = timers_.try_emplace(id, loop_.clock(), actor(kTroubles)).first->second;
    timer.after(delay, [this, id, what = std::move(what)] {
        const auto run = what;
        timers_.erase(id);
        ++step_;
        run();
    });
}

void SimulatedFleet::start() {
    opening_ = true;
    if (given_) {
        open_given();
    } else {
        open_script();
    }
    opening_ = false;
}

void SimulatedFleet::open_script() {
    using enum FaultActionKind;
    for (std::size_t k = 0; k < static_cast<std::size_t>(script_.server_count); ++k) {
        const auto settings = draw_worker(k);
        make({.kind = AddServer, .target = settings.id, .server_settings = settings});
        make({.kind = StartServer, .target = settings.id});
        make({.kind = ListServer, .target = settings.id});
    }
    for (std::size_t k = 0; k < static_cast<std::size_t>(script_.instance_count); ++k) {
        add_governor(k);
        make({.kind = StartInstance, .target = governors_[k].name});
    }
    const auto plans = plan_proxies(script_);
    for (const auto& plan : plans) {
        make({.kind = AddProxy,
              .target = plan.id,
              .magnitude = plan.invocations_per_second,
              .text = plan.zone});
    }
    for (const auto& plan : plans) {
        make({.kind = StartProxy, .target = plan.id});
    }
    add_clients(generate_traffic(script_, plans, begin_));
    for (const Fault& trouble : script_.faults) {
        later(trouble.begin, [this, &trouble] { strike(trouble); });
    }
}

void SimulatedFleet::open_given() {
    for (std::size_t k = 0; k < static_cast<std::size_t>(script_.instance_count); ++k) {
        add_governor(k);
    }
    for (const TimedFaultAction& move : given_->actions) {
        if (move.initial) {
            make(move.action);
        }
    }
    auto traffic = given_->traffic;
    for (auto& [forwarder, list] : traffic) {
        for (auto& one : list) {
            one.arrived_at += begin_;
        }
    }
    add_clients(std::move(traffic));
    // What was done in one step is done in one step again: nothing comes in between.
    for (auto first = given_->actions.begin(); first != given_->actions.end();) {
        auto end = std::next(first);
        while (end != given_->actions.end() && end->same_step && end->at == first->at) {
            ++end;
        }
        if (!first->initial) {
            later(first->at, [this, first, end] {
                for (auto move = first; move != end; ++move) {
                    make(move->action);
                }
            });
        }
        first = end;
    }
}

void SimulatedFleet::add_governor(std::size_t k) {
    GovernorSlot slot;
    slot.name = "governor-" + std::to_string(k);
    slot.zone = script_.instance_config.zones[k % script_.instance_config.zones.size()];
    slot.port = std::make_unique<net::PortHold>(loop_);
    weather_.set_zone(slot.name, slot.zone);
    weather_.add_instance(slot.name);
    governors_.push_back(std::move(slot));
}

void SimulatedFleet::add_forwarder(const ProxyPlan& plan) {
    ForwarderSlot slot;
    slot.plan = plan;
    slot.port = std::make_unique<net::PortHold>(loop_);
    weather_.set_zone(plan.id, plan.zone);
    weather_.add_proxy(plan.id);
    forwarders_.push_back(std::move(slot));
}

std::vector<testbed::FakeClientSettings::AttemptTimeoutOverride> SimulatedFleet::gives_up() const {
    std::vector<testbed::FakeClientSettings::AttemptTimeoutOverride> out;
    if (given_) {
        for (const TimedFaultAction& move : given_->actions) {
            if (move.action.kind == FaultActionKind::ShortenAttemptTimeouts) {
                out.push_back({begin_ + move.at, begin_ + move.at + move.action.duration,
                               move.action.magnitude});
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
    clients.attempt_timeout_overrides = gives_up();
    for (std::size_t k = 0; k < forwarders_.size(); ++k) {
        ForwarderSlot& slot = forwarders_[k];
        const std::string client = numbered_name("client", k);
        weather_.set_zone(client, slot.plan.zone);
        slot.client = std::make_unique<testbed::FakeClient>(
            loop_, actor(kClients, k), client, clients, slot.port->address(),
            std::move(traffic[slot.plan.id]), &watchers_);
    }
}

// ---- moves

void SimulatedFleet::make(const FaultAction& move) {
    if (on_action) {
        on_action(loop_.clock().now(), opening_, moved_step_ == step_, move);
    }
    moved_step_ = step_;
    apply(move);
}

namespace {
template <class Slots, class Name>
std::size_t called(const Slots& slots, const std::string& id, Name name) {
    const auto it = std::find_if(slots.begin(), slots.end(),
                                 [&](const auto& slot) { return name(slot) == id; });
    if (it == slots.end()) {
        throw std::runtime_error("a move names '" + id + "', which this day does not have");
    }
    return static_cast<std::size_t>(it - slots.begin());
}
}  // namespace

std::size_t SimulatedFleet::worker_called(const std::string& id) const {
    return called(workers_, id, [](const WorkerSlot& slot) { return slot.settings.id; });
}

std::size_t SimulatedFleet::forwarder_called(const std::string& id) const {
    return called(forwarders_, id, [](const ForwarderSlot& slot) { return slot.plan.id; });
}

std::size_t SimulatedFleet::governor_called(const std::string& id) const {
    return called(governors_, id, [](const GovernorSlot& slot) { return slot.name; });
}

void SimulatedFleet::apply(const FaultAction& move) {
    using enum FaultActionKind;
    switch (move.kind) {
        case AddServer:
            return add_worker(move.server_settings);
        case AddProxy:
            return add_forwarder({move.target, move.text, 1, move.magnitude});
        case StartServer:
        case StopServer:
        case ListServer:
        case UnlistServer:
        case SetServerFault:
            return apply_to_worker(move);
        case PartitionZone:
            return weather_.set_partitioned(move.target, move.enabled);
        case DelayZone:
            return weather_.set_zone_delay(move.target, {move.duration, move.magnitude});
        case StartProxy:
        case StopProxy:
        case BreakStream:
        case IsolateProxy:
        case StallProxy:
            return apply_to_forwarder(move);
        case StartInstance:
            return start_governor(governor_called(move.target));
        case StopInstance:
            return stop_governor(governor_called(move.target));
        case SlowChannels:
            return pace_channels(move.magnitude);
        case HangRegistry:
            return registry_->set_hanging(move.enabled);
        case RestartRegistry:
            return registry_->restart(move.enabled);
        case CorruptRegistry:
            return void(registry_->malformed_response = move.text);
        case ServeStaleList:
            return show_old_list(move.enabled, move.magnitude);
        case ShortenAttemptTimeouts:
            return;  // the clients know it from the beginning
    }
}

void SimulatedFleet::apply_to_worker(const FaultAction& move) {
    const std::size_t k = worker_called(move.target);
    switch (move.kind) {
        case FaultActionKind::StartServer:
            return start_worker(k, move.enabled);
        case FaultActionKind::StopServer:
            return workers_[k].worker.reset();
        case FaultActionKind::ListServer:
            return put_on_list(k, move.enabled);
        case FaultActionKind::UnlistServer:
            registry_->remove(move.target);
            list_history_[loop_.clock().now()] = registry_->entries();
            return;
        default:
            if (workers_[k].worker) {
                workers_[k].worker->fault = move.server_fault;
            }
    }
}

void SimulatedFleet::apply_to_forwarder(const FaultAction& move) {
    const std::size_t k = forwarder_called(move.target);
    if (move.kind == FaultActionKind::StartProxy) {
        return start_forwarder(k);
    }
    const auto& forwarder = forwarders_[k].forwarder;
    if (!forwarder) {
        return;
    }
    if (move.kind == FaultActionKind::StopProxy) {
        forwarders_[k].forwarder.reset();
    } else if (move.kind == FaultActionKind::BreakStream) {
        forwarder->break_stream();
    } else if (move.kind == FaultActionKind::IsolateProxy) {
        forwarder->set_isolated(move.enabled);
    } else {
        forwarder->set_stalled(move.enabled);
    }
}

// The list as it stood so many seconds before.
void SimulatedFleet::show_old_list(bool on, double seconds_back) {
    if (!on) {
        return registry_->serve_instead(std::nullopt);
    }
    const Micros then = loop_.clock().now() - Micros(std::llround(seconds_back * 1e6));
    auto at = list_history_.upper_bound(then);
    if (at != list_history_.begin()) {
        --at;
    }
    if (at != list_history_.end()) {
        registry_->serve_instead(at->second);
    }
}

void SimulatedFleet::pace_channels(double slower) {
    for (auto& slot : governors_) {
        if (slot.service) {
            slot.service->set_send_pace(1 / slower);
        }
    }
    if (on_channels_slowed) {
        on_channels_slowed(slower);
    }
}

// ---- workers

testbed::FakeServerSettings SimulatedFleet::draw_worker(std::size_t k) const {
    base::SequentialRandom chance(script_.seed, "worker/" + std::to_string(k));
    const Settings& told = script_.instance_config.settings;
    double shares = 0;
    for (const auto& kind : script_.machine_kinds) {
        shares += kind.share;
    }
    double draw = chance.part() * shares;
    std::size_t which = 0;
    while (which + 1 < script_.machine_kinds.size() &&
           (draw -= script_.machine_kinds[which].share) >= 0) {
        ++which;
    }
    const MachineKind& kind = script_.machine_kinds[which];
    testbed::FakeServerSettings s;
    s.id = numbered_name("worker", k);
    s.zone = script_.instance_config.zones[k % script_.instance_config.zones.size()];
    s.cores = kind.cores;
    s.speed = chance.between(kind.speed.low, kind.speed.high);
    s.max_queued_per_core = static_cast<std::size_t>(
        std::llround(chance.between(kind.max_queued_per_core.low, kind.max_queued_per_core.high)));
    s.max_connections = static_cast<std::size_t>(
        std::llround(chance.between(kind.max_connections.low, kind.max_connections.high)));
    s.handshake_work = Micros(std::llround(chance.between(8000, 15000)));
    // What the settings tell of cold servers is the least that holds.
    s.initial_capacity_fraction =
        std::min(1.0, told.initial_capacity_fraction * chance.between(1, 1.5));
    s.warm_up_time = Micros(
        std::llround(static_cast<double>(told.slow_start_window.count()) * chance.between(0.7, 1)));
    s.collapse_factor = told.overload_collapse_factor;
    s.collapse_window = told.overload_collapse_time;
    s.cache_saving_fraction = script_.cache_saving_fraction;
    s.cache_ttl = script_.cache_ttl;
    s.reports_load = !told.load_metric_names.empty();
    s.load_report_interval = Micros(std::llround(chance.between(300e3, 1000e3)));
    return s;
}

void SimulatedFleet::add_worker(const testbed::FakeServerSettings& settings) {
    WorkerSlot slot;
    slot.settings = settings;
    slot.port = std::make_unique<net::PortHold>(loop_);
    slot.settings.listen = slot.port->address();
    weather_.set_zone(settings.id, settings.zone);
    workers_.push_back(std::move(slot));
}

void SimulatedFleet::start_worker(std::size_t k, bool cold) {
    WorkerSlot& slot = workers_[k];
    slot.worker.reset();
    ++slot.incarnation;
    slot.started = cold ? loop_.clock().now() : 0us;
    testbed::FakeServerSettings settings = slot.settings;
    settings.id += "/" + std::to_string(slot.incarnation);
    weather_.set_zone(settings.id, settings.zone);
    server_names_[settings.listen] = settings.id;
    slot.worker = std::make_unique<testbed::FakeServer>(loop_, actor(kWorkers, k), settings,
                                                        base::seed_for(script_.seed, settings.id),
                                                        &watchers_, cold, operations_);
}

void SimulatedFleet::stop_worker(std::size_t k, bool unlisted) {
    WorkerSlot& slot = workers_[k];
    if (!slot.worker) {
        return;
    }
    make({.kind = FaultActionKind::StopServer, .target = slot.settings.id});
    if (unlisted) {
        return;
    }
    const Micros delay(
        std::llround(chance_.between(script_.unlist_delay_us.low, script_.unlist_delay_us.high)));
    later(delay, [this, k, incarnation = slot.incarnation] {
        // Back before the list noticed: its new start is listed instead.
        if (workers_[k].incarnation != incarnation || workers_[k].worker) {
            return;
        }
        make({.kind = FaultActionKind::UnlistServer, .target = workers_[k].settings.id});
    });
}

// A cold start, which the list tells of a while later.
void SimulatedFleet::bring_back(std::size_t k, bool unlisted) {
    make(
        {.kind = FaultActionKind::StartServer, .target = workers_[k].settings.id, .enabled = true});
    if (!unlisted) {
        list_worker(k, Micros(std::llround(chance_.between(script_.list_delay_us.low,
                                                           script_.list_delay_us.high))));
    }
}

void SimulatedFleet::list_worker(std::size_t k, Micros delay, bool draining) {
    later(delay, [this, k, draining, incarnation = workers_[k].incarnation] {
        const WorkerSlot& slot = workers_[k];
        if (slot.incarnation == incarnation && slot.worker) {
            make({.kind = FaultActionKind::ListServer,
                  .target = slot.settings.id,
                  .enabled = draining});
        }
    });
}

void SimulatedFleet::put_on_list(std::size_t k, bool draining) {
    const WorkerSlot& slot = workers_[k];
    testbed::FakeRegistry::Entry row;
    row.server.id = slot.settings.id;
    row.server.zone = slot.settings.zone;
    row.server.address = slot.settings.listen;
    row.server.incarnation = std::to_string(slot.incarnation);
    row.server.state = draining ? ServerState::Draining : ServerState::Ready;
    // The size as registered, roughly.
    row.server.weight = std::round(slot.settings.cores * slot.settings.speed * 4) / 4;
    row.started_at = slot.started;
    registry_->put(row);
    list_history_[loop_.clock().now()] = registry_->entries();
}

// ---- governors and forwarders

void SimulatedFleet::start_governor(std::size_t k) {
    stop_governor(k);
    GovernorSlot& slot = governors_[k];
    config::InstanceConfig config = script_.instance_config;
    config.id = slot.name;
    config.seed = base::seed_for(script_.seed, slot.name + "/" + std::to_string(slot.life)) >> 12;
    config.settings.ordinal = static_cast<int>(k);
    config.settings.instance_count = script_.instance_count;
    const auto at = std::find(config.zones.begin(), config.zones.end(), slot.zone);
    config.settings.zone = {static_cast<int>(at - config.zones.begin())};
    config.xds_address = net::to_text(slot.port->address());
    config.registry_address = net::to_text(registry_port_->address());
    slot.service = std::make_unique<xds_server::XdsServer>(
        loop_, actor(kGovernors, k), config, log_, "life-" + std::to_string(++slot.life));
    if (instance_observer) {
        slot.service->set_observer(*instance_observer);
    }
    slot.service->alter_commands_for_test = [this, k](Micros now, std::vector<Command>& actions) {
        if (alter_commands_for_test) {
            alter_commands_for_test(static_cast<int>(k), *governors_[k].service, now, actions);
        }
    };
}

void SimulatedFleet::stop_governor(std::size_t k) {
    GovernorSlot& slot = governors_[k];
    if (!slot.service) {
        return;
    }
    slot.past += slot.service->metrics();
    slot.service.reset();
}

std::vector<xds_server::XdsServerMetrics> SimulatedFleet::instance_metrics() const {
    std::vector<xds_server::XdsServerMetrics> out;
    for (const GovernorSlot& slot : governors_) {
        xds_server::XdsServerMetrics sum = slot.past;
        if (slot.service) {
            sum += slot.service->metrics();
        }
        out.push_back(sum);
    }
    return out;
}

std::vector<xds::TableEndpoint> SimulatedFleet::draw_startup(const std::string& zone,
                                                             base::SequentialRandom& chance) const {
    std::vector<xds::TableEndpoint> here;
    std::vector<xds::TableEndpoint> all;
    for (const auto& [id, row] : registry_->entries()) {
        if (row.server.state != ServerState::Ready) {
            continue;
        }
        const xds::TableEndpoint line{row.server.address, row.server.zone, 1, false};
        all.push_back(line);
        if (row.server.zone == zone) {
            here.push_back(line);
        }
    }
    auto& from = here.size() >= 3 ? here : all;
    std::vector<xds::TableEndpoint> out;
    while (!from.empty() && out.size() < static_cast<std::size_t>(script_.startup_table_size)) {
        const std::size_t k = chance.below(from.size());
        out.push_back(from[k]);
        from.erase(from.begin() + static_cast<std::ptrdiff_t>(k));
    }
    return out;
}

void SimulatedFleet::start_forwarder(std::size_t k) {
    ForwarderSlot& slot = forwarders_[k];
    slot.forwarder.reset();
    ++slot.starts;
    const Settings& told = script_.instance_config.settings;
    base::SequentialRandom chance(script_.seed,
                                  slot.plan.id + "/start/" + std::to_string(slot.starts));
    testbed::FakeProxySettings s;
    s.id = slot.plan.id;
    s.zone = slot.plan.zone;
    s.invocations_per_second = slot.plan.invocations_per_second;
    s.listen = slot.port->address();
    s.operations = told.operations;
    // Its own zone's governor first, the others in order.
    std::vector<std::size_t> order;
    for (std::size_t g = 0; g < governors_.size(); ++g) {
        if (governors_[g].zone == slot.plan.zone) {
            order.push_back(g);
        }
    }
    const std::size_t first = chance.below(governors_.size());
    for (std::size_t g = 0; g < governors_.size(); ++g) {
        const std::size_t next = (first + g) % governors_.size();
        if (std::find(order.begin(), order.end(), next) == order.end()) {
            order.push_back(next);
        }
    }
    for (const std::size_t g : order) {
        s.instance_addresses.push_back(governors_[g].port->address());
        s.instance_names.push_back(governors_[g].name);
    }
    s.startup_table = draw_startup(slot.plan.zone, chance);
    s.load_balancing_policy = told.load_balancing_policy;
    s.retry_mode = told.default_retry_mode;
    s.ejection_failures = told.proxy_ejection_failures;
    s.ejection_time = script_.instance_config.ejection_time;
    s.connect_timeout = 250ms;
    s.dial_timeout = 1s;
    s.connection_idle_timeout = told.connection_idle_timeout;
    s.min_reconnect_delay = Micros(std::llround(script_.reconnect_delay_us.low));
    s.max_reconnect_delay = Micros(std::llround(script_.reconnect_delay_us.high));
    // A cut way shows only by silence.
    s.keepalive_interval = 1s;
    slot.forwarder = std::make_unique<testbed::FakeProxy>(
        loop_, actor(kForwarders, k), s,
        base::seed_for(script_.seed, "start/" + std::to_string(slot.starts)), &watchers_,
        &server_names_);
    if (on_proxy_created) {
        on_proxy_created(*slot.forwarder);
    }
}

// ---- troubles

namespace {
// So many of a row, or a part of it, drawn by chance; in the order of the row.
std::vector<std::size_t> drawn(std::vector<std::size_t> from, double part, int count,
                               base::SequentialRandom& chance) {
    const auto wanted =
        count > 0 ? static_cast<std::size_t>(count)
                  : static_cast<std::size_t>(std::ceil(part * static_cast<double>(from.size())));
    std::vector<std::size_t> out;
    while (!from.empty() && out.size() < wanted) {
        const std::size_t k = chance.below(from.size());
        out.push_back(from[k]);
        from.erase(from.begin() + static_cast<std::ptrdiff_t>(k));
    }
    std::sort(out.begin(), out.end());
    return out;
}
}  // namespace

std::vector<std::size_t> SimulatedFleet::struck_workers(const Fault& trouble) {
    std::vector<std::size_t> from;
    for (std::size_t k = 0; k < workers_.size(); ++k) {
        if (!trouble.target_name.empty() && workers_[k].settings.id != trouble.target_name) {
            continue;
        }
        if (workers_[k].worker) {
            from.push_back(k);
        }
    }
    if (!trouble.target_name.empty()) {
        return from;
    }
    base::SequentialRandom chance(script_.seed, "struck/" + std::to_string(trouble.line));
    return drawn(std::move(from), trouble.target_fraction, trouble.target_count, chance);
}

std::vector<std::size_t> SimulatedFleet::struck_forwarders(const Fault& trouble) {
    std::vector<std::size_t> from;
    for (std::size_t k = 0; k < forwarders_.size(); ++k) {
        if (trouble.target_name.empty() || forwarders_[k].plan.id == trouble.target_name) {
            from.push_back(k);
        }
    }
    if (!trouble.target_name.empty()) {
        return from;
    }
    base::SequentialRandom chance(script_.seed, "struck/" + std::to_string(trouble.line));
    return drawn(std::move(from), trouble.target_fraction, trouble.target_count, chance);
}

void SimulatedFleet::trouble_worker(std::size_t k,
                                    const std::function<void(testbed::ServerFault&)>& change) {
    FaultAction move{.kind = FaultActionKind::SetServerFault,
                     .target = workers_[k].settings.id,
                     .server_fault = workers_[k].worker->fault};
    change(move.server_fault);
    make(move);
}

// Changes those struck, and back when the trouble is over (unless they died meanwhile).
void SimulatedFleet::each_worker(const Fault& trouble,
                                 const std::function<void(testbed::ServerFault&, bool)>& change) {
    for (const std::size_t k : struck_workers(trouble)) {
        trouble_worker(k, [&](testbed::ServerFault& t) { change(t, true); });
        later(trouble.duration, [this, k, change, incarnation = workers_[k].incarnation] {
            if (workers_[k].worker && workers_[k].incarnation == incarnation) {
                trouble_worker(k, [&](testbed::ServerFault& t) { change(t, false); });
            }
        });
    }
}

void SimulatedFleet::flap(const Fault& trouble, std::size_t k, Micros end,
                          std::shared_ptr<base::SequentialRandom> chance) {
    const Micros now = loop_.clock().now();
    if (now >= end) {
        return;
    }
    const double turn = static_cast<double>(trouble.period.count()) * chance->between(0.7, 1.3);
    const Micros up(std::llround(turn * (1 - trouble.magnitude)));
    const Micros down(std::llround(turn * trouble.magnitude));
    later(up, [this, &trouble, k, end, chance, down] {
        if (loop_.clock().now() >= end || !workers_[k].worker) {
            return;
        }
        if (trouble.mode == "hang" || trouble.mode == "errors") {
            trouble_worker(k, [&](testbed::ServerFault& t) {
                trouble.mode == "hang" ? void(t.hangs = true) : void(t.error_fraction = 0.95);
            });
            later(down, [this, &trouble, k, end, chance, incarnation = workers_[k].incarnation] {
                if (!workers_[k].worker || workers_[k].incarnation != incarnation) {
                    return;
                }
                trouble_worker(k, [](testbed::ServerFault& t) { t = {}; });
                flap(trouble, k, end, chance);
            });
            return;
        }
        stop_worker(k, trouble.unlisted);
        later(down, [this, &trouble, k, end, chance] {
            if (workers_[k].worker) {
                return;
            }
            bring_back(k, trouble.unlisted);
            flap(trouble, k, end, chance);
        });
    });
}

void SimulatedFleet::age(const Fault& trouble, std::size_t k, int incarnation, Micros began) {
    WorkerSlot& slot = workers_[k];
    if (!slot.worker || slot.incarnation != incarnation) {
        return;
    }
    const double part = static_cast<double>((loop_.clock().now() - began).count()) /
                        static_cast<double>(trouble.duration.count());
    if (part < 1) {
        trouble_worker(k, [&](testbed::ServerFault& t) {
            t.slowdown_factor = 1 + (trouble.magnitude - 1) * part;
        });
        later(500ms,
              [this, &trouble, k, incarnation, began] { age(trouble, k, incarnation, began); });
        return;
    }
    stop_worker(k, false);
    later(trouble.downtime > 0us ? trouble.downtime : Micros{5s}, [this, k] {
        if (!workers_[k].worker) {
            bring_back(k, false);
        }
    });
}

void SimulatedFleet::strike_neighbour(const Fault& trouble, std::size_t k, Micros end, bool on) {
    if (!workers_[k].worker) {
        return;
    }
    const bool over = loop_.clock().now() >= end;
    trouble_worker(k, [&](testbed::ServerFault& t) {
        t.stolen_cpu_fraction = on && !over ? trouble.magnitude : 0;
    });
    if (over) {
        return;
    }
    const Micros turn = trouble.period > 0us ? trouble.period : trouble.duration;
    later(std::min(turn, end - loop_.clock().now()),
          [this, &trouble, k, end, on] { strike_neighbour(trouble, k, end, !on); });
}

void SimulatedFleet::strike_workers(const Fault& trouble) {
    using T = testbed::ServerFault;
    const double by = trouble.magnitude;
    switch (trouble.kind) {
        case FaultKind::Hang:
            return each_worker(trouble, [](T& t, bool on) { t.hangs = on; });
        case FaultKind::FastErrors:
            return each_worker(trouble, [by](T& t, bool on) { t.error_fraction = on ? by : 0; });
        case FaultKind::Slow:
            return each_worker(trouble, [by](T& t, bool on) { t.slowdown_factor = on ? by : 1; });
        case FaultKind::ResponsesLost:
            return each_worker(trouble,
                               [by](T& t, bool on) { t.lost_response_fraction = on ? by : 0; });
        case FaultKind::LoadUnderreported:
            return each_worker(trouble,
                               [by](T& t, bool on) { t.reported_load_fraction = on ? by : 1; });
        case FaultKind::ConnectionLimit:
            return each_worker(trouble, [by](T& t, bool on) {
                t.max_connections = on ? static_cast<std::size_t>(by) : SIZE_MAX;
            });
        default:
            break;
    }
    const Micros now = loop_.clock().now();
    for (const std::size_t k : struck_workers(trouble)) {
        if (trouble.kind == FaultKind::GradualSlowdown) {
            age(trouble, k, workers_[k].incarnation, now);
        } else if (trouble.kind == FaultKind::NoisyNeighbour) {
            strike_neighbour(trouble, k, now + trouble.duration, true);
        } else if (trouble.kind == FaultKind::Flapping) {
            flap(trouble, k, now + trouble.duration,
                 std::make_shared<base::SequentialRandom>(
                     script_.seed,
                     "flap/" + std::to_string(trouble.line) + "/" + std::to_string(k)));
        } else if (trouble.kind == FaultKind::Drain) {
            list_worker(k, 1us, true);
            later(trouble.duration > 0us ? trouble.duration
                                         : 3 * script_.instance_config.settings.drain_grace,
                  [this, k] { stop_worker(k, false); });
        } else {  // crash, and a whole zone lost
            stop_worker(k, trouble.unlisted);
            if (trouble.duration <= 0us) {
                continue;
            }
            later(trouble.duration, [this, k, unlisted = trouble.unlisted] {
                if (!workers_[k].worker) {
                    bring_back(k, unlisted);
                }
            });
        }
    }
}

void SimulatedFleet::strike_forwarders(const Fault& trouble) {
    for (const std::size_t k : struck_forwarders(trouble)) {
        const std::string& id = forwarders_[k].plan.id;
        if (!forwarders_[k].forwarder) {
            continue;
        }
        if (trouble.kind == FaultKind::StreamsBreak) {
            make({.kind = FaultActionKind::BreakStream, .target = id});
        } else if (trouble.kind == FaultKind::ProxyCrash) {
            make({.kind = FaultActionKind::StopProxy, .target = id});
            later(trouble.duration, [this, k] {
                if (!forwarders_[k].forwarder) {
                    make({.kind = FaultActionKind::StartProxy, .target = forwarders_[k].plan.id});
                }
            });
        } else {
            const auto kind = trouble.kind == FaultKind::ProxyStall ? FaultActionKind::StallProxy
                                                                    : FaultActionKind::IsolateProxy;
            make({.kind = kind, .target = id, .enabled = true});
            later(trouble.duration, [this, k, kind] {
                if (forwarders_[k].forwarder) {
                    make({.kind = kind, .target = forwarders_[k].plan.id, .enabled = false});
                }
            });
        }
    }
}

void SimulatedFleet::lose_zone(const Fault& trouble) {
    for (auto& worker : workers_) {
        if (worker.settings.zone != trouble.target_name) {
            continue;
        }
        Fault one = trouble;
        one.kind = FaultKind::Crash;
        one.target_name = worker.settings.id;
        strike_workers(one);
    }
    for (std::size_t k = 0; trouble.with_proxies && k < forwarders_.size(); ++k) {
        if (forwarders_[k].plan.zone != trouble.target_name) {
            continue;
        }
        make({.kind = FaultActionKind::StopProxy, .target = forwarders_[k].plan.id});
        later(trouble.duration, [this, k] {
            if (!forwarders_[k].forwarder) {
                make({.kind = FaultActionKind::StartProxy, .target = forwarders_[k].plan.id});
            }
        });
    }
    for (std::size_t k = 0; trouble.with_instances && k < governors_.size(); ++k) {
        if (governors_[k].zone == trouble.target_name) {
            crash_governor(k, trouble.duration);
        }
    }
}

void SimulatedFleet::crash_governor(std::size_t k, Micros lasts) {
    make({.kind = FaultActionKind::StopInstance, .target = governors_[k].name});
    later(lasts, [this, k] {
        if (!governors_[k].service) {
            make({.kind = FaultActionKind::StartInstance, .target = governors_[k].name});
        }
    });
}

void SimulatedFleet::strike(const Fault& trouble) {
    using enum FaultActionKind;
    log::Logger(log_, "day").info("trouble", {{"kind", trouble.name}, {"line", trouble.line}});
    if (on_fault) {
        on_fault(loop_.clock().now(), trouble);
    }
    // Now, and the opposite when the trouble is over.
    const auto for_a_while = [&](FaultAction move, FaultAction back) {
        make(move);
        later(trouble.duration, [this, back = std::move(back)] { make(back); });
    };
    switch (trouble.kind) {
        case FaultKind::ZoneCut:
            return for_a_while(
                {.kind = PartitionZone, .target = trouble.target_name, .enabled = true},
                {.kind = PartitionZone, .target = trouble.target_name});
        case FaultKind::SlowLink:
            return for_a_while({.kind = DelayZone,
                                .target = trouble.target_name,
                                .magnitude = trouble.magnitude,
                                .duration = trouble.delay},
                               {.kind = DelayZone, .target = trouble.target_name});
        case FaultKind::ZoneLoss:
            return lose_zone(trouble);
        case FaultKind::SlowChannel:
            return for_a_while({.kind = SlowChannels, .magnitude = trouble.magnitude},
                               {.kind = SlowChannels, .magnitude = 1});
        case FaultKind::StreamsBreak:
        case FaultKind::InstancesUnreachable:
        case FaultKind::ProxyStall:
        case FaultKind::ProxyCrash:
            return strike_forwarders(trouble);
        case FaultKind::InstanceCrash:
            return crash_governor(static_cast<std::size_t>(std::stoi(trouble.target_name)),
                                  trouble.duration);
        case FaultKind::StaleList:
            return for_a_while(
                {.kind = ServeStaleList, .enabled = true, .magnitude = trouble.magnitude},
                {.kind = ServeStaleList});
        case FaultKind::AddServers:
            for (int n = 0; n < std::max(1, trouble.target_count); ++n) {
                const std::size_t k = workers_.size();
                const auto settings = draw_worker(k);
                make({.kind = AddServer, .target = settings.id, .server_settings = settings});
                bring_back(k, false);
            }
            return;
        case FaultKind::RegistryHang:
            return for_a_while({.kind = HangRegistry, .enabled = true}, {.kind = HangRegistry});
        case FaultKind::RegistryRestart:
            return make({.kind = RestartRegistry, .enabled = trouble.mode != "empty"});
        case FaultKind::RegistryGarbage:
            return for_a_while({.kind = CorruptRegistry, .text = "{\"registry\": 7, "},
                               {.kind = CorruptRegistry});
        case FaultKind::ShortAttemptTimeouts:
            return make({.kind = FaultActionKind::ShortenAttemptTimeouts,
                         .magnitude = trouble.magnitude,
                         .duration = trouble.duration});
        // Drawn into the traffic beforehand.
        case FaultKind::Burst:
        case FaultKind::Shift:
            return;
        default:
            return strike_workers(trouble);
    }
}

}  // namespace badgergrade::scenario
