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

#include "policy/command.h"
#include "policy/ids.h"
#include "policy/settings.h"

namespace badgergrade::runtime {

// A rate at or above this lets everything in (the module's word for "all").
constexpr double kAnyRate = 1e6;

// Whether a mask of operations names this one; 0 names all.
constexpr bool names_op(OperationMask ops, OperationId op) {
    return ops == 0 || (ops >> op.value & 1) != 0;
}

struct AdmissionSetting {
    double let_in = 0;
    RetryMode again = RetryMode::OnlyUnprocessed;
    friend bool operator==(const AdmissionSetting&, const AdmissionSetting&) = default;
};

using Lines = std::map<ServerId, double>;  // weight 0 removes a line
using Levels = std::map<OperationId, AdmissionSetting>;

// One table for some of a proxy's operations; shared by all proxies that get the same.
struct TableUpdate {
    TableId table;
    OperationMask ops = 0;  // 0: all
    bool whole = false;  // the lines are the whole table, and levels ordered before are forgotten
    Lines lines;
    Levels levels;
};

using TableUpdatePtr = std::shared_ptr<const TableUpdate>;

// What one decision is for one proxy.
struct ProxyUpdate {
    ProxyId proxy;
    std::vector<TableUpdatePtr> parts;
    std::vector<ServerId> out, back;  // servers to shut out, to let back
    std::optional<ConfigVersion> mark;
    double lines = 0;  // head, lines, levels, withdrawals, bindings and mark
};

class ConfigState {
public:
    struct Table {
        Lines lines;
        Levels levels;
    };

    explicit ConfigState(const Settings& told);

    // A proxy's stream stands, and it is bound to nothing of ours; or its stream is over. What it
    // was told to shut out it goes on shutting out, whatever stream it comes on: that is kept here
    // as long as this governor lives.
    void joined(ProxyId proxy);
    void left(ProxyId proxy);

    // Carries out the table orders among `actions` and gives what they are for each joined proxy,
    // by number. What names a proxy that is not joined is left out and told in `refused`.
    std::vector<ProxyUpdate> take(const std::vector<Command>& actions,
                                  std::vector<std::string>& refused);

    // How things stand: for those who say them as whole resources. `held_by` gives the tables by
    // operations.
    const std::map<OperationMask, TableId>& held_by(ProxyId proxy) const;
    const Lines& lines(TableId table) const;
    AdmissionSetting level(TableId table, OperationId op) const;

    const std::set<ServerId>& withdrawn() const { return withdrawn_; }

    // Whether a table, a withdrawal or a proxy still names this server.
    bool names(ServerId server) const;

private:
    struct Held {
        bool joined = false;
        std::map<OperationMask, TableId> bound;
        std::set<ServerId> shut_out;
    };

    // What this decision changed so far in a table.
    struct Changed {
        Lines lines;
        std::set<OperationId> levels;
        bool cleared = false;
    };

    struct Turn {
        std::map<TableId, Changed> changed;
        std::set<std::pair<ProxyId, OperationMask>> bound;
        std::map<std::tuple<TableId, OperationMask, bool>, TableUpdatePtr> made;
        bool levels_for_all = false, everyone = false;
        std::optional<ConfigVersion> mark;
    };

    void carry_out(const command::SetWeight& a, Turn& turn);
    void carry_out(const command::ClearTable& a, Turn& turn);
    void carry_out(const command::AssignTable& a, Turn& turn, std::vector<std::string>& refused);
    void carry_out(const command::SetAdmission& a, Turn& turn);
    TableUpdatePtr part_for(ProxyId proxy, TableId table, OperationMask ops, Turn& turn);
    void add_withdrawals(Held& held, ProxyUpdate& order);

    std::vector<OperationId> operations_;
    double head_lines_, all_let_in_;
    RetryMode usual_again_;
    OperationMask all_ops_ = 0;
    std::map<TableId, Table> tables_;
    Levels every_table_;
    std::set<ServerId> withdrawn_;
    std::map<ProxyId, Held> proxies_;
};

}  // namespace badgergrade::runtime
