#include "codec.h"

#include <charconv>
#include <cmath>

namespace badgergrade::wire {

namespace {

std::string quoted(std::string_view text) {
    return "'" + std::string(text.substr(0, 80)) + "'";
}

double to_number(std::string_view name, std::string_view text) {
    double value = 0;
    const auto end = text.data() + text.size();
    const auto [at, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || at != end || !std::isfinite(value)) {
        throw Malformed(std::string(name) + " is no number: " + quoted(text));
    }
    return value;
}

template <class Rep>
Rep to_whole(std::string_view name, std::string_view text) {
    Rep value = 0;
    const auto end = text.data() + text.size();
    const auto [at, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || at != end) {
        throw Malformed(std::string(name) + " is no whole number: " + quoted(text));
    }
    return value;
}

Micros to_time(std::string_view name, std::string_view text) {
    const double ms = to_number(name, text);
    if (std::abs(ms) > 1e15) {
        throw Malformed(std::string(name) + " is out of range: " + quoted(text));
    }
    return Micros(std::llround(ms * 1000.0));
}

template <class Enum>
Enum choice(std::string_view name, std::string_view text,
            std::initializer_list<std::pair<std::string_view, Enum>> known) {
    for (const auto& [word, value] : known) {
        if (word == text) {
            return value;
        }
    }
    throw Malformed(std::string(name) + " is not known: " + quoted(text));
}

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

class Line {
public:
    Line(std::string& out, std::string_view word, std::string_view governor) : out_(out) {
        out_.append(word).append("\tgovernor_id=").append(governor);
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
        char room[64];
        const auto end = std::to_chars(room, room + sizeof room, value).ptr;
        return text(name, {room, static_cast<std::size_t>(end - room)});
    }

    Line& flag(std::string_view name, bool value) { return text(name, value ? "1" : "0"); }

private:
    std::string& out_;
};

struct Writer {
    std::string& out;
    std::string_view governor;

    Line line(std::string_view word) const { return {out, word, governor}; }

    void operator()(const command::SetTimer& a) const {
        line("timer")
            .text("mark", a.token)
            .number("offset", static_cast<double>(a.delay.count()) / 1000.0);
    }

    void operator()(const command::LogMessage& a) const {
        std::string clean = a.text;
        for (char& c : clean) {
            if (c == '\n' || c == '\r') {
                c = ' ';
            }
        }
        line("record").text("what", clean);
    }

    void operator()(const command::WatchEndpoints& a) const {
        line("observe").flag("flag", a.enabled);
    }

    void operator()(const command::FetchEndpoints&) const { line("fetch"); }

    void operator()(const command::CheckHealth& a) const {
        line("check").number("replica", a.server.value);
    }

    void operator()(const command::SendGossip& a) const {
        line("share")
            .text("recipient", a.recipient ? std::to_string(a.recipient->value) : "*")
            .text("blob", to_base64(a.payload));
    }

    void operator()(const command::SetWeight& a) const {
        line("set_weight")
            .number("map_id", a.table.value)
            .number("part", a.weight)
            .number("replica", a.server.value);
    }

    void operator()(const command::ClearTable& a) const {
        line("blank").number("map_id", a.table.value);
    }

    void operator()(const command::AssignTable& a) const {
        line("bind")
            .number("only", a.operations)
            .number("map_id", a.table.value)
            .number("sidecar", a.proxy.value);
    }

    void operator()(const command::SetEjected& a) const {
        line("bench").number("replica", a.server.value).flag("flag", a.ejected);
    }

    void operator()(const command::SetAdmission& a) const {
        line("ration")
            .number("map_id", a.table.value)
            .number("only", a.operations)
            .number("let_in", a.limit)
            .number("second_try", static_cast<int>(a.retry_mode));
    }

    void operator()(const command::RequestAck& a) const {
        line("barrier").flag("flag", a.all_proxies).number("version", a.version.value);
    }
};

ServerId server_of(const Parts& p) {
    return {static_cast<std::uint32_t>(p.whole("replica", 0, 4294967295LL))};
}

TableId table_of(const Parts& p) {
    return {static_cast<int>(p.whole("map_id", 0, 65535))};
}

ProxyId proxy_of(const Parts& p) {
    return {static_cast<int>(p.whole("sidecar", 0, 65535))};
}

ZoneId zone_of(const Parts& p) {
    return {static_cast<int>(p.whole("rack_zone", 0, 65535))};
}

OperationId op_of(const Parts& p) {
    return {static_cast<int>(p.whole("kind", 0, 63))};
}

std::int64_t count_of(const Parts& p, std::string_view name) {
    return p.whole(name, 0, 1LL << 40, 0);
}

Operation read_operation(const Parts& p, const std::string& at) {
    Operation op;
    op.name = p.text(at + "name");
    op.latency_objective = p.time(at + "aim");
    op.integration_timeout = p.time(at + "deadline");
    op.effect = choice<Effect>(at + "effect", p.text(at + "effect"),
                               {{"safe", Effect::Idempotent},
                                {"keyed", Effect::Fingerprinted},
                                {"unsafe", Effect::SideEffecting}});
    if (p.has(at + "group")) {
        op.scope =
            choice<Scope>(at + "group", p.text(at + "group"),
                          {{"all", Scope::All}, {"zone", Scope::Zone}, {"cell", Scope::Cell}});
    }
    op.fingerprint_ttl = p.time(at + "key_ttl", Micros{0});
    op.priority_weight = p.number(at + "worth", 1);
    return op;
}

}  // namespace

Parts::Parts(std::string_view line) {
    std::size_t at = 0;
    bool first = true;
    while (at <= line.size()) {
        const std::size_t end = std::min(line.find('\t', at), line.size());
        const std::string_view part = line.substr(at, end - at);
        if (first) {
            word_ = part;
            first = false;
        } else if (const std::size_t eq = part.find('='); eq != std::string_view::npos && eq > 0) {
            const std::string_view name = part.substr(0, eq);
            parts_.emplace_back(name,
                                name == "what" ? line.substr(at + eq + 1) : part.substr(eq + 1));
            if (name == "what") {
                break;
            }
        } else if (!part.empty()) {
            throw Malformed("a part has no name=value form: " + quoted(part));
        }
        at = end + 1;
    }
    if (parts_.size() > 12) {
        for (const auto& [name, value] : parts_) {
            index_.emplace(name, value);
        }
    }
}

const std::string_view* Parts::find(std::string_view name) const {
    if (!index_.empty()) {
        const auto it = index_.find(name);
        return it == index_.end() ? nullptr : &it->second;
    }
    for (const auto& part : parts_) {
        if (part.first == name) {
            return &part.second;
        }
    }
    return nullptr;
}

std::string_view Parts::text(std::string_view name) const {
    const auto* value = find(name);
    if (!value) {
        throw Malformed(std::string(name) + " is missing");
    }
    return *value;
}

double Parts::number(std::string_view name) const {
    return to_number(name, text(name));
}

double Parts::number(std::string_view name, double absent) const {
    return has(name) ? number(name) : absent;
}

std::int64_t Parts::whole(std::string_view name, std::int64_t least, std::int64_t most) const {
    const auto value = to_whole<std::int64_t>(name, text(name));
    if (value < least || value > most) {
        throw Malformed(std::string(name) + " is out of range: " + quoted(text(name)));
    }
    return value;
}

std::int64_t Parts::whole(std::string_view name, std::int64_t least, std::int64_t most,
                          std::int64_t absent) const {
    return has(name) ? whole(name, least, most) : absent;
}

std::uint64_t Parts::seed(std::string_view name) const {
    return to_whole<std::uint64_t>(name, text(name));
}

bool Parts::truth(std::string_view name) const {
    return choice<bool>(name, text(name),
                        {{"1", true}, {"0", false}, {"true", true}, {"false", false}});
}

bool Parts::truth(std::string_view name, bool absent) const {
    return has(name) ? truth(name) : absent;
}

Micros Parts::time(std::string_view name) const {
    return to_time(name, text(name));
}

Micros Parts::time(std::string_view name, Micros absent) const {
    return has(name) ? time(name) : absent;
}

std::vector<std::string> Parts::words(std::string_view name) const {
    std::vector<std::string> out;
    std::string_view rest = has(name) ? text(name) : std::string_view{};
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find(','), rest.size());
        out.emplace_back(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return out;
}

std::vector<double> Parts::numbers(std::string_view name) const {
    std::vector<double> out;
    for (const auto& word : words(name)) {
        out.push_back(to_number(name, word));
    }
    return out;
}

Settings read_settings(const Parts& p) {
    Settings s;
    s.ordinal = static_cast<int>(p.whole("ordinal", 0, 65535, 0));
    s.instance_count = static_cast<int>(p.whole("balancers", 1, 65535, 1));
    s.zone = {static_cast<int>(p.whole("zone", 0, 65535, 0))};
    s.zone_count = std::max(1, static_cast<int>(p.words("zones").size()));
    for (std::int64_t k = 0, n = p.whole("request_classes.count", 0, 64, 0); k < n; ++k) {
        s.operations.push_back(read_operation(p, "request_classes." + std::to_string(k) + "."));
    }
    const auto own = p.words("extra.class_own_zone");
    for (std::size_t k = 0; k < own.size() && k < s.operations.size(); ++k) {
        s.operations[k].local_only = own[k] == "true" || own[k] == "1";
    }
    if (p.has("weights")) {
        s.listed_weights = choice<ListedWeights>("weights", p.text("weights"),
                                                 {{"none", ListedWeights::None},
                                                  {"nominal", ListedWeights::Nominal},
                                                  {"rough", ListedWeights::Rough},
                                                  {"live", ListedWeights::Live}});
    }
    s.endpoints_on_request = p.has("discovery") && p.text("discovery") == "on_request";
    s.health_checks_allowed = p.truth("bounds.may_probe", false);
    s.gossip_allowed = p.truth("bounds.peers", false);
    s.load_metric_names = p.words("report.columns");
    if (p.has("extra.admit")) {
        s.admission_mode = choice<AdmissionMode>("extra.admit", p.text("extra.admit"),
                                                 {{"none", AdmissionMode::None},
                                                  {"share", AdmissionMode::Fraction},
                                                  {"rate", AdmissionMode::Rate}});
    }
    if (p.has("extra.lb_method")) {
        s.pick_policy = choice<PickPolicy>("extra.lb_method", p.text("extra.lb_method"),
                                           {{"weighted", PickPolicy::WeightedRandom},
                                            {"round", PickPolicy::RoundRobin},
                                            {"two", PickPolicy::LeastOfTwo}});
    }
    s.default_retry_mode = static_cast<RetryMode>(p.whole("extra.default_retry", 0, 3, 1));
    s.proxy_count = static_cast<int>(p.number("extra.data_plane_size", 0));
    s.shard_count = static_cast<int>(p.number("extra.key_ranges", 0));
    s.exclusive_shards = p.truth("extra.exclusive", false);
    s.shard_settle_time = p.time("extra.settle", Micros{0});
    s.channel_lines_per_second = p.number("extra.channel_rate", 0);
    s.message_head_lines = p.number("extra.per_message", 0);
    s.max_queued_lines = p.number("extra.pending_max", 0);
    s.max_messages = static_cast<int>(p.number("extra.reloads_max", 0));
    s.message_window = p.time("extra.update_window", Micros{0});
    s.mean_network_delay = p.time("extra.transit", Micros{0});
    s.max_network_delay = p.time("extra.push_delay_max", Micros{0});
    s.report_interval = p.time("extra.period", Micros{0});
    s.max_reports_per_second = p.number("extra.intake_per_s", 0);
    s.proxy_ejection_failures = static_cast<int>(p.number("extra.outlier_after", 0));
    s.attempt_timeout_factor = p.number("extra.try_factor", 1);
    s.max_time_without_server = p.time("extra.empty_for", Micros{0});
    s.initial_capacity_fraction = p.number("rules.cold_from", 1);
    s.slow_start_window = p.time("rules.cold", Micros{0});
    s.drain_grace = p.time("rules.stop_sending_within", Micros{0});
    s.connection_idle_timeout = p.time("bounds.conn_idle", Micros{0});
    s.vanished_may_stay = p.truth("rules.dropped_stay_open", false);
    s.overload_collapse_factor = p.number("rules.tip_multiple", 0);
    s.overload_collapse_time = p.time("rules.tip_after", Micros{0});
    return s;
}

Endpoint read_row(const Parts& p) {
    Endpoint row;
    row.server = server_of(p);
    row.zone = {static_cast<int>(p.whole("rack_zone", -1, 65535, -1))};
    constexpr ServerState states[] = {ServerState::Gone, ServerState::Ready, ServerState::Draining};
    row.state = states[p.whole("availability", 0, 2)];
    row.weight = p.number("part", 1);
    row.started_at = p.time("start_time", Micros{0});
    return row;
}

bool read_event(const Parts& p, const Inventories& lists, Event& out) {
    const std::string_view word = p.word();
    if (word == "targets") {
        event::EndpointListUpdate list;
        constexpr UpdateKind forms[] = {UpdateKind::WatchFailed, UpdateKind::Delta,
                                        UpdateKind::Cached, UpdateKind::WatchFailed,
                                        UpdateKind::Snapshot};
        const auto form = p.whole("form", 0, 4);
        if (form == 3) {
            throw Malformed("form is not known: '3'");
        }
        list.kind = forms[form];
        if (list.kind != UpdateKind::WatchFailed) {
            const auto it = lists.find(static_cast<int>(p.whole("ref", 0, 15)));
            if (it == lists.end()) {
                throw Malformed("ref names no inventory");
            }
            list.endpoints = it->second;
        }
        out = std::move(list);
    } else if (word == "due") {
        out = event::TimerFired{std::string(p.text("mark"))};
    } else if (word == "ping_result") {
        const auto outcome =
            choice<HealthCheckOutcome>("outcome", p.text("outcome"),
                                       {{"GOOD", HealthCheckOutcome::Healthy},
                                        {"BAD", HealthCheckOutcome::Failed},
                                        {"FULL", HealthCheckOutcome::Overloaded},
                                        {"LATE", HealthCheckOutcome::TimedOut},
                                        {"NOCONN", HealthCheckOutcome::Unreachable},
                                        {"RST", HealthCheckOutcome::Reset},
                                        {"CXL", HealthCheckOutcome::Other},
                                        {"NOP", HealthCheckOutcome::Other}});
        out = event::HealthCheckResult{server_of(p), outcome, p.time("took", Micros{0}),
                                       p.numbers("gauge")};
    } else if (word == "from_peer") {
        out = event::GossipMessage{{static_cast<int>(p.whole("neighbour", 0, 65535))},
                                   from_base64(p.text("blob"))};
    } else if (word == "connected") {
        out = event::ProxyConnected{proxy_of(p), p.truth("flag", false), zone_of(p),
                                    p.number("part", 0)};
    } else if (word == "left") {
        out = event::ProxyDisconnected{proxy_of(p)};
    } else if (word == "heard") {
        out = event::ServerLoadReport{zone_of(p),
                                      server_of(p),
                                      count_of(p, "many"),
                                      count_of(p, "failed"),
                                      p.time("took", Micros{0}),
                                      p.time("over", Micros{0}),
                                      p.numbers("gauge")};
    } else if (word == "demand") {
        out = event::ProxyDemandReport{proxy_of(p), op_of(p), count_of(p, "many"),
                                       count_of(p, "failed"), p.time("over", Micros{0})};
    } else if (word == "slice_load") {
        out = event::ShardDemandReport{table_of(p), op_of(p), count_of(p, "many"),
                                       count_of(p, "failed"), p.time("over", Micros{0})};
    } else if (word == "tenure") {
        out = event::ShardAssignmentChanged{table_of(p), p.truth("flag")};
    } else if (word == "in_store") {
        out = event::ShardReplica{table_of(p), server_of(p), p.number("part", 1)};
    } else if (word == "in_force") {
        out = event::ConfigAcknowledged{proxy_of(p),
                                        {static_cast<int>(p.whole("version", 0, 65535))},
                                        p.time("took", Micros{0})};
    } else {
        return false;
    }
    return true;
}

void write_action(std::string& out, std::string_view governor, const Command& action) {
    std::visit(Writer{out, governor}, action);
}

std::string to_base64(std::string_view bytes) {
    if (bytes.empty()) {
        return "-";
    }
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const std::size_t have = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (k < have ? static_cast<unsigned char>(bytes[at + k]) : 0u);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out.push_back(k <= have ? kDigits[group >> (18 - 6 * k) & 63] : '=');
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
        throw Malformed("blob is no base64: its length is no multiple of 4");
    }
    while (!text.empty() && text.back() == '=') {
        text.remove_suffix(1);
    }
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t digit = kDigits.find(c);
        if (digit == std::string_view::npos) {
            throw Malformed("blob is no base64: " + quoted({&c, 1}));
        }
        group = group << 6 | static_cast<std::uint32_t>(digit);
        if ((bits += 6) >= 8) {
            out.push_back(static_cast<char>(group >> (bits -= 8) & 255));
        }
    }
    return out;
}

}  // namespace badgergrade::wire
