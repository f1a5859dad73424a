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

enum class InvocationResult { Succeeded, RateLimited, Errored, TimedOut };
enum class AttemptOutcome { Answered, Refused, NeverSent, Broken, TimedOut, Errored };

struct Invocation {
    std::uint64_t id = 0;
    int operation = 0;
    std::string proxy, key;
    Micros work{};        // of a yardstick core
    Micros arrived_at{};  // the client's first try
    int client_attempts = 0;
};

class Observer {
public:
    virtual ~Observer() = default;

    virtual void on_invocation_arrived(Micros, const Invocation&) {}

    virtual void on_client_attempt(Micros, const Invocation&) {}

    virtual void on_invocation_finished(Micros, const Invocation&, InvocationResult) {}

    virtual void on_proxy_started(Micros, const std::string& /*forwarder*/) {}

    virtual void on_proxy_stopped(Micros, const std::string& /*forwarder*/) {}

    virtual void on_proxy_connected(Micros, const std::string& /*forwarder*/,
                                    const std::string& /*governor*/) {}

    virtual void on_proxy_disconnected(Micros, const std::string& /*forwarder*/,
                                       const std::string& /*governor*/) {}

    // A response was read; `why` tells a rejection. `orders` is the control plane's own text.
    virtual void on_response(Micros, const std::string& /*forwarder*/,
                             const std::string& /*governor*/, const std::string& /*orders*/,
                             std::size_t /*bytes*/, const std::string& /*why*/) {}

    // Whether the forwarder has a server to pick for the operation (told on change, from its tables
    // alone).
    virtual void on_endpoint_availability(Micros, const std::string& /*forwarder*/,
                                          int /*operation*/, bool /*any*/) {}

    virtual void on_attempt_sent(Micros, const std::string& /*forwarder*/,
                                 const std::string& /*server*/, std::uint64_t /*invocation*/,
                                 int /*operation*/, int /*number*/, AttemptOutcome /*before*/) {}

    virtual void on_attempt_finished(Micros, const std::string& /*forwarder*/,
                                     const std::string& /*server*/, std::uint64_t /*invocation*/,
                                     AttemptOutcome) {}

    virtual void on_server_started(Micros, const std::string& /*server*/, bool /*cold*/) {}

    virtual void on_server_stopped(Micros, const std::string& /*server*/) {}

    // A cold server was pushed over: the forwarders that sent it what, over the fall time.
    struct ReceivedWork {
        std::string proxy;
        Micros at{};
        double work = 0;
    };

    virtual void on_server_collapsed(Micros, const std::string& /*server*/,
                                     const std::vector<ReceivedWork>&) {}

    virtual void on_execution_started(Micros, const std::string& /*server*/,
                                      std::uint64_t /*invocation*/, int /*operation*/) {}

    // The registry answered a governor.
    virtual void on_server_list_sent(Micros, const std::string& /*governor*/,
                                     const xds_server::ServerList&) {}
};

}  // namespace badgergrade::testbed
