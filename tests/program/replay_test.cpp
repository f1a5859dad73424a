// Tests of recorded scenarios: a replay repeats the recorded run exactly, changed settings show in
// the comparison, and variants that contradict the recording are refused.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "replay/compare.h"
#include "replay/merge.h"
#include "replay/recorder.h"
#include "replay/report.h"
#include "support.h"
#include "temporary_directory.h"
#include "xds_server/xds_server.h"

namespace badgergrade::replay {
namespace {

using namespace std::chrono_literals;

using test::TemporaryDirectory;

// Ten seconds with a crash of servers that restart cold, of an instance and of a whole zone, broken
// streams, and a server that hangs.
const char* const kShortScenario = R"(settings governor.ini
seed 4
length 10 s
workers 6
forwarders 4
rate 30
operation look share 70% work 60 ms cv 0.5
operation order share 30% work 80 ms cv 0.5
list gone 0.3..0.6 s new 0.2..0.4 s
way orders 10..40 ms
redial 0.2..0.4 s
startup 3
at 1 s crash workers 2 for 2 s
at 4 s governor-crash 0 for 1 s
at 6 s zone-loss south for 2 s with-forwarders
at 8 s streams-break forwarders 50%
at 8500 ms hang workers 1 for 1 s
)";

scenario::ScenarioScript short_scenario(const std::string& more = {}) {
    std::vector<config::ConfigError> errors;
    const auto settings = config::IniFile::parse("test.ini", test::kSettings, errors);
    auto script = scenario::parse_script("short.day", kShortScenario + more, settings, errors);
    for (const auto& error : errors) {
        ADD_FAILURE() << config::to_text(error);
    }
    return script;
}

scenario::ScenarioRun record(const scenario::ScenarioScript& script, const std::string& path,
                             recording::WriterOptions options = {}) {
    options.when_full = recording::WhenFull::Wait;
    recording::WriterStats stats;
    auto out = record_scenario(script, {}, path, options, stats);
    EXPECT_EQ(stats.error, "");
    return out;
}

Variant make_variant(const RecordedRun& recorded, const SettingOverrides& overrides) {
    std::vector<config::ConfigError> errors;
    auto out = read_variant(recorded, std::nullopt, overrides, errors);
    for (const auto& error : errors) {
        ADD_FAILURE() << config::to_text(error);
    }
    return out;
}

// The first error message; empty if the change is accepted.
std::string refusal(const RecordedRun& recorded, const std::string& name,
                    const std::string& value) {
    std::vector<config::ConfigError> errors;
    read_variant(recorded, std::nullopt, {{name, value}}, errors);
    return errors.empty() ? std::string{} : config::to_text(errors.front());
}

// A run is recorded and replayed under its own settings. Figures, rules and decisions must be the
// same in every replay.
TEST(Replay, ReplayUnderTheRecordedSettingsIsIdentical) {
    const TemporaryDirectory folder;
    const auto script = short_scenario();
    const auto original = record(script, folder.file("day"));
    const auto recorded = load_recording(folder.file("day"));
    EXPECT_TRUE(recorded.damage.empty());
    EXPECT_EQ(recorded.length, 10s);
    EXPECT_EQ(recorded.faults.size(), script.faults.size());
    EXPECT_EQ(recorded.figures["whole_day"], original.result["figures"]["whole_day"]);
    EXPECT_EQ(recorded.figures["by_operation"], original.result["figures"]["by_operation"]);
    EXPECT_EQ(recorded.figures["by_zone"], original.result["figures"]["by_zone"]);
    EXPECT_EQ(recorded.figures["worst_10_s"], original.result["figures"]["worst_10_s"]);
    const auto replay = run_replay(recorded, make_variant(recorded, {}), {});
    EXPECT_EQ(replay.run.result["figures"].dump(), original.result["figures"].dump());
    EXPECT_EQ(replay.run.result["rules"].dump(), original.result["rules"].dump());
    EXPECT_FALSE(replay.trace.empty());
    for (int n = 0; n < 3; ++n) {
        const auto repeated = run_replay(recorded, make_variant(recorded, {}), {});
        ASSERT_EQ(repeated.run.result.dump(), replay.run.result.dump());
        ASSERT_EQ(repeated.trace, replay.trace);
    }
}

// A scenario with every kind of fault is recorded and replayed. Each fault must have the same
// effect.
TEST(Replay, EveryKindOfFaultIsReplayed) {
    const TemporaryDirectory folder;
    std::vector<config::ConfigError> errors;
    const auto script = scenario::load_script(
        std::string(BADGERGRADE_SOURCE) + "/examples/all-troubles.day", errors);
    ASSERT_TRUE(errors.empty());
    const auto original = record(script, folder.file("day"));
    const auto recorded = load_recording(folder.file("day"));
    EXPECT_TRUE(recorded.damage.empty()) << recorded.damage.front().description;
    const auto replay = run_replay(recorded, make_variant(recorded, {}), {});
    EXPECT_EQ(replay.run.result["figures"].dump(), original.result["figures"].dump());
}

// A recording is replayed with another seed. The random draws must differ; invocations and starts
// of servers must not.
TEST(Replay, AnotherSeedChangesRandomDrawsButNotTheRecordedInput) {
    const TemporaryDirectory folder;
    record(short_scenario(), folder.file("day"));
    const auto recorded = load_recording(folder.file("day"));
    ReplayOptions other;
    other.seed = 99;
    const auto a = run_replay(recorded, make_variant(recorded, {}), {});
    const auto b = run_replay(recorded, make_variant(recorded, {}), other);
    EXPECT_NE(a.run.result["figures"].dump(), b.run.result["figures"].dump());
    EXPECT_EQ(a.run.result["figures"]["whole_day"]["invocations"],
              b.run.result["figures"]["whole_day"]["invocations"]);
    EXPECT_EQ(a.run.result["figures"]["servers"]["starts"],
              b.run.result["figures"]["servers"]["starts"]);
}

// A variant is compared with itself, and with one that has fewer servers for more traffic. The
// former must show no difference, the latter a loss of service.
TEST(Replay, ComparisonShowsTheDifferenceOfTwoVariants) {
    const TemporaryDirectory folder;
    record(short_scenario(), folder.file("day"));
    const auto recorded = load_recording(folder.file("day"));
    const auto same =
        compare(recorded, make_variant(recorded, {}), make_variant(recorded, {}), 2, {});
    EXPECT_TRUE(same.a.identical && same.b.identical);
    EXPECT_FALSE(same.event_divergence || same.decision_divergence);
    for (const auto& figure : compare_figures(same)) {
        EXPECT_EQ(figure.a, figure.b) << figure.name;
    }
    // A third of the servers for twice the traffic must cost service. The first endpoint list
    // differs already.
    const auto overloaded =
        compare(recorded, make_variant(recorded, {}),
                make_variant(recorded, {{"replay.workers", "-4"}, {"replay.traffic", "2"}}), 2, {});
    EXPECT_TRUE(overloaded.a.identical && overloaded.b.identical);
    const auto figures = compare_figures(overloaded);
    EXPECT_EQ(figures.front().name, "whole day");
    EXPECT_LT(figures.front().b, figures.front().a - 0.1);
    ASSERT_TRUE(overloaded.event_divergence.has_value());
    ASSERT_TRUE(overloaded.event_divergence->b.has_value());
    EXPECT_EQ(overloaded.event_divergence->b->text, "endpoint list: worker-000 worker-001");
    const auto invocations = [](const VariantResult& s) {
        return s.first_replay.run.result["figures"]["whole_day"]["invocations"].get<int>();
    };
    EXPECT_EQ(invocations(overloaded.b), 2 * invocations(overloaded.a));
    const auto json = to_json(recorded, overloaded);
    EXPECT_EQ(json["a"]["runs_match"], true);
    EXPECT_EQ(json["changed"].size(), 2u);
}

// Two runs differ in their second decision. The first difference must be found there, and not be
// taken for an event.
TEST(Replay, FirstDivergenceDistinguishesDecisionsFromEvents) {
    const auto entry = [](int at, bool decision, const char* text) {
        return Trace::Entry{Micros(at), "g", decision, text};
    };
    const std::vector<Trace::Entry> a{entry(1, false, "list"), entry(2, true, "x"),
                                      entry(3, false, "sums"), entry(4, true, "y")};
    auto b = a;
    EXPECT_FALSE(first_divergence(a, b, true));
    b[3].text = "z";
    ASSERT_TRUE(first_divergence(a, b, true));
    EXPECT_EQ(first_divergence(a, b, true)->index, 1u);
    EXPECT_EQ(first_divergence(a, b, true)->b->text, "z");
    EXPECT_FALSE(first_divergence(a, b, false));
    b.pop_back();
    ASSERT_TRUE(first_divergence(a, b, true));
    EXPECT_FALSE(first_divergence(a, b, true)->b);
    EXPECT_EQ(first_divergence(a, b, true)->at(), Micros(4));
}

// Only four seconds of a run are counted, with all traffic before them as warm-up. They must hold
// the same invocations and figures as in the whole run. A span that ends before it begins or after
// the run must be refused.
TEST(Replay, SpanCountsOnlyItsInvocationsAndMatchesTheWholeRun) {
    const TemporaryDirectory folder;
    const auto original = record(short_scenario(), folder.file("day"));
    const auto recorded = load_recording(folder.file("day"));
    int invocations = 0;
    for (const auto& [proxy, list] : recorded.input.traffic) {
        for (const auto& invocation : list) {
            invocations += invocation.arrived_at >= 3s && invocation.arrived_at < 7s;
        }
    }
    ReplayOptions span;
    span.from = 3s;
    span.to = 7s;
    const auto part = run_replay(recorded, make_variant(recorded, {}), span);
    EXPECT_EQ(part.run.result["figures"]["whole_day"]["invocations"], invocations);
    // The same seconds of the whole run, one by one.
    for (std::size_t k = 0; k < 3; ++k) {
        EXPECT_EQ(part.run.result["figures"]["by_second"][k],
                  original.result["figures"]["by_second"][k + 3])
            << k;
    }
    span.from = 7s;
    span.to = 3s;
    EXPECT_THROW(run_replay(recorded, make_variant(recorded, {}), span), std::runtime_error);
    span.from = 0s;
    span.to = 11s;
    EXPECT_THROW(run_replay(recorded, make_variant(recorded, {}), span), std::runtime_error);
}

// A replay is requested with settings that contradict the recording or are invalid. Each must be
// refused before the replay, with a message.
TEST(Replay, SettingsThatContradictTheRecordingAreRefused) {
    const TemporaryDirectory folder;
    record(short_scenario(), folder.file("day"));
    const auto recorded = load_recording(folder.file("day"));
    const std::pair<const char*, const char*> invalid[] = {{"governor.zones", "a, b"},
                                                           {"governor.governors", "2"},
                                                           {"operation.look.billed_value", "9"},
                                                           {"operation.other.effect", "idempotent"},
                                                           {"replay.workers", "-6"},
                                                           {"replay.workers", "7"},
                                                           {"replay.workers", "+9000%"},
                                                           {"replay.traffic", "0"},
                                                           {"replay.traffic", "-1"},
                                                           {"replay.startup", "0.5"},
                                                           {"replay.other", "1"},
                                                           {"reports.load_columns", "cpu"},
                                                           {"channel.lines_per_second", "0"},
                                                           {"channel.nonsense", "1"},
                                                           {"forwarders.further_tries", "twice"}};
    for (const auto& [name, value] : invalid) {
        EXPECT_NE(refusal(recorded, name, value), "") << name << " = " << value;
    }
    // Settings of the instance's host are ignored, and repeating a fixed setting is no change.
    for (const auto& [name, value] : {std::pair{"xds.listen", "10.0.0.1:99"},
                                      {"governor.id", "other"},
                                      {"governor.zones", "north,south"},
                                      {"replay.workers", "+50%"},
                                      {"reports.period", "1 s"}}) {
        EXPECT_EQ(refusal(recorded, name, value), "") << name;
    }
    EXPECT_FALSE(parse_override("reports.period"));
    EXPECT_FALSE(parse_override(".x=1"));
    EXPECT_EQ(parse_override("operation.look.effect=idempotent")->first, "operation.look.effect");
}

// Servers are added and traffic is multiplied by 1.5, or halved. Ids must stay unique and arrivals
// sorted, and the invocations of the smaller traffic must be among those of the larger one.
TEST(Replay, ServersAndTrafficAreChangedReproducibly) {
    const TemporaryDirectory folder;
    record(short_scenario(), folder.file("day"));
    const auto recorded = load_recording(folder.file("day"));
    std::vector<config::ConfigError> errors;
    const auto more = make_replay_input(
        recorded, make_variant(recorded, {{"replay.workers", "+2"}, {"replay.traffic", "1.5"}}),
        errors);
    int servers = 0;
    for (const auto& action : more.input.actions) {
        servers += action.initial && action.action.kind == scenario::FaultActionKind::StartServer;
    }
    EXPECT_EQ(servers, 8);
    std::size_t count = 0;
    std::size_t recorded_count = 0;
    std::set<std::uint64_t> ids;
    for (const auto& [proxy, list] : more.input.traffic) {
        count += list.size();
        EXPECT_TRUE(std::is_sorted(list.begin(), list.end(), [](const auto& a, const auto& b) {
            return a.arrived_at < b.arrived_at;
        }));
        for (const auto& invocation : list) {
            ids.insert(invocation.id);
        }
    }
    for (const auto& [proxy, list] : recorded.input.traffic) {
        recorded_count += list.size();
    }
    EXPECT_EQ(ids.size(), count);
    EXPECT_NEAR(static_cast<double>(count) / static_cast<double>(recorded_count), 1.5, 0.1);
    // Reduced traffic is a subset of the recorded traffic.
    const auto less =
        make_replay_input(recorded, make_variant(recorded, {{"replay.traffic", "0.5"}}), errors);
    for (const auto& [proxy, list] : less.input.traffic) {
        for (const auto& invocation : list) {
            EXPECT_TRUE(ids.contains(invocation.id));
        }
    }
}

// Writes the recording of a scenario with one proxy and the given invocations.
struct RecordingBuilder {
    explicit RecordingBuilder(const std::string& path)
        : script(short_scenario()),
          writer(recording::open_file_sink(path), make_header(script, 0us)) {
        auto& action = *writer.add(0us).mutable_action();
        action.set_kind(static_cast<std::uint32_t>(scenario::FaultActionKind::AddProxy));
        action.set_initial(true);
        action.set_target(writer.name("forwarder-000"));
        action.set_text("north");
    }

    void start(std::int64_t id, int operation, Micros at) {
        auto& to = *writer.add(at).mutable_invocation_start();
        to.set_id_delta(id - writer.last_invocation_id());
        writer.last_invocation_id() = id;
        to.set_proxy(writer.name("forwarder-000"));
        to.set_operation(static_cast<std::uint32_t>(operation));
        to.set_work_us(1000);
    }

    void end(std::int64_t id, testbed::InvocationResult result, std::uint32_t client_attempts,
             Micros at) {
        auto& to = *writer.add(at).mutable_invocation_end();
        to.set_id_behind(writer.last_invocation_id() - id);
        to.set_result(static_cast<std::uint32_t>(result));
        to.set_client_attempts(client_attempts);
    }

    scenario::ScenarioScript script;
    recording::Writer writer;
};

// Invocations are retried, late, rate-limited, errored, unanswered or served. The figures must
// count each once, from its first attempt, at its billed value.
TEST(Replay, InvocationsCountOnceFromTheFirstAttemptByBilledValue) {
    const TemporaryDirectory folder;

    using enum testbed::InvocationResult;
    {
        // look: billed 1, objective 500 ms; order: billed 3, objective 1 s.
        RecordingBuilder recording(folder.file("built"));
        recording.start(1, 0, 1s);
        recording.end(1, Succeeded, 1, 1400ms);  // within the objective
        recording.start(2, 0, 2s);
        recording.end(2, Succeeded, 2,
                      2600ms);  // late: counted from the first attempt
        recording.start(3, 0, 3s);
        recording.end(3, RateLimited, 2, 3100ms);
        recording.start(4, 1, 4s);
        recording.end(4, Succeeded, 2,
                      4900ms);  // within the objective at its second attempt: counts once, billed 3
        recording.start(5, 1, 5s);  // never answered
        recording.start(6, 0, 6s);
        recording.start(7, 0, 6100ms);
        recording.end(6, Succeeded, 1, 6200ms);
        recording.end(7, Errored, 3, 6300ms);
    }

    const auto recorded = load_recording(folder.file("built"));
    const auto& whole = recorded.figures["whole_day"];
    EXPECT_EQ(whole["invocations"], 7);
    EXPECT_EQ(whole["succeeded"], 4);
    EXPECT_EQ(whole["late"], 1);
    EXPECT_EQ(whole["rate_limited"], 1);
    EXPECT_EQ(whole["errored"], 1);
    EXPECT_EQ(whole["timed_out"], 1);
    EXPECT_EQ(recorded.figures["tries"]["by_clients"], 11);
    // Requested: five of look and two of order, billed 3 each. Within the objective: two of look
    // and one of order.
    EXPECT_NEAR(whole["service"].get<double>(), 5.0 / 11, 1e-6);
    EXPECT_NEAR(recorded.figures["by_operation"]["order"]["service"].get<double>(), 0.5, 1e-6);
    EXPECT_NEAR(recorded.figures["by_operation"]["look"]["service"].get<double>(), 0.4, 1e-6);
}

// The clock went back by two seconds in the middle of a recording. Records must keep their order,
// and the jump must be reported as damage.
TEST(Replay, RecordsKeepTheirOrderWhenTheClockWentBack) {
    const TemporaryDirectory folder;
    {
        RecordingBuilder recording(folder.file("jump"));
        recording.start(1, 0, 1s);
        recording.start(2, 0, 4s);
        recording.start(3, 0, 2s);
        recording.start(4, 0, 3s);
    }
    const auto recorded = load_recording(folder.file("jump"));
    ASSERT_EQ(recorded.damage.size(), 1u);
    EXPECT_NE(recorded.damage[0].description.find("went back by 2000000 us"), std::string::npos)
        << recorded.damage[0].description;
    std::vector<Micros> arrivals;
    for (const auto& invocation : recorded.input.traffic.at("forwarder-000")) {
        arrivals.push_back(invocation.arrived_at);
    }
    EXPECT_EQ(arrivals, (std::vector<Micros>{1s, 4s, 4s, 5s}));
}

// A recording is truncated, or has one flipped bit. What is intact must be replayed without a
// crash, whichever block is lost.
TEST(Replay, TruncatedAndDamagedRecordingsAreReplayedWithoutTheLostBlocks) {
    const TemporaryDirectory folder;
    recording::WriterOptions options;
    options.max_block_duration = 1s;
    record(short_scenario(), folder.file("day"), options);
    const auto whole = load_recording(folder.file("day"));
    recording::Reader reader(folder.file("day"));
    ASSERT_GT(reader.blocks().size(), 8u);
    std::ifstream in(folder.file("day"), std::ios::binary);
    std::ostringstream bytes;
    bytes << in.rdbuf();
    const auto write = [&](const std::string& name, const std::string& text) {
        std::ofstream(folder.file(name), std::ios::binary) << text;
    };

    write("cut", bytes.str().substr(0, reader.blocks()[5].offset + 30));
    const auto cut = load_recording(folder.file("cut"));
    EXPECT_EQ(cut.length, reader.blocks()[4].last + 1us);
    EXPECT_FALSE(cut.damage.empty());
    const auto replay = run_replay(cut, make_variant(cut, {}), {});
    EXPECT_EQ(replay.run.result["figures"]["whole_day"]["invocations"], cut.invocations);
    EXPECT_LT(cut.invocations, whole.invocations);

    // Each block in turn, including those with starts and stops of hosts: the rest must be replayed
    // without a crash.
    for (std::size_t k = 1; k < reader.blocks().size(); ++k) {
        std::string damaged = bytes.str();
        damaged[reader.blocks()[k].offset + 40] ^= 1;
        write("damaged", damaged);
        const auto recorded = load_recording(folder.file("damaged"));
        ASSERT_FALSE(recorded.damage.empty()) << k;
        EXPECT_NE(recorded.damage[0].description.find("checksum"), std::string::npos)
            << recorded.damage[0].description;
        run_replay(recorded, make_variant(recorded, {}), {});
    }
    std::string damaged = bytes.str();
    damaged[reader.blocks()[0].offset + 40] ^= 1;
    write("damaged", damaged);
    EXPECT_THROW(load_recording(folder.file("damaged")), std::runtime_error);
}

scenario::ScenarioRun record_instances(const scenario::ScenarioScript& script,
                                       InstanceRecorder& files) {
    scenario::ScenarioOptions options;
    options.before_start = [&](scenario::SimulatedFleet& fleet) {
        fleet.instance_observer = &files;
    };
    auto out = scenario::run_scenario(script, options);
    files.close();
    return out;
}

// Two instances record one scenario with clocks 3.7 s apart, and one of them restarts. The merged
// scenario must align the clocks and be close to the original in invocations, starts and service.
TEST(Merge, TwoInstancesWithDifferentClocksAreMergedIntoOneScenario) {
    const TemporaryDirectory folder;
    const auto script = short_scenario("governors 2\nset registry wait 500 ms\n");
    InstanceRecorder files(folder.file(""), script, {{"governor-1", 3700ms}});
    const auto original = record_instances(script, files);
    ASSERT_EQ(files.paths().size(), 3u);  // governor-0 restarted once
    const auto merged = merge_recordings(files.paths(), folder.file("day"));
    ASSERT_EQ(merged.clocks.size(), 2u);
    for (const auto& clock : merged.clocks) {
        // The second incarnation of governor-0 is aligned by the wall clock of its host.
        if (clock.instance == "governor-1") {
            EXPECT_GT(clock.matches, 0);
            EXPECT_NEAR(static_cast<double>(clock.offset.count()), -3700e3, 50e3);
        }
    }
    const auto recorded = load_recording(folder.file("day"));
    EXPECT_NEAR(static_cast<double>(recorded.invocations),
                original.result["figures"]["whole_day"]["invocations"].get<double>(),
                0.25 * static_cast<double>(recorded.invocations));
    int starts = 0;
    int stops = 0;
    int governor_stops = 0;
    for (const auto& action : recorded.input.actions) {
        starts +=
            action.action.kind == scenario::FaultActionKind::StartServer && action.action.enabled;
        stops += action.action.kind == scenario::FaultActionKind::StopServer;
        governor_stops +=
            action.action.kind == scenario::FaultActionKind::StopInstance && !action.initial;
    }
    EXPECT_EQ(starts, 5);  // two that crashed and three of the lost zone
    EXPECT_EQ(stops, 5);
    EXPECT_EQ(governor_stops, 1);
    const auto replay = run_replay(recorded, make_variant(recorded, {}), {});
    EXPECT_NEAR(replay.run.result["figures"]["whole_day"]["service"].get<double>(),
                original.result["figures"]["whole_day"]["service"].get<double>(), 0.15);
    EXPECT_EQ(run_replay(recorded, make_variant(recorded, {}), {}).run.result.dump(),
              replay.run.result.dump());
}

// Two instances receive the same endpoint lists at different clock times. The offset must be the
// one on which most matches agree, not that of a single list that happens to be equal.
TEST(Merge, ClocksAreAlignedByMatchesThatAgree) {
    const std::vector<ReceivedList> base{
        {1s, "a", {}}, {2s, "ab", {}}, {3s, "a", {}}, {9s, "abc", {}}};
    std::vector<ReceivedList> other{
        {11s, "a", {}}, {12s + 40ms, "ab", {}}, {13s, "a", {}}, {19s, "abc", {}}};
    auto clock = align_clocks(base, other);
    EXPECT_EQ(clock.matches, 4);
    EXPECT_EQ(clock.offset, -10s);
    EXPECT_EQ(clock.spread, 40ms);
    other.erase(other.begin() + 1);
    EXPECT_EQ(align_clocks(base, other).matches, 3);
    EXPECT_EQ(align_clocks(base, {{5s, "x", {}}}).matches, 0);
    // An incarnation that starts late receives a list that equals one of the beginning. That match
    // alone would make the offset wrong by 8 s.
    const std::vector<ReceivedList> late{{0s, "a", {}}, {6s, "abc", {}}, {7s, "abcd", {}}};
    auto longer = base;
    longer.push_back({10s, "abcd", {}});
    EXPECT_EQ(align_clocks(longer, late).offset, 3s);
    // Two starts that both list outweigh one list that happens to be equal.
    EXPECT_EQ(align_clocks({{1s, "ab", {}}, {30s, "abc", {{"b", 28s}, {"c", 29s}}}},
                           {{0s, "ab", {{"b", -5s}, {"c", -4s}}}})
                  .offset,
              33s);
}

// Recordings of a whole scenario, of another fleet, or without records are merged. Each must be
// refused.
TEST(Merge, RefusesRecordingsOfOtherFleetsAndEmptyOnes) {
    const TemporaryDirectory folder;
    const auto script = short_scenario();
    record(script, folder.file("day"));
    EXPECT_THROW(merge_recordings({folder.file("day")}, folder.file("out")),
                 std::runtime_error);  // a whole scenario already
    auto config = script.instance_config;
    {
        recording::Writer empty(
            recording::open_file_sink(folder.file("empty")),
            make_header(config, script.settings.to_text(), 0us, "2026-11-30T08:00:00.5Z"));
    }
    EXPECT_THROW(merge_recordings({folder.file("empty")}, folder.file("out")), std::runtime_error);
    auto other = script.settings;
    other.set("governor", "zones", "east, west");
    other.set("governor", "zone", "east");
    {
        recording::Writer empty(
            recording::open_file_sink(folder.file("other")),
            make_header(config, other.to_text(), 0us, "2026-11-30T08:00:00.5Z"));
    }
    EXPECT_THROW(merge_recordings({folder.file("empty"), folder.file("other")}, folder.file("out")),
                 std::runtime_error);
    EXPECT_THROW(load_recording(folder.file("empty")), std::runtime_error);
}

// The names of variants are free text. The plot and the page must contain the faults and results,
// and the page must escape such names.
TEST(Replay, ReportsContainResultsAndEscapeNames) {
    const TemporaryDirectory folder;
    record(short_scenario(), folder.file("day"));
    const auto recorded = load_recording(folder.file("day"));
    auto other = make_variant(recorded, {{"reports.period", "250 ms"}});
    other.name = "<b>'quoted\" & odd</b>";
    const auto comparison = compare(recorded, make_variant(recorded, {}), other, 2, {});
    const std::string svg = draw_svg(recorded, comparison);
    EXPECT_NE(svg.find("<svg"), std::string::npos);
    EXPECT_NE(svg.find("zone-loss south"), std::string::npos);
    const std::string page = html_page(recorded, comparison, svg);
    EXPECT_EQ(page.find("<b>'quoted"), std::string::npos);
    EXPECT_NE(page.find("&lt;b&gt;"), std::string::npos);
    EXPECT_NE(page.find("the same to the byte"), std::string::npos);
    const std::string text = to_text(recorded, comparison);
    EXPECT_NE(text.find("[reports] period: 500 ms under A, 250 ms under B"), std::string::npos)
        << text;
    EXPECT_NE(text.find("first different event at"), std::string::npos);
}

}  // namespace
}  // namespace badgergrade::replay
