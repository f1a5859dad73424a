// One recorded day under two settings, each played twice or more: whether the runs of one setting
// match, what differs between the settings, and where and why they part.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "replay/runner.h"

namespace badgergrade::replay {

struct VariantResult {
    Variant variant;
    int runs = 0;
    bool identical = true;  // all runs the same to the byte
    ReplayResult first_replay;
    std::vector<double> service;  // whole day, run by run
};

// The first step at which two trails differ, one decision or one thing heard.
struct Divergence {
    std::size_t index = 0;
    std::optional<Trace::Entry> a, b;  // nothing: that trail has ended

    Micros at() const { return a && b ? std::min(a->at, b->at) : a ? a->at : b ? b->at : Micros{}; }
};

std::optional<Divergence> first_divergence(const std::vector<Trace::Entry>& a,
                                           const std::vector<Trace::Entry>& b, bool decisions);

struct Comparison {
    VariantResult a, b;
    std::optional<Divergence> event_divergence, decision_divergence;
};

Comparison compare(const RecordedRun& recorded, const Variant& a, const Variant& b, int runs,
                   const ReplayOptions& options);

// A named figure under both settings.
struct FigurePair {
    std::string name;
    double a = 0, b = 0;
    bool is_fraction = true;  // of 1; else a count
};

std::vector<FigurePair> compare_figures(const Comparison& comparison);

nlohmann::ordered_json to_json(const RecordedRun& recorded, const Comparison& comparison);
std::string to_text(const RecordedRun& recorded, const Comparison& comparison);
// What changed between the two, key by key, in words.
std::vector<std::string> changed_settings(const Comparison& comparison);
// "at 24.204 s governor-0 heard: ... under A, ... under B".
std::vector<std::string> divergence_text(const Comparison& comparison);

}  // namespace badgergrade::replay
