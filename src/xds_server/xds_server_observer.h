/// @file
/// The interface for a recorder of what a control plane instance received and decided.
#pragma once

#include <vector>

#include "policy/command.h"
#include "policy/event.h"
#include "policy/ids.h"

namespace badgergrade::xds_server {

class XdsServer;

/// All methods are called on the loop's one thread, in the order of the events, before the event or
/// the commands take effect. They must not destroy or stop the server. Times are those of the
/// server's clock.
class XdsServerObserver {
public:
    virtual ~XdsServerObserver() = default;

    /// Once, from `XdsServer::set_observer`.
    virtual void on_started(Micros, const XdsServer&) {}

    /// Once, from the destructor of the server, after all connections were closed.
    virtual void on_stopped(Micros, const XdsServer&) {}

    /// Each event, before the policy handles it.
    virtual void on_event(Micros, const XdsServer&, const Event&) {}

    /// The commands of each decision that has any, before they are executed.
    virtual void on_commands(Micros, const XdsServer&, const std::vector<Command>&) {}
};

}  // namespace badgergrade::xds_server
