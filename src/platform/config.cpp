#include "platform/config.h"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "adapter/codec.h"

namespace badgergrade::platform {
namespace {

using Json = nlohmann::json;

/// Most instances in a list: more than a platform has, few enough for the memory of an instance.
constexpr std::size_t kMaxInstances = 65535;
/// Longest id of an instance, in bytes.
constexpr std::size_t kMaxInstanceIdBytes = 128;
/// Deepest nesting of settings: bounds the recursion.
constexpr std::size_t kMaxSettingsDepth = 16;
/// Latest start of an instance, Unix time in milliseconds (the year 5138): keeps the conversion to
/// microseconds in range.
constexpr double kMaxStartedMs = 1e14;
/// Largest weight of an instance.
constexpr double kMaxInstanceWeight = 1e9;
/// Batch window where the settings name none, and the longest one, in milliseconds.
constexpr double kDefaultBatchWindowMs = 4;
constexpr double kMaxBatchWindowMs = 1000;
/// Fewest descriptors an instance can work with: its own, and some for peers.
constexpr int kMinSockets = 16;
/// Bytes of a wrong value that an error text quotes.
constexpr std::size_t kMaxQuotedBytes = 40;

// ---- settings, in the form of the simulator's message

/// A value within the simulator's line. Characters that would end it turn into '_', as in the
/// simulator.
std::string line_value(const Json& value) {
    std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    for (char& c : text) {
        if (c == ' ' || c == ',' || c == '\t' || c == '\n' || c == '\r') {
            c = '_';
        }
    }
    return text;
}

void add_to_line(std::string& line, const std::string& path, const Json& value, std::size_t depth);

void add_object_to_line(std::string& line, const std::string& prefix, const Json& object,
                        std::size_t depth) {
    for (const auto& [key, inner] : object.items()) {
        if (key.find_first_of("\t\n\r=") == std::string::npos) {
            add_to_line(line, prefix + key, inner, depth + 1);
        }
    }
}

/// Objects stand one by one under their index, with their number as `count`.
void add_objects_to_line(std::string& line, const std::string& path, const std::string& prefix,
                         const Json& objects, std::size_t depth) {
    std::size_t index = 0;
    for (const Json& object : objects) {
        add_to_line(line, prefix + std::to_string(index), object, depth + 1);
        ++index;
    }
    line += "\t" + path + ".count=" + std::to_string(objects.size());
}

/// Plain values stand as one list with commas.
void add_values_to_line(std::string& line, const std::string& path, const Json& values) {
    std::string list;
    bool is_first = true;
    for (const Json& value : values) {
        list += (is_first ? "" : ",") + line_value(value);
        is_first = false;
    }
    line += "\t" + path + "=" + list;
}

void add_to_line(std::string& line, const std::string& path, const Json& value, std::size_t depth) {
    if (depth > kMaxSettingsDepth) {
        throw ParseError("settings are nested too deeply at " + path);
    }
    if (value.is_null()) {
        return;
    }
    const std::string prefix = path.empty() ? "" : path + ".";
    if (value.is_object()) {
        add_object_to_line(line, prefix, value, depth);
    } else if (!value.is_array()) {
        line += "\t" + path + "=" + line_value(value);
    } else if (!value.empty() && value.front().is_object()) {
        add_objects_to_line(line, path, prefix, value, depth);
    } else {
        add_values_to_line(line, path, value);
    }
}

Settings parse_settings(const Json& settings) {
    std::string line = "up";
    add_to_line(line, {}, settings, 0);
    return wire::read_settings(wire::WireFields(line));
}

Micros parse_batch_window(const Json& settings) {
    const double ms = settings.value("quantum", kDefaultBatchWindowMs);
    if (!(ms >= 0) || ms > kMaxBatchWindowMs) {
        throw ParseError("settings.quantum is out of range");
    }
    return Micros(std::llround(ms * 1000));
}

// ---- names

/// The strings of a list, or the strings under `key` of its objects.
std::vector<std::string> parse_strings(const Json& list, const char* key) {
    std::vector<std::string> strings;
    for (const Json& element : list) {
        strings.push_back((key ? element.at(key) : element).get<std::string>());
    }
    return strings;
}

/// The platform's name of a load metric. The settings use the simulator's names, the platform's
/// reports others.
std::string platform_metric_name(const std::string& simulator_name) {
    struct NamePair {
        const char* simulator;
        const char* platform;
    };

    static constexpr NamePair kNames[] = {{"active", "inflight"}, {"waiting", "queue"},
                                          {"cpu", "util"},        {"avg_ms", "latency_ms"},
                                          {"rps", "qps"},         {"err_rps", "eps"}};
    for (const NamePair& name : kNames) {
        if (simulator_name == name.simulator) {
            return name.platform;
        }
    }
    return simulator_name;
}

/// The names themselves, with blanks and commas: read from the JSON since the simulator's line
/// replaces these characters.
ProtocolNames parse_protocol_names(const Json& json, const Settings& settings) {
    ProtocolNames names;
    names.zones = parse_strings(json.at("zones"), nullptr);
    names.operations = parse_strings(json.at("request_classes"), "name");
    names.proxy_count = settings.proxy_count;
    for (const std::string& metric : settings.load_metric_names) {
        names.load_metrics.push_back(platform_metric_name(metric));
    }
    if (names.zones.empty()) {
        throw ParseError("settings.zones is empty");
    }
    if (names.operations.empty()) {
        throw ParseError("settings.request_classes is empty");
    }
    return names;
}

// ---- instances

ServerState parse_lifecycle(const std::string& instance_id, const std::string& lifecycle) {
    if (lifecycle == "Ready") {
        return ServerState::Ready;
    }
    if (lifecycle == "Terminating") {
        return ServerState::Draining;
    }
    if (lifecycle == "Gone") {
        return ServerState::Gone;
    }
    throw ParseError(instance_id + ": lifecycle '" + lifecycle.substr(0, kMaxQuotedBytes) + "'");
}

Instance parse_instance(const Json& row) {
    Instance instance;
    instance.id = row.at("instanceId").get<std::string>();
    if (instance.id.empty() || instance.id.size() > kMaxInstanceIdBytes) {
        throw ParseError("an instanceId is 1 to 128 bytes");
    }
    instance.zone = row.value("zone", "");
    instance.state = parse_lifecycle(instance.id, row.at("lifecycle").get<std::string>());
    instance.weight = row.value("weight", 1.0);
    if (!std::isfinite(instance.weight) || instance.weight < 0 ||
        instance.weight > kMaxInstanceWeight) {
        throw ParseError(instance.id + ": weight is out of range");
    }
    instance.started_ms = row.value("startedAtMs", 0.0);
    if (!(instance.started_ms >= 0) || instance.started_ms > kMaxStartedMs) {
        throw ParseError(instance.id + ": startedAtMs is out of range");
    }
    return instance;
}

// Failure guarded against: one entry that can't be read makes the whole list unusable, or takes its
// server away from all proxies. The entry is skipped alone, and its id is kept.
void skip_entry(InstanceList& list, const Json& row, const char* why) {
    list.skipped_entries.emplace_back(why);
    if (!row.is_object()) {
        return;
    }
    const auto id = row.find("instanceId");
    if (id != row.end() && id->is_string()) {
        list.unreadable_ids.push_back(id->get<std::string>());
    }
}

InstanceList parse_instances(const Json& json) {
    InstanceList list;
    list.generation = json.at("generation").get<std::uint64_t>();
    list.is_snapshot = json.value("reset", false);
    const Json& rows = json.at("instances");
    if (!rows.is_array()) {
        throw ParseError("instances is no list");
    }
    if (rows.size() > kMaxInstances) {
        throw ParseError("a list names more than 65535 instances");
    }
    for (const Json& row : rows) {
        try {
            list.instances.push_back(parse_instance(row));
        } catch (const Json::exception& error) {
            skip_entry(list, row, error.what());
        } catch (const ParseError& error) {
            skip_entry(list, row, error.what());
        }
    }
    return list;
}

// ---- configuration

std::uint64_t parse_seed(const Json& value) {
    if (value.is_number_unsigned()) {
        return value.get<std::uint64_t>();
    }
    const std::string text = value.get<std::string>();
    std::uint64_t seed = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error != std::errc{} || end != text.data() + text.size()) {
        throw ParseError("seed is no hexadecimal number: '" + text.substr(0, kMaxQuotedBytes) +
                         "'");
    }
    return seed;
}

NodeConfig parse_config(const Json& json) {
    NodeConfig config;
    config.name = json.value("name", "");
    config.listen = net::parse_address(json.at("listen").get<std::string>());
    config.discovery = net::parse_address(json.at("discovery").get<std::string>());
    if (json.contains("seed")) {
        config.seed = parse_seed(json["seed"]);
    }
    if (const auto limits = json.find("limits"); limits != json.end()) {
        config.max_sockets = limits->value("sockets", config.max_sockets);
        if (config.max_sockets < kMinSockets) {
            throw ParseError("limits.sockets is below 16");
        }
    }
    const Json& settings = json.at("settings");
    if (!settings.is_object()) {
        throw ParseError("settings is no object");
    }
    config.settings = parse_settings(settings);
    config.batch_window = parse_batch_window(settings);
    config.protocol_names = parse_protocol_names(settings, config.settings);
    if (const auto known = json.find("known"); known != json.end() && !known->is_null()) {
        config.initial_list = parse_instances(*known);
    }
    return config;
}

/// Parses the text and hands the JSON to `parse`. All failures, those of the JSON library included,
/// come out as ParseError.
template <class Parse>
auto parse_json(const std::string& text, Parse parse) {
    try {
        return parse(Json::parse(text));
    } catch (const Json::exception& error) {
        throw ParseError(error.what());
    } catch (const wire::InvalidLine& error) {
        throw ParseError(std::string("settings: ") + error.what());
    } catch (const std::invalid_argument& error) {
        throw ParseError(error.what());
    }
}

}  // namespace

NodeConfig read_config(const std::string& json) {
    return parse_json(json, parse_config);
}

InstanceList read_instances(const std::string& json) {
    return parse_json(json, parse_instances);
}

}  // namespace badgergrade::platform
