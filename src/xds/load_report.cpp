#include "xds/load_report.h"

#include <google/protobuf/util/time_util.h>

#include <algorithm>
#include <cmath>

#include "xds/resource_names.h"

namespace badgergrade::xds {

using google::protobuf::util::TimeUtil;
namespace endpoint_v3 = envoy::config::endpoint::v3;
namespace load_stats_v3 = envoy::service::load_stats::v3;

namespace {
/// No proxy sends more requests than this within one report interval; a higher count is an error of
/// the sender.
constexpr std::uint64_t kMaxRequestsPerReport = 1000000000;
/// One hour.
constexpr std::int64_t kMaxIntervalUs = 3600LL * 1000000;
/// The highest valid TCP port.
constexpr std::uint32_t kMaxPort = 65535;
/// Cluster name under which all servers are reported: a server is identified by its address alone.
constexpr const char* kServersCluster = "servers";
}  // namespace

EndpointLoad& EndpointLoad::operator+=(const EndpointLoad& other) {
    attempts += other.attempts;
    failures += other.failures;
    successes += other.successes;
    total_latency_us += other.total_latency_us;
    for (const auto& [name, value] : other.load_metrics) {
        load_metrics[name] = value;
    }
    return *this;
}

namespace {
void write_endpoint(const net::Address& address, const EndpointLoad& load,
                    endpoint_v3::UpstreamEndpointStats& stats) {
    auto* socket = stats.mutable_address()->mutable_socket_address();
    socket->set_address(address.host);
    socket->set_port_value(address.port);
    stats.set_total_issued_requests(static_cast<std::uint64_t>(load.attempts));
    stats.set_total_error_requests(static_cast<std::uint64_t>(load.failures));
    stats.set_total_successful_requests(static_cast<std::uint64_t>(load.successes));
    auto* latency = stats.add_load_metric_stats();
    latency->set_metric_name(std::string(kLatencyMetric));
    latency->set_num_requests_finished_with_metric(static_cast<std::uint64_t>(load.successes));
    latency->set_total_metric_value(load.total_latency_us);
    for (const auto& [name, value] : load.load_metrics) {
        auto* metric = stats.add_load_metric_stats();
        metric->set_metric_name(name);
        metric->set_num_requests_finished_with_metric(1);
        metric->set_total_metric_value(value);
    }
}
}  // namespace

load_stats_v3::LoadStatsRequest to_message(const LoadReport& report) {
    load_stats_v3::LoadStatsRequest message;
    const auto interval = TimeUtil::MicrosecondsToDuration(report.interval.count());
    if (!report.endpoints.empty()) {
        auto* cluster = message.add_cluster_stats();
        cluster->set_cluster_name(kServersCluster);
        *cluster->mutable_load_report_interval() = interval;
        auto* locality = cluster->add_upstream_locality_stats();
        for (const auto& [address, load] : report.endpoints) {
            write_endpoint(address, load, *locality->add_upstream_endpoint_stats());
        }
    }
    for (const auto& [name, demand] : report.operations) {
        auto* cluster = message.add_cluster_stats();
        cluster->set_cluster_name(std::string(kOperationClusterPrefix) + name);
        *cluster->mutable_load_report_interval() = interval;
        auto* locality = cluster->add_upstream_locality_stats();
        locality->set_total_issued_requests(static_cast<std::uint64_t>(demand.requests));
        locality->set_total_error_requests(static_cast<std::uint64_t>(demand.failures));
    }
    return message;
}

namespace {
bool is_valid_count(std::uint64_t count) {
    return count <= kMaxRequestsPerReport;
}

RejectedLoad count_out_of_range(const std::string& subject) {
    return {LoadReportError::CountOutOfRange,
            "load of \"" + subject + "\": expected counts of at most " +
                std::to_string(kMaxRequestsPerReport) + " and a port of 1 to " +
                std::to_string(kMaxPort)};
}

void parse_endpoint(const endpoint_v3::UpstreamEndpointStats& stats, ParsedLoadReport& parsed) {
    const auto& socket = stats.address().socket_address();
    const net::Address address{socket.address(), static_cast<std::uint16_t>(socket.port_value())};
    if (socket.port_value() == 0 || socket.port_value() > kMaxPort ||
        !is_valid_count(stats.total_issued_requests()) ||
        !is_valid_count(stats.total_error_requests()) ||
        !is_valid_count(stats.total_successful_requests())) {
        parsed.rejected.push_back(
            count_out_of_range(socket.address() + ":" + std::to_string(socket.port_value())));
        return;
    }
    EndpointLoad load;
    load.attempts = static_cast<std::int64_t>(stats.total_issued_requests());
    load.failures = static_cast<std::int64_t>(stats.total_error_requests());
    load.successes = static_cast<std::int64_t>(stats.total_successful_requests());
    // Other xDS clients may count an issued request only when it ends.
    load.attempts = std::max(load.attempts, load.failures + load.successes);
    for (const auto& metric : stats.load_metric_stats()) {
        if (!std::isfinite(metric.total_metric_value())) {
            continue;
        }
        if (metric.metric_name() == kLatencyMetric) {
            load.total_latency_us += std::max(0.0, metric.total_metric_value());
        } else if (metric.num_requests_finished_with_metric() > 0) {
            load.load_metrics[metric.metric_name()] =
                metric.total_metric_value() /
                static_cast<double>(metric.num_requests_finished_with_metric());
        }
    }
    parsed.report.endpoints[address] += load;
}

void parse_operation(const std::string& cluster_name,
                     const endpoint_v3::UpstreamLocalityStats& locality, ParsedLoadReport& parsed) {
    if (!is_valid_count(locality.total_issued_requests()) ||
        !is_valid_count(locality.total_error_requests())) {
        parsed.rejected.push_back(count_out_of_range(cluster_name));
        return;
    }
    OperationDemand& demand =
        parsed.report.operations[cluster_name.substr(kOperationClusterPrefix.size())];
    demand.requests += static_cast<std::int64_t>(locality.total_issued_requests());
    demand.failures += static_cast<std::int64_t>(locality.total_error_requests());
}
}  // namespace

ParsedLoadReport parse_load_report(const load_stats_v3::LoadStatsRequest& message) {
    ParsedLoadReport parsed;
    for (const auto& cluster : message.cluster_stats()) {
        const auto interval_us = TimeUtil::DurationToMicroseconds(cluster.load_report_interval());
        if (interval_us < 0 || interval_us > kMaxIntervalUs) {
            parsed.rejected.push_back({LoadReportError::IntervalOutOfRange,
                                       "cluster \"" + cluster.cluster_name() +
                                           R"(", field "load_report_interval": expected 0 to )" +
                                           std::to_string(kMaxIntervalUs) + " us, got " +
                                           std::to_string(interval_us) + " us"});
            continue;
        }
        parsed.report.interval = std::max(parsed.report.interval, Micros(interval_us));
        const bool is_operation = cluster.cluster_name().rfind(kOperationClusterPrefix, 0) == 0;
        for (const auto& locality : cluster.upstream_locality_stats()) {
            if (is_operation) {
                parse_operation(cluster.cluster_name(), locality, parsed);
                continue;
            }
            for (const auto& endpoint : locality.upstream_endpoint_stats()) {
                parse_endpoint(endpoint, parsed);
            }
        }
    }
    return parsed;
}

}  // namespace badgergrade::xds
