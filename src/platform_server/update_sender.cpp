#include "platform_server/update_sender.h"

#include <map>
#include <optional>
#include <tuple>

#include "platform/config_writer.h"

namespace badgergrade::platform_server {

void UpdateSender::execute(const std::vector<Command>& commands) {
    for (const Command& command : commands) {
        if (const auto* message = std::get_if<command::LogMessage>(&command)) {
            logger_.info("policy.log", {{"text", message->text}});
        }
    }
    const runtime::ApplyResult result = dependencies_.config_state.apply(commands);
    for (const runtime::RejectedCommand& rejected : result.rejected) {
        dependencies_.warnings.warn("order.refused", {{"why", rejected.reason}});
    }
    // Proxies with the same update get the same bytes, which are encoded once.
    using UpdateContents = std::tuple<std::vector<runtime::TableUpdatePtr>, std::vector<ServerId>,
                                      std::vector<ServerId>>;
    std::map<UpdateContents, std::optional<std::string>> encoded_updates;
    for (const runtime::ProxyUpdate& update : result.updates) {
        const auto [entry, is_new] =
            encoded_updates.try_emplace({update.tables, update.eject, update.restore});
        if (is_new) {
            entry->second = platform::write_config(update, dependencies_.protocol_names,
                                                   dependencies_.server_ids);
        }
        if (entry->second) {
            send(update, *entry->second);
        } else {
            dependencies_.warnings.warn(
                "order.refused",
                {{"why", "the update needs more CONFIG parts than the protocol allows"},
                 {"proxy", update.proxy.value}});
        }
    }
}

// Looks up the proxy's connection for each update: sending an earlier one may have closed it.
void UpdateSender::send(const runtime::ProxyUpdate& update, const std::string& bytes) {
    const std::optional<ConnectionId> id = dependencies_.proxy_connections.find(update.proxy);
    if (!id) {
        return;
    }
    if (update.ack_version) {
        dependencies_.connections.at(*id).pending_acks.on_sent(*update.ack_version);
    }
    ++sent_total_;
    dependencies_.connections.write(
        *id, bytes, "send buffer limit exceeded: peer leaves configuration updates unread");
}

}  // namespace badgergrade::platform_server
