/// @file
/// Records a scenario, or what single control plane instances receive and decide. The recorders
/// observe the fakes, the simulated fleet and the instances, and write what they see as records of
/// proto/badgergrade/recording/v1.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "recording/writer.h"
#include "scenario/runner.h"
#include "scenario/script.h"
#include "scenario/simulated_fleet.h"
#include "testbed/observer.h"
#include "xds_server/xds_server_observer.h"

namespace badgergrade::replay {

using base::Micros;
namespace pb = badgergrade::recording::v1;

/// The header of the recording of a whole scenario. `begin` is the clock's time at its start.
pb::Header make_header(const scenario::ScenarioScript& script, Micros begin);
/// The header of the recording of one instance. `settings` is the INI text of its configuration and
/// `wall_begin` the wall clock time of `begin`, as RFC 3339, empty under a virtual clock.
pb::Header make_header(const config::InstanceConfig& config, const std::string& settings,
                       Micros begin, const std::string& wall_begin);

/// Outcome of an attempt that its proxy abandoned when the client gave up or tried again. Recorded
/// beside the values of testbed::TryEnd, so it must stay greater than all of them.
inline constexpr std::uint32_t kAttemptAbandoned = 100;

/// Records one action on the fleet at the clock time `now`; the action's own time is ignored.
void write_action(recording::Writer& writer, Micros now, const scenario::TimedFaultAction& action);

/// Writes everything that it observes to one recording.
class Recorder final : public testbed::Observer, public xds_server::XdsServerObserver {
public:
    explicit Recorder(recording::Writer& writer) : writer_(writer) {}

    /// Records the actions and faults of this fleet and observes its instances. To be called before
    /// the fleet starts.
    void attach_to(scenario::SimulatedFleet& fleet);

    void on_invocation_arrived(Micros, const testbed::Invocation&) override;
    void on_invocation_finished(Micros, const testbed::Invocation&,
                                testbed::InvocationResult) override;
    void on_attempt_sent(Micros, const std::string& proxy, const std::string& server,
                         std::uint64_t invocation, int operation, int number,
                         testbed::AttemptOutcome previous) override;
    void on_attempt_finished(Micros, const std::string& proxy, const std::string& server,
                             std::uint64_t invocation, testbed::AttemptOutcome) override;
    void on_proxy_connected(Micros, const std::string& proxy, const std::string& instance) override;
    void on_proxy_disconnected(Micros, const std::string& proxy,
                               const std::string& instance) override;
    void on_response(Micros, const std::string& proxy, const std::string& instance,
                     const std::string& release_text, std::size_t bytes,
                     const std::string& rejection) override;

    void on_started(Micros, const xds_server::XdsServer&) override;
    void on_stopped(Micros, const xds_server::XdsServer&) override;
    void on_event(Micros, const xds_server::XdsServer&, const Event&) override;
    void on_commands(Micros, const xds_server::XdsServer&, const std::vector<Command>&) override;

private:
    struct OpenAttempt {
        std::string server;
        Micros sent{};
        int operation = 0, number = 0;
    };

    void write_fault(Micros now, const scenario::Fault& fault);
    void write_attempt(Micros now, const std::string& proxy, std::uint64_t invocation,
                       const OpenAttempt& attempt, std::uint32_t outcome);

    recording::Writer& writer_;
    // Attempts without an outcome so far, by invocation and proxy.
    std::map<std::pair<std::uint64_t, std::string>, OpenAttempt> open_attempts_;
};

/// Runs the scenario and records it to the file at `path`. Observers that `options` names keep
/// observing. `stats` receives the writer's final counts. Throws recording::WriteError if the file
/// cannot be created.
scenario::ScenarioRun record_scenario(const scenario::ScenarioScript& script,
                                      scenario::ScenarioOptions options, const std::string& path,
                                      recording::WriterOptions writer_options,
                                      recording::WriterStats& stats);

/// Records each incarnation of each instance of a scenario to a file of its own, INSTANCE-N.rec, as
/// the instances' own processes would. N counts all incarnations of the scenario.
class InstanceRecorder final : public xds_server::XdsServerObserver {
public:
    /// `clock_offsets`: by instance, how far its clock is ahead of the scenario's.
    InstanceRecorder(std::string directory, const scenario::ScenarioScript& script,
                     std::map<std::string, Micros> clock_offsets = {});
    void on_started(Micros, const xds_server::XdsServer&) override;
    void on_stopped(Micros, const xds_server::XdsServer&) override;
    void on_event(Micros, const xds_server::XdsServer&, const Event&) override;
    void on_commands(Micros, const xds_server::XdsServer&, const std::vector<Command>&) override;

    /// Finishes the recordings of the incarnations that still run.
    void close() { open_.clear(); }

    /// The files that were created so far.
    const std::vector<std::string>& paths() const { return paths_; }

private:
    struct OpenRecording {
        std::unique_ptr<recording::Writer> writer;
        std::unique_ptr<Recorder> recorder;
    };

    std::string directory_;
    const scenario::ScenarioScript& script_;
    std::map<std::string, Micros> clock_offsets_;
    std::map<std::string, OpenRecording> open_;
    std::vector<std::string> paths_;
};

/// What the policy of an instance received or decided, as text for people. Proxies and servers are
/// called by the names that the instance has for them.
std::string to_text(const xds_server::XdsServer& service, const Event& event);
std::string to_text(const xds_server::XdsServer& service, const Command& command);

}  // namespace badgergrade::replay
