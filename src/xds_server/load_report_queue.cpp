#include "xds_server/load_report_queue.h"

#include <algorithm>
#include <cmath>

namespace badgergrade::xds_server {

LoadReportQueue::LoadReportQueue(const Settings& told)
    : columns_(told.load_metric_names),
      per_second_(std::max(1.0, told.max_reports_per_second)),
      period_(told.report_interval) {
    for (std::size_t k = 0; k < told.operations.size(); ++k) {
        operations_[told.operations[k].name] = {static_cast<int>(k)};
    }
}

void LoadReportQueue::add(Source from, const xds::LoadReport& report,
                          const std::map<net::Address, ServerId>& servers,
                          std::vector<std::string>& unknown) {
    for (const auto& [address, sums] : report.endpoints) {
        const auto it = servers.find(address);
        if (it == servers.end()) {
            unknown.push_back(net::to_text(address));
        } else {
            met_[{from.zone, it->second}] += sums;
        }
    }
    for (const auto& [name, sums] : report.operations) {
        const auto it = operations_.find(name);
        if (it == operations_.end()) {
            unknown.push_back("operation " + name);
            continue;
        }
        Asked& asked = asked_[{from.proxy, it->second}];
        asked.count += sums.count;
        asked.errored += sums.errored;
        asked.span += report.span;
    }
}

void LoadReportQueue::close_period(Micros now) {
    const Micros span = since_ > Micros{0} ? now - since_ : period_;
    since_ = now;
    for (const auto& [key, sums] : met_) {
        if (sums.tries == 0) {
            continue;
        }
        event::ServerLoadReport heard{
            key.first, key.second, sums.tries, std::min(sums.errored, sums.tries), {}, span, {}};
        if (sums.succeeded > 0) {
            heard.mean_latency =
                Micros(std::llround(sums.answer_us / static_cast<double>(sums.succeeded)));
        }
        if (!sums.load.empty()) {
            for (const auto& column : columns_) {
                const auto it = sums.load.find(column);
                heard.load_metrics.push_back(it == sums.load.end() ? 0 : it->second);
            }
        }
        waiting_.emplace_back(std::move(heard));
    }
    for (const auto& [key, asked] : asked_) {
        if (asked.span > Micros{0}) {
            waiting_.emplace_back(event::ProxyDemandReport{key.first, key.second, asked.count,
                                                           asked.errored, asked.span});
        }
    }
    met_.clear();
    asked_.clear();
}

std::vector<Event> LoadReportQueue::take(Micros now) {
    const double passed = static_cast<double>((now - std::exchange(drained_, now)).count()) / 1e6;
    // An idle second may be made up for, no more: the intake is a rate, not a budget.
    allowance_ = std::min(allowance_ + passed * per_second_, per_second_);
    std::vector<Event> out;
    while (!waiting_.empty() && allowance_ >= 1) {
        out.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
        allowance_ -= 1;
    }
    return out;
}

}  // namespace badgergrade::xds_server
