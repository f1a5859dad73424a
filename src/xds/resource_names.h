// The published names of types, methods and of our resources.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "policy/ids.h"

namespace badgergrade::xds {

// In the order in which they are laid before bound (make before break).
enum class Type { Cluster = 0, Endpoints = 1, Listener = 2, Routes = 3 };
constexpr std::array<Type, 4> kTypes{Type::Cluster, Type::Endpoints, Type::Listener, Type::Routes};

constexpr std::size_t index(Type type) {
    return static_cast<std::size_t>(type);
}

constexpr std::array<std::string_view, 4> kTypeUrls{
    "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    "type.googleapis.com/envoy.config.listener.v3.Listener",
    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
};

constexpr std::string_view url(Type type) {
    return kTypeUrls[index(type)];
}

inline std::optional<Type> type_of(std::string_view url) {
    for (const Type type : kTypes) {
        if (kTypeUrls[index(type)] == url) {
            return type;
        }
    }
    return std::nullopt;
}

constexpr std::string_view kAdsMethod =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
constexpr std::string_view kLrsMethod =
    "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";

// A table's cluster; the one listener, its routes, and the assignment that carries withdrawals for
// tables that are not ours (the start-up table).
inline std::string cluster_name(TableId table) {
    return "table-" + std::to_string(table.value);
}

constexpr std::string_view kListener = "invocations";
constexpr std::string_view kRoutes = "operations";
constexpr std::string_view kStartup = "startup";

inline std::string path_of(std::string_view operation) {
    return "/invoke/" + std::string(operation);
}

// Weights travel as whole numbers: this many to 1.
constexpr double kWeightScale = 10000;
// What an operation's sums are reported under, beside the clusters.
constexpr std::string_view kOperationPrefix = "operation/";
constexpr std::string_view kAnswerTime = "answer_us";

}  // namespace badgergrade::xds
