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
    switch (record.what_case()) {
        case pb::Record::kCame:
            return "invocations";
        case pb::Record::kEnded:
            return "results";
        case pb::Record::kTried:
            return "tries";
        case pb::Record::kJoined:
            return "joins";
        case pb::Record::kLeft:
            return "breaks";
        case pb::Record::kMove:
            return "moves";
        case pb::Record::kTold:
            return "events";
        case pb::Record::kDecided:
            return "decisions";
        case pb::Record::kStarted:
        case pb::Record::kStopped:
            return "lives";
        case pb::Record::kTrouble:
            return "troubles";
        case pb::Record::kRead:
            return "responses";
        case pb::Record::kBroken:
            return "broken rules";
        case pb::Record::WHAT_NOT_SET:
            break;
    }
    return "unknown";
}

testbed::FakeServerSettings worker_of(const std::string& id, const pb::Worker& w) {
    testbed::FakeServerSettings s;
    s.id = id;
    s.zone = w.zone();
    s.cores = w.cores();
    s.speed = w.speed();
    s.max_queued_per_core = w.queue_per_core();
    s.initial_capacity_fraction = w.cold_from();
    s.warm_up_time = Micros(w.cold_time_us());
    s.collapse_window = Micros(w.fall_time_us());
    s.collapse_factor = w.fall_multiple();
    s.max_connections = w.connections_most();
    s.handshake_work = Micros(w.handshake_work_us());
    s.cache_saving_fraction = w.key_gain();
    s.cache_ttl = Micros(w.key_time_us());
    s.reports_load = w.reports_load();
    s.load_report_interval = Micros(w.report_every_us());
    s.error_fraction = w.error_rate();
    return s;
}

testbed::ServerFault trouble_of(const pb::WorkerTrouble& t) {
    testbed::ServerFault out;
    out.hangs = t.hangs();
    out.error_fraction = t.errors();
    out.slowdown_factor = t.slower();
    out.stolen_cpu_fraction = t.taken();
    out.lost_response_fraction = t.answers_lost();
    out.reported_load_fraction = t.counters();
    out.max_connections = static_cast<std::size_t>(t.connections_most());
    return out;
}

// Builds the day out of its records, in their order.
class Builder {
public:
    Builder(RecordedRun& day, const scenario::ScenarioScript& script)
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
        figures_.finish();
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
        if (record.has_move()) {
            return move(at, record.move());
        }
        if (record.has_came()) {
            return came(at, record.came());
        }
        if (record.has_ended()) {
            return ended(at, record.ended());
        }
        if (record.has_trouble()) {
            const auto& t = record.trouble();
            day_.faults.push_back(
                {at, Micros(t.lasts_us()), t.name() + (t.whom().empty() ? "" : " " + t.whom())});
        }
        if (record.has_tried()) {
            figures_.on_attempt_sent(at, {}, {}, 0, 0, static_cast<int>(record.tried().number()),
                                     {});
        }
    }

    void move(Micros at, const pb::Move& from) {
        scenario::TimedFaultAction out;
        out.at = at;
        out.initial = from.opening();
        // Only with the move before itself: where that is lost, this one stands alone.
        out.same_step =
            from.joined() && !day_.input.actions.empty() && day_.input.actions.back().at == at;
        scenario::FaultAction& m = out.action;
        m.kind = static_cast<scenario::FaultActionKind>(from.kind());
        m.target = name(from.who());
        m.enabled = from.on();
        m.magnitude = from.by();
        m.duration = Micros(from.wait_us());
        m.text = from.text();
        if (from.has_trouble()) {
            m.server_fault = trouble_of(from.trouble());
        }
        if (from.has_worker()) {
            m.server_settings = worker_of(m.target, from.worker());
        }
        if (!makes_sense(m)) {
            return void(++senseless_);
        }
        if (m.kind == scenario::FaultActionKind::AddProxy) {
            figures_.set_proxy_zone(m.target, m.text);
        }
        day_.input.actions.push_back(std::move(out));
    }

    // Where blocks are lost, a move may name a host whose beginning is lost with them, or start
    // what already runs.
    bool makes_sense(const scenario::FaultAction& m) {
        using enum scenario::FaultActionKind;
        switch (m.kind) {
            case AddServer:
                return workers_.try_emplace(m.target, false).second;
            case AddProxy:
                return forwarders_.insert(m.target).second;
            case StartServer:
            case StopServer:
                if (!workers_.contains(m.target)) {
                    return false;
                }
                workers_[m.target] = m.kind == StartServer;
                return true;
            case ListServer:
            case UnlistServer:
            case SetServerFault:
                return workers_.contains(m.target) &&
                       (m.kind == UnlistServer || workers_[m.target]);
            case StartProxy:
            case StopProxy:
            case BreakStream:
            case IsolateProxy:
            case StallProxy:
                return forwarders_.contains(m.target);
            case StartInstance:
            case StopInstance: {
                const auto known = m.target.rfind("governor-", 0) == 0 &&
                                   std::atoi(m.target.c_str() + 9) < script_.instance_count;
                return known && std::exchange(governors_[m.target], m.kind == StartInstance) !=
                                    (m.kind == StartInstance);
            }
            default:
                return m.kind >= PartitionZone && m.kind <= ShortenAttemptTimeouts;
        }
    }

    void came(Micros at, const pb::Came& from) {
        last_id_ += from.id_more();
        testbed::Invocation one;
        one.id = static_cast<std::uint64_t>(last_id_);
        one.operation = static_cast<int>(from.operation());
        if (one.operation >= static_cast<int>(script_.operations.size())) {
            throw std::runtime_error(day_.path + ": an invocation of operation " +
                                     std::to_string(one.operation) +
                                     ", which the settings do not name");
        }
        if (!forwarders_.contains(name(from.forwarder()))) {
            return void(++senseless_);
        }
        one.proxy = name(from.forwarder());
        one.key = name(from.key());
        one.work = Micros(static_cast<std::int64_t>(from.work_us()));
        one.arrived_at = at;
        figures_.on_invocation_arrived(at, one);
        ++day_.invocations;
        open_[one.id] = {one.operation, one.proxy, at};
        day_.input.traffic[one.proxy].push_back(std::move(one));
    }

    void ended(Micros at, const pb::Ended& from) {
        const auto id = static_cast<std::uint64_t>(last_id_ - from.id_less());
        const auto it = open_.find(id);
        if (it == open_.end()) {
            return;  // it came in a block that is lost
        }
        testbed::Invocation one;
        one.id = id;
        one.operation = it->second.operation;
        one.proxy = it->second.forwarder;
        one.arrived_at = it->second.came;
        for (std::uint32_t n = 0; n < from.client_tries(); ++n) {
            figures_.on_client_attempt(at, one);
        }
        figures_.on_invocation_finished(
            at, one, static_cast<testbed::InvocationResult>(std::min(from.result(), 3u)));
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
    const scenario::ScenarioScript& script_;
    scenario::ScenarioMetrics figures_;
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
        out.lost_records += block.lost();
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
    if (out.input.actions.empty() || out.invocations == 0) {
        throw std::runtime_error(path + ": holds no day that could be played");
    }
    return out;
}

}  // namespace badgergrade::replay
