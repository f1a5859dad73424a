// What the module's orders are for each proxy, in words of no protocol: whole tables where it was
// bound, changed lines and levels where it was before, servers shut out, the mark. No socket and no
// decision in here.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "types.h"

namespace badgergrade::drive {

// A rate at or above this lets everything in (the module's word for "all").
constexpr double kAnyRate = 1e6;

// Whether a mask of operations names this one; 0 names all.
constexpr bool names_op(OpMask ops, OpId op) {
    return ops == 0 || (ops >> op.v & 1) != 0;
}

struct LevelSet {
    double let_in = 0;
    Again again = Again::AfterProof;
    friend bool operator==(const LevelSet&, const LevelSet&) = default;
};

using Lines = std::map<ServerId, double>;  // weight 0 removes a line
using Levels = std::map<OpId, LevelSet>;

// One table for some of a proxy's operations; shared by all proxies that get the same.
struct TablePart {
    TableId table;
    OpMask ops = 0;      // 0: all
    bool whole = false;  // the lines are the whole table, and levels ordered before are forgotten
    Lines lines;
    Levels levels;
};

using TablePartPtr = std::shared_ptr<const TablePart>;

// What one decision is for one proxy.
struct Order {
    ProxyId proxy;
    std::vector<TablePartPtr> parts;
    std::vector<ServerId> out, back;  // servers to shut out, to let back
    std::optional<MarkId> mark;
    double lines = 0;  // head, lines, levels, withdrawals, bindings and mark
};

class OrderBook {
public:
    struct Table {
        Lines lines;
        Levels levels;
    };

    explicit OrderBook(const Settings& told);

    // A proxy's stream stands, and it is bound to nothing of ours; or its stream is over. What it
    // was told to shut out it goes on shutting out, whatever stream it comes on: that is kept here
    // as long as this governor lives.
    void joined(ProxyId proxy);
    void left(ProxyId proxy);

    // Carries out the table orders among `actions` and gives what they are for each joined proxy,
    // by number. What names a proxy that is not joined is left out and told in `refused`.
    std::vector<Order> take(const std::vector<Action>& actions, std::vector<std::string>& refused);

    // How things stand: for those who say them as whole resources. `held_by` gives the tables by
    // operations.
    const std::map<OpMask, TableId>& held_by(ProxyId proxy) const;
    const Lines& lines(TableId table) const;
    LevelSet level(TableId table, OpId op) const;

    const std::set<ServerId>& withdrawn() const { return withdrawn_; }

    // Whether a table, a withdrawal or a proxy still names this server.
    bool names(ServerId server) const;

private:
    struct Held {
        bool joined = false;
        std::map<OpMask, TableId> bound;
        std::set<ServerId> shut_out;
    };

    // What this decision changed so far in a table.
    struct Changed {
        Lines lines;
        std::set<OpId> levels;
        bool cleared = false;
    };

    struct Turn {
        std::map<TableId, Changed> changed;
        std::set<std::pair<ProxyId, OpMask>> bound;
        std::map<std::tuple<TableId, OpMask, bool>, TablePartPtr> made;
        bool levels_for_all = false, everyone = false;
        std::optional<MarkId> mark;
    };

    void carry_out(const act::Line& a, Turn& turn);
    void carry_out(const act::Clear& a, Turn& turn);
    void carry_out(const act::Bind& a, Turn& turn, std::vector<std::string>& refused);
    void carry_out(const act::Level& a, Turn& turn);
    TablePartPtr part_for(ProxyId proxy, TableId table, OpMask ops, Turn& turn);
    void add_withdrawals(Held& held, Order& order);

    std::vector<OpId> operations_;
    double head_lines_, all_let_in_;
    Again usual_again_;
    OpMask all_ops_ = 0;
    std::map<TableId, Table> tables_;
    Levels every_table_;
    std::set<ServerId> withdrawn_;
    std::map<ProxyId, Held> proxies_;
};

}  // namespace badgergrade::drive
