// The simulated deployment; simulated_deployment.h describes what it plays and checks.
#include "simulated_deployment.h"

#include <algorithm>
#include <utility>

#include "paced_queue.h"

namespace badgergrade::policy {
namespace {

constexpr Micros kCheckInterval{50'000};
constexpr Micros kReportDelay{600'000};
/// The tolerance of the rules with a time limit, as on the platform's protocol page.
constexpr Micros kTolerance{300'000};
/// The tolerance of the rule on warming servers: a part of the budget, and seconds of full work.
constexpr double kCollapseTolerance = 0.1;
constexpr double kCollapseToleranceSeconds = 0.25;
/// The rule is broken if this part of the work came from proxies that could know of the start.
constexpr double kKnowingFraction = 2.0 / 3;
/// A proxy avoids a server for this long after too many failures in a row.
constexpr Micros kAvoidTime{4'000'000};
/// A client repeats a refused or failed invocation once, with this probability, after this delay.
constexpr double kClientRetryProbability = 0.8;
constexpr Micros kClientRetryDelay{100'000};
/// When the list shows the collapse of a server.
constexpr Micros kMinCrashListedAfter{1'600'000};
constexpr Micros kMaxCrashListedAfter{4'800'000};
constexpr double kMaxWorkDeviation = 0.4;

std::string seconds_text(Micros time) {
    return std::to_string(to_seconds(time)) + " s";
}

std::string text_of(ServerId id) {
    return "server " + std::to_string(id.value);
}

}  // namespace

std::string RuleViolations::text() const {
    std::string text;
    for (const auto* list : {&collapses, &without_server, &late_attempts, &channel_excesses}) {
        for (const std::string& line : *list) {
            text += line + "\n";
        }
    }
    return text;
}

struct SimulatedDeployment::Server {
    SimulatedServer plan;
    bool up = true;
    Micros started_at{};
    Micros busy_until{};
    /// As the instances were told, the same for all of them.
    ServerState listed_state = ServerState::Ready;
    Micros listed_at{};
    Micros listed_start{};

    struct Push {
        Micros at;
        double work_seconds;
        bool knowing;
    };

    std::deque<Push> pushes;
};

struct SimulatedDeployment::Proxy {
    ProxyId id;
    ZoneId zone;
    double rate = 0;
    Instance* instance = nullptr;
    Micros connected_at{};

    struct HeldTable {
        std::map<ServerId, double> weights;
        double limit = -1;
        double tokens = 0;
        Micros tokens_at{};
        /// Since when no server can be picked.
        std::optional<Micros> empty_since;
        bool empty_reported = false;
    };

    std::vector<HeldTable> held;
    Micros last_message_sent{};
    std::map<ServerId, int> open;
    std::map<ServerId, int> failures_in_row;
    std::map<ServerId, Micros> avoided_until;
    std::deque<Micros> messages;
    /// Whether a message was ever sent to it.
    bool has_tables = false;
    /// By operation, since the last report.
    std::vector<std::int64_t> received;
    std::vector<std::int64_t> failed;
};

struct SimulatedDeployment::Message {
    Proxy* proxy;
    Micros sent_at;
    double lines;
    int version;
    std::vector<std::pair<std::map<ServerId, double>, double>> content;
};

struct SimulatedDeployment::Instance {
    explicit Instance(const Settings& settings)
        : channel(settings.channel_lines_per_second, settings.mean_network_delay) {}

    std::unique_ptr<Planner> planner;

    struct PublishedTable {
        std::map<ServerId, double> weights;
        std::map<OperationId, double> limits;
    };

    std::map<TableId, PublishedTable> tables;
    std::map<ProxyId, std::vector<TableId>> assigned;
    PacedQueue<Message> channel;

    struct Sums {
        std::int64_t attempts = 0;
        std::int64_t failures = 0;
        double latency_seconds = 0;
    };

    std::map<std::pair<ZoneId, ServerId>, Sums> sums;
};

SimulatedDeployment::SimulatedDeployment(SimulatedDeploymentOptions options)
    : options_(std::move(options)),
      random_(options_.seed) {
    for (const SimulatedServer& plan : options_.servers) {
        auto server = std::make_unique<Server>();
        server->plan = plan;
        servers_[plan.id] = std::move(server);
    }
    for (int index = 0; index < options_.settings.instance_count; ++index) {
        instances_.push_back(std::make_unique<Instance>(options_.settings));
    }
    for (int zone = 0; zone < options_.settings.zone_count; ++zone) {
        for (int index = 0; index < options_.proxies_per_zone; ++index) {
            auto proxy = std::make_unique<Proxy>();
            proxy->id = {static_cast<int>(proxies_.size())};
            proxy->zone = {zone};
            proxy->rate =
                options_.zone_rates[static_cast<std::size_t>(zone)] / options_.proxies_per_zone;
            const int chosen = options_.instances_by_zone ? zone : proxy->id.value;
            proxy->instance =
                instances_[static_cast<std::size_t>(chosen) % instances_.size()].get();
            proxy->held.resize(options_.operations.size());
            proxy->received.resize(options_.operations.size());
            proxy->failed.resize(options_.operations.size());
            proxies_.push_back(std::move(proxy));
        }
    }
}

SimulatedDeployment::~SimulatedDeployment() = default;

double SimulatedDeployment::answered_fraction() const {
    return static_cast<double>(answered_) /
           static_cast<double>(std::max<std::int64_t>(1, invocations_));
}

void SimulatedDeployment::schedule(Micros at, std::function<void()> action) {
    actions_.push({at, next_order_++, std::move(action)});
}

Micros SimulatedDeployment::exponential(double rate_per_second) {
    return Micros{1 + static_cast<std::int64_t>(
                          std::exponential_distribution<double>(rate_per_second)(random_) * 1e6)};
}

// Each arrival schedules the next one.
void SimulatedDeployment::schedule_arrival(Proxy& proxy, OperationId operation, double rate) {
    schedule(now_ + exponential(rate), [this, &proxy, operation, rate] {
        invoke(proxy, operation, false);
        schedule_arrival(proxy, operation, rate);
    });
}

void SimulatedDeployment::play(Micros length) {
    restart_instances();
    for (auto& [id, server] : servers_) {
        run_lifecycle(*server);
    }
    for (auto& proxy : proxies_) {
        for (std::size_t k = 0; k < options_.operations.size(); ++k) {
            const OperationId operation{static_cast<int>(k)};
            const double rate = proxy->rate * options_.operations[k].share;
            if (rate <= 0) {
                continue;
            }
            schedule_arrival(*proxy, operation, rate);
        }
    }
    if (options_.instance_restarts_at) {
        schedule(*options_.instance_restarts_at, [this] { restart_instances(); });
    }
    const Micros end = now_ + length;
    Micros next_check = now_;
    Micros next_decision = now_;
    Micros next_report = now_ + options_.settings.report_interval;
    while (now_ < end) {
        now_ = next_check;
        next_check += kCheckInterval;
        while (!actions_.empty() && actions_.top().at <= next_check) {
            const Action action = actions_.top();
            actions_.pop();
            now_ = std::max(now_, action.at);
            action.run();
        }
        for (auto& instance : instances_) {
            deliver(*instance);
            if (now_ >= next_decision) {
                instance->planner->on_event(now_, event::TimerFired{""});
                decide(*instance);
            }
            if (now_ >= next_report) {
                report(*instance);
            }
        }
        next_decision += now_ >= next_decision ? kDecisionInterval : Micros{0};
        next_report += now_ >= next_report ? options_.settings.report_interval : Micros{0};
        for (auto& proxy : proxies_) {
            check_without_server(*proxy);
        }
    }
}

// All instances (again) begin with the list as it was last told, and all proxies connect.
void SimulatedDeployment::restart_instances() {
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        Settings settings = options_.settings;
        settings.ordinal = static_cast<int>(index);
        settings.proxy_count = static_cast<int>(proxies_.size());
        Instance& instance = *instances_[index];
        instance = Instance(settings);
        instance.planner = std::make_unique<Planner>(settings, options_.seed + index, now_);
        event::EndpointListUpdate list{UpdateKind::Snapshot, {}};
        for (const auto& [id, server] : servers_) {
            if (server->listed_state != ServerState::Gone) {
                list.endpoints.push_back({id, server->plan.zone, server->listed_state,
                                          server->plan.weight, server->listed_start});
            }
        }
        instance.planner->on_event(now_, list);
    }
    for (auto& proxy : proxies_) {
        connect(*proxy);
    }
    for (auto& instance : instances_) {
        decide(*instance);
    }
}

void SimulatedDeployment::connect(Proxy& proxy) {
    proxy.connected_at = now_;
    proxy.messages.clear();
    proxy.instance->planner->on_event(
        now_, event::ProxyConnected{proxy.id, !proxy.has_tables, proxy.zone, proxy.rate});
    proxy.instance->assigned[proxy.id].clear();
}

void SimulatedDeployment::run_lifecycle(Server& server) {
    const SimulatedServer& plan = server.plan;
    if (!plan.crashes_at) {
        return;
    }
    schedule(*plan.crashes_at, [&server] { server.up = false; });
    if (plan.crash_listed_at) {
        schedule(*plan.crash_listed_at, [this, &server] { tell(server, ServerState::Gone); });
    }
    schedule(plan.starts_again_at, [this, &server] {
        server.up = true;
        server.started_at = now_;
        server.busy_until = now_;
        server.pushes.clear();
    });
    schedule(plan.start_listed_at, [this, &server] { tell(server, ServerState::Ready); });
}

void SimulatedDeployment::tell(const Server& told, ServerState state) {
    Server& server = *servers_.at(told.plan.id);
    server.listed_state = state;
    server.listed_at = now_;
    server.listed_start = server.started_at;
    for (auto& instance : instances_) {
        instance->planner->on_event(
            now_, event::EndpointListUpdate{UpdateKind::Delta,
                                            {{server.plan.id, server.plan.zone, state,
                                              server.plan.weight, server.listed_start}}});
        decide(*instance);
    }
}

// One message for each proxy that is concerned, with the tables as they are after this decision.
void SimulatedDeployment::decide(Instance& instance) {
    std::map<ProxyId, double> lines;
    int version = 0;
    const auto count_users = [&](TableId table) {
        for (const auto& [proxy, tables] : instance.assigned) {
            lines[proxy] += static_cast<double>(std::ranges::count(tables, table) > 0);
        }
    };
    for (const Command& command : instance.planner->decide(now_)) {
        if (const auto* change = std::get_if<command::SetWeight>(&command)) {
            auto& weights = instance.tables[change->table].weights;
            if (change->weight > 0) {
                weights[change->server] = change->weight;
            } else {
                weights.erase(change->server);
            }
            count_users(change->table);
        } else if (const auto* admission = std::get_if<command::SetAdmission>(&command)) {
            for (std::size_t k = 0; k < options_.operations.size(); ++k) {
                if ((admission->operations >> k & 1) != 0) {
                    instance.tables[admission->table].limits[{static_cast<int>(k)}] =
                        admission->limit;
                }
            }
            count_users(admission->table);
        } else if (const auto* assignment = std::get_if<command::AssignTable>(&command)) {
            auto& tables = instance.assigned[assignment->proxy];
            tables.resize(options_.operations.size(), TableId{-1});
            for (std::size_t k = 0; k < tables.size(); ++k) {
                if (assignment->operations == 0 || (assignment->operations >> k & 1) != 0) {
                    tables[k] = assignment->table;
                }
            }
            const auto& table = instance.tables[assignment->table];
            lines[assignment->proxy] +=
                1 + static_cast<double>(table.weights.size() + table.limits.size());
        } else if (const auto* ack = std::get_if<command::RequestAck>(&command)) {
            version = ack->version.value;
        }
    }
    for (const auto& [id, count] : lines) {
        if (count <= 0) {
            continue;
        }
        Proxy& proxy = *proxies_[index_of(id)];
        Message message{
            &proxy, now_, count + options_.settings.message_header_lines + 1, version, {}};
        const auto& tables = instance.assigned[id];
        for (std::size_t k = 0; k < tables.size(); ++k) {
            const auto& table = instance.tables[tables[k]];
            const auto limit = table.limits.find({static_cast<int>(k)});
            message.content.emplace_back(table.weights,
                                         limit == table.limits.end() ? -1 : limit->second);
        }
        instance.channel.push(now_, std::move(message));
        proxy.has_tables = true;
        proxy.messages.push_back(now_);
        while (proxy.messages.front() <= now_ - options_.settings.message_window) {
            proxy.messages.pop_front();
        }
        if (std::ssize(proxy.messages) > options_.settings.max_messages) {
            violations_.channel_excesses.push_back("messages to proxy " + std::to_string(id.value) +
                                                   " at " + seconds_text(now_ - kStart));
        }
    }
    if (instance.channel.queued_lines() > options_.settings.max_queued_lines) {
        violations_.channel_excesses.push_back("queue at " + seconds_text(now_ - kStart));
    }
}

void SimulatedDeployment::deliver(Instance& instance) {
    const std::vector<Message> arrived = instance.channel.take_arrived(now_);
    for (const Message& message : arrived) {
        Proxy& proxy = *message.proxy;
        for (std::size_t k = 0; k < message.content.size(); ++k) {
            proxy.held[k].weights = message.content[k].first;
            proxy.held[k].limit = message.content[k].second;
        }
        proxy.last_message_sent = message.sent_at;
        instance.planner->on_event(
            now_, event::ConfigAcknowledged{proxy.id, {message.version}, now_ - message.sent_at});
    }
    if (!arrived.empty()) {
        decide(instance);
    }
}

// Reports reach the instance late; those of a replaced process are lost.
void SimulatedDeployment::report(Instance& instance) {
    std::vector<Event> reports;
    const Micros interval = options_.settings.report_interval;
    for (const auto& [key, sums] : std::exchange(instance.sums, {})) {
        const double mean =
            sums.attempts > sums.failures
                ? sums.latency_seconds / static_cast<double>(sums.attempts - sums.failures)
                : 0;
        reports.emplace_back(event::ServerLoadReport{key.first,
                                                     key.second,
                                                     sums.attempts,
                                                     sums.failures,
                                                     Micros{static_cast<std::int64_t>(mean * 1e6)},
                                                     interval,
                                                     {}});
    }
    for (auto& proxy : proxies_) {
        for (std::size_t k = 0; proxy->instance == &instance && k < proxy->received.size(); ++k) {
            reports.emplace_back(event::ProxyDemandReport{proxy->id,
                                                          {static_cast<int>(k)},
                                                          std::exchange(proxy->received[k], 0),
                                                          std::exchange(proxy->failed[k], 0),
                                                          interval});
        }
    }
    const Planner* planner = instance.planner.get();
    schedule(now_ + kReportDelay, [this, &instance, planner, reports = std::move(reports)] {
        if (instance.planner.get() != planner) {
            return;
        }
        for (const Event& event : reports) {
            instance.planner->on_event(now_, event);
        }
        decide(instance);
    });
}

void SimulatedDeployment::invoke(Proxy& proxy, OperationId operation, bool is_repeated) {
    invocations_ += is_repeated ? 0 : 1;
    ++proxy.received[index_of(operation)];
    const bool admitted = admits(proxy, operation);
    Server* server = admitted ? pick(proxy, operation, nullptr) : nullptr;
    if (server != nullptr) {
        return attempt(proxy, operation, *server, false);
    }
    proxy.failed[index_of(operation)] += admitted ? 1 : 0;
    if (!is_repeated &&
        std::uniform_real_distribution<double>(0, 1)(random_) < kClientRetryProbability) {
        schedule(now_ + kClientRetryDelay,
                 [this, &proxy, operation] { invoke(proxy, operation, true); });
    }
}

bool SimulatedDeployment::admits(Proxy& proxy, OperationId operation) {
    Proxy::HeldTable& held = proxy.held[index_of(operation)];
    if (options_.settings.admission_mode == AdmissionMode::None || held.limit < 0) {
        return true;
    }
    if (options_.settings.admission_mode == AdmissionMode::Fraction) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < held.limit;
    }
    const double gained = held.limit * to_seconds(now_ - held.tokens_at);
    held.tokens = std::min(std::max(1.0, held.limit), held.tokens + gained);
    held.tokens_at = now_;
    if (held.tokens < 1) {
        return false;
    }
    held.tokens -= 1;
    return true;
}

// A proxy that avoids all of its servers uses them all the same.
SimulatedDeployment::Server* SimulatedDeployment::pick(Proxy& proxy, OperationId operation,
                                                       const Server* excluded) {
    std::vector<Server*> candidates;
    std::vector<double> weights;
    for (const bool also_avoided : {false, true}) {
        for (const auto& [id, weight] : proxy.held[index_of(operation)].weights) {
            Server* server = servers_.at(id).get();
            const auto avoided = proxy.avoided_until.find(id);
            const bool is_avoided = avoided != proxy.avoided_until.end() && avoided->second > now_;
            if (server != excluded && (also_avoided || !is_avoided)) {
                candidates.push_back(server);
                weights.push_back(weight);
            }
        }
        if (!candidates.empty()) {
            break;
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    Server* first = candidates[draw(random_)];
    if (options_.settings.load_balancing_policy != LoadBalancingPolicy::LeastRequest) {
        return first;
    }
    Server* second = candidates[draw(random_)];
    return proxy.open[second->plan.id] < proxy.open[first->plan.id] ? second : first;
}

void SimulatedDeployment::attempt(Proxy& proxy, OperationId operation, Server& server,
                                  bool is_retry) {
    const ServerId id = server.plan.id;
    const Operation& settings = options_.settings.operations[index_of(operation)];
    const double deviation = std::uniform_real_distribution<double>(1 - kMaxWorkDeviation,
                                                                    1 + kMaxWorkDeviation)(random_);
    // In seconds of this server when it is warm.
    const double work =
        options_.operations[index_of(operation)].work_seconds * deviation / server.plan.weight;
    ++proxy.instance->sums[{proxy.zone, id}].attempts;
    if (server.listed_state == ServerState::Gone &&
        now_ > std::max(server.listed_at, proxy.connected_at) + options_.settings.drain_grace +
                   kTolerance) {
        violations_.late_attempts.push_back("proxy " + std::to_string(proxy.id.value) + " at " +
                                            text_of(id) + " at " + seconds_text(now_ - kStart));
    }
    check_collapse(proxy, server, work);
    const auto fail = [this, &proxy, operation, id] {
        ++proxy.failed[index_of(operation)];
        ++proxy.instance->sums[{proxy.zone, id}].failures;
        if (++proxy.failures_in_row[id] >= options_.settings.proxy_ejection_failures) {
            proxy.avoided_until[id] = now_ + kAvoidTime;
            proxy.failures_in_row[id] = 0;
        }
    };
    if (!server.up) {
        // Refused: it never ran, so that one retry is allowed.
        fail();
        Server* other = is_retry ? nullptr : pick(proxy, operation, &server);
        if (other != nullptr) {
            --proxy.failed[index_of(operation)];
            attempt(proxy, operation, *other, true);
        }
        return;
    }
    const double fraction = capacity_fraction(server, now_);
    const Micros wait = std::max(Micros{0}, server.busy_until - now_);
    const Micros service{static_cast<std::int64_t>(work / fraction * 1e6)};
    server.busy_until = now_ + wait + service;
    const bool late = wait + service >= settings.integration_timeout;
    const Micros took = std::min(wait + service, settings.integration_timeout);
    const Micros started = server.started_at;
    ++proxy.open[id];
    schedule(now_ + took, [this, &proxy, &server, id, took, late, started, fail] {
        --proxy.open[id];
        if (late || !server.up || server.started_at != started) {
            return fail();
        }
        ++answered_;
        proxy.failures_in_row[id] = 0;
        proxy.instance->sums[{proxy.zone, id}].latency_seconds += to_seconds(took);
    });
}

double SimulatedDeployment::capacity_fraction(const Server& server, Micros now) const {
    const Settings& settings = options_.settings;
    const double age = to_seconds(now - server.started_at) / to_seconds(settings.slow_start_window);
    if (server.started_at <= Micros{0} || age >= 1) {
        return 1;
    }
    return settings.initial_capacity_fraction +
           (1 - settings.initial_capacity_fraction) * std::max(0.0, age);
}

// The budget of the rule: the collapse factor x the capacity within the window, which may reach
// back before the start.
void SimulatedDeployment::check_collapse(const Proxy& proxy, Server& server, double work_seconds) {
    const Settings& settings = options_.settings;
    if (!server.up || server.started_at <= Micros{0} ||
        now_ - server.started_at >= settings.slow_start_window) {
        return;
    }
    const bool start_listed =
        server.listed_start == server.started_at && server.listed_at >= server.started_at;
    const bool knowing =
        start_listed && (proxy.last_message_sent >= server.listed_at ||
                         now_ > server.listed_at + settings.drain_grace + kTolerance);
    server.pushes.push_back({now_, work_seconds, knowing});
    const Micros begin = now_ - settings.overload_collapse_time;
    while (server.pushes.front().at <= begin) {
        server.pushes.pop_front();
    }
    double sent = 0;
    double sent_knowing = 0;
    for (const Server::Push& push : server.pushes) {
        sent += push.work_seconds;
        sent_knowing += push.knowing ? push.work_seconds : 0;
    }
    const double mean_capacity = (capacity_fraction(server, std::max(server.started_at, begin)) +
                                  capacity_fraction(server, now_)) /
                                 2;
    const double budget = settings.overload_collapse_factor * mean_capacity *
                          to_seconds(settings.overload_collapse_time);
    if (sent <= budget * (1 + kCollapseTolerance) + kCollapseToleranceSeconds) {
        return;
    }
    server.up = false;
    const Micros listed_after{std::uniform_int_distribution<std::int64_t>(
        kMinCrashListedAfter.count(), kMaxCrashListedAfter.count())(random_)};
    schedule(now_ + listed_after, [this, &server] { tell(server, ServerState::Gone); });
    if (sent_knowing >= sent * kKnowingFraction) {
        violations_.collapses.push_back(
            text_of(server.plan.id) + " of zone " + std::to_string(server.plan.zone.value) +
            " at " + seconds_text(now_ - kStart) + ", " + seconds_text(now_ - server.started_at) +
            " after its start, " + std::to_string(sent / budget) + " of the budget");
    }
}

void SimulatedDeployment::check_without_server(Proxy& proxy) {
    for (std::size_t k = 0; k < proxy.held.size(); ++k) {
        Proxy::HeldTable& held = proxy.held[k];
        const bool local_only = options_.settings.operations[k].local_only;
        const bool warm_listed = std::ranges::any_of(servers_, [&](const auto& entry) {
            const Server& server = *entry.second;
            return server.listed_state == ServerState::Ready &&
                   (!local_only || server.plan.zone == proxy.zone) &&
                   (server.listed_start <= Micros{0} ||
                    server.listed_start + options_.settings.slow_start_window <= now_);
        });
        if (!held.weights.empty() || !warm_listed) {
            held.empty_since.reset();
            held.empty_reported = false;
            continue;
        }
        held.empty_since = held.empty_since.value_or(now_);
        if (!held.empty_reported && now_ - std::max(*held.empty_since, proxy.connected_at) >
                                        options_.settings.max_time_without_server + kTolerance) {
            held.empty_reported = true;
            violations_.without_server.push_back("proxy " + std::to_string(proxy.id.value) +
                                                 " operation " + std::to_string(k) + " since " +
                                                 seconds_text(*held.empty_since - kStart));
        }
    }
}

}  // namespace badgergrade::policy
