#include "scenario/figures.h"

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

Service& operator+=(Service& a, const Service& b) {
    a.asked += b.asked;
    a.within += b.within;
    a.invocations += b.invocations;
    a.succeeded += b.succeeded;
    a.rate_limited += b.rate_limited;
    a.errored += b.errored;
    a.timed_out += b.timed_out;
    a.late += b.late;
    return a;
}

ordered_json to_json(const Service& s) {
    return {{"service", rounded(s.part())},   {"invocations", s.invocations},
            {"succeeded", s.succeeded},       {"late", s.late},
            {"rate_limited", s.rate_limited}, {"errored", s.errored},
            {"timed_out", s.timed_out}};
}

const char* name_of(testbed::TryEnd end) {
    switch (end) {
        case testbed::TryEnd::Answered:
            return "answered";
        case testbed::TryEnd::Refused:
            return "refused";
        case testbed::TryEnd::NeverSent:
            return "never_sent";
        case testbed::TryEnd::Broken:
            return "broken";
        case testbed::TryEnd::TimedOut:
            return "timed_out";
        case testbed::TryEnd::Errored:
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

Figures::Figures(const DayScript& script, Micros begin, Micros length,
                 std::map<std::string, std::string> zone_of_forwarder)
    : script_(script),
      begin_(begin),
      zones_(std::move(zone_of_forwarder)),
      by_operation_(script.operations.size()),
      by_second_(
          static_cast<std::size_t>(std::max<std::int64_t>(0, length.count()) / 1000000 + 1)) {}

void Figures::invocation_came(Micros now, const testbed::Invocation& what) {
    if (now >= begin_) {
        open_[what.id] = what;
    }
}

void Figures::client_try(Micros, const testbed::Invocation&) {
    ++client_tries_;
}

void Figures::invocation_ended(Micros now, const testbed::Invocation& what,
                               testbed::Result result) {
    if (open_.erase(what.id) > 0) {
        add(what, result, now - what.came);
    }
}

void Figures::add(const testbed::Invocation& what, testbed::Result result, Micros took) {
    const auto& op = script_.governor.settings.operations[static_cast<std::size_t>(what.operation)];
    Service one;
    one.invocations = 1;
    one.asked = op.priority_weight;
    switch (result) {
        case testbed::Result::Succeeded:
            one.succeeded = 1;
            if (took <= op.latency_objective) {
                one.within = op.priority_weight;
            } else {
                one.late = 1;
            }
            answered_.push_back(took);
            break;
        case testbed::Result::RateLimited:
            one.rate_limited = 1;
            break;
        case testbed::Result::Errored:
            one.errored = 1;
            break;
        case testbed::Result::TimedOut:
            one.timed_out = 1;
            break;
    }
    whole_ += one;
    by_operation_[static_cast<std::size_t>(what.operation)] += one;
    by_zone_[zones_[what.forwarder]] += one;
    const auto second =
        static_cast<std::size_t>(std::max<std::int64_t>(0, (what.came - begin_).count() / 1000000));
    by_second_[std::min(second, by_second_.size() - 1)] += one;
}

void Figures::close() {
    for (const auto& [id, what] : std::exchange(open_, {})) {
        add(what, testbed::Result::TimedOut, 0us);
    }
}

Service Figures::worst_window() const {
    Service worst;
    bool any = false;
    for (std::size_t at = 0; at + kWindow <= by_second_.size(); ++at) {
        Service sum;
        for (std::size_t k = at; k < at + kWindow; ++k) {
            sum += by_second_[k];
        }
        if (sum.asked > 0 && (!any || sum.part() < worst.part())) {
            worst = sum;
            any = true;
        }
    }
    return any ? worst : whole_;
}

// ---- orders

void Figures::joined(Micros now, const std::string& forwarder, const std::string& governor) {
    forwarders_[forwarder] = {governor, now};
}

void Figures::left(Micros, const std::string& forwarder, const std::string&) {
    forwarders_[forwarder].governor.clear();
}

void Figures::response_read(Micros now, const std::string& forwarder, const std::string& governor,
                            const std::string& orders, std::size_t bytes, const std::string& why) {
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

void Figures::list_told(Micros now, const std::string& governor,
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

void Figures::try_sent(Micros, const std::string&, const std::string&, std::uint64_t, int,
                       int number, testbed::TryEnd) {
    ++tries_;
    further_ += number > 1;
}

void Figures::try_ended(Micros, const std::string&, const std::string&, std::uint64_t,
                        testbed::TryEnd end) {
    ++ends_[name_of(end)];
}

void Figures::server_up(Micros, const std::string&, bool) {
    ++starts_;
}

void Figures::server_fell(Micros, const std::string&, const std::vector<Push>&) {
    ++falls_;
}

void Figures::took_effect(Micros, const std::string& server, std::uint64_t invocation,
                          int operation) {
    ++effects_;
    ++effects_by_server_[server];
    if (script_.governor.settings.operations[static_cast<std::size_t>(operation)].effect !=
        Effect::SideEffecting) {
        return;
    }
    if (++effect_counts_[invocation] == 2) {
        ++double_effects_;
    }
}

ordered_json Figures::json() const {
    ordered_json out;
    out["whole_day"] = to_json(whole_);
    out["worst_10_s"] = rounded(worst_window().part());
    for (std::size_t k = 0; k < by_operation_.size(); ++k) {
        out["by_operation"][script_.operations[k].name] = to_json(by_operation_[k]);
    }
    for (const auto& [zone, service] : by_zone_) {
        out["by_zone"][zone] = to_json(service);
    }
    for (const Service& second : by_second_) {
        out["by_second"].push_back(rounded(second.part()));
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
