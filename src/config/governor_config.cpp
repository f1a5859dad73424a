#include "config/governor_config.h"

#include <algorithm>

#include "net/network.h"

namespace badgergrade::config {
namespace {

using namespace std::chrono_literals;

constexpr Micros kDay = 24h;
constexpr std::size_t kOperationsMost = 64;

void address(IniReader& in, const std::string& section, const std::string& key,
             std::string& value) {
    value = in.text(section, key, value);
    try {
        net::parse_address(value);
    } catch (const std::invalid_argument& wrong) {
        in.wrong(section, key,
                 std::string(wrong.what()) + "; for example: " + key + " = 127.0.0.1:18000");
    }
}

Operation operation(IniReader& in, const std::string& section) {
    Operation op;
    op.name = section.substr(std::string("operation.").size());
    in.need(section, "latency_objective", "800 ms");
    in.need(section, "integration_timeout", "2 s");
    in.need(section, "effect", "side-effecting");
    op.latency_objective = in.time(section, "latency_objective", 1s, 1ms, 1h);
    op.integration_timeout = in.time(section, "integration_timeout", 2s, 1ms, 1h);
    op.effect = static_cast<Effect>(
        in.choice(section, "effect", 2, {"idempotent", "fingerprinted", "side-effecting"}));
    op.scope =
        static_cast<Scope>(in.choice(section, "fingerprint_scope", 0, {"all", "zone", "cell"}));
    op.fingerprint_ttl = in.time(section, "fingerprint_ttl", 5s, 0s, kDay);
    op.priority_weight = in.number(section, "billed_value", 1, {0, 1e6});
    op.local_only = in.yes(section, "own_zone_only", false);
    if (op.latency_objective > op.integration_timeout) {
        in.wrong(section, "latency_objective",
                 "is longer than integration_timeout: the client would have given up before");
    }
    if (op.effect != Effect::Fingerprinted && in.has(section, "fingerprint_scope")) {
        in.wrong(section, "fingerprint_scope", "says something only where effect = fingerprinted");
    }
    const bool good = !op.name.empty() && op.name.size() <= 64 &&
                      std::all_of(op.name.begin(), op.name.end(), [](unsigned char c) {
                          return std::isalnum(c) || c == '-' || c == '_';
                      });
    if (!good) {
        in.wrong(section, "", "an operation's name is 1 to 64 letters, digits, - or _");
    }
    return op;
}

void read_channel(IniReader& in, Settings& told) {
    told.channel_lines_per_second = in.number("channel", "lines_per_second", 14000, {1, 1e9});
    told.message_head_lines = in.number("channel", "head_lines", 3, {0, 1e4});
    told.max_queued_lines = in.number("channel", "lines_waiting_most", 14000, {1, 1e9});
    told.max_messages = in.whole("channel", "messages_most", 0, {0, 1e6});
    told.message_window = in.time("channel", "messages_window", 10s, 1ms, 1h);
    told.mean_network_delay = in.time("channel", "way_mean", 20ms, 0s, 1h);
    told.max_network_delay = in.time("channel", "way_most", 1s, 0s, 1h);
    if (told.max_messages == 0 && in.has("channel", "messages_window")) {
        in.wrong("channel", "messages_window",
                 "says something only where messages_most is above 0");
    }
    if (told.max_messages > 0 && told.max_messages < 5) {
        in.wrong("channel", "messages_most", "is under 5: removals alone could need more");
    }
    if (told.mean_network_delay > told.max_network_delay) {
        in.wrong("channel", "way_mean", "is longer than way_most");
    }
}

void read_forwarders(IniReader& in, Settings& told, GovernorConfig& config) {
    in.need("forwarders", "count", "24");
    told.proxy_count = in.whole("forwarders", "count", 1, {1, 65535});
    told.pick_policy =
        static_cast<PickPolicy>(in.choice("forwarders", "pick", 2, {"weighted", "round", "two"}));
    told.admission_mode =
        static_cast<AdmissionMode>(in.choice("forwarders", "levels", 0, {"none", "share", "rate"}));
    told.default_retry_mode = static_cast<RetryMode>(
        in.choice("forwarders", "further_tries", 1, {"never", "after-proof", "once", "twice"}));
    told.attempt_timeout_factor = in.number("forwarders", "try_factor", 0.8, {0.01, 100});
    told.proxy_ejection_failures = in.whole("forwarders", "ejects_after", 5, {0, 1000});
    config.eject_time = in.time("forwarders", "eject_time", 4s, 100ms, 1h);
    told.max_time_without_server = in.time("forwarders", "bare_most", 5s, 0s, 1h);
    told.connection_idle_timeout = in.time("forwarders", "connection_idle", 15s, 100ms, 1h);
    told.shard_settle_time = in.time("forwarders", "settle", 4s, 0s, 1h);
    // Nothing that may have run is sent again on the general setting: rule 2, "no effect twice".
    if (told.default_retry_mode >= RetryMode::Once) {
        for (const Operation& op : told.operations) {
            if (op.effect == Effect::SideEffecting) {
                in.wrong("forwarders", "further_tries",
                         "tries again what may have run, but operation " + op.name +
                             " is side-effecting");
                break;
            }
        }
    }
}

void read_servers(IniReader& in, Settings& told) {
    told.listed_weights = static_cast<ListedWeights>(
        in.choice("servers", "weights", 0, {"none", "nominal", "rough", "live"}));
    told.initial_capacity_fraction = in.number("servers", "cold_from", 0.2, {0.001, 1});
    told.slow_start_window = in.time("servers", "cold_time", 15s, 0s, 1h);
    told.overload_collapse_factor = in.number("servers", "fall_multiple", 3, {0, 1e4});
    told.overload_collapse_time = in.time("servers", "fall_time", 1500ms, 0s, 1h);
    told.drain_grace = in.time("servers", "drain_grace", 3s, 100ms, 1h);
    told.vanished_may_stay = in.yes("servers", "gone_may_stay", false);
}

// Removals are merged so that the messages last: with too few of them they wait past the grace for
// drains (our day cold-return with 6 in 10 s and a grace of 3 s: broken on every seed).
void check_removals(IniReader& in, const Settings& told) {
    if (told.max_messages <= 0) {
        return;
    }
    const auto merged = [&](std::int64_t messages) {
        return 2 * told.message_window / messages + told.max_network_delay;
    };
    if (merged(told.max_messages) <= told.drain_grace) {
        return;
    }
    const auto ms = [](Micros t) {
        return std::to_string(t.count() / 1000) + " ms";
    };
    const Micros room = told.drain_grace - told.max_network_delay;
    const std::string right =
        room > 0us ? "at least " + std::to_string((2 * told.message_window + room - 1us) / room) +
                         " messages, or a longer grace"
                   : "a grace longer than way_most";
    in.wrong("channel", "messages_most",
             "lets removals wait " + ms(2 * told.message_window / told.max_messages) + " and " +
                 ms(told.max_network_delay) + " on the way, past [servers] drain_grace of " +
                 ms(told.drain_grace) + "; right would be " + right);
}

}  // namespace

GovernorConfig read_governor(const IniFile& file, std::vector<Mistake>& mistakes) {
    IniReader in(file, mistakes);
    GovernorConfig config;
    Settings& told = config.told;
    config.id = in.text("governor", "id", config.id);
    in.need("governor", "zones", "north, south");
    config.zones = in.list("governor", "zones", {});
    told.zone_count = std::max(1, static_cast<int>(config.zones.size()));
    if (config.zones.size() > 64) {
        in.wrong("governor", "zones", "64 zones at most");
    }
    const std::string zone =
        in.text("governor", "zone", config.zones.empty() ? "" : config.zones.front());
    const auto at = std::find(config.zones.begin(), config.zones.end(), zone);
    if (at == config.zones.end() && !config.zones.empty()) {
        in.wrong("governor", "zone", "'" + zone + "' is none of the zones");
    }
    told.zone = {static_cast<int>(at - config.zones.begin())};
    told.instance_count = in.whole("governor", "governors", 1, {1, 64});
    told.ordinal = in.whole("governor", "ordinal", 0, {0, 63});
    if (told.ordinal >= told.instance_count) {
        in.wrong("governor", "ordinal", "counts from 0 and stays under governors");
    }
    config.seed = static_cast<std::uint64_t>(in.number("governor", "seed", 1, {0, 9e15}));
    config.batch = in.time("governor", "batch", 4ms, 0s, 1s);

    address(in, "xds", "listen", config.xds_address);
    config.connections_most = in.whole("xds", "connections_most", 10000, {1, 1e6});
    config.message_bytes =
        static_cast<std::size_t>(in.whole("xds", "message_bytes", 4 << 20, {1024, 1 << 30}));
    config.waiting_bytes =
        static_cast<std::size_t>(in.whole("xds", "waiting_bytes", 8 << 20, {4096, 1 << 30}));
    config.keepalive = in.time("xds", "keepalive", 10s, 0s, 1h);

    address(in, "registry", "address", config.registry_address);
    config.registry_wait = in.time("registry", "wait", 30s, 10ms, 10min);
    config.registry_timeout = in.time("registry", "timeout", 5s, 10ms, 10min);
    config.empty_list = in.choice("registry", "empty_list", 0, {"refuse", "take"}) == 0
                            ? EmptyList::Refuse
                            : EmptyList::Take;
    config.shrink_refused = in.number("registry", "shrink_doubted", 0, {0, 1});
    told.endpoints_on_request = in.yes("registry", "ask", false);

    for (const std::string& section : in.sections_like("operation.")) {
        told.operations.push_back(operation(in, section));
    }
    if (told.operations.empty()) {
        in.wrong("operation.NAME", "", "no operation is named; for example: [operation.place-job]");
    }
    if (told.operations.size() > kOperationsMost) {
        in.wrong("operation.NAME", "", "64 operations at most");
    }

    read_channel(in, told);
    told.report_interval = in.time("reports", "period", 2s, 50ms, 10min);
    told.max_reports_per_second = in.number("reports", "lines_per_second", 500, {1, 1e9});
    told.load_metric_names = in.list("reports", "load_columns", {});
    if (told.load_metric_names.size() > 4) {
        in.wrong("reports", "load_columns", "four at most");
    }
    for (auto& column : told.load_metric_names) {
        const std::vector<std::string> known{"active", "waiting", "cpu",
                                             "avg_ms", "rps",     "err_rps"};
        if (std::find(known.begin(), known.end(), column) == known.end()) {
            in.wrong("reports", "load_columns",
                     "'" + column + "' is none of: active, waiting, cpu, avg_ms, rps, err_rps");
        }
    }
    read_forwarders(in, told, config);
    read_servers(in, told);
    check_removals(in, told);
    told.health_checks_allowed = in.yes("probes", "allowed", false);
    config.probe_timeout = in.time("probes", "timeout", 400ms, 1ms, 1min);
    config.log_level = in.choice("log", "level", 1, {"debug", "info", "warning", "error"});
    config.log_json = in.choice("log", "form", 0, {"text", "json"}) == 1;
    in.finish();
    return config;
}

}  // namespace badgergrade::config
