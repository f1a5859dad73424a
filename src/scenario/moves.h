// What is done to the world of a day, one move at a time: by the script's troubles, or by a
// recording that is played again. A move names whom it strikes and holds all that it needs, so that
// the same row of moves makes the same world.
#pragma once

#include <string>
#include <vector>

#include "scenario/traffic.h"
#include "testbed/worker.h"

namespace badgergrade::scenario {

// The numbers stand in recordings: never give one another meaning.
enum class MoveKind {
    AddWorker = 1,      // worker
    StartWorker = 2,    // who; on: cold
    StopWorker = 3,     // who
    ListWorker = 4,     // who; on: draining
    UnlistWorker = 5,   // who
    TroubleWorker = 6,  // who, trouble: as it is from now on
    CutZone = 7,        // who, on
    SlowZone = 8,       // who, wait, by: part that is sent again
    StartForwarder = 9,
    StopForwarder = 10,
    BreakStream = 11,
    IsolateForwarder = 12,  // who, on
    StallForwarder = 13,    // who, on
    StartGovernor = 14,
    StopGovernor = 15,
    PaceChannels = 16,     // by: times slower
    HangRegistry = 17,     // on
    RestartRegistry = 18,  // on: keeps its rows
    GarbleRegistry = 19,   // text: what it answers instead; empty: itself again
    ShowOldList = 20,      // on; by: seconds back
    GiveUp = 21,           // by: part of the integration timeout; wait: how long this lasts
    AddForwarder = 22,     // who, text: its zone, by: invocations a second
};

struct Move {
    MoveKind kind{};
    std::string who{};
    bool on = false;
    double by = 0;
    Micros wait{};
    std::string text{};
    testbed::WorkerTrouble trouble{};
    testbed::WorkerSettings worker{};
};

struct TimedMove {
    Micros at{};           // since the day's begin
    bool opening = false;  // part of the beginning, before the clock moves
    bool joined = false;   // made in one step with the move before, at the same time
    Move what;
};

// A world that is told rather than drawn from a script.
struct GivenWorld {
    std::vector<TimedMove> moves;  // in the order in which they were made
    std::map<std::string, std::vector<testbed::Invocation>>
        traffic;  // by forwarder, times since the day's begin
};

}  // namespace badgergrade::scenario
