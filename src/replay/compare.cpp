#include "replay/compare.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace badgergrade::replay {

using nlohmann::ordered_json;

namespace {

constexpr std::size_t kTextShown = 300;

SettingResult play_often(const RecordedDay& day, const Trial& trial, int runs,
                         const PlayOptions& options) {
    SettingResult out;
    out.trial = trial;
    out.runs = runs;
    std::string text;
    for (int n = 0; n < runs; ++n) {
        Played played = play(day, trial, options);
        out.service.push_back(played.run.result["figures"]["whole_day"]["service"].get<double>());
        if (n == 0) {
            text = played.run.result.dump();
            out.first = std::move(played);
        } else {
            // The decisions as well: two days may come to the same by other ways.
            out.same =
                out.same && played.run.result.dump() == text && played.trail == out.first.trail;
        }
    }
    return out;
}

std::string shown(const std::optional<Trail::Step>& step, bool decision) {
    if (!step) {
        return "nothing more";
    }
    std::string text = step->text.empty() ? "(text not kept)" : step->text;
    if (text.size() > kTextShown) {
        text = text.substr(0, kTextShown) + " ...";
    }
    return scenario::format_seconds(step->at) + " " + step->governor +
           (decision ? " decided: " : " heard: ") + text;
}

void put(std::vector<Difference>& out, const std::string& name, const ordered_json& a,
         const ordered_json& b, bool part) {
    out.push_back(
        {name, a.is_number() ? a.get<double>() : 0, b.is_number() ? b.get<double>() : 0, part});
}

ordered_json setting_json(const SettingResult& setting) {
    ordered_json out = setting.first.run.result;
    out["setting"] = setting.trial.name;
    out["runs"] = setting.runs;
    out["runs_match"] = setting.same;
    return out;
}

ordered_json parting_json(const std::optional<Parting>& parting) {
    if (!parting) {
        return nullptr;
    }
    const auto one = [](const std::optional<Trail::Step>& step) -> ordered_json {
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

std::optional<Parting> first_parting(const std::vector<Trail::Step>& a,
                                     const std::vector<Trail::Step>& b, bool decisions) {
    const auto next = [&](const std::vector<Trail::Step>& steps, std::size_t at) {
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
    Parting out;
    out.step = step;
    if (i < a.size()) {
        out.a = a[i];
    }
    if (j < b.size()) {
        out.b = b[j];
    }
    return out;
}

Comparison compare(const RecordedDay& day, const Trial& a, const Trial& b, int runs,
                   const PlayOptions& options) {
    Comparison out{play_often(day, a, runs, options), play_often(day, b, runs, options), {}, {}};
    out.heard = first_parting(out.a.first.trail, out.b.first.trail, false);
    out.decided = first_parting(out.a.first.trail, out.b.first.trail, true);
    return out;
}

std::vector<Difference> differences(const Comparison& comparison) {
    const auto& a = comparison.a.first.run.result;
    const auto& b = comparison.b.first.run.result;
    const auto& fa = a["figures"];
    const auto& fb = b["figures"];
    std::vector<Difference> out;
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
    for (const char* rule : scenario::kAuditRules) {
        put(out, std::string("breaks of rule ") + rule, a["rules"][rule]["broken"],
            b["rules"][rule]["broken"], false);
    }
    return out;
}

std::vector<std::string> changed_settings(const Comparison& comparison) {
    const auto values = [](const Trial& trial) {
        std::map<std::string, std::string> out;
        for (const auto& entry : trial.settings.entries()) {
            out["[" + entry.section + "] " + entry.key] = entry.value;
        }
        if (trial.more_workers != 0) {
            out["[replay] workers"] =
                (trial.more_workers > 0 ? "+" : "") + std::to_string(trial.more_workers);
        }
        if (trial.traffic != 1) {
            out["[replay] traffic"] = (std::ostringstream() << trial.traffic).str();
        }
        if (trial.startup) {
            out["[replay] startup"] = std::to_string(*trial.startup);
        }
        return out;
    };
    const auto a = values(comparison.a.trial);
    const auto b = values(comparison.b.trial);
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

std::vector<std::string> parting_text(const Comparison& comparison) {
    if (!comparison.heard && !comparison.decided) {
        return {"the governors heard and decided the same all day"};
    }
    std::vector<std::string> out;
    const bool heard_first =
        comparison.heard &&
        (!comparison.decided || comparison.heard->at() <= comparison.decided->at());
    const auto tell = [&](const std::optional<Parting>& parting, bool decision) {
        if (!parting) {
            return;
        }
        out.push_back((decision ? "first other decision at " : "first heard otherwise at ") +
                      scenario::format_seconds(parting->at()));
        out.push_back("  A: " + shown(parting->a, decision));
        out.push_back("  B: " + shown(parting->b, decision));
    };
    if (heard_first) {
        tell(comparison.heard, false);
    }
    tell(comparison.decided, true);
    if (!heard_first) {
        tell(comparison.heard, false);
    }
    if (!heard_first && comparison.decided) {
        out.emplace_back(
            "until then they had heard the same: the settings alone made the difference");
    }
    return out;
}

ordered_json to_json(const RecordedDay& day, const Comparison& comparison) {
    ordered_json out;
    out["recording"] = day.header.made_by();
    out["recorded"] = {{"service", day.figures["whole_day"]["service"]},
                       {"worst_10_s", day.figures["worst_10_s"]}};
    out["changed"] = changed_settings(comparison);
    for (const auto& one : differences(comparison)) {
        out["differences"].push_back(
            {{"what", one.name}, {"a", one.a}, {"b", one.b}, {"b_less_a", one.b - one.a}});
    }
    out["first_heard_otherwise"] = parting_json(comparison.heard);
    out["first_other_decision"] = parting_json(comparison.decided);
    out["a"] = setting_json(comparison.a);
    out["b"] = setting_json(comparison.b);
    return out;
}

std::string to_text(const RecordedDay& day, const Comparison& comparison) {
    std::ostringstream out;
    out << std::fixed;
    out << day.header.made_by() << ", " << day.invocations << " invocations";
    out.precision(4);
    if (day.kinds.contains("results")) {
        out << "; as recorded: service " << day.figures["whole_day"]["service"].get<double>();
    }
    out << "\n";
    const auto setting = [&](const char* which, const SettingResult& s) {
        out << which << ": " << s.trial.name << ": " << s.runs << " runs, "
            << (s.same ? "the same to the byte" : "they DIFFER");
        if (!s.same) {
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
    for (const auto& one : differences(comparison)) {
        // Counts that are 0 on both sides say nothing; rules always do.
        if (!one.part && one.a == 0 && one.b == 0 && one.name.find("rule") == std::string::npos) {
            continue;
        }
        out.precision(one.part ? 4 : 0);
        out << "  " << one.name
            << std::string(one.name.size() < 30 ? 30 - one.name.size() : 1, ' ');
        for (const double v : {one.a, one.b, one.b - one.a}) {
            std::ostringstream cell;
            cell.precision(one.part ? 4 : 0);
            cell << std::fixed << v;
            out << std::string(cell.str().size() < 12 ? 12 - cell.str().size() : 1, ' ')
                << cell.str();
        }
        out << "\n";
    }
    for (const auto& text : parting_text(comparison)) {
        out << text << "\n";
    }
    return out.str();
}

}  // namespace badgergrade::replay
