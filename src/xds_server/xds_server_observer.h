// For whoever writes down what a governor heard and decided. Called in order, before it takes
// effect.
#pragma once

#include <vector>

#include "policy/command.h"
#include "policy/event.h"
#include "policy/ids.h"

namespace badgergrade::xds_server {

class XdsServer;

class XdsServerObserver {
public:
    virtual ~XdsServerObserver() = default;

    virtual void started(Micros, const XdsServer&) {}

    virtual void stopped(Micros, const XdsServer&) {}

    virtual void told(Micros, const XdsServer&, const Event&) {}

    virtual void decided(Micros, const XdsServer&, const std::vector<Command>&) {}
};

}  // namespace badgergrade::xds_server
