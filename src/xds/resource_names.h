/// @file
/// Names that xDS carries between this control plane and its proxies: the type URLs and gRPC method
/// paths that Envoy publishes, and the names of the resources, request paths and load metrics that
/// this control plane defines. All of them are part of the wire format.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "policy/ids.h"

namespace badgergrade::xds {

/// Resource types in the order in which they are sent: a resource is sent after the resources that
/// it refers to (make before break).
enum class ResourceType { Cluster = 0, Endpoints = 1, Listener = 2, Routes = 3 };
constexpr std::array<ResourceType, 4> kResourceTypes{ResourceType::Cluster, ResourceType::Endpoints,
                                                     ResourceType::Listener, ResourceType::Routes};

/// Index of a type in arrays that have one entry per type.
constexpr std::size_t index(ResourceType type) {
    return static_cast<std::size_t>(type);
}

/// Type URLs, indexed by `index()`.
constexpr std::array<std::string_view, kResourceTypes.size()> kTypeUrls{
    "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    "type.googleapis.com/envoy.config.listener.v3.Listener",
    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
};

constexpr std::string_view type_url(ResourceType type) {
    return kTypeUrls[index(type)];
}

/// The resource type with this type URL; empty if it is not one of `kResourceTypes`.
inline std::optional<ResourceType> resource_type_of(std::string_view url) {
    for (const ResourceType type : kResourceTypes) {
        if (kTypeUrls[index(type)] == url) {
            return type;
        }
    }
    return std::nullopt;
}

/// gRPC method path of the aggregated discovery stream (ADS).
constexpr std::string_view kAdsMethod =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
/// gRPC method path of the load reporting stream (LRS).
constexpr std::string_view kLrsMethod =
    "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";

/// Name of the cluster that represents a table, and of that cluster's endpoint assignment.
inline std::string cluster_name(TableId table) {
    return "table-" + std::to_string(table.value);
}

/// Name of the only listener.
constexpr std::string_view kListenerName = "invocations";
/// Name of the only route configuration.
constexpr std::string_view kRouteConfigName = "operations";
/// Name of the endpoint assignment that lists all ejected servers. A proxy applies these ejections
/// to each of its tables, including its start-up table, which the control plane does not serve.
constexpr std::string_view kStartupClusterName = "startup";

/// HTTP path of the requests for an operation.
inline std::string operation_path(std::string_view operation) {
    return "/invoke/" + std::string(operation);
}

/// A weight of 1.0 as the integer that is sent: `load_balancing_weight` has no fractions.
constexpr double kWeightScale = 10000;
/// In load reports, the demand for an operation is reported as a cluster whose name is this prefix
/// and the name of the operation.
constexpr std::string_view kOperationClusterPrefix = "operation/";
/// In load reports, the name of the metric that holds the summed latency of the successful
/// requests, in microseconds.
constexpr std::string_view kLatencyMetric = "answer_us";

}  // namespace badgergrade::xds
