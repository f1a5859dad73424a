// The invocations of a day, drawn ahead from the seed: when, through which forwarder, which
// operation, key, work.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "scenario/script.h"
#include "testbed/observer.h"

namespace badgergrade::scenario {

struct ProxyPlan {
    std::string id, zone;
    double traffic_weight = 1;          // its part of the traffic, against the others
    double invocations_per_second = 0;  // invocations a second, usual
};

// "worker", 7 -> "worker-007".
std::string numbered_name(const char* prefix, std::size_t n);
std::vector<ProxyPlan> plan_proxies(const ScenarioScript& script);
// By forwarder, in the order of time; times count from `begin`.
std::map<std::string, std::vector<testbed::Invocation>> generate_traffic(
    const ScenarioScript& script, const std::vector<ProxyPlan>& proxies, Micros begin);

}  // namespace badgergrade::scenario
