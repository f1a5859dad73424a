// The platform's messages, read and checked: what a proxy or a collector says, in the module's ids.
// No I/O, no state.
#pragma once

#include <stdexcept>
#include <variant>

#include "platform/config.h"
#include "platform/server_ids.h"
#include "policy/event.h"
#include "policy/ids.h"
#include "resp/resp.h"

namespace badgergrade::platform {

// A message whose frame is good but whose contents can't be used: it is dropped, those around it
// count.
struct InvalidMessage : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Ping {};

struct Source {
    ZoneId zone;
};

using Message = std::variant<Ping, Source, event::ProxyConnected, event::ConfigAcknowledged,
                             event::ServerLoadReport, event::ProxyDemandReport>;

// Throws InvalidMessage. Fields that are not known are skipped; one that is missing, doubled, no
// number, out of range, or that names what does not exist spoils the message.
Message read_message(const resp::Message& message, const Names& names, const ServerIds& servers);

}  // namespace badgergrade::platform
