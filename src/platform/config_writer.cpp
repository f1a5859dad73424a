#include "platform/config_writer.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "platform/protocol_words.h"
#include "resp/resp.h"

namespace badgergrade::platform {
namespace {

/// Parts of one update: the protocol's bound.
constexpr std::size_t kMaxParts = 64;
/// Rows of one part: ids are 128 bytes at most, so that a part stays well under the 1 MiB that a
/// message may have.
constexpr std::size_t kMaxRowsPerPart = 4000;
/// Characters of the longest finite double without an exponent.
constexpr std::size_t kMaxNumberChars = 400;

/// The words of one message.
using Words = std::vector<std::string>;

void add_field(Words& words, const char* name, std::string value) {
    words.emplace_back(name);
    words.push_back(std::move(value));
}

/// Without an exponent, and with all the digits that the number has. `value` is finite and not
/// negative.
std::string format_number(double value) {
    char buffer[kMaxNumberChars];
    const auto end =
        std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed).ptr;
    return {buffer, end};
}

std::string join_operations(OperationMask operations, const ProtocolNames& names) {
    std::string joined;
    for (std::size_t k = 0; k < names.operations.size(); ++k) {
        if (operations >> k & 1) {
            joined += (joined.empty() ? "" : "+") + names.operations[k];
        }
    }
    return joined;
}

std::string join_servers(const std::vector<ServerId>& servers, const ServerIds& server_ids) {
    std::string joined;
    for (const ServerId server : servers) {
        joined += (joined.empty() ? "" : ",") + server_ids.text_id(server);
    }
    return joined;
}

/// The head of a part for these operations; 0 stands for all of them.
Words begin_part(OperationMask operations, const ProtocolNames& names) {
    Words part{words::kConfig};
    if (operations != 0) {
        add_field(part, words::kFor, join_operations(operations, names));
    }
    return part;
}

/// Adds the weights of a table, in as many parts as their number takes. An empty table that is sent
/// whole takes a part too: it replaces what the proxy has.
void add_weights(std::vector<Words>& parts, const runtime::TableUpdate& update,
                 const ProtocolNames& names, const ServerIds& server_ids) {
    if (!update.replace_all && update.weights.empty()) {
        return;
    }
    auto line = update.weights.begin();
    bool is_first = true;
    do {
        std::string rows;
        for (std::size_t count = 0; line != update.weights.end() && count < kMaxRowsPerPart;
             ++line, ++count) {
            rows += (rows.empty() ? "" : ",") + server_ids.text_id(line->first) + ":" +
                    format_number(line->second);
        }
        Words part = begin_part(update.operations, names);
        if (update.replace_all && is_first) {
            add_field(part, words::kReplace, words::kYes);
        }
        if (!rows.empty()) {
            add_field(part, words::kRows, std::move(rows));
        }
        parts.push_back(std::move(part));
        is_first = false;
    } while (line != update.weights.end());
}

/// Operations that have one admission setting.
struct AdmissionGroup {
    runtime::AdmissionSetting setting;
    OperationMask operations = 0;
};

/// Groups operations by their setting, in the order in which the settings first stand.
std::vector<AdmissionGroup> group_by_setting(const runtime::AdmissionSettings& settings) {
    std::vector<AdmissionGroup> groups;
    for (const auto& [operation, setting] : settings) {
        const OperationMask bit = OperationMask{1} << operation.value;
        const auto same_setting = [&setting = setting](const AdmissionGroup& group) {
            return group.setting == setting;
        };
        const auto group = std::find_if(groups.begin(), groups.end(), same_setting);
        if (group == groups.end()) {
            groups.push_back({setting, bit});
        } else {
            group->operations |= bit;
        }
    }
    return groups;
}

/// Adds admission limits and retry modes. Operations with the same setting share a part.
void add_admission(std::vector<Words>& parts, const runtime::TableUpdate& update,
                   const ProtocolNames& names) {
    for (const AdmissionGroup& group : group_by_setting(update.admission)) {
        Words part = begin_part(group.operations, names);
        add_field(part, words::kGate, format_number(group.setting.limit));
        add_field(part, words::kAgain, std::to_string(static_cast<int>(group.setting.retry_mode)));
        parts.push_back(std::move(part));
    }
}

/// Adds what concerns the whole proxy: any part may carry it, the last one does.
void add_proxy_fields(Words& last_part, const runtime::ProxyUpdate& update,
                      const ServerIds& server_ids) {
    if (!update.eject.empty()) {
        add_field(last_part, words::kDrop, join_servers(update.eject, server_ids));
    }
    if (!update.restore.empty()) {
        add_field(last_part, words::kUndrop, join_servers(update.restore, server_ids));
    }
    if (update.ack_version) {
        add_field(last_part, words::kStamp, std::to_string(update.ack_version->value));
    }
}

}  // namespace

std::optional<std::string> write_config(const runtime::ProxyUpdate& update,
                                        const ProtocolNames& names, const ServerIds& server_ids) {
    std::vector<Words> parts;
    for (const auto& table : update.tables) {
        add_weights(parts, *table, names, server_ids);
        add_admission(parts, *table, names);
    }
    if (parts.empty()) {
        parts.push_back({words::kConfig});
    }
    add_proxy_fields(parts.back(), update, server_ids);
    if (parts.size() > kMaxParts) {
        return std::nullopt;
    }
    std::string bytes;
    for (std::size_t k = 0; k < parts.size(); ++k) {
        const bool more_follow = k + 1 < parts.size();
        if (more_follow) {
            add_field(parts[k], words::kPart, words::kYes);
        }
        resp::write(bytes, parts[k]);
    }
    return bytes;
}

}  // namespace badgergrade::platform
