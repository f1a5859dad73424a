// Interoperability: a grpc++ client, an implementation independent of this project's, opens ADS and
// LRS streams to a running control plane instance.
#include <grpcpp/grpcpp.h>

#include "../program/child.h"
#include "envoy/config/endpoint/v3/endpoint.pb.h"
#include "envoy/config/listener/v3/listener.pb.h"
#include "envoy/config/route/v3/route.pb.h"
#include "envoy/extensions/filters/network/http_connection_manager/v3/http_connection_manager.pb.h"
#include "envoy/service/discovery/v3/discovery.grpc.pb.h"
#include "envoy/service/load_stats/v3/lrs.grpc.pb.h"

namespace badgergrade::test {
namespace {

namespace discovery = envoy::service::discovery::v3;
namespace load_stats = envoy::service::load_stats::v3;

constexpr const char* kTypeUrlPrefix = "type.googleapis.com/envoy.config.";

class GrpcPeer : public testing::Test {
protected:
    void SetUp() override {
        registry = std::make_unique<Child>(
            std::vector<std::string>{"standin", "registry", "--listen", "127.0.0.1:0", "--servers",
                                     temporary("peer-servers",
                                               "w1 bang-na 127.0.0.1:9001\nw2 samrong "
                                               "127.0.0.1:9002\nw3 samrong 127.0.0.1:9003\n")});
        const std::string ini =
            temporary("peer.ini", settings_file("127.0.0.1:0", registry->after("ready on ")));
        governor = std::make_unique<Child>(std::vector<std::string>{"governor", "--config", ini});
        channel = grpc::CreateChannel(governor->after("xds="), grpc::InsecureChannelCredentials());
        context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(30));
    }

    static void fill_node(envoy::config::core::v3::Node* node) {
        node->set_id("peer");
        node->mutable_locality()->set_zone("samrong");
        (*node->mutable_metadata()->mutable_fields())["rate"].set_number_value(10);
    }

    std::unique_ptr<Child> registry;
    std::unique_ptr<Child> governor;
    std::shared_ptr<grpc::Channel> channel;
    grpc::ClientContext context;
};

// A client of another implementation must get clusters, assignments, a listener and routes that are
// consistent with each other, and a gRPC status when the control plane shuts down.
TEST_F(GrpcPeer, IsServedByAds) {
    const auto stub = discovery::AggregatedDiscoveryService::NewStub(channel);
    const auto stream = stub->StreamAggregatedResources(&context);
    const auto send_request = [&](const std::string& type, const std::vector<std::string>& names,
                                  const discovery::DiscoveryResponse* ack) {
        discovery::DiscoveryRequest request;
        if (!ack) {
            fill_node(request.mutable_node());
        }
        request.set_type_url(kTypeUrlPrefix + type);
        for (const auto& name : names) {
            request.add_resource_names(name);
        }
        if (ack) {
            request.set_version_info(ack->version_info());
            request.set_response_nonce(ack->nonce());
        }
        ASSERT_TRUE(stream->Write(request));
    };
    send_request("cluster.v3.Cluster", {}, nullptr);
    send_request("listener.v3.Listener", {}, nullptr);
    std::set<int> ports;
    std::string routes_name;
    std::string routed_cluster;
    std::string cluster;
    bool subscribed_to_endpoints = false;
    bool subscribed_to_routes = false;
    discovery::DiscoveryResponse response;
    while ((ports.empty() || routed_cluster.empty()) && stream->Read(&response)) {
        for (const auto& any : response.resources()) {
            envoy::config::endpoint::v3::ClusterLoadAssignment assignment;
            envoy::config::listener::v3::Listener listener;
            envoy::config::route::v3::RouteConfiguration routes;
            envoy::extensions::filters::network::http_connection_manager::v3::HttpConnectionManager
                manager;
            if (any.UnpackTo(&assignment)) {
                for (const auto& locality : assignment.endpoints()) {
                    for (const auto& endpoint : locality.lb_endpoints()) {
                        ports.insert(static_cast<int>(
                            endpoint.endpoint().address().socket_address().port_value()));
                    }
                }
            } else if (any.UnpackTo(&listener)) {
                ASSERT_TRUE(listener.api_listener().api_listener().UnpackTo(&manager));
                routes_name = manager.rds().route_config_name();
            } else if (any.UnpackTo(&routes)) {
                for (const auto& route : routes.virtual_hosts(0).routes()) {
                    if (route.match().path() == "/invoke/place-job") {
                        routed_cluster = route.route().cluster();
                    }
                }
            } else if (any.type_url() == std::string(kTypeUrlPrefix) + "cluster.v3.Cluster") {
                cluster = any.value().substr(
                    2, static_cast<std::size_t>(any.value()[1]));  // field 1: the name
            }
        }
        const std::string type = response.type_url().substr(std::string(kTypeUrlPrefix).size());
        std::vector<std::string> names;
        if (type == "endpoint.v3.ClusterLoadAssignment") {
            names = {cluster};
        }
        if (type == "route.v3.RouteConfiguration") {
            names = {routes_name};
        }
        send_request(type, names, &response);
        if (!cluster.empty() && !std::exchange(subscribed_to_endpoints, true)) {
            send_request("endpoint.v3.ClusterLoadAssignment", {cluster}, nullptr);
        }
        if (!routes_name.empty() && !std::exchange(subscribed_to_routes, true)) {
            send_request("route.v3.RouteConfiguration", {routes_name}, nullptr);
        }
    }
    EXPECT_FALSE(ports.empty());
    EXPECT_FALSE(cluster.empty());
    EXPECT_EQ(routed_cluster, cluster);
    // After SIGTERM the stream must end with a status, not with a broken connection.
    governor->signal(SIGTERM);
    while (stream->Read(&response)) {}
    const auto status = stream->Finish();
    EXPECT_EQ(status.error_code(), grpc::StatusCode::UNAVAILABLE) << status.error_message();
    EXPECT_EQ(governor->wait(), 0);
}

// A client that opens a load reporting stream must be instructed what to report and how often.
TEST_F(GrpcPeer, GetsReportingInstructionsByLrs) {
    const auto stub = load_stats::LoadReportingService::NewStub(channel);
    const auto stream = stub->StreamLoadStats(&context);
    load_stats::LoadStatsRequest request;
    fill_node(request.mutable_node());
    ASSERT_TRUE(stream->Write(request));
    load_stats::LoadStatsResponse response;
    ASSERT_TRUE(stream->Read(&response));
    EXPECT_TRUE(response.send_all_clusters());
    EXPECT_TRUE(response.report_endpoint_granularity());
    EXPECT_EQ(response.load_reporting_interval().seconds(), 2);
    EXPECT_TRUE(stream->WritesDone());
    EXPECT_TRUE(stream->Finish().ok());
}

// A client opens a stream without a node id, and calls a method that is not served. Both must end
// with a gRPC status, not with a broken connection.
TEST_F(GrpcPeer, IsRefusedWithAStatusForInvalidRequests) {
    const auto stub = discovery::AggregatedDiscoveryService::NewStub(channel);
    {
        const auto stream = stub->StreamAggregatedResources(&context);
        discovery::DiscoveryRequest request;
        request.set_type_url(std::string(kTypeUrlPrefix) + "cluster.v3.Cluster");
        ASSERT_TRUE(stream->Write(request));
        discovery::DiscoveryResponse response;
        EXPECT_FALSE(stream->Read(&response));
        EXPECT_EQ(stream->Finish().error_code(), grpc::StatusCode::INVALID_ARGUMENT);
    }
    grpc::ClientContext second;
    const auto delta = stub->DeltaAggregatedResources(&second);
    EXPECT_EQ(delta->Finish().error_code(), grpc::StatusCode::UNIMPLEMENTED);
}

}  // namespace
}  // namespace badgergrade::test
