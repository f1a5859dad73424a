// Callbacks with which the testbed's fakes report what passes on their sockets.
//
// Observers are the auditor, the metrics and the recorder of a scenario. Servers, proxies and
// control plane instances are named as in the scenario's script. Nothing is reported by the
// control plane instance under test itself, so that an audit does not depend on its view.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/ids.h"
#include "xds_server/endpoint_watch.h"

namespace badgergrade::testbed {

// How an invocation ended for its client. The numbers are written into recordings.
enum class InvocationResult { Succeeded, RateLimited, Errored, TimedOut };
// How one attempt at a server ended, as the proxy sees it: succeeded (Answered), answered with the
// proof that it was not processed (Refused), no connection (NeverSent), connection lost after
// sending (Broken), no response in time, or answered with an error. The numbers are written into
// recordings.
enum class AttemptOutcome { Answered, Refused, NeverSent, Broken, TimedOut, Errored };

// One call by a client, with all of its attempts.
struct Invocation {
    std::uint64_t id = 0;
    int operation = 0;
    std::string proxy, key;
    Micros work{};        // CPU time on the reference core (speed 1)
    Micros arrived_at{};  // time of the client's first attempt
    int client_attempts = 0;
};

// All callbacks do nothing by default. The first parameter is the time of the event.
class Observer {
public:
    virtual ~Observer() = default;

    virtual void on_invocation_arrived(Micros, const Invocation&) {}

    virtual void on_client_attempt(Micros, const Invocation&) {}

    virtual void on_invocation_finished(Micros, const Invocation&, InvocationResult) {}

    virtual void on_proxy_started(Micros, const std::string& /*proxy*/) {}

    virtual void on_proxy_stopped(Micros, const std::string& /*proxy*/) {}

    virtual void on_proxy_connected(Micros, const std::string& /*proxy*/,
                                    const std::string& /*instance*/) {}

    virtual void on_proxy_disconnected(Micros, const std::string& /*proxy*/,
                                       const std::string& /*instance*/) {}

    // The proxy read a discovery response. `rejection_reason` is empty unless the proxy rejected
    // it. `release_text` is the control plane identifier of the response, which says when each of
    // its updates was decided and released (xds/release_text.h).
    virtual void on_response(Micros, const std::string& /*proxy*/, const std::string& /*instance*/,
                             const std::string& /*release_text*/, std::size_t /*bytes*/,
                             const std::string& /*rejection_reason*/) {}

    // Whether the proxy's tables hold an endpoint that it can choose for the operation. Reported on
    // change; the proxy's own ejections do not count.
    virtual void on_endpoint_availability(Micros, const std::string& /*proxy*/, int /*operation*/,
                                          bool /*has_endpoint*/) {}

    virtual void on_attempt_sent(Micros, const std::string& /*proxy*/,
                                 const std::string& /*server*/, std::uint64_t /*invocation*/,
                                 int /*operation*/, int /*attempt_number*/,
                                 AttemptOutcome /*previous_outcome*/) {}

    virtual void on_attempt_finished(Micros, const std::string& /*proxy*/,
                                     const std::string& /*server*/, std::uint64_t /*invocation*/,
                                     AttemptOutcome) {}

    virtual void on_server_started(Micros, const std::string& /*server*/, bool /*cold*/) {}

    virtual void on_server_stopped(Micros, const std::string& /*server*/) {}

    // Work that a server received: from which proxy, when, and how much CPU time (us) it takes.
    struct ReceivedWork {
        std::string proxy;
        Micros at{};
        double work = 0;
    };

    // A server that was warming up collapsed under overload; `received` is the work of the collapse
    // window.
    virtual void on_server_collapsed(Micros, const std::string& /*server*/,
                                     const std::vector<ReceivedWork>&) {}

    // The server began to process the invocation, whose effect counts as applied from here on.
    virtual void on_execution_started(Micros, const std::string& /*server*/,
                                      std::uint64_t /*invocation*/, int /*operation*/) {}

    // The registry sent its server list to a control plane instance.
    virtual void on_server_list_sent(Micros, const std::string& /*instance*/,
                                     const xds_server::ServerList&) {}
};

}  // namespace badgergrade::testbed
