// The invocations of a day, drawn ahead from the seed: when, through which forwarder, which
// operation, key, work.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "scenario/script.h"
#include "testbed/observer.h"

namespace badgergrade::scenario {

struct ForwarderPlan {
    std::string id, zone;
    double weight = 1;  // its part of the traffic, against the others
    double rate = 0;    // invocations a second, usual
};

// "worker", 7 -> "worker-007".
std::string numbered(const char* what, std::size_t n);
std::vector<ForwarderPlan> plan_forwarders(const DayScript& script);
// By forwarder, in the order of time; times count from `begin`.
std::map<std::string, std::vector<testbed::Invocation>> draw_traffic(
    const DayScript& script, const std::vector<ForwarderPlan>& forwarders, Micros begin);

}  // namespace badgergrade::scenario
