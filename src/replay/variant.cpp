#include "replay/variant.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

#include "base/random.h"

namespace badgergrade::replay {

using namespace std::chrono_literals;
using config::ConfigError;

namespace {

enum class Whose { User, Place, Day };

// A place's own (where it listens, how it logs) says nothing in a replay and is passed over; a fact
// of the day can't be changed after it.
Whose whose(const std::string& section, const std::string& key) {
    static const std::set<std::string> kPlaces{
        "governor.id",      "governor.zone", "governor.ordinal", "xds.listen",
        "registry.address", "log.level",     "log.form",         "forwarders.count"};
    static const std::set<std::string> kFacts{"governor.zones", "governor.governors"};
    const std::string name = section + "." + key;
    if (kPlaces.contains(name)) {
        return Whose::Place;
    }
    return kFacts.contains(name) || section.rfind("operation.", 0) == 0 ? Whose::Day : Whose::User;
}

std::string squeezed(const std::string& text) {
    std::string out;
    for (const char c : text) {
        if (c != ' ' && c != '\t') {
            out += c;
        }
    }
    return out;
}

const config::IniEntry* find(const config::IniFile& file, const std::string& section,
                             const std::string& key) {
    const auto& all = file.entries();
    const auto it = std::find_if(all.begin(), all.end(), [&](const auto& e) {
        return e.section == section && e.key == key;
    });
    return it == all.end() ? nullptr : &*it;
}

std::optional<double> number(const std::string& text) {
    double out = 0;
    const char* from = text.data() + (!text.empty() && text.front() == '+' ? 1 : 0);
    const auto [end, bad] = std::from_chars(from, text.data() + text.size(), out);
    if (bad != std::errc{} || end != text.data() + text.size() || !std::isfinite(out)) {
        return std::nullopt;
    }
    return out;
}

std::size_t workers_of(const RecordedRun& day) {
    return static_cast<std::size_t>(
        std::count_if(day.input.actions.begin(), day.input.actions.end(),
                      [](const scenario::TimedFaultAction& m) {
                          return m.initial && m.action.kind == scenario::FaultActionKind::AddServer;
                      }));
}

class VariantReader {
public:
    VariantReader(const RecordedRun& day, Variant& variant, std::vector<ConfigError>& mistakes)
        : day_(day),
          variant_(variant),
          mistakes_(mistakes) {}

    void set(const std::string& file, int line, const std::string& section, const std::string& key,
             const std::string& value) {
        const auto wrong = [&](const std::string& text) {
            mistakes_.push_back({file, line, "[" + section + "] " + key, text});
        };
        if (section == "replay") {
            return ready_made(key, value, wrong);
        }
        const config::IniEntry* now = find(day_.settings, section, key);
        switch (whose(section, key)) {
            case Whose::Place:
                return;
            case Whose::Day:
                if (!now || squeezed(now->value) != squeezed(value)) {
                    wrong("is a fact of the recorded day" +
                          (now ? " (" + now->value + ")" : std::string()) +
                          " and can't be tried after it");
                }
                return;
            case Whose::User:
                variant_.settings.set(section, key, value);
        }
    }

private:
    template <class Wrong>
    void ready_made(const std::string& key, const std::string& value, const Wrong& wrong) {
        const std::string text = squeezed(value);
        if (key == "workers") {
            return workers(text, wrong);
        }
        const auto n = number(text);
        if (key == "traffic") {
            if (!n || *n < 0.01 || *n > 10) {
                return wrong("is a factor from 0.01 to 10; for example: traffic = 1.2");
            }
            variant_.traffic_factor = *n;
        } else if (key == "startup") {
            if (!n || *n < 1 || *n > 1000 || *n != std::floor(*n)) {
                return wrong("is a whole number from 1 to 1000; for example: startup = 5");
            }
            variant_.startup_servers = static_cast<int>(*n);
        } else {
            wrong("is none of: workers, traffic, startup");
        }
    }

    template <class Wrong>
    void workers(std::string text, const Wrong& wrong) {
        const bool percent = !text.empty() && text.back() == '%';
        if (percent) {
            text.pop_back();
        }
        const auto n = number(text);
        const auto now = static_cast<double>(workers_of(day_));
        if (!n || text.empty() || (text.front() != '+' && text.front() != '-')) {
            return wrong("is a change; for example: workers = +10% or workers = -2");
        }
        const double more =
            percent ? std::copysign(std::ceil(std::abs(*n) / 100 * now - 1e-9), *n) : *n;
        if (more != std::floor(more)) {
            return wrong("is a whole number of workers or a part in %");
        }
        if (now + more < 1) {
            return wrong("leaves no worker of " + std::to_string(std::llround(now)));
        }
        if (now + more > 10 * now) {
            return wrong("is more than ten times the recorded " +
                         std::to_string(std::llround(now)));
        }
        variant_.added_servers = static_cast<int>(more);
    }

    const RecordedRun& day_;
    Variant& variant_;
    std::vector<ConfigError>& mistakes_;
};

// ---- ready-made changes

// The opening's moves that add one worker like this one, under another name.
void add_like(scenario::RecordedScenario& world, const testbed::FakeServerSettings& like,
              const std::string& id) {
    using enum scenario::FaultActionKind;
    scenario::FaultAction add{.kind = AddServer, .target = id, .server_settings = like};
    add.server_settings.id = id;
    std::vector<scenario::TimedFaultAction> moves;
    for (const auto kind : {StartServer, ListServer}) {
        moves.push_back({0us, true, true, {.kind = kind, .target = id}});
    }
    moves.insert(moves.begin(), {0us, true, true, std::move(add)});
    // Among the workers, before governors and forwarders start.
    const auto at = std::find_if(
        world.actions.begin(), world.actions.end(), [](const scenario::TimedFaultAction& m) {
            return !m.initial || m.action.kind == StartInstance || m.action.kind == AddProxy;
        });
    world.actions.insert(at, moves.begin(), moves.end());
}

void change_workers(scenario::RecordedScenario& world, int more, std::uint64_t seed) {
    std::vector<testbed::FakeServerSettings> opening;
    std::size_t all = 0;
    for (const auto& move : world.actions) {
        if (move.action.kind != scenario::FaultActionKind::AddServer) {
            continue;
        }
        ++all;
        if (move.initial) {
            opening.push_back(move.action.server_settings);
        }
    }
    for (int n = 0; n < more; ++n) {
        base::CounterRandom luck(base::seed_for(seed, "more workers"),
                                 static_cast<std::uint64_t>(n));
        const auto k = static_cast<std::size_t>(luck.part() * static_cast<double>(opening.size()));
        // Zones in turn, so that the fleet stays as even as it was.
        testbed::FakeServerSettings like = opening[k];
        like.zone = opening[static_cast<std::size_t>(n) % opening.size()].zone;
        add_like(world, like, scenario::numbered_name("worker", all + static_cast<std::size_t>(n)));
    }
    std::set<std::string> dropped;
    for (int n = 0; n < -more; ++n) {
        dropped.insert(opening[opening.size() - 1 - static_cast<std::size_t>(n)].id);
    }
    std::erase_if(world.actions, [&](const scenario::TimedFaultAction& m) {
        return dropped.contains(m.action.target);
    });
}

// Whole times are copies, the rest is drawn by id; copies come within half a second of their first.
void change_traffic(scenario::RecordedScenario& world, double times, std::uint64_t seed,
                    Micros length) {
    const std::uint64_t drawn = base::seed_for(seed, "traffic");
    std::uint64_t next = 1;
    for (const auto& [forwarder, list] : world.traffic) {
        for (const auto& one : list) {
            next = std::max(next, one.id + 1);
        }
    }
    for (auto& [forwarder, list] : world.traffic) {
        std::vector<testbed::Invocation> out;
        for (const auto& one : list) {
            base::CounterRandom luck(drawn, one.id);
            const double whole = std::floor(times);
            const int copies = static_cast<int>(whole) + (luck.part() < times - whole);
            for (int n = 0; n < copies; ++n) {
                out.push_back(one);
                if (n == 0) {
                    continue;
                }
                // Ids of copies follow from the first one's, so that the same luck falls to them
                // every time.
                out.back().id = next * static_cast<std::uint64_t>(n) + one.id;
                out.back().arrived_at =
                    std::clamp(one.arrived_at + Micros(std::llround(luck.between(-5e5, 5e5))), 0us,
                               length - 1us);
            }
        }
        std::stable_sort(out.begin(), out.end(),
                         [](const auto& a, const auto& b) { return a.arrived_at < b.arrived_at; });
        list = std::move(out);
    }
}

}  // namespace

std::optional<std::pair<std::string, std::string>> parse_override(const std::string& text) {
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        return std::nullopt;
    }
    const std::string name = squeezed(text.substr(0, equals));
    const auto dot = name.rfind('.');
    std::string value = text.substr(equals + 1);
    value.erase(0, value.find_first_not_of(' '));
    if (dot == std::string::npos || dot == 0 || dot + 1 == name.size() || value.empty()) {
        return std::nullopt;
    }
    return std::pair{name, value};
}

Variant read_variant(const RecordedRun& day, const std::optional<config::IniFile>& file,
                     const SettingOverrides& sets, std::vector<ConfigError>& mistakes) {
    Variant out;
    out.settings = day.settings;
    VariantReader reader(day, out, mistakes);
    if (file) {
        out.name = file->name();
        for (const auto& entry : file->entries()) {
            reader.set(file->name(), entry.line, entry.section, entry.key, entry.value);
        }
    }
    for (const auto& [name, value] : sets) {
        const auto dot = name.rfind('.');
        reader.set("--set", 0, name.substr(0, dot), name.substr(dot + 1), value);
        out.name.append(out.name.empty() ? "" : ", ").append(name).append(" = ").append(value);
    }
    if (out.name.empty()) {
        out.name = "as recorded";
    }
    // The settings as a whole, before the run.
    if (mistakes.empty()) {
        make_script(day, out, mistakes);
    }
    return out;
}

scenario::ScenarioScript make_script(const RecordedRun& day, const Variant& variant,
                                     std::vector<ConfigError>& mistakes) {
    auto out = scenario::parse_script(day.header.made_by(), day.script, variant.settings, mistakes);
    if (!mistakes.empty()) {
        return out;
    }
    out.name = day.header.made_by();
    out.seed = day.header.seed();
    out.length = day.length;
    out.startup_table_size = variant.startup_servers.value_or(out.startup_table_size);
    out.server_count += variant.added_servers;
    out.invocations_per_second *= variant.traffic_factor;
    const auto& columns = out.instance_config.settings.load_metric_names;
    const bool told =
        std::any_of(day.input.actions.begin(), day.input.actions.end(),
                    [](const auto& m) { return m.action.server_settings.reports_load; });
    if (!columns.empty() && !told) {
        mistakes.push_back({variant.name, 0, "[reports] load_columns",
                            "asks for what no worker of the recorded day reported"});
    }
    return out;
}

ReplayInput make_replay_input(const RecordedRun& day, const Variant& variant,
                              std::vector<ConfigError>& mistakes) {
    ReplayInput out{make_script(day, variant, mistakes), {}};
    if (!mistakes.empty()) {
        return out;
    }
    out.input = day.input;
    if (variant.added_servers != 0) {
        change_workers(out.input, variant.added_servers, out.script.seed);
    }
    if (variant.traffic_factor != 1) {
        change_traffic(out.input, variant.traffic_factor, out.script.seed, day.length);
    }
    return out;
}

}  // namespace badgergrade::replay
