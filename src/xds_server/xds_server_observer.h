/// @file
/// Interface of an observer of one control plane instance: its events and the commands that its
/// policy decided. A recorder implements it.
#pragma once

#include <vector>

#include "policy/command.h"
#include "policy/event.h"
#include "policy/ids.h"

namespace badgergrade::xds_server {

class XdsServer;

/// All methods are called on the loop's one thread, in the order of the events, before the event or
/// the commands take effect. They must not destroy or stop the server. The first argument is the
/// current time of the server's clock.
class XdsServerObserver {
public:
    virtual ~XdsServerObserver() = default;

    /// Called once, from `XdsServer::set_observer`.
    virtual void on_started(Micros, const XdsServer&) {}

    /// Called once, from the destructor of the server, after all connections were closed.
    virtual void on_stopped(Micros, const XdsServer&) {}

    /// Called with each event before the policy handles it.
    virtual void on_event(Micros, const XdsServer&, const Event&) {}

    /// Called with the commands of each decision that has any, before they are executed.
    virtual void on_commands(Micros, const XdsServer&, const std::vector<Command>&) {}
};

}  // namespace badgergrade::xds_server
