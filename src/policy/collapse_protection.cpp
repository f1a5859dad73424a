// The reserve and the limits of warming servers in one table; collapse_protection.h describes the
// rule.
#include "policy/collapse_protection.h"

#include <algorithm>
#include <map>

namespace badgergrade::policy {
namespace {

/// Warming servers must withstand this multiple of the demand to enter a table that rests on them:
/// retries, or a burst.
constexpr double kReserveToEnter = 1.5;
/// They stay in it while they withstand this multiple, to prevent flapping.
constexpr double kReserveToStay = 1.25;
/// The load, in multiples of the proven load, from which on warm servers can't be trusted to carry
/// their part: proxies avoid them and use the warming ones.
constexpr double kMaxLoad = 2;
/// A table with at most kNarrowTableServers servers contains warming servers only beside at least
/// kMinWarmServers warm ones.
constexpr std::ptrdiff_t kNarrowTableServers = 5;
constexpr std::ptrdiff_t kMinWarmServers = 2;

using Weights = std::map<ServerId, double>;

std::vector<ServerId> ids_of(const Weights& weights) {
    std::vector<ServerId> ids;
    ids.reserve(weights.size());
    for (const auto& [id, weight] : weights) {
        ids.push_back(id);
    }
    return ids;
}

/// The servers of one table at one moment.
class TableView {
public:
    TableView(Micros now, const TableDemand& demand, const FleetState& fleet,
              const SlowStart& slow_start, const Table& table)
        : now_(now),
          demand_(demand),
          fleet_(fleet),
          slow_start_(slow_start),
          table_(table) {}

    bool can_collapse(ServerId id) const {
        return slow_start_.can_collapse(now_, fleet_.servers.at(id));
    }

    /// The number of servers that serve their users and can not collapse.
    std::ptrdiff_t carrying_count(const Weights& weights) const {
        return std::ranges::count_if(weights, [this](const auto& entry) {
            return !can_collapse(entry.first) && !demand_.is_failing(entry.first);
        });
    }

    /// The weight of all servers that serve their users.
    double serving_weight(const Weights& weights) const {
        double total = 0;
        for (const auto& [id, weight] : weights) {
            total += demand_.is_failing(id) ? 0 : weight;
        }
        return total;
    }

    /// The weight of a server in a table that would be empty otherwise: slow start counts, an
    /// overload does not.
    double fallback_weight(ServerId id) const {
        const Server& server = fleet_.servers.at(id);
        return can_collapse(id) ? server.weight * slow_start_.weight_fraction(now_, server, 1)
                                : server.weight;
    }

    /// Whether the servers among these that can collapse withstand the whole demand of the table,
    /// with the reserve.
    bool withstand(const std::vector<ServerId>& ids) const {
        if (!demand_.required_weight) {
            return false;
        }
        double withstood = 0;
        for (const ServerId id : ids) {
            const bool counts = can_collapse(id) && !demand_.is_failing(id);
            withstood += counts ? slow_start_.withstood_weight(now_, fleet_.servers.at(id)) : 0;
        }
        const double reserve = rests_on_warming() ? kReserveToStay : kReserveToEnter;
        return withstood > 0 && withstood >= *demand_.required_weight * reserve;
    }

private:
    /// Whether all published servers of the table can collapse.
    bool rests_on_warming() const {
        const auto& published = table_.published_weights;
        return !published.empty() && std::ranges::all_of(published, [this](const auto& entry) {
            return can_collapse(entry.first);
        });
    }

    Micros now_;
    const TableDemand& demand_;
    const FleetState& fleet_;
    const SlowStart& slow_start_;
    const Table& table_;
};

void remove_warming(const TableDemand& demand, const TableView& view, Weights& weights) {
    const auto can_collapse = [&](const auto& entry) {
        return view.can_collapse(entry.first);
    };
    if (std::ranges::none_of(weights, can_collapse) || view.withstand(ids_of(weights))) {
        return;
    }
    if (demand.limited_by_admission && std::ranges::all_of(weights, can_collapse)) {
        return;
    }
    const std::ptrdiff_t carrying = view.carrying_count(weights);
    const bool narrow = std::ssize(weights) <= kNarrowTableServers;
    const bool overloaded =
        !demand.limited_by_admission &&
        demand.required_weight.value_or(0) > kMaxLoad * view.serving_weight(weights);
    if (carrying == 0 || overloaded || (narrow && carrying < kMinWarmServers)) {
        std::erase_if(weights, can_collapse);
    }
}

void fill_empty(const TableDemand& demand, const TableView& view, Weights& weights) {
    const bool may_rest_on_warming = demand.limited_by_admission || view.withstand(demand.usable);
    for (const ServerId id : demand.usable) {
        const double weight = view.fallback_weight(id);
        if (weight > 0 && (may_rest_on_warming || !view.can_collapse(id))) {
            weights[id] = weight;
        }
    }
    if (!weights.empty()) {
        return;
    }
    for (const ServerId id : demand.ejected) {
        if (!view.can_collapse(id)) {
            weights[id] = view.fallback_weight(id);
        }
    }
}

}  // namespace

void protect_warming_servers(Micros now, const TableDemand& demand, const FleetState& fleet,
                             const SlowStart& slow_start, Table& table) {
    const TableView view(now, demand, fleet, slow_start, table);
    remove_warming(demand, view, table.desired_weights);
    if (table.desired_weights.empty()) {
        fill_empty(demand, view, table.desired_weights);
    }
}

}  // namespace badgergrade::policy
