/// A configuration update for one proxy as the bytes of its CONFIG messages. No I/O, no decision.
#pragma once

#include <optional>
#include <string>

#include "platform/config.h"
#include "platform/server_ids.h"
#include "runtime/config_state.h"

namespace badgergrade::platform {

/// The bytes of an update: its parts as one CONFIG message each, to be written in one piece.
/// Nothing where the update takes more parts than the protocol allows (64).
std::optional<std::string> write_config(const runtime::ProxyUpdate& update,
                                        const ProtocolNames& names, const ServerIds& server_ids);

}  // namespace badgergrade::platform
