/// @file
/// Load reports of proxies and their protobuf form in the load reporting service (LRS). Proxies
/// build them, the control plane parses and validates them. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "envoy/service/load_stats/v3/lrs.pb.h"
#include "net/network.h"
#include "policy/ids.h"

namespace badgergrade::xds {

/// Load of one server as one proxy measured it during a report interval.
struct EndpointLoad {
    /// Requests sent to the server, including retries.
    std::int64_t attempts = 0;
    /// Attempts that ended with an error or a timeout.
    std::int64_t failures = 0;
    /// Attempts that ended with a successful response.
    std::int64_t successes = 0;
    /// Summed latency of the successful attempts, in microseconds.
    double total_latency_us = 0;
    /// The latest value of each load metric that the server attached to its responses, by name.
    std::map<std::string, double> load_metrics;

    /// Adds the counts. Of each load metric the right-hand value is kept, as the newer one.
    EndpointLoad& operator+=(const EndpointLoad& other);
};

/// Demand for one operation at one proxy during a report interval. A request of a client counts
/// once, however many attempts it took.
struct OperationDemand {
    std::int64_t requests = 0;
    /// Requests that failed.
    std::int64_t failures = 0;
};

/// One load report of one proxy.
struct LoadReport {
    /// Time that the counts cover.
    Micros interval{};
    std::map<net::Address, EndpointLoad> endpoints;
    /// Demand by operation name.
    std::map<std::string, OperationDemand> operations;
};

/// Why a part of a report was dropped.
enum class LoadReportError { IntervalOutOfRange, CountOutOfRange };

/// A part of a report that was dropped.
struct RejectedLoad {
    LoadReportError error = LoadReportError::CountOutOfRange;
    /// The reason, for the log.
    std::string text;
};

/// The valid part of a report and the parts that were dropped.
struct ParsedLoadReport {
    LoadReport report;
    std::vector<RejectedLoad> rejected;
};

/// Builds the protobuf message of a report.
envoy::service::load_stats::v3::LoadStatsRequest to_message(const LoadReport& report);

/// Parses a report. Entries whose counts, ports or intervals are out of range are dropped, so that
/// one faulty proxy can't distort the sums of all proxies.
ParsedLoadReport parse_load_report(const envoy::service::load_stats::v3::LoadStatsRequest& message);

}  // namespace badgergrade::xds
