/// @file
/// Names on the wire: the published type URLs and method paths of xDS, and the names of the
/// resources that this control plane serves.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "policy/ids.h"

namespace badgergrade::xds {

/// Resource types, in the order in which they are sent: what a resource refers to comes before it
/// (make before break).
enum class ResourceType { Cluster = 0, Endpoints = 1, Listener = 2, Routes = 3 };
constexpr std::array<ResourceType, 4> kResourceTypes{ResourceType::Cluster, ResourceType::Endpoints,
                                                     ResourceType::Listener, ResourceType::Routes};

/// Position of a type in arrays with one entry for each type.
constexpr std::size_t index(ResourceType type) {
    return static_cast<std::size_t>(type);
}

/// Type URLs, by `index()`.
constexpr std::array<std::string_view, kResourceTypes.size()> kTypeUrls{
    "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    "type.googleapis.com/envoy.config.listener.v3.Listener",
    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
};

constexpr std::string_view type_url(ResourceType type) {
    return kTypeUrls[index(type)];
}

/// The type with this URL; nothing if it is not served.
inline std::optional<ResourceType> resource_type_of(std::string_view url) {
    for (const ResourceType type : kResourceTypes) {
        if (kTypeUrls[index(type)] == url) {
            return type;
        }
    }
    return std::nullopt;
}

/// Path of the aggregated discovery stream (ADS).
constexpr std::string_view kAdsMethod =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
/// Path of the load reporting stream (LRS).
constexpr std::string_view kLrsMethod =
    "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";

/// The cluster of a table, and the endpoint assignment of that cluster.
inline std::string cluster_name(TableId table) {
    return "table-" + std::to_string(table.value);
}

/// The only listener.
constexpr std::string_view kListenerName = "invocations";
/// The only route configuration.
constexpr std::string_view kRouteConfigName = "operations";
/// The endpoint assignment that lists ejected servers. It also holds for the start-up table of a
/// proxy, which the control plane does not serve.
constexpr std::string_view kStartupClusterName = "startup";

/// Path of requests for an operation.
inline std::string operation_path(std::string_view operation) {
    return "/invoke/" + std::string(operation);
}

/// Weights are sent as whole numbers: a weight of 1 is sent as this.
constexpr double kWeightScale = 10000;
/// In load reports, demand for an operation is reported as a cluster with this prefix.
constexpr std::string_view kOperationClusterPrefix = "operation/";
/// In load reports, the metric that holds the summed latency of successful requests in
/// microseconds.
constexpr std::string_view kLatencyMetric = "answer_us";

}  // namespace badgergrade::xds
