// What is done to the world of a day, one move at a time: by the script's troubles, or by a
// recording that is played again. A move names whom it strikes and holds all that it needs, so that
// the same row of moves makes the same world.
#pragma once

#include <string>
#include <vector>

#include "scenario/traffic.h"
#include "testbed/fake_server.h"

namespace badgergrade::scenario {

// The numbers stand in recordings: never give one another meaning.
enum class FaultActionKind {
    AddServer = 1,       // worker
    StartServer = 2,     // who; on: cold
    StopServer = 3,      // who
    ListServer = 4,      // who; on: draining
    UnlistServer = 5,    // who
    SetServerFault = 6,  // who, trouble: as it is from now on
    PartitionZone = 7,   // who, on
    DelayZone = 8,       // who, wait, by: part that is sent again
    StartProxy = 9,
    StopProxy = 10,
    BreakStream = 11,
    IsolateProxy = 12,  // who, on
    StallProxy = 13,    // who, on
    StartInstance = 14,
    StopInstance = 15,
    SlowChannels = 16,            // by: times slower
    HangRegistry = 17,            // on
    RestartRegistry = 18,         // on: keeps its rows
    CorruptRegistry = 19,         // text: what it answers instead; empty: itself again
    ServeStaleList = 20,          // on; by: seconds back
    ShortenAttemptTimeouts = 21,  // by: part of the integration timeout; wait: how long this lasts
    AddProxy = 22,                // who, text: its zone, by: invocations a second
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
    Micros at{};             // since the day's begin
    bool initial = false;    // part of the beginning, before the clock moves
    bool same_step = false;  // made in one step with the move before, at the same time
    FaultAction action;
};

// A world that is told rather than drawn from a script.
struct RecordedScenario {
    std::vector<TimedFaultAction> actions;  // in the order in which they were made
    std::map<std::string, std::vector<testbed::Invocation>>
        traffic;  // by forwarder, times since the day's begin
};

}  // namespace badgergrade::scenario
