// One recorded day under two settings, each played twice or more: whether the runs of one setting
// match, what differs between the settings, and where and why they part.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "replay/play.h"

namespace badgergrade::replay {

struct SettingResult {
    Trial trial;
    int runs = 0;
    bool same = true;  // all runs the same to the byte
    Played first;
    std::vector<double> service;  // whole day, run by run
};

// The first step at which two trails differ, one decision or one thing heard.
struct Parting {
    std::size_t step = 0;
    std::optional<Trail::Step> a, b;  // nothing: that trail has ended

    Micros at() const { return a && b ? std::min(a->at, b->at) : a ? a->at : b ? b->at : Micros{}; }
};

std::optional<Parting> first_parting(const std::vector<Trail::Step>& a,
                                     const std::vector<Trail::Step>& b, bool decisions);

struct Comparison {
    SettingResult a, b;
    std::optional<Parting> heard, decided;
};

Comparison compare(const RecordedDay& day, const Trial& a, const Trial& b, int runs,
                   const PlayOptions& options);

// A named figure under both settings.
struct Difference {
    std::string name;
    double a = 0, b = 0;
    bool part = true;  // of 1; else a count
};

std::vector<Difference> differences(const Comparison& comparison);

nlohmann::ordered_json to_json(const RecordedDay& day, const Comparison& comparison);
std::string to_text(const RecordedDay& day, const Comparison& comparison);
// What changed between the two, key by key, in words.
std::vector<std::string> changed_settings(const Comparison& comparison);
// "at 24.204 s governor-0 heard: ... under A, ... under B".
std::vector<std::string> parting_text(const Comparison& comparison);

}  // namespace badgergrade::replay
