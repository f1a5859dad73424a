#include "replay/compare.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace badgergrade::replay {

using nlohmann::ordered_json;

namespace {

constexpr std::size_t kTextShown = 300;

VariantResult play_often(const RecordedRun& recorded, const Variant& variant, int runs,
                         const ReplayOptions& options) {
    VariantResult out;
    out.variant = variant;
    out.runs = runs;
    std::string text;
    for (int n = 0; n < runs; ++n) {
        ReplayResult played = run_replay(recorded, variant, options);
        out.service.push_back(played.run.result["figures"]["whole_day"]["service"].get<double>());
        if (n == 0) {
            text = played.run.result.dump();
            out.first_replay = std::move(played);
        } else {
            // The decisions as well: two days may come to the same by other ways.
            out.identical = out.identical && played.run.result.dump() == text &&
                            played.trace == out.first_replay.trace;
        }
    }
    return out;
}

std::string shown(const std::optional<Trace::Entry>& step, bool decision) {
    if (!step) {
        return "nothing more";
    }
    std::string text = step->text.empty() ? "(text not kept)" : step->text;
    if (text.size() > kTextShown) {
        text = text.substr(0, kTextShown) + " ...";
    }
    return scenario::in_seconds(step->at) + " " + step->governor +
           (decision ? " decided: " : " heard: ") + text;
}

void put(std::vector<FigurePair>& out, const std::string& name, const ordered_json& a,
         const ordered_json& b, bool part) {
    out.push_back(
        {name, a.is_number() ? a.get<double>() : 0, b.is_number() ? b.get<double>() : 0, part});
}

ordered_json setting_json(const VariantResult& setting) {
    ordered_json out = setting.first_replay.run.result;
    out["setting"] = setting.variant.name;
    out["runs"] = setting.runs;
    out["runs_match"] = setting.identical;
    return out;
}

ordered_json parting_json(const std::optional<Divergence>& parting) {
    if (!parting) {
        return nullptr;
    }
    const auto one = [](const std::optional<Trace::Entry>& step) -> ordered_json {
        if (!step) {
            return nullptr;
        }
        return {{"at_s", static_cast<double>(step->at.count()) / 1e6},
                {"governor", step->governor},
                {"text", step->text}};
    };
    return {{"at_s", static_cast<double>(parting->at().count()) / 1e6},
            {"a", one(parting->a)},
            {"b", one(parting->b)}};
}

}  // namespace

std::optional<Divergence> first_divergence(const std::vector<Trace::Entry>& a,
                                           const std::vector<Trace::Entry>& b, bool decisions) {
    const auto next = [&](const std::vector<Trace::Entry>& steps, std::size_t at) {
        while (at < steps.size() && steps[at].decision != decisions) {
            ++at;
        }
        return at;
    };
    std::size_t i = next(a, 0);
    std::size_t j = next(b, 0);
    std::size_t step = 0;
    for (; i < a.size() && j < b.size() && a[i] == b[j]; ++step) {
        i = next(a, i + 1);
        j = next(b, j + 1);
    }
    if (i >= a.size() && j >= b.size()) {
        return std::nullopt;
    }
    Divergence out;
    out.index = step;
    if (i < a.size()) {
        out.a = a[i];
    }
    if (j < b.size()) {
        out.b = b[j];
    }
    return out;
}

Comparison compare(const RecordedRun& recorded, const Variant& a, const Variant& b, int runs,
                   const ReplayOptions& options) {
    Comparison out{
        play_often(recorded, a, runs, options), play_often(recorded, b, runs, options), {}, {}};
    out.event_divergence =
        first_divergence(out.a.first_replay.trace, out.b.first_replay.trace, false);
    out.decision_divergence =
        first_divergence(out.a.first_replay.trace, out.b.first_replay.trace, true);
    return out;
}

std::vector<FigurePair> compare_figures(const Comparison& comparison) {
    const auto& a = comparison.a.first_replay.run.result;
    const auto& b = comparison.b.first_replay.run.result;
    const auto& fa = a["figures"];
    const auto& fb = b["figures"];
    std::vector<FigurePair> out;
    put(out, "whole day", fa["whole_day"]["service"], fb["whole_day"]["service"], true);
    put(out, "worst 10 s", fa["worst_10_s"], fb["worst_10_s"], true);
    for (const auto* group : {"by_operation", "by_zone"}) {
        std::set<std::string> names;
        for (const auto* f : {&fa, &fb}) {
            if (f->contains(group)) {
                for (const auto& [name, unused] : (*f)[group].items()) {
                    names.insert(name);
                }
            }
        }
        for (const auto& name : names) {
            const auto one = [&](const ordered_json& f) -> ordered_json {
                return f.contains(group) && f[group].contains(name) ? f[group][name]["service"]
                                                                    : ordered_json();
            };
            put(out, (std::string(group) == "by_zone" ? "site " : "") + name, one(fa), one(fb),
                true);
        }
    }
    for (const auto* key : {"succeeded", "late", "rate_limited", "errored", "timed_out"}) {
        put(out, key, fa["whole_day"][key], fb["whole_day"][key], false);
    }
    put(out, "tries by clients", fa["tries"]["by_clients"], fb["tries"]["by_clients"], false);
    put(out, "tries by forwarders", fa["tries"]["by_forwarders"], fb["tries"]["by_forwarders"],
        false);
    put(out, "further tries", fa["tries"]["further"], fb["tries"]["further"], false);
    put(out, "servers pushed over", fa["servers"]["pushed_over"], fb["servers"]["pushed_over"],
        false);
    const auto sum = [](const ordered_json& f, const char* key) {
        double all = 0;
        if (f.contains("governors")) {
            for (const auto& [name, g] : f["governors"].items()) {
                all += g[key].get<double>();
            }
        }
        return ordered_json(all);
    };
    put(out, "lines ordered", sum(fa, "lines"), sum(fb, "lines"), false);
    put(out, "messages ordered", sum(fa, "orders_applied"), sum(fb, "orders_applied"), false);
    put(out, "list change to applied p99, ms", fa["list_change_to_applied_ms"]["p99"],
        fb["list_change_to_applied_ms"]["p99"], false);
    for (const char* rule : scenario::kRules) {
        put(out, std::string("breaks of rule ") + rule, a["rules"][rule]["broken"],
            b["rules"][rule]["broken"], false);
    }
    return out;
}

std::vector<std::string> changed_settings(const Comparison& comparison) {
    const auto values = [](const Variant& variant) {
        std::map<std::string, std::string> out;
        for (const auto& entry : variant.settings.entries()) {
            out["[" + entry.section + "] " + entry.key] = entry.value;
        }
        if (variant.added_servers != 0) {
            out["[replay] workers"] =
                (variant.added_servers > 0 ? "+" : "") + std::to_string(variant.added_servers);
        }
        if (variant.traffic_factor != 1) {
            out["[replay] traffic"] = (std::ostringstream() << variant.traffic_factor).str();
        }
        if (variant.startup_servers) {
            out["[replay] startup"] = std::to_string(*variant.startup_servers);
        }
        return out;
    };
    const auto a = values(comparison.a.variant);
    const auto b = values(comparison.b.variant);
    std::set<std::string> keys;
    for (const auto* all : {&a, &b}) {
        for (const auto& [key, value] : *all) {
            keys.insert(key);
        }
    }
    std::vector<std::string> out;
    for (const auto& key : keys) {
        const auto one = [&](const auto& from) {
            return from.contains(key) ? from.at(key) : std::string("as usual");
        };
        if (one(a) != one(b)) {
            out.push_back(key + ": " + one(a) + " under A, " + one(b) + " under B");
        }
    }
    return out;
}

std::vector<std::string> divergence_text(const Comparison& comparison) {
    if (!comparison.event_divergence && !comparison.decision_divergence) {
        return {"the governors heard and decided the same all day"};
    }
    std::vector<std::string> out;
    const bool heard_first =
        comparison.event_divergence &&
        (!comparison.decision_divergence ||
         comparison.event_divergence->at() <= comparison.decision_divergence->at());
    const auto tell = [&](const std::optional<Divergence>& parting, bool decision) {
        if (!parting) {
            return;
        }
        out.push_back((decision ? "first other decision at " : "first heard otherwise at ") +
                      scenario::in_seconds(parting->at()));
        out.push_back("  A: " + shown(parting->a, decision));
        out.push_back("  B: " + shown(parting->b, decision));
    };
    if (heard_first) {
        tell(comparison.event_divergence, false);
    }
    tell(comparison.decision_divergence, true);
    if (!heard_first) {
        tell(comparison.event_divergence, false);
    }
    if (!heard_first && comparison.decision_divergence) {
        out.emplace_back(
            "until then they had heard the same: the settings alone made the difference");
    }
    return out;
}

ordered_json to_json(const RecordedRun& recorded, const Comparison& comparison) {
    ordered_json out;
    out["recording"] = recorded.header.made_by();
    out["recorded"] = {{"service", recorded.figures["whole_day"]["service"]},
                       {"worst_10_s", recorded.figures["worst_10_s"]}};
    out["changed"] = changed_settings(comparison);
    for (const auto& one : compare_figures(comparison)) {
        out["differences"].push_back(
            {{"what", one.name}, {"a", one.a}, {"b", one.b}, {"b_less_a", one.b - one.a}});
    }
    out["first_heard_otherwise"] = parting_json(comparison.event_divergence);
    out["first_other_decision"] = parting_json(comparison.decision_divergence);
    out["a"] = setting_json(comparison.a);
    out["b"] = setting_json(comparison.b);
    return out;
}

std::string to_text(const RecordedRun& recorded, const Comparison& comparison) {
    std::ostringstream out;
    out << std::fixed;
    out << recorded.header.made_by() << ", " << recorded.invocations << " invocations";
    out.precision(4);
    if (recorded.record_counts.contains("results")) {
        out << "; as recorded: service " << recorded.figures["whole_day"]["service"].get<double>();
    }
    out << "\n";
    const auto setting = [&](const char* which, const VariantResult& s) {
        out << which << ": " << s.variant.name << ": " << s.runs << " runs, "
            << (s.identical ? "the same to the byte" : "they DIFFER");
        if (!s.identical) {
            const auto [least, most] = std::minmax_element(s.service.begin(), s.service.end());
            out << ", service from " << *least << " to " << *most;
        }
        out << "\n";
    };
    setting("A", comparison.a);
    setting("B", comparison.b);
    for (const auto& text : changed_settings(comparison)) {
        out << "  " << text << "\n";
    }
    out << "                                     A           B       B - A\n";
    for (const auto& one : compare_figures(comparison)) {
        // Counts that are 0 on both sides say nothing; rules always do.
        if (!one.is_fraction && one.a == 0 && one.b == 0 &&
            one.name.find("rule") == std::string::npos) {
            continue;
        }
        out.precision(one.is_fraction ? 4 : 0);
        out << "  " << one.name
            << std::string(one.name.size() < 30 ? 30 - one.name.size() : 1, ' ');
        for (const double v : {one.a, one.b, one.b - one.a}) {
            std::ostringstream cell;
            cell.precision(one.is_fraction ? 4 : 0);
            cell << std::fixed << v;
            out << std::string(cell.str().size() < 12 ? 12 - cell.str().size() : 1, ' ')
                << cell.str();
        }
        out << "\n";
    }
    for (const auto& text : divergence_text(comparison)) {
        out << text << "\n";
    }
    return out.str();
}

}  // namespace badgergrade::replay
