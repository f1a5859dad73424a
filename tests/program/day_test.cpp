// Scenarios: reproducibility, the audit of each rule, errors in scripts, the metrics.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "scenario/runner.h"
#include "scenario/script.h"

namespace badgergrade::test {
namespace {

using namespace std::chrono_literals;

std::string read(const std::string& path) {
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

config::IniFile example_settings() {
    std::vector<config::ConfigError> mistakes;
    return config::IniFile::parse("governor.ini", read(BADGERGRADE_SOURCE "/examples/governor.ini"),
                                  mistakes);
}

const char* const kFleet = R"(settings governor.ini
seed 3
length 20 s
workers 12
forwarders 8
rate 60
operation preview share 54% work 100 ms
operation print-file share 33% work 150 ms
operation place-job share 13% work 120 ms
way orders 50..100 ms
list gone 0.5..1 s new 0.3..0.5 s
)";

scenario::ScenarioScript script(const std::string& faults) {
    std::vector<config::ConfigError> mistakes;
    auto out = scenario::parse_script("test.day", kFleet + faults, example_settings(), mistakes);
    for (const auto& mistake : mistakes) {
        ADD_FAILURE() << config::to_text(mistake);
    }
    return out;
}

std::set<std::string> rules_broken(const scenario::ScenarioRun& run) {
    std::set<std::string> out;
    for (const auto& one : run.violations) {
        out.insert(one.rule);
    }
    return out;
}

// Servers crash, streams break and an instance restarts. The same seed must give the same figures
// to the byte, another seed others.
TEST(Day, IsReproducibleForASeedAndDiffersBetweenSeeds) {
    auto day = script(
        "at 5 s crash workers 25% for 5 s\nat 8 s streams-break forwarders 50%\nat 10 s "
        "governor-crash 0 for 2 s\n");
    const std::string first = scenario::run_scenario(day, {}).result.dump();
    for (int n = 0; n < 3; ++n) {
        EXPECT_EQ(scenario::run_scenario(day, {}).result.dump(), first);
    }
    day.seed = 4;
    EXPECT_NE(scenario::run_scenario(day, {}).result.dump(), first);
}

// Half of the servers crash and two hang. Each invocation must still end in exactly one result, and
// no effect may happen twice.
TEST(Day, EveryInvocationHasOneResult) {
    const auto run = scenario::run_scenario(
        script("at 5 s crash workers 50% for 5 s\nat 7 s hang workers 2 for 5 s\n"), {});
    const auto& whole = run.result["figures"]["whole_day"];
    const auto sum = whole["succeeded"].get<int>() + whole["rate_limited"].get<int>() +
                     whole["errored"].get<int>() + whole["timed_out"].get<int>();
    EXPECT_EQ(sum, whole["invocations"].get<int>());
    EXPECT_GT(sum, 1000);
    EXPECT_TRUE(run.violations.empty());
    EXPECT_EQ(run.result["figures"]["effects"]["twice"].get<int>(), 0);
}

// ---- each rule is violated on purpose, and the auditor must report it

struct Defect {
    const char* rule;
    const char* faults;
    std::function<void(scenario::SimulatedFleet&)> inject_defect;
};

// An instance that never removes a server from its tables.
void ignore_removals(scenario::SimulatedFleet& fleet) {
    fleet.alter_commands_for_test = [](int, xds_server::XdsServer&, Micros,
                                       std::vector<Command>& actions) {
        std::erase_if(actions, [](const Command& a) {
            const auto* line = std::get_if<command::SetWeight>(&a);
            return line && line->weight <= 0;
        });
    };
}

// An instance that replaces tables by empty ones and never fills them.
void empty_all_tables(scenario::SimulatedFleet& fleet) {
    fleet.alter_commands_for_test = [](int, xds_server::XdsServer&, Micros,
                                       std::vector<Command>& actions) {
        std::erase_if(actions, [](const Command& a) {
            return std::holds_alternative<command::SetWeight>(a);
        });
    };
}

// An instance that sends nearly all traffic to a server as soon as it starts.
void overload_cold_server(scenario::SimulatedFleet& fleet) {
    fleet.alter_commands_for_test = [](int, xds_server::XdsServer& service, Micros,
                                       std::vector<Command>& actions) {
        const auto cold = service.server_id("worker-000");
        for (Command& a : actions) {
            if (auto* line = std::get_if<command::SetWeight>(&a);
                line && line->weight > 0 && cold) {
                line->weight = line->server == *cold ? 1000 : 0.001;
            }
        }
        if (!cold || actions.empty()) {
            return;
        }
        for (int table = 0; table < 5; ++table) {
            actions.insert(actions.begin(), command::SetWeight{{table}, *cold, 1000});
        }
        actions.emplace_back(command::RequestAck{{7}, false});
    };
}

// An instance that sends the same lines again and again, beyond the pace of its channel.
void flood_channel(scenario::SimulatedFleet& fleet) {
    fleet.alter_commands_for_test = [](int, xds_server::XdsServer& service, Micros,
                                       std::vector<Command>& actions) {
        const auto one = service.server_id("worker-001");
        for (int n = 0; one && n < 600; ++n) {
            actions.emplace_back(command::SetWeight{{n % 5}, *one, 1.0 + n % 7});
        }
    };
}

void retry_side_effects(scenario::SimulatedFleet& fleet) {
    fleet.on_proxy_created = [](testbed::FakeProxy& proxy) {
        proxy.retries_everything_for_test = true;
    };
}

class Audit : public testing::TestWithParam<int> {};

const Defect& defect(int k) {
    static const Defect kAll[] = {
        {"drain", "at 5 s crash workers 40% for 12 s\n", ignore_removals},
        {"bare", "", empty_all_tables},
        {"cold", "at 4 s crash worker-000 for 3 s\n", overload_cold_server},
        {"queue", "", flood_channel},
        {"effect",
         "at 4 s hang workers 30% for 10 s\nat 4 s answers-lost workers 60% by 60% for 12 s\n",
         retry_side_effects},
    };
    return kAll[k];
}

// An instance or its proxies are made to break one of the five rules. The auditor must name that
// rule, and must find nothing on the same day without the defect.
TEST_P(Audit, ReportsTheViolatedRule) {
    const Defect& what = defect(GetParam());
    const auto day = script(what.faults);
    EXPECT_TRUE(scenario::run_scenario(day, {}).violations.empty())
        << "rule violated without a defect";
    scenario::ScenarioOptions options;
    options.before_start = what.inject_defect;
    const auto run = scenario::run_scenario(day, options);
    EXPECT_TRUE(rules_broken(run).contains(what.rule)) << what.rule << " not reported";
    ASSERT_FALSE(run.violations.empty());
    EXPECT_FALSE(run.violations.front().parties.empty());
    EXPECT_GT(run.violations.front().at, 1000s);
}

INSTANTIATE_TEST_SUITE_P(Rules, Audit, testing::Range(0, 5));

// ---- scripts

struct ScriptErrorCase {
    const char* line;
    const char* expected_text;
};

// A script has one error in its last line. The message must name the file, the line and what is
// wrong.
TEST(Script, ReportsEachErrorWithItsLine) {
    const ScriptErrorCase cases[] = {
        {"at 5 s crsh workers 25%", "did you mean crash?"},
        {"at 5 s crash workers 25% for 12", "no unit"},
        {"at 5 s crash workers 250% for 12 s", "expected at most 100%, got '250%'"},
        {"at 5 s hang workers 2", "requires 'for'"},
        {"at 5 s hang workers 2 by 3 for 4 s", "is not an option of hang"},
        {"at 5 s zone-cut atlantis for 4 s", "expected a zone of the settings, got 'atlantis'"},
        {"at 5 s governor-crash 7 for 4 s", "expected a governor from 0 to governors - 1, got '7'"},
        {"at 90 s streams-break forwarders 10%", "after the day's end"},
        {"wrokers 5", "did you mean workers?"},
        {"operation unheard share 5% work 10 ms", "not in the settings"},
        {"rate lots", "expected a number of at least 0, got 'lots'"},
        {"list gone 3..1 s", "expected LOW..HIGH, got '3..1'"},
        {"set forwarders pick quickest", "not one of"},
    };
    for (const auto& one : cases) {
        std::vector<config::ConfigError> errors;
        scenario::parse_script("test.day", std::string(kFleet) + one.line + "\n",
                               example_settings(), errors);
        ASSERT_FALSE(errors.empty()) << one.line;
        const std::string text = config::to_text(errors.front());
        EXPECT_NE(text.find(one.expected_text), std::string::npos) << one.line << " -> " << text;
        const bool in_the_script = std::string(one.line).rfind("set ", 0) != 0;
        EXPECT_NE(text.find(in_the_script ? "test.day:12:" : "governor.ini"), std::string::npos)
            << text;
    }
}

// Known invocations: all attempts of one count once, and place-job is billed threefold.
TEST(Figures, BillAsTheUsersDo) {
    const auto day = script("");
    scenario::ScenarioMetrics figures(day, 1000s, day.length, {{"f", "bang-na"}});
    const auto play = [&](std::uint64_t id, int operation, int attempts,
                          testbed::InvocationResult result, Micros took) {
        testbed::Invocation one;
        one.id = id;
        one.operation = operation;
        one.proxy = "f";
        one.arrived_at = 1000s + 1s;
        figures.on_invocation_arrived(one.arrived_at, one);
        for (int n = 0; n < attempts; ++n) {
            figures.on_client_attempt(one.arrived_at, one);
        }
        figures.on_invocation_finished(one.arrived_at + took, one, result);
    };
    play(1, 0, 1, testbed::InvocationResult::Succeeded, 100ms);   // 1 of 1
    play(2, 0, 3, testbed::InvocationResult::Succeeded, 900ms);   // late: 0 of 1
    play(3, 1, 2, testbed::InvocationResult::Errored, 100ms);     // 0 of 1
    play(4, 2, 1, testbed::InvocationResult::Succeeded, 1100ms);  // 3 of 3
    play(5, 2, 2, testbed::InvocationResult::RateLimited, 10ms);  // 0 of 3
    const auto json = figures.json();
    EXPECT_DOUBLE_EQ(json["whole_day"]["service"].get<double>(), std::round(4.0 / 9 * 1e6) / 1e6);
    EXPECT_EQ(json["whole_day"]["invocations"].get<int>(), 5);
    EXPECT_EQ(json["tries"]["by_clients"].get<int>(), 9);
    EXPECT_DOUBLE_EQ(json["by_operation"]["place-job"]["service"].get<double>(), 0.5);
}

}  // namespace
}  // namespace badgergrade::test
