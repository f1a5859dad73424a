// The platform's messages, read and checked: what a proxy or a collector says, in the module's ids.
// No I/O, no state.
#pragma once

#include <stdexcept>
#include <variant>

#include "platform/config.h"
#include "platform/servers.h"
#include "resp/resp.h"
#include "types.h"

namespace badgergrade::platform {

// A message whose frame is good but whose contents can't be used: it is dropped, those around it
// count.
struct Spoilt : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Ping {};

struct Source {
    ZoneId zone;
};

using Message = std::variant<Ping, Source, ev::Joined, ev::Applied, ev::Heard, ev::Demand>;

// Throws Spoilt. Fields that are not known are skipped; one that is missing, doubled, no number,
// out of range, or that names what does not exist spoils the message.
Message read_message(const resp::Message& message, const Names& names, const Servers& servers);

}  // namespace badgergrade::platform
