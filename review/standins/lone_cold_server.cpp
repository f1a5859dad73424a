// All servers of a site are lost for 12 s and come back cold; discovery lists one of them earlier than the others.
#include "cases.h"
#include "fleet.h"

namespace standin {
namespace {

constexpr double kCalmMs = 15000;
constexpr double kLostMs = 12000;
constexpr double kGoneListedMs = 2000;     // notice_s: 1.6 to 4.8 s
constexpr double kFirstListedMs = 450;    // add_s: 0.34 to 2.4 s
constexpr double kOthersListedMs = 1700;  // period_ms 300 to 980 and spread_ms 21 to 330 later
constexpr double kLengthMs = 34000;

std::string name_of(int zone, int number) {
    return std::string("s-") + static_cast<char>('a' + zone) + std::to_string(number);
}

}  // namespace

int play_lone_cold_server(bool trouble) {
    Figures figures;
    figures.zones = {"bang-na", "lat-krabang", "bang-phli", "samrong"};
    figures.zone_demand = {0.31, 0.23, 0.23, 0.23};  // zone_skew: 0.15 to 0.33
    figures.requests_per_s = 171;  // 0.56 of the capacity: 0.45 to 0.59 on days with trouble
    figures.proxies_per_zone = 5;
    figures.classes = {{"preview", 0.60, 155, 800, 2000, 1, "safe", true},
                       {"print-file", 0.29, 395, 2000, 5000, 1, "safe", false},
                       {"place-job", 0.11, 260, 1200, 4000, 3, "unsafe", false}};
    constexpr int kPerZone = 6;
    std::vector<Server> servers;
    for (int zone = 0; zone < 4; ++zone) {
        for (int k = 0; k < kPerZone; ++k) {
            servers.push_back({.id = name_of(zone, k), .zone = zone, .weight = 1.0, .capacity = 3000});
        }
    }
    Platform platform(figures, servers, trouble);
    platform.plan = [&](double begin) {
        if (!platform.trouble()) {
            return;
        }
        const double lost = begin + kCalmMs;
        const double back = lost + kLostMs;
        platform.at(lost, [&] { platform.note("all servers of bang-na are lost"); });
        platform.at(back, [&] { platform.note("they come back cold"); });
        for (int k = 0; k < kPerZone; ++k) {
            const std::string id = name_of(0, k);
            platform.at(lost, [&platform, id] { platform.crash(id); });
            platform.at(lost + kGoneListedMs + k, [&platform, id] { platform.list({{id, "Gone"}}); });
            platform.at(back, [&platform, id] { platform.start_again(id); });
            platform.at(back + (k == 0 ? kFirstListedMs : kOthersListedMs),
                        [&platform, id] { platform.list({{id, "Ready"}}); });
        }
    };
    return platform.run(kLengthMs, "safe-fail-back");
}

}  // namespace standin
