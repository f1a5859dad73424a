// Fixtures of the tests of XdsServer: settings, a control plane instance with a fake registry on
// the virtual clock, and a proxy's discovery stream.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/instance_config.h"
#include "net/grpc.h"
#include "testbed/fake_registry.h"
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

inline config::InstanceConfig settings(const std::string& extra_text = {}) {
    std::vector<config::ConfigError> errors;
    auto file = config::IniFile::parse("test.ini", std::string(kSettings) + extra_text, errors);
    auto config = config::read_instance_config(file, errors);
    for (const auto& error : errors) {
        ADD_FAILURE() << config::to_text(error);
    }
    config.xds_address = "127.0.0.1:0";
    return config;
}

// A control plane instance and its registry on one event loop. The clock is virtual unless
// `is_virtual` is false.
struct InstanceFixture {
    explicit InstanceFixture(config::InstanceConfig base_config = settings(),
                             bool is_virtual = true)
        : loop(is_virtual ? std::make_unique<net::Loop>(1000s) : std::make_unique<net::Loop>()),
          config(std::move(base_config)) {
        loop->keeps_ledger = true;
        log = std::make_unique<log::Log>(
            loop->clock(), log::Level::Debug, log::Form::Json,
            [this](const std::string& line) { log_lines.push_back(line); });
        registry = std::make_unique<testbed::FakeRegistry>(*loop, base::ActorId{3}, "registry",
                                                           net::Address{}, nullptr);
        config.registry_address = net::to_text(registry->address());
    }

    // Lists a server at 127.0.0.1:`port`, or changes its entry.
    void list_server(const std::string& id, const std::string& zone, int port,
                     ServerState state = ServerState::Ready) {
        testbed::FakeRegistry::Entry entry;
        entry.server.id = id;
        entry.server.zone = zone;
        entry.server.incarnation = "1";
        entry.server.state = state;
        entry.server.address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
        registry->put(entry);
    }

    void list_four_servers() {
        list_server("a", "north", 9001);
        list_server("b", "north", 9002);
        list_server("c", "south", 9003);
        list_server("d", "south", 9004);
    }

    void start(const std::string& incarnation = "1") {
        server = std::make_unique<xds_server::XdsServer>(*loop, base::ActorId{10}, config, *log,
                                                         incarnation);
    }

    void run(base::Micros time) { loop->run_until(loop->clock().now() + time); }

    // Number of log lines that were written for an event.
    int logged(const std::string& event) const {
        int count = 0;
        for (const auto& line : log_lines) {
            count += line.find(R"("event":")" + event + "\"") != std::string::npos;
        }
        return count;
    }

    std::unique_ptr<net::Loop> loop;
    config::InstanceConfig config;
    std::vector<std::string> log_lines;
    std::unique_ptr<log::Log> log;
    std::unique_ptr<testbed::FakeRegistry> registry;
    std::unique_ptr<xds_server::XdsServer> server;
};

// A proxy's connection and discovery stream, controlled by the test.
struct TestProxy {
    TestProxy(InstanceFixture& instance, const std::string& name, const std::string& zone = "north")
        : fixture(instance),
          ads(node(name, zone)) {}

    ~TestProxy() { close(); }

    static envoy::config::core::v3::Node node(const std::string& name, const std::string& zone) {
        envoy::config::core::v3::Node out;
        out.set_id(name);
        out.mutable_locality()->set_zone(zone);
        (*out.mutable_metadata()->mutable_fields())["rate"].set_number_value(5);
        return out;
    }

    void connect() {
        dial = std::make_unique<net::Dial>(
            *fixture.loop, base::ActorId{100}, "peer", fixture.server->address(), 1s,
            [this](net::StreamPtr opened, const std::string& reason) {
                ASSERT_TRUE(opened) << reason;
                stream = opened;
                connection = std::make_shared<net::GrpcConnection>(
                    *fixture.loop, base::ActorId{100}, net::Http2Session::Role::Client, opened,
                    net::GrpcLimits{});
                connection->start();
                connection->on_closed = [this](std::string reason) {
                    connection_end = reason.empty() ? "closed" : reason;
                };
                call = connection->call(std::string(xds::kAdsMethod));
                call->on_message = [this](std::string_view bytes) {
                    on_message(bytes);
                };
                call->on_closed = [this](std::string reason) {
                    call_end = reason.empty() ? "ended" : reason;
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
        if (sends_no_answers) {
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
        for (const auto& endpoint : table->second.endpoints) {
            if (!endpoint.draining) {
                out.push_back(endpoint.address.port);
            }
        }
        std::sort(out.begin(), out.end());
        return out;
    }

    InstanceFixture& fixture;
    xds::AdsClient ads;
    std::unique_ptr<net::Dial> dial;
    net::StreamPtr stream;
    net::GrpcConnectionPtr connection;
    net::GrpcCallPtr call;
    std::vector<xds::AdsClient::Response> responses;
    // Why the connection ended; empty while it is open.
    std::string connection_end;
    // Why the stream ended; empty while it is open.
    std::string call_end;
    // The proxy reads responses but sends neither ACK nor NACK.
    bool sends_no_answers = false;
};

// An instance with four listed servers and one proxy that connects to it.
struct ConnectedFixture {
    ConnectedFixture() {
        fixture.list_four_servers();
        fixture.start();
        proxy.connect();
    }

    InstanceFixture fixture;
    TestProxy proxy{fixture, "f1"};
};

}  // namespace badgergrade::test
