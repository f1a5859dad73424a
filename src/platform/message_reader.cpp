#include "platform/message_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace badgergrade::platform {
namespace {

// No sum of a report, no time and no rate of a proxy comes near these.
constexpr double kCountMost = 1e8, kMsMost = 1e8, kRateMost = 1e7, kMarkMost = 65535,
                 kGaugeMost = 1e12;

std::string quoted(std::string_view text) {
    return "'" + std::string(text.substr(0, 40)) + "'";
}

class Fields {
public:
    explicit Fields(const resp::Message& message) : words_(message.words) {
        if (!message.plain) {
            throw InvalidMessage("holds something other than strings");
        }
        if (words_.empty()) {
            throw InvalidMessage("is empty");
        }
        if (words_.size() % 2 == 0) {
            throw InvalidMessage("has a name without a value");
        }
    }

    const std::string& kind() const { return words_.front(); }

    const std::string* find(std::string_view name) const {
        const std::string* found = nullptr;
        for (std::size_t k = 1; k + 1 < words_.size(); k += 2) {
            if (words_[k] != name) {
                continue;
            }
            if (found) {
                throw InvalidMessage(std::string(name) + " stands twice");
            }
            found = &words_[k + 1];
        }
        return found;
    }

    const std::string& text(std::string_view name) const {
        const std::string* found = find(name);
        if (!found) {
            throw InvalidMessage(std::string(name) + " is missing");
        }
        return *found;
    }

    double number(std::string_view name, double most) const {
        return in_range(name, text(name), most);
    }

    std::int64_t whole(std::string_view name, double most) const {
        const double value = number(name, most);
        if (value != std::floor(value)) {
            throw InvalidMessage(std::string(name) + " is no whole number: " + quoted(text(name)));
        }
        return static_cast<std::int64_t>(value);
    }

    Micros ms(std::string_view name) const {
        return Micros(std::llround(number(name, kMsMost) * 1000));
    }

    bool yes(std::string_view name) const {
        const std::string& value = text(name);
        if (value != "0" && value != "1") {
            throw InvalidMessage(std::string(name) + " is neither 0 nor 1: " + quoted(value));
        }
        return value == "1";
    }

    // The place of a name in a list.
    int place(std::string_view name, const std::vector<std::string>& known) const {
        const std::string& value = text(name);
        const auto it = std::find(known.begin(), known.end(), value);
        if (it == known.end()) {
            throw InvalidMessage(std::string(name) + " is not known: " + quoted(value));
        }
        return static_cast<int>(it - known.begin());
    }

    static double in_range(std::string_view name, std::string_view text, double most) {
        double value = 0;
        const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (wrong != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) {
            throw InvalidMessage(std::string(name) + " is no number: " + quoted(text));
        }
        if (value < 0 || value > most) {
            throw InvalidMessage(std::string(name) + " is out of range: " + quoted(text));
        }
        return value;
    }

private:
    const std::vector<std::string>& words_;
};

ProxyId proxy_of(const Fields& fields, const Names& names) {
    if (names.proxies < 1) {
        throw InvalidMessage("proxy is out of range: there is none");
    }
    return {static_cast<int>(fields.whole("proxy", names.proxies - 1))};
}

Micros span_of(const Fields& fields) {
    const Micros span = fields.ms("span_ms");
    if (span <= Micros{0}) {
        throw InvalidMessage("span_ms is out of range: '0'");
    }
    return span;
}

// `name:value` pairs by commas, put in the settings' order of columns; what they don't name is
// skipped.
std::vector<double> gauges(const std::string& text, const Names& names) {
    std::vector<double> out;
    if (text.empty()) {
        return out;
    }
    std::vector<double> values(names.load_columns.size(), 0.0);
    for (std::size_t at = 0; at <= text.size();) {
        const std::size_t end = std::min(text.find(',', at), text.size());
        const std::string_view pair = std::string_view(text).substr(at, end - at);
        const std::size_t colon = pair.find(':');
        if (colon == std::string_view::npos || colon == 0) {
            throw InvalidMessage("load is no list of pairs: " + quoted(text));
        }
        const double value = Fields::in_range("load", pair.substr(colon + 1), kGaugeMost);
        const auto column =
            std::find(names.load_columns.begin(), names.load_columns.end(), pair.substr(0, colon));
        if (column != names.load_columns.end()) {
            values[static_cast<std::size_t>(column - names.load_columns.begin())] = value;
        }
        at = end + 1;
    }
    return values;
}

event::ServerLoadReport heard(const Fields& fields, const Names& names, const ServerIds& servers) {
    const std::string& id = fields.text("server");
    const auto server = servers.number(id);
    if (!server) {
        throw InvalidMessage("server is not known: " + quoted(id));
    }
    event::ServerLoadReport out{};
    out.zone = {fields.place("zone", names.zones)};
    out.server = *server;
    out.attempts = fields.whole("tries", kCountMost);
    out.failures = fields.whole("failed", kCountMost);
    out.mean_latency = fields.ms("mean_ms");
    out.interval = span_of(fields);
    if (const std::string* load = fields.find("load")) {
        out.load_metrics = gauges(*load, names);
    }
    return out;
}

event::ProxyDemandReport demand(const Fields& fields, const Names& names) {
    event::ProxyDemandReport out{};
    out.proxy = proxy_of(fields, names);
    out.operation = {fields.place("class", names.operations)};
    out.attempts = fields.whole("tries", kCountMost);
    out.failures = fields.whole("failed", kCountMost);
    out.interval = span_of(fields);
    return out;
}

}  // namespace

Message read_message(const resp::Message& message, const Names& names, const ServerIds& servers) {
    const Fields fields(message);
    const std::string& kind = fields.kind();
    if (kind == "PING") {
        return Ping{};
    }
    if (kind == "SOURCE") {
        return Source{{fields.place("zone", names.zones)}};
    }
    if (kind == "SUBSCRIBE") {
        return event::ProxyConnected{proxy_of(fields, names),
                                     fields.yes("fresh"),
                                     {fields.place("zone", names.zones)},
                                     fields.number("weight", kRateMost)};
    }
    if (kind == "ACK") {
        const auto mark = static_cast<int>(fields.whole("mark", kMarkMost));
        return event::ConfigAcknowledged{proxy_of(fields, names), {mark}, fields.ms("took_ms")};
    }
    if (kind == "LOAD") {
        return heard(fields, names, servers);
    }
    if (kind == "RATE") {
        return demand(fields, names);
    }
    throw InvalidMessage("is of no known kind: " + quoted(kind));
}

}  // namespace badgergrade::platform
