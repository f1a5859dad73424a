// Generates the invocations of a scenario ahead of its run, from the seed alone: arrival time,
// proxy, operation, key and work of each.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "scenario/script.h"
#include "testbed/observer.h"

namespace badgergrade::scenario {

struct ProxyPlan {
    std::string id, zone;
    double traffic_weight = 1;          // share of the traffic, relative to the other proxies
    double invocations_per_second = 0;  // usual rate
};

// For example ("worker", 7) -> "worker-007".
std::string numbered_name(const char* prefix, std::size_t n);
std::vector<ProxyPlan> plan_proxies(const ScenarioScript& script);
// By proxy, in the order of time. Arrival times are `begin` and later.
std::map<std::string, std::vector<testbed::Invocation>> generate_traffic(
    const ScenarioScript& script, const std::vector<ProxyPlan>& proxies, Micros begin);

}  // namespace badgergrade::scenario
