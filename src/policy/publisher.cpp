// What is sent in one decision, and in which order; publisher.h describes the order and the limits.
#include "policy/publisher.h"

#include <algorithm>
#include <utility>

namespace badgergrade::policy {

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
      scheduler_(settings),
      interim_tables_(fleet, slow_start),
      urgent_interval_(settings.max_messages > 0
                           ? 2 * settings.message_window / settings.max_messages
                           : Micros{0}) {}

std::vector<Command> Publisher::publish(Micros now, bool full_table_mode) {
    budget_.begin_batch(now);
    if (!budget_.has_room(now)) {
        return {};
    }
    users_ = users_of_tables();
    interim_tables_.update(now);
    keep_ready_servers(now);
    update_differences(now);
    std::vector<Delivery> deliveries = due_deliveries(now, full_table_mode);
    scheduler_.update(now, budget_, deliveries);
    crowded_tables_.clear();
    if (scheduler_.uses_interim_tables()) {
        replace_crowded_changes(now, deliveries);
    }
    send_due(now, full_table_mode, deliveries);
    send_deferrable(now, full_table_mode);
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

void Publisher::keep_ready_servers(Micros now) {
    for (const auto& [id, users] : users_) {
        Table& table = fleet_.tables[id];
        if (!table.desired_weights.empty()) {
            continue;
        }
        for (const auto& [server_id, weight] : table.published_weights) {
            const Server& server = fleet_.servers.at(server_id);
            if (server.state == ServerState::Ready && !slow_start_.can_collapse(now, server)) {
                table.desired_weights[server_id] = weight;
            }
        }
    }
}

void Publisher::update_differences(Micros now) {
    differences_.clear();
    for (const auto& [id, table] : fleet_.tables) {
        update_difference(now, id);
    }
}

void Publisher::update_difference(Micros now, TableId id) {
    differences_[id] = compare(now, id);
    const auto users = users_.find(id);
    if (users == users_.end() || users->second.empty()) {
        send_lines(now, id, differences_[id].lines.size());
    }
}

TableDifference Publisher::compare(Micros now, TableId id) const {
    TableDifference difference =
        table_difference(now, id, fleet_.tables.at(id), fleet_, outliers_, slow_start_);
    // The other lines of an interim table replace the servers that leave it.
    if (difference.urgent_count > 0 && fleet_.is_interim_table(id)) {
        difference.urgent_count = difference.lines.size();
    }
    return difference;
}

std::vector<Delivery> Publisher::due_deliveries(Micros now, bool full_table_mode) {
    std::vector<Delivery> deliveries;
    add_due_assignments(now, full_table_mode, deliveries);
    add_due_changes(now, deliveries);
    return deliveries;
}

void Publisher::add_due_changes(Micros now, std::vector<Delivery>& deliveries) {
    for (const auto& [id, users] : users_) {
        const TableDifference& difference = differences_[id];
        if (difference.urgent_count == 0) {
            overloading_since_.erase(id);
            continue;
        }
        const auto recipients = static_cast<double>(users.size());
        Delivery delivery = due_change(now, id, difference);
        delivery.table = id;
        delivery.lines = recipients * static_cast<double>(difference.urgent_count);
        delivery.messages = recipients;
        deliveries.push_back(delivery);
    }
}

// The earliest due time of the lines. A line that neither removes a server nor fills an empty table
// is for a warming server.
Delivery Publisher::due_change(Micros now, TableId id, const TableDifference& difference) {
    const Table& table = fleet_.tables[id];
    Delivery delivery;
    delivery.due = Micros::max();
    bool is_overloading = false;
    for (std::size_t index = 0; index < difference.urgent_count; ++index) {
        const auto* change = std::get_if<command::SetWeight>(&difference.lines[index]);
        if (change == nullptr || !table.published_weights.contains(change->server)) {
            continue;
        }
        if (fleet_.is_ready(change->server)) {
            is_overloading = true;
            continue;
        }
        const Server& server = fleet_.servers.at(change->server);
        delivery.due = std::min(delivery.due, scheduler_.removal_due(server));
        delivery.is_limited_by_grace = true;
    }
    if (is_overloading) {
        const Micros since = overloading_since_.try_emplace(id, now).first->second;
        delivery.due = std::min(delivery.due, scheduler_.weight_reduction_due(since));
    }
    if (table.published_weights.empty()) {
        delivery.due = std::min(delivery.due, scheduler_.refill_due(table.published_at));
    }
    return delivery;
}

void Publisher::add_due_assignments(Micros now, bool full_table_mode,
                                    std::vector<Delivery>& deliveries) {
    const std::optional<Micros> unavailable = unavailable_since();
    for (const auto& [id, proxy] : fleet_.proxies) {
        if (!proxy.connected || !lacks_servers(proxy)) {
            continue;
        }
        const Assignment desired = desired_tables(proxy, fleet_, full_table_mode, subsetting_);
        const bool is_first = proxy.assigned_tables.empty();
        if (!is_first && !gains_servers(proxy, desired)) {
            continue;
        }
        Delivery delivery;
        delivery.proxy = id;
        delivery.lines = assignment_lines(desired);
        delivery.due = is_first ? scheduler_.first_assignment_due(proxy, unavailable)
                                : scheduler_.refill_due(empty_since(now, proxy));
        delivery.is_limited_by_grace = is_first && unavailable.has_value();
        deliveries.push_back(delivery);
    }
}

double Publisher::assignment_lines(const Assignment& assignment) const {
    double lines = 0;
    for (const auto& [operations, id] : assignment) {
        const auto table = fleet_.tables.find(id);
        lines += 1;
        if (table != fleet_.tables.end()) {
            lines += static_cast<double>(table->second.desired_weights.size() +
                                         table->second.desired_limits.size());
        }
    }
    return lines;
}

std::optional<Micros> Publisher::unavailable_since() const {
    std::optional<Micros> since;
    for (const auto& [id, server] : fleet_.servers) {
        if (server.state != ServerState::Ready) {
            since = std::min(since.value_or(server.unavailable_since), server.unavailable_since);
        }
    }
    return since;
}

Micros Publisher::empty_since(Micros now, const Proxy& proxy) const {
    Micros since = now;
    for (const auto& [operations, id] : proxy.assigned_tables) {
        if (is_empty(id)) {
            since = std::min(since, fleet_.tables.at(id).published_at);
        }
    }
    return since;
}

void Publisher::replace_crowded_changes(Micros now, std::vector<Delivery>& deliveries) {
    std::vector<Delivery> replaced;
    std::set<ProxyId> added;
    for (const Delivery& delivery : deliveries) {
        if (!delivery.table || !is_narrow_cheaper(now, *delivery.table)) {
            replaced.push_back(delivery);
            continue;
        }
        crowded_tables_.insert(*delivery.table);
        for (const ProxyId user : users_.at(*delivery.table)) {
            if (added.insert(user).second) {
                Delivery assignment;
                assignment.due = delivery.due;
                assignment.proxy = user;
                replaced.push_back(assignment);
            }
        }
    }
    deliveries = std::move(replaced);
}

bool Publisher::is_narrow_cheaper(Micros now, TableId id) const {
    const auto lines = static_cast<double>(differences_.at(id).urgent_count);
    return scheduler_.is_narrow_cheaper(budget_, lines, kInterimWidth + 1.0) &&
           interim_tables_.can_replace(now, id);
}

void Publisher::send_due(Micros now, bool full_table_mode,
                         const std::vector<Delivery>& deliveries) {
    for (const Delivery& delivery : deliveries) {
        if (delivery.table) {
            publish_table(now, *delivery.table, Priority::Due, delivery.due);
        } else {
            publish_assignment(now, delivery.proxy, full_table_mode, Priority::Due);
        }
    }
}

// Removals of servers that are ready, such as ejected ones, come before the changes that only add
// servers. Tables take turns by the time of their last change.
void Publisher::send_deferrable(Micros now, bool full_table_mode) {
    if (!budget_.has_room(now)) {
        return;
    }
    std::vector<TableId> tables;
    for (const auto& [id, users] : users_) {
        if (!crowded_tables_.contains(id)) {
            tables.push_back(id);
        }
    }
    std::ranges::stable_sort(tables, {},
                             [&](TableId id) { return fleet_.tables[id].published_at; });
    for (const TableId id : tables) {
        if (differences_[id].has_removals) {
            publish_table(now, id, Priority::Deferrable, Micros::max());
        }
    }
    for (const auto& [id, proxy] : fleet_.proxies) {
        if (proxy.connected && !proxy.assigned_tables.empty()) {
            publish_assignment(now, id, full_table_mode, Priority::Deferrable);
        }
    }
    for (const TableId id : tables) {
        publish_table(now, id, Priority::Deferrable, Micros::max());
    }
}

void Publisher::publish_table(Micros now, TableId id, Priority priority, Micros due) {
    if (differences_[id].lines.empty() || users_.at(id).empty()) {
        return;
    }
    const std::size_t count = sendable_lines(now, id, priority, due);
    if (count == 0) {
        return;
    }
    send_lines(now, id, count);
    Table& table = fleet_.tables[id];
    budget_.reserve(fleet_.proxies, users_.at(id), static_cast<double>(count));
    table.published_at = now;
    table.version = budget_.next_version();
}

void Publisher::send_lines(Micros now, TableId id, std::size_t count) {
    if (count == 0) {
        return;
    }
    Table& table = fleet_.tables[id];
    const TableDifference& difference = differences_[id];
    for (std::size_t index = 0; index < count; ++index) {
        record_published(table, difference.lines[index]);
        commands_.push_back(difference.lines[index]);
    }
    differences_[id] = compare(now, id);
}

// Due lines are merged so that the message limit is not used up: ejections would otherwise use what
// drains need. While no interim tables are in use, all lines are sent with them.
std::size_t Publisher::sendable_lines(Micros now, TableId id, Priority priority, Micros due) const {
    const Table& table = fleet_.tables.at(id);
    const TableDifference& difference = differences_.at(id);
    const std::vector<ProxyId>& users = users_.at(id);
    const std::size_t all = difference.lines.size();
    const bool is_due = priority == Priority::Due;
    std::size_t count = 0;
    if (is_due && (now - table.published_at >= urgent_interval_ || scheduler_.is_near(now, due))) {
        count = std::min(difference.urgent_count,
                         budget_.lines_available(now, fleet_.proxies, users, Priority::Due));
        if (count < budget_.min_partial_lines(difference.urgent_count, users.size())) {
            count = 0;
        }
    }
    const bool removes_servers = difference.urgent_count > 0 || difference.has_removals;
    const bool send_all = is_due ? !scheduler_.uses_interim_tables()
                                 : removes_servers || is_acknowledged(now, table, users);
    if (send_all) {
        const std::size_t available =
            std::min(budget_.lines_available(now, fleet_.proxies, users, Priority::Deferrable),
                     deferrable_lines(users.size()));
        count = std::max(count, std::min(all, available));
    }
    return count;
}

// While the channel has nothing urgent to do, a change for many proxies is sent in parts rather
// than not at all.
std::size_t Publisher::deferrable_lines(std::size_t recipients) const {
    const std::size_t lines = budget_.lines_within(scheduler_.max_deferrable_seconds(), recipients);
    const std::size_t part = budget_.min_partial_lines(SIZE_MAX, recipients);
    if (lines >= part) {
        return lines;
    }
    return scheduler_.uses_interim_tables() ? 0 : part;
}

bool Publisher::is_acknowledged(Micros now, const Table& table,
                                const std::vector<ProxyId>& users) const {
    return now - table.published_at >= kAckTimeout ||
           std::ranges::none_of(users, [&](ProxyId user) {
               return has_unacknowledged(fleet_.proxies.at(user), table.version);
           });
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

// While interim tables are in use, a proxy keeps an interim table, and a wide one that is not
// crowded, and gets no other wide table.
Publisher::Assignment Publisher::target_tables(Micros now, const Proxy& proxy,
                                               bool full_table_mode) {
    Assignment target = desired_tables(proxy, fleet_, full_table_mode, subsetting_);
    if (!scheduler_.uses_interim_tables()) {
        return target;
    }
    for (auto& [operations, id] : target) {
        const auto assigned = proxy.assigned_tables.find(operations);
        const bool keeps = assigned != proxy.assigned_tables.end() && assigned->second == id &&
                           !crowded_tables_.contains(id);
        if (keeps || !interim_tables_.can_replace(now, id)) {
            continue;
        }
        id = interim_tables_.table_for(now, proxy, id);
        update_difference(now, id);
    }
    return target;
}

void Publisher::publish_assignment(Micros now, ProxyId id, bool full_table_mode,
                                   Priority priority) {
    Proxy& proxy = fleet_.proxies.at(id);
    if (!budget_.has_room(now) && !budget_.has_message(id)) {
        return;
    }
    const Assignment target = target_tables(now, proxy, full_table_mode);
    if (target == proxy.assigned_tables) {
        return;
    }
    const bool is_first = proxy.assigned_tables.empty();
    const bool must_wait = !is_first && std::ranges::any_of(target, [&](const auto& entry) {
        return awaits_removal(now, entry.second);
    });
    if (must_wait) {
        return;
    }
    std::vector<command::AssignTable> changes;
    std::size_t line_count = 0;
    for (const auto& [operations, table] : target) {
        const auto assigned = proxy.assigned_tables.find(operations);
        if (assigned != proxy.assigned_tables.end() && assigned->second == table) {
            continue;
        }
        const Table& target_table = fleet_.tables[table];
        line_count +=
            1 + target_table.published_weights.size() + target_table.published_limits.size();
        changes.push_back({table, operations, id});
    }
    if (budget_.lines_available(now, fleet_.proxies, {id}, priority) < line_count) {
        return;
    }
    for (const command::AssignTable& change : changes) {
        assign(change);
    }
    interim_tables_.on_assigned(proxy);
    budget_.reserve(fleet_.proxies, {id}, static_cast<double>(line_count));
}

void Publisher::assign(const command::AssignTable& change) {
    auto& assigned = fleet_.proxies.at(change.proxy).assigned_tables;
    if (const auto former = assigned.find(change.operations); former != assigned.end()) {
        std::erase(users_[former->second], change.proxy);
    }
    assigned[change.operations] = change.table;
    std::vector<ProxyId>& users = users_[change.table];
    if (std::ranges::find(users, change.proxy) == users.end()) {
        users.push_back(change.proxy);
    }
    commands_.emplace_back(change);
}

}  // namespace badgergrade::policy
