#include <cstdio>
#include <optional>

#include "cli/cli.h"
#include "replay/recorder.h"
#include "scenario/runner.h"

namespace badgergrade::cli {
namespace {

struct Args {
    std::string script, json, record, governors, log = "off";
    bool real = false, quiet = false;
    std::uint64_t seed = 0;
    int runs = 1;
};

scenario::ScenarioScript load_day(const std::string& path) {
    std::vector<config::ConfigError> mistakes;
    scenario::ScenarioScript script;
    try {
        script = scenario::load_script(path, mistakes);
    } catch (const std::runtime_error& wrong) {
        throw Failure(kNoFile, wrong.what());
    }
    end_where_wrong(mistakes, path + ": ");
    return script;
}

scenario::ScenarioRun record(const scenario::ScenarioScript& script,
                             const scenario::ScenarioOptions& options, const std::string& path) {
    recording::WriterOptions how;
    // The virtual clock can wait for the disk; the real one can't.
    how.when_full = options.clock == scenario::ClockKind::Virtual ? recording::WhenFull::Wait
                                                                  : recording::WhenFull::Drop;
    recording::WriterStats figures;
    scenario::ScenarioRun result;
    try {
        result = replay::record_scenario(script, options, path, how, figures);
    } catch (const recording::WriteError& wrong) {
        throw Failure(kNoFile, wrong.what());
    }
    if (!figures.error.empty()) {
        throw Failure(kNoFile, figures.error);
    }
    result.machine["recorded"] = {
        {"records", figures.records}, {"bytes", figures.bytes}, {"lost", figures.lost_records}};
    return result;
}

int run(const Args& args) {
    auto script = load_day(args.script);
    if (args.seed > 0) {
        script.seed = args.seed;
    }
    scenario::ScenarioOptions options;
    options.clock = args.real ? scenario::ClockKind::Real : scenario::ClockKind::Virtual;
    options.log_level = log_level(args.log);
    bool broken = false;
    bool differs = false;
    std::string first;
    for (int n = 0; n < args.runs; ++n) {
        std::optional<replay::InstanceRecorder> files;
        if (n == 0 && !args.governors.empty()) {
            files.emplace(args.governors, script);
            options.before_start = [&](scenario::SimulatedFleet& world) {
                world.instance_observer = &*files;
            };
        } else {
            options.before_start = {};
        }
        const auto result = n == 0 && !args.record.empty()
                                ? record(script, options, args.record)
                                : scenario::run_scenario(script, options);
        const std::string text = result.result.dump(1);
        if (n == 0) {
            first = text;
        }
        differs = differs || text != first;
        if (files) {
            files->close();
        }
        broken = broken || !result.violations.empty();
        if (n == 0 && !args.quiet) {
            std::printf("%s", scenario::to_text(script, result).c_str());
        }
        if (n > 0) {
            continue;
        }
        if (!args.json.empty()) {
            nlohmann::ordered_json all = result.result;
            all["machine"] = result.machine;
            write_text(args.json, all.dump(1) + "\n");
        }
    }
    if (args.runs > 1) {
        std::printf("%d runs: %s\n", args.runs, differs ? "they DIFFER" : "the same to the byte");
    }
    return broken || (differs && !args.real) ? kRuleBroken : kGood;
}

}  // namespace

void add_day(CLI::App& app, Command& chosen) {
    auto* day = app.add_subcommand("day", "Scripted days: governors and stand-ins on loopback");
    day->require_subcommand(1);
    auto* sub = day->add_subcommand("run", "Play a day; exit 1 where a rule was broken");
    const auto args = std::make_shared<Args>();
    sub->add_option("SCRIPT", args->script, "The day")->required();
    const auto clock = std::make_shared<std::string>("virtual");
    sub->add_option("--clock", *clock, "real or virtual")
        ->check(CLI::IsMember({"real", "virtual"}))
        ->capture_default_str();
    sub->add_option("--seed", args->seed, "In place of the script's");
    sub->add_option("--json", args->json, "Write the figures here");
    sub->add_option("--record", args->record, "Record the first run here");
    sub->add_option("--record-governors", args->governors,
                    "Record in this folder what each governor of the first run met")
        ->check(CLI::ExistingDirectory)
        ->excludes("--record");
    sub->add_option("--runs", args->runs, "Play it so often and compare")
        ->check(CLI::Range(1, 1000));
    add_log_option(*sub, args->log);
    sub->add_flag("--quiet", args->quiet, "No text");
    sub->callback([args, clock, &chosen] {
        args->real = *clock == "real";
        chosen = [args] {
            return run(*args);
        };
    });
}

}  // namespace badgergrade::cli
