// Actions that change the simulated fleet: faults, and the starts and registrations of its members.
//
// The faults of a script are carried out as a sequence of such actions, and a recording holds the
// same sequence. An action names its target and holds all of its parameters, so that replaying the
// sequence reproduces the fleet.
#pragma once

#include <string>
#include <vector>

#include "scenario/traffic.h"
#include "testbed/fake_server.h"

namespace badgergrade::scenario {

// The numbers are written into recordings and must never be reused. The comments name the fields of
// FaultAction that a kind uses beside `target`.
enum class FaultActionKind {
    AddServer = 1,    // server_settings
    StartServer = 2,  // enabled: cold start
    StopServer = 3,
    ListServer = 4,  // enabled: as draining
    UnlistServer = 5,
    SetServerFault = 6,  // server_fault: replaces the present one
    PartitionZone = 7,   // enabled
    DelayZone = 8,       // duration: added delay; magnitude: fraction of retransmissions
    StartProxy = 9,
    StopProxy = 10,
    BreakStream = 11,
    IsolateProxy = 12,  // enabled
    StallProxy = 13,    // enabled
    StartInstance = 14,
    StopInstance = 15,
    SlowChannels = 16,            // magnitude: slowdown factor
    HangRegistry = 17,            // enabled
    RestartRegistry = 18,         // enabled: keeps its entries
    CorruptRegistry = 19,         // text: response body; empty: ends the fault
    ServeStaleList = 20,          // enabled; magnitude: age of the list in seconds
    ShortenAttemptTimeouts = 21,  // magnitude: part of the integration timeout; duration
    AddProxy = 22,                // text: zone; magnitude: invocations per second
};

struct FaultAction {
    FaultActionKind kind{};
    std::string target{};
    bool enabled = false;
    double magnitude = 0;
    Micros duration{};
    std::string text{};
    testbed::ServerFault server_fault{};
    testbed::FakeServerSettings server_settings{};
};

struct TimedFaultAction {
    Micros at{};             // since the start of the scenario
    bool initial = false;    // sets up the fleet before the clock advances
    bool same_step = false;  // carried out in one step with the action before, at the same time
    FaultAction action;
};

// A recorded scenario: replaces the fleet, the faults and the traffic of a script.
struct RecordedScenario {
    std::vector<TimedFaultAction> actions;  // in the order in which they were carried out
    std::map<std::string, std::vector<testbed::Invocation>>
        traffic;  // by proxy; times since the start of the scenario
};

}  // namespace badgergrade::scenario
