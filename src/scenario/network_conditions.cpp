#include "scenario/network_conditions.h"

#include <cmath>

namespace badgergrade::scenario {

using namespace std::chrono_literals;

namespace {
// What is lost on the way is sent again after this long, as TCP does.
constexpr Micros kSentAgain = 200ms;
// So long the weather of one way stays as it is.
constexpr Micros kMoment = 20ms;
}  // namespace

NetworkConditions::NetworkConditions(const base::Clock& clock, const ScenarioScript& script,
                                     std::uint64_t seed)
    : same_(script.same_zone_delay),
      cross_(script.cross_zone_delay),
      orders_(script.update_delay_us),
      clock_(clock),
      luck_(base::seed_for(seed, "weather")) {}

const std::string& NetworkConditions::zone(const std::string& host) const {
    static const std::string kNone;
    const auto it = zones_.find(host);
    return it == zones_.end() ? kNone : it->second;
}

base::CounterRandom NetworkConditions::luck(const char* what, const std::string& from,
                                            const std::string& to) const {
    return {base::seed_for(luck_, what + ("/" + from) + "/" + to),
            static_cast<std::uint64_t>(clock_.now() / kMoment)};
}

void NetworkConditions::set_partitioned(const std::string& zone, bool on) {
    if (on) {
        cut_.insert(zone);
    } else {
        cut_.erase(zone);
    }
}

bool NetworkConditions::cut(const std::string& from, const std::string& to) {
    if (cut_.empty()) {
        return false;
    }
    const std::string& a = zone(from);
    const std::string& b = zone(to);
    if (a.empty() || b.empty() || a == b) {
        return false;
    }
    return cut_.contains(a) || cut_.contains(b);
}

Micros NetworkConditions::delay(const std::string& from, const std::string& to) {
    const std::string& a = zone(from);
    const std::string& b = zone(to);
    if (a.empty() || b.empty()) {
        return same_;
    }
    Micros out = a == b ? same_ : cross_;
    if (a != b) {
        for (const auto& [zone, slow] : slow_) {
            if (slow.delay <= 0us || (zone != a && zone != b)) {
                continue;
            }
            out += slow.delay;
            if (slow.retransmitted_fraction > 0 &&
                luck("lost", from, to).part() < slow.retransmitted_fraction) {
                out += kSentAgain;
            }
        }
    }
    if (governors_.contains(from) && forwarders_.contains(to)) {
        out += Micros(std::llround(luck("orders", from, to).between(orders_.low, orders_.high)));
    }
    return out;
}

}  // namespace badgergrade::scenario
