// The lines of a table difference and their order; table_difference.h describes both.
#include "policy/table_difference.h"

#include <bit>
#include <cmath>
#include <utility>
#include <variant>

namespace badgergrade::policy {
namespace {

/// Weights that differ by less are treated as equal.
constexpr double kWeightTolerance = 1e-9;

/// Appends the admission limits that differ from the published ones. Their retry mode is always
/// OnlyUnprocessed: proxies retry once, and only attempts that provably never ran.
void add_changed_limits(TableId id, const Table& table, std::vector<Command>& lines) {
    for (const auto& [operation, limit] : table.desired_limits) {
        const auto published = table.published_limits.find(operation);
        if (published != table.published_limits.end() && published->second == limit) {
            continue;
        }
        lines.emplace_back(command::SetAdmission{id, OperationMask{1} << operation.value, limit,
                                                 RetryMode::OnlyUnprocessed});
    }
}

}  // namespace

void record_published(Table& table, const Command& line) {
    if (const auto* change = std::get_if<command::SetWeight>(&line)) {
        if (change->weight > 0) {
            table.published_weights[change->server] = change->weight;
        } else {
            table.published_weights.erase(change->server);
        }
        return;
    }
    const OperationMask operations = std::get<command::SetAdmission>(line).operations;
    const OperationId operation{std::countr_zero(operations)};
    table.published_limits[operation] = table.desired_limits[operation];
}

TableDifference table_difference(Micros now, TableId id, const Table& table,
                                 const FleetState& fleet, const OutlierDetector& outliers,
                                 const SlowStart& slow_start) {
    TableDifference difference;
    std::vector<Command> urgent;
    std::vector<Command> added;
    std::vector<Command> reassigned;
    bool keeps_any_server = false;
    for (const auto& [server, weight] : table.published_weights) {
        if (table.desired_weights.contains(server)) {
            keeps_any_server = true;
        } else if (!fleet.is_ready(server) ||
                   slow_start.can_collapse(now, fleet.servers.at(server))) {
            urgent.emplace_back(command::SetWeight{id, server, 0});
        } else {
            (outliers.ejecting_zone_count(server) > 0 ? added : reassigned)
                .emplace_back(command::SetWeight{id, server, 0});
            difference.has_removals = true;
        }
    }
    for (const auto& [server, weight] : table.desired_weights) {
        const auto published = table.published_weights.find(server);
        const bool is_published = published != table.published_weights.end();
        if (is_published && std::abs(published->second - weight) < kWeightTolerance) {
            continue;
        }
        const bool weight_reduced = is_published && weight < published->second;
        (weight_reduced ? urgent : added).emplace_back(command::SetWeight{id, server, weight});
    }
    add_changed_limits(id, table, added);
    difference.urgent_count = urgent.size();
    // A table that keeps none of its published servers gets new ones before it is emptied. Users of
    // an empty one have no server.
    const bool fills_empty_table =
        table.published_weights.empty() && !table.desired_weights.empty();
    if (fills_empty_table || (!urgent.empty() && !keeps_any_server)) {
        difference.urgent_count += added.size();
    }
    if (!keeps_any_server) {
        urgent.swap(added);
    }
    difference.lines = std::move(urgent);
    for (const auto* remaining : {&added, &reassigned}) {
        difference.lines.insert(difference.lines.end(), remaining->begin(), remaining->end());
    }
    return difference;
}

}  // namespace badgergrade::policy
