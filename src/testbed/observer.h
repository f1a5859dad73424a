// What the stand-ins see pass on their sockets: told to whoever watches a day (the auditor, the
// figures, a recorder). Names are those of the day's script; a watcher never hears from the
// governor itself.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/ids.h"
#include "xds_server/endpoint_watch.h"

namespace badgergrade::testbed {

enum class Result { Succeeded, RateLimited, Errored, TimedOut };
enum class TryEnd { Answered, Refused, NeverSent, Broken, TimedOut, Errored };

struct Invocation {
    std::uint64_t id = 0;
    int operation = 0;
    std::string forwarder, key;
    Micros work{};  // of a yardstick core
    Micros came{};  // the client's first try
    int client_tries = 0;
};

class Observer {
public:
    virtual ~Observer() = default;

    virtual void invocation_came(Micros, const Invocation&) {}

    virtual void client_try(Micros, const Invocation&) {}

    virtual void invocation_ended(Micros, const Invocation&, Result) {}

    virtual void forwarder_up(Micros, const std::string& /*forwarder*/) {}

    virtual void forwarder_down(Micros, const std::string& /*forwarder*/) {}

    virtual void joined(Micros, const std::string& /*forwarder*/, const std::string& /*governor*/) {
    }

    virtual void left(Micros, const std::string& /*forwarder*/, const std::string& /*governor*/) {}

    // A response was read; `why` tells a rejection. `orders` is the control plane's own text.
    virtual void response_read(Micros, const std::string& /*forwarder*/,
                               const std::string& /*governor*/, const std::string& /*orders*/,
                               std::size_t /*bytes*/, const std::string& /*why*/) {}

    // Whether the forwarder has a server to pick for the operation (told on change, from its tables
    // alone).
    virtual void pickable(Micros, const std::string& /*forwarder*/, int /*operation*/,
                          bool /*any*/) {}

    virtual void try_sent(Micros, const std::string& /*forwarder*/, const std::string& /*server*/,
                          std::uint64_t /*invocation*/, int /*operation*/, int /*number*/,
                          TryEnd /*before*/) {}

    virtual void try_ended(Micros, const std::string& /*forwarder*/, const std::string& /*server*/,
                           std::uint64_t /*invocation*/, TryEnd) {}

    virtual void server_up(Micros, const std::string& /*server*/, bool /*cold*/) {}

    virtual void server_down(Micros, const std::string& /*server*/) {}

    // A cold server was pushed over: the forwarders that sent it what, over the fall time.
    struct Push {
        std::string forwarder;
        Micros when{};
        double work = 0;
    };

    virtual void server_fell(Micros, const std::string& /*server*/, const std::vector<Push>&) {}

    virtual void took_effect(Micros, const std::string& /*server*/, std::uint64_t /*invocation*/,
                             int /*operation*/) {}

    // The registry answered a governor.
    virtual void list_told(Micros, const std::string& /*governor*/, const xds_server::ServerList&) {
    }
};

}  // namespace badgergrade::testbed
