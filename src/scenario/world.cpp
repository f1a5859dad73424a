#include "scenario/world.h"

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

std::map<std::string, std::string> World::forwarder_zones(const DayScript& script,
                                                          const GivenWorld* given) {
    std::map<std::string, std::string> out;
    if (given) {
        for (const TimedMove& move : given->moves) {
            if (move.what.kind == MoveKind::AddForwarder) {
                out[move.what.who] = move.what.text;
            }
        }
        return out;
    }
    for (const auto& plan : plan_forwarders(script)) {
        out[plan.id] = plan.zone;
    }
    return out;
}

World::World(net::Loop& loop, const DayScript& script, log::Log& log,
             const std::vector<testbed::Observer*>& watchers, const GivenWorld* given)
    : loop_(loop),
      script_(script),
      given_(given),
      log_(log),
      weather_(loop.clock(), script, script.seed),
      begin_(loop.clock().now()),
      chance_(script.seed, "world") {
    watchers_.all = watchers;
    loop_.weather = &weather_;
    loop_.keeps_ledger = true;
    for (const Operation& op : script.governor.settings.operations) {
        operations_.push_back(op.name);
    }
    registry_port_ = std::make_unique<net::PortHold>(loop);
    registry_ = std::make_unique<testbed::Registry>(loop, actor(kRegistry), "registry",
                                                    registry_port_->address(), &watchers_);
}

World::~World() {
    timers_.clear();
    forwarders_.clear();
    governors_.clear();
    workers_.clear();
    registry_.reset();
    loop_.weather = nullptr;
}

void World::later(Micros delay, std::function<void()> what) {
    const std::uint64_t id = ++timer_ids_;
    auto& timer = timers_.try_emplace(id, loop_.clock(), actor(kTroubles)).first->second;
    timer.after(delay, [this, id, what = std::move(what)] {
        const auto run = what;
        timers_.erase(id);
        ++step_;
        run();
    });
}

void World::start() {
    opening_ = true;
    if (given_) {
        open_given();
    } else {
        open_script();
    }
    opening_ = false;
}

void World::open_script() {
    using enum MoveKind;
    for (std::size_t k = 0; k < static_cast<std::size_t>(script_.workers); ++k) {
        const auto settings = draw_worker(k);
        make({.kind = AddWorker, .who = settings.id, .worker = settings});
        make({.kind = StartWorker, .who = settings.id});
        make({.kind = ListWorker, .who = settings.id});
    }
    for (std::size_t k = 0; k < static_cast<std::size_t>(script_.governors); ++k) {
        add_governor(k);
        make({.kind = StartGovernor, .who = governors_[k].name});
    }
    const auto plans = plan_forwarders(script_);
    for (const auto& plan : plans) {
        make({.kind = AddForwarder, .who = plan.id, .by = plan.rate, .text = plan.zone});
    }
    for (const auto& plan : plans) {
        make({.kind = StartForwarder, .who = plan.id});
    }
    add_clients(draw_traffic(script_, plans, begin_));
    for (const Trouble& trouble : script_.troubles) {
        later(trouble.at, [this, &trouble] { strike(trouble); });
    }
}

void World::open_given() {
    for (std::size_t k = 0; k < static_cast<std::size_t>(script_.governors); ++k) {
        add_governor(k);
    }
    for (const TimedMove& move : given_->moves) {
        if (move.opening) {
            make(move.what);
        }
    }
    auto traffic = given_->traffic;
    for (auto& [forwarder, list] : traffic) {
        for (auto& one : list) {
            one.came += begin_;
        }
    }
    add_clients(std::move(traffic));
    // What was done in one step is done in one step again: nothing comes in between.
    for (auto first = given_->moves.begin(); first != given_->moves.end();) {
        auto end = std::next(first);
        while (end != given_->moves.end() && end->joined && end->at == first->at) {
            ++end;
        }
        if (!first->opening) {
            later(first->at, [this, first, end] {
                for (auto move = first; move != end; ++move) {
                    make(move->what);
                }
            });
        }
        first = end;
    }
}

void World::add_governor(std::size_t k) {
    GovernorSlot slot;
    slot.name = "governor-" + std::to_string(k);
    slot.zone = script_.governor.zones[k % script_.governor.zones.size()];
    slot.port = std::make_unique<net::PortHold>(loop_);
    weather_.place(slot.name, slot.zone);
    weather_.call_governor(slot.name);
    governors_.push_back(std::move(slot));
}

void World::add_forwarder(const ForwarderPlan& plan) {
    ForwarderSlot slot;
    slot.plan = plan;
    slot.port = std::make_unique<net::PortHold>(loop_);
    weather_.place(plan.id, plan.zone);
    weather_.call_forwarder(plan.id);
    forwarders_.push_back(std::move(slot));
}

std::vector<testbed::ClientSettings::GivesUp> World::gives_up() const {
    std::vector<testbed::ClientSettings::GivesUp> out;
    if (given_) {
        for (const TimedMove& move : given_->moves) {
            if (move.what.kind == MoveKind::GiveUp) {
                out.push_back({begin_ + move.at, begin_ + move.at + move.what.wait, move.what.by});
            }
        }
        return out;
    }
    for (const Trouble& t : script_.troubles) {
        if (t.kind == Kind::GiveUp) {
            out.push_back({begin_ + t.at, begin_ + t.at + t.lasts, t.by});
        }
    }
    return out;
}

void World::add_clients(std::map<std::string, std::vector<testbed::Invocation>> traffic) {
    testbed::ClientSettings clients;
    clients.retries = script_.client_retries;
    clients.wait = script_.client_wait;
    clients.try_share = script_.client_try_share;
    clients.operations = script_.governor.settings.operations;
    clients.gives_up = gives_up();
    for (std::size_t k = 0; k < forwarders_.size(); ++k) {
        ForwarderSlot& slot = forwarders_[k];
        const std::string client = numbered("client", k);
        weather_.place(client, slot.plan.zone);
        slot.client = std::make_unique<testbed::Client>(
            loop_, actor(kClients, k), client, clients, slot.port->address(),
            std::move(traffic[slot.plan.id]), &watchers_);
    }
}

// ---- moves

void World::make(const Move& move) {
    if (on_move) {
        on_move(loop_.clock().now(), opening_, moved_step_ == step_, move);
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

std::size_t World::worker_called(const std::string& id) const {
    return called(workers_, id, [](const WorkerSlot& slot) { return slot.settings.id; });
}

std::size_t World::forwarder_called(const std::string& id) const {
    return called(forwarders_, id, [](const ForwarderSlot& slot) { return slot.plan.id; });
}

std::size_t World::governor_called(const std::string& id) const {
    return called(governors_, id, [](const GovernorSlot& slot) { return slot.name; });
}

void World::apply(const Move& move) {
    using enum MoveKind;
    switch (move.kind) {
        case AddWorker:
            return add_worker(move.worker);
        case AddForwarder:
            return add_forwarder({move.who, move.text, 1, move.by});
        case StartWorker:
        case StopWorker:
        case ListWorker:
        case UnlistWorker:
        case TroubleWorker:
            return apply_to_worker(move);
        case CutZone:
            return weather_.cut(move.who, move.on);
        case SlowZone:
            return weather_.slow(move.who, {move.wait, move.by});
        case StartForwarder:
        case StopForwarder:
        case BreakStream:
        case IsolateForwarder:
        case StallForwarder:
            return apply_to_forwarder(move);
        case StartGovernor:
            return start_governor(governor_called(move.who));
        case StopGovernor:
            return stop_governor(governor_called(move.who));
        case PaceChannels:
            return pace_channels(move.by);
        case HangRegistry:
            return registry_->hang(move.on);
        case RestartRegistry:
            return registry_->restart(move.on);
        case GarbleRegistry:
            return void(registry_->garbage = move.text);
        case ShowOldList:
            return show_old_list(move.on, move.by);
        case GiveUp:
            return;  // the clients know it from the beginning
    }
}

void World::apply_to_worker(const Move& move) {
    const std::size_t k = worker_called(move.who);
    switch (move.kind) {
        case MoveKind::StartWorker:
            return start_worker(k, move.on);
        case MoveKind::StopWorker:
            return workers_[k].worker.reset();
        case MoveKind::ListWorker:
            return put_on_list(k, move.on);
        case MoveKind::UnlistWorker:
            registry_->remove(move.who);
            list_history_[loop_.clock().now()] = registry_->rows();
            return;
        default:
            if (workers_[k].worker) {
                workers_[k].worker->trouble = move.trouble;
            }
    }
}

void World::apply_to_forwarder(const Move& move) {
    const std::size_t k = forwarder_called(move.who);
    if (move.kind == MoveKind::StartForwarder) {
        return start_forwarder(k);
    }
    const auto& forwarder = forwarders_[k].forwarder;
    if (!forwarder) {
        return;
    }
    if (move.kind == MoveKind::StopForwarder) {
        forwarders_[k].forwarder.reset();
    } else if (move.kind == MoveKind::BreakStream) {
        forwarder->break_stream();
    } else if (move.kind == MoveKind::IsolateForwarder) {
        forwarder->isolate(move.on);
    } else {
        forwarder->stall(move.on);
    }
}

// The list as it stood so many seconds before.
void World::show_old_list(bool on, double seconds_back) {
    if (!on) {
        return registry_->show_instead(std::nullopt);
    }
    const Micros then = loop_.clock().now() - Micros(std::llround(seconds_back * 1e6));
    auto at = list_history_.upper_bound(then);
    if (at != list_history_.begin()) {
        --at;
    }
    if (at != list_history_.end()) {
        registry_->show_instead(at->second);
    }
}

void World::pace_channels(double slower) {
    for (auto& slot : governors_) {
        if (slot.service) {
            slot.service->set_send_pace(1 / slower);
        }
    }
    if (on_slow_channel) {
        on_slow_channel(slower);
    }
}

// ---- workers

testbed::WorkerSettings World::draw_worker(std::size_t k) const {
    base::SequentialRandom chance(script_.seed, "worker/" + std::to_string(k));
    const Settings& told = script_.governor.settings;
    double shares = 0;
    for (const auto& kind : script_.kinds) {
        shares += kind.share;
    }
    double draw = chance.part() * shares;
    std::size_t which = 0;
    while (which + 1 < script_.kinds.size() && (draw -= script_.kinds[which].share) >= 0) {
        ++which;
    }
    const MachineKind& kind = script_.kinds[which];
    testbed::WorkerSettings s;
    s.id = numbered("worker", k);
    s.zone = script_.governor.zones[k % script_.governor.zones.size()];
    s.cores = kind.cores;
    s.speed = chance.between(kind.speed.low, kind.speed.high);
    s.queue_per_core = static_cast<std::size_t>(
        std::llround(chance.between(kind.queue_per_core.low, kind.queue_per_core.high)));
    s.connections_most = static_cast<std::size_t>(
        std::llround(chance.between(kind.connections.low, kind.connections.high)));
    s.handshake_work = Micros(std::llround(chance.between(8000, 15000)));
    // What the settings tell of cold servers is the least that holds.
    s.cold_from = std::min(1.0, told.initial_capacity_fraction * chance.between(1, 1.5));
    s.cold_time = Micros(
        std::llround(static_cast<double>(told.slow_start_window.count()) * chance.between(0.7, 1)));
    s.fall_multiple = told.overload_collapse_factor;
    s.fall_time = told.overload_collapse_time;
    s.key_gain = script_.key_gain;
    s.key_time = script_.key_kept;
    s.reports_load = !told.load_metric_names.empty();
    s.report_every = Micros(std::llround(chance.between(300e3, 1000e3)));
    return s;
}

void World::add_worker(const testbed::WorkerSettings& settings) {
    WorkerSlot slot;
    slot.settings = settings;
    slot.port = std::make_unique<net::PortHold>(loop_);
    slot.settings.listen = slot.port->address();
    weather_.place(settings.id, settings.zone);
    workers_.push_back(std::move(slot));
}

void World::start_worker(std::size_t k, bool cold) {
    WorkerSlot& slot = workers_[k];
    slot.worker.reset();
    ++slot.incarnation;
    slot.started = cold ? loop_.clock().now() : 0us;
    testbed::WorkerSettings settings = slot.settings;
    settings.id += "/" + std::to_string(slot.incarnation);
    weather_.place(settings.id, settings.zone);
    server_names_[settings.listen] = settings.id;
    slot.worker = std::make_unique<testbed::Worker>(loop_, actor(kWorkers, k), settings,
                                                    base::seed_for(script_.seed, settings.id),
                                                    &watchers_, cold, operations_);
}

void World::stop_worker(std::size_t k, bool unlisted) {
    WorkerSlot& slot = workers_[k];
    if (!slot.worker) {
        return;
    }
    make({.kind = MoveKind::StopWorker, .who = slot.settings.id});
    if (unlisted) {
        return;
    }
    const Micros delay(
        std::llround(chance_.between(script_.list_gone_us.low, script_.list_gone_us.high)));
    later(delay, [this, k, incarnation = slot.incarnation] {
        // Back before the list noticed: its new start is listed instead.
        if (workers_[k].incarnation != incarnation || workers_[k].worker) {
            return;
        }
        make({.kind = MoveKind::UnlistWorker, .who = workers_[k].settings.id});
    });
}

// A cold start, which the list tells of a while later.
void World::bring_back(std::size_t k, bool unlisted) {
    make({.kind = MoveKind::StartWorker, .who = workers_[k].settings.id, .on = true});
    if (!unlisted) {
        list_worker(k, Micros(std::llround(
                           chance_.between(script_.list_new_us.low, script_.list_new_us.high))));
    }
}

void World::list_worker(std::size_t k, Micros delay, bool draining) {
    later(delay, [this, k, draining, incarnation = workers_[k].incarnation] {
        const WorkerSlot& slot = workers_[k];
        if (slot.incarnation == incarnation && slot.worker) {
            make({.kind = MoveKind::ListWorker, .who = slot.settings.id, .on = draining});
        }
    });
}

void World::put_on_list(std::size_t k, bool draining) {
    const WorkerSlot& slot = workers_[k];
    testbed::Registry::Row row;
    row.server.id = slot.settings.id;
    row.server.zone = slot.settings.zone;
    row.server.address = slot.settings.listen;
    row.server.incarnation = std::to_string(slot.incarnation);
    row.server.state = draining ? ServerState::Draining : ServerState::Ready;
    // The size as registered, roughly.
    row.server.weight = std::round(slot.settings.cores * slot.settings.speed * 4) / 4;
    row.started = slot.started;
    registry_->put(row);
    list_history_[loop_.clock().now()] = registry_->rows();
}

// ---- governors and forwarders

void World::start_governor(std::size_t k) {
    stop_governor(k);
    GovernorSlot& slot = governors_[k];
    config::InstanceConfig config = script_.governor;
    config.id = slot.name;
    config.seed = base::seed_for(script_.seed, slot.name + "/" + std::to_string(slot.life)) >> 12;
    config.settings.ordinal = static_cast<int>(k);
    config.settings.instance_count = script_.governors;
    const auto at = std::find(config.zones.begin(), config.zones.end(), slot.zone);
    config.settings.zone = {static_cast<int>(at - config.zones.begin())};
    config.xds_address = net::to_text(slot.port->address());
    config.registry_address = net::to_text(registry_port_->address());
    slot.service = std::make_unique<xds_server::XdsServer>(
        loop_, actor(kGovernors, k), config, log_, "life-" + std::to_string(++slot.life));
    if (governor_watcher) {
        slot.service->set_observer(*governor_watcher);
    }
    slot.service->alter_commands_for_test = [this, k](Micros now, std::vector<Command>& actions) {
        if (tamper) {
            tamper(static_cast<int>(k), *governors_[k].service, now, actions);
        }
    };
}

void World::stop_governor(std::size_t k) {
    GovernorSlot& slot = governors_[k];
    if (!slot.service) {
        return;
    }
    slot.past += slot.service->metrics();
    slot.service.reset();
}

std::vector<xds_server::XdsServerMetrics> World::governor_figures() const {
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

std::vector<xds::TableEndpoint> World::draw_startup(const std::string& zone,
                                                    base::SequentialRandom& chance) const {
    std::vector<xds::TableEndpoint> here;
    std::vector<xds::TableEndpoint> all;
    for (const auto& [id, row] : registry_->rows()) {
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
    while (!from.empty() && out.size() < static_cast<std::size_t>(script_.startup)) {
        const std::size_t k = chance.below(from.size());
        out.push_back(from[k]);
        from.erase(from.begin() + static_cast<std::ptrdiff_t>(k));
    }
    return out;
}

void World::start_forwarder(std::size_t k) {
    ForwarderSlot& slot = forwarders_[k];
    slot.forwarder.reset();
    ++slot.starts;
    const Settings& told = script_.governor.settings;
    base::SequentialRandom chance(script_.seed,
                                  slot.plan.id + "/start/" + std::to_string(slot.starts));
    testbed::ForwarderSettings s;
    s.id = slot.plan.id;
    s.zone = slot.plan.zone;
    s.rate = slot.plan.rate;
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
        s.governors.push_back(governors_[g].port->address());
        s.governor_names.push_back(governors_[g].name);
    }
    s.startup = draw_startup(slot.plan.zone, chance);
    s.pick = told.load_balancing_policy;
    s.again = told.default_retry_mode;
    s.ejects_after = told.proxy_ejection_failures;
    s.eject_time = script_.governor.ejection_time;
    s.connect_timeout = 250ms;
    s.dial_timeout = 1s;
    s.connection_idle = told.connection_idle_timeout;
    s.redial_least = Micros(std::llround(script_.redial_us.low));
    s.redial_most = Micros(std::llround(script_.redial_us.high));
    // A cut way shows only by silence.
    s.keepalive = 1s;
    slot.forwarder = std::make_unique<testbed::Forwarder>(
        loop_, actor(kForwarders, k), s,
        base::seed_for(script_.seed, "start/" + std::to_string(slot.starts)), &watchers_,
        &server_names_);
    if (on_forwarder) {
        on_forwarder(*slot.forwarder);
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

std::vector<std::size_t> World::struck_workers(const Trouble& trouble) {
    std::vector<std::size_t> from;
    for (std::size_t k = 0; k < workers_.size(); ++k) {
        if (!trouble.one.empty() && workers_[k].settings.id != trouble.one) {
            continue;
        }
        if (workers_[k].worker) {
            from.push_back(k);
        }
    }
    if (!trouble.one.empty()) {
        return from;
    }
    base::SequentialRandom chance(script_.seed, "struck/" + std::to_string(trouble.line));
    return drawn(std::move(from), trouble.part, trouble.count, chance);
}

std::vector<std::size_t> World::struck_forwarders(const Trouble& trouble) {
    std::vector<std::size_t> from;
    for (std::size_t k = 0; k < forwarders_.size(); ++k) {
        if (trouble.one.empty() || forwarders_[k].plan.id == trouble.one) {
            from.push_back(k);
        }
    }
    if (!trouble.one.empty()) {
        return from;
    }
    base::SequentialRandom chance(script_.seed, "struck/" + std::to_string(trouble.line));
    return drawn(std::move(from), trouble.part, trouble.count, chance);
}

void World::trouble_worker(std::size_t k,
                           const std::function<void(testbed::WorkerTrouble&)>& change) {
    Move move{.kind = MoveKind::TroubleWorker,
              .who = workers_[k].settings.id,
              .trouble = workers_[k].worker->trouble};
    change(move.trouble);
    make(move);
}

// Changes those struck, and back when the trouble is over (unless they died meanwhile).
void World::each_worker(const Trouble& trouble,
                        const std::function<void(testbed::WorkerTrouble&, bool)>& change) {
    for (const std::size_t k : struck_workers(trouble)) {
        trouble_worker(k, [&](testbed::WorkerTrouble& t) { change(t, true); });
        later(trouble.lasts, [this, k, change, incarnation = workers_[k].incarnation] {
            if (workers_[k].worker && workers_[k].incarnation == incarnation) {
                trouble_worker(k, [&](testbed::WorkerTrouble& t) { change(t, false); });
            }
        });
    }
}

void World::flap(const Trouble& trouble, std::size_t k, Micros end,
                 std::shared_ptr<base::SequentialRandom> chance) {
    const Micros now = loop_.clock().now();
    if (now >= end) {
        return;
    }
    const double turn = static_cast<double>(trouble.turn.count()) * chance->between(0.7, 1.3);
    const Micros up(std::llround(turn * (1 - trouble.by)));
    const Micros down(std::llround(turn * trouble.by));
    later(up, [this, &trouble, k, end, chance, down] {
        if (loop_.clock().now() >= end || !workers_[k].worker) {
            return;
        }
        if (trouble.how == "hang" || trouble.how == "errors") {
            trouble_worker(k, [&](testbed::WorkerTrouble& t) {
                trouble.how == "hang" ? void(t.hangs = true) : void(t.errors = 0.95);
            });
            later(down, [this, &trouble, k, end, chance, incarnation = workers_[k].incarnation] {
                if (!workers_[k].worker || workers_[k].incarnation != incarnation) {
                    return;
                }
                trouble_worker(k, [](testbed::WorkerTrouble& t) { t = {}; });
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

void World::age(const Trouble& trouble, std::size_t k, int incarnation, Micros began) {
    WorkerSlot& slot = workers_[k];
    if (!slot.worker || slot.incarnation != incarnation) {
        return;
    }
    const double part = static_cast<double>((loop_.clock().now() - began).count()) /
                        static_cast<double>(trouble.lasts.count());
    if (part < 1) {
        trouble_worker(k,
                       [&](testbed::WorkerTrouble& t) { t.slower = 1 + (trouble.by - 1) * part; });
        later(500ms,
              [this, &trouble, k, incarnation, began] { age(trouble, k, incarnation, began); });
        return;
    }
    stop_worker(k, false);
    later(trouble.down > 0us ? trouble.down : Micros{5s}, [this, k] {
        if (!workers_[k].worker) {
            bring_back(k, false);
        }
    });
}

void World::strike_neighbour(const Trouble& trouble, std::size_t k, Micros end, bool on) {
    if (!workers_[k].worker) {
        return;
    }
    const bool over = loop_.clock().now() >= end;
    trouble_worker(k, [&](testbed::WorkerTrouble& t) { t.taken = on && !over ? trouble.by : 0; });
    if (over) {
        return;
    }
    const Micros turn = trouble.turn > 0us ? trouble.turn : trouble.lasts;
    later(std::min(turn, end - loop_.clock().now()),
          [this, &trouble, k, end, on] { strike_neighbour(trouble, k, end, !on); });
}

void World::strike_workers(const Trouble& trouble) {
    using T = testbed::WorkerTrouble;
    const double by = trouble.by;
    switch (trouble.kind) {
        case Kind::Hang:
            return each_worker(trouble, [](T& t, bool on) { t.hangs = on; });
        case Kind::FastErrors:
            return each_worker(trouble, [by](T& t, bool on) { t.errors = on ? by : 0; });
        case Kind::Slow:
            return each_worker(trouble, [by](T& t, bool on) { t.slower = on ? by : 1; });
        case Kind::AnswersLost:
            return each_worker(trouble, [by](T& t, bool on) { t.answers_lost = on ? by : 0; });
        case Kind::CountersFalling:
            return each_worker(trouble, [by](T& t, bool on) { t.counters = on ? by : 1; });
        case Kind::ConnSqueeze:
            return each_worker(trouble, [by](T& t, bool on) {
                t.connections_most = on ? static_cast<std::size_t>(by) : SIZE_MAX;
            });
        default:
            break;
    }
    const Micros now = loop_.clock().now();
    for (const std::size_t k : struck_workers(trouble)) {
        if (trouble.kind == Kind::Ageing) {
            age(trouble, k, workers_[k].incarnation, now);
        } else if (trouble.kind == Kind::Neighbour) {
            strike_neighbour(trouble, k, now + trouble.lasts, true);
        } else if (trouble.kind == Kind::Flapping) {
            flap(trouble, k, now + trouble.lasts,
                 std::make_shared<base::SequentialRandom>(
                     script_.seed,
                     "flap/" + std::to_string(trouble.line) + "/" + std::to_string(k)));
        } else if (trouble.kind == Kind::Drain) {
            list_worker(k, 1us, true);
            later(trouble.lasts > 0us ? trouble.lasts : 3 * script_.governor.settings.drain_grace,
                  [this, k] { stop_worker(k, false); });
        } else {  // crash, and a whole zone lost
            stop_worker(k, trouble.unlisted);
            if (trouble.lasts <= 0us) {
                continue;
            }
            later(trouble.lasts, [this, k, unlisted = trouble.unlisted] {
                if (!workers_[k].worker) {
                    bring_back(k, unlisted);
                }
            });
        }
    }
}

void World::strike_forwarders(const Trouble& trouble) {
    for (const std::size_t k : struck_forwarders(trouble)) {
        const std::string& id = forwarders_[k].plan.id;
        if (!forwarders_[k].forwarder) {
            continue;
        }
        if (trouble.kind == Kind::StreamsBreak) {
            make({.kind = MoveKind::BreakStream, .who = id});
        } else if (trouble.kind == Kind::ForwarderCrash) {
            make({.kind = MoveKind::StopForwarder, .who = id});
            later(trouble.lasts, [this, k] {
                if (!forwarders_[k].forwarder) {
                    make({.kind = MoveKind::StartForwarder, .who = forwarders_[k].plan.id});
                }
            });
        } else {
            const auto kind = trouble.kind == Kind::ForwarderStall ? MoveKind::StallForwarder
                                                                   : MoveKind::IsolateForwarder;
            make({.kind = kind, .who = id, .on = true});
            later(trouble.lasts, [this, k, kind] {
                if (forwarders_[k].forwarder) {
                    make({.kind = kind, .who = forwarders_[k].plan.id, .on = false});
                }
            });
        }
    }
}

void World::lose_zone(const Trouble& trouble) {
    for (auto& worker : workers_) {
        if (worker.settings.zone != trouble.one) {
            continue;
        }
        Trouble one = trouble;
        one.kind = Kind::Crash;
        one.one = worker.settings.id;
        strike_workers(one);
    }
    for (std::size_t k = 0; trouble.with_forwarders && k < forwarders_.size(); ++k) {
        if (forwarders_[k].plan.zone != trouble.one) {
            continue;
        }
        make({.kind = MoveKind::StopForwarder, .who = forwarders_[k].plan.id});
        later(trouble.lasts, [this, k] {
            if (!forwarders_[k].forwarder) {
                make({.kind = MoveKind::StartForwarder, .who = forwarders_[k].plan.id});
            }
        });
    }
    for (std::size_t k = 0; trouble.with_governors && k < governors_.size(); ++k) {
        if (governors_[k].zone == trouble.one) {
            crash_governor(k, trouble.lasts);
        }
    }
}

void World::crash_governor(std::size_t k, Micros lasts) {
    make({.kind = MoveKind::StopGovernor, .who = governors_[k].name});
    later(lasts, [this, k] {
        if (!governors_[k].service) {
            make({.kind = MoveKind::StartGovernor, .who = governors_[k].name});
        }
    });
}

void World::strike(const Trouble& trouble) {
    using enum MoveKind;
    log::Logger(log_, "day").info("trouble", {{"kind", trouble.name}, {"line", trouble.line}});
    if (on_trouble) {
        on_trouble(loop_.clock().now(), trouble);
    }
    // Now, and the opposite when the trouble is over.
    const auto for_a_while = [&](Move move, Move back) {
        make(move);
        later(trouble.lasts, [this, back = std::move(back)] { make(back); });
    };
    switch (trouble.kind) {
        case Kind::ZoneCut:
            return for_a_while({.kind = CutZone, .who = trouble.one, .on = true},
                               {.kind = CutZone, .who = trouble.one});
        case Kind::SlowLink:
            return for_a_while(
                {.kind = SlowZone, .who = trouble.one, .by = trouble.by, .wait = trouble.wait},
                {.kind = SlowZone, .who = trouble.one});
        case Kind::ZoneLoss:
            return lose_zone(trouble);
        case Kind::SlowChannel:
            return for_a_while({.kind = PaceChannels, .by = trouble.by},
                               {.kind = PaceChannels, .by = 1});
        case Kind::StreamsBreak:
        case Kind::GovernorsUnreachable:
        case Kind::ForwarderStall:
        case Kind::ForwarderCrash:
            return strike_forwarders(trouble);
        case Kind::GovernorCrash:
            return crash_governor(static_cast<std::size_t>(std::stoi(trouble.one)), trouble.lasts);
        case Kind::WrongList:
            return for_a_while({.kind = ShowOldList, .on = true, .by = trouble.by},
                               {.kind = ShowOldList});
        case Kind::Grow:
            for (int n = 0; n < std::max(1, trouble.count); ++n) {
                const std::size_t k = workers_.size();
                const auto settings = draw_worker(k);
                make({.kind = AddWorker, .who = settings.id, .worker = settings});
                bring_back(k, false);
            }
            return;
        case Kind::RegistryHang:
            return for_a_while({.kind = HangRegistry, .on = true}, {.kind = HangRegistry});
        case Kind::RegistryRestart:
            return make({.kind = RestartRegistry, .on = trouble.how != "empty"});
        case Kind::RegistryGarbage:
            return for_a_while({.kind = GarbleRegistry, .text = "{\"registry\": 7, "},
                               {.kind = GarbleRegistry});
        case Kind::GiveUp:
            return make({.kind = MoveKind::GiveUp, .by = trouble.by, .wait = trouble.lasts});
        // Drawn into the traffic beforehand.
        case Kind::Burst:
        case Kind::Shift:
            return;
        default:
            return strike_workers(trouble);
    }
}

}  // namespace badgergrade::scenario
