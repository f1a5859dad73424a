/// @file
/// Figures of one control plane instance since its start.
#pragma once

#include <cstdint>

#include "pacing/paced_send_queue.h"

namespace badgergrade::xds_server {

struct XdsServerMetrics {
    /// Decisions of the policy, including those without any command.
    std::int64_t decisions = 0;
    /// Decisions that changed the configuration.
    std::int64_t config_updates = 0;
    /// Updates that a proxy acknowledged, counted once for each proxy.
    std::int64_t acknowledged_updates = 0;
    /// Proxies that opened a discovery stream.
    std::int64_t proxy_connections = 0;
    /// Responses that a proxy rejected.
    std::int64_t rejected_responses = 0;
    /// Lists of servers that were accepted.
    std::int64_t endpoint_updates = 0;
    /// CPU time of message handlers and of decisions, in microseconds.
    std::int64_t handler_cpu_us = 0;
    pacing::SendQueueMetrics send_queue;
};

}  // namespace badgergrade::xds_server
