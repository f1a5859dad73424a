#include "runtime/config_state.h"

#include <algorithm>

namespace badgergrade::runtime {

ConfigState::ConfigState(const Settings& told)
    : head_lines_(told.message_head_lines),
      all_let_in_(told.admission_mode == AdmissionMode::Rate ? kAnyRate : 1),
      usual_again_(told.default_retry_mode) {
    for (int k = 0; k < static_cast<int>(told.operations.size()); ++k) {
        operations_.push_back({k});
        all_ops_ |= OperationMask{1} << k;
    }
}

void ConfigState::joined(ProxyId proxy) {
    Held& held = proxies_[proxy];
    held.joined = true;
    held.bound.clear();
}

void ConfigState::left(ProxyId proxy) {
    const auto it = proxies_.find(proxy);
    if (it == proxies_.end()) {
        return;
    }
    it->second.joined = false;
    it->second.bound.clear();
}

void ConfigState::carry_out(const command::SetWeight& a, Turn& turn) {
    Lines& lines = tables_[a.table].lines;
    if (a.weight > 0) {
        lines[a.server] = a.weight;
    } else {
        lines.erase(a.server);
    }
    turn.changed[a.table].lines[a.server] = std::max(0.0, a.weight);
}

void ConfigState::carry_out(const command::ClearTable& a, Turn& turn) {
    tables_[a.table] = {};
    turn.changed[a.table] = {{}, {}, true};
}

void ConfigState::carry_out(const command::AssignTable& a, Turn& turn,
                            std::vector<std::string>& refused) {
    const auto it = proxies_.find(a.proxy);
    if (it == proxies_.end() || !it->second.joined) {
        refused.push_back("a binding for proxy " + std::to_string(a.proxy.value) +
                          ", which is not joined");
        return;
    }
    // Operations are bound by mask; what this binding names leaves the masks it was in.
    const OperationMask ops = a.operations == 0 ? all_ops_ : a.operations & all_ops_;
    std::map<OperationMask, TableId> rest;
    for (const auto& [mask, table] : it->second.bound) {
        if (const OperationMask kept = mask & ~ops) {
            rest[kept] = table;
            if (kept != mask && turn.bound.erase({a.proxy, mask}) > 0) {
                turn.bound.insert({a.proxy, kept});
            }
        }
    }
    rest[ops] = a.table;
    it->second.bound = std::move(rest);
    turn.bound.insert({a.proxy, ops});
}

void ConfigState::carry_out(const command::SetAdmission& a, Turn& turn) {
    for (const OperationId op : operations_) {
        if (!names_op(a.operations, op)) {
            continue;
        }
        const AdmissionSetting level{a.limit, a.retry_mode};
        if (a.table == kAllTables) {
            every_table_[op] = level;
            turn.levels_for_all = true;
        } else {
            tables_[a.table].levels[op] = level;
            turn.changed[a.table].levels.insert(op);
        }
    }
}

// Where a level is set for all and for the table the lower holds, and the table's own manner of
// trying again.
AdmissionSetting ConfigState::level(TableId id, OperationId op) const {
    AdmissionSetting out{all_let_in_, usual_again_};
    if (const auto it = every_table_.find(op); it != every_table_.end()) {
        out = it->second;
    }
    const auto table = tables_.find(id);
    if (table == tables_.end()) {
        return out;
    }
    if (const auto own = table->second.levels.find(op); own != table->second.levels.end()) {
        out = {std::min(out.let_in, own->second.let_in), own->second.again};
    }
    return out;
}

TableUpdatePtr ConfigState::part_for(ProxyId proxy, TableId table, OperationMask ops, Turn& turn) {
    const auto changed = turn.changed.find(table);
    const bool bound = turn.bound.contains({proxy, ops});
    const bool whole = bound || (changed != turn.changed.end() && changed->second.cleared);
    if (!whole && changed == turn.changed.end() && !turn.levels_for_all) {
        return nullptr;
    }
    TableUpdatePtr& made = turn.made[{table, ops, whole}];
    if (made) {
        return made;
    }
    auto part = std::make_shared<TableUpdate>();
    const Table& stands = tables_[table];
    part->table = table;
    part->ops = ops == all_ops_ ? 0 : ops;
    part->whole = whole;
    if (whole) {
        part->lines = stands.lines;
    } else if (changed != turn.changed.end()) {
        part->lines = changed->second.lines;
    }
    for (const OperationId op : operations_) {
        if (!names_op(ops, op)) {
            continue;
        }
        const bool set = stands.levels.contains(op) || every_table_.contains(op);
        const bool fresh = whole || turn.levels_for_all ||
                           (changed != turn.changed.end() && changed->second.levels.contains(op));
        if (set && fresh) {
            part->levels[op] = level(table, op);
        }
    }
    return made = std::move(part);
}

// A proxy keeps what it was told to shut out across its streams, while the module takes a proxy to
// follow the withdrawals of this governor alone: what differs is told, and nothing else.
void ConfigState::add_withdrawals(Held& held, ProxyUpdate& order) {
    if (held.shut_out == withdrawn_) {
        return;
    }
    const auto holds = [&](ServerId server) {
        for (const auto& [ops, table] : held.bound) {
            if (tables_[table].lines.contains(server)) {
                return true;
            }
        }
        // Before its first binding a proxy picks from a table that this governor does not know.
        return held.bound.empty();
    };
    for (const ServerId server : withdrawn_) {
        if (!held.shut_out.contains(server) && holds(server)) {
            order.out.push_back(server);
        }
    }
    for (const ServerId server : held.shut_out) {
        if (!withdrawn_.contains(server)) {
            order.back.push_back(server);
        }
    }
    for (const ServerId server : order.out) {
        held.shut_out.insert(server);
    }
    for (const ServerId server : order.back) {
        held.shut_out.erase(server);
    }
}

std::vector<ProxyUpdate> ConfigState::take(const std::vector<Command>& actions,
                                           std::vector<std::string>& refused) {
    Turn turn;
    for (const Command& action : actions) {
        if (const auto* line = std::get_if<command::SetWeight>(&action)) {
            carry_out(*line, turn);
        } else if (const auto* clear = std::get_if<command::ClearTable>(&action)) {
            carry_out(*clear, turn);
        } else if (const auto* bind = std::get_if<command::AssignTable>(&action)) {
            carry_out(*bind, turn, refused);
        } else if (const auto* level = std::get_if<command::SetAdmission>(&action)) {
            carry_out(*level, turn);
        } else if (const auto* withdraw = std::get_if<command::SetEjected>(&action)) {
            if (withdraw->ejected) {
                withdrawn_.insert(withdraw->server);
            } else {
                withdrawn_.erase(withdraw->server);
            }
        } else if (const auto* mark = std::get_if<command::RequestAck>(&action)) {
            turn.mark = mark->version;
            turn.everyone = turn.everyone || mark->all_proxies;
        }
    }
    std::vector<ProxyUpdate> out;
    for (auto& [proxy, held] : proxies_) {
        if (!held.joined) {
            continue;
        }
        ProxyUpdate order;
        order.proxy = proxy;
        for (const auto& [ops, table] : held.bound) {
            if (const TableUpdatePtr part = part_for(proxy, table, ops, turn)) {
                order.parts.push_back(part);
                order.lines += (part->whole ? 1.0 : 0.0) +
                               static_cast<double>(part->lines.size() + part->levels.size());
            }
        }
        add_withdrawals(held, order);
        order.lines += static_cast<double>(order.out.size() + order.back.size());
        if (order.lines <= 0 && !(turn.everyone && turn.mark)) {
            continue;
        }
        order.mark = turn.mark;
        order.lines += head_lines_ + (turn.mark ? 1 : 0);
        out.push_back(std::move(order));
    }
    return out;
}

const std::map<OperationMask, TableId>& ConfigState::held_by(ProxyId proxy) const {
    static const std::map<OperationMask, TableId> none;
    const auto it = proxies_.find(proxy);
    return it == proxies_.end() ? none : it->second.bound;
}

const Lines& ConfigState::lines(TableId table) const {
    static const Lines none;
    const auto it = tables_.find(table);
    return it == tables_.end() ? none : it->second.lines;
}

bool ConfigState::names(ServerId server) const {
    if (withdrawn_.contains(server)) {
        return true;
    }
    for (const auto& [id, table] : tables_) {
        if (table.lines.contains(server)) {
            return true;
        }
    }
    for (const auto& [proxy, held] : proxies_) {
        if (held.shut_out.contains(server)) {
            return true;
        }
    }
    return false;
}

}  // namespace badgergrade::runtime
