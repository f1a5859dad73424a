/// The platform's messages, read and checked: what a proxy or a collector says, as events of the
/// decision module. No I/O, no state.
#pragma once

#include <stdexcept>
#include <variant>

#include "platform/config.h"
#include "platform/server_ids.h"
#include "policy/event.h"
#include "policy/ids.h"
#include "resp/resp.h"

namespace badgergrade::platform {

/// A message whose frame is good but whose contents can't be used; the text says why. It is dropped
/// alone: the messages around it count, since their bytes are not in doubt.
struct InvalidMessage : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A health check of this instance, to be answered.
struct Ping {};

/// A collector identifies itself: it reports the load of this zone.
struct Source {
    ZoneId zone;
};

using Message = std::variant<Ping, Source, event::ProxyConnected, event::ConfigAcknowledged,
                             event::ServerLoadReport, event::ProxyDemandReport>;

/// Reads one message. Unknown fields are skipped. Throws InvalidMessage where a field is missing,
/// stands twice, is no number, is out of range, or names what does not exist.
Message read_message(const resp::Message& message, const ProtocolNames& names,
                     const ServerIds& server_ids);

}  // namespace badgergrade::platform
