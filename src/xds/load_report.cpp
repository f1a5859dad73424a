#include "xds/load_report.h"

#include <google/protobuf/util/time_util.h>

#include <cmath>

#include "xds/resource_names.h"

namespace badgergrade::xds {

using google::protobuf::util::TimeUtil;

namespace {
constexpr std::uint64_t kMost = 1000000000;  // counts in one report beyond this are nonsense
constexpr std::int64_t kLongestSpan = 3600LL * 1000000;
}  // namespace

EndpointSums& EndpointSums::operator+=(const EndpointSums& o) {
    tries += o.tries;
    errored += o.errored;
    succeeded += o.succeeded;
    answer_us += o.answer_us;
    for (const auto& [name, value] : o.load) {
        load[name] = value;
    }
    return *this;
}

envoy::service::load_stats::v3::LoadStatsRequest to_message(const LoadReport& report) {
    envoy::service::load_stats::v3::LoadStatsRequest out;
    const auto span = TimeUtil::MicrosecondsToDuration(report.span.count());
    if (!report.endpoints.empty()) {
        auto* cluster = out.add_cluster_stats();
        cluster->set_cluster_name("servers");
        *cluster->mutable_load_report_interval() = span;
        auto* locality = cluster->add_upstream_locality_stats();
        for (const auto& [address, sums] : report.endpoints) {
            auto* endpoint = locality->add_upstream_endpoint_stats();
            auto* socket = endpoint->mutable_address()->mutable_socket_address();
            socket->set_address(address.host);
            socket->set_port_value(address.port);
            endpoint->set_total_issued_requests(static_cast<std::uint64_t>(sums.tries));
            endpoint->set_total_error_requests(static_cast<std::uint64_t>(sums.errored));
            endpoint->set_total_successful_requests(static_cast<std::uint64_t>(sums.succeeded));
            auto* time = endpoint->add_load_metric_stats();
            time->set_metric_name(std::string(kAnswerTime));
            time->set_num_requests_finished_with_metric(static_cast<std::uint64_t>(sums.succeeded));
            time->set_total_metric_value(sums.answer_us);
            for (const auto& [name, value] : sums.load) {
                auto* metric = endpoint->add_load_metric_stats();
                metric->set_metric_name(name);
                metric->set_num_requests_finished_with_metric(1);
                metric->set_total_metric_value(value);
            }
        }
    }
    for (const auto& [name, sums] : report.operations) {
        auto* cluster = out.add_cluster_stats();
        cluster->set_cluster_name(std::string(kOperationPrefix) + name);
        *cluster->mutable_load_report_interval() = span;
        auto* locality = cluster->add_upstream_locality_stats();
        locality->set_total_issued_requests(static_cast<std::uint64_t>(sums.count));
        locality->set_total_error_requests(static_cast<std::uint64_t>(sums.errored));
    }
    return out;
}

namespace {
bool plausible(std::uint64_t count) {
    return count <= kMost;
}

void read_endpoint(const envoy::config::endpoint::v3::UpstreamEndpointStats& from, LoadReport& out,
                   std::vector<std::string>& refused) {
    const auto& socket = from.address().socket_address();
    const net::Address address{socket.address(), static_cast<std::uint16_t>(socket.port_value())};
    if (socket.port_value() == 0 || socket.port_value() > 65535 ||
        !plausible(from.total_issued_requests()) || !plausible(from.total_error_requests()) ||
        !plausible(from.total_successful_requests())) {
        refused.push_back("sums for '" + socket.address() + ":" +
                          std::to_string(socket.port_value()) + "' are out of range");
        return;
    }
    EndpointSums sums;
    sums.tries = static_cast<std::int64_t>(from.total_issued_requests());
    sums.errored = static_cast<std::int64_t>(from.total_error_requests());
    sums.succeeded = static_cast<std::int64_t>(from.total_successful_requests());
    // Clients of other makers may count issued ones only as they end.
    sums.tries = std::max(sums.tries, sums.errored + sums.succeeded);
    for (const auto& metric : from.load_metric_stats()) {
        if (!std::isfinite(metric.total_metric_value())) {
            continue;
        }
        if (metric.metric_name() == kAnswerTime) {
            sums.answer_us += std::max(0.0, metric.total_metric_value());
        } else if (metric.num_requests_finished_with_metric() > 0) {
            sums.load[metric.metric_name()] =
                metric.total_metric_value() /
                static_cast<double>(metric.num_requests_finished_with_metric());
        }
    }
    out.endpoints[address] += sums;
}
}  // namespace

LoadReport read_report(const envoy::service::load_stats::v3::LoadStatsRequest& message,
                       std::vector<std::string>& refused) {
    LoadReport out;
    for (const auto& cluster : message.cluster_stats()) {
        const auto span = TimeUtil::DurationToMicroseconds(cluster.load_report_interval());
        if (span < 0 || span > kLongestSpan) {
            refused.push_back("a report over " + std::to_string(span) + " us");
            continue;
        }
        out.span = std::max(out.span, Micros(span));
        const bool operation = cluster.cluster_name().rfind(kOperationPrefix, 0) == 0;
        for (const auto& locality : cluster.upstream_locality_stats()) {
            if (operation) {
                if (!plausible(locality.total_issued_requests()) ||
                    !plausible(locality.total_error_requests())) {
                    refused.push_back("sums for '" + cluster.cluster_name() + "' are out of range");
                    continue;
                }
                auto& sums = out.operations[cluster.cluster_name().substr(kOperationPrefix.size())];
                sums.count += static_cast<std::int64_t>(locality.total_issued_requests());
                sums.errored += static_cast<std::int64_t>(locality.total_error_requests());
            } else {
                for (const auto& endpoint : locality.upstream_endpoint_stats()) {
                    read_endpoint(endpoint, out, refused);
                }
            }
        }
    }
    return out;
}

}  // namespace badgergrade::xds
