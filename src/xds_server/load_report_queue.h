// Gathers what forwarders report into one line a zone and server, and one a forwarder and
// operation, each period, and lets them through to the module no faster than the intake allows, the
// oldest first. No I/O.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "policy/event.h"
#include "policy/ids.h"
#include "policy/settings.h"
#include "xds/load_report.h"

namespace badgergrade::xds_server {

class LoadReportQueue {
public:
    explicit LoadReportQueue(const Settings& told);

    // Sums of one forwarder. Servers and operations that are not known are told in `unknown`.
    struct Source {
        ProxyId proxy;
        ZoneId zone;
    };

    void add(Source from, const xds::LoadReport& report,
             const std::map<net::Address, ServerId>& servers, std::vector<std::string>& unknown);
    // The end of a period: what was gathered waits for the intake.
    void close_period(Micros now);
    // What may pass by now.
    std::vector<Event> take(Micros now);

    std::size_t waiting() const { return waiting_.size(); }

private:
    struct Asked {
        std::int64_t count = 0, errored = 0;
        Micros span{};
    };

    std::vector<std::string> columns_;
    std::map<std::string, OperationId> operations_;
    double per_second_;
    Micros period_, since_{}, drained_{};
    double allowance_ = 0;
    std::map<std::pair<ZoneId, ServerId>, xds::EndpointSums> met_;
    std::map<std::pair<ProxyId, OperationId>, Asked> asked_;
    std::deque<Event> waiting_;
};

}  // namespace badgergrade::xds_server
