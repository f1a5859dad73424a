#include "platform/config_writer.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "platform/protocol_words.h"
#include "resp/resp.h"

namespace badgergrade::platform {
namespace {

/// Limit of the protocol for the parts of one update.
constexpr std::size_t kMaxParts = 64;
/// Limit of the weights in one part. Server ids have at most 128 bytes, so that a part stays well
/// under the limit of 1 MiB for a message.
constexpr std::size_t kMaxWeightsPerPart = 4000;
/// Enough characters for any finite double without an exponent.
constexpr std::size_t kMaxNumberChars = 400;

/// The bulk strings of one message.
using Words = std::vector<std::string>;

void add_field(Words& words, const char* name, std::string value) {
    words.emplace_back(name);
    words.push_back(std::move(value));
}

/// Formats a number without an exponent and without loss. `value` must be finite and not negative.
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

/// Begins a part that applies to these operations; 0 stands for all operations.
Words begin_part(OperationMask operations, const ProtocolNames& names) {
    Words part{words::kConfig};
    if (operations != 0) {
        add_field(part, words::kOperations, join_operations(operations, names));
    }
    return part;
}

/// Adds the weights of a table, split over several parts if there are too many for one. An empty
/// table with `replace_all` needs a part too, because it replaces the table that the proxy has.
void add_weights(std::vector<Words>& parts, const runtime::TableUpdate& update,
                 const ProtocolNames& names, const ServerIds& server_ids) {
    if (!update.replace_all && update.weights.empty()) {
        return;
    }
    auto weight = update.weights.begin();
    bool is_first = true;
    do {
        std::string rows;
        for (std::size_t count = 0; weight != update.weights.end() && count < kMaxWeightsPerPart;
             ++weight, ++count) {
            rows += (rows.empty() ? "" : ",") + server_ids.text_id(weight->first) + ":" +
                    format_number(weight->second);
        }
        Words part = begin_part(update.operations, names);
        if (update.replace_all && is_first) {
            add_field(part, words::kReplaceTable, words::kTrue);
        }
        if (!rows.empty()) {
            add_field(part, words::kWeights, std::move(rows));
        }
        parts.push_back(std::move(part));
        is_first = false;
    } while (weight != update.weights.end());
}

/// Operations that share an admission setting.
struct AdmissionGroup {
    runtime::AdmissionSetting setting;
    OperationMask operations = 0;
};

/// Groups operations by their setting, in the order of the first operation with each setting.
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

/// Adds admission limits and retry modes, one part for each different setting.
void add_admission(std::vector<Words>& parts, const runtime::TableUpdate& update,
                   const ProtocolNames& names) {
    for (const AdmissionGroup& group : group_by_setting(update.admission)) {
        Words part = begin_part(group.operations, names);
        add_field(part, words::kAdmissionLimit, format_number(group.setting.limit));
        add_field(part, words::kRetryMode,
                  std::to_string(static_cast<int>(group.setting.retry_mode)));
        parts.push_back(std::move(part));
    }
}

/// Adds the fields that concern the whole proxy. The protocol allows them in any part; they are
/// added to the last one.
void add_proxy_fields(Words& last_part, const runtime::ProxyUpdate& update,
                      const ServerIds& server_ids) {
    if (!update.eject.empty()) {
        add_field(last_part, words::kEject, join_servers(update.eject, server_ids));
    }
    if (!update.restore.empty()) {
        add_field(last_part, words::kRestore, join_servers(update.restore, server_ids));
    }
    if (update.ack_version) {
        add_field(last_part, words::kAckVersion, std::to_string(update.ack_version->value));
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
            add_field(parts[k], words::kMoreParts, words::kTrue);
        }
        resp::write(bytes, parts[k]);
    }
    return bytes;
}

}  // namespace badgergrade::platform
