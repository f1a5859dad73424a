// Makes one day out of what governors recorded of it. A governor sees no invocation: it hears
// lists, joins and sums. From these the day is put together again, and what had to be assumed is
// written into the recording's notes:
//
//   clocks        aligned by the lists and the starts of servers that two governors both heard;
//   lives of one governor,
//                 and where nothing is shared, by the wall clock at their begin
//   arrivals      each sum of demand is spread over its span by luck; retries are taken out where
//   an operation may be
//                 tried again and errors were told
//   workers       cores and speed by listed weight; faster or slower by the answer times that were
//   met in calm deaths        after the last answer that a server gave, when it leaves the list or
//   starts anew troubles      spans in which nearly all tries at one server failed, or it crawled
//   beside the others governors     each file is one life of one governor
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "recording/reader.h"

namespace badgergrade::replay {

using base::Micros;

struct ClockAlignment {
    std::string governor;
    Micros offset{};    // added to its times
    Micros spread{};    // how far the exchanges seen disagree
    int exchanges = 0;  // 0: by the wall clock alone
};

struct MergeResult {
    std::vector<ClockAlignment> clocks;
    std::vector<std::string> notes;
    std::uint64_t invocations = 0, actions = 0;
    std::vector<recording::Damage> damage;
};

// Reads governors' recordings and writes the day to `out`. Throws std::runtime_error where they
// tell of different fleets, or hold too little.
MergeResult merge_recordings(const std::vector<std::string>& paths, const std::string& out);

// One list as two governors heard it: when, and what stood on it.
struct ReceivedList {
    Micros at{};
    std::string content;
    std::vector<std::pair<std::string, Micros>>
        starts;  // servers that had started anew, by the same clock
};

// By how much `other` must be moved to lie on `base`; exchanges 0 where they share no list.
ClockAlignment align_clocks(const std::vector<ReceivedList>& base,
                            const std::vector<ReceivedList>& other);

}  // namespace badgergrade::replay
