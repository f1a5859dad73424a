/// Executes the planner's commands: applies them to the published configuration, encodes the
/// resulting updates as CONFIG messages and writes these to the proxies' connections.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "log/log.h"
#include "log/log_rate_limiter.h"
#include "platform/config.h"
#include "platform/server_ids.h"
#include "platform_server/connection_table.h"
#include "platform_server/proxy_connections.h"
#include "policy/command.h"
#include "runtime/config_state.h"

namespace badgergrade::platform_server {

/// Sends configuration updates. Not thread-safe: used on the loop's thread only. The dependencies
/// must outlive it.
class UpdateSender {
public:
    struct Dependencies {
        const platform::ProtocolNames& protocol_names;
        const platform::ServerIds& server_ids;
        runtime::ConfigState& config_state;
        const ProxyConnections& proxy_connections;
        ConnectionTable& connections;
        log::RateLimitedLogger& warnings;
    };

    UpdateSender(const Dependencies& dependencies, log::Logger logger)
        : dependencies_(dependencies),
          logger_(std::move(logger)) {}

    /// Executes the commands of one decision. May close connections whose peers do not read.
    void execute(const std::vector<Command>& commands);

    /// Number of updates sent since the start.
    std::int64_t sent_total() const { return sent_total_; }

private:
    void send(const runtime::ProxyUpdate& update, const std::string& bytes);

    Dependencies dependencies_;
    log::Logger logger_;
    std::int64_t sent_total_ = 0;
};

}  // namespace badgergrade::platform_server
