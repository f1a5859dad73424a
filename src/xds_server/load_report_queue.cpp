#include "xds_server/load_report_queue.h"

#include <algorithm>
#include <cmath>

namespace badgergrade::xds_server {

namespace {

/// The mean of two groups of attempts, by the number that succeeded in each.
Micros combined_latency(const event::ServerLoadReport& one, const event::ServerLoadReport& other) {
    const auto successes = static_cast<double>(one.attempts - one.failures);
    const auto other_successes = static_cast<double>(other.attempts - other.failures);
    if (successes + other_successes <= 0) {
        return Micros{0};
    }
    const double total = successes * static_cast<double>(one.mean_latency.count()) +
                         other_successes * static_cast<double>(other.mean_latency.count());
    return Micros(std::llround(total / (successes + other_successes)));
}

}  // namespace

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
        xds::EndpointLoad known = load;
        std::erase_if(known.load_metrics, [&](const auto& metric) {
            return std::ranges::find(load_metric_names_, metric.first) == load_metric_names_.end();
        });
        server_sums_[{source.zone, server->second}] += known;
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
            enqueue(key, to_event(zone, server, load, interval));
        }
    }
    for (const auto& [key, sums] : operation_sums_) {
        const auto& [proxy, operation] = key;
        if (sums.interval > Micros{0}) {
            enqueue(key, event::ProxyDemandReport{proxy, operation, sums.requests, sums.failures,
                                                  sums.interval});
        }
    }
    server_sums_.clear();
    operation_sums_.clear();
}

void LoadReportQueue::enqueue(const ServerKey& key, const event::ServerLoadReport& report) {
    const auto [it, is_new] = queued_servers_.try_emplace(key, report);
    if (is_new) {
        queue_.emplace_back(key);
        return;
    }
    event::ServerLoadReport& queued = it->second;
    queued.mean_latency = combined_latency(queued, report);
    queued.attempts += report.attempts;
    queued.failures += report.failures;
    queued.interval += report.interval;
    if (!report.load_metrics.empty()) {
        queued.load_metrics = report.load_metrics;
    }
}

void LoadReportQueue::enqueue(const DemandKey& key, const event::ProxyDemandReport& report) {
    const auto [it, is_new] = queued_demands_.try_emplace(key, report);
    if (is_new) {
        queue_.emplace_back(key);
        return;
    }
    event::ProxyDemandReport& queued = it->second;
    queued.attempts += report.attempts;
    queued.failures += report.failures;
    queued.interval += report.interval;
}

Event LoadReportQueue::take_first() {
    const auto key = queue_.front();
    queue_.pop_front();
    if (const auto* server = std::get_if<ServerKey>(&key)) {
        return std::move(queued_servers_.extract(*server).mapped());
    }
    return queued_demands_.extract(std::get<DemandKey>(key)).mapped();
}

std::vector<Event> LoadReportQueue::pop(Micros now) {
    const Micros elapsed = now - std::exchange(last_refill_, now);
    const double elapsed_seconds = to_seconds(elapsed);
    // The bucket holds the tokens of one second: a larger burst after a pause would overload the
    // policy.
    tokens_ = std::min(tokens_ + elapsed_seconds * max_events_per_second_, max_events_per_second_);
    std::vector<Event> events;
    while (!queue_.empty() && tokens_ >= 1) {
        events.push_back(take_first());
        tokens_ -= 1;
    }
    return events;
}

}  // namespace badgergrade::xds_server
