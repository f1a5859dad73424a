// Due times, and the decision between wide and interim tables; delivery_scheduler.h describes the
// rule.
#include "policy/delivery_scheduler.h"

#include <algorithm>

namespace badgergrade::policy {
namespace {

/// The part of the drain grace, as a divisor, that known deliveries may take.
constexpr int kUsedGraceDivisor = 2;
/// Orders the deliveries of deployments without these limits.
constexpr Micros kUnlimitedGrace{10'000'000};
/// How long one change without a due time may keep the channel busy while interim tables are in
/// use.
constexpr Micros kMaxDeferrableTime = kDecisionInterval / 2;
constexpr double kUnlimitedSeconds = 1e9;

}  // namespace

DeliveryScheduler::DeliveryScheduler(const Settings& settings)
    : has_grace_(settings.drain_grace > Micros{0}),
      drain_grace_(has_grace_ ? settings.drain_grace : kUnlimitedGrace),
      max_time_without_server_(settings.max_time_without_server),
      overload_collapse_time_(settings.overload_collapse_time),
      reserved_grace_(drain_grace_ - drain_grace_ / kUsedGraceDivisor) {}

Micros DeliveryScheduler::removal_due(const Server& server) const {
    return server.unavailable_since + drain_grace_;
}

Micros DeliveryScheduler::first_assignment_due(const Proxy& proxy,
                                               std::optional<Micros> unavailable_since) const {
    if (!unavailable_since) {
        return proxy.connected_at + std::max(max_time_without_server_, drain_grace_);
    }
    return std::max(proxy.connected_at, *unavailable_since) + drain_grace_;
}

void DeliveryScheduler::update(Micros now, const SendBudget& budget,
                               std::vector<Delivery>& deliveries) {
    std::ranges::stable_sort(deliveries, {}, &Delivery::due);
    uses_interim_tables_ = has_grace_ && !fits(now, budget, deliveries);
}

double DeliveryScheduler::max_deferrable_seconds() const {
    if (!has_grace_) {
        return kUnlimitedSeconds;
    }
    return to_seconds(uses_interim_tables_ ? kMaxDeferrableTime : drain_grace_ / kUsedGraceDivisor);
}

bool DeliveryScheduler::fits(Micros now, const SendBudget& budget,
                             const std::vector<Delivery>& sorted) const {
    double busy_seconds = budget.queue_seconds(now);
    return std::ranges::all_of(sorted, [&](const Delivery& delivery) {
        busy_seconds += budget.seconds(delivery.lines, delivery.messages);
        return !delivery.is_limited_by_grace ||
               busy_seconds <= to_seconds(delivery.due - reserved_grace_ - now);
    });
}

}  // namespace badgergrade::policy
