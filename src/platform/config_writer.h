/// Encodes a configuration update for one proxy as CONFIG messages of the platform's protocol.
/// Stateless, no I/O, no decisions.
#pragma once

#include <optional>
#include <string>

#include "platform/config.h"
#include "platform/server_ids.h"
#include "runtime/config_state.h"

namespace badgergrade::platform {

/// Encodes an update as one or more parts, each a CONFIG message. The parts must be sent together
/// and in order. Returns nothing if the update needs more parts than the protocol allows (64).
std::optional<std::string> write_config(const runtime::ProxyUpdate& update,
                                        const ProtocolNames& names, const ServerIds& server_ids);

}  // namespace badgergrade::platform
