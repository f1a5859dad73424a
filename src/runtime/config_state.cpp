#include "runtime/config_state.h"

#include <algorithm>

namespace badgergrade::runtime {

ConfigState::ConfigState(const Settings& settings)
    : message_header_lines_(settings.message_header_lines),
      unlimited_admission_(settings.admission_mode == AdmissionMode::Rate
                               ? command::SetAdmission::kUnlimitedRate
                               : 1),
      default_retry_mode_(settings.default_retry_mode) {
    for (int k = 0; k < static_cast<int>(settings.operations.size()); ++k) {
        operations_.push_back({k});
        all_operations_ |= OperationMask{1} << k;
    }
}

void ConfigState::on_proxy_connected(ProxyId proxy) {
    ProxyConfig& config = proxies_[proxy];
    config.connected = true;
    config.assigned_tables.clear();
}

void ConfigState::on_proxy_disconnected(ProxyId proxy) {
    const auto it = proxies_.find(proxy);
    if (it == proxies_.end()) {
        return;
    }
    it->second.connected = false;
    it->second.assigned_tables.clear();
}

void ConfigState::set_weight(const command::SetWeight& command, PendingChanges& changes) {
    Weights& weights = tables_[command.table].weights;
    if (command.weight > 0) {
        weights[command.server] = command.weight;
    } else {
        weights.erase(command.server);
    }
    changes.tables[command.table].weights[command.server] = std::max(0.0, command.weight);
}

void ConfigState::clear_table(const command::ClearTable& command, PendingChanges& changes) {
    tables_[command.table] = {};
    changes.tables[command.table] = {{}, {}, true};
}

void ConfigState::assign_table(const command::AssignTable& command, PendingChanges& changes,
                               std::vector<RejectedCommand>& rejected) {
    const auto it = proxies_.find(command.proxy);
    if (it == proxies_.end() || !it->second.connected) {
        rejected.push_back({"table assignment for proxy " + std::to_string(command.proxy.value) +
                            " ignored: the proxy is not connected"});
        return;
    }
    // Each operation uses exactly one table: the operations of this command are removed from the
    // earlier assignments.
    const OperationMask operations =
        command.operations == 0 ? all_operations_ : command.operations & all_operations_;
    std::map<OperationMask, TableId> assigned_tables;
    for (const auto& [mask, table] : it->second.assigned_tables) {
        const OperationMask remaining = mask & ~operations;
        if (remaining == 0) {
            continue;
        }
        assigned_tables[remaining] = table;
        if (remaining != mask && changes.new_assignments.erase({command.proxy, mask}) > 0) {
            changes.new_assignments.insert({command.proxy, remaining});
        }
    }
    assigned_tables[operations] = command.table;
    it->second.assigned_tables = std::move(assigned_tables);
    changes.new_assignments.insert({command.proxy, operations});
}

void ConfigState::set_admission(const command::SetAdmission& command, PendingChanges& changes) {
    for (const OperationId operation : operations_) {
        if (!includes(command.operations, operation)) {
            continue;
        }
        const AdmissionSetting setting{command.limit, command.retry_mode};
        if (command.table == kAllTables) {
            admission_of_all_tables_[operation] = setting;
            changes.admission_of_all_tables = true;
        } else {
            tables_[command.table].admission[operation] = setting;
            changes.tables[command.table].admission.insert(operation);
        }
    }
}

void ConfigState::set_ejected(const command::SetEjected& command) {
    if (command.ejected) {
        ejected_.insert(command.server);
    } else {
        ejected_.erase(command.server);
    }
}

AdmissionSetting ConfigState::admission(TableId id, OperationId operation) const {
    AdmissionSetting setting{unlimited_admission_, default_retry_mode_};
    if (const auto it = admission_of_all_tables_.find(operation);
        it != admission_of_all_tables_.end()) {
        setting = it->second;
    }
    const auto table = tables_.find(id);
    if (table == tables_.end()) {
        return setting;
    }
    const auto table_setting = table->second.admission.find(operation);
    if (table_setting == table->second.admission.end()) {
        return setting;
    }
    return {std::min(setting.limit, table_setting->second.limit), table_setting->second.retry_mode};
}

AdmissionSettings ConfigState::changed_admission(TableId id, OperationMask operations,
                                                 bool replace_all,
                                                 const PendingChanges& changes) const {
    const AdmissionSettings& table_settings = tables_.at(id).admission;
    const auto change = changes.tables.find(id);
    AdmissionSettings changed;
    for (const OperationId operation : operations_) {
        if (!includes(operations, operation)) {
            continue;
        }
        const bool is_set =
            table_settings.contains(operation) || admission_of_all_tables_.contains(operation);
        const bool is_changed =
            replace_all || changes.admission_of_all_tables ||
            (change != changes.tables.end() && change->second.admission.contains(operation));
        if (is_set && is_changed) {
            changed[operation] = admission(id, operation);
        }
    }
    return changed;
}

TableUpdatePtr ConfigState::table_update_for(ProxyId proxy, TableId id, OperationMask operations,
                                             PendingChanges& changes) {
    const auto change = changes.tables.find(id);
    const bool has_change = change != changes.tables.end();
    const bool replace_all = changes.new_assignments.contains({proxy, operations}) ||
                             (has_change && change->second.cleared);
    if (!replace_all && !has_change && !changes.admission_of_all_tables) {
        return nullptr;
    }
    TableUpdatePtr& shared_update = changes.table_updates[{id, operations, replace_all}];
    if (shared_update) {
        return shared_update;
    }
    auto update = std::make_shared<TableUpdate>();
    update->table = id;
    update->operations = operations == all_operations_ ? 0 : operations;
    update->replace_all = replace_all;
    const Table& table = tables_[id];
    if (replace_all) {
        update->weights = table.weights;
    } else if (has_change) {
        update->weights = change->second.weights;
    }
    update->admission = changed_admission(id, operations, replace_all, changes);
    shared_update = std::move(update);
    return shared_update;
}

bool ConfigState::may_use_server(const ProxyConfig& config, ServerId server) const {
    // Until its first assignment a proxy uses a table that this instance does not know, so that
    // every server counts as possibly in use.
    if (config.assigned_tables.empty()) {
        return true;
    }
    return std::any_of(config.assigned_tables.begin(), config.assigned_tables.end(),
                       [&](const auto& entry) { return weights(entry.second).contains(server); });
}

/// Adds the difference between the ejections that the proxy has and those of this instance. A proxy
/// keeps its ejections across streams, while the policy expects it to have exactly those of this
/// instance. An ejected server that the proxy can't use is not sent.
void ConfigState::add_ejections(ProxyConfig& config, ProxyUpdate& update) {
    if (config.sent_ejections == ejected_) {
        return;
    }
    for (const ServerId server : ejected_) {
        if (!config.sent_ejections.contains(server) && may_use_server(config, server)) {
            update.eject.push_back(server);
        }
    }
    for (const ServerId server : config.sent_ejections) {
        if (!ejected_.contains(server)) {
            update.restore.push_back(server);
        }
    }
    for (const ServerId server : update.eject) {
        config.sent_ejections.insert(server);
    }
    for (const ServerId server : update.restore) {
        config.sent_ejections.erase(server);
    }
}

void ConfigState::apply_command(const Command& command, PendingChanges& changes,
                                std::vector<RejectedCommand>& rejected) {
    if (const auto* weight = std::get_if<command::SetWeight>(&command)) {
        set_weight(*weight, changes);
    } else if (const auto* clear = std::get_if<command::ClearTable>(&command)) {
        clear_table(*clear, changes);
    } else if (const auto* assign = std::get_if<command::AssignTable>(&command)) {
        assign_table(*assign, changes, rejected);
    } else if (const auto* admission = std::get_if<command::SetAdmission>(&command)) {
        set_admission(*admission, changes);
    } else if (const auto* eject = std::get_if<command::SetEjected>(&command)) {
        set_ejected(*eject);
    } else if (const auto* request = std::get_if<command::RequestAck>(&command)) {
        changes.ack_version = request->version;
        changes.all_proxies_acknowledge |= request->all_proxies;
    }
}

/// Returns no update if nothing changes for this proxy and it need not acknowledge a version.
std::optional<ProxyUpdate> ConfigState::update_for(ProxyId proxy, ProxyConfig& config,
                                                   PendingChanges& changes) {
    ProxyUpdate update;
    update.proxy = proxy;
    for (const auto& [operations, table] : config.assigned_tables) {
        const TableUpdatePtr table_update = table_update_for(proxy, table, operations, changes);
        if (!table_update) {
            continue;
        }
        update.tables.push_back(table_update);
        update.line_count +=
            (table_update->replace_all ? 1.0 : 0.0) +
            static_cast<double>(table_update->weights.size() + table_update->admission.size());
    }
    add_ejections(config, update);
    update.line_count += static_cast<double>(update.eject.size() + update.restore.size());
    const bool must_acknowledge = changes.all_proxies_acknowledge && changes.ack_version;
    if (update.line_count <= 0 && !must_acknowledge) {
        return std::nullopt;
    }
    update.ack_version = changes.ack_version;
    update.line_count += message_header_lines_ + (changes.ack_version ? 1 : 0);
    return update;
}

ApplyResult ConfigState::apply(const std::vector<Command>& commands) {
    ApplyResult result;
    PendingChanges changes;
    for (const Command& command : commands) {
        apply_command(command, changes, result.rejected);
    }
    for (auto& [proxy, config] : proxies_) {
        if (!config.connected) {
            continue;
        }
        if (auto update = update_for(proxy, config, changes)) {
            result.updates.push_back(*std::move(update));
        }
    }
    return result;
}

const std::map<OperationMask, TableId>& ConfigState::assigned_tables(ProxyId proxy) const {
    static const std::map<OperationMask, TableId> kNoTables;
    const auto it = proxies_.find(proxy);
    return it == proxies_.end() ? kNoTables : it->second.assigned_tables;
}

const Weights& ConfigState::weights(TableId table) const {
    static const Weights kNoWeights;
    const auto it = tables_.find(table);
    return it == tables_.end() ? kNoWeights : it->second.weights;
}

bool ConfigState::references(ServerId server) const {
    if (ejected_.contains(server)) {
        return true;
    }
    for (const auto& [id, table] : tables_) {
        if (table.weights.contains(server)) {
            return true;
        }
    }
    for (const auto& [proxy, config] : proxies_) {
        if (config.sent_ejections.contains(server)) {
            return true;
        }
    }
    return false;
}

}  // namespace badgergrade::runtime
