/// Decodes and validates the messages that proxies and collectors send over the platform's
/// protocol, and health checks. SUBSCRIBE, reports and acknowledgements become events of the
/// policy. Stateless, no I/O.
#pragma once

#include <stdexcept>
#include <variant>

#include "platform/config.h"
#include "platform/server_ids.h"
#include "policy/event.h"
#include "policy/ids.h"
#include "resp/resp.h"

namespace badgergrade::platform {

/// A message that is well-formed RESP, but whose contents are not valid or not allowed on its
/// connection; what() says why. Since the framing is intact, the messages around it are still
/// valid: the server drops only this message, unless its peer is unidentified and therefore
/// rejected.
struct InvalidMessage : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A health check of this instance, to be answered with PONG.
struct Ping {};

/// Identifies the sender as a collector, which reports the load of this zone.
struct Source {
    ZoneId zone;
};

using Message = std::variant<Ping, Source, event::ProxyConnected, event::ConfigAcknowledged,
                             event::ServerLoadReport, event::ProxyDemandReport>;

/// Decodes one message. Unknown fields are ignored. Throws InvalidMessage if the message is empty,
/// has elements other than bulk strings, a field name without a value or an unknown kind, or if a
/// known field is missing, duplicated, not a number, out of range, or names a zone, operation,
/// proxy or server that does not exist.
Message read_message(const resp::Message& message, const ProtocolNames& names,
                     const ServerIds& server_ids);

}  // namespace badgergrade::platform
