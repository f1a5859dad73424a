// Writes down what passes in a day or at a governor: a watcher of the stand-ins, of the world and
// of the governors.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "recording/writer.h"
#include "scenario/runner.h"
#include "scenario/script.h"
#include "scenario/world.h"
#include "testbed/observer.h"
#include "xds_server/xds_server_observer.h"

namespace badgergrade::replay {

using base::Micros;
namespace pb = badgergrade::recording::v1;

// The head of a day's recording, and of a governor's.
pb::Header make_header(const scenario::DayScript& script, Micros begin);
pb::Header make_header(const config::InstanceConfig& config, const std::string& settings,
                       Micros begin, const std::string& wall);

// How a try ended that its forwarder gave up with its client: behind testbed::TryEnd's own.
inline constexpr std::uint32_t kAttemptAbandoned = 100;

// One move of the world; `now` is of the writer's clock, the move's own time is not looked at.
void write_action(recording::Writer& writer, Micros now, const scenario::TimedMove& move);

class Recorder final : public testbed::Observer, public xds_server::XdsServerObserver {
public:
    explicit Recorder(recording::Writer& writer) : writer_(writer) {}

    // Hears of the moves and troubles of this world; called before it starts.
    void attach_to(scenario::World& world);

    void invocation_came(Micros, const testbed::Invocation&) override;
    void invocation_ended(Micros, const testbed::Invocation&, testbed::Result) override;
    void try_sent(Micros, const std::string& forwarder, const std::string& server,
                  std::uint64_t invocation, int operation, int number,
                  testbed::TryEnd before) override;
    void try_ended(Micros, const std::string& forwarder, const std::string& server,
                   std::uint64_t invocation, testbed::TryEnd) override;
    void joined(Micros, const std::string& forwarder, const std::string& governor) override;
    void left(Micros, const std::string& forwarder, const std::string& governor) override;
    void response_read(Micros, const std::string& forwarder, const std::string& governor,
                       const std::string& orders, std::size_t bytes,
                       const std::string& why) override;

    void on_started(Micros, const xds_server::XdsServer&) override;
    void on_stopped(Micros, const xds_server::XdsServer&) override;
    void on_event(Micros, const xds_server::XdsServer&, const Event&) override;
    void on_commands(Micros, const xds_server::XdsServer&, const std::vector<Command>&) override;

private:
    struct OpenTry {
        std::string server;
        Micros sent{};
        int operation = 0, number = 0;
    };

    void struck(Micros now, const scenario::Trouble& trouble);
    void write_try(Micros now, const std::string& forwarder, std::uint64_t invocation,
                   const OpenTry& one, std::uint32_t end);

    recording::Writer& writer_;
    // By invocation and forwarder: what is still on its way.
    std::map<std::pair<std::uint64_t, std::string>, OpenTry> tries_;
};

// Plays the script and records it at this path; what the options watch already is watched still.
// `figures` is what the writer came to. Throws recording::WriteError where the file can't be made.
scenario::DayRun record_scenario(const scenario::DayScript& script, scenario::DayOptions options,
                                 const std::string& path, recording::WriterOptions how,
                                 recording::WriterStats& figures);

// Records each life of each governor of a day in a file of its own, GOVERNOR-N.rec, as the
// governors themselves would.
class InstanceRecorder final : public xds_server::XdsServerObserver {
public:
    // `ahead`: how far a governor's clock is ahead of the day's.
    InstanceRecorder(std::string folder, const scenario::DayScript& script,
                     std::map<std::string, Micros> ahead = {});
    void on_started(Micros, const xds_server::XdsServer&) override;
    void on_stopped(Micros, const xds_server::XdsServer&) override;
    void on_event(Micros, const xds_server::XdsServer&, const Event&) override;
    void on_commands(Micros, const xds_server::XdsServer&, const std::vector<Command>&) override;

    // Ends those that still run.
    void close() { open_.clear(); }

    const std::vector<std::string>& paths() const { return paths_; }

private:
    struct Open {
        std::unique_ptr<recording::Writer> writer;
        std::unique_ptr<Recorder> recorder;
    };

    std::string folder_;
    const scenario::DayScript& script_;
    std::map<std::string, Micros> ahead_;
    std::map<std::string, Open> open_;
    std::vector<std::string> paths_;
};

// What the module heard or decided, in words; names as the governor has them.
std::string to_text(const xds_server::XdsServer& service, const Event& event);
std::string to_text(const xds_server::XdsServer& service, const Command& action);

}  // namespace badgergrade::replay
