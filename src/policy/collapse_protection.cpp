// The reserve and the limits of warming servers in one table; collapse_protection.h describes the
// rule.
#include "policy/collapse_protection.h"

#include <algorithm>

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

std::vector<ServerId> ids_of(const std::map<ServerId, double>& weights) {
    std::vector<ServerId> ids;
    ids.reserve(weights.size());
    for (const auto& [id, weight] : weights) {
        ids.push_back(id);
    }
    return ids;
}

}  // namespace

/// The servers of one table at one moment, split by whether they are warming up.
class CollapseProtection::TableView {
public:
    TableView(Micros now, const TableDemand& demand, const FleetState& fleet,
              const SlowStart& slow_start, const Table& table)
        : now_(now),
          demand_(demand),
          fleet_(fleet),
          slow_start_(slow_start),
          table_(table) {}

    bool is_warming(ServerId id) const {
        return slow_start_.is_warming_up(now_, fleet_.servers.at(id));
    }

    /// Whether the server is warm and serves its users.
    bool carries_demand(ServerId id) const { return !is_warming(id) && !demand_.is_failing(id); }

    std::ptrdiff_t carrying_count(const Weights& weights) const {
        return std::ranges::count_if(
            weights, [this](const auto& entry) { return carries_demand(entry.first); });
    }

    double weight_at_load(ServerId id, double load) const {
        const Server& server = fleet_.servers.at(id);
        return server.weight * slow_start_.weight_fraction(now_, server, load);
    }

    /// The weight of the servers that serve their users.
    double planned_weight(const Weights& weights) const {
        double total = 0;
        for (const auto& [id, weight] : weights) {
            total += demand_.is_failing(id) ? 0 : weight;
        }
        return total;
    }

    /// Whether the warming servers among these withstand the whole demand of the table, with the
    /// reserve.
    template <class Ids>
    bool withstand(const Ids& ids) const {
        if (!demand_.required_weight) {
            return false;
        }
        double withstood = 0;
        for (const ServerId id : ids) {
            const bool counts = is_warming(id) && !demand_.is_failing(id);
            withstood += counts ? slow_start_.withstood_weight(now_, fleet_.servers.at(id)) : 0;
        }
        const double reserve = rests_on_warming() ? kReserveToStay : kReserveToEnter;
        return withstood > 0 && withstood >= *demand_.required_weight * reserve;
    }

private:
    /// Whether all published servers of the table are warming up.
    bool rests_on_warming() const {
        return !table_.published_weights.empty() &&
               std::ranges::all_of(table_.published_weights,
                                   [this](const auto& entry) { return is_warming(entry.first); });
    }

    Micros now_;
    const TableDemand& demand_;
    const FleetState& fleet_;
    const SlowStart& slow_start_;
    const Table& table_;
};

CollapseProtection::CollapseProtection(const Settings& settings)
    : can_collapse_(settings.overload_collapse_factor > 0) {}

void CollapseProtection::apply(Micros now, const TableDemand& demand, const FleetState& fleet,
                               const SlowStart& slow_start, Table& table) const {
    const TableView view(now, demand, fleet, slow_start, table);
    if (can_collapse_) {
        limit_warming(demand, view, table.desired_weights);
    }
    if (table.desired_weights.empty()) {
        fill_empty(demand, view, table.desired_weights);
    }
}

void CollapseProtection::limit_warming(const TableDemand& demand, const TableView& view,
                                       Weights& weights) {
    const auto is_warming = [&](const auto& entry) {
        return view.is_warming(entry.first);
    };
    if (std::ranges::none_of(weights, is_warming) || view.withstand(ids_of(weights))) {
        return;
    }
    const bool all_warming = std::ranges::all_of(weights, is_warming);
    if (all_warming && demand.limited_by_admission) {
        return;
    }
    const std::ptrdiff_t carrying = view.carrying_count(weights);
    const bool narrow = std::ssize(weights) <= kNarrowTableServers;
    const bool overloaded =
        !demand.limited_by_admission &&
        demand.required_weight.value_or(0) > kMaxLoad * view.planned_weight(weights);
    if (carrying == 0 || overloaded || (narrow && carrying < kMinWarmServers)) {
        std::erase_if(weights, is_warming);
    }
}

void CollapseProtection::fill_empty(const TableDemand& demand, const TableView& view,
                                    Weights& weights) const {
    const bool may_rest_on_warming =
        !can_collapse_ || demand.limited_by_admission || view.withstand(demand.usable);
    for (const ServerId id : demand.usable) {
        const double weight = view.weight_at_load(id, 1);
        if (weight > 0 && (may_rest_on_warming || !view.is_warming(id))) {
            weights[id] = weight;
        }
    }
    if (!weights.empty()) {
        return;
    }
    for (const ServerId id : demand.ejected) {
        if (!can_collapse_ || !view.is_warming(id)) {
            weights[id] = view.weight_at_load(id, 1);
        }
    }
}

}  // namespace badgergrade::policy
