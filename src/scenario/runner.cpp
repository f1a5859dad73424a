#include "scenario/runner.h"

#include <cmath>
#include <cstdio>
#include <sstream>

#include "base/real_clock.h"

namespace badgergrade::scenario {

using namespace std::chrono_literals;
using nlohmann::ordered_json;

namespace {

constexpr std::int64_t kClockOriginSeconds = 1000;

double rounded(double v) {
    return std::round(v * 1e4) / 1e4;
}

ordered_json rules_json(const Auditor& auditor, Micros begin) {
    ordered_json out;
    const auto margins = auditor.margins();
    for (const char* rule : kAuditRules) {
        out[rule] = {{"kept", auditor.violation_count(rule) == 0},
                     {"broken", auditor.violation_count(rule)},
                     {"checked", auditor.check_count(rule)}};
    }
    out["nearest"] = {{"bare", rounded(margins.bare)},
                      {"drain", rounded(margins.drain)},
                      {"lines", rounded(margins.lines)},
                      {"messages", rounded(margins.messages)}};
    out["breaks"] = ordered_json::array();
    for (const RuleViolation& violation : auditor.violations()) {
        out["breaks"].push_back(
            {{"rule", violation.rule},
             {"at_s", static_cast<double>((violation.at - begin).count()) / 1e6},
             {"parties", violation.parties},
             {"what", violation.description}});
    }
    return out;
}

}  // namespace

ScenarioRun run_scenario(const ScenarioScript& script, const ScenarioOptions& options) {
    const bool is_virtual = options.clock == ClockKind::Virtual;
    std::unique_ptr<net::Loop> loop =
        is_virtual ? std::make_unique<net::Loop>(std::chrono::seconds(kClockOriginSeconds))
                   : std::make_unique<net::Loop>(options.speed);
    loop->keeps_ledger = true;
    log::Log log =
        is_virtual
            ? log::Log(loop->clock(), options.log_level, options.log_form,
                       [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); })
            : log::Log(loop->clock(), options.log_level, options.log_form);
    const base::Clock& clock = loop->clock();
    const std::int64_t cpu_before = base::process_cpu_us();
    base::RealClock real(loop->io());
    const Micros real_before = real.now();

    Auditor auditor(loop->clock(), script.instance_config);
    ScenarioMetrics figures(script, clock.now() + options.measure_from,
                            script.length - options.measure_from,
                            SimulatedFleet::proxy_zones(script, options.recorded));
    std::vector<testbed::Observer*> observers{&auditor, &figures};
    observers.insert(observers.end(), options.observers.begin(), options.observers.end());
    if (options.make_observers) {
        for (auto* observer : options.make_observers(clock.now())) {
            observers.push_back(observer);
        }
    }
    ScenarioRun run;
    {
        SimulatedFleet fleet(*loop, script, log, observers, options.recorded);
        fleet.on_channels_slowed = [&](double slower) {
            auditor.scale_time_limits(slower);
        };
        if (options.before_start) {
            options.before_start(fleet);
        }
        fleet.start();
        Micros tail = 0us;
        for (const Operation& op : script.instance_config.settings.operations) {
            tail = std::max(tail, op.integration_timeout);
        }
        loop->run_until(fleet.begin() + script.length + tail + 500ms);
        auditor.finish();
        figures.finish();
        run.result["day"] = script.name;
        run.result["seed"] = script.seed;
        run.result["seconds"] = static_cast<double>(script.length.count()) / 1e6;
        run.result["fleet"] = {{"workers", script.server_count},
                               {"forwarders", script.proxy_count},
                               {"governors", script.instance_count},
                               {"rate", script.invocations_per_second}};
        run.result["figures"] = figures.json();
        run.result["rules"] = rules_json(auditor, fleet.begin());
        run.violations = auditor.violations();
        const auto instances = fleet.instance_metrics();
        for (std::size_t k = 0; k < instances.size(); ++k) {
            run.machine["governors"]["governor-" + std::to_string(k)] = {
                {"handler_cpu_ms", static_cast<double>(instances[k].handler_cpu_us) / 1000},
                {"decisions", instances[k].decisions}};
        }
    }
    run.machine["clock"] = is_virtual ? "virtual" : "real";
    run.machine["real_seconds"] = static_cast<double>((real.now() - real_before).count()) / 1e6;
    run.machine["cpu_seconds"] = static_cast<double>(base::process_cpu_us() - cpu_before) / 1e6;
    run.machine["memory_mib"] = base::process_memory_bytes() / (1 << 20);
    return run;
}

std::string to_text(const ScenarioScript& script, const ScenarioRun& run) {
    std::ostringstream out;
    out << std::fixed;
    const auto& f = run.result["figures"];
    const auto line = [&](const std::string& name, const ordered_json& s) {
        out.precision(4);
        out << "  " << name << std::string(name.size() < 22 ? 22 - name.size() : 1, ' ')
            << s["service"].get<double>() << "  of " << s["invocations"]
            << " invocations: " << s["succeeded"] << " succeeded (" << s["late"] << " late), "
            << s["rate_limited"] << " rate-limited, " << s["errored"] << " errored, "
            << s["timed_out"] << " timed out\n";
    };
    out << script.name << ": " << script.server_count << " workers, " << script.proxy_count
        << " forwarders, " << script.instance_count
        << (script.instance_count == 1 ? " governor, " : " governors, ") << "seed " << script.seed
        << ", " << run.machine["clock"].get<std::string>() << " clock\n";
    out << "service (billed value answered within the latency objective, by part of that asked "
           "for)\n";
    line("whole day", f["whole_day"]);
    out << "  worst 10 s            " << f["worst_10_s"].get<double>() << "\n";
    for (const auto& [name, s] : f["by_operation"].items()) {
        line(name, s);
    }
    for (const auto& [name, s] : f["by_zone"].items()) {
        line("site " + name, s);
    }
    out << "tries: " << f["tries"]["by_clients"] << " by clients, " << f["tries"]["by_forwarders"]
        << " by forwarders, " << f["tries"]["further"]
        << " of them further ones; effects: " << f["effects"]["all"]
        << ", twice: " << f["effects"]["twice"] << "\n";
    if (f.contains("governors")) {
        for (const auto& [name, g] : f["governors"].items()) {
            out << name << ": " << g["orders_applied"] << " messages, " << g["lines"] << " lines, "
                << g["bytes"] << " bytes, " << g["rejected"] << " rejected, " << g["lists"]
                << " lists; handlers "
                << run.machine["governors"][name]["handler_cpu_ms"].get<double>() << " ms CPU\n";
        }
    }
    const auto& applied = f["list_change_to_applied_ms"];
    out << "list change to applied: p50 " << applied["p50"].get<double>() << " ms, p99 "
        << applied["p99"].get<double>() << " ms\n";
    out << "servers: " << f["servers"]["starts"] << " starts, " << f["servers"]["pushed_over"]
        << " pushed over\n";
    out << "rules:";
    for (const char* rule : kAuditRules) {
        const auto& r = run.result["rules"][rule];
        out << " " << rule << (r["kept"].get<bool>() ? " kept" : " BROKEN") << " (" << r["checked"]
            << " looked at)";
    }
    out << "\n";
    for (const RuleViolation& violation : run.violations) {
        const std::int64_t milliseconds = violation.at.count() / 1000 - kClockOriginSeconds * 1000;
        out << "  BROKEN " << violation.rule << " at " << static_cast<double>(milliseconds) / 1000
            << " s: " << violation.parties << ": " << violation.description << "\n";
    }
    out.precision(2);
    out << "took " << run.machine["real_seconds"].get<double>() << " s, "
        << run.machine["cpu_seconds"].get<double>() << " s CPU, " << run.machine["memory_mib"]
        << " MiB\n";
    return out.str();
}

}  // namespace badgergrade::scenario
