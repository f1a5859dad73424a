// A release, and three of five governors killed at once: half of their forwarders come to one of the others. One zone.
#include "cases.h"
#include "fleet.h"

namespace standin {
namespace {

// Five governors steer 2,400 forwarders; three are killed, and half of their 1,440 come to this one.
constexpr int kServers = 200;
constexpr int kForwarders = 1200;
constexpr int kOwnForwarders = 480;
constexpr double kCalmMs = 10000;
constexpr double kLengthMs = 28000;

std::string name_of(int number) {
    return std::string("s-") + (number < 10 ? "0" : "") + std::to_string(number);
}

/// So many servers are replaced at one step of the release.
struct Step {
    double at;
    int first;
    int count;
};

constexpr Step kSteps[] = {{9000, 0, 30}, {10700, 30, 30}, {12300, 60, 30}, {14100, 90, 10}};
constexpr double kKilledMs = 10000;

}  // namespace

int play_takeover(bool trouble) {
    Figures figures;
    figures.zones = {"bang-na"};
    figures.zone_demand = {1};
    figures.requests_per_s = 1200;
    figures.proxies_per_zone = kForwarders;
    figures.classes = {{"preview", 0.54, 155, 800, 2000, 1, "safe", false},
                       {"print-file", 0.33, 395, 2000, 5000, 1, "safe", false},
                       {"place-job", 0.13, 260, 1200, 4000, 3, "unsafe", false}};
    figures.channel_rate = 13000;
    figures.per_message = 3;
    figures.pending_max = 33600;
    figures.transit_ms = 150;
    figures.push_delay_max_ms = 920;
    figures.grace_ms = 3000;
    std::vector<Server> servers;
    for (int k = 0; k < kServers; ++k) {
        servers.push_back({.id = name_of(k), .zone = 0, .weight = 1.0, .capacity = 3000});
    }
    Platform platform(figures, servers, trouble);
    platform.first_foreign_proxy = kOwnForwarders;
    platform.plan = [&](double begin) {
        if (!platform.trouble()) {
            return;
        }
        const double start = begin + kCalmMs - 9000;
        platform.at(start + kKilledMs, [&platform] {
            platform.note("three of five governors are killed: half of their forwarders come to this one");
            platform.come_over(590, 2300);
        });
        for (const Step& step : kSteps) {
            for (int k = step.first; k < step.first + step.count; ++k) {
                const std::string old = name_of(k);
                const std::string id = "s-n" + std::to_string(100 + k);
                platform.at(start + step.at, [&platform, old, id] {
                    const Server& before = platform.server(old);
                    platform.add({.id = id, .zone = before.zone, .weight = before.weight, .capacity = before.capacity});
                });
                // It has completed what it held long before.
                platform.at(start + step.at + 20000, [&platform, old] {
                    platform.list({{old, "Gone"}});
                    platform.crash(old);
                });
            }
            platform.at(start + step.at, [&platform, step] {
                std::vector<std::pair<std::string, std::string>> states;
                for (int k = step.first; k < step.first + step.count; ++k) {
                    states.push_back({name_of(k), "Terminating"});
                }
                platform.note(std::to_string(step.count) + " servers drain");
                platform.list(states);
            });
            platform.at(start + step.at + 1000, [&platform, step] {
                std::vector<std::pair<std::string, std::string>> states;
                for (int k = step.first; k < step.first + step.count; ++k) {
                    states.push_back({"s-n" + std::to_string(100 + k), "Ready"});
                }
                platform.list(states);
            });
        }
    };
    return platform.run(kLengthMs, "safe-drain");
}

}  // namespace standin
