/// @file
/// The configuration that this instance has published: weights, admission settings, ejections and
/// which tables each proxy is assigned. Turns the commands of one decision into one update per
/// proxy, in the terms of no protocol. No I/O and no decision in here. For one thread.
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

/// Whether a mask of operations includes this one; the mask 0 includes all.
constexpr bool includes(OperationMask mask, OperationId operation) {
    return mask == 0 || (mask >> operation.value & 1) != 0;
}

/// What a proxy admits of one operation and how it retries.
struct AdmissionSetting {
    /// A fraction of [0, 1] or invocations per second, as Settings::admission_mode says.
    double limit = 0;
    RetryMode retry_mode = RetryMode::OnlyUnprocessed;
    friend bool operator==(const AdmissionSetting&, const AdmissionSetting&) = default;
};

/// Weight by server. In an update, weight 0 removes the server from the table.
using Weights = std::map<ServerId, double>;
using AdmissionSettings = std::map<OperationId, AdmissionSetting>;

/// One table for some of a proxy's operations; shared by all proxies that get the same.
struct TableUpdate {
    TableId table;
    OperationMask operations = 0;  ///< 0: all
    /// The weights are the entire table, and earlier admission settings of it no longer hold.
    bool replace_all = false;
    Weights weights;
    AdmissionSettings admission;
};

using TableUpdatePtr = std::shared_ptr<const TableUpdate>;

/// What one decision changes for one proxy.
struct ProxyUpdate {
    ProxyId proxy;
    std::vector<TableUpdatePtr> tables;
    std::vector<ServerId> eject;
    std::vector<ServerId> restore;
    std::optional<ConfigVersion> ack_version;  ///< the proxy is asked to acknowledge it
    /// Size in lines as the channel counts them: head, weights, admission settings, ejections,
    /// replaced tables and the acknowledgement request.
    double line_count = 0;
};

/// A command that was not carried out.
struct RejectedCommand {
    std::string reason;  ///< for the log
};

struct ApplyResult {
    std::vector<ProxyUpdate> updates;  ///< for the connected proxies concerned, by ascending id
    std::vector<RejectedCommand> rejected;
};

class ConfigState {
public:
    explicit ConfigState(const Settings& settings);

    /// A proxy's stream is open; no table is assigned to it yet. It gets its first update from the
    /// next apply() that assigns it a table, finds an ejection that it was not sent (or that was
    /// taken back), or asks all proxies for an acknowledgement. Its ejections are kept for as long
    /// as this instance runs, since a proxy keeps them across streams.
    void on_proxy_connected(ProxyId proxy);
    /// A proxy's stream is closed: its assignments end. An unknown proxy is ignored.
    void on_proxy_disconnected(ProxyId proxy);

    /// Carries out the table commands among `commands`; the other ones are ignored. A command that
    /// names a proxy that is not connected is rejected.
    ApplyResult apply(const std::vector<Command>& commands);

    /// The tables of a proxy by the operations that use them; empty for an unknown proxy.
    const std::map<OperationMask, TableId>& assigned_tables(ProxyId proxy) const;
    /// The servers of a table; empty for an unknown table.
    const Weights& weights(TableId table) const;
    /// The setting in force for an operation of a table. Where one is set for all tables and one
    /// for this table, the lower limit and the table's own retry mode hold.
    AdmissionSetting admission(TableId table, OperationId operation) const;

    const std::set<ServerId>& ejected_servers() const { return ejected_; }

    /// Whether a table, an ejection or a proxy's ejections still reference this server, so that its
    /// id must not be given to another one.
    bool references(ServerId server) const;

private:
    struct Table {
        Weights weights;
        AdmissionSettings admission;
    };

    struct ProxyConfig {
        bool connected = false;
        std::map<OperationMask, TableId> assigned;
        std::set<ServerId> ejected;
    };

    /// What the commands of one call of apply() have changed in a table so far.
    struct TableChange {
        Weights weights;
        std::set<OperationId> admission;
        bool cleared = false;
    };

    /// What the commands of one call of apply() have changed so far.
    struct PendingChanges {
        std::map<TableId, TableChange> tables;
        std::set<std::pair<ProxyId, OperationMask>> assigned;
        /// Updates that are built already, by table, operations and replace_all.
        std::map<std::tuple<TableId, OperationMask, bool>, TableUpdatePtr> built;
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
    bool may_use(const ProxyConfig& config, ServerId server) const;

    std::vector<OperationId> operations_;
    OperationMask all_operations_ = 0;
    double head_lines_;
    double unlimited_;
    RetryMode default_retry_mode_;
    std::map<TableId, Table> tables_;
    AdmissionSettings admission_of_all_tables_;
    std::set<ServerId> ejected_;
    std::map<ProxyId, ProxyConfig> proxies_;
};

}  // namespace badgergrade::runtime
