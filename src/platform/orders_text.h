// An order for one proxy as the bytes of its CONFIG messages. No I/O and no decision.
#pragma once

#include <optional>
#include <string>

#include "drive/orders.h"
#include "platform/config.h"
#include "platform/servers.h"

namespace badgergrade::platform {

// Nothing where the order takes more than the 64 parts that one message may have.
std::optional<std::string> to_config(const drive::Order& order, const Names& names,
                                     const Servers& servers);

}  // namespace badgergrade::platform
