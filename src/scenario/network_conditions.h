// The ways between the hosts of a day: latency within and across zones, the orders' way from
// governors to forwarders, slow links and cuts. What chance does to a message goes by the way and
// the moment, never by how many were sent before, so that two days under other settings meet the
// same weather. Hosts without a zone (the registry) are near to all and never cut off.
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

    void set_partitioned(const std::string& zone, bool on);

    struct ZoneDelay {
        Micros delay{};
        double retransmitted_fraction = 0;  // part of what is sent that has to be sent again
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
