#include "platform/config.h"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "adapter/codec.h"

namespace badgergrade::platform {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kInstancesMost = 65535, kIdMost = 128, kDepthMost = 16;
constexpr double kStartedMost = 1e14;

// A value inside the simulator's line: what would end it turns into '_', as there.
std::string plain(const Json& value) {
    std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    for (char& c : text) {
        if (c == ' ' || c == ',' || c == '\t' || c == '\n' || c == '\r') {
            c = '_';
        }
    }
    return text;
}

void add_to_line(std::string& line, const std::string& path, const Json& value, std::size_t depth) {
    if (depth > kDepthMost) {
        throw ParseError("settings are nested too deeply at " + path);
    }
    if (value.is_null()) {
        return;
    }
    const std::string under = path.empty() ? "" : path + ".";
    if (value.is_object()) {
        for (const auto& [key, inner] : value.items()) {
            if (key.find_first_of("\t\n\r=") == std::string::npos) {
                add_to_line(line, under + key, inner, depth + 1);
            }
        }
        return;
    }
    if (!value.is_array()) {
        line += "\t" + path + "=" + plain(value);
        return;
    }
    const bool objects = !value.empty() && value.front().is_object();
    std::string list;
    std::size_t at = 0;
    for (const Json& inner : value) {
        if (objects) {
            add_to_line(line, under + std::to_string(at), inner, depth + 1);
        } else {
            list += (at > 0 ? "," : "") + plain(inner);
        }
        ++at;
    }
    if (objects) {
        line += "\t" + path + ".count=" + std::to_string(value.size());
    } else {
        line += "\t" + path + "=" + list;
    }
}

std::vector<std::string> texts(const Json& list, const char* key) {
    std::vector<std::string> out;
    for (const Json& one : list) {
        out.push_back((key ? one.at(key) : one).get<std::string>());
    }
    return out;
}

// The simulator and the platform have other words for what a load report holds.
std::string platform_column(const std::string& column) {
    static const std::pair<const char*, const char*> words[] = {
        {"active", "inflight"},   {"waiting", "queue"}, {"cpu", "util"},
        {"avg_ms", "latency_ms"}, {"rps", "qps"},       {"err_rps", "eps"}};
    for (const auto& [ours, theirs] : words) {
        if (column == ours) {
            return theirs;
        }
    }
    return column;
}

std::uint64_t seed_of(const Json& value) {
    if (value.is_number_unsigned()) {
        return value.get<std::uint64_t>();
    }
    const std::string text = value.get<std::string>();
    std::uint64_t seed = 0;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (wrong != std::errc{} || end != text.data() + text.size()) {
        throw ParseError("seed is no hexadecimal number: '" + text.substr(0, 40) + "'");
    }
    return seed;
}

Instance instance_of(const Json& row) {
    Instance out;
    out.id = row.at("instanceId").get<std::string>();
    if (out.id.empty() || out.id.size() > kIdMost) {
        throw ParseError("an instanceId is 1 to 128 bytes");
    }
    out.zone = row.value("zone", "");
    const std::string state = row.at("lifecycle").get<std::string>();
    if (state == "Ready") {
        out.state = ServerState::Ready;
    } else if (state == "Terminating") {
        out.state = ServerState::Draining;
    } else if (state == "Gone") {
        out.state = ServerState::Gone;
    } else {
        throw ParseError(out.id + ": lifecycle '" + state.substr(0, 40) + "'");
    }
    out.weight = row.value("weight", 1.0);
    if (!std::isfinite(out.weight) || out.weight < 0 || out.weight > 1e9) {
        throw ParseError(out.id + ": weight is out of range");
    }
    out.started_ms = row.value("startedAtMs", 0.0);
    if (!(out.started_ms >= 0) || out.started_ms > kStartedMost) {
        throw ParseError(out.id + ": startedAtMs is out of range");
    }
    return out;
}

InstanceList instances_of(const Json& json) {
    InstanceList out;
    out.generation = json.at("generation").get<std::uint64_t>();
    out.whole = json.value("reset", false);
    const Json& rows = json.at("instances");
    if (!rows.is_array()) {
        throw ParseError("instances is no list");
    }
    if (rows.size() > kInstancesMost) {
        throw ParseError("a list names more than 65535 instances");
    }
    const auto leave_out = [&](const Json& row, const char* why) {
        out.left_out.emplace_back(why);
        if (const Json* id =
                row.is_object() && row.contains("instanceId") ? &row["instanceId"] : nullptr;
            id && id->is_string()) {
            out.unreadable.push_back(id->get<std::string>());
        }
    };
    for (const Json& row : rows) {
        try {
            out.instances.push_back(instance_of(row));
        } catch (const Json::exception& wrong) {
            leave_out(row, wrong.what());
        } catch (const ParseError& wrong) {
            leave_out(row, wrong.what());
        }
    }
    return out;
}

Settings settings_of(const Json& settings) {
    std::string line = "up";
    add_to_line(line, {}, settings, 0);
    return wire::read_settings(wire::WireFields(line));
}

Micros batch_of(const Json& settings) {
    const double ms = settings.value("quantum", 4.0);
    if (!(ms >= 0) || ms > 1000) {
        throw ParseError("settings.quantum is out of range");
    }
    return Micros(std::llround(ms * 1000));
}

NodeConfig config_of(const Json& json) {
    NodeConfig out;
    out.name = json.value("name", "");
    out.listen = net::parse_address(json.at("listen").get<std::string>());
    out.discovery = net::parse_address(json.at("discovery").get<std::string>());
    if (json.contains("seed")) {
        out.seed = seed_of(json["seed"]);
    }
    if (const auto limits = json.find("limits"); limits != json.end()) {
        out.sockets = limits->value("sockets", out.sockets);
        if (out.sockets < 16) {
            throw ParseError("limits.sockets is below 16");
        }
    }
    const Json& settings = json.at("settings");
    if (!settings.is_object()) {
        throw ParseError("settings is no object");
    }
    out.settings = settings_of(settings);
    out.batch = batch_of(settings);
    out.names.zones = texts(settings.at("zones"), nullptr);
    out.names.operations = texts(settings.at("request_classes"), "name");
    out.names.proxies = out.settings.proxy_count;
    for (const std::string& column : out.settings.load_metric_names) {
        out.names.load_columns.push_back(platform_column(column));
    }
    if (out.names.zones.empty()) {
        throw ParseError("settings.zones is empty");
    }
    if (out.names.operations.empty()) {
        throw ParseError("settings.request_classes is empty");
    }
    if (const auto known = json.find("known"); known != json.end() && !known->is_null()) {
        out.known = instances_of(*known);
    }
    return out;
}

// The library's and the readers' failures, all in one form.
template <class Read>
auto read_json(const std::string& text, Read read) {
    try {
        return read(Json::parse(text));
    } catch (const Json::exception& wrong) {
        throw ParseError(wrong.what());
    } catch (const wire::InvalidLine& wrong) {
        throw ParseError(std::string("settings: ") + wrong.what());
    } catch (const std::invalid_argument& wrong) {
        throw ParseError(wrong.what());
    }
}

}  // namespace

NodeConfig read_config(const std::string& json) {
    return read_json(json, config_of);
}

InstanceList read_instances(const std::string& json) {
    return read_json(json, instances_of);
}

}  // namespace badgergrade::platform
