#include "config/instance_config.h"

#include <algorithm>

#include "net/network.h"

namespace badgergrade::config {
namespace {

using namespace std::chrono_literals;

constexpr Micros kDay = 24h;
/// Each operation is one bit of an OperationMask.
constexpr std::size_t kMaxOperations = 64;
constexpr std::size_t kMaxZones = 64;
constexpr std::size_t kMaxLoadMetrics = 4;

void read_address(IniReader& in, const std::string& section, const std::string& key,
                  std::string& value) {
    value = in.text(section, key, value);
    try {
        net::parse_address(value);
    } catch (const std::invalid_argument& error) {
        in.add_error(section, key,
                     std::string(error.what()) + "; for example: " + key + " = 127.0.0.1:18000");
    }
}

Operation read_operation(IniReader& in, const std::string& section) {
    Operation operation;
    operation.name = section.substr(std::string("operation.").size());
    in.require(section, "latency_objective", "800 ms");
    in.require(section, "integration_timeout", "2 s");
    in.require(section, "effect", "side-effecting");
    operation.latency_objective = in.time(section, "latency_objective", 1s, 1ms, 1h);
    operation.integration_timeout = in.time(section, "integration_timeout", 2s, 1ms, 1h);
    operation.effect = static_cast<Effect>(
        in.choice(section, "effect", 2, {"idempotent", "fingerprinted", "side-effecting"}));
    operation.scope =
        static_cast<Scope>(in.choice(section, "fingerprint_scope", 0, {"all", "zone", "cell"}));
    operation.fingerprint_ttl = in.time(section, "fingerprint_ttl", 5s, 0s, kDay);
    operation.priority_weight = in.number(section, "billed_value", 1, {0, 1e6});
    operation.local_only = in.boolean(section, "own_zone_only", false);
    if (operation.latency_objective > operation.integration_timeout) {
        in.add_error(section, "latency_objective",
                     "is longer than integration_timeout: clients give up before the objective");
    }
    if (operation.effect != Effect::Fingerprinted && in.has(section, "fingerprint_scope")) {
        in.add_error(section, "fingerprint_scope",
                     "has an effect only with effect = fingerprinted");
    }
    const bool valid_name =
        !operation.name.empty() && operation.name.size() <= 64 &&
        std::all_of(operation.name.begin(), operation.name.end(),
                    [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; });
    if (!valid_name) {
        in.add_error(section, "",
                     "expected an operation name of 1 to 64 letters, digits, '-' or '_', got '" +
                         operation.name + "'");
    }
    return operation;
}

void read_channel(IniReader& in, Settings& settings) {
    settings.channel_lines_per_second = in.number("channel", "lines_per_second", 14000, {1, 1e9});
    settings.message_header_lines = in.number("channel", "head_lines", 3, {0, 1e4});
    settings.max_queued_lines = in.number("channel", "lines_waiting_most", 14000, {1, 1e9});
    settings.max_messages = in.integer("channel", "messages_most", 0, {0, 1e6});
    settings.message_window = in.time("channel", "messages_window", 10s, 1ms, 1h);
    settings.mean_network_delay = in.time("channel", "way_mean", 20ms, 0s, 1h);
    settings.max_network_delay = in.time("channel", "way_most", 1s, 0s, 1h);
    if (settings.max_messages == 0 && in.has("channel", "messages_window")) {
        in.add_error("channel", "messages_window",
                     "has an effect only if messages_most is above 0");
    }
    if (settings.max_messages > 0 && settings.max_messages < 5) {
        in.add_error("channel", "messages_most",
                     "expected 0 or at least 5, got " + std::to_string(settings.max_messages) +
                         ": removals of servers alone may need more messages");
    }
    if (settings.mean_network_delay > settings.max_network_delay) {
        in.add_error("channel", "way_mean", "must not be longer than way_most");
    }
}

void read_proxies(IniReader& in, Settings& settings, InstanceConfig& config) {
    in.require("forwarders", "count", "24");
    settings.proxy_count = in.integer("forwarders", "count", 1, {1, 65535});
    settings.load_balancing_policy = static_cast<LoadBalancingPolicy>(
        in.choice("forwarders", "pick", 2, {"weighted", "round", "two"}));
    settings.admission_mode =
        static_cast<AdmissionMode>(in.choice("forwarders", "levels", 0, {"none", "share", "rate"}));
    settings.default_retry_mode = static_cast<RetryMode>(
        in.choice("forwarders", "further_tries", 1, {"never", "after-proof", "once", "twice"}));
    settings.attempt_timeout_factor = in.number("forwarders", "try_factor", 0.8, {0.01, 100});
    settings.proxy_ejection_failures = in.integer("forwarders", "ejects_after", 5, {0, 1000});
    config.ejection_time = in.time("forwarders", "eject_time", 4s, 100ms, 1h);
    settings.max_time_without_server = in.time("forwarders", "bare_most", 5s, 0s, 1h);
    settings.connection_idle_timeout = in.time("forwarders", "connection_idle", 15s, 100ms, 1h);
    settings.shard_handover_delay = in.time("forwarders", "settle", 4s, 0s, 1h);
    // An attempt that the server may have processed must not be retried if the operation is
    // side-effecting.
    if (settings.default_retry_mode >= RetryMode::Once) {
        for (const Operation& operation : settings.operations) {
            if (operation.effect == Effect::SideEffecting) {
                in.add_error("forwarders", "further_tries",
                             "retries attempts that may have been processed, but operation " +
                                 operation.name + " is side-effecting");
                break;
            }
        }
    }
}

void read_servers(IniReader& in, Settings& settings) {
    settings.listed_weights = static_cast<ListedWeights>(
        in.choice("servers", "weights", 0, {"none", "nominal", "rough", "live"}));
    settings.initial_capacity_fraction = in.number("servers", "cold_from", 0.2, {0.001, 1});
    settings.slow_start_window = in.time("servers", "cold_time", 15s, 0s, 1h);
    settings.overload_collapse_factor = in.number("servers", "fall_multiple", 3, {0, 1e4});
    settings.overload_collapse_time = in.time("servers", "fall_time", 1500ms, 0s, 1h);
    settings.drain_grace = in.time("servers", "drain_grace", 3s, 100ms, 1h);
    settings.keep_unlisted_servers = in.boolean("servers", "gone_may_stay", false);
}

/// Checks that removals of servers reach the proxies within the drain grace. If the messages to a
/// proxy are limited, removals wait for each other: with too few messages or too long a network
/// delay, a drained server stays in tables past its drain grace.
void check_removal_delay(IniReader& in, const Settings& settings) {
    if (settings.max_messages <= 0) {
        return;
    }
    const Micros max_removal_delay = 2 * settings.message_window / settings.max_messages;
    if (max_removal_delay + settings.max_network_delay <= settings.drain_grace) {
        return;
    }
    const auto ms = [](Micros time) {
        return std::to_string(time.count() / 1000) + " ms";
    };
    const Micros allowed_delay = settings.drain_grace - settings.max_network_delay;
    std::string expected = "a grace longer than way_most";
    if (allowed_delay > 0us) {
        const auto messages = (2 * settings.message_window + allowed_delay - 1us) / allowed_delay;
        expected = "at least " + std::to_string(messages) + " messages, or a longer grace";
    }
    in.add_error("channel", "messages_most",
                 "delays removals of servers by up to " + ms(max_removal_delay) + " plus " +
                     ms(settings.max_network_delay) +
                     " of network delay, longer than [servers] drain_grace of " +
                     ms(settings.drain_grace) + "; expected " + expected);
}

void read_governor(IniReader& in, Settings& settings, InstanceConfig& config) {
    config.id = in.text("governor", "id", config.id);
    in.require("governor", "zones", "north, south");
    config.zones = in.list("governor", "zones", {});
    settings.zone_count = std::max(1, static_cast<int>(config.zones.size()));
    if (config.zones.size() > kMaxZones) {
        in.add_error("governor", "zones",
                     "expected at most 64 zones, got " + std::to_string(config.zones.size()));
    }
    const std::string zone =
        in.text("governor", "zone", config.zones.empty() ? "" : config.zones.front());
    const auto it = std::find(config.zones.begin(), config.zones.end(), zone);
    if (it == config.zones.end() && !config.zones.empty()) {
        in.add_error("governor", "zone", "expected one of [governor] zones, got '" + zone + "'");
    }
    settings.zone = {static_cast<int>(it - config.zones.begin())};
    settings.instance_count = in.integer("governor", "governors", 1, {1, 64});
    settings.ordinal = in.integer("governor", "ordinal", 0, {0, 63});
    if (settings.ordinal >= settings.instance_count) {
        in.add_error("governor", "ordinal",
                     "expected 0 to governors - 1, got " + std::to_string(settings.ordinal));
    }
    config.seed = static_cast<std::uint64_t>(in.number("governor", "seed", 1, {0, 9e15}));
    config.batch_window = in.time("governor", "batch", 4ms, 0s, 1s);
}

void read_xds(IniReader& in, InstanceConfig& config) {
    read_address(in, "xds", "listen", config.xds_address);
    config.max_connections = in.integer("xds", "connections_most", 10000, {1, 1e6});
    config.max_message_bytes =
        static_cast<std::size_t>(in.integer("xds", "message_bytes", 4 << 20, {1024, 1 << 30}));
    config.max_queued_bytes_per_stream =
        static_cast<std::size_t>(in.integer("xds", "waiting_bytes", 8 << 20, {4096, 1 << 30}));
    config.max_held_bytes =
        static_cast<std::size_t>(in.integer("xds", "held_bytes", 256 << 20, {1 << 20, 1 << 30}));
    config.keepalive_interval = in.time("xds", "keepalive", 10s, 0s, 1h);
}

void read_registry(IniReader& in, Settings& settings, InstanceConfig& config) {
    read_address(in, "registry", "address", config.registry_address);
    config.registry_long_poll_wait = in.time("registry", "wait", 30s, 10ms, 10min);
    config.registry_timeout = in.time("registry", "timeout", 5s, 10ms, 10min);
    config.empty_list_policy = in.choice("registry", "empty_list", 0, {"refuse", "take"}) == 0
                                   ? EmptyListPolicy::Refuse
                                   : EmptyListPolicy::Accept;
    config.min_endpoint_fraction = in.number("registry", "shrink_doubted", 0, {0, 1});
    settings.endpoints_on_request = in.boolean("registry", "ask", false);
}

void read_operations(IniReader& in, Settings& settings) {
    for (const std::string& section : in.sections_with_prefix("operation.")) {
        settings.operations.push_back(read_operation(in, section));
    }
    if (settings.operations.empty()) {
        in.add_error("operation.NAME", "",
                     "expected at least one operation section, for example [operation.place-job]");
    }
    if (settings.operations.size() > kMaxOperations) {
        in.add_error(
            "operation.NAME", "",
            "expected at most 64 operations, got " + std::to_string(settings.operations.size()));
    }
}

void read_reports(IniReader& in, Settings& settings) {
    settings.report_interval = in.time("reports", "period", 2s, 50ms, 10min);
    settings.max_reports_per_second = in.number("reports", "lines_per_second", 500, {1, 1e9});
    settings.load_metric_names = in.list("reports", "load_columns", {});
    if (settings.load_metric_names.size() > kMaxLoadMetrics) {
        in.add_error(
            "reports", "load_columns",
            "expected at most 4 metrics, got " + std::to_string(settings.load_metric_names.size()));
    }
    const std::vector<std::string> known_metrics{"active", "waiting", "cpu",
                                                 "avg_ms", "rps",     "err_rps"};
    for (const std::string& name : settings.load_metric_names) {
        if (std::find(known_metrics.begin(), known_metrics.end(), name) == known_metrics.end()) {
            in.add_error(
                "reports", "load_columns",
                "expected one of: active, waiting, cpu, avg_ms, rps, err_rps; got '" + name + "'");
        }
    }
}

}  // namespace

InstanceConfig read_instance_config(const IniFile& file, std::vector<ConfigError>& errors) {
    IniReader in(file, errors);
    InstanceConfig config;
    Settings& settings = config.settings;
    read_governor(in, settings, config);
    read_xds(in, config);
    read_registry(in, settings, config);
    read_operations(in, settings);
    read_channel(in, settings);
    read_reports(in, settings);
    read_proxies(in, settings, config);
    read_servers(in, settings);
    check_removal_delay(in, settings);
    settings.health_checks_allowed = in.boolean("probes", "allowed", false);
    config.health_check_timeout = in.time("probes", "timeout", 400ms, 1ms, 1min);
    config.log_level = in.choice("log", "level", 1, {"debug", "info", "warning", "error"});
    config.log_json = in.choice("log", "form", 0, {"text", "json"}) == 1;
    in.report_unknown_keys();
    return config;
}

}  // namespace badgergrade::config
