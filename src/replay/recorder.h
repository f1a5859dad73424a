// Writes down what passes in a day or at a governor: a watcher of the stand-ins, of the world and
// of the governors.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "day/runner.h"
#include "day/script.h"
#include "day/world.h"
#include "governor/watcher.h"
#include "record/writer.h"
#include "standin/observer.h"

namespace badgergrade::replay {

using base::Micros;
namespace pb = badgergrade::recording::v1;

// The head of a day's recording, and of a governor's.
pb::Header header_of(const day::DayScript& script, Micros begin);
pb::Header header_of(const config::GovernorConfig& config, const std::string& settings,
                     Micros begin, const std::string& wall);

// How a try ended that its forwarder gave up with its client: behind standin::TryEnd's own.
inline constexpr std::uint32_t kGivenUp = 100;

// One move of the world; `now` is of the writer's clock, the move's own time is not looked at.
void write_move(record::Writer& writer, Micros now, const day::TimedMove& move);

class Recorder final : public standin::Observer, public governor::Watcher {
public:
    explicit Recorder(record::Writer& writer) : writer_(writer) {}

    // Hears of the moves and troubles of this world; called before it starts.
    void follow(day::World& world);

    void invocation_came(Micros, const standin::Invocation&) override;
    void invocation_ended(Micros, const standin::Invocation&, standin::Result) override;
    void try_sent(Micros, const std::string& forwarder, const std::string& server,
                  std::uint64_t invocation, int operation, int number,
                  standin::TryEnd before) override;
    void try_ended(Micros, const std::string& forwarder, const std::string& server,
                   std::uint64_t invocation, standin::TryEnd) override;
    void joined(Micros, const std::string& forwarder, const std::string& governor) override;
    void left(Micros, const std::string& forwarder, const std::string& governor) override;
    void response_read(Micros, const std::string& forwarder, const std::string& governor,
                       const std::string& orders, std::size_t bytes,
                       const std::string& why) override;

    void started(Micros, const governor::Service&) override;
    void stopped(Micros, const governor::Service&) override;
    void told(Micros, const governor::Service&, const Event&) override;
    void decided(Micros, const governor::Service&, const std::vector<Action>&) override;

private:
    struct OpenTry {
        std::string server;
        Micros sent{};
        int operation = 0, number = 0;
    };

    void struck(Micros now, const day::Trouble& trouble);
    void write_try(Micros now, const std::string& forwarder, std::uint64_t invocation,
                   const OpenTry& one, std::uint32_t end);

    record::Writer& writer_;
    // By invocation and forwarder: what is still on its way.
    std::map<std::pair<std::uint64_t, std::string>, OpenTry> tries_;
};

// Plays the script and records it at this path; what the options watch already is watched still.
// `figures` is what the writer came to. Throws record::CannotWrite where the file can't be made.
day::DayRun record_day(const day::DayScript& script, day::DayOptions options,
                       const std::string& path, record::WriterOptions how,
                       record::WriterFigures& figures);

// Records each life of each governor of a day in a file of its own, GOVERNOR-N.rec, as the
// governors themselves would.
class GovernorFiles final : public governor::Watcher {
public:
    // `ahead`: how far a governor's clock is ahead of the day's.
    GovernorFiles(std::string folder, const day::DayScript& script,
                  std::map<std::string, Micros> ahead = {});
    void started(Micros, const governor::Service&) override;
    void stopped(Micros, const governor::Service&) override;
    void told(Micros, const governor::Service&, const Event&) override;
    void decided(Micros, const governor::Service&, const std::vector<Action>&) override;

    // Ends those that still run.
    void close() { open_.clear(); }

    const std::vector<std::string>& paths() const { return paths_; }

private:
    struct Open {
        std::unique_ptr<record::Writer> writer;
        std::unique_ptr<Recorder> recorder;
    };

    std::string folder_;
    const day::DayScript& script_;
    std::map<std::string, Micros> ahead_;
    std::map<std::string, Open> open_;
    std::vector<std::string> paths_;
};

// What the module heard or decided, in words; names as the governor has them.
std::string to_text(const governor::Service& service, const Event& event);
std::string to_text(const governor::Service& service, const Action& action);

}  // namespace badgergrade::replay
