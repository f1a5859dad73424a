// Plays one scenario file against a policy::Planner with a simulated clock, or, if "wire" is in its
// path, against the wire::InstanceHost of the adapter. tests/README.md describes the notation. A
// failed check prints the number of the scenario line (in wire scenarios: the line that was
// expected and the output) and aborts.
#undef NDEBUG
#include <cassert>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include "instance_host.h"

using namespace badgergrade;

namespace {

/// The number of the current line of the scenario file, for messages.
int line_number = 0;

#define CHECK(condition)                                                           \
    do {                                                                           \
        if (!(condition))                                                          \
            std::fprintf(stderr, "scenario line %d: check failed\n", line_number); \
        assert(condition);                                                         \
    } while (false)

/// Aborts because the scenario uses a word that the notation does not have.
[[noreturn]] void fail(const std::string& reason) {
    std::fprintf(stderr, "scenario line %d: %s\n", line_number, reason.c_str());
    std::abort();
}

using Words = std::vector<std::string>;

Words split(const std::string& text, char separator) {
    Words out;
    std::istringstream in(text);
    for (std::string word; std::getline(in, word, separator);) {
        if (!word.empty()) {
            out.push_back(word);
        }
    }
    return out;
}

Micros parse_seconds(const std::string& text) {
    return Micros(std::llround(std::stod(text) * 1e6));
}

// Applies the planner's commands: the resulting tables, table assignments and admission limits, and
// how many commands of each kind there were (named by the words of `expect count`). Checks that
// CheckHealth and SetWeight refer only to servers that were listed at some time, and AssignTable
// only to connected proxies.
struct AppliedCommands {
    std::map<int, std::map<std::uint32_t, double>> tables;
    std::map<int, std::map<OperationMask, int>> assignments;
    std::map<std::pair<int, OperationMask>, command::SetAdmission> limits;
    std::map<std::string, int> counts;
    std::map<std::uint32_t, ServerState> server_states;
    std::string logs;

    void operator()(const command::SetTimer&) {}

    void operator()(const command::LogMessage& command) { logs += command.text + "\n"; }

    void operator()(const command::WatchEndpoints&) { ++counts["watch"]; }

    void operator()(const command::FetchEndpoints&) { ++counts["fetch"]; }

    void operator()(const command::CheckHealth& command) {
        ++counts["probe"];
        CHECK(server_states.contains(command.server.value));
    }

    void operator()(const command::SendGossip&) { ++counts["tell"]; }

    void operator()(const command::SetWeight& command) {
        ++counts["line"];
        CHECK(command.table.value >= 0 && command.table.value < 65535 && command.weight >= 0 &&
              std::isfinite(command.weight));
        CHECK(server_states.contains(command.server.value));
        if (command.weight > 0) {
            tables[command.table.value][command.server.value] = command.weight;
        } else {
            tables[command.table.value].erase(command.server.value);
        }
    }

    void operator()(const command::ClearTable& command) { tables.erase(command.table.value); }

    void operator()(const command::AssignTable& command) {
        ++counts["bind"];
        CHECK(assignments.contains(command.proxy.value));
        if (command.operations == 0) {
            assignments[command.proxy.value].clear();
        }
        assignments[command.proxy.value][command.operations] = command.table.value;
    }

    void operator()(const command::SetEjected&) { ++counts["withdraw"]; }

    void operator()(const command::SetAdmission& command) {
        ++counts["level"];
        CHECK(command.limit >= 0);
        for (OperationMask bit = 1; bit < 64; bit <<= 1) {
            if (command.operations == 0 || (command.operations & bit)) {
                limits[{command.table.value, bit}] = command;
            }
        }
    }

    void operator()(const command::RequestAck&) { ++counts["mark"]; }
};

class Player {
public:
    // Expands a word FIRST..LAST[:REST] to one word for each number; other words stay.
    static std::vector<std::string> expand_range(const std::string& word) {
        const std::size_t dots = word.find("..");
        if (dots == std::string::npos) {
            return {word};
        }
        const std::size_t colon = std::min(word.find(':'), word.size());
        std::vector<std::string> out;
        for (int number = std::stoi(word), last = std::stoi(word.substr(dots + 2)); number <= last;
             ++number) {
            out.push_back(std::to_string(number) + word.substr(colon));
        }
        return out;
    }

    // Sends one event for each combination of the ranges; a `list` event takes all numbers at once.
    void play_events(const Words& words) {
        std::vector<Words> lines{{}};
        for (const std::string& word : words) {
            std::vector<Words> longer;
            const auto all = expand_range(word);
            if (words[0] == "list") {
                lines[0].insert(lines[0].end(), all.begin(), all.end());
            } else {
                for (const Words& line : lines) {
                    for (const auto& number_text : all) {
                        longer.push_back(line);
                        longer.back().push_back(number_text);
                    }
                }
            }
            if (words[0] != "list") {
                lines = longer;
            }
        }
        for (const Words& line : lines) {
            send_event(line);
        }
    }

    void play(const Words& words) {
        if (words[0] == "site") {
            return configure(words);
        }
        if (words[0] == "op") {
            return add_operation(words);
        }
        if (words[0] == "up") {
            return start_planner(words.size() > 1 ? words[1] : "1");
        }
        if (words[0] == "at") {
            return advance(start_ + parse_seconds(words[1]));
        }
        if (words[0] == "bare") {
            return void(empty_tables_allowed_ = words[1] == "allowed");
        }
        if (words[0] == "acks") {
            return void(acks_enabled_ = words[1] == "on");
        }
        if (words[0] == "every") {
            return void(periodic_events_.push_back(words));
        }
        if (words[0] == "stop") {
            return periodic_events_.clear();
        }
        if (words[0] == "expect") {
            return expect(words);
        }
        if (words[0] == "forget") {
            applied_.counts.clear();
            applied_.logs.clear();
            return void();
        }
        play_events(words);
        decide();
    }

private:
    void configure(const Words& words) {
        static const std::map<std::string, double Settings::*> kReals = {
            {"rate", &Settings::channel_lines_per_second},
            {"head", &Settings::message_header_lines},
            {"lines", &Settings::max_queued_lines},
            {"from", &Settings::initial_capacity_fraction},
            {"fall", &Settings::overload_collapse_factor}};
        static const std::map<std::string, int Settings::*> kIntegers = {
            {"zones", &Settings::zone_count},
            {"proxies", &Settings::proxy_count},
            {"slices", &Settings::shard_count},
            {"messages", &Settings::max_messages},
            {"governors", &Settings::instance_count}};
        static const std::map<std::string, bool Settings::*> kBooleans = {
            {"ask", &Settings::endpoints_on_request},
            {"exclusive", &Settings::exclusive_shards},
            {"probe", &Settings::health_checks_allowed},
            {"stay", &Settings::keep_unlisted_servers}};
        static const std::map<std::string, Micros Settings::*> kTimes = {
            {"cold", &Settings::slow_start_window},
            {"grace", &Settings::drain_grace},
            {"settle", &Settings::shard_handover_delay},
            {"tenure", &Settings::write_lease},
            {"window", &Settings::message_window},
            {"way", &Settings::mean_network_delay},
            {"falltime", &Settings::overload_collapse_time},
            {"bare", &Settings::max_time_without_server},
            {"period", &Settings::report_interval},
            {"idle", &Settings::connection_idle_timeout}};
        for (std::size_t k = 1; k < words.size(); ++k) {
            const auto pair = split(words[k], '=');
            if (kReals.contains(pair[0])) {
                settings_.*kReals.at(pair[0]) = std::stod(pair[1]);
            } else if (kIntegers.contains(pair[0])) {
                settings_.*kIntegers.at(pair[0]) = std::stoi(pair[1]);
            } else if (kBooleans.contains(pair[0])) {
                settings_.*kBooleans.at(pair[0]) = pair[1] == "yes";
            } else if (kTimes.contains(pair[0])) {
                settings_.*kTimes.at(pair[0]) = parse_seconds(pair[1]);
            } else if (pair[0] == "admit") {
                settings_.admission_mode = pair[1] == "share"  ? AdmissionMode::Fraction
                                           : pair[1] == "rate" ? AdmissionMode::Rate
                                                               : AdmissionMode::None;
            } else if (pair[0] == "listed") {
                settings_.listed_weights =
                    pair[1] == "none" ? ListedWeights::None : ListedWeights::Nominal;
            } else if (pair[0] == "reports") {
                settings_.load_metric_names = {pair[1]};
            } else {
                fail("unknown setting: " + pair[0]);
            }
        }
    }

    void add_operation(const Words& words) {
        Operation op;
        op.name = words[1];
        op.effect = words[2] == "idempotent"      ? Effect::Idempotent
                    : words[2] == "fingerprinted" ? Effect::Fingerprinted
                                                  : Effect::SideEffecting;
        op.latency_objective = parse_seconds(words[3]);
        op.integration_timeout = parse_seconds(words[4]);
        op.priority_weight = std::stod(words[5]);
        for (std::size_t k = 6; k < words.size(); ++k) {
            if (words[k] == "own-zone") {
                op.local_only = true;
            }
            if (words[k] == "cell") {
                op.scope = Scope::Cell;
            }
            if (words[k].starts_with("ttl=")) {
                op.fingerprint_ttl = parse_seconds(words[k].substr(4));
            }
        }
        settings_.operations.push_back(op);
    }

    void start_planner(const std::string& seed) {
        planner_ = std::make_unique<policy::Planner>(settings_, std::stoull(seed), now_);
        applied_.tables.clear();
        applied_.assignments.clear();
        timers_.clear();
        decide();
    }

    // Servers: number:zone[:weight[:state[:age]]]; age in seconds since the server's start; without
    // it the server started long ago.
    void update_endpoints(const Words& words) {
        event::EndpointListUpdate out{UpdateKind::Snapshot, {}};
        if (out.kind == UpdateKind::Snapshot && words[1] != "delta" && words[1] != "failed") {
            for (auto& [server, state] : applied_.server_states) {
                state = ServerState::Gone;
            }
        }
        if (words[1] == "failed") {
            out.kind = UpdateKind::WatchFailed;
        }
        if (words[1] == "delta") {
            out.kind = UpdateKind::Delta;
        }
        if (words[1] == "cached") {
            out.kind = UpdateKind::Cached;
        }
        for (std::size_t k = 2; k < words.size(); ++k) {
            const auto fields = split(words[k], ':');
            Endpoint endpoint;
            endpoint.server = {static_cast<std::uint32_t>(std::stoul(fields[0]))};
            endpoint.zone = {std::stoi(fields[1])};
            if (fields.size() > 2) {
                endpoint.weight = std::stod(fields[2]);
            }
            if (fields.size() > 3 && fields[3] == "draining") {
                endpoint.state = ServerState::Draining;
            }
            if (fields.size() > 3 && fields[3] == "gone") {
                endpoint.state = ServerState::Gone;
            }
            if (fields.size() > 4) {
                endpoint.started_at = now_ - parse_seconds(fields[4]);
            }
            applied_.server_states[endpoint.server.value] = endpoint.state;
            out.endpoints.push_back(endpoint);
        }
        planner_->on_event(now_, out);
    }

    void send_event(const Words& words) {
        if (words[0] == "list") {
            return update_endpoints(words);
        }
        const auto number = [&](std::size_t k) {
            return std::stoi(words.at(k));
        };
        if (words[0] == "join") {
            applied_.assignments[number(1)].clear();
            planner_->on_event(now_, event::ProxyConnected{
                                         {number(1)}, true, {number(2)}, std::stod(words.at(3))});
        } else if (words[0] == "leave") {
            applied_.assignments.erase(number(1));
            planner_->on_event(now_, event::ProxyDisconnected{{number(1)}});
        } else if (words[0] == "heard") {
            std::vector<double> load;
            if (words.size() > 6) {
                load.push_back(std::stod(words[6]));
            }
            planner_->on_event(
                now_, event::ServerLoadReport{{number(1)},
                                              {static_cast<std::uint32_t>(std::stoul(words[2]))},
                                              number(3),
                                              number(4),
                                              parse_seconds(words.at(5)),
                                              Micros{1000000},
                                              load});
        } else if (words[0] == "demand") {
            planner_->on_event(
                now_, event::ProxyDemandReport{
                          {number(1)}, {number(2)}, number(3), 0, parse_seconds(words.at(4))});
        } else if (words[0] == "ack") {
            planner_->on_event(now_, event::ConfigAcknowledged{{number(1)}, {number(2)}, {}});
        } else if (words[0] == "due") {
            planner_->on_event(now_, event::TimerFired{words.at(1)});
        } else if (words[0] == "slice") {
            planner_->on_event(now_,
                               event::ShardAssignmentChanged{{number(1)}, words.at(2) == "given"});
        } else if (words[0] == "stored") {
            planner_->on_event(
                now_, event::ShardReplica{
                          {number(1)}, {static_cast<std::uint32_t>(std::stoul(words[2]))}, 1});
        } else {
            fail("unknown word: " + words[0]);
        }
    }

    // Applies the commands of one decision and checks that no connected proxy is left with an empty
    // table while servers are ready, unless `bare allowed`.
    void decide() {
        for (const Command& next_command : planner_->decide(now_)) {
            if (const auto* timer = std::get_if<command::SetTimer>(&next_command)) {
                timers_.emplace(now_ + timer->delay, timer->token);
            }
            if (const auto* request = std::get_if<command::RequestAck>(&next_command);
                request && acks_enabled_) {
                pending_acks_.emplace(now_ + Micros{200000}, request->version);
            }
            std::visit(applied_, next_command);
        }
        for (const auto& [proxy, assigned] : applied_.assignments) {
            for (const auto& [operations, table] : assigned) {
                CHECK(empty_tables_allowed_ || !applied_.tables[table].empty() || !any_ready());
            }
        }
    }

    bool any_ready() const {
        for (const auto& [server, state] : applied_.server_states) {
            if (state == ServerState::Ready) {
                return true;
            }
        }
        return false;
    }

    // Moves the clock to `to` and fires the timers on the way. Before a timer fires, the connected
    // proxies acknowledge the versions of at least 0.2 s ago, and the periodic events are repeated
    // if a new second has begun since the timer before.
    void advance(Micros to) {
        CHECK(to >= now_);
        while (!timers_.empty() && timers_.begin()->first <= to) {
            const auto [at, token] = *timers_.begin();
            timers_.erase(timers_.begin());
            const bool new_second = at / Micros{1000000} != now_ / Micros{1000000};
            now_ = at;
            while (!pending_acks_.empty() && pending_acks_.begin()->first <= now_) {
                for (const auto& [proxy, assigned] : applied_.assignments) {
                    planner_->on_event(now_, event::ConfigAcknowledged{
                                                 {proxy}, pending_acks_.begin()->second, {}});
                }
                pending_acks_.erase(pending_acks_.begin());
            }
            if (new_second) {
                for (const Words& periodic_event : periodic_events_) {
                    play_events({periodic_event.begin() + 1, periodic_event.end()});
                }
            }
            planner_->on_event(now_, event::TimerFired{token});
            decide();
        }
        now_ = to;
    }

    void expect(const Words& words) {
        if (words[1] == "table") {
            Words actual;
            for (const auto& [server, weight] : applied_.tables[std::stoi(words[2])]) {
                std::ostringstream text;
                text << server;
                if (std::abs(weight - 1) > 1e-6) {
                    text << "*" << std::round(weight * 100) / 100;
                }
                actual.push_back(text.str());
            }
            if (actual != Words(words.begin() + 3, words.end())) {
                for (const auto& entry : actual) {
                    std::fprintf(stderr, "%s ", entry.c_str());
                }
                std::fprintf(stderr, "are in table %s\n", words[2].c_str());
            }
            CHECK(actual == Words(words.begin() + 3, words.end()));
        } else if (words[1] == "gone") {
            for (std::size_t k = 3; k < words.size(); ++k) {
                for (const auto& number_text : expand_range(words[k])) {
                    CHECK(!applied_.tables[std::stoi(words[2])].contains(
                        static_cast<std::uint32_t>(std::stoul(number_text))));
                }
            }
        } else if (words[1] == "dealt") {
            std::set<int> used;
            for (const auto& number_text : expand_range(words[2])) {
                used.insert(applied_.assignments[std::stoi(number_text)][0]);
            }
            const std::size_t least = std::stoul(words[3]);
            if (used.size() < least) {
                std::fprintf(stderr, "%zu tables used\n", used.size());
            }
            CHECK(least == 1 ? used.size() == 1 : used.size() >= least);
        } else if (words[1] == "size") {
            CHECK(applied_.tables[std::stoi(words[2])].size() == std::stoul(words[3]));
        } else if (words[1] == "bound") {
            CHECK(applied_.assignments[std::stoi(words[2])]
                                      [words.size() > 4 ? std::stoull(words[4]) : 0] ==
                  std::stoi(words[3]));
        } else if (words[1] == "unbound") {
            CHECK(applied_.assignments[std::stoi(words[2])].empty());
        } else if (words[1] == "count") {
            const int seen = applied_.counts[words[2]];
            const int expected = std::stoi(words[4]);
            if (!(words[3] == "most"    ? seen <= expected
                  : words[3] == "least" ? seen >= expected
                                        : seen == expected)) {
                std::fprintf(stderr, "%d commands counted\n", seen);
            }
            CHECK(words[3] == "most"    ? seen <= expected
                  : words[3] == "least" ? seen >= expected
                                        : seen == expected);
        } else if (words[1] == "level") {
            const auto it = applied_.limits.find({std::stoi(words[2]), std::stoull(words[3])});
            const double limit = it != applied_.limits.end() ? it->second.limit : 1;
            if ((words[4] == "under") != (limit < std::stod(words[5]))) {
                std::fprintf(stderr, "admission limit %g\n", limit);
            }
            CHECK(words[4] == "under" ? limit < std::stod(words[5]) : limit >= std::stod(words[5]));
        } else if (words[1] == "again") {
            for (const auto& [key, admission] : applied_.limits) {
                if (key.second == std::stoull(words[2])) {
                    CHECK(static_cast<int>(admission.retry_mode) == std::stoi(words[3]));
                }
            }
        } else if (words[1] == "log") {
            std::string text = words[2];
            for (std::size_t k = 3; k < words.size(); ++k) {
                text += " " + words[k];
            }
            if (applied_.logs.find(text) == std::string::npos) {
                std::fprintf(stderr, "logs:\n%s", applied_.logs.c_str());
            }
            CHECK(applied_.logs.find(text) != std::string::npos);
        } else {
            fail("unknown expectation: " + words[1]);
        }
    }

    Settings settings_;
    std::unique_ptr<policy::Planner> planner_;
    AppliedCommands applied_;
    const Micros start_{1000000000};
    Micros now_ = start_;
    std::multimap<Micros, std::string> timers_;
    std::multimap<Micros, ConfigVersion> pending_acks_;
    std::vector<Words> periodic_events_;
    bool acks_enabled_ = true, empty_tables_allowed_ = false;
};

// Wire scenarios: '>' lines are the input ('|' is a tab), '<' lines must be in the replies, '-'
// lines must not, and '!' lines must be in the error output.
void play_wire(std::istream& in) {
    std::string input;
    std::string text;
    std::vector<std::pair<char, std::string>> expectations;
    while (std::getline(in, text)) {
        ++line_number;
        if (text.size() < 2 || text[0] == '#') {
            continue;
        }
        std::string rest = text.substr(2);
        for (char& c : rest) {
            if (c == '|') {
                c = '\t';
            }
        }
        if (text[0] == '>') {
            input += rest + "\n";
        } else {
            expectations.emplace_back(text[0], rest);
        }
    }
    std::istringstream input_lines(input);
    std::ostringstream replies;
    std::ostringstream errors;
    wire::InstanceHost(replies, errors).run(input_lines);
    for (const auto& [kind, expected] : expectations) {
        const std::string& output = kind == '!' ? errors.str() : replies.str();
        const bool found = output.find(expected) != std::string::npos;
        if (found == (kind == '-')) {
            std::fprintf(stderr, "%c %s; replies:\n%s\nerrors:\n%s\n", kind, expected.c_str(),
                         replies.str().c_str(), errors.str().c_str());
        }
        assert(found == (kind != '-'));
    }
}

}  // namespace

int main(int count, char** arguments) {
    assert(count == 2);
    std::ifstream in(arguments[1]);
    assert(in);
    if (std::string(arguments[1]).find("wire") != std::string::npos) {
        play_wire(in);
        return 0;
    }
    Player player;
    for (std::string text; std::getline(in, text);) {
        ++line_number;
        const auto words = split(text.substr(0, text.find('#')), ' ');
        if (!words.empty()) {
            player.play(words);
        }
    }
    std::puts("ok");
}
