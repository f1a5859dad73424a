#include "scenario/weather.h"

#include <cmath>

namespace badgergrade::scenario {

using namespace std::chrono_literals;

namespace {
// What is lost on the way is sent again after this long, as TCP does.
constexpr Micros kSentAgain = 200ms;
// So long the weather of one way stays as it is.
constexpr Micros kMoment = 20ms;
}  // namespace

DayWeather::DayWeather(const base::Clock& clock, const DayScript& script, std::uint64_t seed)
    : same_(script.same_way),
      cross_(script.cross_way),
      orders_(script.orders_way_us),
      clock_(clock),
      luck_(base::seed_for(seed, "weather")) {}

const std::string& DayWeather::zone(const std::string& host) const {
    static const std::string kNone;
    const auto it = zones_.find(host);
    return it == zones_.end() ? kNone : it->second;
}

base::CounterRandom DayWeather::luck(const char* what, const std::string& from,
                                     const std::string& to) const {
    return {base::seed_for(luck_, what + ("/" + from) + "/" + to),
            static_cast<std::uint64_t>(clock_.now() / kMoment)};
}

void DayWeather::cut(const std::string& zone, bool on) {
    if (on) {
        cut_.insert(zone);
    } else {
        cut_.erase(zone);
    }
}

bool DayWeather::cut(const std::string& from, const std::string& to) {
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

Micros DayWeather::delay(const std::string& from, const std::string& to) {
    const std::string& a = zone(from);
    const std::string& b = zone(to);
    if (a.empty() || b.empty()) {
        return same_;
    }
    Micros out = a == b ? same_ : cross_;
    if (a != b) {
        for (const auto& [zone, slow] : slow_) {
            if (slow.wait <= 0us || (zone != a && zone != b)) {
                continue;
            }
            out += slow.wait;
            if (slow.lost > 0 && luck("lost", from, to).part() < slow.lost) {
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
