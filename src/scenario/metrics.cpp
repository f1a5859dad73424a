#include "scenario/metrics.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "xds/release_text.h"

namespace badgergrade::scenario {

using namespace std::chrono_literals;
using nlohmann::ordered_json;

namespace {

constexpr int kWorstWindowSeconds = 10;

double rounded(double v) {
    return std::round(v * 1e6) / 1e6;
}

double ms(Micros t) {
    return rounded(static_cast<double>(t.count()) / 1000);
}

ServiceTotals& operator+=(ServiceTotals& a, const ServiceTotals& b) {
    a.billed_value += b.billed_value;
    a.value_within_objective += b.value_within_objective;
    a.invocations += b.invocations;
    a.succeeded += b.succeeded;
    a.rate_limited += b.rate_limited;
    a.errored += b.errored;
    a.timed_out += b.timed_out;
    a.late += b.late;
    return a;
}

ordered_json to_json(const ServiceTotals& s) {
    return {{"service", rounded(s.fraction())}, {"invocations", s.invocations},
            {"succeeded", s.succeeded},         {"late", s.late},
            {"rate_limited", s.rate_limited},   {"errored", s.errored},
            {"timed_out", s.timed_out}};
}

const char* name_of(testbed::AttemptOutcome outcome) {
    switch (outcome) {
        case testbed::AttemptOutcome::Answered:
            return "answered";
        case testbed::AttemptOutcome::Refused:
            return "refused";
        case testbed::AttemptOutcome::NeverSent:
            return "never_sent";
        case testbed::AttemptOutcome::Broken:
            return "broken";
        case testbed::AttemptOutcome::TimedOut:
            return "timed_out";
        case testbed::AttemptOutcome::Errored:
            return "errored";
    }
    return "";
}

}  // namespace

Micros quantile(std::vector<Micros> values, double part) {
    if (values.empty()) {
        return 0us;
    }
    const auto at =
        static_cast<std::size_t>(std::min(static_cast<double>(values.size()) - 1,
                                          std::floor(part * static_cast<double>(values.size()))));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

ScenarioMetrics::ScenarioMetrics(const ScenarioScript& script, Micros begin, Micros length,
                                 std::map<std::string, std::string> proxy_zones)
    : script_(script),
      begin_(begin),
      proxy_zones_(std::move(proxy_zones)),
      by_operation_(script.operations.size()),
      by_second_(
          static_cast<std::size_t>(std::max<std::int64_t>(0, length.count()) / 1000000 + 1)) {}

void ScenarioMetrics::on_invocation_arrived(Micros now, const testbed::Invocation& invocation) {
    if (now >= begin_) {
        pending_[invocation.id] = invocation;
    }
}

void ScenarioMetrics::on_client_attempt(Micros, const testbed::Invocation&) {
    ++client_attempts_;
}

void ScenarioMetrics::on_invocation_finished(Micros now, const testbed::Invocation& invocation,
                                             testbed::InvocationResult result) {
    if (pending_.erase(invocation.id) > 0) {
        record(invocation, result, now - invocation.arrived_at);
    }
}

void ScenarioMetrics::record(const testbed::Invocation& invocation,
                             testbed::InvocationResult result, Micros response_time) {
    const auto& op =
        script_.instance_config.settings.operations[static_cast<std::size_t>(invocation.operation)];
    ServiceTotals totals;
    totals.invocations = 1;
    totals.billed_value = op.priority_weight;
    switch (result) {
        case testbed::InvocationResult::Succeeded:
            totals.succeeded = 1;
            if (response_time <= op.latency_objective) {
                totals.value_within_objective = op.priority_weight;
            } else {
                totals.late = 1;
            }
            response_times_.push_back(response_time);
            break;
        case testbed::InvocationResult::RateLimited:
            totals.rate_limited = 1;
            break;
        case testbed::InvocationResult::Errored:
            totals.errored = 1;
            break;
        case testbed::InvocationResult::TimedOut:
            totals.timed_out = 1;
            break;
    }
    total_ += totals;
    by_operation_[static_cast<std::size_t>(invocation.operation)] += totals;
    by_zone_[proxy_zones_[invocation.proxy]] += totals;
    const auto second = static_cast<std::size_t>(
        std::max<std::int64_t>(0, (invocation.arrived_at - begin_).count() / 1000000));
    by_second_[std::min(second, by_second_.size() - 1)] += totals;
}

void ScenarioMetrics::finish() {
    for (const auto& [id, invocation] : std::exchange(pending_, {})) {
        record(invocation, testbed::InvocationResult::TimedOut, 0us);
    }
}

ServiceTotals ScenarioMetrics::worst_window() const {
    ServiceTotals worst;
    bool found = false;
    for (std::size_t at = 0; at + kWorstWindowSeconds <= by_second_.size(); ++at) {
        ServiceTotals window;
        for (std::size_t k = at; k < at + kWorstWindowSeconds; ++k) {
            window += by_second_[k];
        }
        if (window.billed_value > 0 && (!found || window.fraction() < worst.fraction())) {
            worst = window;
            found = true;
        }
    }
    return found ? worst : total_;
}

// ---- configuration updates

void ScenarioMetrics::on_proxy_connected(Micros now, const std::string& proxy,
                                         const std::string& instance) {
    proxies_[proxy] = {instance, now};
}

void ScenarioMetrics::on_proxy_disconnected(Micros, const std::string& proxy, const std::string&) {
    proxies_[proxy].instance.clear();
}

void ScenarioMetrics::on_response(Micros now, const std::string& proxy, const std::string& instance,
                                  const std::string& release_text, std::size_t bytes,
                                  const std::string& why) {
    InstanceCounts& counts = instances_[instance];
    ++counts.responses;
    counts.bytes += static_cast<std::int64_t>(bytes);
    counts.rejected += !why.empty();
    Micros newest{};
    for (const auto& order : xds::parse_release_text(release_text).updates) {
        ++counts.updates;
        counts.lines += static_cast<std::int64_t>(order.lines);
        newest = std::max(newest, order.decided_at);
    }
    ProxyState& state = proxies_[proxy];
    if (!why.empty() || newest == 0us) {
        return;
    }
    for (const Micros list_changed_at : counts.list_changes) {
        if (list_changed_at > state.applied && list_changed_at <= newest) {
            apply_delays_.push_back(now - list_changed_at);
        }
    }
    state.applied = std::max(state.applied, newest);
}

void ScenarioMetrics::on_server_list_sent(Micros now, const std::string& instance,
                                          const xds_server::ServerList& list) {
    InstanceCounts& counts = instances_[instance];
    ++counts.lists;
    std::string ready;
    for (const auto& server : list.servers) {
        if (server.state == ServerState::Ready) {
            ready += server.id + "/" + server.incarnation + " ";
        }
    }
    if (ready == counts.ready_servers) {
        return;
    }
    if (!counts.ready_servers.empty()) {
        counts.list_changes.push_back(now);
    }
    counts.ready_servers = std::move(ready);
}

// ---- attempts

void ScenarioMetrics::on_attempt_sent(Micros, const std::string&, const std::string&, std::uint64_t,
                                      int, int number, testbed::AttemptOutcome) {
    ++proxy_attempts_;
    retries_ += number > 1;
}

void ScenarioMetrics::on_attempt_finished(Micros, const std::string&, const std::string&,
                                          std::uint64_t, testbed::AttemptOutcome outcome) {
    ++attempt_outcomes_[name_of(outcome)];
}

void ScenarioMetrics::on_server_started(Micros, const std::string&, bool) {
    ++server_starts_;
}

void ScenarioMetrics::on_server_collapsed(Micros, const std::string&,
                                          const std::vector<ReceivedWork>&) {
    ++collapses_;
}

void ScenarioMetrics::on_execution_started(Micros, const std::string& server,
                                           std::uint64_t invocation, int operation) {
    ++executions_;
    ++executions_by_server_[server];
    if (script_.instance_config.settings.operations[static_cast<std::size_t>(operation)].effect !=
        Effect::SideEffecting) {
        return;
    }
    if (++side_effect_counts_[invocation] == 2) {
        ++double_executions_;
    }
}

ordered_json ScenarioMetrics::json() const {
    ordered_json out;
    out["whole_day"] = to_json(total_);
    out["worst_10_s"] = rounded(worst_window().fraction());
    for (std::size_t k = 0; k < by_operation_.size(); ++k) {
        out["by_operation"][script_.operations[k].name] = to_json(by_operation_[k]);
    }
    for (const auto& [zone, service] : by_zone_) {
        out["by_zone"][zone] = to_json(service);
    }
    for (const ServiceTotals& second : by_second_) {
        out["by_second"].push_back(rounded(second.fraction()));
    }
    out["answer_ms"] = {{"p50", ms(quantile(response_times_, 0.5))},
                        {"p99", ms(quantile(response_times_, 0.99))}};
    out["tries"] = {{"by_clients", client_attempts_},
                    {"by_forwarders", proxy_attempts_},
                    {"further", retries_}};
    for (const auto& [outcome, count] : attempt_outcomes_) {
        out["tries"]["ended"][outcome] = count;
    }
    out["effects"] = {{"all", executions_},
                      {"side_effecting_invocations", side_effect_counts_.size()},
                      {"twice", double_executions_}};
    out["servers"] = {{"starts", server_starts_}, {"pushed_over", collapses_}};
    for (const auto& [name, counts] : instances_) {
        out["governors"][name] = {{"orders_applied", counts.updates}, {"lines", counts.lines},
                                  {"responses", counts.responses},    {"bytes", counts.bytes},
                                  {"rejected", counts.rejected},      {"lists", counts.lists}};
    }
    out["list_change_to_applied_ms"] = {{"count", apply_delays_.size()},
                                        {"p50", ms(quantile(apply_delays_, 0.5))},
                                        {"p99", ms(quantile(apply_delays_, 0.99))}};
    return out;
}

}  // namespace badgergrade::scenario
