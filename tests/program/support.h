// Shared by the tests of the program: settings, a control plane instance with its registry on the
// virtual clock, and a proxy's discovery stream.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/instance_config.h"
#include "net/grpc.h"
#include "testbed/registry.h"
#include "xds/ads_client.h"
#include "xds_server/xds_server.h"

namespace badgergrade::test {

using namespace std::chrono_literals;

inline const char* const kSettings = R"([governor]
zones = north, south
[operation.look]
latency_objective = 500 ms
integration_timeout = 2 s
effect = idempotent
[operation.order]
latency_objective = 1 s
integration_timeout = 3 s
effect = side-effecting
billed_value = 3
[forwarders]
count = 4
pick = weighted
[reports]
period = 500 ms
[channel]
lines_per_second = 10000
lines_waiting_most = 10000
[servers]
cold_time = 5 s
[registry]
wait = 2 s
timeout = 1 s
[xds]
waiting_bytes = 65536
keepalive = 2 s
message_bytes = 65536
)";

inline config::InstanceConfig settings(const std::string& more = {}) {
    std::vector<config::ConfigError> mistakes;
    auto file = config::IniFile::parse("test.ini", std::string(kSettings) + more, mistakes);
    auto config = config::read_instance_config(file, mistakes);
    for (const auto& mistake : mistakes) {
        ADD_FAILURE() << config::to_text(mistake);
    }
    config.xds_address = "127.0.0.1:0";
    return config;
}

// A control plane instance with its registry, on the virtual clock unless told otherwise.
struct Stage {
    explicit Stage(config::InstanceConfig from = settings(), bool is_virtual = true)
        : loop(is_virtual ? std::make_unique<net::Loop>(1000s) : std::make_unique<net::Loop>()),
          config(std::move(from)) {
        loop->keeps_ledger = true;
        log =
            std::make_unique<log::Log>(loop->clock(), log::Level::Debug, log::Form::Json,
                                       [this](const std::string& line) { lines.push_back(line); });
        registry = std::make_unique<testbed::Registry>(*loop, base::ActorId{3}, "registry",
                                                       net::Address{}, nullptr);
        config.registry_address = net::to_text(registry->address());
    }

    void list(const std::string& id, const std::string& zone, int port,
              ServerState state = ServerState::Ready) {
        testbed::Registry::Row row;
        row.server.id = id;
        row.server.zone = zone;
        row.server.incarnation = "1";
        row.server.state = state;
        row.server.address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
        registry->put(row);
    }

    void list_four() {
        list("a", "north", 9001);
        list("b", "north", 9002);
        list("c", "south", 9003);
        list("d", "south", 9004);
    }

    void start(const std::string& incarnation = "1") {
        service = std::make_unique<xds_server::XdsServer>(*loop, base::ActorId{10}, config, *log,
                                                          incarnation);
    }

    void run(base::Micros time) { loop->run_until(loop->clock().now() + time); }

    // How many log lines of this event were written.
    int logged(const std::string& event) const {
        int n = 0;
        for (const auto& line : lines) {
            n += line.find(R"("event":")" + event + "\"") != std::string::npos;
        }
        return n;
    }

    std::unique_ptr<net::Loop> loop;
    config::InstanceConfig config;
    std::vector<std::string> lines;
    std::unique_ptr<log::Log> log;
    std::unique_ptr<testbed::Registry> registry;
    std::unique_ptr<xds_server::XdsServer> service;
};

// One proxy's discovery stream, controlled by the test.
struct Peer {
    Peer(Stage& s, const std::string& name, const std::string& zone = "north")
        : stage(s),
          ads(node(name, zone)) {}

    ~Peer() { close(); }

    static envoy::config::core::v3::Node node(const std::string& name, const std::string& zone) {
        envoy::config::core::v3::Node out;
        out.set_id(name);
        out.mutable_locality()->set_zone(zone);
        (*out.mutable_metadata()->mutable_fields())["rate"].set_number_value(5);
        return out;
    }

    void dial() {
        dialling = std::make_unique<net::Dial>(
            *stage.loop, base::ActorId{100}, "peer", stage.service->address(), 1s,
            [this](net::StreamPtr s, const std::string& why) {
                ASSERT_TRUE(s) << why;
                stream = s;
                connection = std::make_shared<net::GrpcConnection>(*stage.loop, base::ActorId{100},
                                                                   net::Http2Session::Role::Client,
                                                                   s, net::GrpcLimits{});
                connection->start();
                connection->on_closed = [this](std::string w) {
                    ended = w.empty() ? "closed" : w;
                };
                call = connection->call(std::string(xds::kAdsMethod));
                call->on_message = [this](std::string_view bytes) {
                    on_message(bytes);
                };
                call->on_closed = [this](std::string w) {
                    call_ended = w.empty() ? "ended" : w;
                };
                for (const auto& request : ads.start()) {
                    send(request);
                }
            });
    }

    void send(const xds::AdsClient::Request& request) { call->send(request.SerializeAsString()); }

    void on_message(std::string_view bytes) {
        xds::AdsClient::Response response;
        ASSERT_TRUE(response.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
        responses.push_back(response);
        if (answers_nothing) {
            return;
        }
        const auto outcome = ads.on_response(response);
        for (const auto& request : outcome.requests) {
            send(request);
        }
    }

    void close() {
        if (call) {
            call->on_closed = {};
            call->on_message = {};
        }
        if (connection) {
            connection->on_closed = {};
            connection->abort("test over");
        }
    }

    // Ports of the servers that this proxy may choose for an operation.
    std::vector<int> ports(const std::string& operation) const {
        std::vector<int> out;
        const auto route = ads.tables().routes.find(xds::operation_path(operation));
        if (route == ads.tables().routes.end()) {
            return out;
        }
        const auto table = ads.tables().clusters.find(route->second.cluster);
        if (table == ads.tables().clusters.end()) {
            return out;
        }
        for (const auto& line : table->second.endpoints) {
            if (!line.draining) {
                out.push_back(line.address.port);
            }
        }
        std::sort(out.begin(), out.end());
        return out;
    }

    Stage& stage;
    xds::AdsClient ads;
    std::unique_ptr<net::Dial> dialling;
    net::StreamPtr stream;
    net::GrpcConnectionPtr connection;
    net::GrpcCallPtr call;
    std::vector<xds::AdsClient::Response> responses;
    std::string ended, call_ended;
    bool answers_nothing = false;
};

// Four servers, a control plane instance and one proxy that connects to it.
struct ConnectedStage {
    ConnectedStage() {
        stage.list_four();
        stage.start();
        one.dial();
    }

    Stage stage;
    Peer one{stage, "f1"};
};

}  // namespace badgergrade::test
