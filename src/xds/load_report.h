// What a forwarder met and was asked for, as LRS carries it: one side builds reports, the other
// reads them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "envoy/service/load_stats/v3/lrs.pb.h"
#include "net/network.h"
#include "policy/ids.h"

namespace badgergrade::xds {

struct EndpointSums {
    std::int64_t tries = 0, errored = 0, succeeded = 0;
    double answer_us = 0;                // sum over the succeeded ones
    std::map<std::string, double> load;  // last load report in an answer, by column
    EndpointSums& operator+=(const EndpointSums& o);
};

struct OperationSums {
    std::int64_t count = 0, errored = 0;
};

struct LoadReport {
    Micros span{};
    std::map<net::Address, EndpointSums> endpoints;
    std::map<std::string, OperationSums> operations;
};

envoy::service::load_stats::v3::LoadStatsRequest to_message(const LoadReport& report);
// Counts below zero or out of any range are left out and told in `refused`.
LoadReport read_report(const envoy::service::load_stats::v3::LoadStatsRequest& message,
                       std::vector<std::string>& refused);

}  // namespace badgergrade::xds
