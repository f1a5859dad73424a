#include <cstdio>

#include "cli/cli.h"
#include "replay/merge.h"
#include "replay/recorder.h"
#include "replay/report.h"
#include "replay/runner.h"

namespace badgergrade::cli {
namespace {

struct Args {
    std::string file, json, config, from, to, lead, clock = "virtual", log = "off";
    std::vector<std::string> sets, settings, reports, files;
    double speed = 1;
    std::uint64_t seed = 0;
    int runs = 1;
};

recording::Reader open_recording(const std::string& path) {
    try {
        return recording::Reader(path);
    } catch (const std::runtime_error& wrong) {
        throw Failure(kNoFile, wrong.what());
    }
}

replay::RecordedRun load(const std::string& path) {
    try {
        return replay::load_recording(path);
    } catch (const std::runtime_error& wrong) {
        throw Failure(kNoFile, wrong.what());
    }
}

// What is wrong with a recording is told, and does not end the command: it is played as far as it
// goes.
void warn_of_damage(const replay::RecordedRun& day) {
    for (const auto& damage : day.damage) {
        std::fprintf(stderr, "%s: byte %llu: %s\n", day.path.c_str(),
                     static_cast<unsigned long long>(damage.offset), damage.description.c_str());
    }
    if (day.lost_records > 0) {
        std::fprintf(stderr, "%s: %llu records were lost while it was recorded\n", day.path.c_str(),
                     static_cast<unsigned long long>(day.lost_records));
    }
}

base::Micros time_of(const std::string& text, const char* what) {
    if (text.empty()) {
        return base::Micros{0};
    }
    std::string why;
    const auto out = config::parse_time(text, why);
    if (!out) {
        throw Failure(kBadSettings, std::string(what) + ": " + why);
    }
    return *out;
}

// What both of run and compare take.
replay::ReplayOptions play_options(const Args& args) {
    replay::ReplayOptions out;
    out.clock = args.clock == "real" ? scenario::ClockKind::Real : scenario::ClockKind::Virtual;
    out.from = time_of(args.from, "--from");
    out.to = time_of(args.to, "--to");
    if (!args.lead.empty()) {
        out.warm_up = time_of(args.lead, "--lead");
    }
    if (args.seed > 0) {
        out.seed = args.seed;
    }
    return out;
}

struct Contents {
    std::uint64_t records = 0, lost = 0;
    base::Micros last{};
};

Contents contents_of(const recording::Reader& reader) {
    Contents out;
    for (const auto& block : reader.blocks()) {
        out.records += block.records;
        out.lost += block.lost_records;
        out.last = std::max(out.last, block.last);
    }
    return out;
}

int info(const std::string& path) {
    const auto reader = open_recording(path);
    const auto& header = reader.header();
    std::printf("%s: recorded by %s, format %u, seed %llu%s%s\n", path.c_str(),
                header.made_by().c_str(), header.format(),
                static_cast<unsigned long long>(header.seed()),
                header.wall_begin().empty() ? "" : ", begun ", header.wall_begin().c_str());
    const auto [records, lost, last] = contents_of(reader);
    std::printf("%llu bytes, %zu blocks, %llu records over %s, %llu lost while recording, %s\n",
                static_cast<unsigned long long>(reader.file_bytes()), reader.blocks().size(),
                static_cast<unsigned long long>(records), scenario::format_seconds(last).c_str(),
                static_cast<unsigned long long>(lost),
                reader.is_complete() ? "ended in order" : "not ended in order");
    for (const auto& note : header.notes()) {
        std::printf("  %s\n", note.c_str());
    }
    if (header.script().empty()) {
        std::printf("a governor's own: make a day of it with replay merge\n");
        return kGood;
    }
    const auto day = load(path);
    warn_of_damage(day);
    for (const auto& [kind, count] : day.record_counts) {
        std::printf("  %-14s %llu\n", kind.c_str(), static_cast<unsigned long long>(count));
    }
    if (day.invocations > 0) {
        std::printf(
            "%.1f bytes an invocation, all records counted in\n",
            static_cast<double>(reader.file_bytes()) / static_cast<double>(day.invocations));
    }
    if (day.record_counts.contains("results")) {
        std::printf("service as recorded: %.4f, worst 10 s %.4f\n",
                    day.figures["whole_day"]["service"].get<double>(),
                    day.figures["worst_10_s"].get<double>());
    }
    for (const auto& trouble : day.faults) {
        std::printf("  at %s %s%s\n", scenario::format_seconds(trouble.start).c_str(),
                    trouble.description.c_str(),
                    trouble.duration > base::Micros{0}
                        ? (" for " + scenario::format_seconds(trouble.duration)).c_str()
                        : "");
    }
    return kGood;
}

int verify(const std::string& path) {
    auto reader = open_recording(path);
    reader.scan();
    const auto [records, lost, last] = contents_of(reader);
    for (const auto& damage : reader.damage()) {
        std::printf("%s: byte %llu: %s\n", path.c_str(),
                    static_cast<unsigned long long>(damage.offset), damage.description.c_str());
    }
    std::printf("%s: %zu whole blocks, %llu records to %s, %s\n", path.c_str(),
                reader.blocks().size(), static_cast<unsigned long long>(records),
                scenario::format_seconds(last).c_str(),
                reader.damage().empty() ? "all of it whole" : "DAMAGED");
    return reader.damage().empty() ? kGood : kRuleBroken;
}

replay::Variant trial_of(const replay::RecordedRun& day, const std::string& config,
                         const std::vector<std::string>& texts) {
    std::vector<config::ConfigError> mistakes;
    std::optional<config::IniFile> file;
    if (!config.empty()) {
        try {
            file = config::IniFile::load(config, mistakes);
        } catch (const std::runtime_error& wrong) {
            throw Failure(kNoFile, wrong.what());
        }
    }
    replay::SettingOverrides sets;
    for (const auto& text : texts) {
        const auto set = replay::parse_override(text);
        if (!set) {
            throw Failure(
                kBadSettings,
                "--set " + text +
                    ": is no section.key=value; for example: --set reports.period=\"1 s\"");
        }
        sets.push_back(*set);
    }
    auto out = replay::read_variant(day, file, sets, mistakes);
    end_where_wrong(mistakes, "", "; nothing was played");
    return out;
}

int run(const Args& args) {
    const auto day = load(args.file);
    warn_of_damage(day);
    const auto trial = trial_of(day, args.config, args.sets);
    auto options = play_options(args);
    if (args.speed != 1 && options.clock == scenario::ClockKind::Virtual) {
        throw Failure(kBadSettings, "--speed says something only with --clock real");
    }
    options.speed = args.speed;
    options.log = log_level(args.log);
    bool broken = false;
    bool differs = false;
    std::string first;
    for (int n = 0; n < args.runs; ++n) {
        replay::ReplayResult played;
        try {
            played = replay::run_replay(day, trial, options);
        } catch (const std::runtime_error& wrong) {
            throw Failure(kBadSettings, wrong.what());
        }
        const std::string text = played.run.result.dump(1);
        broken = broken || !played.run.violations.empty();
        if (n > 0) {
            differs = differs || text != first;
            continue;
        }
        first = text;
        std::printf("setting: %s\n%s", trial.name.c_str(),
                    scenario::to_text(played.script, played.run).c_str());
        if (day.record_counts.contains("results")) {
            std::printf("as recorded: service %.4f, worst 10 s %.4f\n",
                        day.figures["whole_day"]["service"].get<double>(),
                        day.figures["worst_10_s"].get<double>());
        }
        if (args.json.empty()) {
            continue;
        }
        auto all = played.run.result;
        all["setting"] = trial.name;
        all["recorded"] = day.figures;
        all["machine"] = played.run.machine;
        write_text(args.json, all.dump(1) + "\n");
    }
    if (args.runs > 1) {
        std::printf("%d runs: %s\n", args.runs, differs ? "they DIFFER" : "the same to the byte");
    }
    return broken || (differs && args.clock == "virtual") ? kRuleBroken : kGood;
}

int merge(const Args& args) {
    replay::MergeResult merged;
    try {
        merged = replay::merge_recordings(args.files, args.file);
    } catch (const std::runtime_error& wrong) {
        throw Failure(kNoFile, wrong.what());
    }
    for (const auto& damage : merged.damage) {
        std::fprintf(stderr, "byte %llu: %s\n", static_cast<unsigned long long>(damage.offset),
                     damage.description.c_str());
    }
    std::printf("%s: %llu invocations, %llu moves\n", args.file.c_str(),
                static_cast<unsigned long long>(merged.invocations),
                static_cast<unsigned long long>(merged.actions));
    for (const auto& note : merged.notes) {
        std::printf("  %s\n", note.c_str());
    }
    return kGood;
}

void write_report(const std::string& path, const replay::RecordedRun& day,
                  const replay::Comparison& comparison) {
    if (path.ends_with(".json")) {
        return write_text(path, replay::to_json(day, comparison).dump(1) + "\n");
    }
    std::string svg;
    try {
        svg = replay::draw_svg(day, comparison);
    } catch (const std::runtime_error& wrong) {
        throw Failure(kNoFile, path + ": " + wrong.what());
    }
    write_text(path, path.ends_with(".svg") ? svg : replay::html_page(day, comparison, svg));
}

int compare(const Args& args) {
    for (const auto& path : args.reports) {
        if (!path.ends_with(".json") && !path.ends_with(".svg") && !path.ends_with(".html")) {
            throw Failure(kBadSettings,
                          "--report " + path + ": its name ends in .html, .svg or .json");
        }
    }
    const auto day = load(args.file);
    warn_of_damage(day);
    // "recorded" stands for the settings of the recording itself.
    const auto trial = [&](const std::string& path) {
        return trial_of(day, path == "recorded" ? "" : path, {});
    };
    const auto a = trial(args.settings.at(0));
    const auto b = trial(args.settings.at(1));
    const auto options = play_options(args);
    replay::Comparison comparison;
    try {
        comparison = replay::compare(day, a, b, std::max(2, args.runs), options);
    } catch (const std::runtime_error& wrong) {
        throw Failure(kBadSettings, wrong.what());
    }
    std::printf("%s", replay::to_text(day, comparison).c_str());
    for (const auto& path : args.reports) {
        write_report(path, day, comparison);
    }
    const bool broken = !comparison.a.first_replay.run.violations.empty() ||
                        !comparison.b.first_replay.run.violations.empty();
    const bool differs =
        args.clock == "virtual" && !(comparison.a.identical && comparison.b.identical);
    return broken || differs ? kRuleBroken : kGood;
}

}  // namespace

void add_replay(CLI::App& app, Command& chosen) {
    auto* replay = app.add_subcommand(
        "replay", "Recorded days: what is in them, and how they would go under other settings");
    replay->require_subcommand(1);
    const auto args = std::make_shared<Args>();
    const auto simple = [&](const char* name, const char* what,
                            int (*command)(const std::string&)) {
        auto* sub = replay->add_subcommand(name, what);
        sub->add_option("FILE", args->file, "The recording")->required();
        sub->callback([args, command, &chosen] {
            chosen = [args, command] {
                return command(args->file);
            };
        });
    };
    simple("info", "What is in a recording, when, and which troubles", &info);
    simple("verify", "Read all of it; say where a damaged one breaks (exit 1)", &verify);
    const auto add_span = [&](CLI::App* sub) {
        sub->add_option("--from", args->from, "Count from here, as 20s");
        sub->add_option("--to", args->to, "... to here");
        sub->add_option("--lead", args->lead, "Traffic sets in so long before, uncounted (60s)");
        sub->add_option("--clock", args->clock, "real or virtual")
            ->check(CLI::IsMember({"real", "virtual"}))
            ->capture_default_str();
        sub->add_option("--seed", args->seed, "Another luck in the same world");
        sub->add_option("--runs", args->runs, "Play it so often and compare")
            ->check(CLI::Range(1, 1000));
    };
    auto* sub = replay->add_subcommand("run", "Play it again; exit 1 where a rule was broken");
    sub->add_option("FILE", args->file, "The recording")->required();
    sub->add_option(
           "--set", args->sets,
           "section.key=value, or replay.workers=+10%, replay.traffic=1.2, replay.startup=5")
        ->take_all();
    sub->add_option("--config", args->config, "Settings (INI), whole or those that change");
    add_span(sub);
    sub->add_option("--speed", args->speed, "The real clock so many times faster")
        ->check(CLI::Range(0.1, 100.0));
    sub->add_option("--json", args->json, "Write the figures here");
    add_log_option(*sub, args->log);
    sub->callback([args, &chosen] {
        chosen = [args] {
            return run(*args);
        };
    });

    auto* one = replay->add_subcommand(
        "merge", "Make one day out of what governors recorded (governor --record)");
    one->add_option("OUT", args->file, "The day to be written")->required();
    one->add_option("FILES", args->files, "The governors' recordings, one a life")->required();
    one->callback([args, &chosen] {
        chosen = [args] {
            return merge(*args);
        };
    });

    auto* both = replay->add_subcommand(
        "compare", "The same day under two settings, each played twice or more");
    both->add_option("FILE", args->file, "The recording")->required();
    both->add_option("SETTINGS", args->settings,
                     "Two INI files; 'recorded' for the recording's own")
        ->required()
        ->expected(2);
    both->add_option(
            "--report", args->reports,
            "Write a page, a picture or figures (.html, .svg, .json); may stand several times")
        ->take_all();
    add_span(both);
    both->callback([args, &chosen] {
        chosen = [args] {
            return compare(*args);
        };
    });
}

}  // namespace badgergrade::cli
