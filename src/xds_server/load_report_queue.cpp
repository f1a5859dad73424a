#include "xds_server/load_report_queue.h"

#include <algorithm>
#include <cmath>

namespace badgergrade::xds_server {

namespace {}  // namespace

LoadReportQueue::LoadReportQueue(const Settings& settings)
    : load_metric_names_(settings.load_metric_names),
      max_events_per_second_(std::max(1.0, settings.max_reports_per_second)),
      report_interval_(settings.report_interval) {
    for (std::size_t operation_index = 0; operation_index < settings.operations.size();
         ++operation_index) {
        operations_[settings.operations[operation_index].name] = {
            static_cast<int>(operation_index)};
    }
}

std::vector<std::string> LoadReportQueue::add(Source source, const xds::LoadReport& report,
                                              const std::map<net::Address, ServerId>& servers) {
    std::vector<std::string> unknown_names;
    for (const auto& [address, load] : report.endpoints) {
        const auto server = servers.find(address);
        if (server == servers.end()) {
            unknown_names.push_back(net::to_text(address));
            continue;
        }
        server_sums_[{source.zone, server->second}] += load;
    }
    for (const auto& [name, demand] : report.operations) {
        const auto operation = operations_.find(name);
        if (operation == operations_.end()) {
            unknown_names.push_back("operation " + name);
            continue;
        }
        OperationSums& sums = operation_sums_[{source.proxy, operation->second}];
        sums.requests += demand.requests;
        sums.failures += demand.failures;
        sums.interval += report.interval;
    }
    return unknown_names;
}

event::ServerLoadReport LoadReportQueue::to_event(ZoneId zone, ServerId server,
                                                  const xds::EndpointLoad& load,
                                                  Micros interval) const {
    event::ServerLoadReport event{
        zone, server, load.attempts, std::min(load.failures, load.attempts), {}, interval, {}};
    if (load.successes > 0) {
        event.mean_latency =
            Micros(std::llround(load.total_latency_us / static_cast<double>(load.successes)));
    }
    if (load.load_metrics.empty()) {
        return event;
    }
    for (const auto& name : load_metric_names_) {
        const auto metric = load.load_metrics.find(name);
        event.load_metrics.push_back(metric == load.load_metrics.end() ? 0 : metric->second);
    }
    return event;
}

void LoadReportQueue::close_interval(Micros now) {
    const bool is_first = interval_start_ <= Micros{0};
    const Micros interval = is_first ? report_interval_ : now - interval_start_;
    interval_start_ = now;
    for (const auto& [key, load] : server_sums_) {
        const auto& [zone, server] = key;
        if (load.attempts > 0) {
            queue_.emplace_back(to_event(zone, server, load, interval));
        }
    }
    for (const auto& [key, sums] : operation_sums_) {
        const auto& [proxy, operation] = key;
        if (sums.interval > Micros{0}) {
            queue_.emplace_back(event::ProxyDemandReport{proxy, operation, sums.requests,
                                                         sums.failures, sums.interval});
        }
    }
    server_sums_.clear();
    operation_sums_.clear();
}

std::vector<Event> LoadReportQueue::pop(Micros now) {
    const Micros elapsed = now - std::exchange(last_refill_, now);
    const double elapsed_seconds = to_seconds(elapsed);
    // The bucket holds the tokens of one second: a larger burst after a pause would overload the
    // policy.
    tokens_ = std::min(tokens_ + elapsed_seconds * max_events_per_second_, max_events_per_second_);
    std::vector<Event> events;
    while (!queue_.empty() && tokens_ >= 1) {
        events.push_back(std::move(queue_.front()));
        queue_.pop_front();
        tokens_ -= 1;
    }
    return events;
}

}  // namespace badgergrade::xds_server
