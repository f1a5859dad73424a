#include "codec.h"

#include <charconv>
#include <cmath>

namespace badgergrade::wire {

namespace {

/// The free-text field: always the last one of its line, and may contain tabs.
constexpr std::string_view kFreeTextField = "what";
/// Lines with more fields than this get an index; for fewer fields a linear search is faster.
constexpr std::size_t kMaxLinearSearchFields = 12;
/// Largest instance, proxy, zone, table and version number on the wire.
constexpr std::int64_t kMaxId = 65535;
constexpr std::int64_t kMaxServerId = 4294967295LL;
constexpr std::int64_t kMaxOperations = 64;
constexpr std::int64_t kMaxCount = 1LL << 40;
/// Larger times would overflow 64-bit microseconds.
constexpr double kMaxTimeMs = 1e15;

std::string quoted(std::string_view text) {
    return "'" + std::string(text.substr(0, 80)) + "'";
}

double parse_number(std::string_view name, std::string_view text) {
    double value = 0;
    const auto end = text.data() + text.size();
    const auto [parse_end, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || parse_end != end || !std::isfinite(value)) {
        throw InvalidLine("field \"" + std::string(name) + "\": expected a number, got " +
                          quoted(text));
    }
    return value;
}

template <class Integer>
Integer parse_integer(std::string_view name, std::string_view text) {
    Integer value = 0;
    const auto end = text.data() + text.size();
    const auto [parse_end, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || parse_end != end) {
        throw InvalidLine("field \"" + std::string(name) + "\": expected an integer, got " +
                          quoted(text));
    }
    return value;
}

Micros parse_time(std::string_view name, std::string_view text) {
    const double ms = parse_number(name, text);
    if (std::abs(ms) > kMaxTimeMs) {
        throw InvalidLine("field \"" + std::string(name) +
                          "\": expected a time of at most 1e15 ms, got " + quoted(text));
    }
    return Micros(std::llround(ms * 1000.0));
}

template <class Enum>
Enum parse_choice(std::string_view name, std::string_view text,
                  std::initializer_list<std::pair<std::string_view, Enum>> known) {
    for (const auto& [word, value] : known) {
        if (word == text) {
            return value;
        }
    }
    throw InvalidLine("field \"" + std::string(name) + "\": expected a known word, got " +
                      quoted(text));
}

constexpr std::string_view kBase64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Builds one line of output; the destructor appends the line end.
class Line {
public:
    Line(std::string& out, std::string_view word, std::string_view instance_id) : out_(out) {
        out_.append(word).append("\tgovernor_id=").append(instance_id);
    }

    ~Line() { out_.push_back('\n'); }

    Line& text(std::string_view name, std::string_view value) {
        out_.push_back('\t');
        out_.append(name).push_back('=');
        out_.append(value);
        return *this;
    }

    template <class Number>
    Line& number(std::string_view name, Number value) {
        char buffer[64];
        const auto end = std::to_chars(buffer, buffer + sizeof buffer, value).ptr;
        return text(name, {buffer, static_cast<std::size_t>(end - buffer)});
    }

    Line& flag(std::string_view name, bool value) { return text(name, value ? "1" : "0"); }

private:
    std::string& out_;
};

/// Writes a command as a line with the simulator's words.
struct CommandWriter {
    std::string& out;
    std::string_view instance_id;

    Line line(std::string_view word) const { return {out, word, instance_id}; }

    void operator()(const command::SetTimer& command) const {
        line("timer")
            .text("mark", command.token)
            .number("offset", static_cast<double>(command.delay.count()) / 1000.0);
    }

    void operator()(const command::LogMessage& command) const {
        // A line break would end the message.
        std::string single_line = command.text;
        for (char& c : single_line) {
            if (c == '\n' || c == '\r') {
                c = ' ';
            }
        }
        line("record").text("what", single_line);
    }

    void operator()(const command::WatchEndpoints& command) const {
        line("observe").flag("flag", command.enabled);
    }

    void operator()(const command::FetchEndpoints&) const { line("fetch"); }

    void operator()(const command::CheckHealth& command) const {
        line("check").number("replica", command.server.value);
    }

    void operator()(const command::SendGossip& command) const {
        line("share")
            .text("recipient", command.recipient ? std::to_string(command.recipient->value) : "*")
            .text("blob", to_base64(command.payload));
    }

    void operator()(const command::SetWeight& command) const {
        line("set_weight")
            .number("map_id", command.table.value)
            .number("part", command.weight)
            .number("replica", command.server.value);
    }

    void operator()(const command::ClearTable& command) const {
        line("blank").number("map_id", command.table.value);
    }

    void operator()(const command::AssignTable& command) const {
        line("bind")
            .number("only", command.operations)
            .number("map_id", command.table.value)
            .number("sidecar", command.proxy.value);
    }

    void operator()(const command::SetEjected& command) const {
        line("bench").number("replica", command.server.value).flag("flag", command.ejected);
    }

    void operator()(const command::SetAdmission& command) const {
        line("ration")
            .number("map_id", command.table.value)
            .number("only", command.operations)
            .number("let_in", command.limit)
            .number("second_try", static_cast<int>(command.retry_mode));
    }

    void operator()(const command::RequestAck& command) const {
        line("barrier").flag("flag", command.all_proxies).number("version", command.version.value);
    }
};

int id_of(const WireFields& fields, std::string_view name) {
    return static_cast<int>(fields.integer(name, 0, kMaxId));
}

ServerId server_of(const WireFields& fields) {
    return {static_cast<std::uint32_t>(fields.integer("replica", 0, kMaxServerId))};
}

TableId table_of(const WireFields& fields) {
    return {id_of(fields, "map_id")};
}

ProxyId proxy_of(const WireFields& fields) {
    return {id_of(fields, "sidecar")};
}

ZoneId zone_of(const WireFields& fields) {
    return {id_of(fields, "rack_zone")};
}

OperationId operation_of(const WireFields& fields) {
    return {static_cast<int>(fields.integer("kind", 0, kMaxOperations - 1))};
}

std::int64_t count_of(const WireFields& fields, std::string_view name) {
    return fields.integer(name, 0, kMaxCount, 0);
}

Operation read_operation(const WireFields& fields, const std::string& prefix) {
    Operation operation;
    operation.name = fields.text(prefix + "name");
    operation.latency_objective = fields.time(prefix + "aim");
    operation.integration_timeout = fields.time(prefix + "deadline");
    operation.effect = parse_choice<Effect>(prefix + "effect", fields.text(prefix + "effect"),
                                            {{"safe", Effect::Idempotent},
                                             {"keyed", Effect::Fingerprinted},
                                             {"unsafe", Effect::SideEffecting}});
    if (fields.has(prefix + "group")) {
        operation.scope = parse_choice<Scope>(
            prefix + "group", fields.text(prefix + "group"),
            {{"all", Scope::All}, {"zone", Scope::Zone}, {"cell", Scope::Cell}});
    }
    operation.fingerprint_ttl = fields.time(prefix + "key_ttl", Micros{0});
    operation.priority_weight = fields.number(prefix + "worth", 1);
    return operation;
}

void read_topology(const WireFields& fields, Settings& settings) {
    settings.ordinal = static_cast<int>(fields.integer("ordinal", 0, kMaxId, 0));
    settings.instance_count = static_cast<int>(fields.integer("balancers", 1, kMaxId, 1));
    settings.zone = {static_cast<int>(fields.integer("zone", 0, kMaxId, 0))};
    settings.zone_count = std::max(1, static_cast<int>(fields.words("zones").size()));
}

void read_operations(const WireFields& fields, Settings& settings) {
    const std::int64_t count = fields.integer("request_classes.count", 0, kMaxOperations, 0);
    for (std::int64_t k = 0; k < count; ++k) {
        const std::string prefix = "request_classes." + std::to_string(k) + ".";
        settings.operations.push_back(read_operation(fields, prefix));
    }
    const auto local_only = fields.words("extra.class_own_zone");
    for (std::size_t k = 0; k < local_only.size() && k < settings.operations.size(); ++k) {
        settings.operations[k].local_only = local_only[k] == "true" || local_only[k] == "1";
    }
}

void read_sources(const WireFields& fields, Settings& settings) {
    if (fields.has("weights")) {
        settings.listed_weights =
            parse_choice<ListedWeights>("weights", fields.text("weights"),
                                        {{"none", ListedWeights::None},
                                         {"nominal", ListedWeights::Nominal},
                                         {"rough", ListedWeights::Approximate},
                                         {"live", ListedWeights::Live}});
    }
    settings.endpoints_on_request =
        fields.has("discovery") && fields.text("discovery") == "on_request";
    settings.health_checks_allowed = fields.boolean("bounds.may_probe", false);
    settings.gossip_allowed = fields.boolean("bounds.peers", false);
    settings.load_metric_names = fields.words("report.columns");
}

void read_proxies(const WireFields& fields, Settings& settings) {
    if (fields.has("extra.admit")) {
        settings.admission_mode =
            parse_choice<AdmissionMode>("extra.admit", fields.text("extra.admit"),
                                        {{"none", AdmissionMode::None},
                                         {"share", AdmissionMode::Fraction},
                                         {"rate", AdmissionMode::Rate}});
    }
    if (fields.has("extra.lb_method")) {
        settings.load_balancing_policy =
            parse_choice<LoadBalancingPolicy>("extra.lb_method", fields.text("extra.lb_method"),
                                              {{"weighted", LoadBalancingPolicy::WeightedRandom},
                                               {"round", LoadBalancingPolicy::RoundRobin},
                                               {"two", LoadBalancingPolicy::LeastRequest}});
    }
    settings.default_retry_mode =
        static_cast<RetryMode>(fields.integer("extra.default_retry", 0, 3, 1));
    settings.proxy_count = static_cast<int>(fields.number("extra.data_plane_size", 0));
}

void read_shards(const WireFields& fields, Settings& settings) {
    settings.shard_count = static_cast<int>(fields.number("extra.key_ranges", 0));
    settings.exclusive_shards = fields.boolean("extra.exclusive", false);
    settings.shard_handover_delay = fields.time("extra.settle", Micros{0});
    settings.write_lease = fields.time("extra.tenure", Micros{0});
}

void read_channel(const WireFields& fields, Settings& settings) {
    settings.channel_lines_per_second = fields.number("extra.channel_rate", 0);
    settings.message_header_lines = fields.number("extra.per_message", 0);
    settings.max_queued_lines = fields.number("extra.pending_max", 0);
    settings.max_messages = static_cast<int>(fields.number("extra.reloads_max", 0));
    settings.message_window = fields.time("extra.update_window", Micros{0});
    settings.mean_network_delay = fields.time("extra.transit", Micros{0});
    settings.max_network_delay = fields.time("extra.push_delay_max", Micros{0});
}

void read_reports(const WireFields& fields, Settings& settings) {
    settings.report_interval = fields.time("extra.period", Micros{0});
    settings.max_reports_per_second = fields.number("extra.intake_per_s", 0);
}

void read_proxy_limits(const WireFields& fields, Settings& settings) {
    settings.proxy_ejection_failures = static_cast<int>(fields.number("extra.outlier_after", 0));
    settings.attempt_timeout_factor = fields.number("extra.try_factor", 1);
    settings.max_time_without_server = fields.time("extra.empty_for", Micros{0});
}

void read_rules(const WireFields& fields, Settings& settings) {
    settings.initial_capacity_fraction = fields.number("rules.cold_from", 1);
    settings.slow_start_window = fields.time("rules.cold", Micros{0});
    settings.drain_grace = fields.time("rules.stop_sending_within", Micros{0});
    settings.connection_idle_timeout = fields.time("bounds.conn_idle", Micros{0});
    settings.keep_unlisted_servers = fields.boolean("rules.dropped_stay_open", false);
    settings.overload_collapse_factor = fields.number("rules.tip_multiple", 0);
    settings.overload_collapse_time = fields.time("rules.tip_after", Micros{0});
}

UpdateKind read_update_kind(const WireFields& fields) {
    switch (fields.integer("form", 0, 4)) {
        case 0:
            return UpdateKind::WatchFailed;
        case 1:
            return UpdateKind::Delta;
        case 2:
            return UpdateKind::Cached;
        case 4:
            return UpdateKind::Snapshot;
        default:
            throw InvalidLine("field \"form\": expected 0, 1, 2 or 4, got '3'");
    }
}

Event read_endpoint_list_update(const WireFields& fields, const EndpointLists& lists) {
    event::EndpointListUpdate update;
    update.kind = read_update_kind(fields);
    if (update.kind == UpdateKind::WatchFailed) {
        return update;
    }
    const auto it = lists.find(static_cast<int>(fields.integer("ref", 0, kMaxListNumber)));
    if (it == lists.end()) {
        throw InvalidLine("field \"ref\": no inventory with this number was announced");
    }
    update.endpoints = it->second;
    return update;
}

Event read_timer_fired(const WireFields& fields, const EndpointLists&) {
    return event::TimerFired{std::string(fields.text("mark"))};
}

Event read_health_check_result(const WireFields& fields, const EndpointLists&) {
    const auto outcome =
        parse_choice<HealthCheckOutcome>("outcome", fields.text("outcome"),
                                         {{"GOOD", HealthCheckOutcome::Healthy},
                                          {"BAD", HealthCheckOutcome::Failed},
                                          {"FULL", HealthCheckOutcome::Overloaded},
                                          {"LATE", HealthCheckOutcome::TimedOut},
                                          {"NOCONN", HealthCheckOutcome::Unreachable},
                                          {"RST", HealthCheckOutcome::Reset},
                                          {"CXL", HealthCheckOutcome::Other},
                                          {"NOP", HealthCheckOutcome::Other}});
    return event::HealthCheckResult{server_of(fields), outcome, fields.time("took", Micros{0}),
                                    fields.numbers("gauge")};
}

Event read_gossip_message(const WireFields& fields, const EndpointLists&) {
    return event::GossipMessage{{id_of(fields, "neighbour")}, from_base64(fields.text("blob"))};
}

Event read_proxy_connected(const WireFields& fields, const EndpointLists&) {
    return event::ProxyConnected{proxy_of(fields), fields.boolean("flag", false), zone_of(fields),
                                 fields.number("part", 0)};
}

Event read_proxy_disconnected(const WireFields& fields, const EndpointLists&) {
    return event::ProxyDisconnected{proxy_of(fields)};
}

Event read_server_load_report(const WireFields& fields, const EndpointLists&) {
    return event::ServerLoadReport{zone_of(fields),
                                   server_of(fields),
                                   count_of(fields, "many"),
                                   count_of(fields, "failed"),
                                   fields.time("took", Micros{0}),
                                   fields.time("over", Micros{0}),
                                   fields.numbers("gauge")};
}

Event read_proxy_demand_report(const WireFields& fields, const EndpointLists&) {
    return event::ProxyDemandReport{proxy_of(fields), operation_of(fields),
                                    count_of(fields, "many"), count_of(fields, "failed"),
                                    fields.time("over", Micros{0})};
}

Event read_shard_demand_report(const WireFields& fields, const EndpointLists&) {
    return event::ShardDemandReport{table_of(fields), operation_of(fields),
                                    count_of(fields, "many"), count_of(fields, "failed"),
                                    fields.time("over", Micros{0})};
}

Event read_shard_assignment_changed(const WireFields& fields, const EndpointLists&) {
    return event::ShardAssignmentChanged{table_of(fields), fields.boolean("flag")};
}

Event read_shard_replica(const WireFields& fields, const EndpointLists&) {
    return event::ShardReplica{table_of(fields), server_of(fields), fields.number("part", 1)};
}

Event read_config_acknowledged(const WireFields& fields, const EndpointLists&) {
    return event::ConfigAcknowledged{
        proxy_of(fields), {id_of(fields, "version")}, fields.time("took", Micros{0})};
}

using EventReader = Event (*)(const WireFields&, const EndpointLists&);

/// The simulator's word and the decoder for each event.
constexpr std::pair<std::string_view, EventReader> kEventReaders[] = {
    {"targets", read_endpoint_list_update},    {"due", read_timer_fired},
    {"ping_result", read_health_check_result}, {"from_peer", read_gossip_message},
    {"connected", read_proxy_connected},       {"left", read_proxy_disconnected},
    {"heard", read_server_load_report},        {"demand", read_proxy_demand_report},
    {"slice_load", read_shard_demand_report},  {"tenure", read_shard_assignment_changed},
    {"in_store", read_shard_replica},          {"in_force", read_config_acknowledged},
};

}  // namespace

WireFields::WireFields(std::string_view line) {
    const std::size_t word_end = std::min(line.find('\t'), line.size());
    word_ = line.substr(0, word_end);
    std::size_t begin = word_end + 1;
    while (begin <= line.size()) {
        const std::size_t end = std::min(line.find('\t', begin), line.size());
        const std::string_view field = line.substr(begin, end - begin);
        const std::size_t equals = field.find('=');
        const bool has_name = equals != std::string_view::npos && equals > 0;
        if (!has_name && !field.empty()) {
            throw InvalidLine("expected a field of the form name=value, got " + quoted(field));
        }
        if (has_name && field.substr(0, equals) == kFreeTextField) {
            fields_.emplace_back(kFreeTextField, line.substr(begin + equals + 1));
            break;
        }
        if (has_name) {
            fields_.emplace_back(field.substr(0, equals), field.substr(equals + 1));
        }
        begin = end + 1;
    }
    if (fields_.size() > kMaxLinearSearchFields) {
        index_.insert(fields_.begin(), fields_.end());
    }
}

const std::string_view* WireFields::find(std::string_view name) const {
    if (!index_.empty()) {
        const auto it = index_.find(name);
        return it == index_.end() ? nullptr : &it->second;
    }
    for (const auto& field : fields_) {
        if (field.first == name) {
            return &field.second;
        }
    }
    return nullptr;
}

std::string_view WireFields::text(std::string_view name) const {
    const auto* value = find(name);
    if (!value) {
        throw InvalidLine("field \"" + std::string(name) + "\" is missing");
    }
    return *value;
}

double WireFields::number(std::string_view name) const {
    return parse_number(name, text(name));
}

double WireFields::number(std::string_view name, double default_value) const {
    return has(name) ? number(name) : default_value;
}

std::int64_t WireFields::integer(std::string_view name, std::int64_t minimum,
                                 std::int64_t maximum) const {
    const auto value = parse_integer<std::int64_t>(name, text(name));
    if (value < minimum || value > maximum) {
        throw InvalidLine("field \"" + std::string(name) + "\": expected " +
                          std::to_string(minimum) + " to " + std::to_string(maximum) + ", got " +
                          quoted(text(name)));
    }
    return value;
}

std::int64_t WireFields::integer(std::string_view name, std::int64_t minimum, std::int64_t maximum,
                                 std::int64_t default_value) const {
    return has(name) ? integer(name, minimum, maximum) : default_value;
}

std::uint64_t WireFields::seed(std::string_view name) const {
    return parse_integer<std::uint64_t>(name, text(name));
}

bool WireFields::boolean(std::string_view name) const {
    return parse_choice<bool>(name, text(name),
                              {{"1", true}, {"0", false}, {"true", true}, {"false", false}});
}

bool WireFields::boolean(std::string_view name, bool default_value) const {
    return has(name) ? boolean(name) : default_value;
}

Micros WireFields::time(std::string_view name) const {
    return parse_time(name, text(name));
}

Micros WireFields::time(std::string_view name, Micros default_value) const {
    return has(name) ? time(name) : default_value;
}

std::vector<std::string> WireFields::words(std::string_view name) const {
    std::vector<std::string> out;
    std::string_view rest = has(name) ? text(name) : std::string_view{};
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find(','), rest.size());
        out.emplace_back(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return out;
}

std::vector<double> WireFields::numbers(std::string_view name) const {
    std::vector<double> out;
    for (const auto& word : words(name)) {
        out.push_back(parse_number(name, word));
    }
    return out;
}

Settings read_settings(const WireFields& fields) {
    Settings settings;
    read_topology(fields, settings);
    read_operations(fields, settings);
    read_sources(fields, settings);
    read_proxies(fields, settings);
    read_shards(fields, settings);
    read_channel(fields, settings);
    read_reports(fields, settings);
    read_proxy_limits(fields, settings);
    read_rules(fields, settings);
    return settings;
}

Endpoint read_endpoint(const WireFields& fields) {
    Endpoint endpoint;
    endpoint.server = server_of(fields);
    endpoint.zone = {static_cast<int>(fields.integer("rack_zone", -1, kMaxId, -1))};
    constexpr ServerState kStates[] = {ServerState::Gone, ServerState::Ready,
                                       ServerState::Draining};
    endpoint.state = kStates[fields.integer("availability", 0, 2)];
    endpoint.weight = fields.number("part", 1);
    endpoint.started_at = fields.time("start_time", Micros{0});
    return endpoint;
}

bool read_event(const WireFields& fields, const EndpointLists& lists, Event& event) {
    for (const auto& [word, read] : kEventReaders) {
        if (word == fields.word()) {
            event = read(fields, lists);
            return true;
        }
    }
    return false;
}

void write_command(std::string& out, std::string_view instance_id, const Command& command) {
    std::visit(CommandWriter{out, instance_id}, command);
}

std::string to_base64(std::string_view bytes) {
    if (bytes.empty()) {
        return "-";
    }
    std::string out;
    for (std::size_t offset = 0; offset < bytes.size(); offset += 3) {
        std::uint32_t group = 0;
        const std::size_t group_bytes = std::min<std::size_t>(3, bytes.size() - offset);
        for (std::size_t k = 0; k < 3; ++k) {
            group =
                group << 8 | (k < group_bytes ? static_cast<unsigned char>(bytes[offset + k]) : 0u);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out.push_back(k <= group_bytes ? kBase64Digits[group >> (18 - 6 * k) & 63] : '=');
        }
    }
    return out;
}

std::string from_base64(std::string_view text) {
    std::string out;
    if (text == "-") {
        return out;
    }
    if (text.size() % 4 != 0) {
        throw InvalidLine(
            "field \"blob\": expected base64 with a length that is a multiple of 4, got " +
            std::to_string(text.size()) + " characters");
    }
    while (!text.empty() && text.back() == '=') {
        text.remove_suffix(1);
    }
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t digit = kBase64Digits.find(c);
        if (digit == std::string_view::npos) {
            throw InvalidLine("field \"blob\": expected a base64 digit, got " + quoted({&c, 1}));
        }
        group = group << 6 | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out.push_back(static_cast<char>(group >> bits & 255));
        }
    }
    return out;
}

}  // namespace badgergrade::wire
