// Filling, choosing and releasing interim tables; interim_tables.h describes the rule.
#include "policy/interim_tables.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace badgergrade::policy {
namespace {

using Weights = std::map<ServerId, double>;

double sum(const Weights& weights) {
    return std::accumulate(weights.begin(), weights.end(), 0.0,
                           [](double total, const auto& entry) { return total + entry.second; });
}

/// The rate that counts for a proxy; one that announced none is a user too.
double counted_rate(const Proxy& proxy) {
    constexpr double kUnknownRate = 1;
    return proxy.announced_rate > 0 ? proxy.announced_rate : kUnknownRate;
}

}  // namespace

InterimTables::InterimTables(FleetState& fleet, const SlowStart& slow_start)
    : fleet_(fleet),
      slow_start_(slow_start) {}

void InterimTables::update(Micros now) {
    splits_.clear();
    for (const auto& [id, proxy] : fleet_.proxies) {
        for (const auto& [operations, table] : proxy.assigned_tables) {
            count_user(proxy, table);
        }
    }
    empty_unused_tables();
    for (auto& [complete, split] : splits_) {
        split.warm = warm_weights(now, complete);
        for (auto& [id, part] : split.parts) {
            keep_warm_servers(id, part, split);
        }
        for (auto& [id, part] : split.parts) {
            replace_missing_servers(complete, id, part, split);
        }
    }
}

// The publisher then removes the published servers too: a table without users costs the channel
// nothing.
void InterimTables::empty_unused_tables() {
    auto entry = fleet_.tables.lower_bound(fleet_.interim_table({0}, 0));
    while (entry != fleet_.tables.end()) {
        const auto split = splits_.find(fleet_.complete_table(entry->first));
        if (split != splits_.end() && split->second.parts.contains(entry->first)) {
            ++entry;
            continue;
        }
        entry->second.desired_weights.clear();
        entry =
            entry->second.published_weights.empty() ? fleet_.tables.erase(entry) : std::next(entry);
    }
}

void InterimTables::count_user(const Proxy& proxy, TableId id) {
    if (!fleet_.is_interim_table(id)) {
        return;
    }
    splits_[fleet_.complete_table(id)].parts[id].rate += counted_rate(proxy);
}

InterimTables::Weights InterimTables::warm_weights(Micros now, TableId complete) const {
    Weights warm;
    const auto table = fleet_.tables.find(complete);
    if (table == fleet_.tables.end()) {
        return warm;
    }
    for (const auto& [id, weight] : table->second.desired_weights) {
        if (!slow_start_.is_warming_up(now, fleet_.servers.at(id))) {
            warm[id] = weight;
        }
    }
    return warm;
}

void InterimTables::keep_warm_servers(TableId id, Part& part, Split& split) {
    Table& table = fleet_.tables[id];
    table.desired_weights.clear();
    for (const auto& [server, weight] : table.published_weights) {
        const auto found = split.warm.find(server);
        if (found != split.warm.end()) {
            table.desired_weights.insert(*found);
        } else {
            part.is_current = false;
        }
    }
    add_load(id, part.rate, split);
}

// If no warm server is left the desired weights stay empty, and the publisher keeps the published
// servers that are still ready.
void InterimTables::replace_missing_servers(TableId complete, TableId id, const Part& part,
                                            Split& split) {
    Table& table = fleet_.tables[id];
    if (table.desired_weights.size() < std::min(kInterimWidth, split.warm.size())) {
        add_load(id, -part.rate, split);
        add_servers(table.desired_weights, split);
        add_load(id, part.rate, split);
    }
    table.desired_limits = fleet_.tables[complete].desired_limits;
}

void InterimTables::add_servers(Weights& weights, const Split& split) {
    const auto load_per_weight = [&](const auto& entry) {
        const auto load = split.load.find(entry.first);
        return load == split.load.end() ? 0.0 : load->second / entry.second;
    };
    while (weights.size() < std::min(kInterimWidth, split.warm.size())) {
        const Weights::value_type* lowest = nullptr;
        for (const auto& entry : split.warm) {
            const bool is_lower =
                lowest == nullptr || load_per_weight(entry) < load_per_weight(*lowest);
            if (is_lower && !weights.contains(entry.first)) {
                lowest = &entry;
            }
        }
        weights.insert(*lowest);
    }
}

void InterimTables::add_load(TableId id, double rate, Split& split) {
    const Weights& weights = fleet_.tables[id].desired_weights;
    const double total = sum(weights);
    for (const auto& [server, weight] : weights) {
        split.load[server] += rate * weight / total;
    }
}

void InterimTables::on_assigned(const Proxy& proxy) {
    for (const auto& [operations, id] : proxy.assigned_tables) {
        if (fleet_.is_interim_table(id)) {
            count_user(proxy, id);
            add_load(id, counted_rate(proxy), splits_[fleet_.complete_table(id)]);
        }
    }
}

bool InterimTables::can_replace(Micros now, TableId complete) const {
    const auto table = fleet_.tables.find(complete);
    if (complete > fleet_.last_base_table() || table == fleet_.tables.end()) {
        return false;
    }
    const Weights& weights = table->second.desired_weights;
    return weights.size() >= 2 * kInterimWidth &&
           std::ranges::any_of(weights, [&](const auto& entry) {
               return !slow_start_.is_warming_up(now, fleet_.servers.at(entry.first));
           });
}

TableId InterimTables::table_for(Micros now, const Proxy& proxy, TableId complete) {
    for (const auto& [operations, id] : proxy.assigned_tables) {
        if (fleet_.is_interim_table(id) && fleet_.complete_table(id) == complete) {
            return id;
        }
    }
    Split& split = splits_[complete];
    if (split.warm.empty()) {
        split.warm = warm_weights(now, complete);
    }
    if (const auto shared = shared_table(split)) {
        return *shared;
    }
    const std::optional<TableId> unused = unused_table(complete, split);
    if (!unused) {
        return least_loaded_table(split);
    }
    Table& table = fleet_.tables[*unused];
    table.desired_weights.clear();
    add_servers(table.desired_weights, split);
    table.desired_limits = fleet_.tables[complete].desired_limits;
    return *unused;
}

std::optional<TableId> InterimTables::shared_table(const Split& split) const {
    double total_rate = 0;
    for (const auto& [id, part] : split.parts) {
        total_rate += part.rate;
    }
    std::optional<TableId> best;
    double lowest = total_rate / sum(split.warm);
    for (const auto& [id, part] : split.parts) {
        const double load = mean_load(id, split);
        if (part.is_current && load <= lowest) {
            best = id;
            lowest = load;
        }
    }
    return best;
}

std::optional<TableId> InterimTables::unused_table(TableId complete, const Split& split) const {
    for (int part = 0; part < FleetState::kMaxInterimTables; ++part) {
        const TableId id = fleet_.interim_table(complete, part);
        if (!split.parts.contains(id)) {
            return id;
        }
    }
    return std::nullopt;
}

TableId InterimTables::least_loaded_table(const Split& split) const {
    return std::ranges::min_element(
               split.parts, {}, [&](const auto& entry) { return mean_load(entry.first, split); })
        ->first;
}

double InterimTables::mean_load(TableId id, const Split& split) const {
    double load = 0;
    double weight = 0;
    for (const auto& [server, server_weight] : fleet_.tables.at(id).desired_weights) {
        const auto found = split.load.find(server);
        load += found == split.load.end() ? 0 : found->second;
        weight += server_weight;
    }
    return weight > 0 ? load / weight : std::numeric_limits<double>::infinity();
}

}  // namespace badgergrade::policy
