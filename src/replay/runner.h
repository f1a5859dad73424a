/// @file
/// Replays a recorded scenario: its fleet, traffic and faults are repeated on loopback sockets, and
/// the control plane instances are run anew, under the recorded or other settings. Besides the
/// figures of the run, it collects what is needed to compare two replays.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "replay/variant.h"
#include "scenario/runner.h"
#include "xds_server/xds_server_observer.h"

namespace badgergrade::replay {

/// The events that the instances received and the commands that they decided on, in order. Timers
/// are left out.
class Trace final : public xds_server::XdsServerObserver {
public:
    struct Entry {
        /// Since the scenario began.
        Micros at{};
        std::string instance;
        /// A decision; otherwise an event.
        bool decision = false;
        std::string text;
        friend bool operator==(const Entry&, const Entry&) = default;
    };

    explicit Trace(Micros begin = {}) : begin_(begin) {}

    void on_event(Micros, const xds_server::XdsServer&, const Event&) override;
    void on_commands(Micros, const xds_server::XdsServer&, const std::vector<Command>&) override;

    const std::vector<Entry>& entries() const { return entries_; }

    /// Once the texts exceed this size, later entries are kept without their text, so that a
    /// scenario of an hour fits into memory.
    static constexpr std::size_t kMaxTextBytes = 256u << 20;

private:
    void add(Micros now, const xds_server::XdsServer& service, bool decision, std::string text);

    Micros begin_;
    std::vector<Entry> entries_;
    std::size_t text_bytes_ = 0;
};

/// Counts per second of the scenario, for plots.
class TimeSeries final : public testbed::Observer {
public:
    struct Second {
        /// `retries`: attempts of a proxy after its first one for the invocation.
        /// `overload_collapses`: servers that collapsed under load while they were warming up.
        std::int64_t invocations = 0, attempts = 0, retries = 0, overload_collapses = 0,
                     connects = 0;
        /// Configuration lines that proxies applied.
        double applied_lines = 0;
        /// The most lines that were in the send queues at once.
        double queued_lines = 0;
    };

    explicit TimeSeries(Micros begin) : begin_(begin) {}

    void on_invocation_arrived(Micros, const testbed::Invocation&) override;
    void on_attempt_sent(Micros, const std::string&, const std::string&, std::uint64_t, int,
                         int number, testbed::AttemptOutcome) override;
    void on_proxy_connected(Micros, const std::string&, const std::string&) override;
    void on_response(Micros, const std::string&, const std::string&,
                     const std::string& release_text, std::size_t, const std::string&) override;
    void on_server_collapsed(Micros, const std::string&, const std::vector<ReceivedWork>&) override;

    /// The seconds up to `length`. Queued lines follow from the times at which each update was
    /// decided and released, which the responses state.
    std::vector<Second> seconds(Micros length) const;

private:
    Second& second_at(Micros now);
    Micros begin_;
    std::vector<Second> seconds_;
    // By instance: by how many lines its send queue grew or shrank at each time.
    std::map<std::string, std::map<Micros, double>> queue_changes_;
};

struct ReplayOptions {
    scenario::ClockKind clock = scenario::ClockKind::Virtual;
    /// The real clock runs this many times faster.
    double speed = 1;
    /// Replaces the recorded seed of all random draws of the fakes and the instances.
    std::optional<std::uint64_t> seed;
    /// The figures count only invocations in [from, to). A `to` of 0 is the end of the recording.
    Micros from{}, to{};
    /// Traffic starts this long before `from` without being counted, so that tables, queues and the
    /// instances' statistics have reached their usual state when counting begins.
    Micros warm_up = std::chrono::seconds(60);
    log::Level log = log::Level::Off;
    /// Called with the fleet before it starts, for example to record the replay.
    std::function<void(scenario::SimulatedFleet&)> before;
    std::vector<testbed::Observer*> observers;
};

struct ReplayResult {
    /// The script that was run, with the variant's changes.
    scenario::ScenarioScript script;
    scenario::ScenarioRun run;
    std::vector<Trace::Entry> trace;
    std::vector<TimeSeries::Second> seconds;
    Micros from{}, to{};
};

/// Runs one replay. Throws std::runtime_error if the variant contradicts the recording or [from,
/// to) is not within it.
ReplayResult run_replay(const RecordedRun& recorded, const Variant& variant,
                        const ReplayOptions& options);

}  // namespace badgergrade::replay
