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

testbed::FakeServerSettings server_settings_of(const std::string& id,
                                               const pb::ServerSettings& recorded) {
    testbed::FakeServerSettings s;
    s.id = id;
    s.zone = recorded.zone();
    s.cores = recorded.cores();
    s.speed = recorded.speed();
    s.max_queued_per_core = recorded.max_queued_per_core();
    s.initial_capacity_fraction = recorded.initial_capacity_fraction();
    s.warm_up_time = Micros(recorded.warm_up_time_us());
    s.collapse_window = Micros(recorded.collapse_window_us());
    s.collapse_factor = recorded.collapse_factor();
    s.max_connections = recorded.max_connections();
    s.handshake_work = Micros(recorded.handshake_work_us());
    s.cache_saving_fraction = recorded.cache_saving_fraction();
    s.cache_ttl = Micros(recorded.cache_ttl_us());
    s.reports_load = recorded.reports_load();
    s.load_report_interval = Micros(recorded.load_report_interval_us());
    s.error_fraction = recorded.error_fraction();
    return s;
}

testbed::ServerFault server_fault_of(const pb::ServerFault& recorded) {
    testbed::ServerFault out;
    out.hangs = recorded.hangs();
    out.error_fraction = recorded.error_fraction();
    out.slowdown_factor = recorded.slowdown_factor();
    out.stolen_cpu_fraction = recorded.stolen_cpu_fraction();
    out.lost_response_fraction = recorded.lost_response_fraction();
    out.reported_load_fraction = recorded.reported_load_fraction();
    out.max_connections = static_cast<std::size_t>(recorded.max_connections());
    return out;
}

// Reconstructs the run from the records, which must be passed in the order of the file.
class RunBuilder {
public:
    RunBuilder(RecordedRun& recorded, const scenario::ScenarioScript& script)
        : recorded_(recorded),
          script_(script),
          figures_(script, 0us, script.length, {}) {}

    void add_block(const pb::Block& block) {
        block_ = &block;
        last_id_ = 0;
        recording::for_each_record(block, [this](Micros recorded_at, const pb::Record& record) {
            ++recorded_.record_counts[kind_of(record)];
            ++recorded_.records;
            add_record(monotonic(recorded_at), record);
        });
    }

    void close() {
        figures_.finish();
        recorded_.figures = figures_.json();
        if (inconsistent_records_ > 0) {
            recorded_.damage.push_back({0, std::to_string(inconsistent_records_) +
                                               " actions or invocations are skipped: their hosts "
                                               "are not in the recorded fleet"});
        }
    }

private:
    // The time of a record without the backward jumps of the recorder's clock: after a jump, times
    // continue from the last time before it, and the jump is listed as damage.
    Micros monotonic(Micros recorded_at) {
        if (recorded_at < last_recorded_at_) {
            recorded_.damage.push_back(
                {0, "the clock went back by " +
                        std::to_string((last_recorded_at_ - recorded_at).count()) + " us at " +
                        std::to_string(last_recorded_at_.count()) +
                        " us; the times after it are shifted by as much"});
            clock_correction_ += last_recorded_at_ - recorded_at;
        }
        last_recorded_at_ = recorded_at;
        return recorded_at + clock_correction_;
    }

    std::string name(std::uint32_t number) const { return recording::name_at(*block_, number); }

    void add_record(Micros at, const pb::Record& record) {
        if (record.has_action()) {
            return add_action(at, record.action());
        }
        if (record.has_invocation_start()) {
            return add_invocation(at, record.invocation_start());
        }
        if (record.has_invocation_end()) {
            return end_invocation(at, record.invocation_end());
        }
        if (record.has_fault()) {
            const auto& fault = record.fault();
            recorded_.faults.push_back(
                {at, Micros(fault.duration_us()),
                 fault.name() + (fault.target().empty() ? "" : " " + fault.target())});
        }
        if (record.has_attempt()) {
            figures_.on_attempt_sent(at, {}, {}, 0, 0, static_cast<int>(record.attempt().number()),
                                     {});
        }
    }

    void add_action(Micros at, const pb::FaultAction& record) {
        scenario::TimedFaultAction out;
        out.at = at;
        out.initial = record.initial();
        // Only together with the previous action: if that one is lost, this one is on its own.
        out.same_step = record.same_step() && !recorded_.input.actions.empty() &&
                        recorded_.input.actions.back().at == at;
        scenario::FaultAction& action = out.action;
        action.kind = static_cast<scenario::FaultActionKind>(record.kind());
        action.target = name(record.target());
        action.enabled = record.enabled();
        action.magnitude = record.magnitude();
        action.duration = Micros(record.duration_us());
        action.text = record.text();
        if (record.has_server_fault()) {
            action.server_fault = server_fault_of(record.server_fault());
        }
        if (record.has_server_settings()) {
            action.server_settings = server_settings_of(action.target, record.server_settings());
        }
        if (!is_consistent(action)) {
            return void(++inconsistent_records_);
        }
        if (action.kind == scenario::FaultActionKind::AddProxy) {
            figures_.set_proxy_zone(action.target, action.text);
        }
        recorded_.input.actions.push_back(std::move(out));
    }

    // Whether the action fits the fleet as the records so far describe it. If blocks are lost, an
    // action may name a host that was added in one of them, or start a host that runs already.
    bool is_consistent(const scenario::FaultAction& action) {
        using enum scenario::FaultActionKind;
        switch (action.kind) {
            case AddServer:
                return servers_.try_emplace(action.target, false).second;
            case AddProxy:
                return proxies_.insert(action.target).second;
            case StartServer:
            case StopServer:
                if (!servers_.contains(action.target)) {
                    return false;
                }
                servers_[action.target] = action.kind == StartServer;
                return true;
            case ListServer:
            case UnlistServer:
            case SetServerFault:
                return servers_.contains(action.target) &&
                       (action.kind == UnlistServer || servers_[action.target]);
            case StartProxy:
            case StopProxy:
            case BreakStream:
            case IsolateProxy:
            case StallProxy:
                return proxies_.contains(action.target);
            case StartInstance:
            case StopInstance: {
                const auto known = action.target.rfind("governor-", 0) == 0 &&
                                   std::atoi(action.target.c_str() + 9) < script_.instance_count;
                return known &&
                       std::exchange(instances_[action.target], action.kind == StartInstance) !=
                           (action.kind == StartInstance);
            }
            default:
                return action.kind >= PartitionZone && action.kind <= ShortenAttemptTimeouts;
        }
    }

    void add_invocation(Micros at, const pb::InvocationStart& record) {
        last_id_ += record.id_delta();
        testbed::Invocation invocation;
        invocation.id = static_cast<std::uint64_t>(last_id_);
        invocation.operation = static_cast<int>(record.operation());
        if (invocation.operation >= static_cast<int>(script_.operations.size())) {
            throw std::runtime_error(recorded_.path + ": invocation of operation " +
                                     std::to_string(invocation.operation) +
                                     ": expected an operation that the recorded settings name");
        }
        if (!proxies_.contains(name(record.proxy()))) {
            return void(++inconsistent_records_);
        }
        invocation.proxy = name(record.proxy());
        invocation.key = name(record.key());
        invocation.work = Micros(static_cast<std::int64_t>(record.work_us()));
        invocation.arrived_at = at;
        figures_.on_invocation_arrived(at, invocation);
        ++recorded_.invocations;
        open_invocations_[invocation.id] = {invocation.operation, invocation.proxy, at};
        recorded_.input.traffic[invocation.proxy].push_back(std::move(invocation));
    }

    void end_invocation(Micros at, const pb::InvocationEnd& record) {
        const auto id = static_cast<std::uint64_t>(last_id_ - record.id_behind());
        const auto it = open_invocations_.find(id);
        if (it == open_invocations_.end()) {
            return;  // it began in a block that is lost
        }
        testbed::Invocation invocation;
        invocation.id = id;
        invocation.operation = it->second.operation;
        invocation.proxy = it->second.proxy;
        invocation.arrived_at = it->second.arrived_at;
        for (std::uint32_t n = 0; n < record.client_attempts(); ++n) {
            figures_.on_client_attempt(at, invocation);
        }
        figures_.on_invocation_finished(
            at, invocation, static_cast<testbed::InvocationResult>(std::min(record.result(), 3u)));
        open_invocations_.erase(it);
    }

    std::map<std::string, bool> servers_, instances_;  // whether the host runs
    std::set<std::string> proxies_;
    std::uint64_t inconsistent_records_ = 0;

    struct OpenInvocation {
        int operation = 0;
        std::string proxy;
        Micros arrived_at{};
    };

    RecordedRun& recorded_;
    const scenario::ScenarioScript& script_;
    scenario::ScenarioMetrics figures_;
    const pb::Block* block_ = nullptr;
    std::int64_t last_id_ = 0;
    Micros last_recorded_at_ = Micros::min(), clock_correction_{};
    std::map<std::uint64_t, OpenInvocation> open_invocations_;
};

}  // namespace

std::string strip_settings(const std::string& script) {
    std::istringstream in(script);
    std::string out;
    for (std::string line; std::getline(in, line);) {
        std::istringstream words(line);
        std::string keyword;
        words >> keyword;
        // Replaced by an empty line, so that the other lines keep their numbers.
        out += (keyword == "settings" || keyword == "set" ? std::string() : line) + "\n";
    }
    return out;
}

RecordedRun load_recording(const std::string& path) {
    recording::Reader reader(path);
    RecordedRun out;
    out.path = path;
    out.header = reader.header();
    std::vector<config::ConfigError> errors;
    out.settings = config::IniFile::parse(path, out.header.settings(), errors);
    out.script = strip_settings(out.header.script());
    if (out.header.script().empty()) {
        throw std::runtime_error(path + ": expected a whole scenario, got the recording of " +
                                 out.header.made_by() +
                                 ": use replay merge to make a scenario of it");
    }
    auto script = scenario::parse_script(path, out.script, out.settings, errors);
    if (!errors.empty()) {
        throw std::runtime_error(path + ": the recorded settings or script are invalid: " +
                                 config::to_text(errors.front()));
    }
    script.seed = out.header.seed();
    out.length = Micros(out.header.length_us());
    RunBuilder builder(out, script);
    reader.for_each_block(Micros::min(), Micros::max(), [&](const pb::Block& block) {
        builder.add_block(block);
        out.lost_records += block.lost_records();
    });
    builder.close();
    const auto& damage = reader.damage();
    out.damage.insert(out.damage.begin(), damage.begin(), damage.end());
    if (!reader.is_complete() && !reader.blocks().empty()) {
        // The file is truncated: the run ends with its last record.
        Micros last{};
        for (const auto& block : reader.blocks()) {
            last = std::max(last, block.last);
        }
        out.length = std::min(out.length, last + 1us);
    }
    if (out.input.actions.empty() || out.invocations == 0) {
        throw std::runtime_error(
            path + ": expected actions on the fleet and invocations, got a recording without them");
    }
    return out;
}

}  // namespace badgergrade::replay
