// Plays scenario files (docs in tests/README.md) against one policy::Planner, or wire text against
// the adapter's host.
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

int line_number = 0;

#define CHECK(what)                                                                \
    do {                                                                           \
        if (!(what))                                                               \
            std::fprintf(stderr, "scenario line %d does not hold\n", line_number); \
        assert(what);                                                              \
    } while (false)

/// The scenario can't be played as it stands: it names what the notation does not have.
[[noreturn]] void fail(const std::string& why) {
    std::fprintf(stderr, "scenario line %d: %s\n", line_number, why.c_str());
    std::abort();
}

using Words = std::vector<std::string>;

Words split(const std::string& text, char by) {
    Words out;
    std::istringstream in(text);
    for (std::string word; std::getline(in, word, by);) {
        if (!word.empty()) {
            out.push_back(word);
        }
    }
    return out;
}

Micros secs(const std::string& text) {
    return Micros(std::llround(std::stod(text) * 1e6));
}

// What the orders so far have made of tables, bindings and levels.
struct World {
    std::map<int, std::map<std::uint32_t, double>> tables;
    std::map<int, std::map<OperationMask, int>> bound;
    std::map<std::pair<int, OperationMask>, command::SetAdmission> levels;
    std::map<std::string, int> counts;
    std::map<std::uint32_t, ServerState> listed;
    std::string logs;

    void operator()(const command::SetTimer&) {}

    void operator()(const command::LogMessage& a) { logs += a.text + "\n"; }

    void operator()(const command::WatchEndpoints&) { ++counts["watch"]; }

    void operator()(const command::FetchEndpoints&) { ++counts["fetch"]; }

    void operator()(const command::CheckHealth& a) {
        ++counts["probe"];
        CHECK(listed.contains(a.server.value));
    }

    void operator()(const command::SendGossip&) { ++counts["tell"]; }

    void operator()(const command::SetWeight& a) {
        ++counts["line"];
        CHECK(a.table.value >= 0 && a.table.value < 65535 && a.weight >= 0 &&
              std::isfinite(a.weight));
        CHECK(listed.contains(a.server.value));
        if (a.weight > 0) {
            tables[a.table.value][a.server.value] = a.weight;
        } else {
            tables[a.table.value].erase(a.server.value);
        }
    }

    void operator()(const command::ClearTable& a) { tables.erase(a.table.value); }

    void operator()(const command::AssignTable& a) {
        ++counts["bind"];
        CHECK(bound.contains(a.proxy.value));
        if (a.operations == 0) {
            bound[a.proxy.value].clear();
        }
        bound[a.proxy.value][a.operations] = a.table.value;
    }

    void operator()(const command::SetEjected&) { ++counts["withdraw"]; }

    void operator()(const command::SetAdmission& a) {
        ++counts["level"];
        CHECK(a.limit >= 0);
        for (OperationMask bit = 1; bit < 64; bit <<= 1) {
            if (a.operations == 0 || (a.operations & bit)) {
                levels[{a.table.value, bit}] = a;
            }
        }
    }

    void operator()(const command::RequestAck&) { ++counts["mark"]; }
};

class Player {
public:
    // A word FIRST..LAST[:REST] stands for one word a number: in a list all of them, elsewhere a
    // line each.
    static std::vector<std::string> spread(const std::string& word) {
        const std::size_t dots = word.find("..");
        if (dots == std::string::npos) {
            return {word};
        }
        const std::size_t colon = std::min(word.find(':'), word.size());
        std::vector<std::string> out;
        for (int n = std::stoi(word), last = std::stoi(word.substr(dots + 2)); n <= last; ++n) {
            out.push_back(std::to_string(n) + word.substr(colon));
        }
        return out;
    }

    void event_each(const Words& w) {
        std::vector<Words> lines{{}};
        for (const std::string& word : w) {
            std::vector<Words> longer;
            const auto all = spread(word);
            if (w[0] == "list") {
                lines[0].insert(lines[0].end(), all.begin(), all.end());
            } else {
                for (const Words& line : lines) {
                    for (const auto& one : all) {
                        longer.push_back(line);
                        longer.back().push_back(one);
                    }
                }
            }
            if (w[0] != "list") {
                lines = longer;
            }
        }
        for (const Words& line : lines) {
            event(line);
        }
    }

    void play(const Words& w) {
        if (w[0] == "site") {
            return site(w);
        }
        if (w[0] == "op") {
            return operation(w);
        }
        if (w[0] == "up") {
            return up(w.size() > 1 ? w[1] : "1");
        }
        if (w[0] == "at") {
            return advance(start_ + secs(w[1]));
        }
        if (w[0] == "bare") {
            return void(may_bare_ = w[1] == "allowed");
        }
        if (w[0] == "acks") {
            return void(acks_ = w[1] == "on");
        }
        if (w[0] == "every") {
            return void(standing_.push_back(w));
        }
        if (w[0] == "stop") {
            return standing_.clear();
        }
        if (w[0] == "expect") {
            return expect(w);
        }
        if (w[0] == "forget") {
            world_.counts.clear();
            world_.logs.clear();
            return void();
        }
        event_each(w);
        decide();
    }

private:
    void site(const Words& w) {
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
            {"window", &Settings::message_window},
            {"falltime", &Settings::overload_collapse_time},
            {"bare", &Settings::max_time_without_server},
            {"period", &Settings::report_interval},
            {"idle", &Settings::connection_idle_timeout}};
        for (std::size_t k = 1; k < w.size(); ++k) {
            const auto pair = split(w[k], '=');
            if (kReals.contains(pair[0])) {
                told_.*kReals.at(pair[0]) = std::stod(pair[1]);
            } else if (kIntegers.contains(pair[0])) {
                told_.*kIntegers.at(pair[0]) = std::stoi(pair[1]);
            } else if (kBooleans.contains(pair[0])) {
                told_.*kBooleans.at(pair[0]) = pair[1] == "yes";
            } else if (kTimes.contains(pair[0])) {
                told_.*kTimes.at(pair[0]) = secs(pair[1]);
            } else if (pair[0] == "admit") {
                told_.admission_mode = pair[1] == "share"  ? AdmissionMode::Fraction
                                       : pair[1] == "rate" ? AdmissionMode::Rate
                                                           : AdmissionMode::None;
            } else if (pair[0] == "listed") {
                told_.listed_weights =
                    pair[1] == "none" ? ListedWeights::None : ListedWeights::Nominal;
            } else if (pair[0] == "reports") {
                told_.load_metric_names = {pair[1]};
            } else {
                fail("unknown setting: " + pair[0]);
            }
        }
    }

    void operation(const Words& w) {
        Operation op;
        op.name = w[1];
        op.effect = w[2] == "idempotent"      ? Effect::Idempotent
                    : w[2] == "fingerprinted" ? Effect::Fingerprinted
                                              : Effect::SideEffecting;
        op.latency_objective = secs(w[3]);
        op.integration_timeout = secs(w[4]);
        op.priority_weight = std::stod(w[5]);
        for (std::size_t k = 6; k < w.size(); ++k) {
            if (w[k] == "own-zone") {
                op.local_only = true;
            }
            if (w[k] == "cell") {
                op.scope = Scope::Cell;
            }
            if (w[k].starts_with("ttl=")) {
                op.fingerprint_ttl = secs(w[k].substr(4));
            }
        }
        told_.operations.push_back(op);
    }

    void up(const std::string& seed) {
        governor_ = std::make_unique<policy::Planner>(told_, std::stoull(seed), now_);
        world_.tables.clear();
        world_.bound.clear();
        timers_.clear();
        decide();
    }

    // Servers: number:zone[:weight[:state[:age]]]; age in seconds, counted from now; absent is long
    // ago.
    void list(const Words& w) {
        event::EndpointListUpdate out{UpdateKind::Snapshot, {}};
        if (out.kind == UpdateKind::Snapshot && w[1] != "delta" && w[1] != "failed") {
            for (auto& [server, state] : world_.listed) {
                state = ServerState::Gone;
            }
        }
        if (w[1] == "failed") {
            out.kind = UpdateKind::WatchFailed;
        }
        if (w[1] == "delta") {
            out.kind = UpdateKind::Delta;
        }
        if (w[1] == "cached") {
            out.kind = UpdateKind::Cached;
        }
        for (std::size_t k = 2; k < w.size(); ++k) {
            const auto f = split(w[k], ':');
            Endpoint row;
            row.server = {static_cast<std::uint32_t>(std::stoul(f[0]))};
            row.zone = {std::stoi(f[1])};
            if (f.size() > 2) {
                row.weight = std::stod(f[2]);
            }
            if (f.size() > 3 && f[3] == "draining") {
                row.state = ServerState::Draining;
            }
            if (f.size() > 3 && f[3] == "gone") {
                row.state = ServerState::Gone;
            }
            if (f.size() > 4) {
                row.started_at = now_ - secs(f[4]);
            }
            world_.listed[row.server.value] = row.state;
            out.endpoints.push_back(row);
        }
        governor_->on_event(now_, out);
    }

    void event(const Words& w) {
        if (w[0] == "list") {
            return list(w);
        }
        const auto number = [&](std::size_t k) {
            return std::stoi(w.at(k));
        };
        if (w[0] == "join") {
            world_.bound[number(1)].clear();
            governor_->on_event(
                now_, event::ProxyConnected{{number(1)}, true, {number(2)}, std::stod(w.at(3))});
        } else if (w[0] == "leave") {
            world_.bound.erase(number(1));
            governor_->on_event(now_, event::ProxyDisconnected{{number(1)}});
        } else if (w[0] == "heard") {
            std::vector<double> load;
            if (w.size() > 6) {
                load.push_back(std::stod(w[6]));
            }
            governor_->on_event(
                now_, event::ServerLoadReport{{number(1)},
                                              {static_cast<std::uint32_t>(std::stoul(w[2]))},
                                              number(3),
                                              number(4),
                                              secs(w.at(5)),
                                              Micros{1000000},
                                              load});
        } else if (w[0] == "demand") {
            governor_->on_event(now_, event::ProxyDemandReport{
                                          {number(1)}, {number(2)}, number(3), 0, secs(w.at(4))});
        } else if (w[0] == "ack") {
            governor_->on_event(now_, event::ConfigAcknowledged{{number(1)}, {number(2)}, {}});
        } else if (w[0] == "due") {
            governor_->on_event(now_, event::TimerFired{w.at(1)});
        } else if (w[0] == "slice") {
            governor_->on_event(now_,
                                event::ShardAssignmentChanged{{number(1)}, w.at(2) == "given"});
        } else if (w[0] == "stored") {
            governor_->on_event(
                now_, event::ShardReplica{
                          {number(1)}, {static_cast<std::uint32_t>(std::stoul(w[2]))}, 1});
        } else {
            fail("unknown word: " + w[0]);
        }
    }

    void decide() {
        for (const Command& action : governor_->decide(now_)) {
            if (const auto* timer = std::get_if<command::SetTimer>(&action)) {
                timers_.emplace(now_ + timer->delay, timer->token);
            }
            if (const auto* m = std::get_if<command::RequestAck>(&action); m && acks_) {
                marks_.emplace(now_ + Micros{200000}, m->version);
            }
            std::visit(world_, action);
        }
        for (const auto& [proxy, bound] : world_.bound) {
            for (const auto& [ops, table] : bound) {
                CHECK(may_bare_ || !world_.tables[table].empty() || !any_ready());
            }
        }
    }

    bool any_ready() const {
        for (const auto& [server, state] : world_.listed) {
            if (state == ServerState::Ready) {
                return true;
            }
        }
        return false;
    }

    void advance(Micros to) {
        CHECK(to >= now_);
        while (!timers_.empty() && timers_.begin()->first <= to) {
            const auto [at, token] = *timers_.begin();
            timers_.erase(timers_.begin());
            const bool second = at / Micros{1000000} != now_ / Micros{1000000};
            now_ = at;
            while (!marks_.empty() && marks_.begin()->first <= now_) {
                for (const auto& [proxy, bound] : world_.bound) {
                    governor_->on_event(
                        now_, event::ConfigAcknowledged{{proxy}, marks_.begin()->second, {}});
                }
                marks_.erase(marks_.begin());
            }
            if (second) {
                for (const Words& s : standing_) {
                    event_each({s.begin() + 1, s.end()});
                }
            }
            governor_->on_event(now_, event::TimerFired{token});
            decide();
        }
        now_ = to;
    }

    void expect(const Words& w) {
        if (w[1] == "table") {
            Words got;
            for (const auto& [server, weight] : world_.tables[std::stoi(w[2])]) {
                std::ostringstream text;
                text << server;
                if (std::abs(weight - 1) > 1e-6) {
                    text << "*" << std::round(weight * 100) / 100;
                }
                got.push_back(text.str());
            }
            if (got != Words(w.begin() + 3, w.end())) {
                for (const auto& g : got) {
                    std::fprintf(stderr, "%s ", g.c_str());
                }
                std::fprintf(stderr, "are in table %s\n", w[2].c_str());
            }
            CHECK(got == Words(w.begin() + 3, w.end()));
        } else if (w[1] == "gone") {
            for (std::size_t k = 3; k < w.size(); ++k) {
                for (const auto& one : spread(w[k])) {
                    CHECK(!world_.tables[std::stoi(w[2])].contains(
                        static_cast<std::uint32_t>(std::stoul(one))));
                }
            }
        } else if (w[1] == "dealt") {
            std::set<int> used;
            for (const auto& one : spread(w[2])) {
                used.insert(world_.bound[std::stoi(one)][0]);
            }
            const std::size_t least = std::stoul(w[3]);
            if (used.size() < least) {
                std::fprintf(stderr, "%zu tables\n", used.size());
            }
            CHECK(least == 1 ? used.size() == 1 : used.size() >= least);
        } else if (w[1] == "size") {
            CHECK(world_.tables[std::stoi(w[2])].size() == std::stoul(w[3]));
        } else if (w[1] == "bound") {
            CHECK(world_.bound[std::stoi(w[2])][w.size() > 4 ? std::stoull(w[4]) : 0] ==
                  std::stoi(w[3]));
        } else if (w[1] == "unbound") {
            CHECK(world_.bound[std::stoi(w[2])].empty());
        } else if (w[1] == "count") {
            const int n = world_.counts[w[2]];
            const int most = std::stoi(w[4]);
            if (!(w[3] == "most" ? n <= most : w[3] == "least" ? n >= most : n == most)) {
                std::fprintf(stderr, "%d seen\n", n);
            }
            CHECK(w[3] == "most" ? n <= most : w[3] == "least" ? n >= most : n == most);
        } else if (w[1] == "level") {
            const auto it = world_.levels.find({std::stoi(w[2]), std::stoull(w[3])});
            const double let_in = it != world_.levels.end() ? it->second.limit : 1;
            if ((w[4] == "under") != (let_in < std::stod(w[5]))) {
                std::fprintf(stderr, "level %g\n", let_in);
            }
            CHECK(w[4] == "under" ? let_in < std::stod(w[5]) : let_in >= std::stod(w[5]));
        } else if (w[1] == "again") {
            for (const auto& [key, level] : world_.levels) {
                if (key.second == std::stoull(w[2])) {
                    CHECK(static_cast<int>(level.retry_mode) == std::stoi(w[3]));
                }
            }
        } else if (w[1] == "log") {
            std::string text = w[2];
            for (std::size_t k = 3; k < w.size(); ++k) {
                text += " " + w[k];
            }
            if (world_.logs.find(text) == std::string::npos) {
                std::fprintf(stderr, "logs:\n%s", world_.logs.c_str());
            }
            CHECK(world_.logs.find(text) != std::string::npos);
        } else {
            fail("unknown expectation: " + w[1]);
        }
    }

    Settings told_;
    std::unique_ptr<policy::Planner> governor_;
    World world_;
    const Micros start_{1000000000};
    Micros now_ = start_;
    std::multimap<Micros, std::string> timers_;
    std::multimap<Micros, ConfigVersion> marks_;
    std::vector<Words> standing_;
    bool acks_ = true, may_bare_ = false;
};

// Wire scenarios: '>' lines go in ('|' stands for a tab), '<' must be in the replies, '!' in the
// complaints.
void play_wire(std::istream& in) {
    std::string input;
    std::string text;
    std::vector<std::pair<char, std::string>> wanted;
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
            wanted.emplace_back(text[0], rest);
        }
    }
    std::istringstream from(input);
    std::ostringstream replies;
    std::ostringstream complaints;
    wire::InstanceHost(replies, complaints).run(from);
    for (const auto& [kind, what] : wanted) {
        const std::string& seen = kind == '!' ? complaints.str() : replies.str();
        const bool there = seen.find(what) != std::string::npos;
        if (there == (kind == '-')) {
            std::fprintf(stderr, "%c %s; replies:\n%s\ncomplaints:\n%s\n", kind, what.c_str(),
                         replies.str().c_str(), complaints.str().c_str());
        }
        assert(there == (kind != '-'));
    }
}

}  // namespace

int main(int count, char** names) {
    assert(count == 2);
    std::ifstream in(names[1]);
    assert(in);
    if (std::string(names[1]).find("wire") != std::string::npos) {
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
