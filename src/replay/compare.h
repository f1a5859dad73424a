/// @file
/// Compares two variants of a recorded scenario. Each variant is replayed at least twice: the
/// replays of one variant should be identical, and the figures, events and decisions of the two
/// variants are compared with each other.
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
    /// Whether all runs gave the same result, byte for byte, and the same trace.
    bool identical = true;
    ReplayResult first_replay;
    /// The service of each run: fraction of the billed value that was answered within the latency
    /// objective.
    std::vector<double> service;
};

/// The first difference between two traces, either among their events or among their decisions.
struct Divergence {
    /// Position among the entries of that kind.
    std::size_t index = 0;
    /// The entries that differ; nothing if that trace has ended before.
    std::optional<Trace::Entry> a, b;

    Micros at() const { return a && b ? std::min(a->at, b->at) : a ? a->at : b ? b->at : Micros{}; }
};

/// Compares only the decisions of the traces, or only the events. Nothing if they are equal.
std::optional<Divergence> first_divergence(const std::vector<Trace::Entry>& a,
                                           const std::vector<Trace::Entry>& b, bool decisions);

struct Comparison {
    VariantResult a, b;
    std::optional<Divergence> event_divergence, decision_divergence;
};

/// Replays each variant `runs` times.
Comparison compare(const RecordedRun& recorded, const Variant& a, const Variant& b, int runs,
                   const ReplayOptions& options);

/// One figure under both variants.
struct FigurePair {
    std::string name;
    double a = 0, b = 0;
    /// A fraction from 0 to 1; otherwise a count or a time.
    bool is_fraction = true;
};

std::vector<FigurePair> compare_figures(const Comparison& comparison);

nlohmann::ordered_json to_json(const RecordedRun& recorded, const Comparison& comparison);
/// The comparison as text for people.
std::string to_text(const RecordedRun& recorded, const Comparison& comparison);
/// One line per setting that differs between the variants.
std::vector<std::string> changed_settings(const Comparison& comparison);
/// When and how the two variants first diverged, one line each for the time, A and B.
std::vector<std::string> divergence_text(const Comparison& comparison);

}  // namespace badgergrade::replay
