// For whoever writes down what a governor heard and decided. Called in order, before it takes
// effect.
#pragma once

#include <vector>

#include "types.h"

namespace badgergrade::governor {

class Service;

class Watcher {
public:
    virtual ~Watcher() = default;

    virtual void started(Micros, const Service&) {}

    virtual void stopped(Micros, const Service&) {}

    virtual void told(Micros, const Service&, const Event&) {}

    virtual void decided(Micros, const Service&, const std::vector<Action>&) {}
};

}  // namespace badgergrade::governor
