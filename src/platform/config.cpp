#include "platform/config.h"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "adapter/codec.h"

namespace badgergrade::platform {
namespace {

using Json = nlohmann::json;

/// Limit of servers in a list: more than a platform has, and few enough for the memory of a control
/// plane instance.
constexpr std::size_t kMaxServers = 65535;
/// Limit of the length of a server's id.
constexpr std::size_t kMaxServerIdBytes = 128;
/// Limit of nested objects in the settings; bounds the recursion of add_to_line(). Arrays within
/// arrays do not count: line_value() recurses over them without a limit.
constexpr std::size_t kMaxSettingsDepth = 16;
/// Latest start of a server, Unix time in milliseconds (the year 5138). Keeps the conversion to
/// microseconds in range.
constexpr double kMaxStartedMs = 1e14;
/// Largest weight of a server.
constexpr double kMaxServerWeight = 1e9;
/// Default and maximum of the batch window, in milliseconds.
constexpr double kDefaultBatchWindowMs = 4;
constexpr double kMaxBatchWindowMs = 1000;
/// Minimum of the descriptor limit, meant for the process's own descriptors and a few peers. Not
/// enough for both: the server reserves 20 descriptors and admits at least 8 connections, whatever
/// the limit is (platform_server.cpp), so that a limit below 28 can be exceeded.
constexpr int kMinSockets = 16;
/// Range of the memory limit, in megabytes. An idle process takes about 8.
constexpr double kMinMemoryMb = 8;
constexpr double kMaxMemoryMb = 1024 * 1024;
constexpr double kBytesPerMb = 1024 * 1024;
/// Limit of the bytes of an invalid value that an error message quotes.
constexpr std::size_t kMaxQuotedBytes = 40;

// ---- settings, converted to the simulator's start message

/// Formats a value of the start message. Blanks, commas, tabs and line breaks, which separate
/// values, fields and lines, are replaced by '_', as the simulator does.
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

/// Adds the members of an object. A member is skipped if its name has a character that would end
/// the name, the field or the line.
void add_object_to_line(std::string& line, const std::string& prefix, const Json& object,
                        std::size_t depth) {
    for (const auto& [key, inner] : object.items()) {
        if (key.find_first_of("\t\n\r=") == std::string::npos) {
            add_to_line(line, prefix + key, inner, depth + 1);
        }
    }
}

/// Adds each object of an array under its index, and the length of the array as `count`.
void add_objects_to_line(std::string& line, const std::string& path, const std::string& prefix,
                         const Json& objects, std::size_t depth) {
    std::size_t index = 0;
    for (const Json& object : objects) {
        add_to_line(line, prefix + std::to_string(index), object, depth + 1);
        ++index;
    }
    line += "\t" + path + ".count=" + std::to_string(objects.size());
}

/// Adds an array of plain values as one comma-separated list.
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
        throw ParseError("field \"settings." + path +
                         "\": expected at most 16 levels of nesting, got more");
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
        throw ParseError("field \"settings.quantum\": expected 0 to 1000 ms, got " +
                         std::to_string(ms));
    }
    return Micros(std::llround(ms * 1000));
}

// ---- names

/// Returns the strings of an array, or, if `key` is not null, the string under `key` of each of its
/// objects.
std::vector<std::string> parse_strings(const Json& list, const char* key) {
    std::vector<std::string> strings;
    for (const Json& element : list) {
        strings.push_back((key ? element.at(key) : element).get<std::string>());
    }
    return strings;
}

/// Returns the platform's name of a load metric: the settings use the simulator's names, while the
/// platform's reports use names of their own.
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

/// Reads the names of zones and operations from the settings' JSON: the simulator's start message,
/// from which `settings` was parsed, can't hold blanks and commas, so that `settings` has '_' for
/// them.
ProtocolNames parse_protocol_names(const Json& json, const Settings& settings) {
    ProtocolNames names;
    names.zones = parse_strings(json.at("zones"), nullptr);
    names.operations = parse_strings(json.at("request_classes"), "name");
    names.proxy_count = settings.proxy_count;
    for (const std::string& metric : settings.load_metric_names) {
        names.load_metrics.push_back(platform_metric_name(metric));
    }
    if (names.zones.empty()) {
        throw ParseError("field \"settings.zones\": expected at least one zone, got none");
    }
    if (names.operations.empty()) {
        throw ParseError(
            "field \"settings.request_classes\": expected at least one operation, got none");
    }
    return names;
}

// ---- list of servers

ServerState parse_lifecycle(const std::string& server_id, const std::string& lifecycle) {
    if (lifecycle == "Ready") {
        return ServerState::Ready;
    }
    if (lifecycle == "Terminating") {
        return ServerState::Draining;
    }
    if (lifecycle == "Gone") {
        return ServerState::Gone;
    }
    throw ParseError("server '" + server_id +
                     "': field \"lifecycle\": expected Ready, Terminating or Gone, got '" +
                     lifecycle.substr(0, kMaxQuotedBytes) + "'");
}

ServerEntry parse_server_entry(const Json& row) {
    ServerEntry server;
    server.id = row.at("instanceId").get<std::string>();
    if (server.id.empty() || server.id.size() > kMaxServerIdBytes) {
        throw ParseError("field \"instanceId\": expected 1 to 128 bytes, got " +
                         std::to_string(server.id.size()));
    }
    server.zone = row.value("zone", "");
    server.state = parse_lifecycle(server.id, row.at("lifecycle").get<std::string>());
    server.weight = row.value("weight", 1.0);
    if (!std::isfinite(server.weight) || server.weight < 0 || server.weight > kMaxServerWeight) {
        throw ParseError("server '" + server.id + "': field \"weight\": expected 0 to 1e9, got " +
                         std::to_string(server.weight));
    }
    server.started_ms = row.value("startedAtMs", 0.0);
    if (!(server.started_ms >= 0) || server.started_ms > kMaxStartedMs) {
        throw ParseError("server '" + server.id +
                         "': field \"startedAtMs\": expected 0 to 1e14, got " +
                         std::to_string(server.started_ms));
    }
    return server;
}

// An entry that is not valid must neither make the whole list unusable nor remove its server from
// the tables of all proxies. Only this entry is skipped; its id, if it can be read, is added to
// `skipped_ids`.
void skip_entry(ServerList& list, const Json& row, const char* reason) {
    list.skip_reasons.emplace_back(reason);
    if (!row.is_object()) {
        return;
    }
    const auto id = row.find("instanceId");
    if (id != row.end() && id->is_string()) {
        list.skipped_ids.push_back(id->get<std::string>());
    }
}

ServerList parse_server_list(const Json& json) {
    ServerList list;
    list.generation = json.at("generation").get<std::uint64_t>();
    list.is_snapshot = json.value("reset", false);
    const Json& rows = json.at("instances");
    if (!rows.is_array()) {
        throw ParseError(std::string("field \"instances\": expected an array, got ") +
                         rows.type_name());
    }
    if (rows.size() > kMaxServers) {
        throw ParseError("field \"instances\": expected at most 65535 entries, got " +
                         std::to_string(rows.size()));
    }
    for (const Json& row : rows) {
        try {
            list.servers.push_back(parse_server_entry(row));
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
        throw ParseError("field \"seed\": expected a hexadecimal number of up to 64 bits, got '" +
                         text.substr(0, kMaxQuotedBytes) + "'");
    }
    return seed;
}

std::size_t parse_memory_limit(const Json& limits, std::size_t otherwise) {
    if (!limits.contains("memory_mb")) {
        return otherwise;
    }
    const double megabytes = limits.at("memory_mb").get<double>();
    if (!(megabytes >= kMinMemoryMb) || megabytes > kMaxMemoryMb) {
        throw ParseError("field \"limits.memory_mb\": expected 8 to 1048576, got " +
                         std::to_string(megabytes));
    }
    return static_cast<std::size_t>(megabytes * kBytesPerMb);
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
            throw ParseError("field \"limits.sockets\": expected at least 16, got " +
                             std::to_string(config.max_sockets));
        }
        config.max_memory_bytes = parse_memory_limit(*limits, config.max_memory_bytes);
    }
    const Json& settings = json.at("settings");
    if (!settings.is_object()) {
        throw ParseError(std::string("field \"settings\": expected an object, got ") +
                         settings.type_name());
    }
    config.settings = parse_settings(settings);
    config.batch_window = parse_batch_window(settings);
    config.protocol_names = parse_protocol_names(settings, config.settings);
    if (const auto known = json.find("known"); known != json.end() && !known->is_null()) {
        config.initial_list = parse_server_list(*known);
    }
    return config;
}

/// Parses `text` as JSON and passes it to `parse`. All failures, those of the JSON library
/// included, are thrown as ParseError.
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

ServerList read_server_list(const std::string& json) {
    return parse_json(json, parse_server_list);
}

}  // namespace badgergrade::platform
