/// @file
/// Counters of one control plane instance since the start of its process.
#pragma once

#include <cstdint>

#include "pacing/paced_send_queue.h"

namespace badgergrade::xds_server {

struct XdsServerMetrics {
    /// Decisions of the policy, including those without any command.
    std::int64_t decisions = 0;
    /// Decisions that changed the configuration.
    std::int64_t config_updates = 0;
    /// Acknowledged updates; an update counts once for each proxy that acknowledged it.
    std::int64_t acknowledged_updates = 0;
    /// Discovery streams that proxies opened.
    std::int64_t proxy_connections = 0;
    /// Discovery responses that a proxy rejected (NACK).
    std::int64_t rejected_responses = 0;
    /// Accepted lists of servers.
    std::int64_t endpoint_updates = 0;
    /// CPU time of message handlers and of decisions, in microseconds.
    std::int64_t handler_cpu_us = 0;
    pacing::SendQueueMetrics send_queue;
};

}  // namespace badgergrade::xds_server
