/// @file
/// Load reports of proxies as the load reporting service (LRS) carries them: proxies build them,
/// the control plane reads them. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "envoy/service/load_stats/v3/lrs.pb.h"
#include "net/network.h"
#include "policy/ids.h"

namespace badgergrade::xds {

/// What one proxy saw of one server during a report interval.
struct EndpointLoad {
    /// Requests sent, including repeated ones.
    std::int64_t attempts = 0;
    /// Attempts that ended with an error or a timeout.
    std::int64_t failures = 0;
    /// Attempts that ended with a good response.
    std::int64_t successes = 0;
    /// Summed latency of the successes, in microseconds.
    double total_latency_us = 0;
    /// The newest value of each load metric that the server attached to its responses, by name.
    std::map<std::string, double> load_metrics;

    /// Adds the counts; of each load metric the right-hand value stands, as the newer one.
    EndpointLoad& operator+=(const EndpointLoad& other);
};

/// Demand of one operation at one proxy during a report interval, counted once for each request of
/// a client.
struct OperationDemand {
    std::int64_t requests = 0;
    std::int64_t failures = 0;
};

/// One report of one proxy.
struct LoadReport {
    Micros interval{};
    std::map<net::Address, EndpointLoad> endpoints;
    /// By name of the operation.
    std::map<std::string, OperationDemand> operations;
};

/// Why a part of a report was left out.
enum class LoadReportError { IntervalOutOfRange, CountOutOfRange };

/// A part of a report that was left out.
struct RejectedLoad {
    LoadReportError error = LoadReportError::CountOutOfRange;
    /// What was wrong, for the log.
    std::string text;
};

/// The usable part of a report, and what was left out of it.
struct ParsedLoadReport {
    LoadReport report;
    std::vector<RejectedLoad> rejected;
};

envoy::service::load_stats::v3::LoadStatsRequest to_message(const LoadReport& report);

/// Reads a report. Counts and intervals that are out of range are left out, so that one faulty
/// proxy can't distort the sums of all.
ParsedLoadReport parse_load_report(const envoy::service::load_stats::v3::LoadStatsRequest& message);

}  // namespace badgergrade::xds
