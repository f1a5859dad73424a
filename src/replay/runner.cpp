#include "replay/runner.h"

#include <algorithm>
#include <stdexcept>

#include "replay/recorder.h"
#include "xds/release_text.h"
#include "xds_server/xds_server.h"

namespace badgergrade::replay {

using namespace std::chrono_literals;

// ---- the trace

void Trace::add(Micros now, const xds_server::XdsServer& service, bool decision, std::string text) {
    if (text_ > kTextMost) {
        text.clear();
    }
    text_ += text.size();
    entries_.push_back({now - begin_, service.id(), decision, std::move(text)});
}

void Trace::on_event(Micros now, const xds_server::XdsServer& service, const Event& event) {
    if (!std::holds_alternative<event::TimerFired>(event)) {
        add(now, service, false, to_text(service, event));
    }
}

void Trace::on_commands(Micros now, const xds_server::XdsServer& service,
                        const std::vector<Command>& actions) {
    std::string text;
    for (const Command& action : actions) {
        if (!std::holds_alternative<command::SetTimer>(action)) {
            text += (text.empty() ? "" : "; ") + to_text(service, action);
        }
    }
    if (!text.empty()) {
        add(now, service, true, std::move(text));
    }
}

// ---- the series

TimeSeries::Second& TimeSeries::at(Micros now) {
    const auto k =
        static_cast<std::size_t>(std::max<std::int64_t>(0, (now - begin_).count() / 1000000));
    if (seconds_.size() <= k) {
        seconds_.resize(k + 1);
    }
    return seconds_[k];
}

void TimeSeries::on_invocation_arrived(Micros now, const testbed::Invocation&) {
    ++at(now).came;
}

void TimeSeries::on_attempt_sent(Micros now, const std::string&, const std::string&, std::uint64_t,
                                 int, int number, testbed::AttemptOutcome) {
    Second& second = at(now);
    ++second.tries;
    second.further += number > 1;
}

void TimeSeries::on_proxy_connected(Micros now, const std::string&, const std::string&) {
    ++at(now).joins;
}

void TimeSeries::on_server_collapsed(Micros now, const std::string&,
                                     const std::vector<ReceivedWork>&) {
    ++at(now).pushed_over;
}

void TimeSeries::on_response(Micros now, const std::string&, const std::string&,
                             const std::string& orders, std::size_t, const std::string& why) {
    const auto read = xds::parse_release_text(orders);
    for (const auto& order : read.updates) {
        if (why.empty()) {
            at(now).lines += order.lines;
        }
        auto& moves = moves_[read.origin];
        moves[order.decided_at] += order.lines;
        moves[order.released_at] -= order.lines;
    }
}

std::vector<TimeSeries::Second> TimeSeries::seconds(Micros length) const {
    auto out = seconds_;
    out.resize(static_cast<std::size_t>(length.count() / 1000000 + 1));
    for (const auto& [governor, moves] : moves_) {
        double waiting = 0;
        for (auto it = moves.begin(); it != moves.end(); ++it) {
            waiting += it->second;
            const auto next = std::next(it);
            const auto first = static_cast<std::size_t>(
                std::max<std::int64_t>(0, (it->first - begin_).count() / 1000000));
            const auto last = next == moves.end()
                                  ? first
                                  : static_cast<std::size_t>(std::max<std::int64_t>(
                                        0, (next->first - begin_).count() / 1000000));
            for (std::size_t k = first; k <= last && k < out.size(); ++k) {
                out[k].waiting = std::max(out[k].waiting, waiting);
            }
        }
    }
    return out;
}

// ---- a run

ReplayResult run_replay(const RecordedRun& day, const Variant& variant,
                        const ReplayOptions& options) {
    std::vector<config::ConfigError> mistakes;
    ReplayInput playable = make_replay_input(day, variant, mistakes);
    if (!mistakes.empty()) {
        throw std::runtime_error(config::to_text(mistakes.front()));
    }
    ReplayResult out;
    out.from = options.from;
    out.to = options.to > 0us ? options.to : day.length;
    if (out.from < 0us || out.from >= out.to || out.to > day.length) {
        throw std::runtime_error("the day lasts from 0 to " +
                                 std::to_string(static_cast<double>(day.length.count()) / 1e6) +
                                 " s; from must lie before to, and both within it");
    }
    if (options.seed) {
        playable.script.seed = *options.seed;
    }
    playable.script.length = out.to;
    for (auto& [forwarder, list] : playable.input.traffic) {
        std::erase_if(list, [&](const auto& one) {
            return one.arrived_at < out.from - options.warm_up || one.arrived_at >= out.to;
        });
    }
    // A virtual and a real clock both begin here (day/runner.cpp).
    std::optional<Trace> trace;
    std::optional<TimeSeries> series;
    scenario::ScenarioOptions how;
    how.clock = options.clock;
    how.speed = options.speed;
    how.log_level = options.log;
    how.recorded = &playable.input;
    how.measure_from = out.from;
    how.observers = options.watchers;
    how.make_observers = [&](Micros begin) {
        trace.emplace(begin);
        series.emplace(begin);
        return std::vector<testbed::Observer*>{&*series};
    };
    how.before_start = [&](scenario::SimulatedFleet& world) {
        world.instance_observer = &*trace;
        if (options.before) {
            options.before(world);
        }
    };
    out.run = scenario::run_scenario(playable.script, how);
    out.script = std::move(playable.script);
    out.trace = trace->entries();
    out.seconds = series->seconds(out.to);
    return out;
}

}  // namespace badgergrade::replay
