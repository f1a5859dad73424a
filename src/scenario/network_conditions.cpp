#include "scenario/network_conditions.h"

#include <cmath>

namespace badgergrade::scenario {

using namespace std::chrono_literals;

namespace {
// Delay of a lost message, as by a retransmission of TCP.
constexpr Micros kRetransmissionDelay = 200ms;
// How long the random draws of a pair of hosts stay the same.
constexpr Micros kRedrawInterval = 20ms;
}  // namespace

NetworkConditions::NetworkConditions(const base::Clock& clock, const ScenarioScript& script,
                                     std::uint64_t seed)
    : same_zone_delay_(script.same_zone_delay),
      cross_zone_delay_(script.cross_zone_delay),
      update_delay_us_(script.update_delay_us),
      clock_(clock),
      seed_(base::seed_for(seed, "weather")) {}

const std::string& NetworkConditions::zone(const std::string& host) const {
    static const std::string kNone;
    const auto it = zones_.find(host);
    return it == zones_.end() ? kNone : it->second;
}

base::CounterRandom NetworkConditions::random_for(const char* purpose, const std::string& from,
                                                  const std::string& to) const {
    return {base::seed_for(seed_, purpose + ("/" + from) + "/" + to),
            static_cast<std::uint64_t>(clock_.now() / kRedrawInterval)};
}

void NetworkConditions::set_partitioned(const std::string& zone, bool partitioned) {
    if (partitioned) {
        partitioned_zones_.insert(zone);
    } else {
        partitioned_zones_.erase(zone);
    }
}

bool NetworkConditions::cut(const std::string& from, const std::string& to) {
    if (partitioned_zones_.empty()) {
        return false;
    }
    const std::string& a = zone(from);
    const std::string& b = zone(to);
    if (a.empty() || b.empty() || a == b) {
        return false;
    }
    return partitioned_zones_.contains(a) || partitioned_zones_.contains(b);
}

Micros NetworkConditions::delay(const std::string& from, const std::string& to) {
    const std::string& a = zone(from);
    const std::string& b = zone(to);
    if (a.empty() || b.empty()) {
        return same_zone_delay_;
    }
    Micros out = a == b ? same_zone_delay_ : cross_zone_delay_;
    if (a != b) {
        for (const auto& [zone, zone_delay] : zone_delays_) {
            if (zone_delay.delay <= 0us || (zone != a && zone != b)) {
                continue;
            }
            out += zone_delay.delay;
            if (zone_delay.retransmitted_fraction > 0 &&
                random_for("lost", from, to).part() < zone_delay.retransmitted_fraction) {
                out += kRetransmissionDelay;
            }
        }
    }
    if (instances_.contains(from) && proxies_.contains(to)) {
        out += Micros(std::llround(
            random_for("orders", from, to).between(update_delay_us_.low, update_delay_us_.high)));
    }
    return out;
}

}  // namespace badgergrade::scenario
