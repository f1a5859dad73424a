// Six in ten servers are replaced within 7 s in a deployment whose channel is slow; the drains are told one by one.
#include "cases.h"
#include "fleet.h"

namespace standin {
namespace {

constexpr double kCalmMs = 15000;
constexpr double kLengthMs = 34000;
// The middle of each range of "later work, part 2": 79 to 107 render boxes, 92 to 124 forwarders in 3 halls, 1,500 to
// 2,000 lines a second, 91 to 400 ms for a message.
constexpr int kServers = 92;
constexpr int kReplaced = 55;  // six in ten
constexpr int kForwardersPerHall = 36;
constexpr double kLinesPerSecond = 1750;
constexpr double kTransitMs = 245;
constexpr double kApartMs = 120;  // 55 of them within 6.6 s

std::string name_of(int number) {
    return std::string("s-") + (number < 10 ? "0" : "") + std::to_string(number);
}

}  // namespace

int play_one_by_one(bool trouble) {
    Figures figures;
    figures.zones = {"hall-a", "hall-b", "hall-c"};
    figures.zone_demand = {0.34, 0.33, 0.33};
    figures.requests_per_s = 520;
    figures.proxies_per_zone = kForwardersPerHall;
    figures.classes = {{"thumb", 0.41, 160, 800, 2500, 1, "safe", true},
                       {"proof", 0.31, 245, 1200, 4000, 3, "safe", false},
                       {"queue-job", 0.28, 245, 1200, 3000, 3, "unsafe", false}};
    figures.channel_rate = kLinesPerSecond;
    figures.per_message = 6;
    figures.pending_max = 16000;  // the first tables of all forwarders (74 lines each) fit twice; 2 s of the channel are 3,500
    figures.transit_ms = kTransitMs;
    figures.push_delay_max_ms = 620;
    figures.intake_per_s = 60;
    figures.reloads_max = 0;
    figures.grace_ms = 1500;
    figures.cold_ms = 16000;
    figures.tip_multiple = 4;
    figures.tip_after_ms = 2000;
    figures.period_ms = 500;
    figures.outlier_after = 0;
    figures.standing = 6;
    figures.dropped_stay_open = true;
    figures.reports_load = true;
    figures.admit = "rate";
    figures.lb_method = "weighted";
    std::vector<Server> servers;
    for (int k = 0; k < kServers; ++k) {
        servers.push_back({.id = name_of(k), .zone = k % 3, .weight = 1.0, .capacity = 3000});
    }
    Platform platform(figures, servers, trouble);
    platform.plan = [&](double begin) {
        if (!platform.trouble()) {
            return;
        }
        const double start = begin + kCalmMs;
        platform.at(start, [&] { platform.note("55 of 92 servers are replaced within 7 s"); });
        for (int k = 0; k < kReplaced; ++k) {
            const std::string old = name_of(k);
            const std::string id = "s-n" + std::to_string(100 + k);
            platform.at(start + kApartMs * k, [&platform, old, id] {
                const Server& before = platform.server(old);
                platform.add({.id = id, .zone = before.zone, .weight = before.weight, .capacity = before.capacity});
                platform.list({{old, "Terminating"}});
            });
            platform.at(start + 1000 + kApartMs * k, [&platform, id] { platform.list({{id, "Ready"}}); });
            // It has completed what it held long before discovery drops it.
            platform.at(start + 8000 + kApartMs * k, [&platform, old] {
                platform.list({{old, "Gone"}});
                platform.crash(old);
            });
        }
    };
    return platform.run(kLengthMs, "safe-drain");
}

}  // namespace standin
