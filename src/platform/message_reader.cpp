#include "platform/message_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "platform/protocol_words.h"

namespace badgergrade::platform {
namespace {

// Upper limits of numbers. Peers that work correctly stay far below them, and sums of values within
// the limits do not overflow.

/// Attempts or failures in one report.
constexpr double kMaxCount = 1e8;
/// Any time, in milliseconds (more than a day).
constexpr double kMaxTimeMs = 1e8;
/// Announced rate of a proxy, requests per second.
constexpr double kMaxRatePerSecond = 1e7;
/// Configuration version.
constexpr double kMaxVersion = 65535;
/// Value of any load metric.
constexpr double kMaxLoadMetric = 1e12;
/// Limit of the bytes of an invalid value that an error message quotes.
constexpr std::size_t kMaxQuotedBytes = 40;

std::string quoted(std::string_view text) {
    return "'" + std::string(text.substr(0, kMaxQuotedBytes)) + "'";
}

/// Parses a finite number from 0 to `max`. Throws InvalidMessage, which names the field.
double parse_number(std::string_view name, std::string_view text, double max) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) {
        throw InvalidMessage("field \"" + std::string(name) + "\": expected a number, got " +
                             quoted(text));
    }
    if (value < 0 || value > max) {
        throw InvalidMessage("field \"" + std::string(name) + "\": expected 0 to " +
                             std::to_string(std::llround(max)) + ", got " + quoted(text));
    }
    return value;
}

/// A message split into its kind and its name-value pairs. All members throw InvalidMessage.
class MessageFields {
public:
    explicit MessageFields(const resp::Message& message) : words_(message.words) {
        if (!message.only_strings) {
            throw InvalidMessage("expected bulk strings only, got another kind of element");
        }
        if (words_.empty()) {
            throw InvalidMessage("expected a message kind, got an empty message");
        }
        if (words_.size() % 2 == 0) {
            throw InvalidMessage(
                "expected a value for each field name, got a name without a value");
        }
    }

    const std::string& kind() const { return words_.front(); }

    /// Returns the value of a field, or null if the field is missing.
    const std::string* find(std::string_view name) const {
        const std::string* found = nullptr;
        for (std::size_t k = 1; k + 1 < words_.size(); k += 2) {
            if (words_[k] != name) {
                continue;
            }
            if (found) {
                throw InvalidMessage("field \"" + std::string(name) +
                                     "\": expected once, got twice");
            }
            found = &words_[k + 1];
        }
        return found;
    }

    /// Returns the value of a required field.
    const std::string& text(std::string_view name) const {
        const std::string* found = find(name);
        if (!found) {
            throw InvalidMessage("field \"" + std::string(name) + "\" is missing");
        }
        return *found;
    }

    /// Returns a required number from 0 to `max`.
    double number(std::string_view name, double max) const {
        return parse_number(name, text(name), max);
    }

    /// Returns a required integer from 0 to `max`.
    std::int64_t integer(std::string_view name, double max) const {
        const double value = number(name, max);
        if (value != std::floor(value)) {
            throw InvalidMessage("field \"" + std::string(name) + "\": expected an integer, got " +
                                 quoted(text(name)));
        }
        return static_cast<std::int64_t>(value);
    }

    /// Returns a required time, given in decimal milliseconds.
    Micros milliseconds(std::string_view name) const {
        return Micros(std::llround(number(name, kMaxTimeMs) * 1000));
    }

    /// Returns a required flag, given as 0 or 1.
    bool flag(std::string_view name) const {
        const std::string& value = text(name);
        if (value != words::kFalse && value != words::kTrue) {
            throw InvalidMessage("field \"" + std::string(name) + "\": expected 0 or 1, got " +
                                 quoted(value));
        }
        return value == words::kTrue;
    }

    /// Returns the index of a required value in a list of known names.
    int index_in(std::string_view name, const std::vector<std::string>& known) const {
        const std::string& value = text(name);
        const auto it = std::find(known.begin(), known.end(), value);
        if (it == known.end()) {
            throw InvalidMessage("field \"" + std::string(name) +
                                 "\": expected a name from the settings, got " + quoted(value));
        }
        return static_cast<int>(it - known.begin());
    }

private:
    const std::vector<std::string>& words_;
};

ZoneId read_zone(const MessageFields& fields, const ProtocolNames& names) {
    return {fields.index_in(words::kZone, names.zones)};
}

ProxyId read_proxy(const MessageFields& fields, const ProtocolNames& names) {
    if (names.proxy_count < 1) {
        throw InvalidMessage("field \"proxy\": the settings have no proxies");
    }
    return {static_cast<int>(fields.integer(words::kProxy, names.proxy_count - 1))};
}

/// Reads the length of a report's interval. It must be above 0 because counts are divided by it.
Micros read_interval(const MessageFields& fields) {
    const Micros interval = fields.milliseconds(words::kIntervalMs);
    if (interval <= Micros{0}) {
        throw InvalidMessage("field \"span_ms\": expected a time above 0, got 0");
    }
    return interval;
}

/// Reads load metrics, comma-separated name:value pairs, into the order of the settings. Unknown
/// names are ignored, missing ones are 0; an empty text gives an empty list.
std::vector<double> read_load_metrics(std::string_view text, const ProtocolNames& names) {
    if (text.empty()) {
        return {};
    }
    std::vector<double> values(names.load_metrics.size(), 0.0);
    for (std::size_t begin = 0; begin <= text.size();) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const std::string_view pair = text.substr(begin, end - begin);
        const std::size_t colon = pair.find(':');
        if (colon == std::string_view::npos || colon == 0) {
            throw InvalidMessage("field \"load\": expected name:value pairs, got " + quoted(text));
        }
        const double value =
            parse_number(words::kLoadMetrics, pair.substr(colon + 1), kMaxLoadMetric);
        const auto metric =
            std::find(names.load_metrics.begin(), names.load_metrics.end(), pair.substr(0, colon));
        if (metric != names.load_metrics.end()) {
            values[static_cast<std::size_t>(metric - names.load_metrics.begin())] = value;
        }
        begin = end + 1;
    }
    return values;
}

event::ProxyConnected read_subscribe(const MessageFields& fields, const ProtocolNames& names) {
    event::ProxyConnected connected{};
    connected.proxy = read_proxy(fields, names);
    connected.fresh_start = fields.flag(words::kFreshStart);
    connected.zone = read_zone(fields, names);
    connected.announced_rate = fields.number(words::kAnnouncedRate, kMaxRatePerSecond);
    return connected;
}

event::ConfigAcknowledged read_ack(const MessageFields& fields, const ProtocolNames& names) {
    event::ConfigAcknowledged ack{};
    ack.version = {static_cast<int>(fields.integer(words::kAckedVersion, kMaxVersion))};
    ack.proxy = read_proxy(fields, names);
    ack.delay = fields.milliseconds(words::kAckDelayMs);
    return ack;
}

event::ServerLoadReport read_load(const MessageFields& fields, const ProtocolNames& names,
                                  const ServerIds& server_ids) {
    const std::string& server_text = fields.text(words::kServer);
    const auto server = server_ids.find(server_text);
    if (!server) {
        throw InvalidMessage("field \"server\": expected a server known from discovery, got " +
                             quoted(server_text));
    }
    event::ServerLoadReport report{};
    report.zone = read_zone(fields, names);
    report.server = *server;
    report.attempts = fields.integer(words::kAttempts, kMaxCount);
    report.failures = fields.integer(words::kFailures, kMaxCount);
    report.mean_latency = fields.milliseconds(words::kMeanLatencyMs);
    report.interval = read_interval(fields);
    if (const std::string* metrics = fields.find(words::kLoadMetrics)) {
        report.load_metrics = read_load_metrics(*metrics, names);
    }
    return report;
}

event::ProxyDemandReport read_rate(const MessageFields& fields, const ProtocolNames& names) {
    event::ProxyDemandReport report{};
    report.proxy = read_proxy(fields, names);
    report.operation = {fields.index_in(words::kOperation, names.operations)};
    report.attempts = fields.integer(words::kAttempts, kMaxCount);
    report.failures = fields.integer(words::kFailures, kMaxCount);
    report.interval = read_interval(fields);
    return report;
}

}  // namespace

Message read_message(const resp::Message& message, const ProtocolNames& names,
                     const ServerIds& server_ids) {
    const MessageFields fields(message);
    const std::string& kind = fields.kind();
    if (kind == words::kPing) {
        return Ping{};
    }
    if (kind == words::kSource) {
        return Source{read_zone(fields, names)};
    }
    if (kind == words::kSubscribe) {
        return read_subscribe(fields, names);
    }
    if (kind == words::kAck) {
        return read_ack(fields, names);
    }
    if (kind == words::kLoad) {
        return read_load(fields, names, server_ids);
    }
    if (kind == words::kRate) {
        return read_rate(fields, names);
    }
    throw InvalidMessage(
        "expected PING, SOURCE, SUBSCRIBE, ACK, LOAD or RATE as message kind, got " + quoted(kind));
}

}  // namespace badgergrade::platform
