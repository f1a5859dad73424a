/// @file
/// Reconstructs one scenario from the recordings of several control plane instances, so that it can
/// be replayed.
///
/// An instance sees no single invocation. It receives endpoint lists, connections of proxies, and
/// load and demand reports that are sums over an interval. The fleet, its traffic and its faults
/// are estimated from these; what had to be assumed is written into the notes of the merged
/// recording:
///
/// - Clocks are aligned by the endpoint lists and server starts that two instances both received.
///   Incarnations of one instance, and recordings that share nothing, are aligned by the wall clock
///   time at which they began.
/// - Arrivals: the invocations of each demand report are spread at random over the interval of the
///   report. Retries are subtracted where the operation may be retried and failures were reported.
/// - Servers: cores follow from the listed weight, speed from the mean latency while there was no
///   fault.
/// - A server stops after its last successful answer, when it leaves the list or is listed with a
///   new start time.
/// - Faults: spans in which nearly all attempts at one server failed, or in which it was much
/// slower
///   than the rest of the fleet.
/// - Control plane instances: each file is one incarnation of one instance.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "recording/reader.h"

namespace badgergrade::replay {

using base::Micros;

/// How the clock of one recording was moved to match that of the first one.
struct ClockAlignment {
    std::string instance;
    /// Added to every time of the recording.
    Micros offset{};
    /// Difference between the smallest and the largest offset that the matches agree on.
    Micros spread{};
    /// Lists and server starts that both recordings contain. 0: aligned by the wall clock alone.
    int matches = 0;
};

struct MergeResult {
    std::vector<ClockAlignment> clocks;
    std::vector<std::string> notes;
    std::uint64_t invocations = 0, actions = 0;
    std::vector<recording::Damage> damage;
};

/// Merges the instances' recordings at `paths` and writes the scenario to `out`. Throws
/// std::runtime_error if the recordings come from different fleets or hold too little to
/// reconstruct a scenario.
MergeResult merge_recordings(const std::vector<std::string>& paths, const std::string& out);

/// An endpoint list as one instance received it. Two instances received the same list if `content`
/// is equal.
struct ReceivedList {
    Micros at{};
    std::string content;
    /// Servers on the list with their start times, by the same clock as `at`.
    std::vector<std::pair<std::string, Micros>> starts;
};

/// The offset that moves `other` to the clock of `base`; `matches` is 0 if they share no list and
/// no server start.
ClockAlignment align_clocks(const std::vector<ReceivedList>& base,
                            const std::vector<ReceivedList>& other);

}  // namespace badgergrade::replay
