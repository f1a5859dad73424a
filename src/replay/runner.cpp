#include "replay/runner.h"

#include <algorithm>
#include <stdexcept>

#include "replay/recorder.h"
#include "xds/release_text.h"
#include "xds_server/xds_server.h"

namespace badgergrade::replay {

using namespace std::chrono_literals;

void Trace::add(Micros now, const xds_server::XdsServer& service, bool decision, std::string text) {
    if (text_bytes_ > kMaxTextBytes) {
        text.clear();
    }
    text_bytes_ += text.size();
    entries_.push_back({now - begin_, service.id(), decision, std::move(text)});
}

void Trace::on_event(Micros now, const xds_server::XdsServer& service, const Event& event) {
    if (!std::holds_alternative<event::TimerFired>(event)) {
        add(now, service, false, to_text(service, event));
    }
}

void Trace::on_commands(Micros now, const xds_server::XdsServer& service,
                        const std::vector<Command>& commands) {
    std::string text;
    for (const Command& command : commands) {
        if (!std::holds_alternative<command::SetTimer>(command)) {
            text += (text.empty() ? "" : "; ") + to_text(service, command);
        }
    }
    if (!text.empty()) {
        add(now, service, true, std::move(text));
    }
}

TimeSeries::Second& TimeSeries::second_at(Micros now) {
    const auto k =
        static_cast<std::size_t>(std::max<std::int64_t>(0, (now - begin_).count() / 1000000));
    if (seconds_.size() <= k) {
        seconds_.resize(k + 1);
    }
    return seconds_[k];
}

void TimeSeries::on_invocation_arrived(Micros now, const testbed::Invocation&) {
    ++second_at(now).invocations;
}

void TimeSeries::on_attempt_sent(Micros now, const std::string&, const std::string&, std::uint64_t,
                                 int, int number, testbed::AttemptOutcome) {
    Second& second = second_at(now);
    ++second.attempts;
    second.retries += number > 1;
}

void TimeSeries::on_proxy_connected(Micros now, const std::string&, const std::string&) {
    ++second_at(now).connects;
}

void TimeSeries::on_server_collapsed(Micros now, const std::string&,
                                     const std::vector<ReceivedWork>&) {
    ++second_at(now).overload_collapses;
}

void TimeSeries::on_response(Micros now, const std::string&, const std::string&,
                             const std::string& release_text, std::size_t,
                             const std::string& rejection) {
    const auto releases = xds::parse_release_text(release_text);
    for (const auto& update : releases.updates) {
        if (rejection.empty()) {
            second_at(now).applied_lines += update.lines;
        }
        auto& changes = queue_changes_[releases.origin];
        changes[update.decided_at] += update.lines;
        changes[update.released_at] -= update.lines;
    }
}

std::vector<TimeSeries::Second> TimeSeries::seconds(Micros length) const {
    auto out = seconds_;
    out.resize(static_cast<std::size_t>(length.count() / 1000000 + 1));
    for (const auto& [instance, changes] : queue_changes_) {
        double queued_lines = 0;
        for (auto it = changes.begin(); it != changes.end(); ++it) {
            queued_lines += it->second;
            const auto next = std::next(it);
            const auto first = static_cast<std::size_t>(
                std::max<std::int64_t>(0, (it->first - begin_).count() / 1000000));
            const auto last = next == changes.end()
                                  ? first
                                  : static_cast<std::size_t>(std::max<std::int64_t>(
                                        0, (next->first - begin_).count() / 1000000));
            for (std::size_t k = first; k <= last && k < out.size(); ++k) {
                out[k].queued_lines = std::max(out[k].queued_lines, queued_lines);
            }
        }
    }
    return out;
}

ReplayResult run_replay(const RecordedRun& recorded, const Variant& variant,
                        const ReplayOptions& options) {
    std::vector<config::ConfigError> errors;
    ReplayInput replay_input = make_replay_input(recorded, variant, errors);
    if (!errors.empty()) {
        throw std::runtime_error(config::to_text(errors.front()));
    }
    ReplayResult out;
    out.from = options.from;
    out.to = options.to > 0us ? options.to : recorded.length;
    if (out.from < 0us || out.from >= out.to || out.to > recorded.length) {
        throw std::runtime_error(
            "expected a span within 0 to " +
            std::to_string(static_cast<double>(recorded.length.count()) / 1e6) +
            " s that ends after it starts");
    }
    if (options.seed) {
        replay_input.script.seed = *options.seed;
    }
    replay_input.script.length = out.to;
    for (auto& [proxy, invocations] : replay_input.input.traffic) {
        std::erase_if(invocations, [&](const auto& call) {
            return call.arrived_at < out.from - options.warm_up || call.arrived_at >= out.to;
        });
    }
    // Times count from the clock's time at the start, which run_scenario passes to make_observers.
    std::optional<Trace> trace;
    std::optional<TimeSeries> series;
    scenario::ScenarioOptions run_options;
    run_options.clock = options.clock;
    run_options.speed = options.speed;
    run_options.log_level = options.log;
    run_options.recorded = &replay_input.input;
    run_options.measure_from = out.from;
    run_options.observers = options.observers;
    run_options.make_observers = [&](Micros begin) {
        trace.emplace(begin);
        series.emplace(begin);
        return std::vector<testbed::Observer*>{&*series};
    };
    run_options.before_start = [&](scenario::SimulatedFleet& fleet) {
        fleet.instance_observer = &*trace;
        if (options.before) {
            options.before(fleet);
        }
    };
    out.run = scenario::run_scenario(replay_input.script, run_options);
    out.script = std::move(replay_input.script);
    out.trace = trace->entries();
    out.seconds = series->seconds(out.to);
    return out;
}

}  // namespace badgergrade::replay
