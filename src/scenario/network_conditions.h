// Simulated network between the hosts of a scenario: latency within and across zones, the delay of
// configuration updates from instances to proxies, slow links and partitions between zones.
//
// Random draws depend on the pair of hosts and the time, never on how many messages were sent
// before, so that runs with different settings meet the same conditions. A host without a zone (the
// registry) has the latency of the same zone to all hosts and is never partitioned.
#pragma once

#include <map>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/random.h"
#include "net/network.h"
#include "scenario/script.h"

namespace badgergrade::scenario {

class NetworkConditions final : public net::Weather {
public:
    NetworkConditions(const base::Clock& clock, const ScenarioScript& script, std::uint64_t seed);

    void set_zone(const std::string& host, const std::string& zone) { zones_[host] = zone; }

    void add_instance(const std::string& host) { instances_.insert(host); }

    void add_proxy(const std::string& host) { proxies_.insert(host); }

    // While partitioned, the zone exchanges nothing with other zones.
    void set_partitioned(const std::string& zone, bool partitioned);

    struct ZoneDelay {
        Micros delay{};
        double retransmitted_fraction = 0;  // fraction of messages that are lost and retransmitted
    };

    void set_zone_delay(const std::string& zone, ZoneDelay zone_delay) {
        zone_delays_[zone] = zone_delay;
    }

    Micros delay(const std::string& from, const std::string& to) override;
    bool cut(const std::string& from, const std::string& to) override;

private:
    const std::string& zone(const std::string& host) const;
    base::CounterRandom random_for(const char* purpose, const std::string& from,
                                   const std::string& to) const;

    Micros same_zone_delay_, cross_zone_delay_;
    Range update_delay_us_;
    const base::Clock& clock_;
    std::uint64_t seed_;
    std::map<std::string, std::string> zones_;
    std::set<std::string> instances_, proxies_, partitioned_zones_;
    std::map<std::string, ZoneDelay> zone_delays_;
};

}  // namespace badgergrade::scenario
