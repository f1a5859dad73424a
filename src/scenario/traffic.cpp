#include "scenario/traffic.h"

#include <algorithm>
#include <cmath>

#include "base/random.h"

namespace badgergrade::scenario {

namespace {

// How far a shift has come at this time: 0 before, `by` at its end and after.
double shifted(const Fault& t, Micros at) {
    if (at < t.begin) {
        return 0;
    }
    if (t.ramp_time <= Micros{0}) {
        return t.magnitude;
    }
    return t.magnitude * std::min(1.0, static_cast<double>((at - t.begin).count()) /
                                           static_cast<double>(t.ramp_time.count()));
}

// Ranks drawn by Zipf's law: key k with weight 1 / k^s.
class Keys {
public:
    Keys(int count, double s) {
        double sum = 0;
        for (int k = 1; k <= count; ++k) {
            ends_.push_back(sum += std::pow(k, -s));
        }
    }

    std::string draw(double part) const {
        const auto at = std::lower_bound(ends_.begin(), ends_.end(), part * ends_.back());
        return "key-" + std::to_string(at - ends_.begin());
    }

private:
    std::vector<double> ends_;
};

}  // namespace

std::string numbered_name(const char* what, std::size_t n) {
    std::string digits = std::to_string(n);
    if (digits.size() < 3) {
        digits.insert(0, 3 - digits.size(), '0');
    }
    return std::string(what) + "-" + digits;
}

std::vector<ProxyPlan> plan_proxies(const ScenarioScript& script) {
    base::SequentialRandom chance(script.seed, "forwarders");
    std::vector<ProxyPlan> out;
    double sum = 0;
    for (int k = 0; k < script.proxy_count; ++k) {
        ProxyPlan plan;
        plan.id = numbered_name("forwarder", static_cast<std::size_t>(k));
        plan.zone = script.instance_config
                        .zones[static_cast<std::size_t>(k) % script.instance_config.zones.size()];
        // Most carry little, some far more.
        plan.traffic_weight = chance.lognormal(0.6);
        sum += plan.traffic_weight;
        out.push_back(std::move(plan));
    }
    for (auto& plan : out) {
        plan.invocations_per_second = script.invocations_per_second * plan.traffic_weight / sum;
    }
    return out;
}

std::map<std::string, std::vector<testbed::Invocation>> generate_traffic(
    const ScenarioScript& script, const std::vector<ProxyPlan>& forwarders, Micros begin) {
    const Keys keys(script.key_count, script.key_zipf_exponent);
    double shares = 0;
    double most = 1;
    std::size_t heaviest = 0;
    for (std::size_t k = 0; k < script.operations.size(); ++k) {
        shares += script.operations[k].share;
        if (script.operations[k].mean_work > script.operations[heaviest].mean_work) {
            heaviest = k;
        }
    }
    for (const Fault& t : script.faults) {
        if (t.kind == FaultKind::Burst) {
            most *= std::max(1.0, t.magnitude);
        }
        // All of the traffic that moves may end at one zone's forwarders.
        if (t.kind == FaultKind::Shift) {
            most *= 1 + t.magnitude * static_cast<double>(script.instance_config.zones.size());
        }
    }
    std::map<std::string, std::vector<testbed::Invocation>> out;
    for (const ProxyPlan& plan : forwarders) {
        base::SequentialRandom chance(script.seed, "traffic/" + plan.id);
        auto& list = out[plan.id];
        double zone_rate = 0;
        for (const auto& other : forwarders) {
            if (other.zone == plan.zone) {
                zone_rate += other.invocations_per_second;
            }
        }
        const auto factor = [&](Micros at) {
            double f = 1;
            for (const Fault& t : script.faults) {
                if (t.kind == FaultKind::Burst && at >= t.begin && at < t.begin + t.duration) {
                    f *= t.magnitude;
                }
                if (t.kind != FaultKind::Shift || t.target_name == "mix") {
                    continue;
                }
                const double moved = shifted(t, at);
                // What leaves the other zones comes to this one's forwarders by their usual parts.
                f *= t.target_name == plan.zone && zone_rate > 0
                         ? 1 + moved * (script.invocations_per_second - zone_rate) / zone_rate
                         : 1 - moved;
            }
            return f;
        };
        double at = 0;
        const double length = static_cast<double>(script.length.count()) / 1e6;
        while (plan.invocations_per_second > 0) {
            at += chance.exponential(1 / (plan.invocations_per_second * most));
            if (at >= length) {
                break;
            }
            const Micros when(std::llround(at * 1e6));
            if (chance.part() * most >= factor(when)) {
                continue;
            }
            testbed::Invocation one;
            one.proxy = plan.id;
            double draw = chance.part() * shares;
            while (one.operation + 1 < static_cast<int>(script.operations.size()) &&
                   (draw -= script.operations[static_cast<std::size_t>(one.operation)].share) >=
                       0) {
                ++one.operation;
            }
            for (const Fault& t : script.faults) {
                if (t.kind == FaultKind::Shift && t.target_name == "mix" &&
                    chance.part() < shifted(t, when)) {
                    one.operation = static_cast<int>(heaviest);
                }
            }
            const OperationLoad& load = script.operations[static_cast<std::size_t>(one.operation)];
            one.work = Micros(
                std::max<std::int64_t>(1, std::llround(static_cast<double>(load.mean_work.count()) *
                                                       chance.lognormal(load.work_cv))));
            one.key = keys.draw(chance.part());
            one.arrived_at = begin + when;
            list.push_back(std::move(one));
        }
    }
    // Numbered in the order in which they come.
    std::vector<testbed::Invocation*> all;
    for (auto& [forwarder, list] : out) {
        for (auto& one : list) {
            all.push_back(&one);
        }
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const auto* a, const auto* b) { return a->arrived_at < b->arrived_at; });
    for (std::size_t k = 0; k < all.size(); ++k) {
        all[k]->id = k + 1;
    }
    return out;
}

}  // namespace badgergrade::scenario
