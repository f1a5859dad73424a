/// @file
/// Aggregates the load reports of all proxies over each report interval and passes them to the
/// policy at a limited rate. No I/O.
///
/// At the end of an interval one event is queued for each server and each zone of proxies that sent
/// attempts to it (attempts, failures, mean latency and load metrics), and then one for each proxy
/// and operation (demand). Where an earlier event of the same server and zone, or proxy and
/// operation, still waits, the new one is added to it. The queue is first in, first out. A token
/// bucket lets
/// `Settings::max_reports_per_second` events out per second (never fewer than 1), and after a pause
/// the events of one second at once.
///
/// Memory: the sums of an interval and the queue are bounded by the numbers of zones, servers,
/// proxies and operations, and by the load metric names of the settings; others are dropped.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "policy/event.h"
#include "policy/ids.h"
#include "policy/settings.h"
#include "xds/load_report.h"

namespace badgergrade::xds_server {

class LoadReportQueue {
public:
    explicit LoadReportQueue(const Settings& settings);

    /// The proxy that sent a report, and its zone.
    struct Source {
        ProxyId proxy;
        ZoneId zone;
    };

    /// Adds a report to the sums of the current interval. `servers` are the known servers by
    /// address. Returns the unknown addresses and operations in the report; their counts are
    /// dropped.
    std::vector<std::string> add(Source source, const xds::LoadReport& report,
                                 const std::map<net::Address, ServerId>& servers);

    /// Ends the current interval and queues its aggregated events.
    void close_interval(Micros now);

    /// Removes and returns the events that the rate limit admits at `now`.
    std::vector<Event> pop(Micros now);

    std::size_t queued_events() const { return queue_.size(); }

private:
    struct OperationSums {
        std::int64_t requests = 0;
        std::int64_t failures = 0;
        /// Sum of the times that the added reports cover: a proxy may send several reports in one
        /// interval of the queue.
        Micros interval{};
    };

    using ServerKey = std::pair<ZoneId, ServerId>;
    using DemandKey = std::pair<ProxyId, OperationId>;

    void enqueue(const ServerKey& key, const event::ServerLoadReport& report);
    void enqueue(const DemandKey& key, const event::ProxyDemandReport& report);
    Event take_first();
    event::ServerLoadReport to_event(ZoneId zone, ServerId server, const xds::EndpointLoad& load,
                                     Micros interval) const;

    std::vector<std::string> load_metric_names_;
    std::map<std::string, OperationId> operations_;
    double max_events_per_second_;
    Micros report_interval_;
    Micros interval_start_{};
    Micros last_refill_{};
    /// Tokens in the bucket at `last_refill_`; each event takes one.
    double tokens_ = 0;
    std::map<ServerKey, xds::EndpointLoad> server_sums_;
    std::map<DemandKey, OperationSums> operation_sums_;
    /// The order in which events leave, and the events.
    std::deque<std::variant<ServerKey, DemandKey>> queue_;
    std::map<ServerKey, event::ServerLoadReport> queued_servers_;
    std::map<DemandKey, event::ProxyDemandReport> queued_demands_;
};

}  // namespace badgergrade::xds_server
