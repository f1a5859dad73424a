// Splitting, filling and releasing interim tables; interim_tables.h describes the rule.
#include "policy/interim_tables.h"

#include <algorithm>
#include <numeric>

#include "policy/send_budget.h"
#include "policy/subsetting.h"

namespace badgergrade::policy {
namespace {

/// How long the channel may be occupied by complete tables for pending proxies, as a fraction of
/// the drain grace.
constexpr double kPendingGraceFraction = 0.25;
/// An interim table with fewer remaining servers is filled anew.
constexpr std::size_t kMinRemainingServers = 3;

using Weights = std::map<ServerId, double>;

Weights warm_weights(Micros now, const Table& table, const FleetState& fleet,
                     const SlowStart& slow_start) {
    Weights warm;
    for (const auto& [id, weight] : table.desired_weights) {
        if (!slow_start.is_warming_up(now, fleet.servers.at(id))) {
            warm[id] = weight;
        }
    }
    return warm;
}

/// The warm servers of one interim table out of `count`; all of them if that is too few.
Weights part_weights(const Weights& warm, std::size_t part, std::size_t count,
                     const FleetState& fleet) {
    Weights weights;
    for (const auto& [id, weight] : warm) {
        if (subset_of(fleet.servers.at(id).subset_hash, static_cast<int>(count)) == part) {
            weights[id] = weight;
        }
    }
    return weights.size() < kMinRemainingServers ? warm : weights;
}

/// Whether any server that was ever listed is draining or gone.
bool any_server_unavailable(const FleetState& fleet) {
    return std::ranges::any_of(
        fleet.servers, [](const auto& entry) { return entry.second.state != ServerState::Ready; });
}

double sum(const Weights& weights) {
    return std::accumulate(weights.begin(), weights.end(), 0.0,
                           [](double total, const auto& entry) { return total + entry.second; });
}

}  // namespace

InterimTables::InterimTables(const Settings& settings)
    : header_lines_(settings.message_header_lines),
      max_pending_lines_(lines_in_grace(settings, kPendingGraceFraction)) {}

double InterimTables::assignment_lines(const Assignment& assignment,
                                       const FleetState& fleet) const {
    double lines = header_lines_ + 1;
    for (const auto& [operations, id] : assignment) {
        const auto table = fleet.tables.find(id);
        lines += 1 + (table == fleet.tables.end()
                          ? 0
                          : static_cast<double>(table->second.desired_weights.size()));
    }
    return lines;
}

void InterimTables::update(Micros now, const std::vector<Assignment>& pending, FleetState& fleet,
                           const SlowStart& slow_start) {
    const double lines = std::accumulate(pending.begin(), pending.end(), 0.0,
                                         [&](double total, const Assignment& assignment) {
                                             return total + assignment_lines(assignment, fleet);
                                         });
    active_ = lines > max_pending_lines_ && any_server_unavailable(fleet);
    if (active_) {
        split_pending_tables(now, pending, fleet, slow_start);
    }
    if (split_tables_.empty()) {
        return;
    }
    count_users(fleet);
    if (!active_) {
        release_unused(fleet);
    }
    for (auto& [id, parts] : split_tables_) {
        fill_interim_tables(now, id, parts, fleet, slow_start);
    }
}

void InterimTables::split_pending_tables(Micros now, const std::vector<Assignment>& pending,
                                         FleetState& fleet, const SlowStart& slow_start) {
    for (const Assignment& assignment : pending) {
        for (const auto& [operations, id] : assignment) {
            if (!split_tables_.contains(id)) {
                split(now, id, fleet, slow_start);
            }
        }
    }
}

void InterimTables::count_users(const FleetState& fleet) {
    for (auto& [id, parts] : split_tables_) {
        std::ranges::fill(parts.rate, 0);
        std::ranges::fill(parts.users, 0);
    }
    for (const auto& [id, proxy] : fleet.proxies) {
        on_assigned(proxy);
    }
}

// The publisher then removes the published servers too: a table without users costs the channel
// nothing.
void InterimTables::release_unused(FleetState& fleet) {
    std::erase_if(split_tables_, [&](const auto& entry) {
        const Split& parts = entry.second;
        if (std::ranges::any_of(parts.users, [](int users) { return users > 0; })) {
            return false;
        }
        for (const TableId table : parts.tables) {
            fleet.tables[table].desired_weights.clear();
        }
        return true;
    });
}

// If no warm server is left the desired weights are empty, and the publisher keeps the published
// servers that are still ready.
void InterimTables::fill_interim_tables(Micros now, TableId id, Split& parts, FleetState& fleet,
                                        const SlowStart& slow_start) {
    const Table& complete = fleet.tables[id];
    const Weights warm = warm_weights(now, complete, fleet, slow_start);
    for (std::size_t part = 0; part < parts.tables.size(); ++part) {
        Table& table = fleet.tables[parts.tables[part]];
        Weights kept;
        for (const auto& [server, weight] : table.published_weights) {
            const auto found = warm.find(server);
            if (found != warm.end()) {
                kept.insert(*found);
            }
        }
        table.desired_weights = kept.size() < kMinRemainingServers
                                    ? part_weights(warm, part, parts.tables.size(), fleet)
                                    : kept;
        table.desired_limits = complete.desired_limits;
        parts.weight[part] = sum(table.desired_weights);
    }
}

void InterimTables::split(Micros now, TableId id, FleetState& fleet, const SlowStart& slow_start) {
    const Weights warm = warm_weights(now, fleet.tables[id], fleet, slow_start);
    const std::size_t count =
        std::min<std::size_t>(warm.size() / kMinSubsetWidth, FleetState::kMaxInterimTables);
    if (count < 2 && fleet.tables[id].desired_weights.size() < 2 * kMinSubsetWidth) {
        return;
    }
    if (warm.empty()) {
        return;
    }
    Split parts;
    for (std::size_t part = 0; part < std::max<std::size_t>(1, count); ++part) {
        parts.tables.push_back(fleet.interim_table(id, static_cast<int>(part)));
        parts.users.push_back(0);
        parts.rate.push_back(0);
        parts.weight.push_back(0);
    }
    split_tables_[id] = std::move(parts);
}

InterimTables::Assignment InterimTables::first_assignment(const Proxy& proxy,
                                                          const Assignment& desired) const {
    Assignment first = desired;
    if (!active_) {
        return first;
    }
    for (auto& [operations, id] : first) {
        const auto found = split_tables_.find(id);
        if (found == split_tables_.end()) {
            continue;
        }
        const Split& parts = found->second;
        if (const auto best = least_loaded(parts.rate, parts.weight, proxy.announced_rate, 0)) {
            id = parts.tables[*best];
        }
    }
    return first;
}

void InterimTables::on_assigned(const Proxy& proxy) {
    for (const auto& [operations, id] : proxy.assigned_tables) {
        for (auto& [complete, parts] : split_tables_) {
            const auto found = std::ranges::find(parts.tables, id);
            if (found == parts.tables.end()) {
                continue;
            }
            const auto part = static_cast<std::size_t>(found - parts.tables.begin());
            parts.rate[part] += proxy.announced_rate;
            ++parts.users[part];
        }
    }
}

}  // namespace badgergrade::policy
