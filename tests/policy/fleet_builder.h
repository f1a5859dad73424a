// Builds small fleets for the unit tests of the policy's rules.
#pragma once

#include "policy/fleet_state.h"
#include "policy/outlier_detection.h"
#include "policy/settings.h"

namespace badgergrade::policy {

constexpr Micros kStart{100'000'000};
constexpr Micros kSecond{1'000'000};
constexpr Micros kObjective{100'000};
/// Not a column of the load metrics: servers count as busy.
constexpr std::size_t kNoCpuColumn = 9;

/// One operation that any zone may serve, and no servers or proxies.
inline FleetState empty_fleet(int zone_count) {
    FleetState fleet;
    fleet.zone_count = zone_count;
    fleet.operations = {1, 0, 1};
    return fleet;
}

inline Server& add_server(FleetState& fleet, unsigned id, int zone) {
    Server& server = fleet.servers[{id}];
    server.zone = {zone};
    server.state = ServerState::Ready;
    return server;
}

inline Proxy& add_proxy(FleetState& fleet, int id, int zone, double announced_rate) {
    Proxy& proxy = fleet.proxies[{id}];
    proxy.connected = true;
    proxy.zone = {zone};
    proxy.announced_rate = announced_rate;
    return proxy;
}

inline Settings basic_settings(int zone_count) {
    Settings settings;
    settings.zone_count = zone_count;
    Operation operation;
    operation.latency_objective = kObjective;
    settings.operations = {operation};
    return settings;
}

/// One zone, whose servers warm up for 16 s and collapse at four times their current capacity.
inline Settings warming_settings(double initial_capacity_fraction = 0.25) {
    Settings settings = basic_settings(1);
    settings.slow_start_window = 16 * kSecond;
    settings.initial_capacity_fraction = initial_capacity_fraction;
    settings.overload_collapse_factor = 4;
    settings.overload_collapse_time = kSecond;
    return settings;
}

inline event::ServerLoadReport load_report(int zone, unsigned server, int attempts, int failures,
                                           Micros latency) {
    return {{zone}, {server}, attempts, failures, latency, kSecond, {}};
}

}  // namespace badgergrade::policy
