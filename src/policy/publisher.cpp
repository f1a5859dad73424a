// Table differences, assignments, and how much of both is sent in one decision; publisher.h
// describes the order and the limits.
#include "policy/publisher.h"

#include <algorithm>
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

}  // namespace

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

std::map<OperationMask, TableId> desired_tables(const Proxy& proxy, const FleetState& fleet,
                                                bool full_table_mode,
                                                const Subsetting& subsetting) {
    // In commands 0 means all operations.
    const auto mask = [&](OperationMask operations) {
        return operations == fleet.operations.all ? 0 : operations;
    };
    std::map<OperationMask, TableId> desired;
    const bool zone_known = fleet.has_zone(proxy.zone);
    const auto zone_table = fleet.tables.find(FleetState::zone_table(proxy.zone));
    const bool use_full_table = full_table_mode || !zone_known ||
                                zone_table == fleet.tables.end() ||
                                zone_table->second.desired_weights.empty();
    if (fleet.operations.any_zone != 0) {
        desired[mask(fleet.operations.any_zone)] =
            use_full_table ? fleet.full_table() : FleetState::zone_table(proxy.zone);
    }
    if (fleet.operations.local_only != 0) {
        desired[mask(fleet.operations.local_only)] =
            zone_known ? fleet.local_only_table(proxy.zone) : fleet.full_table();
    }
    if (!zone_known || proxy.subset < 0 || subsetting.count(proxy.zone) < 2) {
        return desired;
    }
    for (auto& [operations, table] : desired) {
        const bool local_only = table == fleet.local_only_table(proxy.zone);
        const TableId subset = fleet.subset_table(proxy.zone, proxy.subset, local_only);
        const auto found = fleet.tables.find(subset);
        if (table != fleet.full_table() && found != fleet.tables.end() &&
            !found->second.desired_weights.empty()) {
            table = subset;
        }
    }
    return desired;
}

Publisher::Publisher(const Settings& settings, FleetState& fleet, const OutlierDetector& outliers,
                     const SlowStart& slow_start, const Subsetting& subsetting, SendBudget& budget)
    : fleet_(fleet),
      outliers_(outliers),
      slow_start_(slow_start),
      subsetting_(subsetting),
      budget_(budget),
      interim_tables_(settings),
      urgent_interval_(settings.max_messages > 0
                           ? 2 * settings.message_window / settings.max_messages
                           : Micros{0}) {}

std::vector<Command> Publisher::publish(Micros now, bool full_table_mode) {
    budget_.begin_batch(now);
    const auto pending = pending_first_assignments(full_table_mode);
    has_pending_assignments_ = !pending.empty();
    interim_tables_.update(now, pending, fleet_, slow_start_);
    TableUsers users = users_of_tables();
    for (auto& [id, table] : fleet_.tables) {
        publish_table(now, id, table, users[id], Priority::Urgent);
    }
    publish_assignments(now, full_table_mode, Priority::FirstAssignment);
    publish_assignments(now, full_table_mode, Priority::Deferrable);
    users = users_of_tables();
    for (auto& [id, table] : fleet_.tables) {
        publish_table(now, id, table, users[id], Priority::Deferrable);
    }
    if (budget_.commit_batch(now, fleet_.proxies)) {
        commands_.emplace_back(command::RequestAck{{budget_.version()}, false});
    }
    return std::exchange(commands_, {});
}

Publisher::TableUsers Publisher::users_of_tables() const {
    TableUsers users;
    for (const auto& [id, proxy] : fleet_.proxies) {
        for (const auto& [operations, table] : proxy.assigned_tables) {
            if (proxy.connected && (users[table].empty() || users[table].back() != id)) {
                users[table].push_back(id);
            }
        }
    }
    return users;
}

void Publisher::publish_table(Micros now, TableId id, Table& table,
                              const std::vector<ProxyId>& users, Priority priority) {
    // A table that is no longer desired may have users that can't be assigned another one yet: it
    // loses only the servers that are not ready, and those that all its users would overload.
    if (table.desired_weights.empty() && !users.empty()) {
        for (const auto& [id_of_server, weight] : table.published_weights) {
            const Server& server = fleet_.servers.at(id_of_server);
            if (server.state == ServerState::Ready && !slow_start_.can_collapse(now, server)) {
                table.desired_weights[id_of_server] = weight;
            }
        }
    }
    const TableDifference difference =
        table_difference(now, id, table, fleet_, outliers_, slow_start_);
    const std::size_t count = sendable_lines(now, table, difference, users, priority);
    if (count == 0) {
        return;
    }
    for (std::size_t index = 0; index < count; ++index) {
        record_published(table, difference.lines[index]);
        commands_.push_back(difference.lines[index]);
    }
    if (users.empty()) {
        return;
    }
    budget_.reserve(fleet_.proxies, users, static_cast<double>(count));
    table.published_at = now;
    table.version = budget_.next_version();
}

// Removals are sent at once, together with new servers. Only urgent lines may use the reserve, and
// they are merged so that the message limit is not used up: ejections would otherwise use what
// drains need. Other removals are not sent before pending first assignments, because a proxy that
// waits for its tables may hold draining servers.
std::size_t Publisher::sendable_lines(Micros now, const Table& table,
                                      const TableDifference& difference,
                                      const std::vector<ProxyId>& users, Priority priority) const {
    const std::size_t all = difference.lines.size();
    if (users.empty()) {
        return all;
    }
    const bool urgent = priority == Priority::Urgent;
    std::size_t count = 0;
    if (urgent && now - table.published_at >= urgent_interval_) {
        count = std::min(difference.urgent_count,
                         budget_.lines_available(now, fleet_.proxies, users, Priority::Urgent));
        if (count < budget_.min_partial_lines(difference.urgent_count, users.size())) {
            count = 0;
        }
    }
    const bool removes_servers = difference.urgent_count > 0 || difference.has_removals;
    const bool send_all = urgent ? removes_servers && !has_pending_assignments_
                                 : removes_servers || is_acknowledged(now, table, users);
    if (send_all) {
        const std::size_t available =
            budget_.lines_available(now, fleet_.proxies, users, Priority::Deferrable);
        count = std::max(count, std::min(all, available));
    }
    return count;
}

bool Publisher::is_acknowledged(Micros now, const Table& table,
                                const std::vector<ProxyId>& users) const {
    return now - table.published_at >= kAckTimeout ||
           std::ranges::none_of(users, [&](ProxyId user) {
               return has_unacknowledged(fleet_.proxies.at(user), table.version);
           });
}

std::vector<Publisher::Assignment> Publisher::pending_first_assignments(
    bool full_table_mode) const {
    std::vector<Assignment> pending;
    for (const auto& [id, proxy] : fleet_.proxies) {
        if (proxy.connected && proxy.assigned_tables.empty()) {
            pending.push_back(desired_tables(proxy, fleet_, full_table_mode, subsetting_));
        }
    }
    return pending;
}

bool Publisher::is_empty(TableId table) const {
    const auto found = fleet_.tables.find(table);
    return found == fleet_.tables.end() || found->second.published_weights.empty();
}

bool Publisher::lacks_servers(const Proxy& proxy) const {
    return proxy.assigned_tables.empty() ||
           std::ranges::any_of(proxy.assigned_tables,
                               [this](const auto& assigned) { return is_empty(assigned.second); });
}

bool Publisher::gains_servers(const Proxy& proxy, const Assignment& desired) const {
    return std::ranges::any_of(desired, [&](const auto& entry) {
        const auto assigned = proxy.assigned_tables.find(entry.first);
        const bool lacks = assigned == proxy.assigned_tables.end() || is_empty(assigned->second);
        return lacks && !is_empty(entry.second);
    });
}

bool Publisher::awaits_removal(Micros now, TableId id) const {
    const auto found = fleet_.tables.find(id);
    if (found == fleet_.tables.end()) {
        return false;
    }
    const Table& table = found->second;
    return std::ranges::any_of(table.published_weights, [&](const auto& entry) {
        return !table.desired_weights.contains(entry.first) &&
               slow_start_.can_collapse(now, fleet_.servers.at(entry.first));
    });
}

// A proxy without tables from this instance may hold draining servers, and one whose table is empty
// has no server; others that change their tables can wait.
void Publisher::publish_assignments(Micros now, bool full_table_mode, Priority priority) {
    const bool first = priority == Priority::FirstAssignment;
    for (auto& [id, proxy] : fleet_.proxies) {
        if (proxy.connected && (first ? lacks_servers(proxy) : !proxy.assigned_tables.empty())) {
            publish_assignment(now, id, proxy, full_table_mode, priority);
        }
    }
}

void Publisher::publish_assignment(Micros now, ProxyId id, Proxy& proxy, bool full_table_mode,
                                   Priority priority) {
    auto desired = desired_tables(proxy, fleet_, full_table_mode, subsetting_);
    if (desired == proxy.assigned_tables) {
        return;
    }
    const bool is_first = proxy.assigned_tables.empty();
    if (priority == Priority::FirstAssignment && !is_first && !gains_servers(proxy, desired)) {
        return;
    }
    const bool must_wait = !is_first && std::ranges::any_of(desired, [&](const auto& entry) {
        return awaits_removal(now, entry.second);
    });
    if (must_wait) {
        return;
    }
    if (is_first) {
        desired = interim_tables_.first_assignment(proxy, desired);
    }
    std::size_t line_count = 0;
    for (const auto& [operations, table] : desired) {
        const Table& target = fleet_.tables[table];
        line_count += 1 + target.published_weights.size() + target.published_limits.size();
    }
    if (budget_.lines_available(now, fleet_.proxies, {id}, priority) < line_count) {
        return;
    }
    for (const auto& [operations, table] : desired) {
        const auto assigned = proxy.assigned_tables.find(operations);
        if (assigned == proxy.assigned_tables.end() || assigned->second != table) {
            commands_.emplace_back(command::AssignTable{table, operations, id});
        }
    }
    proxy.assigned_tables = desired;
    if (is_first) {
        interim_tables_.on_assigned(proxy);
    }
    budget_.reserve(fleet_.proxies, {id}, static_cast<double>(line_count));
}

}  // namespace badgergrade::policy
