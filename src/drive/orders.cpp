#include "drive/orders.h"

#include <algorithm>

namespace badgergrade::drive {

OrderBook::OrderBook(const Settings& told)
    : head_lines_(told.head_lines),
      all_let_in_(told.admit == Admit::Rate ? kAnyRate : 1),
      usual_again_(told.default_again) {
    for (int k = 0; k < static_cast<int>(told.operations.size()); ++k) {
        operations_.push_back({k});
        all_ops_ |= OpMask{1} << k;
    }
}

void OrderBook::joined(ProxyId proxy) {
    Held& held = proxies_[proxy];
    held.joined = true;
    held.bound.clear();
}

void OrderBook::left(ProxyId proxy) {
    const auto it = proxies_.find(proxy);
    if (it == proxies_.end()) {
        return;
    }
    it->second.joined = false;
    it->second.bound.clear();
}

void OrderBook::carry_out(const act::Line& a, Turn& turn) {
    Lines& lines = tables_[a.table].lines;
    if (a.weight > 0) {
        lines[a.server] = a.weight;
    } else {
        lines.erase(a.server);
    }
    turn.changed[a.table].lines[a.server] = std::max(0.0, a.weight);
}

void OrderBook::carry_out(const act::Clear& a, Turn& turn) {
    tables_[a.table] = {};
    turn.changed[a.table] = {{}, {}, true};
}

void OrderBook::carry_out(const act::Bind& a, Turn& turn, std::vector<std::string>& refused) {
    const auto it = proxies_.find(a.proxy);
    if (it == proxies_.end() || !it->second.joined) {
        refused.push_back("a binding for proxy " + std::to_string(a.proxy.v) +
                          ", which is not joined");
        return;
    }
    // Operations are bound by mask; what this binding names leaves the masks it was in.
    const OpMask ops = a.ops == 0 ? all_ops_ : a.ops & all_ops_;
    std::map<OpMask, TableId> rest;
    for (const auto& [mask, table] : it->second.bound) {
        if (const OpMask kept = mask & ~ops) {
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

void OrderBook::carry_out(const act::Level& a, Turn& turn) {
    for (const OpId op : operations_) {
        if (!names_op(a.ops, op)) {
            continue;
        }
        const LevelSet level{a.let_in, a.again};
        if (a.table == kEveryTable) {
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
LevelSet OrderBook::level(TableId id, OpId op) const {
    LevelSet out{all_let_in_, usual_again_};
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

TablePartPtr OrderBook::part_for(ProxyId proxy, TableId table, OpMask ops, Turn& turn) {
    const auto changed = turn.changed.find(table);
    const bool bound = turn.bound.contains({proxy, ops});
    const bool whole = bound || (changed != turn.changed.end() && changed->second.cleared);
    if (!whole && changed == turn.changed.end() && !turn.levels_for_all) {
        return nullptr;
    }
    TablePartPtr& made = turn.made[{table, ops, whole}];
    if (made) {
        return made;
    }
    auto part = std::make_shared<TablePart>();
    const Table& stands = tables_[table];
    part->table = table;
    part->ops = ops == all_ops_ ? 0 : ops;
    part->whole = whole;
    if (whole) {
        part->lines = stands.lines;
    } else if (changed != turn.changed.end()) {
        part->lines = changed->second.lines;
    }
    for (const OpId op : operations_) {
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
void OrderBook::add_withdrawals(Held& held, Order& order) {
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

std::vector<Order> OrderBook::take(const std::vector<Action>& actions,
                                   std::vector<std::string>& refused) {
    Turn turn;
    for (const Action& action : actions) {
        if (const auto* line = std::get_if<act::Line>(&action)) {
            carry_out(*line, turn);
        } else if (const auto* clear = std::get_if<act::Clear>(&action)) {
            carry_out(*clear, turn);
        } else if (const auto* bind = std::get_if<act::Bind>(&action)) {
            carry_out(*bind, turn, refused);
        } else if (const auto* level = std::get_if<act::Level>(&action)) {
            carry_out(*level, turn);
        } else if (const auto* withdraw = std::get_if<act::Withdraw>(&action)) {
            if (withdraw->out) {
                withdrawn_.insert(withdraw->server);
            } else {
                withdrawn_.erase(withdraw->server);
            }
        } else if (const auto* mark = std::get_if<act::Mark>(&action)) {
            turn.mark = mark->mark;
            turn.everyone = turn.everyone || mark->everyone;
        }
    }
    std::vector<Order> out;
    for (auto& [proxy, held] : proxies_) {
        if (!held.joined) {
            continue;
        }
        Order order;
        order.proxy = proxy;
        for (const auto& [ops, table] : held.bound) {
            if (const TablePartPtr part = part_for(proxy, table, ops, turn)) {
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

const std::map<OpMask, TableId>& OrderBook::held_by(ProxyId proxy) const {
    static const std::map<OpMask, TableId> none;
    const auto it = proxies_.find(proxy);
    return it == proxies_.end() ? none : it->second.bound;
}

const Lines& OrderBook::lines(TableId table) const {
    static const Lines none;
    const auto it = tables_.find(table);
    return it == tables_.end() ? none : it->second.lines;
}

bool OrderBook::names(ServerId server) const {
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

}  // namespace badgergrade::drive
