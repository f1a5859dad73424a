#include "replay/compare.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace badgergrade::replay {

using nlohmann::ordered_json;

namespace {

// Longer texts of trace entries are cut off.
constexpr std::size_t kMaxShownChars = 300;

VariantResult replay_repeatedly(const RecordedRun& recorded, const Variant& variant, int runs,
                                const ReplayOptions& options) {
    VariantResult out;
    out.variant = variant;
    out.runs = runs;
    std::string first_result;
    for (int n = 0; n < runs; ++n) {
        ReplayResult replay = run_replay(recorded, variant, options);
        out.service.push_back(replay.run.result["figures"]["whole_day"]["service"].get<double>());
        if (n == 0) {
            first_result = replay.run.result.dump();
            out.first_replay = std::move(replay);
        } else {
            // The traces too, since different decisions may lead to the same figures.
            out.identical = out.identical && replay.run.result.dump() == first_result &&
                            replay.trace == out.first_replay.trace;
        }
    }
    return out;
}

std::string describe(const std::optional<Trace::Entry>& entry, bool decision) {
    if (!entry) {
        return "no further entry";
    }
    std::string text = entry->text.empty() ? "(text not kept)" : entry->text;
    if (text.size() > kMaxShownChars) {
        text = text.substr(0, kMaxShownChars) + " ...";
    }
    return scenario::format_seconds(entry->at) + " " + entry->instance +
           (decision ? " decided: " : " received: ") + text;
}

void add_figure(std::vector<FigurePair>& out, const std::string& name, const ordered_json& a,
                const ordered_json& b, bool is_fraction) {
    out.push_back({name, a.is_number() ? a.get<double>() : 0, b.is_number() ? b.get<double>() : 0,
                   is_fraction});
}

ordered_json variant_json(const VariantResult& result) {
    ordered_json out = result.first_replay.run.result;
    out["setting"] = result.variant.name;
    out["runs"] = result.runs;
    out["runs_match"] = result.identical;
    return out;
}

ordered_json divergence_json(const std::optional<Divergence>& divergence) {
    if (!divergence) {
        return nullptr;
    }
    const auto entry_json = [](const std::optional<Trace::Entry>& entry) -> ordered_json {
        if (!entry) {
            return nullptr;
        }
        return {{"at_s", static_cast<double>(entry->at.count()) / 1e6},
                {"governor", entry->instance},
                {"text", entry->text}};
    };
    return {{"at_s", static_cast<double>(divergence->at().count()) / 1e6},
            {"a", entry_json(divergence->a)},
            {"b", entry_json(divergence->b)}};
}

}  // namespace

std::optional<Divergence> first_divergence(const std::vector<Trace::Entry>& a,
                                           const std::vector<Trace::Entry>& b, bool decisions) {
    const auto next = [&](const std::vector<Trace::Entry>& entries, std::size_t from) {
        while (from < entries.size() && entries[from].decision != decisions) {
            ++from;
        }
        return from;
    };
    std::size_t i = next(a, 0);
    std::size_t j = next(b, 0);
    std::size_t index = 0;
    for (; i < a.size() && j < b.size() && a[i] == b[j]; ++index) {
        i = next(a, i + 1);
        j = next(b, j + 1);
    }
    if (i >= a.size() && j >= b.size()) {
        return std::nullopt;
    }
    Divergence out;
    out.index = index;
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
    Comparison out{replay_repeatedly(recorded, a, runs, options),
                   replay_repeatedly(recorded, b, runs, options),
                   {},
                   {}};
    out.event_divergence =
        first_divergence(out.a.first_replay.trace, out.b.first_replay.trace, false);
    out.decision_divergence =
        first_divergence(out.a.first_replay.trace, out.b.first_replay.trace, true);
    return out;
}

std::vector<FigurePair> compare_figures(const Comparison& comparison) {
    const auto& a = comparison.a.first_replay.run.result;
    const auto& b = comparison.b.first_replay.run.result;
    const auto& figures_a = a["figures"];
    const auto& figures_b = b["figures"];
    std::vector<FigurePair> out;
    add_figure(out, "whole day", figures_a["whole_day"]["service"],
               figures_b["whole_day"]["service"], true);
    add_figure(out, "worst 10 s", figures_a["worst_10_s"], figures_b["worst_10_s"], true);
    for (const auto* group : {"by_operation", "by_zone"}) {
        std::set<std::string> names;
        for (const auto* f : {&figures_a, &figures_b}) {
            if (f->contains(group)) {
                for (const auto& [name, unused] : (*f)[group].items()) {
                    names.insert(name);
                }
            }
        }
        for (const auto& name : names) {
            const auto service = [&](const ordered_json& f) -> ordered_json {
                return f.contains(group) && f[group].contains(name) ? f[group][name]["service"]
                                                                    : ordered_json();
            };
            add_figure(out, (std::string(group) == "by_zone" ? "site " : "") + name,
                       service(figures_a), service(figures_b), true);
        }
    }
    for (const auto* key : {"succeeded", "late", "rate_limited", "errored", "timed_out"}) {
        add_figure(out, key, figures_a["whole_day"][key], figures_b["whole_day"][key], false);
    }
    add_figure(out, "tries by clients", figures_a["tries"]["by_clients"],
               figures_b["tries"]["by_clients"], false);
    add_figure(out, "tries by forwarders", figures_a["tries"]["by_forwarders"],
               figures_b["tries"]["by_forwarders"], false);
    add_figure(out, "further tries", figures_a["tries"]["further"], figures_b["tries"]["further"],
               false);
    add_figure(out, "servers pushed over", figures_a["servers"]["pushed_over"],
               figures_b["servers"]["pushed_over"], false);
    const auto sum_over_instances = [](const ordered_json& f, const char* key) {
        double sum = 0;
        if (f.contains("governors")) {
            for (const auto& [name, instance] : f["governors"].items()) {
                sum += instance[key].get<double>();
            }
        }
        return ordered_json(sum);
    };
    add_figure(out, "lines ordered", sum_over_instances(figures_a, "lines"),
               sum_over_instances(figures_b, "lines"), false);
    add_figure(out, "messages ordered", sum_over_instances(figures_a, "orders_applied"),
               sum_over_instances(figures_b, "orders_applied"), false);
    add_figure(out, "list change to applied p99, ms", figures_a["list_change_to_applied_ms"]["p99"],
               figures_b["list_change_to_applied_ms"]["p99"], false);
    for (const char* rule : scenario::kAuditRules) {
        add_figure(out, std::string("breaks of rule ") + rule, a["rules"][rule]["broken"],
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
        const auto value_of = [&](const auto& values_by_key) {
            return values_by_key.contains(key) ? values_by_key.at(key) : std::string("not set");
        };
        if (value_of(a) != value_of(b)) {
            out.push_back(key + ": " + value_of(a) + " under A, " + value_of(b) + " under B");
        }
    }
    return out;
}

std::vector<std::string> divergence_text(const Comparison& comparison) {
    if (!comparison.event_divergence && !comparison.decision_divergence) {
        return {"the instances received the same events and made the same decisions throughout"};
    }
    std::vector<std::string> out;
    const bool event_first =
        comparison.event_divergence &&
        (!comparison.decision_divergence ||
         comparison.event_divergence->at() <= comparison.decision_divergence->at());
    const auto add = [&](const std::optional<Divergence>& divergence, bool decision) {
        if (!divergence) {
            return;
        }
        out.push_back((decision ? "first different decision at " : "first different event at ") +
                      scenario::format_seconds(divergence->at()));
        out.push_back("  A: " + describe(divergence->a, decision));
        out.push_back("  B: " + describe(divergence->b, decision));
    };
    if (event_first) {
        add(comparison.event_divergence, false);
    }
    add(comparison.decision_divergence, true);
    if (!event_first) {
        add(comparison.event_divergence, false);
    }
    if (!event_first && comparison.decision_divergence) {
        out.emplace_back(
            "until then both received the same events: the settings alone made the difference");
    }
    return out;
}

ordered_json to_json(const RecordedRun& recorded, const Comparison& comparison) {
    ordered_json out;
    out["recording"] = recorded.header.made_by();
    out["recorded"] = {{"service", recorded.figures["whole_day"]["service"]},
                       {"worst_10_s", recorded.figures["worst_10_s"]}};
    out["changed"] = changed_settings(comparison);
    for (const auto& figure : compare_figures(comparison)) {
        out["differences"].push_back({{"what", figure.name},
                                      {"a", figure.a},
                                      {"b", figure.b},
                                      {"b_less_a", figure.b - figure.a}});
    }
    out["first_heard_otherwise"] = divergence_json(comparison.event_divergence);
    out["first_other_decision"] = divergence_json(comparison.decision_divergence);
    out["a"] = variant_json(comparison.a);
    out["b"] = variant_json(comparison.b);
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
    const auto add_variant = [&](const char* letter, const VariantResult& s) {
        out << letter << ": " << s.variant.name << ": " << s.runs << " runs, "
            << (s.identical ? "the same to the byte" : "they DIFFER");
        if (!s.identical) {
            const auto [min, max] = std::minmax_element(s.service.begin(), s.service.end());
            out << ", service from " << *min << " to " << *max;
        }
        out << "\n";
    };
    add_variant("A", comparison.a);
    add_variant("B", comparison.b);
    for (const auto& text : changed_settings(comparison)) {
        out << "  " << text << "\n";
    }
    out << "                                     A           B       B - A\n";
    for (const auto& figure : compare_figures(comparison)) {
        // Counts that are 0 in both variants are left out, except violations of rules.
        if (!figure.is_fraction && figure.a == 0 && figure.b == 0 &&
            figure.name.find("rule") == std::string::npos) {
            continue;
        }
        out.precision(figure.is_fraction ? 4 : 0);
        out << "  " << figure.name
            << std::string(figure.name.size() < 30 ? 30 - figure.name.size() : 1, ' ');
        for (const double v : {figure.a, figure.b, figure.b - figure.a}) {
            std::ostringstream cell;
            cell.precision(figure.is_fraction ? 4 : 0);
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
