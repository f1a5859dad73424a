#include "scenario/auditor.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace badgergrade::scenario {

using namespace std::chrono_literals;

namespace {
constexpr Micros kLook = 20ms;
constexpr std::size_t kBreaksKept = 100;

double part(Micros a, Micros b) {
    return b > 0us ? static_cast<double>(a.count()) / static_cast<double>(b.count()) : 0;
}

std::string key_of(const xds_server::ListedServer& listed) {
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
      tick_(clock, base::ActorId{1}) {
    tick_.after(kLook, [this] { look(); });
}

void Auditor::report_violation(std::string rule, Micros when, std::string parties,
                               std::string what) {
    ++counts_[rule];
    if (!told_.emplace(rule, parties).second || breaks_.size() >= kBreaksKept) {
        return;
    }
    breaks_.push_back({std::move(rule), when, std::move(parties), std::move(what)});
}

std::int64_t Auditor::violation_count(const std::string& rule) const {
    const auto it = counts_.find(rule);
    return it == counts_.end() ? 0 : it->second;
}

std::int64_t Auditor::check_count(const std::string& rule) const {
    const auto it = checks_.find(rule);
    return it == checks_.end() ? 0 : it->second;
}

void Auditor::scale_time_limits(double factor) {
    stretches_.emplace_back(clock_.now(), std::max(1.0, factor));
}

double Auditor::stretch_since(Micros since) const {
    double out = 1;
    for (std::size_t k = 0; k < stretches_.size(); ++k) {
        const bool over = k + 1 < stretches_.size() && stretches_[k + 1].first < since;
        if (!over) {
            out = std::max(out, stretches_[k].second);
        }
    }
    return out;
}

// ---- nobody left without a server

bool Auditor::warm_server_listed(const GovernorSight& sight, Micros now) const {
    return std::any_of(sight.servers.begin(), sight.servers.end(), [&](const auto& entry) {
        const ListedSight& server = entry.second;
        return server.ready && (server.started <= 0us ||
                                server.started + config_.settings.slow_start_window <= now);
    });
}

void Auditor::look() {
    tick_.after(kLook, [this] { look(); });
    const Micros now = clock_.now();
    for (auto& [name, sight] : forwarders_) {
        look_at(name, sight, now);
    }
}

void Auditor::look_at(const std::string& name, ForwarderSight& sight, Micros now) {
    if (sight.governor.empty()) {
        sight.bare_since.clear();
        return;
    }
    ++checks_["bare"];
    const bool could = warm_server_listed(governors_[sight.governor], now);
    for (const auto& [operation, any] : sight.any) {
        if (any || !could) {
            sight.bare_since.erase(operation);
            continue;
        }
        const Micros since = sight.bare_since.try_emplace(operation, now).first->second;
        const Micros most(
            std::llround(static_cast<double>(config_.settings.max_time_without_server.count()) *
                         stretch_since(since)));
        margins_.bare = std::max(margins_.bare, part(now - since, most));
        if (now - since > most) {
            report_violation("bare", now, name + " of " + sight.governor,
                             "no server to pick for operation " + std::to_string(operation) +
                                 " for " + format_seconds(now - since));
        }
    }
}

void Auditor::on_endpoint_availability(Micros, const std::string& forwarder, int operation,
                                       bool any) {
    forwarders_[forwarder].any[operation] = any;
}

void Auditor::on_proxy_connected(Micros now, const std::string& forwarder,
                                 const std::string& governor) {
    ForwarderSight& sight = forwarders_[forwarder];
    sight.governor = governor;
    sight.joined = now;
    sight.last_order = 0us;
    sight.messages.clear();
    sight.bare_since.clear();
}

void Auditor::on_proxy_disconnected(Micros, const std::string& forwarder, const std::string&) {
    ForwarderSight& sight = forwarders_[forwarder];
    sight.governor.clear();
    sight.bare_since.clear();
}

void Auditor::on_proxy_stopped(Micros, const std::string& forwarder) {
    forwarders_.erase(forwarder);
}

// ---- the list, and drains

void Auditor::on_server_list_sent(Micros now, const std::string& name,
                                  const xds_server::ServerList& list) {
    GovernorSight& sight = governors_[name];
    // What the settings let a governor refuse has not told it anything: an empty list after a full
    // one, and one older than what the same registry gave before.
    if (config_.empty_list_policy == config::EmptyListPolicy::Refuse && list.servers.empty() &&
        sight.servers_told > 0) {
        return;
    }
    if (list.header.registry_incarnation == sight.registry && list.header.index < sight.index) {
        return;
    }
    sight.registry = list.header.registry_incarnation;
    sight.index = list.header.index;
    sight.servers_told = list.servers.size();
    std::set<std::string> ready;
    for (const auto& listed : list.servers) {
        const std::string key = key_of(listed);
        if (listed.state == ServerState::Ready) {
            ready.insert(key);
        }
        const auto [it, fresh] = sight.servers.try_emplace(key);
        if (fresh) {
            it->second.told = now;
            it->second.started = listed.age > 0us ? now - listed.age : 0us;
        }
        it->second.ready = listed.state == ServerState::Ready;
        if (listed.state == ServerState::Draining) {
            sight.gone.try_emplace(key, now);
        }
    }
    for (auto& [key, server] : sight.servers) {
        if (ready.contains(key)) {
            sight.gone.erase(key);
            continue;
        }
        server.ready = false;
        // Where only a stated drain binds, a server that merely vanished may stay.
        if (!config_.settings.keep_unlisted_servers) {
            sight.gone.try_emplace(key, now);
        }
    }
}

void Auditor::on_attempt_sent(Micros now, const std::string& name, const std::string& server,
                              std::uint64_t invocation, int operation, int number,
                              testbed::AttemptOutcome before) {
    const auto& op = config_.settings.operations[static_cast<std::size_t>(operation)];
    if (op.effect == Effect::SideEffecting && number > 1) {
        ++checks_["effect"];
        if (before != testbed::AttemptOutcome::NeverSent &&
            before != testbed::AttemptOutcome::Refused) {
            report_violation("effect", now, name + " to " + server,
                             op.name + " " + std::to_string(invocation) +
                                 " sent again after a try that may have run");
        }
    }
    const auto it = forwarders_.find(name);
    if (it == forwarders_.end() || it->second.governor.empty()) {
        return;
    }
    const auto& gone = governors_[it->second.governor].gone;
    const auto told = gone.find(server);
    if (told == gone.end()) {
        return;
    }
    ++checks_["drain"];
    const Micros since = std::max(told->second, it->second.joined);
    const Micros grace(std::llround(static_cast<double>(config_.settings.drain_grace.count()) *
                                    stretch_since(since)));
    margins_.drain = std::max(margins_.drain, part(now - since, grace));
    if (now - since > grace) {
        report_violation("drain", now, name + " to " + server,
                         "sent " + format_seconds(now - since) + " after " + it->second.governor +
                             " was told that it drains or is gone");
    }
}

// ---- effects

void Auditor::on_execution_started(Micros now, const std::string& server, std::uint64_t invocation,
                                   int operation) {
    const auto& op = config_.settings.operations[static_cast<std::size_t>(operation)];
    if (op.effect != Effect::SideEffecting) {
        return;
    }
    ++checks_["effect"];
    const auto [it, first] = effects_.try_emplace(invocation, now, server);
    if (!first) {
        report_violation("effect", now, it->second.second + " and " + server,
                         op.name + " " + std::to_string(invocation) + " took effect twice");
    }
}

// ---- cold servers

void Auditor::on_server_started(Micros now, const std::string& server, bool) {
    started_[server] = now;
}

void Auditor::on_server_collapsed(Micros now, const std::string& server,
                                  const std::vector<ReceivedWork>& pushes) {
    ++checks_["cold"];
    double knowing = 0;
    double all = 0;
    std::map<std::string, double> by;
    std::string who;
    for (const ReceivedWork& push : pushes) {
        all += push.work;
        by[push.proxy] += push.work;
        const auto it = forwarders_.find(push.proxy);
        if (it == forwarders_.end() || it->second.governor.empty()) {
            continue;
        }
        const auto& servers = governors_[it->second.governor].servers;
        const auto listed = servers.find(server);
        if (listed == servers.end()) {
            continue;
        }
        const Micros grace(std::llround(static_cast<double>(config_.settings.drain_grace.count()) *
                                        stretch_since(listed->second.told)));
        if (it->second.last_order < listed->second.told && push.at < listed->second.told + grace) {
            continue;
        }
        knowing += push.work;
        if (who.find(it->second.governor) == std::string::npos) {
            who += (who.empty() ? "" : ", ") + it->second.governor;
        }
    }
    if (all > 0 && knowing * 3 >= all * 2) {
        report_violation(
            "cold", now, server,
            "pushed over " + format_seconds(now - started_[server]) +
                " after its start by forwarders of " + who + ": " + std::to_string(pushes.size()) +
                " tries, " + format_seconds(Micros(std::llround(all))) + " of work within " +
                format_seconds(config_.settings.overload_collapse_time) + ", most of it by " +
                std::max_element(by.begin(), by.end(), [](const auto& a, const auto& b) {
                    return a.second < b.second;
                })->first);
    }
}

// ---- the queue

void Auditor::on_response(Micros now, const std::string& forwarder, const std::string&,
                          const std::string& orders, std::size_t, const std::string&) {
    ForwarderSight& sight = forwarders_[forwarder];
    const auto read = xds::parse_release_text(orders);
    for (const auto& order : read.updates) {
        take_order(now, forwarder, sight, read.origin, order);
    }
}

void Auditor::take_order(Micros now, const std::string& forwarder, ForwarderSight& sight,
                         const std::string& origin, const xds::ReleasedUpdate& order) {
    sight.last_order = std::max(sight.last_order, order.decided_at);
    queues_[origin].emplace(order.decided_at, order.lines);
    queues_[origin].emplace(order.released_at, -order.lines);
    const auto& told = config_.settings;
    if (told.max_messages <= 0) {
        return;
    }
    ++checks_["queue"];
    sight.messages.push_back(order.released_at);
    while (sight.messages.front() + told.message_window <= order.released_at) {
        sight.messages.pop_front();
    }
    margins_.messages =
        std::max(margins_.messages, static_cast<double>(sight.messages.size()) / told.max_messages);
    if (static_cast<int>(sight.messages.size()) > told.max_messages) {
        report_violation("queue", now, origin + " to " + forwarder,
                         std::to_string(sight.messages.size()) + " messages within " +
                             format_seconds(told.message_window));
    }
}

void Auditor::finish() {
    look();
    tick_.stop();
    for (const auto& [origin, moves] : queues_) {
        double waiting = 0;
        for (auto it = moves.begin(); it != moves.end();) {
            // All that happens at one moment counts together: what leaves at once has not waited.
            const Micros at = it->first;
            for (; it != moves.end() && it->first == at; ++it) {
                waiting += it->second;
            }
            ++checks_["queue"];
            margins_.lines = std::max(margins_.lines, waiting / config_.settings.max_queued_lines);
            if (waiting > config_.settings.max_queued_lines) {
                report_violation(
                    "queue", at, origin,
                    std::to_string(std::llround(waiting)) + " lines waited in its channel");
            }
        }
    }
}

}  // namespace badgergrade::scenario
