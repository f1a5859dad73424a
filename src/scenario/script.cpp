#include "scenario/script.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>

namespace badgergrade::scenario {
namespace {

using namespace std::chrono_literals;
using config::ConfigError;

// The syntax of a fault: its targets and its options.
struct FaultSpec {
    FaultKind kind;
    const char* name;
    const char* targets;   // workers, forwarders, zone, governor or none
    const char* required;  // options that must be given
    const char* optional;  // options that may be given
};

constexpr FaultSpec kFaultSpecs[] = {
    {FaultKind::Crash, "crash", "workers", "", "for unlisted"},
    {FaultKind::Hang, "hang", "workers", "for", ""},
    {FaultKind::FastErrors, "fast-errors", "workers", "by for", ""},
    {FaultKind::Slow, "slow", "workers", "by for", ""},
    {FaultKind::GradualSlowdown, "ageing", "workers", "by for", "down"},
    {FaultKind::Flapping, "flapping", "workers", "turn by for", "how unlisted"},
    {FaultKind::ZoneCut, "zone-cut", "zone", "for", ""},
    {FaultKind::ZoneLoss, "zone-loss", "zone", "for", "with-forwarders with-governors"},
    {FaultKind::Burst, "burst", "none", "by for", ""},
    {FaultKind::Shift, "shift", "zone", "by", "over"},
    {FaultKind::SlowChannel, "slow-channel", "none", "by for", ""},
    {FaultKind::StreamsBreak, "streams-break", "forwarders", "", ""},
    {FaultKind::InstancesUnreachable, "governors-unreachable", "forwarders", "for", ""},
    {FaultKind::InstanceCrash, "governor-crash", "governor", "for", ""},
    {FaultKind::NoisyNeighbour, "neighbour", "workers", "by for", "turn"},
    {FaultKind::ConnectionLimit, "conn-squeeze", "workers", "by for", ""},
    {FaultKind::ShortAttemptTimeouts, "give-up", "none", "by for", ""},
    {FaultKind::StaleList, "wrong-list", "none", "for by", ""},
    {FaultKind::AddServers, "grow", "workers", "", ""},
    {FaultKind::ResponsesLost, "answers-lost", "workers", "by for", ""},
    {FaultKind::SlowLink, "slow-link", "zone", "wait for", "by"},
    {FaultKind::LoadUnderreported, "counters-falling", "workers", "by for", ""},
    {FaultKind::Drain, "drain", "workers", "", "for"},
    {FaultKind::ProxyCrash, "forwarder-crash", "forwarders", "for", ""},
    {FaultKind::ProxyStall, "forwarder-stall", "forwarders", "for", ""},
    {FaultKind::RegistryHang, "registry-hang", "none", "for", ""},
    {FaultKind::RegistryRestart, "registry-restart", "none", "", "how"},
    {FaultKind::RegistryGarbage, "registry-garbage", "none", "for", ""},
};

struct ScriptError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The words of one line, read from the front. `expected` names the value in error messages.
class Words {
public:
    explicit Words(const std::string& line) {
        std::istringstream words(line.substr(0, line.find('#')));
        for (std::string word; words >> word;) {
            words_.push_back(word);
        }
    }

    bool empty() const { return position_ >= words_.size(); }

    const std::string& peek() const {
        static const std::string kNone;
        return empty() ? kNone : words_[position_];
    }

    std::string word(const char* expected) {
        if (empty()) {
            throw ScriptError(std::string("expected ") + expected + ", got the end of the line");
        }
        return words_[position_++];
    }

    bool skip(const char* word) { return peek() == word ? (++position_, true) : false; }

    // "25%" and "0.25" both give 0.25.
    double fraction(const char* expected) {
        const std::string text = word(expected);
        const bool percent = !text.empty() && text.back() == '%';
        return number_of(percent ? text.substr(0, text.size() - 1) : text, expected) /
               (percent ? 100 : 1);
    }

    double line_number(const char* expected) { return number_of(word(expected), expected); }

    int integer(const char* expected, int minimum, int maximum) {
        const double n = line_number(expected);
        if (n != std::floor(n) || n < minimum || n > maximum) {
            throw ScriptError(std::string(expected) + ": expected an integer from " +
                              std::to_string(minimum) + " to " + std::to_string(maximum) +
                              ", got " + std::to_string(n));
        }
        return static_cast<int>(n);
    }

    Range range(const char* expected) {
        const std::string text = word(expected);
        const auto dots = text.find("..");
        if (dots == std::string::npos) {
            const double one = number_of(text, expected);
            return {one, one};
        }
        const Range out{number_of(text.substr(0, dots), expected),
                        number_of(text.substr(dots + 2), expected)};
        if (out.low > out.high) {
            throw ScriptError(std::string(expected) + ": expected LOW..HIGH, got '" + text + "'");
        }
        return out;
    }

    Micros time(const char* expected) {
        std::string text = word(expected);
        if (is_unit(peek())) {
            text += " " + words_[position_++];
        }
        std::string error;
        const auto out = config::parse_time(text, error);
        if (!out) {
            throw ScriptError(error);
        }
        if (*out < 0us) {
            throw ScriptError(std::string(expected) + ": expected a time of at least 0, got '" +
                              text + "'");
        }
        return *out;
    }

    // "80..370 ms" as a range of microseconds.
    Range times(const char* expected) {
        const Range numbers = range(expected);
        const std::string unit = word("a unit of time");
        std::string error;
        const auto one = config::parse_time("1 " + unit, error);
        if (!one) {
            throw ScriptError(error);
        }
        const auto us = static_cast<double>(one->count());
        return {numbers.low * us, numbers.high * us};
    }

private:
    static bool is_unit(const std::string& word) {
        return word == "us" || word == "ms" || word == "s" || word == "min" || word == "h";
    }

    static double number_of(const std::string& text, const char* expected) {
        double out = 0;
        const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), out);
        if (bad != std::errc{} || end != text.data() + text.size() || !std::isfinite(out) ||
            out < 0) {
            throw ScriptError(std::string(expected) + ": expected a number of at least 0, got '" +
                              text + "'");
        }
        return out;
    }

    std::vector<std::string> words_;
    std::size_t position_ = 0;
};

bool contains_word(const std::string& words, const std::string& word) {
    std::istringstream stream(words);
    for (std::string one; stream >> one;) {
        if (one == word) {
            return true;
        }
    }
    return false;
}

MachineKind read_kind(Words& words) {
    MachineKind out;
    out.name = words.word("a name");
    while (!words.empty()) {
        const std::string key = words.word("an option");
        if (key == "share") {
            out.share = words.fraction("share");
        } else if (key == "cores") {
            out.cores = words.integer("cores", 1, 1024);
        } else if (key == "speed") {
            out.speed = words.range("speed");
        } else if (key == "queue") {
            out.max_queued_per_core = words.range("queue");
        } else if (key == "connections") {
            out.max_connections = words.range("connections");
        } else {
            throw ScriptError("expected one of: share, cores, speed, queue, connections; got '" +
                              key + "'");
        }
    }
    if (out.speed.low <= 0) {
        throw ScriptError("speed: expected above 0, got " + std::to_string(out.speed.low));
    }
    return out;
}

OperationLoad read_operation(Words& words) {
    OperationLoad out;
    out.name = words.word("a name");
    out.mean_work = 100ms;
    while (!words.empty()) {
        const std::string key = words.word("an option");
        if (key == "share") {
            out.share = words.fraction("share");
        } else if (key == "work") {
            out.mean_work = words.time("work");
        } else if (key == "cv") {
            out.work_cv = words.line_number("cv");
        } else {
            throw ScriptError("expected one of: share, work, cv; got '" + key + "'");
        }
    }
    return out;
}

void read_targets(Words& words, const FaultSpec& spec, Fault& out) {
    const std::string targets = spec.targets;
    if (targets == "none") {
        return;
    }
    if (targets == "zone" || targets == "governor") {
        out.target_name = words.word(targets == "zone" ? "a zone" : "a governor's number");
        return;
    }
    if (words.skip(targets.c_str())) {
        const std::string text = words.peek();
        if (!text.empty() && text.back() == '%') {
            out.target_fraction = words.fraction("a fraction");
        } else {
            out.target_count = words.integer("a number", 1, 100000);
        }
        if (out.target_fraction > 1) {
            throw ScriptError("expected at most 100%, got '" + text + "'");
        }
    } else {
        out.target_name = words.word((targets + " and how many, or the name of one").c_str());
    }
}

Fault read_fault(Words& words, int line) {
    Fault out;
    out.line = line;
    out.begin = words.time("a time");
    out.name = words.word("a fault");
    const auto spec = std::find_if(std::begin(kFaultSpecs), std::end(kFaultSpecs),
                                   [&](const FaultSpec& s) { return out.name == s.name; });
    if (spec == std::end(kFaultSpecs)) {
        std::vector<std::string> names;
        for (const FaultSpec& s : kFaultSpecs) {
            names.emplace_back(s.name);
        }
        const std::string suggestion = config::closest_word(out.name, names);
        throw ScriptError("unknown fault '" + out.name + "'" +
                          (suggestion.empty() ? "" : "; did you mean " + suggestion + "?"));
    }
    out.kind = spec->kind;
    read_targets(words, *spec, out);
    std::string given_options;
    while (!words.empty()) {
        const std::string key = words.word("an option");
        if (!contains_word(spec->required, key) && !contains_word(spec->optional, key)) {
            throw ScriptError("'" + key + "' is not an option of " + out.name +
                              "; expected one of: " + spec->required + " " + spec->optional);
        }
        given_options += key + " ";
        if (key == "for") {
            out.duration = words.time("for");
        } else if (key == "by") {
            out.magnitude = words.fraction("by");
        } else if (key == "turn") {
            out.period = words.time("turn");
        } else if (key == "over") {
            out.ramp_time = words.time("over");
        } else if (key == "down") {
            out.downtime = words.time("down");
        } else if (key == "wait") {
            out.delay = words.time("wait");
        } else if (key == "how") {
            out.mode = words.word("how");
        } else if (key == "unlisted") {
            out.unlisted = true;
        } else if (key == "with-forwarders") {
            out.with_proxies = true;
        } else if (key == "with-governors") {
            out.with_instances = true;
        }
    }
    std::istringstream required(spec->required);
    for (std::string need; required >> need;) {
        if (!contains_word(given_options, need)) {
            throw ScriptError(out.name + " requires '" + need + "'");
        }
    }
    return out;
}

void check(ScenarioScript& script, const std::string& name, std::vector<ConfigError>& errors) {
    const auto report_error = [&](int line, const std::string& text) {
        errors.push_back({name, line, "", text});
    };
    if (script.length <= 0us) {
        report_error(0, "expected a length above 0, for example: length 60 s");
    }
    if (script.length > 24h) {
        report_error(0, "expected a length of at most 24 h");
    }
    if (script.server_count <= 0) {
        report_error(0, "expected a number of workers, for example: workers 24");
    }
    if (script.proxy_count <= 0) {
        report_error(0, "expected a number of forwarders, for example: forwarders 20");
    }
    if (script.invocations_per_second <= 0) {
        report_error(0, "expected a rate above 0, for example: rate 130");
    }
    if (script.invocations_per_second * static_cast<double>(script.length.count()) / 1e6 > 2e6) {
        report_error(0, "expected at most 2 million invocations; reduce the length or the rate");
    }
    if (script.machine_kinds.empty()) {
        script.machine_kinds.push_back({"plain", 1, 2, {1, 1}, {10, 10}, {200, 200}});
    }
    std::vector<OperationLoad> ordered;
    for (const Operation& op : script.instance_config.settings.operations) {
        const auto at = std::find_if(script.operations.begin(), script.operations.end(),
                                     [&](const auto& o) { return o.name == op.name; });
        if (at == script.operations.end()) {
            report_error(
                0, "operation " + op.name + " of the settings has no operation line in the script");
        } else {
            ordered.push_back(*at);
        }
    }
    for (const auto& op : script.operations) {
        if (std::none_of(ordered.begin(), ordered.end(),
                         [&](const auto& o) { return o.name == op.name; })) {
            report_error(op.line, "operation " + op.name + " is not in the settings");
        }
    }
    script.operations = std::move(ordered);
    for (const Fault& fault : script.faults) {
        if (fault.begin > script.length) {
            report_error(fault.line, fault.name + " begins after the day's end");
        }
        const auto& zones = script.instance_config.zones;
        const bool zone_wanted = fault.kind == FaultKind::ZoneCut ||
                                 fault.kind == FaultKind::ZoneLoss ||
                                 fault.kind == FaultKind::SlowLink ||
                                 (fault.kind == FaultKind::Shift && fault.target_name != "mix");
        if (zone_wanted &&
            std::find(zones.begin(), zones.end(), fault.target_name) == zones.end()) {
            report_error(fault.line,
                         "expected a zone of the settings, got '" + fault.target_name + "'");
        }
        if (fault.kind == FaultKind::InstanceCrash) {
            int which = -1;
            const auto [end, bad] =
                std::from_chars(fault.target_name.data(),
                                fault.target_name.data() + fault.target_name.size(), which);
            if (bad != std::errc{} || end != fault.target_name.data() + fault.target_name.size() ||
                which < 0 || which >= script.instance_count) {
                report_error(fault.line, "expected a governor from 0 to governors - 1, got '" +
                                             fault.target_name + "'");
            }
        }
    }
}

}  // namespace

std::string settings_file_name(const std::string& text) {
    std::istringstream words(text);
    for (std::string line; std::getline(words, line);) {
        Words words(line);
        if (words.skip("settings") && !words.empty()) {
            return words.word("a file");
        }
    }
    return {};
}

ScenarioScript parse_script(const std::string& name, const std::string& text,
                            const config::IniFile& settings, std::vector<ConfigError>& errors) {
    ScenarioScript script;
    script.name = std::filesystem::path(name).stem().string();
    script.text = text;
    script.settings = settings;
    script.client_retry_backoff = 100ms;
    script.cache_ttl = 5s;
    script.same_zone_delay = 200us;
    script.cross_zone_delay = 600us;
    script.unlist_delay_us = {1e6, 3e6};
    script.list_delay_us = {3e5, 2e6};
    script.update_delay_us = {2e4, 2e4};
    script.reconnect_delay_us = {6e5, 2e6};
    int line_number = 0;
    using Reader = std::function<void(Words&)>;
    const std::map<std::string, Reader> readers{
        {"settings",
         [&](Words& words) {
             words.word("a file");
         }},
        {"seed",
         [&](Words& words) {
             script.seed = static_cast<std::uint64_t>(words.integer("seed", 0, 2000000000));
         }},
        {"length",
         [&](Words& words) {
             script.length = words.time("length");
         }},
        {"workers",
         [&](Words& words) {
             script.server_count = words.integer("workers", 1, 20000);
         }},
        {"forwarders",
         [&](Words& words) {
             script.proxy_count = words.integer("forwarders", 1, 20000);
         }},
        {"governors",
         [&](Words& words) {
             script.instance_count = words.integer("governors", 1, 16);
         }},
        {"rate",
         [&](Words& words) {
             script.invocations_per_second = words.line_number("rate");
         }},
        {"kind",
         [&](Words& words) {
             script.machine_kinds.push_back(read_kind(words));
         }},
        {"operation",
         [&](Words& words) {
             script.operations.push_back(read_operation(words));
             script.operations.back().line = line_number;
         }},
        {"startup",
         [&](Words& words) {
             script.startup_table_size = words.integer("startup", 1, 1000);
         }},
        {"redial",
         [&](Words& words) {
             script.reconnect_delay_us = words.times("redial");
         }},
        {"set",
         [&](Words& words) {
             const std::string section = words.word("a section");
             const std::string key = words.word("a key");
             std::string value = words.word("a value");
             while (!words.empty()) {
                 value += " " + words.word("a value");
             }
             script.settings.set(section, key, value);
         }},
        {"keys",
         [&](Words& words) {
             script.key_count = words.integer("keys", 1, 10000000);
             while (!words.empty()) {
                 const std::string key = words.word("an option");
                 if (key == "zipf") {
                     script.key_zipf_exponent = words.line_number("zipf");
                 } else if (key == "gain") {
                     script.cache_saving_fraction = words.fraction("gain");
                 } else if (key == "kept") {
                     script.cache_ttl = words.time("kept");
                 } else {
                     throw ScriptError("expected one of: zipf, gain, kept; got '" + key + "'");
                 }
             }
         }},
        {"clients",
         [&](Words& words) {
             while (!words.empty()) {
                 const std::string key = words.word("an option");
                 if (key == "retries") {
                     script.client_retries = words.integer("retries", 0, 10);
                 } else if (key == "wait") {
                     script.client_retry_backoff = words.time("wait");
                 } else if (key == "try-share") {
                     script.client_attempt_timeout_fraction = words.fraction("try-share");
                 } else {
                     throw ScriptError("expected one of: retries, wait, try-share; got '" + key +
                                       "'");
                 }
             }
         }},
        {"list",
         [&](Words& words) {
             while (!words.empty()) {
                 const std::string key = words.word("an option");
                 if (key == "gone") {
                     script.unlist_delay_us = words.times("gone");
                 } else if (key == "new") {
                     script.list_delay_us = words.times("new");
                 } else {
                     throw ScriptError("expected one of: gone, new; got '" + key + "'");
                 }
             }
         }},
        {"way",
         [&](Words& words) {
             while (!words.empty()) {
                 const std::string key = words.word("an option");
                 if (key == "same") {
                     script.same_zone_delay = words.time("same");
                 } else if (key == "cross") {
                     script.cross_zone_delay = words.time("cross");
                 } else if (key == "orders") {
                     script.update_delay_us = words.times("orders");
                 } else {
                     throw ScriptError("expected one of: same, cross, orders; got '" + key + "'");
                 }
             }
         }},
    };
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        ++line_number;
        Words words(line);
        if (words.empty()) {
            continue;
        }
        try {
            const std::string word = words.word("an option");
            if (word == "at") {
                script.faults.push_back(read_fault(words, line_number));
            } else if (const auto reader = readers.find(word); reader != readers.end()) {
                reader->second(words);
                if (!words.empty()) {
                    throw ScriptError("'" + words.peek() + "' is unexpected at the end of '" +
                                      word + "'");
                }
            } else {
                std::vector<std::string> known{"at"};
                for (const auto& [key, unused] : readers) {
                    known.push_back(key);
                }
                const std::string suggestion = config::closest_word(word, known);
                throw ScriptError("unknown statement '" + word + "'" +
                                  (suggestion.empty() ? "" : "; did you mean " + suggestion + "?"));
            }
        } catch (const ScriptError& report_error) {
            errors.push_back({name, line_number, "", report_error.what()});
        }
    }
    std::stable_sort(script.faults.begin(), script.faults.end(),
                     [](const auto& a, const auto& b) { return a.begin < b.begin; });
    // The size of the fleet comes from the script, not from the settings.
    script.settings.set("forwarders", "count", std::to_string(std::max(1, script.proxy_count)));
    script.settings.set("governor", "governors", std::to_string(script.instance_count));
    script.settings.set("governor", "ordinal", "0");
    script.instance_config = config::read_instance_config(script.settings, errors);
    if (errors.empty()) {
        check(script, name, errors);
    }
    return script;
}

ScenarioScript load_script(const std::string& path, std::vector<ConfigError>& errors) {
    std::ifstream words(path, std::ios::binary);
    if (!words) {
        throw std::runtime_error(path + ": cannot open the file");
    }
    std::ostringstream text;
    text << words.rdbuf();
    const std::string settings = settings_file_name(text.str());
    if (settings.empty()) {
        errors.push_back(
            {path, 0, "", "expected a settings line, for example: settings governor.ini"});
        return {};
    }
    const auto beside = (std::filesystem::path(path).parent_path() / settings).string();
    const auto file = config::IniFile::load(beside, errors);
    return parse_script(path, text.str(), file, errors);
}

}  // namespace badgergrade::scenario
