// Plays a recorded day again through governors on loopback sockets, and keeps what is needed to
// compare runs.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "replay/variant.h"
#include "scenario/runner.h"
#include "xds_server/xds_server_observer.h"

namespace badgergrade::replay {

// What the governors heard and decided, in order. Beats of the module are left out.
class Trace final : public xds_server::XdsServerObserver {
public:
    struct Entry {
        Micros at{};
        std::string governor;
        bool decision = false;  // else something heard
        std::string text;
        friend bool operator==(const Entry&, const Entry&) = default;
    };

    explicit Trace(Micros begin = {}) : begin_(begin) {}

    void on_event(Micros, const xds_server::XdsServer&, const Event&) override;
    void on_commands(Micros, const xds_server::XdsServer&, const std::vector<Command>&) override;

    const std::vector<Entry>& entries() const { return entries_; }

    // Past this many bytes of text only times are kept, so that an hour stays in memory.
    static constexpr std::size_t kTextMost = 256u << 20;

private:
    void add(Micros now, const xds_server::XdsServer& service, bool decision, std::string text);

    Micros begin_;
    std::vector<Entry> entries_;
    std::size_t text_ = 0;
};

// By seconds of the day: for plots.
class TimeSeries final : public testbed::Observer {
public:
    struct Second {
        std::int64_t came = 0, tries = 0, further = 0, pushed_over = 0, joins = 0;
        double lines = 0, waiting = 0;  // lines applied; most lines that waited in the channels
    };

    explicit TimeSeries(Micros begin) : begin_(begin) {}

    void on_invocation_arrived(Micros, const testbed::Invocation&) override;
    void on_attempt_sent(Micros, const std::string&, const std::string&, std::uint64_t, int,
                         int number, testbed::AttemptOutcome) override;
    void on_proxy_connected(Micros, const std::string&, const std::string&) override;
    void on_response(Micros, const std::string&, const std::string&, const std::string& orders,
                     std::size_t, const std::string&) override;
    void on_server_collapsed(Micros, const std::string&, const std::vector<ReceivedWork>&) override;

    // With the waiting lines reckoned from when orders were given and when they left.
    std::vector<Second> seconds(Micros length) const;

private:
    Second& at(Micros now);
    Micros begin_;
    std::vector<Second> seconds_;
    std::map<std::string, std::map<Micros, double>>
        moves_;  // by governor: lines that began to wait or left
};

struct ReplayOptions {
    scenario::ClockKind clock = scenario::ClockKind::Virtual;
    double speed = 1;
    std::optional<std::uint64_t> seed;
    Micros from{}, to{};  // to 0: to its end
    // Traffic sets in so long before `from`, uncounted: tables, queues and what the module has seen
    // must be as at work.
    Micros warm_up = std::chrono::seconds(60);
    log::Level log = log::Level::Off;
    // Taken beside, as by a recorder.
    std::function<void(scenario::SimulatedFleet&)> before;
    std::vector<testbed::Observer*> watchers;
};

struct ReplayResult {
    scenario::ScenarioScript script;  // as played
    scenario::ScenarioRun run;
    std::vector<Trace::Entry> trace;
    std::vector<TimeSeries::Second> seconds;
    Micros from{}, to{};
};

// Throws std::runtime_error for a span that the day does not have.
ReplayResult run_replay(const RecordedRun& day, const Variant& variant,
                        const ReplayOptions& options);

}  // namespace badgergrade::replay
