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

// How a replay treats a setting.
enum class SettingKind { Changeable, Ignored, Fixed };

// Settings of the instance's own host (where it listens, how it logs) mean nothing in a replay and
// are ignored, so that a deployment's file can be used as it is. Facts of the recorded scenario are
// fixed.
SettingKind kind_of(const std::string& section, const std::string& key) {
    static const std::set<std::string> kIgnored{
        "governor.id",      "governor.zone", "governor.ordinal", "xds.listen",
        "registry.address", "log.level",     "log.form",         "forwarders.count"};
    static const std::set<std::string> kFixed{"governor.zones", "governor.governors"};
    const std::string name = section + "." + key;
    if (kIgnored.contains(name)) {
        return SettingKind::Ignored;
    }
    return kFixed.contains(name) || section.rfind("operation.", 0) == 0 ? SettingKind::Fixed
                                                                        : SettingKind::Changeable;
}

std::string without_spaces(const std::string& text) {
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

std::optional<double> parse_number(const std::string& text) {
    double out = 0;
    const char* from = text.data() + (!text.empty() && text.front() == '+' ? 1 : 0);
    const auto [end, error] = std::from_chars(from, text.data() + text.size(), out);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(out)) {
        return std::nullopt;
    }
    return out;
}

std::size_t initial_server_count(const RecordedRun& recorded) {
    return static_cast<std::size_t>(
        std::count_if(recorded.input.actions.begin(), recorded.input.actions.end(),
                      [](const scenario::TimedFaultAction& m) {
                          return m.initial && m.action.kind == scenario::FaultActionKind::AddServer;
                      }));
}

class VariantReader {
public:
    VariantReader(const RecordedRun& recorded, Variant& variant, std::vector<ConfigError>& errors)
        : recorded_(recorded),
          variant_(variant),
          errors_(errors) {}

    // Applies one change; `file` and `line` say where it was given.
    void set(const std::string& file, int line, const std::string& section, const std::string& key,
             const std::string& value) {
        const auto report = [&](const std::string& text) {
            errors_.push_back({file, line, "[" + section + "] " + key, text});
        };
        if (section == "replay") {
            return replay_setting(key, value, report);
        }
        const config::IniEntry* entry = find(recorded_.settings, section, key);
        switch (kind_of(section, key)) {
            case SettingKind::Ignored:
                return;
            case SettingKind::Fixed:
                if (!entry || without_spaces(entry->value) != without_spaces(value)) {
                    report("expected no change of what the recording fixes" +
                           (entry ? " (" + entry->value + ")" : std::string()) +
                           ", got another value");
                }
                return;
            case SettingKind::Changeable:
                variant_.settings.set(section, key, value);
        }
    }

private:
    template <class Report>
    void replay_setting(const std::string& key, const std::string& value, const Report& report) {
        const std::string text = without_spaces(value);
        if (key == "workers") {
            return read_server_change(text, report);
        }
        const auto n = parse_number(text);
        if (key == "traffic") {
            if (!n || *n < 0.01 || *n > 10) {
                return report("expected a factor from 0.01 to 10, for example: traffic = 1.2");
            }
            variant_.traffic_factor = *n;
        } else if (key == "startup") {
            if (!n || *n < 1 || *n > 1000 || *n != std::floor(*n)) {
                return report("expected an integer from 1 to 1000, for example: startup = 5");
            }
            variant_.startup_servers = static_cast<int>(*n);
        } else {
            report("unknown key: expected workers, traffic or startup");
        }
    }

    template <class Report>
    void read_server_change(std::string value, const Report& report) {
        const bool percent = !value.empty() && value.back() == '%';
        if (percent) {
            value.pop_back();
        }
        const auto number = parse_number(value);
        const auto recorded_servers = static_cast<double>(initial_server_count(recorded_));
        if (!number || value.empty() || (value.front() != '+' && value.front() != '-')) {
            return report("expected a signed change, for example: workers = +10% or workers = -2");
        }
        const double change =
            percent ? std::copysign(std::ceil(std::abs(*number) / 100 * recorded_servers - 1e-9),
                                    *number)
                    : *number;
        if (change != std::floor(change)) {
            return report("expected an integer or a percentage");
        }
        if (recorded_servers + change < 1) {
            return report("expected at least one server to remain of " +
                          std::to_string(std::llround(recorded_servers)));
        }
        if (recorded_servers + change > 10 * recorded_servers) {
            return report("expected at most ten times the recorded number of servers, which is " +
                          std::to_string(std::llround(recorded_servers)));
        }
        variant_.added_servers = static_cast<int>(change);
    }

    const RecordedRun& recorded_;
    Variant& variant_;
    std::vector<ConfigError>& errors_;
};

// Adds actions to the initial state that add, start and list a server with the settings of `like`.
void add_server_like(scenario::RecordedScenario& input, const testbed::FakeServerSettings& like,
                     const std::string& id) {
    using enum scenario::FaultActionKind;
    scenario::FaultAction add{.kind = AddServer, .target = id, .server_settings = like};
    add.server_settings.id = id;
    std::vector<scenario::TimedFaultAction> actions;
    for (const auto kind : {StartServer, ListServer}) {
        actions.push_back({0us, true, true, {.kind = kind, .target = id}});
    }
    actions.insert(actions.begin(), {0us, true, true, std::move(add)});
    // Among the servers, before the instances and proxies start.
    const auto position = std::find_if(
        input.actions.begin(), input.actions.end(), [](const scenario::TimedFaultAction& m) {
            return !m.initial || m.action.kind == StartInstance || m.action.kind == AddProxy;
        });
    input.actions.insert(position, actions.begin(), actions.end());
}

// Adds servers, each like a random one of the initial servers, or removes the last initial ones.
void change_server_count(scenario::RecordedScenario& input, int added, std::uint64_t seed) {
    std::vector<testbed::FakeServerSettings> initial;
    std::size_t server_count = 0;
    for (const auto& action : input.actions) {
        if (action.action.kind != scenario::FaultActionKind::AddServer) {
            continue;
        }
        ++server_count;
        if (action.initial) {
            initial.push_back(action.action.server_settings);
        }
    }
    for (int n = 0; n < added; ++n) {
        base::CounterRandom random(base::seed_for(seed, "more workers"),
                                   static_cast<std::uint64_t>(n));
        const auto k =
            static_cast<std::size_t>(random.part() * static_cast<double>(initial.size()));
        // The zones of the initial servers in turn, so that the distribution over zones stays as it
        // was.
        testbed::FakeServerSettings like = initial[k];
        like.zone = initial[static_cast<std::size_t>(n) % initial.size()].zone;
        add_server_like(
            input, like,
            scenario::numbered_name("worker", server_count + static_cast<std::size_t>(n)));
    }
    std::set<std::string> dropped;
    for (int n = 0; n < -added; ++n) {
        dropped.insert(initial[initial.size() - 1 - static_cast<std::size_t>(n)].id);
    }
    std::erase_if(input.actions, [&](const scenario::TimedFaultAction& m) {
        return dropped.contains(m.action.target);
    });
}

// Repeats each invocation `factor` times. The fractional part is decided by a random number that
// only depends on the invocation's id. Copies arrive within half a second of the original.
void change_traffic(scenario::RecordedScenario& input, double factor, std::uint64_t seed,
                    Micros length) {
    const std::uint64_t traffic_seed = base::seed_for(seed, "traffic");
    std::uint64_t first_free_id = 1;
    for (const auto& [proxy, invocations] : input.traffic) {
        for (const auto& invocation : invocations) {
            first_free_id = std::max(first_free_id, invocation.id + 1);
        }
    }
    for (auto& [proxy, invocations] : input.traffic) {
        std::vector<testbed::Invocation> out;
        for (const auto& invocation : invocations) {
            base::CounterRandom random(traffic_seed, invocation.id);
            const double whole = std::floor(factor);
            const int copies = static_cast<int>(whole) + (random.part() < factor - whole);
            for (int n = 0; n < copies; ++n) {
                out.push_back(invocation);
                if (n == 0) {
                    continue;
                }
                // The id of a copy follows from the original's, so that its random draws are the
                // same in every replay.
                out.back().id = first_free_id * static_cast<std::uint64_t>(n) + invocation.id;
                out.back().arrived_at = std::clamp(
                    invocation.arrived_at + Micros(std::llround(random.between(-5e5, 5e5))), 0us,
                    length - 1us);
            }
        }
        std::stable_sort(out.begin(), out.end(),
                         [](const auto& a, const auto& b) { return a.arrived_at < b.arrived_at; });
        invocations = std::move(out);
    }
}

}  // namespace

std::optional<std::pair<std::string, std::string>> parse_override(const std::string& text) {
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        return std::nullopt;
    }
    const std::string name = without_spaces(text.substr(0, equals));
    const auto dot = name.rfind('.');
    std::string value = text.substr(equals + 1);
    value.erase(0, value.find_first_not_of(' '));
    if (dot == std::string::npos || dot == 0 || dot + 1 == name.size() || value.empty()) {
        return std::nullopt;
    }
    return std::pair{name, value};
}

Variant read_variant(const RecordedRun& recorded, const std::optional<config::IniFile>& file,
                     const SettingOverrides& overrides, std::vector<ConfigError>& errors) {
    Variant out;
    out.settings = recorded.settings;
    VariantReader reader(recorded, out, errors);
    if (file) {
        out.name = file->name();
        for (const auto& entry : file->entries()) {
            reader.set(file->name(), entry.line, entry.section, entry.key, entry.value);
        }
    }
    for (const auto& [name, value] : overrides) {
        const auto dot = name.rfind('.');
        reader.set("--set", 0, name.substr(0, dot), name.substr(dot + 1), value);
        out.name.append(out.name.empty() ? "" : ", ").append(name).append(" = ").append(value);
    }
    if (out.name.empty()) {
        out.name = "as recorded";
    }
    // Checks the settings as a whole, so that errors are found before the replay.
    if (errors.empty()) {
        make_script(recorded, out, errors);
    }
    return out;
}

scenario::ScenarioScript make_script(const RecordedRun& recorded, const Variant& variant,
                                     std::vector<ConfigError>& errors) {
    auto out = scenario::parse_script(recorded.header.made_by(), recorded.script, variant.settings,
                                      errors);
    if (!errors.empty()) {
        return out;
    }
    out.name = recorded.header.made_by();
    out.seed = recorded.header.seed();
    out.length = recorded.length;
    out.startup_table_size = variant.startup_servers.value_or(out.startup_table_size);
    out.server_count += variant.added_servers;
    out.invocations_per_second *= variant.traffic_factor;
    const auto& columns = out.instance_config.settings.load_metric_names;
    const bool reported =
        std::any_of(recorded.input.actions.begin(), recorded.input.actions.end(),
                    [](const auto& m) { return m.action.server_settings.reports_load; });
    if (!columns.empty() && !reported) {
        errors.push_back(
            {variant.name, 0, "[reports] load_columns",
             "expected load metrics in the recording, but no recorded server reports any"});
    }
    return out;
}

ReplayInput make_replay_input(const RecordedRun& recorded, const Variant& variant,
                              std::vector<ConfigError>& errors) {
    ReplayInput out{make_script(recorded, variant, errors), {}};
    if (!errors.empty()) {
        return out;
    }
    out.input = recorded.input;
    if (variant.added_servers != 0) {
        change_server_count(out.input, variant.added_servers, out.script.seed);
    }
    if (variant.traffic_factor != 1) {
        change_traffic(out.input, variant.traffic_factor, out.script.seed, recorded.length);
    }
    return out;
}

}  // namespace badgergrade::replay
