// An order for one proxy as the bytes of its CONFIG messages. No I/O and no decision.
#pragma once

#include <optional>
#include <string>

#include "platform/config.h"
#include "platform/server_ids.h"
#include "runtime/config_state.h"

namespace badgergrade::platform {

// Nothing where the order takes more than the 64 parts that one message may have.
std::optional<std::string> to_config(const runtime::ProxyUpdate& order, const Names& names,
                                     const ServerIds& servers);

}  // namespace badgergrade::platform
