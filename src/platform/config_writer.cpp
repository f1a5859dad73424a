#include "platform/config_writer.h"

#include <charconv>

#include "resp/resp.h"

namespace badgergrade::platform {
namespace {

constexpr std::size_t kPartsMost = 64;
// Rows of one part: ids are 128 bytes at most, so that a part stays well under 1 MiB.
constexpr std::size_t kRowsMost = 4000;

// Without an exponent, and with all the digits that the number has. Weights and levels are finite
// and not below 0.
std::string number(double value) {
    char room[400];
    const auto end = std::to_chars(room, room + sizeof room, value, std::chars_format::fixed).ptr;
    return {room, end};
}

using Words = std::vector<std::string>;

std::string classes(OperationMask ops, const Names& names) {
    std::string out;
    for (std::size_t k = 0; k < names.operations.size(); ++k) {
        if (ops >> k & 1) {
            out += (out.empty() ? "" : "+") + names.operations[k];
        }
    }
    return out;
}

Words opening(OperationMask ops, const Names& names) {
    Words words{"CONFIG"};
    if (ops != 0) {
        words.insert(words.end(), {"for", classes(ops, names)});
    }
    return words;
}

void add_lines(std::vector<Words>& parts, const runtime::TableUpdate& part, const Names& names,
               const ServerIds& servers) {
    if (!part.replace_all && part.weights.empty()) {
        return;
    }
    auto it = part.weights.begin();
    bool first = true;
    do {
        std::string rows;
        for (std::size_t count = 0; it != part.weights.end() && count < kRowsMost; ++it, ++count) {
            rows += (rows.empty() ? "" : ",") + servers.id(it->first) + ":" + number(it->second);
        }
        Words words = opening(part.operations, names);
        if (part.replace_all && first) {
            words.insert(words.end(), {"replace", "1"});
        }
        if (!rows.empty()) {
            words.insert(words.end(), {"rows", rows});
        }
        parts.push_back(std::move(words));
        first = false;
    } while (it != part.weights.end());
}

// Operations with the same level share a part.
void add_levels(std::vector<Words>& parts, const runtime::TableUpdate& part, const Names& names) {
    std::vector<std::pair<runtime::AdmissionSetting, OperationMask>> groups;
    for (const auto& [op, level] : part.admission) {
        const OperationMask bit = OperationMask{1} << op.value;
        bool found = false;
        for (auto& [known, ops] : groups) {
            if (known == level) {
                ops |= bit;
                found = true;
            }
        }
        if (!found) {
            groups.emplace_back(level, bit);
        }
    }
    for (const auto& [level, ops] : groups) {
        Words words = opening(ops, names);
        words.insert(words.end(), {"gate", number(level.limit), "again",
                                   std::to_string(static_cast<int>(level.retry_mode))});
        parts.push_back(std::move(words));
    }
}

std::string ids(const std::vector<ServerId>& list, const ServerIds& servers) {
    std::string out;
    for (const ServerId server : list) {
        out += (out.empty() ? "" : ",") + servers.id(server);
    }
    return out;
}

}  // namespace

std::optional<std::string> to_config(const runtime::ProxyUpdate& order, const Names& names,
                                     const ServerIds& servers) {
    std::vector<Words> parts;
    for (const auto& part : order.tables) {
        add_lines(parts, *part, names, servers);
        add_levels(parts, *part, names);
    }
    if (parts.empty()) {
        parts.push_back({"CONFIG"});
    }
    // These speak of the whole proxy: any part may carry them, the last one does.
    Words& last = parts.back();
    if (!order.eject.empty()) {
        last.insert(last.end(), {"drop", ids(order.eject, servers)});
    }
    if (!order.restore.empty()) {
        last.insert(last.end(), {"undrop", ids(order.restore, servers)});
    }
    if (order.ack_version) {
        last.insert(last.end(), {"stamp", std::to_string(order.ack_version->value)});
    }
    if (parts.size() > kPartsMost) {
        return std::nullopt;
    }
    std::string out;
    for (std::size_t k = 0; k < parts.size(); ++k) {
        if (k + 1 < parts.size()) {
            parts[k].insert(parts[k].end(), {"part", "1"});
        }
        resp::write(out, parts[k]);
    }
    return out;
}

}  // namespace badgergrade::platform
