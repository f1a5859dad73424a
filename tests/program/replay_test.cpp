// Recorded days: played again they come to the same, a changed setting tells, and what makes no
// sense is refused.
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

// A governor that dies, a cold return, a lost site and broken streams, in ten seconds.
const char* const kShortDay = R"(settings governor.ini
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

scenario::DayScript short_day(const std::string& more = {}) {
    std::vector<config::ConfigError> mistakes;
    const auto settings = config::IniFile::parse("test.ini", test::kSettings, mistakes);
    auto day = scenario::parse_script("short.day", kShortDay + more, settings, mistakes);
    for (const auto& mistake : mistakes) {
        ADD_FAILURE() << config::to_text(mistake);
    }
    return day;
}

scenario::DayRun record(const scenario::DayScript& script, const std::string& path,
                        recording::WriterOptions how = {}) {
    how.when_full = recording::WhenFull::Wait;
    recording::WriterStats figures;
    auto out = record_scenario(script, {}, path, how, figures);
    EXPECT_EQ(figures.error, "");
    return out;
}

Variant trial(const RecordedRun& day, const SettingOverrides& sets) {
    std::vector<config::ConfigError> mistakes;
    auto out = read_variant(day, std::nullopt, sets, mistakes);
    for (const auto& mistake : mistakes) {
        ADD_FAILURE() << config::to_text(mistake);
    }
    return out;
}

std::string refused(const RecordedRun& day, const std::string& name, const std::string& value) {
    std::vector<config::ConfigError> mistakes;
    read_variant(day, std::nullopt, {{name, value}}, mistakes);
    return mistakes.empty() ? std::string{} : config::to_text(mistakes.front());
}

// A day is recorded and played again under its own settings. Figures, rules and decisions must be
// the same, each time.
TEST(Replay, ADayPlayedAgainUnderItsOwnSettingsIsTheSameToTheByte) {
    const TemporaryDirectory folder;
    const auto script = short_day();
    const auto lived = record(script, folder.file("day"));
    const auto day = load_recording(folder.file("day"));
    EXPECT_TRUE(day.damage.empty());
    EXPECT_EQ(day.length, 10s);
    EXPECT_EQ(day.faults.size(), script.troubles.size());
    EXPECT_EQ(day.figures["whole_day"], lived.result["figures"]["whole_day"]);
    EXPECT_EQ(day.figures["by_operation"], lived.result["figures"]["by_operation"]);
    EXPECT_EQ(day.figures["by_zone"], lived.result["figures"]["by_zone"]);
    EXPECT_EQ(day.figures["worst_10_s"], lived.result["figures"]["worst_10_s"]);
    const auto again = run_replay(day, trial(day, {}), {});
    EXPECT_EQ(again.run.result["figures"].dump(), lived.result["figures"].dump());
    EXPECT_EQ(again.run.result["rules"].dump(), lived.result["rules"].dump());
    EXPECT_FALSE(again.trace.empty());
    for (int n = 0; n < 3; ++n) {
        const auto more = run_replay(day, trial(day, {}), {});
        ASSERT_EQ(more.run.result.dump(), again.run.result.dump());
        ASSERT_EQ(more.trace, again.trace);
    }
}

// A day with every kind of fault is recorded and played again. Each fault must act as it did.
TEST(Replay, EveryKindOfTroubleComesBackAsItWas) {
    const TemporaryDirectory folder;
    std::vector<config::ConfigError> mistakes;
    const auto script = scenario::load_script(
        std::string(BADGERGRADE_SOURCE) + "/examples/all-troubles.day", mistakes);
    ASSERT_TRUE(mistakes.empty());
    const auto lived = record(script, folder.file("day"));
    const auto day = load_recording(folder.file("day"));
    EXPECT_TRUE(day.damage.empty()) << day.damage.front().description;
    const auto again = run_replay(day, trial(day, {}), {});
    EXPECT_EQ(again.run.result["figures"].dump(), lived.result["figures"].dump());
}

// A recording is played with another seed. The random draws must differ; invocations and starts of
// servers must not.
TEST(Replay, AnotherSeedIsAnotherLuckInTheSameWorld) {
    const TemporaryDirectory folder;
    record(short_day(), folder.file("day"));
    const auto day = load_recording(folder.file("day"));
    ReplayOptions other;
    other.seed = 99;
    const auto a = run_replay(day, trial(day, {}), {});
    const auto b = run_replay(day, trial(day, {}), other);
    EXPECT_NE(a.run.result["figures"].dump(), b.run.result["figures"].dump());
    EXPECT_EQ(a.run.result["figures"]["whole_day"]["invocations"],
              b.run.result["figures"]["whole_day"]["invocations"]);
    EXPECT_EQ(a.run.result["figures"]["servers"]["starts"],
              b.run.result["figures"]["servers"]["starts"]);
}

TEST(Replay, TwoSettingsWithAKnownDifference) {
    const TemporaryDirectory folder;
    record(short_day(), folder.file("day"));
    const auto day = load_recording(folder.file("day"));
    // The same setting twice parts nowhere and differs in nothing.
    const auto same = compare(day, trial(day, {}), trial(day, {}), 2, {});
    EXPECT_TRUE(same.a.identical && same.b.identical);
    EXPECT_FALSE(same.event_divergence || same.decision_divergence);
    for (const auto& one : compare_figures(same)) {
        EXPECT_EQ(one.a, one.b) << one.name;
    }
    // A third of the workers for twice the traffic must cost service; the first list heard is
    // already another.
    const auto poor =
        compare(day, trial(day, {}),
                trial(day, {{"replay.workers", "-4"}, {"replay.traffic", "2"}}), 2, {});
    EXPECT_TRUE(poor.a.identical && poor.b.identical);
    const auto all = compare_figures(poor);
    EXPECT_EQ(all.front().name, "whole day");
    EXPECT_LT(all.front().b, all.front().a - 0.1);
    ASSERT_TRUE(poor.event_divergence.has_value());
    ASSERT_TRUE(poor.event_divergence->b.has_value());
    EXPECT_EQ(poor.event_divergence->b->text, "endpoint list: worker-000 worker-001");
    const auto invocations = [](const VariantResult& s) {
        return s.first_replay.run.result["figures"]["whole_day"]["invocations"].get<int>();
    };
    EXPECT_EQ(invocations(poor.b), 2 * invocations(poor.a));
    const auto json = to_json(day, poor);
    EXPECT_EQ(json["a"]["runs_match"], true);
    EXPECT_EQ(json["changed"].size(), 2u);
}

// Two runs differ in their second decision. The first difference must be found there, and not be
// taken for an event.
TEST(Replay, PartingIsTheFirstStepThatDiffersAndTellsDecisionsFromWhatWasHeard) {
    const auto step = [](int at, bool decision, const char* text) {
        return Trace::Entry{Micros(at), "g", decision, text};
    };
    const std::vector<Trace::Entry> a{step(1, false, "list"), step(2, true, "x"),
                                      step(3, false, "sums"), step(4, true, "y")};
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

// Only four seconds of a day are counted. They must hold the same invocations and figures as in the
// whole day; a span that ends before it begins or after the day is refused.
TEST(Replay, ASpanCountsWhatCameInItAndIsAsTheDayWasWithTheWholeLead) {
    const TemporaryDirectory folder;
    const auto lived = record(short_day(), folder.file("day"));
    const auto day = load_recording(folder.file("day"));
    int came = 0;
    for (const auto& [forwarder, list] : day.input.traffic) {
        for (const auto& one : list) {
            came += one.came >= 3s && one.came < 7s;
        }
    }
    ReplayOptions span;
    span.from = 3s;
    span.to = 7s;
    const auto part = run_replay(day, trial(day, {}), span);
    EXPECT_EQ(part.run.result["figures"]["whole_day"]["invocations"], came);
    // The same seconds of the whole day, one by one.
    for (std::size_t k = 0; k < 3; ++k) {
        EXPECT_EQ(part.run.result["figures"]["by_second"][k],
                  lived.result["figures"]["by_second"][k + 3])
            << k;
    }
    span.from = 7s;
    span.to = 3s;
    EXPECT_THROW(run_replay(day, trial(day, {}), span), std::runtime_error);
    span.from = 0s;
    span.to = 11s;
    EXPECT_THROW(run_replay(day, trial(day, {}), span), std::runtime_error);
}

// A replay is asked for with settings that contradict the recorded day. Each must be refused before
// the run, with a message.
TEST(Replay, SettingsThatMakeNoSenseForTheDayAreRefused) {
    const TemporaryDirectory folder;
    record(short_day(), folder.file("day"));
    const auto day = load_recording(folder.file("day"));
    const std::pair<const char*, const char*> wrong[] = {{"governor.zones", "a, b"},
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
    for (const auto& [name, value] : wrong) {
        EXPECT_NE(refused(day, name, value), "") << name << " = " << value;
    }
    // A place's own says nothing here and is passed over; the same fact told again is no change.
    for (const auto& [name, value] : {std::pair{"xds.listen", "10.0.0.1:99"},
                                      {"governor.id", "other"},
                                      {"governor.zones", "north,south"},
                                      {"replay.workers", "+50%"},
                                      {"reports.period", "1 s"}}) {
        EXPECT_EQ(refused(day, name, value), "") << name;
    }
    EXPECT_FALSE(parse_override("reports.period"));
    EXPECT_FALSE(parse_override(".x=1"));
    EXPECT_EQ(parse_override("operation.look.effect=idempotent")->first, "operation.look.effect");
}

TEST(Replay, WorkersAndTrafficAreChangedByTheSameLuckEveryTime) {
    const TemporaryDirectory folder;
    record(short_day(), folder.file("day"));
    const auto day = load_recording(folder.file("day"));
    std::vector<config::ConfigError> none;
    const auto more = make_replay_input(
        day, trial(day, {{"replay.workers", "+2"}, {"replay.traffic", "1.5"}}), none);
    int workers = 0;
    for (const auto& move : more.input.moves) {
        workers += move.opening && move.what.kind == scenario::MoveKind::StartWorker;
    }
    EXPECT_EQ(workers, 8);
    std::size_t count = 0;
    std::size_t recorded = 0;
    std::set<std::uint64_t> ids;
    for (const auto& [forwarder, list] : more.input.traffic) {
        count += list.size();
        EXPECT_TRUE(std::is_sorted(list.begin(), list.end(),
                                   [](const auto& a, const auto& b) { return a.came < b.came; }));
        for (const auto& one : list) {
            ids.insert(one.id);
        }
    }
    for (const auto& [forwarder, list] : day.input.traffic) {
        recorded += list.size();
    }
    EXPECT_EQ(ids.size(), count);
    EXPECT_NEAR(static_cast<double>(count) / static_cast<double>(recorded), 1.5, 0.1);
    // Thinned traffic is a part of the recorded one.
    const auto less = make_replay_input(day, trial(day, {{"replay.traffic", "0.5"}}), none);
    for (const auto& [forwarder, list] : less.input.traffic) {
        for (const auto& one : list) {
            EXPECT_TRUE(ids.contains(one.id));
        }
    }
}

// ---- a day made by hand

struct HandMade {
    explicit HandMade(const std::string& path)
        : script(short_day()),
          writer(recording::open_file_sink(path), make_header(script, 0us)) {
        auto& move = *writer.add(0us).mutable_action();
        move.set_kind(static_cast<std::uint32_t>(scenario::MoveKind::AddForwarder));
        move.set_initial(true);
        move.set_target(writer.name("forwarder-000"));
        move.set_text("north");
    }

    void came(std::int64_t id, int operation, Micros at) {
        auto& to = *writer.add(at).mutable_invocation_start();
        to.set_id_delta(id - writer.last_invocation_id());
        writer.last_invocation_id() = id;
        to.set_proxy(writer.name("forwarder-000"));
        to.set_operation(static_cast<std::uint32_t>(operation));
        to.set_work_us(1000);
    }

    void ended(std::int64_t id, testbed::Result result, std::uint32_t client_tries, Micros at) {
        auto& to = *writer.add(at).mutable_invocation_end();
        to.set_id_behind(writer.last_invocation_id() - id);
        to.set_result(static_cast<std::uint32_t>(result));
        to.set_client_attempts(client_tries);
    }

    scenario::DayScript script;
    recording::Writer writer;
};

// Invocations of a hand-made day are retried, late, rate-limited or served. The figures must count
// each once, from its first attempt, at its billed value.
TEST(Replay, RetriesCountWithTheirFirstTryAndPlaceJobsThreefold) {
    const TemporaryDirectory folder;

    using enum testbed::Result;
    {
        // look: billed 1, objective 500 ms; order: billed 3, objective 1 s.
        HandMade day(folder.file("hand"));
        day.came(1, 0, 1s);
        day.ended(1, Succeeded, 1, 1400ms);  // within
        day.came(2, 0, 2s);
        day.ended(2, Succeeded, 2,
                  2600ms);  // its retry was quick, but counted from the first try it is late
        day.came(3, 0, 3s);
        day.ended(3, RateLimited, 2, 3100ms);
        day.came(4, 1, 4s);
        day.ended(4, Succeeded, 2, 4900ms);  // within, at its second try: once, threefold
        day.came(5, 1, 5s);                  // never answered
        day.came(6, 0, 6s);
        day.came(7, 0, 6100ms);
        day.ended(6, Succeeded, 1, 6200ms);
        day.ended(7, Errored, 3, 6300ms);
    }

    const auto day = load_recording(folder.file("hand"));
    const auto& whole = day.figures["whole_day"];
    EXPECT_EQ(whole["invocations"], 7);
    EXPECT_EQ(whole["succeeded"], 4);
    EXPECT_EQ(whole["late"], 1);
    EXPECT_EQ(whole["rate_limited"], 1);
    EXPECT_EQ(whole["errored"], 1);
    EXPECT_EQ(whole["timed_out"], 1);
    EXPECT_EQ(day.figures["tries"]["by_clients"], 11);
    // Asked for: five looks and two orders at three; within: two looks and one order.
    EXPECT_NEAR(whole["service"].get<double>(), 5.0 / 11, 1e-6);
    EXPECT_NEAR(day.figures["by_operation"]["order"]["service"].get<double>(), 0.5, 1e-6);
    EXPECT_NEAR(day.figures["by_operation"]["look"]["service"].get<double>(), 0.4, 1e-6);
}

// The clock went back by two seconds in the middle of a recording. Records must keep their order,
// and the jump must be reported as damage.
TEST(Replay, AClockThatWentBackWhileRecordingDoesNotTurnTheDayAround) {
    const TemporaryDirectory folder;
    {
        HandMade day(folder.file("jump"));
        day.came(1, 0, 1s);
        day.came(2, 0, 4s);
        day.came(3, 0, 2s);
        day.came(4, 0, 3s);
    }
    const auto day = load_recording(folder.file("jump"));
    ASSERT_EQ(day.damage.size(), 1u);
    EXPECT_NE(day.damage[0].description.find("went back by 2000000 us"), std::string::npos)
        << day.damage[0].description;
    std::vector<Micros> came;
    for (const auto& one : day.input.traffic.at("forwarder-000")) {
        came.push_back(one.came);
    }
    EXPECT_EQ(came, (std::vector<Micros>{1s, 4s, 4s, 5s}));
}

// A recording was cut off, or has one flipped bit. What is whole must be played, without a crash,
// whichever block is lost.
TEST(Replay, ACutDayIsPlayedToTheCutAndADamagedOneWithoutItsBlock) {
    const TemporaryDirectory folder;
    recording::WriterOptions how;
    how.max_block_duration = 1s;
    record(short_day(), folder.file("day"), how);
    const auto whole = load_recording(folder.file("day"));
    recording::Reader reader(folder.file("day"));
    ASSERT_GT(reader.blocks().size(), 8u);
    std::ifstream in(folder.file("day"), std::ios::binary);
    std::ostringstream bytes;
    bytes << in.rdbuf();
    const auto put = [&](const std::string& name, const std::string& text) {
        std::ofstream(folder.file(name), std::ios::binary) << text;
    };

    put("cut", bytes.str().substr(0, reader.blocks()[5].offset + 30));
    const auto cut = load_recording(folder.file("cut"));
    EXPECT_EQ(cut.length, reader.blocks()[4].last + 1us);
    EXPECT_FALSE(cut.damage.empty());
    const auto played = run_replay(cut, trial(cut, {}), {});
    EXPECT_EQ(played.run.result["figures"]["whole_day"]["invocations"], cut.invocations);
    EXPECT_LT(cut.invocations, whole.invocations);

    // Each block in turn, also the ones with starts and stops in them: what is left plays without a
    // crash.
    for (std::size_t k = 1; k < reader.blocks().size(); ++k) {
        std::string bad = bytes.str();
        bad[reader.blocks()[k].offset + 40] ^= 1;
        put("bad", bad);
        const auto day = load_recording(folder.file("bad"));
        ASSERT_FALSE(day.damage.empty()) << k;
        EXPECT_NE(day.damage[0].description.find("checksum"), std::string::npos)
            << day.damage[0].description;
        run_replay(day, trial(day, {}), {});
    }
    std::string bad = bytes.str();
    bad[reader.blocks()[0].offset + 40] ^= 1;
    put("bad", bad);
    EXPECT_THROW(load_recording(folder.file("bad")), std::runtime_error);
}

// ---- days put together from what governors heard

scenario::DayRun record_governors(const scenario::DayScript& script, InstanceRecorder& files) {
    scenario::DayOptions options;
    options.before = [&](scenario::World& world) {
        world.governor_watcher = &files;
    };
    auto out = scenario::run_day(script, options);
    files.close();
    return out;
}

// Two instances recorded one day with clocks 3.7 s apart, and one of them restarted. The merged day
// must align the clocks and come near the real day in invocations, starts and service.
TEST(Merge, TwoGovernorsWithClocksApartMakeOneDayNearTheLivedOne) {
    const TemporaryDirectory folder;
    const auto script = short_day("governors 2\nset registry wait 500 ms\n");
    InstanceRecorder files(folder.file(""), script, {{"governor-1", 3700ms}});
    const auto lived = record_governors(script, files);
    ASSERT_EQ(files.paths().size(), 3u);  // governor-0 died once
    const auto merged = merge_recordings(files.paths(), folder.file("day"));
    ASSERT_EQ(merged.clocks.size(), 2u);
    for (const auto& clock : merged.clocks) {
        // A governor's own second life goes by its own wall clock.
        if (clock.governor == "governor-1") {
            EXPECT_GT(clock.matches, 0);
            EXPECT_NEAR(static_cast<double>(clock.offset.count()), -3700e3, 50e3);
        }
    }
    const auto day = load_recording(folder.file("day"));
    EXPECT_NEAR(static_cast<double>(day.invocations),
                lived.result["figures"]["whole_day"]["invocations"].get<double>(),
                0.25 * static_cast<double>(day.invocations));
    int starts = 0;
    int stops = 0;
    int governor_stops = 0;
    for (const auto& move : day.input.moves) {
        starts += move.what.kind == scenario::MoveKind::StartWorker && move.what.on;
        stops += move.what.kind == scenario::MoveKind::StopWorker;
        governor_stops += move.what.kind == scenario::MoveKind::StopGovernor && !move.opening;
    }
    EXPECT_EQ(starts, 5);  // two that crashed and the lost site's three
    EXPECT_EQ(stops, 5);
    EXPECT_EQ(governor_stops, 1);
    const auto played = run_replay(day, trial(day, {}), {});
    EXPECT_NEAR(played.run.result["figures"]["whole_day"]["service"].get<double>(),
                lived.result["figures"]["whole_day"]["service"].get<double>(), 0.15);
    EXPECT_EQ(run_replay(day, trial(day, {}), {}).run.result.dump(), played.run.result.dump());
}

// Two instances received the same lists at different clock times. The offset must come from the
// lists that agree in order, and not from one that merely looks alike.
TEST(Merge, ClocksAreAlignedByWhatBothHeardInOneOrder) {
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
    // A life that began late hears the list of the beginning again: that one alone would put it 8 s
    // off.
    const std::vector<ReceivedList> late{{0s, "a", {}}, {6s, "abc", {}}, {7s, "abcd", {}}};
    auto longer = base;
    longer.push_back({10s, "abcd", {}});
    EXPECT_EQ(align_clocks(longer, late).offset, 3s);
    // Starts that both heard of outweigh a list that merely looks alike.
    EXPECT_EQ(align_clocks({{1s, "ab", {}}, {30s, "abc", {{"b", 28s}, {"c", 29s}}}},
                           {{0s, "ab", {{"b", -5s}, {"c", -4s}}}})
                  .offset,
              33s);
}

// Recordings of a whole day, of another fleet, or without records are given to merge. Each must be
// refused.
TEST(Merge, RefusesWhatBelongsToOtherFleetsOrHoldsNothing) {
    const TemporaryDirectory folder;
    const auto script = short_day();
    record(script, folder.file("day"));
    EXPECT_THROW(merge_recordings({folder.file("day")}, folder.file("out")),
                 std::runtime_error);  // a whole day already
    auto config = script.governor;
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

TEST(Replay, ReportsHoldTheirFiguresAndEscapeWhatTheyName) {
    const TemporaryDirectory folder;
    record(short_day(), folder.file("day"));
    const auto day = load_recording(folder.file("day"));
    auto other = trial(day, {{"reports.period", "250 ms"}});
    other.name = "<b>'quoted\" & odd</b>";
    const auto comparison = compare(day, trial(day, {}), other, 2, {});
    const std::string svg = draw_svg(day, comparison);
    EXPECT_NE(svg.find("<svg"), std::string::npos);
    EXPECT_NE(svg.find("zone-loss south"), std::string::npos);
    const std::string page = html_page(day, comparison, svg);
    EXPECT_EQ(page.find("<b>'quoted"), std::string::npos);
    EXPECT_NE(page.find("&lt;b&gt;"), std::string::npos);
    EXPECT_NE(page.find("the same to the byte"), std::string::npos);
    const std::string text = to_text(day, comparison);
    EXPECT_NE(text.find("[reports] period: 500 ms under A, 250 ms under B"), std::string::npos)
        << text;
    EXPECT_NE(text.find("first different event at"), std::string::npos);
}

}  // namespace
}  // namespace badgergrade::replay
