#include "scenario/traffic.h"

#include <algorithm>
#include <cmath>

#include "base/random.h"

namespace badgergrade::scenario {

namespace {

// Progress of a traffic shift: 0 before it begins, then linear, `magnitude` after the ramp.
double shifted_fraction(const Fault& t, Micros at) {
    if (at < t.begin) {
        return 0;
    }
    if (t.ramp_time <= Micros{0}) {
        return t.magnitude;
    }
    return t.magnitude * std::min(1.0, static_cast<double>((at - t.begin).count()) /
                                           static_cast<double>(t.ramp_time.count()));
}

// Draws keys by Zipf's law: the key of rank k has weight 1 / k^s.
class ZipfKeys {
public:
    ZipfKeys(int count, double s) {
        double sum = 0;
        for (int k = 1; k <= count; ++k) {
            cumulative_weights_.push_back(sum += std::pow(k, -s));
        }
    }

    std::string draw(double position) const {
        const auto at = std::lower_bound(cumulative_weights_.begin(), cumulative_weights_.end(),
                                         position * cumulative_weights_.back());
        return "key-" + std::to_string(at - cumulative_weights_.begin());
    }

private:
    std::vector<double> cumulative_weights_;
};

}  // namespace

std::string numbered_name(const char* prefix, std::size_t n) {
    std::string digits = std::to_string(n);
    if (digits.size() < 3) {
        digits.insert(0, 3 - digits.size(), '0');
    }
    return std::string(prefix) + "-" + digits;
}

std::vector<ProxyPlan> plan_proxies(const ScenarioScript& script) {
    base::SequentialRandom random(script.seed, "forwarders");
    std::vector<ProxyPlan> out;
    double sum = 0;
    for (int k = 0; k < script.proxy_count; ++k) {
        ProxyPlan plan;
        plan.id = numbered_name("forwarder", static_cast<std::size_t>(k));
        plan.zone = script.instance_config
                        .zones[static_cast<std::size_t>(k) % script.instance_config.zones.size()];
        // Few proxies carry most of the traffic.
        plan.traffic_weight = random.lognormal(0.6);
        sum += plan.traffic_weight;
        out.push_back(std::move(plan));
    }
    for (auto& plan : out) {
        plan.invocations_per_second = script.invocations_per_second * plan.traffic_weight / sum;
    }
    return out;
}

std::map<std::string, std::vector<testbed::Invocation>> generate_traffic(
    const ScenarioScript& script, const std::vector<ProxyPlan>& proxies, Micros begin) {
    const ZipfKeys keys(script.key_count, script.key_zipf_exponent);
    double shares = 0;
    double max_factor = 1;
    std::size_t heaviest = 0;
    for (std::size_t k = 0; k < script.operations.size(); ++k) {
        shares += script.operations[k].share;
        if (script.operations[k].mean_work > script.operations[heaviest].mean_work) {
            heaviest = k;
        }
    }
    for (const Fault& t : script.faults) {
        if (t.kind == FaultKind::Burst) {
            max_factor *= std::max(1.0, t.magnitude);
        }
        // An upper bound: all shifted traffic may arrive at the proxies of one zone.
        if (t.kind == FaultKind::Shift) {
            max_factor *=
                1 + t.magnitude * static_cast<double>(script.instance_config.zones.size());
        }
    }
    std::map<std::string, std::vector<testbed::Invocation>> out;
    for (const ProxyPlan& plan : proxies) {
        base::SequentialRandom random(script.seed, "traffic/" + plan.id);
        auto& list = out[plan.id];
        double zone_rate = 0;
        for (const auto& other : proxies) {
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
                const double moved = shifted_fraction(t, at);
                // Traffic shifted from the other zones is split over the proxies of this zone by
                // their usual rates.
                f *= t.target_name == plan.zone && zone_rate > 0
                         ? 1 + moved * (script.invocations_per_second - zone_rate) / zone_rate
                         : 1 - moved;
            }
            return f;
        };
        double at = 0;
        const double length = static_cast<double>(script.length.count()) / 1e6;
        while (plan.invocations_per_second > 0) {
            at += random.exponential(1 / (plan.invocations_per_second * max_factor));
            if (at >= length) {
                break;
            }
            const Micros when(std::llround(at * 1e6));
            if (random.part() * max_factor >= factor(when)) {
                continue;
            }
            testbed::Invocation invocation;
            invocation.proxy = plan.id;
            double draw = random.part() * shares;
            while (invocation.operation + 1 < static_cast<int>(script.operations.size()) &&
                   (draw -=
                    script.operations[static_cast<std::size_t>(invocation.operation)].share) >= 0) {
                ++invocation.operation;
            }
            for (const Fault& t : script.faults) {
                if (t.kind == FaultKind::Shift && t.target_name == "mix" &&
                    random.part() < shifted_fraction(t, when)) {
                    invocation.operation = static_cast<int>(heaviest);
                }
            }
            const OperationLoad& load =
                script.operations[static_cast<std::size_t>(invocation.operation)];
            invocation.work = Micros(
                std::max<std::int64_t>(1, std::llround(static_cast<double>(load.mean_work.count()) *
                                                       random.lognormal(load.work_cv))));
            invocation.key = keys.draw(random.part());
            invocation.arrived_at = begin + when;
            list.push_back(std::move(invocation));
        }
    }
    // Ids follow the order of arrival.
    std::vector<testbed::Invocation*> all;
    for (auto& [proxy, list] : out) {
        for (auto& invocation : list) {
            all.push_back(&invocation);
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
