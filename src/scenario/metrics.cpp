#include "scenario/metrics.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "xds/release_text.h"

namespace badgergrade::scenario {

using namespace std::chrono_literals;
using nlohmann::ordered_json;

namespace {

constexpr int kWindow = 10;

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

const char* name_of(testbed::AttemptOutcome end) {
    switch (end) {
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
                                 std::map<std::string, std::string> zone_of_forwarder)
    : script_(script),
      begin_(begin),
      zones_(std::move(zone_of_forwarder)),
      by_operation_(script.operations.size()),
      by_second_(
          static_cast<std::size_t>(std::max<std::int64_t>(0, length.count()) / 1000000 + 1)) {}

void ScenarioMetrics::on_invocation_arrived(Micros now, const testbed::Invocation& what) {
    if (now >= begin_) {
        open_[what.id] = what;
    }
}

void ScenarioMetrics::on_client_attempt(Micros, const testbed::Invocation&) {
    ++client_tries_;
}

void ScenarioMetrics::on_invocation_finished(Micros now, const testbed::Invocation& what,
                                             testbed::InvocationResult result) {
    if (open_.erase(what.id) > 0) {
        add(what, result, now - what.arrived_at);
    }
}

void ScenarioMetrics::add(const testbed::Invocation& what, testbed::InvocationResult result,
                          Micros took) {
    const auto& op =
        script_.instance_config.settings.operations[static_cast<std::size_t>(what.operation)];
    ServiceTotals one;
    one.invocations = 1;
    one.billed_value = op.priority_weight;
    switch (result) {
        case testbed::InvocationResult::Succeeded:
            one.succeeded = 1;
            if (took <= op.latency_objective) {
                one.value_within_objective = op.priority_weight;
            } else {
                one.late = 1;
            }
            answered_.push_back(took);
            break;
        case testbed::InvocationResult::RateLimited:
            one.rate_limited = 1;
            break;
        case testbed::InvocationResult::Errored:
            one.errored = 1;
            break;
        case testbed::InvocationResult::TimedOut:
            one.timed_out = 1;
            break;
    }
    whole_ += one;
    by_operation_[static_cast<std::size_t>(what.operation)] += one;
    by_zone_[zones_[what.proxy]] += one;
    const auto second = static_cast<std::size_t>(
        std::max<std::int64_t>(0, (what.arrived_at - begin_).count() / 1000000));
    by_second_[std::min(second, by_second_.size() - 1)] += one;
}

void ScenarioMetrics::finish() {
    for (const auto& [id, what] : std::exchange(open_, {})) {
        add(what, testbed::InvocationResult::TimedOut, 0us);
    }
}

ServiceTotals ScenarioMetrics::worst_window() const {
    ServiceTotals worst;
    bool any = false;
    for (std::size_t at = 0; at + kWindow <= by_second_.size(); ++at) {
        ServiceTotals sum;
        for (std::size_t k = at; k < at + kWindow; ++k) {
            sum += by_second_[k];
        }
        if (sum.billed_value > 0 && (!any || sum.fraction() < worst.fraction())) {
            worst = sum;
            any = true;
        }
    }
    return any ? worst : whole_;
}

// ---- orders

void ScenarioMetrics::on_proxy_connected(Micros now, const std::string& forwarder,
                                         const std::string& governor) {
    forwarders_[forwarder] = {governor, now};
}

void ScenarioMetrics::on_proxy_disconnected(Micros, const std::string& forwarder,
                                            const std::string&) {
    forwarders_[forwarder].governor.clear();
}

void ScenarioMetrics::on_response(Micros now, const std::string& forwarder,
                                  const std::string& governor, const std::string& orders,
                                  std::size_t bytes, const std::string& why) {
    GovernorCounts& counts = governors_[governor];
    ++counts.responses;
    counts.bytes += static_cast<std::int64_t>(bytes);
    counts.rejected += !why.empty();
    Micros newest{};
    for (const auto& order : xds::parse_release_text(orders).updates) {
        ++counts.orders;
        counts.lines += static_cast<std::int64_t>(order.lines);
        newest = std::max(newest, order.decided_at);
    }
    ForwarderSight& sight = forwarders_[forwarder];
    if (!why.empty() || newest == 0us) {
        return;
    }
    for (const Micros told : counts.untold) {
        if (told > sight.applied && told <= newest) {
            applied_.push_back(now - told);
        }
    }
    sight.applied = std::max(sight.applied, newest);
}

void ScenarioMetrics::on_server_list_sent(Micros now, const std::string& governor,
                                          const xds_server::ServerList& list) {
    GovernorCounts& counts = governors_[governor];
    ++counts.lists;
    std::string ready;
    for (const auto& server : list.servers) {
        if (server.state == ServerState::Ready) {
            ready += server.id + "/" + server.incarnation + " ";
        }
    }
    if (ready == counts.shown) {
        return;
    }
    if (!counts.shown.empty()) {
        counts.untold.push_back(now);
    }
    counts.shown = std::move(ready);
}

// ---- tries

void ScenarioMetrics::on_attempt_sent(Micros, const std::string&, const std::string&, std::uint64_t,
                                      int, int number, testbed::AttemptOutcome) {
    ++tries_;
    further_ += number > 1;
}

void ScenarioMetrics::on_attempt_finished(Micros, const std::string&, const std::string&,
                                          std::uint64_t, testbed::AttemptOutcome end) {
    ++ends_[name_of(end)];
}

void ScenarioMetrics::on_server_started(Micros, const std::string&, bool) {
    ++starts_;
}

void ScenarioMetrics::on_server_collapsed(Micros, const std::string&,
                                          const std::vector<ReceivedWork>&) {
    ++falls_;
}

void ScenarioMetrics::on_execution_started(Micros, const std::string& server,
                                           std::uint64_t invocation, int operation) {
    ++effects_;
    ++effects_by_server_[server];
    if (script_.instance_config.settings.operations[static_cast<std::size_t>(operation)].effect !=
        Effect::SideEffecting) {
        return;
    }
    if (++effect_counts_[invocation] == 2) {
        ++double_effects_;
    }
}

ordered_json ScenarioMetrics::json() const {
    ordered_json out;
    out["whole_day"] = to_json(whole_);
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
    out["answer_ms"] = {{"p50", ms(quantile(answered_, 0.5))},
                        {"p99", ms(quantile(answered_, 0.99))}};
    out["tries"] = {
        {"by_clients", client_tries_}, {"by_forwarders", tries_}, {"further", further_}};
    for (const auto& [end, count] : ends_) {
        out["tries"]["ended"][end] = count;
    }
    out["effects"] = {{"all", effects_},
                      {"side_effecting_invocations", effect_counts_.size()},
                      {"twice", double_effects_}};
    out["servers"] = {{"starts", starts_}, {"pushed_over", falls_}};
    for (const auto& [name, counts] : governors_) {
        out["governors"][name] = {{"orders_applied", counts.orders}, {"lines", counts.lines},
                                  {"responses", counts.responses},   {"bytes", counts.bytes},
                                  {"rejected", counts.rejected},     {"lists", counts.lists}};
    }
    out["list_change_to_applied_ms"] = {{"count", applied_.size()},
                                        {"p50", ms(quantile(applied_, 0.5))},
                                        {"p99", ms(quantile(applied_, 0.99))}};
    return out;
}

}  // namespace badgergrade::scenario
