#include "replay/recorded_run.h"

#include <cstdlib>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "replay/recorder.h"

namespace badgergrade::replay {

using namespace std::chrono_literals;

namespace {

const char* kind_of(const pb::Record& record) {
    switch (record.payload_case()) {
        case pb::Record::kInvocationStart:
            return "invocations";
        case pb::Record::kInvocationEnd:
            return "results";
        case pb::Record::kAttempt:
            return "tries";
        case pb::Record::kStreamOpened:
            return "joins";
        case pb::Record::kStreamClosed:
            return "breaks";
        case pb::Record::kAction:
            return "moves";
        case pb::Record::kEvent:
            return "events";
        case pb::Record::kCommands:
            return "decisions";
        case pb::Record::kInstanceStarted:
        case pb::Record::kInstanceStopped:
            return "lives";
        case pb::Record::kFault:
            return "troubles";
        case pb::Record::kResponseRead:
            return "responses";
        case pb::Record::kRuleViolation:
            return "broken rules";
        case pb::Record::PAYLOAD_NOT_SET:
            break;
    }
    return "unknown";
}

testbed::WorkerSettings worker_of(const std::string& id, const pb::ServerSettings& w) {
    testbed::WorkerSettings s;
    s.id = id;
    s.zone = w.zone();
    s.cores = w.cores();
    s.speed = w.speed();
    s.queue_per_core = w.queue_per_core();
    s.cold_from = w.cold_capacity_fraction();
    s.cold_time = Micros(w.warm_up_us());
    s.fall_time = Micros(w.overload_collapse_us());
    s.fall_multiple = w.overload_collapse_factor();
    s.connections_most = w.max_connections();
    s.handshake_work = Micros(w.handshake_work_us());
    s.key_gain = w.cached_key_saving();
    s.key_time = Micros(w.key_ttl_us());
    s.reports_load = w.reports_load();
    s.report_every = Micros(w.report_interval_us());
    s.error_rate = w.error_rate();
    return s;
}

testbed::WorkerTrouble trouble_of(const pb::ServerFault& t) {
    testbed::WorkerTrouble out;
    out.hangs = t.hangs();
    out.errors = t.error_fraction();
    out.slower = t.slowdown();
    out.taken = t.stolen_cpu_fraction();
    out.answers_lost = t.lost_response_fraction();
    out.counters = t.reported_load_fraction();
    out.connections_most = static_cast<std::size_t>(t.max_connections());
    return out;
}

// Builds the day out of its records, in their order.
class Builder {
public:
    Builder(RecordedRun& day, const scenario::DayScript& script)
        : day_(day),
          script_(script),
          figures_(script, 0us, script.length, {}) {}

    void take(const pb::Block& block) {
        block_ = &block;
        last_id_ = 0;
        recording::for_each_record(block, [this](Micros told, const pb::Record& record) {
            ++day_.record_counts[kind_of(record)];
            ++day_.records;
            take(steady(told), record);
        });
    }

    void close() {
        figures_.close();
        day_.figures = figures_.json();
        if (senseless_ > 0) {
            day_.damage.push_back(
                {0, std::to_string(senseless_) +
                        " moves name what this recording does not begin; they are left out"});
        }
    }

private:
    // Where the recorder's clock went back, the day goes on from where it was: what follows is
    // moved by as much.
    Micros steady(Micros told) {
        if (told < last_told_) {
            day_.damage.push_back({0, "the clock went back by " +
                                          std::to_string((last_told_ - told).count()) + " us at " +
                                          std::to_string(last_told_.count()) +
                                          " us; what follows is moved by as much"});
            moved_by_ += last_told_ - told;
        }
        last_told_ = told;
        return told + moved_by_;
    }

    std::string name(std::uint32_t number) const { return recording::name_at(*block_, number); }

    void take(Micros at, const pb::Record& record) {
        if (record.has_action()) {
            return move(at, record.action());
        }
        if (record.has_invocation_start()) {
            return came(at, record.invocation_start());
        }
        if (record.has_invocation_end()) {
            return ended(at, record.invocation_end());
        }
        if (record.has_fault()) {
            const auto& t = record.fault();
            day_.faults.push_back({at, Micros(t.duration_us()),
                                   t.name() + (t.target().empty() ? "" : " " + t.target())});
        }
        if (record.has_attempt()) {
            figures_.try_sent(at, {}, {}, 0, 0, static_cast<int>(record.attempt().number()), {});
        }
    }

    void move(Micros at, const pb::FleetAction& from) {
        scenario::TimedMove out;
        out.at = at;
        out.opening = from.initial();
        // Only with the move before itself: where that is lost, this one stands alone.
        out.joined =
            from.same_step() && !day_.input.moves.empty() && day_.input.moves.back().at == at;
        scenario::Move& m = out.what;
        m.kind = static_cast<scenario::MoveKind>(from.kind());
        m.who = name(from.target());
        m.on = from.enabled();
        m.by = from.amount();
        m.wait = Micros(from.delay_us());
        m.text = from.text();
        if (from.has_server_fault()) {
            m.trouble = trouble_of(from.server_fault());
        }
        if (from.has_server_settings()) {
            m.worker = worker_of(m.who, from.server_settings());
        }
        if (!makes_sense(m)) {
            return void(++senseless_);
        }
        if (m.kind == scenario::MoveKind::AddForwarder) {
            figures_.place(m.who, m.text);
        }
        day_.input.moves.push_back(std::move(out));
    }

    // Where blocks are lost, a move may name a host whose beginning is lost with them, or start
    // what already runs.
    bool makes_sense(const scenario::Move& m) {
        using enum scenario::MoveKind;
        switch (m.kind) {
            case AddWorker:
                return workers_.try_emplace(m.who, false).second;
            case AddForwarder:
                return forwarders_.insert(m.who).second;
            case StartWorker:
            case StopWorker:
                if (!workers_.contains(m.who)) {
                    return false;
                }
                workers_[m.who] = m.kind == StartWorker;
                return true;
            case ListWorker:
            case UnlistWorker:
            case TroubleWorker:
                return workers_.contains(m.who) && (m.kind == UnlistWorker || workers_[m.who]);
            case StartForwarder:
            case StopForwarder:
            case BreakStream:
            case IsolateForwarder:
            case StallForwarder:
                return forwarders_.contains(m.who);
            case StartGovernor:
            case StopGovernor: {
                const auto known = m.who.rfind("governor-", 0) == 0 &&
                                   std::atoi(m.who.c_str() + 9) < script_.governors;
                return known && std::exchange(governors_[m.who], m.kind == StartGovernor) !=
                                    (m.kind == StartGovernor);
            }
            default:
                return m.kind >= CutZone && m.kind <= GiveUp;
        }
    }

    void came(Micros at, const pb::InvocationStart& from) {
        last_id_ += from.id_delta();
        testbed::Invocation one;
        one.id = static_cast<std::uint64_t>(last_id_);
        one.operation = static_cast<int>(from.operation());
        if (one.operation >= static_cast<int>(script_.operations.size())) {
            throw std::runtime_error(day_.path + ": an invocation of operation " +
                                     std::to_string(one.operation) +
                                     ", which the settings do not name");
        }
        if (!forwarders_.contains(name(from.proxy()))) {
            return void(++senseless_);
        }
        one.forwarder = name(from.proxy());
        one.key = name(from.key());
        one.work = Micros(static_cast<std::int64_t>(from.work_us()));
        one.came = at;
        figures_.invocation_came(at, one);
        ++day_.invocations;
        open_[one.id] = {one.operation, one.forwarder, at};
        day_.input.traffic[one.forwarder].push_back(std::move(one));
    }

    void ended(Micros at, const pb::InvocationEnd& from) {
        const auto id = static_cast<std::uint64_t>(last_id_ - from.id_behind());
        const auto it = open_.find(id);
        if (it == open_.end()) {
            return;  // it came in a block that is lost
        }
        testbed::Invocation one;
        one.id = id;
        one.operation = it->second.operation;
        one.forwarder = it->second.forwarder;
        one.came = it->second.came;
        for (std::uint32_t n = 0; n < from.client_attempts(); ++n) {
            figures_.client_try(at, one);
        }
        figures_.invocation_ended(at, one,
                                  static_cast<testbed::Result>(std::min(from.result(), 3u)));
        open_.erase(it);
    }

    std::map<std::string, bool> workers_, governors_;  // whether it runs
    std::set<std::string> forwarders_;
    std::uint64_t senseless_ = 0;

    struct Open {
        int operation = 0;
        std::string forwarder;
        Micros came{};
    };

    RecordedRun& day_;
    const scenario::DayScript& script_;
    scenario::Figures figures_;
    const pb::Block* block_ = nullptr;
    std::int64_t last_id_ = 0;
    Micros last_told_ = Micros::min(), moved_by_{};
    std::map<std::uint64_t, Open> open_;
};

}  // namespace

std::string strip_settings(const std::string& script) {
    std::istringstream in(script);
    std::string out;
    for (std::string line; std::getline(in, line);) {
        std::istringstream words(line);
        std::string first;
        words >> first;
        // An empty line in its place: lines keep their numbers.
        out += (first == "settings" || first == "set" ? std::string() : line) + "\n";
    }
    return out;
}

RecordedRun load_recording(const std::string& path) {
    recording::Reader reader(path);
    RecordedRun out;
    out.path = path;
    out.header = reader.header();
    std::vector<config::ConfigError> mistakes;
    out.settings = config::IniFile::parse(path, out.header.settings(), mistakes);
    out.script = strip_settings(out.header.script());
    if (out.header.script().empty()) {
        throw std::runtime_error(path + ": holds no day, but what " + out.header.made_by() +
                                 " met: make a day of it with replay merge");
    }
    auto script = scenario::parse_script(path, out.script, out.settings, mistakes);
    if (!mistakes.empty()) {
        throw std::runtime_error(
            path + ": its settings can't be read: " + config::to_text(mistakes.front()));
    }
    script.seed = out.header.seed();
    out.length = Micros(out.header.length_us());
    Builder builder(out, script);
    reader.for_each_block(Micros::min(), Micros::max(), [&](const pb::Block& block) {
        builder.take(block);
        out.lost_records += block.lost_records();
    });
    builder.close();
    const auto& damage = reader.damage();
    out.damage.insert(out.damage.begin(), damage.begin(), damage.end());
    if (!reader.is_complete() && !reader.blocks().empty()) {
        // Cut: the day ends where the file does.
        Micros last{};
        for (const auto& block : reader.blocks()) {
            last = std::max(last, block.last);
        }
        out.length = std::min(out.length, last + 1us);
    }
    if (out.input.moves.empty() || out.invocations == 0) {
        throw std::runtime_error(path + ": holds no day that could be played");
    }
    return out;
}

}  // namespace badgergrade::replay
