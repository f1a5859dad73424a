// Table difference: the lines that turn a table as published into the desired one.
//
// Lines of one table, most urgent first:
//   1. servers that are draining or gone, warming servers that must leave, and reduced weights;
//   2. new servers, raised weights, ejections, and admission limits;
//   3. servers that are ready but now belong to another table.
// Where the table keeps none of its published servers, 2 comes before 1. The budget may cut this
// order at any point: the table stays usable. The lines of 1 and the first servers of an empty
// table have a due time; other changes are merged until the users of the table have acknowledged
// its last change, or for kAckTimeout.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/command.h"
#include "policy/fleet_state.h"
#include "policy/outlier_detection.h"
#include "policy/slow_start.h"

namespace badgergrade::policy {

/// The lines that turn a published table into the desired one, most urgent first.
struct TableDifference {
    std::vector<Command> lines;
    /// How many of the first lines have a due time: removals of servers that are draining, gone or
    /// warming up, reduced weights, and the new servers of a table that is or would be empty
    /// otherwise.
    std::size_t urgent_count = 0;
    /// The difference removes servers that are ready and warm; it does not wait for
    /// acknowledgements.
    bool has_removals = false;
};

/// Compares the desired weights and limits of a table with the published ones.
TableDifference table_difference(Micros now, TableId id, const Table& table,
                                 const FleetState& fleet, const OutlierDetector& outliers,
                                 const SlowStart& slow_start);

/// Records a line of a difference as published.
void record_published(Table& table, const Command& line);

}  // namespace badgergrade::policy
