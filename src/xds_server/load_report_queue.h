/// @file
/// Aggregates the load reports of all proxies over each report interval and passes them to the
/// policy at a limited rate. No I/O.
///
/// At the end of an interval there is one event for each zone and server (attempts, failures and
/// mean latency) and one for each proxy and operation (demand). They leave in this order, the
/// oldest first, at most `max_reports_per_second`.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "policy/event.h"
#include "policy/ids.h"
#include "policy/settings.h"
#include "xds/load_report.h"

namespace badgergrade::xds_server {

class LoadReportQueue {
public:
    explicit LoadReportQueue(const Settings& settings);

    /// Which proxy a report comes from.
    struct Source {
        ProxyId proxy;
        ZoneId zone;
    };

    /// Adds a report to the current interval. Returns the addresses and operations in it that are
    /// not known; their counts are left out.
    std::vector<std::string> add(Source source, const xds::LoadReport& report,
                                 const std::map<net::Address, ServerId>& servers);

    /// Ends the current interval: its aggregated events are queued.
    void close_interval(Micros now);

    /// Removes and returns the events that the rate limit admits by now.
    std::vector<Event> pop(Micros now);

    std::size_t queued_events() const { return queue_.size(); }

private:
    struct OperationSums {
        std::int64_t requests = 0;
        std::int64_t failures = 0;
        /// Summed length of the reports: a proxy may report more than once in an interval.
        Micros interval{};
    };

    event::ServerLoadReport to_event(ZoneId zone, ServerId server, const xds::EndpointLoad& load,
                                     Micros interval) const;

    std::vector<std::string> load_metric_names_;
    std::map<std::string, OperationId> operations_;
    double max_events_per_second_;
    Micros report_interval_;
    Micros interval_began_{};
    Micros last_pop_{};
    /// Events that the rate limit admits at `last_pop_`.
    double allowance_ = 0;
    std::map<std::pair<ZoneId, ServerId>, xds::EndpointLoad> server_sums_;
    std::map<std::pair<ProxyId, OperationId>, OperationSums> operation_sums_;
    std::deque<Event> queue_;
};

}  // namespace badgergrade::xds_server
