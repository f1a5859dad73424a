#include "scenario/auditor.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace badgergrade::scenario {

using namespace std::chrono_literals;

namespace {
constexpr Micros kCheckInterval = 20ms;
constexpr std::size_t kMaxViolations = 100;

double ratio(Micros a, Micros b) {
    return b > 0us ? static_cast<double>(a.count()) / static_cast<double>(b.count()) : 0;
}

std::string server_key(const xds_server::ListedServer& listed) {
    return listed.incarnation.empty() ? listed.id : listed.id + "/" + listed.incarnation;
}
}  // namespace

std::string format_seconds(Micros t) {
    std::ostringstream out;
    out.precision(3);
    out << std::fixed << static_cast<double>(t.count()) / 1e6 << " s";
    return out.str();
}

Auditor::Auditor(base::Clock& clock, const config::InstanceConfig& config)
    : clock_(clock),
      config_(config),
      check_timer_(clock, base::ActorId{1}) {
    check_timer_.after(kCheckInterval, [this] { check(); });
}

void Auditor::report_violation(std::string rule, Micros when, std::string parties,
                               std::string description) {
    ++violation_counts_[rule];
    if (!reported_.emplace(rule, parties).second || violations_.size() >= kMaxViolations) {
        return;
    }
    violations_.push_back({std::move(rule), when, std::move(parties), std::move(description)});
}

std::int64_t Auditor::violation_count(const std::string& rule) const {
    const auto it = violation_counts_.find(rule);
    return it == violation_counts_.end() ? 0 : it->second;
}

std::int64_t Auditor::check_count(const std::string& rule) const {
    const auto it = checks_.find(rule);
    return it == checks_.end() ? 0 : it->second;
}

void Auditor::scale_time_limits(double factor) {
    time_limit_factors_.emplace_back(clock_.now(), std::max(1.0, factor));
}

double Auditor::time_limit_factor(Micros since) const {
    double out = 1;
    for (std::size_t k = 0; k < time_limit_factors_.size(); ++k) {
        const bool over =
            k + 1 < time_limit_factors_.size() && time_limit_factors_[k + 1].first < since;
        if (!over) {
            out = std::max(out, time_limit_factors_[k].second);
        }
    }
    return out;
}

// ---- rule "bare"

bool Auditor::has_warm_server(const InstanceState& state, Micros now) const {
    return std::any_of(state.servers.begin(), state.servers.end(), [&](const auto& entry) {
        const ListedServerState& server = entry.second;
        return server.ready && (server.started <= 0us ||
                                server.started + config_.settings.slow_start_window <= now);
    });
}

void Auditor::check() {
    check_timer_.after(kCheckInterval, [this] { check(); });
    const Micros now = clock_.now();
    for (auto& [name, state] : proxies_) {
        check_proxy(name, state, now);
    }
}

void Auditor::check_proxy(const std::string& name, ProxyState& state, Micros now) {
    if (state.instance.empty()) {
        state.without_endpoint_since.clear();
        return;
    }
    ++checks_["bare"];
    const bool has_usable_server = has_warm_server(instances_[state.instance], now);
    for (const auto& [operation, has_endpoint] : state.has_endpoint) {
        if (has_endpoint || !has_usable_server) {
            state.without_endpoint_since.erase(operation);
            continue;
        }
        const Micros since = state.without_endpoint_since.try_emplace(operation, now).first->second;
        const Micros limit(
            std::llround(static_cast<double>(config_.settings.max_time_without_server.count()) *
                         time_limit_factor(since)));
        margins_.bare = std::max(margins_.bare, ratio(now - since, limit));
        if (now - since > limit) {
            report_violation("bare", now, name + " of " + state.instance,
                             "no endpoint for operation " + std::to_string(operation) + " for " +
                                 format_seconds(now - since) + ", limit " + format_seconds(limit));
        }
    }
}

void Auditor::on_endpoint_availability(Micros, const std::string& proxy, int operation,
                                       bool has_endpoint) {
    proxies_[proxy].has_endpoint[operation] = has_endpoint;
}

void Auditor::on_proxy_connected(Micros now, const std::string& proxy,
                                 const std::string& instance) {
    ProxyState& state = proxies_[proxy];
    state.instance = instance;
    state.joined = now;
    state.last_update_decided_at = 0us;
    state.message_times.clear();
    state.without_endpoint_since.clear();
}

void Auditor::on_proxy_disconnected(Micros, const std::string& proxy, const std::string&) {
    ProxyState& state = proxies_[proxy];
    state.instance.clear();
    state.without_endpoint_since.clear();
}

void Auditor::on_proxy_stopped(Micros, const std::string& proxy) {
    proxies_.erase(proxy);
}

// ---- rule "drain", and the server lists

void Auditor::on_server_list_sent(Micros now, const std::string& name,
                                  const xds_server::ServerList& list) {
    InstanceState& state = instances_[name];
    // A list that the settings let an instance reject announces nothing: an empty list after one
    // with servers, or one older than the previous list of the same registry incarnation.
    if (config_.empty_list_policy == config::EmptyListPolicy::Refuse && list.servers.empty() &&
        state.listed_count > 0) {
        return;
    }
    if (list.header.registry_incarnation == state.registry_incarnation &&
        list.header.index < state.list_index) {
        return;
    }
    state.registry_incarnation = list.header.registry_incarnation;
    state.list_index = list.header.index;
    state.listed_count = list.servers.size();
    std::set<std::string> ready;
    for (const auto& listed : list.servers) {
        const std::string key = server_key(listed);
        if (listed.state == ServerState::Ready) {
            ready.insert(key);
        }
        const auto [it, inserted] = state.servers.try_emplace(key);
        if (inserted) {
            it->second.announced_at = now;
            it->second.started = listed.age > 0us ? now - listed.age : 0us;
        }
        it->second.ready = listed.state == ServerState::Ready;
        if (listed.state == ServerState::Draining) {
            state.removed_at.try_emplace(key, now);
        }
    }
    for (auto& [key, server] : state.servers) {
        if (ready.contains(key)) {
            state.removed_at.erase(key);
            continue;
        }
        server.ready = false;
        // With keep_unlisted_servers, only an announced drain removes a server.
        if (!config_.settings.keep_unlisted_servers) {
            state.removed_at.try_emplace(key, now);
        }
    }
}

void Auditor::on_attempt_sent(Micros now, const std::string& name, const std::string& server,
                              std::uint64_t invocation, int operation, int number,
                              testbed::AttemptOutcome previous_outcome) {
    const auto& op = config_.settings.operations[static_cast<std::size_t>(operation)];
    if (op.effect == Effect::SideEffecting && number > 1) {
        ++checks_["effect"];
        if (previous_outcome != testbed::AttemptOutcome::NeverSent &&
            previous_outcome != testbed::AttemptOutcome::Refused) {
            report_violation("effect", now, name + " to " + server,
                             op.name + " " + std::to_string(invocation) +
                                 " retried after an attempt that may have been processed");
        }
    }
    const auto it = proxies_.find(name);
    if (it == proxies_.end() || it->second.instance.empty()) {
        return;
    }
    const auto& removed_at = instances_[it->second.instance].removed_at;
    const auto removal = removed_at.find(server);
    if (removal == removed_at.end()) {
        return;
    }
    ++checks_["drain"];
    const Micros since = std::max(removal->second, it->second.joined);
    const Micros grace(std::llround(static_cast<double>(config_.settings.drain_grace.count()) *
                                    time_limit_factor(since)));
    margins_.drain = std::max(margins_.drain, ratio(now - since, grace));
    if (now - since > grace) {
        report_violation("drain", now, name + " to " + server,
                         "sent " + format_seconds(now - since) + " after " + it->second.instance +
                             " learnt that the server is draining or removed, drain grace " +
                             format_seconds(grace));
    }
}

// ---- rule "effect"

void Auditor::on_execution_started(Micros now, const std::string& server, std::uint64_t invocation,
                                   int operation) {
    const auto& op = config_.settings.operations[static_cast<std::size_t>(operation)];
    if (op.effect != Effect::SideEffecting) {
        return;
    }
    ++checks_["effect"];
    const auto [it, first] = first_effects_.try_emplace(invocation, now, server);
    if (!first) {
        report_violation("effect", now, it->second.second + " and " + server,
                         op.name + " " + std::to_string(invocation) + " was executed twice");
    }
}

// ---- rule "cold"

void Auditor::on_server_started(Micros now, const std::string& server, bool) {
    started_[server] = now;
}

void Auditor::on_server_collapsed(Micros now, const std::string& server,
                                  const std::vector<ReceivedWork>& received) {
    ++checks_["cold"];
    double informed_work = 0;
    double total_work = 0;
    std::map<std::string, double> work_by_proxy;
    std::string informed_instances;
    for (const ReceivedWork& work : received) {
        total_work += work.work;
        work_by_proxy[work.proxy] += work.work;
        const auto it = proxies_.find(work.proxy);
        if (it == proxies_.end() || it->second.instance.empty()) {
            continue;
        }
        const auto& servers = instances_[it->second.instance].servers;
        const auto listed = servers.find(server);
        if (listed == servers.end()) {
            continue;
        }
        const Micros grace(std::llround(static_cast<double>(config_.settings.drain_grace.count()) *
                                        time_limit_factor(listed->second.announced_at)));
        if (it->second.last_update_decided_at < listed->second.announced_at &&
            work.at < listed->second.announced_at + grace) {
            continue;
        }
        informed_work += work.work;
        if (informed_instances.find(it->second.instance) == std::string::npos) {
            informed_instances += (informed_instances.empty() ? "" : ", ") + it->second.instance;
        }
    }
    if (total_work > 0 && informed_work * 3 >= total_work * 2) {
        report_violation(
            "cold", now, server,
            "collapsed " + format_seconds(now - started_[server]) +
                " after its start under load from proxies of " + informed_instances + ": " +
                std::to_string(received.size()) + " attempts, " +
                format_seconds(Micros(std::llround(total_work))) + " of work within " +
                format_seconds(config_.settings.overload_collapse_time) + ", most of it from " +
                std::max_element(work_by_proxy.begin(), work_by_proxy.end(),
                                 [](const auto& a, const auto& b) { return a.second < b.second; })
                    ->first);
    }
}

// ---- rule "queue"

void Auditor::on_response(Micros now, const std::string& proxy, const std::string&,
                          const std::string& release_text, std::size_t, const std::string&) {
    ProxyState& state = proxies_[proxy];
    const auto read = xds::parse_release_text(release_text);
    for (const auto& update : read.updates) {
        record_update(now, proxy, state, read.origin, update);
    }
}

void Auditor::record_update(Micros now, const std::string& proxy, ProxyState& state,
                            const std::string& origin, const xds::ReleasedUpdate& update) {
    state.last_update_decided_at = std::max(state.last_update_decided_at, update.decided_at);
    queues_[origin].emplace(update.decided_at, update.lines);
    queues_[origin].emplace(update.released_at, -update.lines);
    const auto& settings = config_.settings;
    if (settings.max_messages <= 0) {
        return;
    }
    ++checks_["queue"];
    state.message_times.push_back(update.released_at);
    while (state.message_times.front() + settings.message_window <= update.released_at) {
        state.message_times.pop_front();
    }
    margins_.messages = std::max(
        margins_.messages, static_cast<double>(state.message_times.size()) / settings.max_messages);
    if (static_cast<int>(state.message_times.size()) > settings.max_messages) {
        report_violation("queue", now, origin + " to " + proxy,
                         std::to_string(state.message_times.size()) + " messages within " +
                             format_seconds(settings.message_window) + ", limit " +
                             std::to_string(settings.max_messages));
    }
}

void Auditor::finish() {
    check();
    check_timer_.stop();
    for (const auto& [origin, changes] : queues_) {
        double queued_lines = 0;
        for (auto it = changes.begin(); it != changes.end();) {
            // Changes at the same time are summed first: a line released at once was never queued.
            const Micros at = it->first;
            for (; it != changes.end() && it->first == at; ++it) {
                queued_lines += it->second;
            }
            ++checks_["queue"];
            margins_.lines =
                std::max(margins_.lines, queued_lines / config_.settings.max_queued_lines);
            if (queued_lines > config_.settings.max_queued_lines) {
                report_violation(
                    "queue", at, origin,
                    std::to_string(std::llround(queued_lines)) +
                        " lines were queued in its channel, limit " +
                        std::to_string(std::llround(config_.settings.max_queued_lines)));
            }
        }
    }
}

}  // namespace badgergrade::scenario
