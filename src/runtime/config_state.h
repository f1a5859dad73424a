/// @file
/// The configuration that this control plane instance has published to its proxies: the weights and
/// admission settings of each table, the ejected servers, and the tables assigned to each proxy.
///
/// ConfigState::apply() takes the commands of one planner decision and returns one update per
/// connected proxy, which holds only what changes for that proxy. Updates are independent of the
/// wire protocol; the callers encode them (xDS resources, or the platform's CONFIG messages).
///
/// No I/O and no decisions are made here. Not thread-safe.
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

/// Returns whether `mask` includes `operation`. The mask 0 includes all operations.
constexpr bool includes(OperationMask mask, OperationId operation) {
    return mask == 0 || (mask >> operation.value & 1) != 0;
}

/// Admission limit and retry mode of one operation.
struct AdmissionSetting {
    /// A fraction in [0, 1] or invocations per second, depending on Settings::admission_mode.
    double limit = 0;
    RetryMode retry_mode = RetryMode::OnlyUnprocessed;
    friend bool operator==(const AdmissionSetting&, const AdmissionSetting&) = default;
};

/// Weight by server. In an update, the weight 0 removes the server from the table.
using Weights = std::map<ServerId, double>;
using AdmissionSettings = std::map<OperationId, AdmissionSetting>;

/// The changes of one table for some of a proxy's operations. Shared by all proxies that get the
/// same changes.
struct TableUpdate {
    TableId table;
    OperationMask operations = 0;  ///< operations that use the table; 0: all
    /// True: `weights` is the complete table, and admission settings sent earlier for it are void.
    /// False: `weights` and `admission` hold only what has changed.
    bool replace_all = false;
    Weights weights;
    AdmissionSettings admission;
};

using TableUpdatePtr = std::shared_ptr<const TableUpdate>;

/// The changes of one decision for one proxy.
struct ProxyUpdate {
    ProxyId proxy;
    std::vector<TableUpdatePtr> tables;
    std::vector<ServerId> eject;               ///< servers that the proxy must not use any more
    std::vector<ServerId> restore;             ///< servers that are no longer ejected
    std::optional<ConfigVersion> ack_version;  ///< the version that the proxy must acknowledge
    /// Size in lines, the unit of the configuration channel's pace: the message header, and one
    /// line for each weight, admission setting, ejection, restored server, replaced table and
    /// acknowledgement request.
    double line_count = 0;
};

/// A command that was not applied.
struct RejectedCommand {
    std::string reason;  ///< for the log
};

struct ApplyResult {
    std::vector<ProxyUpdate> updates;  ///< one per affected connected proxy, by ascending id
    std::vector<RejectedCommand> rejected;
};

/// Holds the published configuration and computes the updates that bring each proxy to it.
class ConfigState {
public:
    explicit ConfigState(const Settings& settings);

    /// Marks a proxy as connected, with no table assigned. It gets its first update from the next
    /// apply() that assigns it a table, has an ejection or a restored server that the proxy was not
    /// sent, or requests an acknowledgement from all proxies. The ejections that the proxy was sent
    /// are kept across streams for the lifetime of this object, because the proxy keeps them too.
    void on_proxy_connected(ProxyId proxy);
    /// Marks a proxy as disconnected and drops its table assignments. Unknown proxies are ignored.
    void on_proxy_disconnected(ProxyId proxy);

    /// Applies the commands that concern tables, admission, ejections and acknowledgement requests,
    /// and ignores the others. A table assignment for a proxy that is not connected is rejected.
    ApplyResult apply(const std::vector<Command>& commands);

    /// The tables assigned to a proxy, by the operations that use them; empty for an unknown proxy.
    const std::map<OperationMask, TableId>& assigned_tables(ProxyId proxy) const;
    /// The weights of a table; empty for an unknown table.
    const Weights& weights(TableId table) const;
    /// The effective setting of an operation of a table. If one is set for all tables and one for
    /// this table, the lower limit and the retry mode of this table apply.
    AdmissionSetting admission(TableId table, OperationId operation) const;

    const std::set<ServerId>& ejected_servers() const { return ejected_; }

    /// Returns whether a table, an ejection or the ejections sent to a proxy still refer to this
    /// server. Its id must not be reused for another server until then.
    bool references(ServerId server) const;

private:
    struct Table {
        Weights weights;
        AdmissionSettings admission;
    };

    struct ProxyConfig {
        bool connected = false;
        std::map<OperationMask, TableId> assigned_tables;
        std::set<ServerId> sent_ejections;  ///< ejections that the proxy was sent and keeps
    };

    /// Changes that the commands of the current apply() have made to one table so far.
    struct TableChange {
        Weights weights;                  ///< changed entries; 0: removed
        std::set<OperationId> admission;  ///< operations whose setting has changed
        bool cleared = false;             ///< the table was emptied before these changes
    };

    /// Changes that the commands of the current apply() have made so far.
    struct PendingChanges {
        std::map<TableId, TableChange> tables;
        /// Assignments made by these commands: their proxies need the complete table.
        std::set<std::pair<ProxyId, OperationMask>> new_assignments;
        /// Table updates built so far, by table, operations and replace_all. Proxies share them.
        std::map<std::tuple<TableId, OperationMask, bool>, TableUpdatePtr> table_updates;
        bool admission_of_all_tables = false;
        std::optional<ConfigVersion> ack_version;
        bool all_proxies_acknowledge = false;
    };

    void apply_command(const Command& command, PendingChanges& changes,
                       std::vector<RejectedCommand>& rejected);
    void set_weight(const command::SetWeight& command, PendingChanges& changes);
    void clear_table(const command::ClearTable& command, PendingChanges& changes);
    void assign_table(const command::AssignTable& command, PendingChanges& changes,
                      std::vector<RejectedCommand>& rejected);
    void set_admission(const command::SetAdmission& command, PendingChanges& changes);
    void set_ejected(const command::SetEjected& command);

    std::optional<ProxyUpdate> update_for(ProxyId proxy, ProxyConfig& config,
                                          PendingChanges& changes);
    TableUpdatePtr table_update_for(ProxyId proxy, TableId table, OperationMask operations,
                                    PendingChanges& changes);
    AdmissionSettings changed_admission(TableId table, OperationMask operations, bool replace_all,
                                        const PendingChanges& changes) const;
    void add_ejections(ProxyConfig& config, ProxyUpdate& update);
    bool may_use_server(const ProxyConfig& config, ServerId server) const;

    std::vector<OperationId> operations_;
    OperationMask all_operations_ = 0;
    double message_header_lines_;
    double unlimited_admission_;  ///< the limit that admits everything in this admission mode
    RetryMode default_retry_mode_;
    std::map<TableId, Table> tables_;
    AdmissionSettings admission_of_all_tables_;
    std::set<ServerId> ejected_;
    std::map<ProxyId, ProxyConfig> proxies_;
};

}  // namespace badgergrade::runtime
