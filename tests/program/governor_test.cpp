// XdsServer on real sockets with a fake registry: the tables that proxies get, and faults of
// discovery streams, of the registry's lists and of connections that carry invalid bytes.
#include <sys/resource.h>

#include "support.h"
#include "xds_server/endpoint_list_validator.h"

namespace badgergrade::test {
namespace {

TEST(XdsServer, SendsProxiesTheirTables) {
    InstanceFixture fixture;
    fixture.list_four_servers();
    fixture.start();
    TestProxy proxy(fixture, "f1");
    TestProxy second_proxy(fixture, "f2", "south");
    proxy.connect();
    second_proxy.connect();
    fixture.run(3s);
    EXPECT_FALSE(proxy.ports("look").empty());
    EXPECT_EQ(proxy.ports("look"), proxy.ports("order"));
    EXPECT_EQ(fixture.logged("proxy.connected"), 2);
    EXPECT_EQ(fixture.logged("endpoints.updated"), 1);
}

// One server is removed from the registry and another one starts draining. Both must be removed
// from the tables of all proxies, and no table may become empty.
TEST(XdsServer, RemovesLostServersFromEveryTable) {
    InstanceFixture fixture;
    fixture.list_four_servers();
    fixture.start();
    TestProxy proxy(fixture, "f1");
    TestProxy second_proxy(fixture, "f2", "south");
    proxy.connect();
    second_proxy.connect();
    fixture.run(3s);
    fixture.registry->remove("a");
    fixture.list_server("c", "south", 9003, ServerState::Draining);
    fixture.run(2s);
    for (const auto* connected_proxy : {&proxy, &second_proxy}) {
        for (const int port : connected_proxy->ports("look")) {
            EXPECT_TRUE(port == 9002 || port == 9004) << port;
        }
    }
    EXPECT_FALSE(proxy.ports("look").empty());
    EXPECT_FALSE(second_proxy.ports("look").empty());
}

// A proxy rejects responses (NACK) for a while. The rejection must be logged, the proxy must keep
// its table, and the update must not count as applied. Once the proxy accepts responses again, its
// tables must agree with the registry.
TEST(XdsServer, ARejectedVersionIsNotApplied) {
    InstanceFixture fixture;
    fixture.list_four_servers();
    fixture.start();
    TestProxy proxy(fixture, "f1");
    bool rejects_responses = false;
    proxy.ads.response_check = [&](const xds::AdsClient::Response&) {
        return rejects_responses ? std::string("not today") : std::string();
    };
    proxy.connect();
    fixture.run(3s);
    const auto before = proxy.ports("look");
    rejects_responses = true;
    fixture.registry->remove("b");
    fixture.run(1s);
    EXPECT_GE(fixture.logged("version.rejected"), 1);
    EXPECT_EQ(proxy.ports("look"), before);
    // The next version of the same table is accepted.
    rejects_responses = false;
    fixture.registry->remove("c");
    fixture.run(4s);
    for (const int port : proxy.ports("look")) {
        EXPECT_TRUE(port == 9001 || port == 9004) << port;
    }
}

// A proxy sends an ACK with a nonce that was never issued. The request must be logged and ignored,
// the stream must stay open, and later updates must still arrive.
TEST(XdsServer, AnAckWithAStaleNonceIsIgnored) {
    ConnectedFixture connected;
    auto& [fixture, proxy] = connected;
    fixture.run(2s);
    xds::AdsClient::Request stale;
    stale.set_type_url(std::string(xds::type_url(xds::ResourceType::Endpoints)));
    stale.set_response_nonce("no-such-nonce");
    stale.set_version_info("whatever");
    proxy.send(stale);
    fixture.run(100ms);
    EXPECT_EQ(fixture.logged("request.ignored"), 1);
    EXPECT_TRUE(proxy.call_end.empty());
    fixture.registry->remove("a");
    fixture.run(2s);
    for (const int port : proxy.ports("look")) {
        EXPECT_NE(port, 9001);
    }
}

// A second stream gives the same node id, as after a reconnect over a broken network path. The
// older stream must be ended with a reason, and the newer one must be served.
TEST(XdsServer, ANewerStreamOfANodeReplacesTheOlderOne) {
    InstanceFixture fixture;
    fixture.list_four_servers();
    fixture.start();
    TestProxy older(fixture, "same");
    TestProxy newer(fixture, "same");
    older.connect();
    fixture.run(1s);
    newer.connect();
    fixture.run(2s);
    EXPECT_NE(older.call_end.find("newer stream"), std::string::npos) << older.call_end;
    EXPECT_TRUE(newer.call_end.empty()) << newer.call_end;
    EXPECT_FALSE(newer.ports("look").empty());
    EXPECT_EQ(fixture.logged("stream.replaced"), 1);
}

// A stream ends between a response and its ACK. After a reconnect the proxy must get all its
// resources again.
TEST(XdsServer, AStreamThatEndsBeforeItsAckIsServedAgain) {
    InstanceFixture fixture;
    fixture.list_four_servers();
    fixture.start();
    TestProxy proxy(fixture, "f1");
    proxy.sends_no_answers = true;
    proxy.connect();
    fixture.run(2s);
    ASSERT_FALSE(proxy.responses.empty());
    proxy.close();
    fixture.run(100ms);
    EXPECT_EQ(fixture.logged("proxy.disconnected"), 1);
    TestProxy reconnected_proxy(fixture, "f1");
    reconnected_proxy.connect();
    fixture.run(2s);
    EXPECT_FALSE(reconnected_proxy.ports("look").empty());
}

// The control plane process dies while it sends an update, and is restarted. Meanwhile the proxy
// must keep its tables. It must have a server to choose at every moment, and must then get the
// tables of the new incarnation.
TEST(XdsServer, AProxyKeepsItsTablesWhileTheControlPlaneRestarts) {
    ConnectedFixture connected;
    auto& [fixture, proxy] = connected;
    fixture.run(3s);
    const auto before = proxy.ports("look");
    fixture.registry->remove("a");
    fixture.run(1ms);
    fixture.server.reset();
    fixture.run(1s);
    EXPECT_FALSE(proxy.connection_end.empty());
    EXPECT_EQ(proxy.ports("look"), before);
    fixture.start("2");
    proxy.connect();
    fixture.run(20ms);
    EXPECT_FALSE(proxy.ports("look").empty())
        << "no server to choose after the clusters of the new incarnation";
    fixture.run(3s);
    for (const int port : proxy.ports("look")) {
        EXPECT_NE(port, 9001);
    }
    EXPECT_FALSE(proxy.ports("look").empty());
}

// A proxy stops reading, so that its responses queue up in memory. Its connection must be closed
// when the limit of queued bytes is reached. Other proxies must not be affected.
TEST(XdsServer, AProxyThatStopsReadingIsDisconnected) {
    InstanceFixture fixture(settings("[log]\nlevel = debug\n"),
                            false);  // real clock, as the kernel's socket buffers take part
    fixture.config.max_queued_bytes_per_stream = 32768;
    fixture.config.keepalive_interval = 0us;
    for (int k = 0; k < 400; ++k) {
        fixture.list_server("s" + std::to_string(k), k % 2 ? "north" : "south", 10000 + k);
    }
    fixture.start();
    TestProxy healthy_proxy(fixture, "good");
    TestProxy stalled_proxy(fixture, "stuck", "south");
    healthy_proxy.connect();
    stalled_proxy.connect();
    fixture.run(300ms);
    ASSERT_TRUE(stalled_proxy.stream);
    // Once the proxy's flow control window is used up, responses queue up in the control plane.
    stalled_proxy.stream->pause_reading();
    for (int round = 0; round < 400 && fixture.logged("connection.ended") == 0; ++round) {
        for (int k = 0; k < 8; ++k) {
            fixture.list_server("s" + std::to_string((round * 8 + k) % 400),
                                k % 2 ? "south" : "north", 20000 + round * 8 + k);
        }
        fixture.run(20ms);
    }
    EXPECT_GE(fixture.logged("connection.ended"), 1);
    EXPECT_EQ(fixture.logged("proxy.disconnected"), 1);
    EXPECT_TRUE(healthy_proxy.connection_end.empty()) << healthy_proxy.connection_end;
    EXPECT_FALSE(healthy_proxy.ports("look").empty());
}

// A proxy disappears without closing its connection (half-open connection). The unanswered
// keepalive ping must end the connection and the session.
TEST(XdsServer, AHalfOpenConnectionIsDetected) {
    ConnectedFixture connected;
    auto& [fixture, proxy] = connected;
    fixture.run(1s);
    proxy.stream->pause_reading();  // no longer answers pings
    fixture.run(10s);
    EXPECT_EQ(fixture.logged("proxy.disconnected"), 1);
    EXPECT_EQ(fixture.logged("connection.ended"), 1);
}

// Failure: each of many connections with invalid bytes writes a log line, and fills the disk.
TEST(XdsServer, ManyInvalidConnectionsWriteFewLogLines) {
    InstanceFixture fixture;
    fixture.start();
    std::vector<std::unique_ptr<net::Dial>> dials;
    std::vector<net::StreamPtr> peers;
    for (int k = 0; k < 50; ++k) {
        dials.push_back(std::make_unique<net::Dial>(
            *fixture.loop, base::ActorId{200}, "bad", fixture.server->address(), 1s,
            [&](net::StreamPtr stream, const std::string&) {
                peers.push_back(std::move(stream));
                peers.back()->send("this is neither HTTP/1.1 nor HTTP/2, but long enough");
            }));
    }
    fixture.run(500ms);
    ASSERT_EQ(peers.size(), 50u);
    EXPECT_GE(fixture.logged("connection.ended"), 1);
    EXPECT_LE(fixture.logged("connection.ended"), 3);
    for (const net::StreamPtr& peer : peers) {
        peer->close(true);
    }
}

struct InvalidBytes {
    const char* name;
    std::string bytes;
    /// How often the bytes are sent.
    int repeat_count = 1;
};

class InvalidBytesOnXds : public testing::TestWithParam<int> {};

std::vector<InvalidBytes> invalid_bytes() {
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const std::string settings_frame("\0\0\0\4\0\0\0\0\0", 9);
    std::string oversized("\xff\xff\xff\0\0\0\0\0\1", 9);
    return {{"neither HTTP/1.1 nor HTTP/2", "\x16\x03\x01 hello, is this TLS?", 50},
            {"HTTP/1.1", "GET / HTTP/1.1\r\nhost: x\r\n\r\n"},
            {"an oversized frame", preface + settings_frame + oversized},
            {"a settings flood", preface + std::string(settings_frame) +
                                     [] {
                                         std::string flood;
                                         for (int k = 0; k < 2000; ++k) {
                                             flood += std::string("\0\0\0\4\0\0\0\0\0", 9);
                                         }
                                         return flood;
                                     }()},
            {"endless headers", preface + settings_frame +
                                    [] {
                                        std::string out;
                                        // HEADERS without END_HEADERS, then many
                                        // CONTINUATION frames.
                                        const std::string block(16000, '\0');
                                        out += std::string("\0\x3e\x80\1\0\0\0\0\1", 9) + block;
                                        for (int k = 0; k < 60; ++k) {
                                            out +=
                                                std::string("\0\x3e\x80\x09\0\0\0\0\1", 9) + block;
                                        }
                                        return out;
                                    }()},
            {"zeros", std::string(100000, '\0')}};
}

// A peer sends bytes that are not HTTP/2 or violate its limits. The connection must be closed and
// logged once. Another proxy must keep its stream and get its updates.
TEST_P(InvalidBytesOnXds, CloseTheConnectionAndAffectNothingElse) {
    InstanceFixture fixture;
    fixture.list_four_servers();
    fixture.start();
    TestProxy healthy_proxy(fixture, "good");
    healthy_proxy.connect();
    fixture.run(1s);
    const InvalidBytes invalid_bytes_case = invalid_bytes()[static_cast<std::size_t>(GetParam())];
    std::string connection_end;
    net::StreamPtr invalid_peer;
    net::Dial dial(*fixture.loop, base::ActorId{200}, "bad", fixture.server->address(), 1s,
                   [&](net::StreamPtr s, const std::string&) {
                       invalid_peer = s;
                       invalid_peer->on_end = [&](std::string reason) {
                           connection_end = reason;
                       };
                       for (int k = 0; k < invalid_bytes_case.repeat_count; ++k) {
                           invalid_peer->send(invalid_bytes_case.bytes);
                       }
                   });
    fixture.run(2s);
    EXPECT_FALSE(connection_end.empty())
        << invalid_bytes_case.name << ": the connection is still open";
    EXPECT_EQ(fixture.logged("connection.ended"), 1) << invalid_bytes_case.name;
    EXPECT_TRUE(healthy_proxy.connection_end.empty()) << invalid_bytes_case.name;
    invalid_peer->close(true);
    fixture.registry->remove("a");
    fixture.run(2s);
    for (const int port : healthy_proxy.ports("look")) {
        EXPECT_NE(port, 9001) << invalid_bytes_case.name;
    }
}

INSTANTIATE_TEST_SUITE_P(Kinds, InvalidBytesOnXds, testing::Range(0, 6));

// A proxy sends a message that is not valid protobuf. The stream must end with a status that says
// so, and the session must end.
TEST(XdsServer, MalformedProtobufEndsTheStreamAndIsLogged) {
    ConnectedFixture connected;
    auto& [fixture, proxy] = connected;
    fixture.run(1s);
    proxy.call->send("\xff\xff\xff not a message");
    fixture.run(100ms);
    EXPECT_EQ(fixture.logged("stream.malformed"), 1);
    EXPECT_NE(proxy.call_end.find("malformed DiscoveryRequest"), std::string::npos)
        << proxy.call_end;
    EXPECT_EQ(fixture.logged("proxy.disconnected"), 1);
}

// A proxy sends a message above the size limit. The stream must end with a status that names the
// size, so that no message can use up the memory.
TEST(XdsServer, AnOversizedMessageEndsTheStream) {
    InstanceFixture fixture;
    fixture.start();
    TestProxy proxy(fixture, "f1");
    proxy.connect();
    fixture.run(1s);
    proxy.call->send(std::string(70000, 'x'));
    fixture.run(100ms);
    EXPECT_NE(proxy.call_end.find("70000 bytes"), std::string::npos) << proxy.call_end;
}

// A proxy gives no node id, so that its session can't be distinguished from others. The stream must
// be refused with a status that names the missing field.
TEST(XdsServer, ANodeWithoutAnIdIsRefused) {
    InstanceFixture fixture;
    fixture.start();
    TestProxy proxy(fixture, "");
    proxy.connect();
    fixture.run(1s);
    EXPECT_EQ(fixture.logged("stream.refused"), 1);
    EXPECT_NE(proxy.call_end.find("field \"node.id\""), std::string::npos) << proxy.call_end;
}

// A slow network delivers a request byte by byte. The request must be handled like any other.
TEST(XdsServer, ARequestThatArrivesByteByByteIsServed) {
    InstanceFixture fixture;
    fixture.list_four_servers();
    fixture.start();
    net::Http2Session client(net::Http2Session::Role::Client, {});
    const auto id = client.open({{":method", "POST"},
                                 {":scheme", "http"},
                                 {":path", std::string(xds::kAdsMethod)},
                                 {":authority", "g"},
                                 {"content-type", "application/grpc"},
                                 {"te", "trailers"}});
    xds::AdsClient ads(TestProxy::node("slow", "north"));
    for (const auto& request : ads.start()) {
        client.send(id, net::grpc_frame(request.SerializeAsString()));
    }
    const std::string bytes = client.output();
    net::StreamPtr stream;
    net::Dial dial(*fixture.loop, base::ActorId{200}, "slow", fixture.server->address(), 1s,
                   [&](net::StreamPtr s, const std::string&) { stream = s; });
    fixture.run(10ms);
    ASSERT_TRUE(stream);
    for (const char c : bytes) {
        stream->send(std::string(1, c));
        fixture.run(3ms);
    }
    EXPECT_EQ(fixture.logged("proxy.connected"), 1);
    stream->close(true);
}

// 200 proxies connect at the same time, for example after a restart of the control plane. All must
// be served, and the number of queued lines must never exceed the limit of the settings.
TEST(XdsServer, ManyProxiesConnectingAtOnceKeepTheLineLimit) {
    auto config = settings();
    config.settings.proxy_count = 200;
    config.settings.max_queued_lines = 250;
    config.settings.channel_lines_per_second = 1000;
    InstanceFixture fixture(config);
    for (int k = 0; k < 40; ++k) {
        fixture.list_server("s" + std::to_string(k), k % 2 ? "north" : "south", 10000 + k);
    }
    fixture.start();
    std::vector<std::unique_ptr<TestProxy>> proxies;
    for (int k = 0; k < 200; ++k) {
        proxies.push_back(std::make_unique<TestProxy>(fixture, "f" + std::to_string(k),
                                                      k % 2 ? "north" : "south"));
        proxies.back()->connect();
    }
    fixture.run(40s);
    int served = 0;
    for (const auto& connected_proxy : proxies) {
        served += !connected_proxy->ports("look").empty();
    }
    EXPECT_EQ(served, 200);
    EXPECT_LE(fixture.server->metrics().send_queue.max_queued_lines, 250);
    EXPECT_GT(fixture.server->metrics().send_queue.max_queued_lines, 100)
        << "the test never came near the limit";
}

// ---- faults of the registry

// The registry restarts without its data and serves an empty list. The list must be rejected,
// tables must not change, and the next list with servers must be accepted.
TEST(Registry, AnEmptyListAfterAFullOneIsRejected) {
    ConnectedFixture connected;
    auto& [fixture, proxy] = connected;
    fixture.run(2s);
    const auto before = proxy.ports("look");
    fixture.registry->restart(false);
    fixture.run(5s);
    EXPECT_GE(fixture.logged("endpoints.watch_failed"), 1);
    EXPECT_EQ(proxy.ports("look"), before);
    // The next list with servers is accepted.
    fixture.list_server("x", "north", 9100);
    fixture.list_server("y", "south", 9101);
    fixture.run(12s);
    for (const int port : proxy.ports("look")) {
        EXPECT_TRUE(port == 9100 || port == 9101) << port;
    }
    EXPECT_FALSE(proxy.ports("look").empty());
}

// The registry falls back to an old copy of its data, so that the index of the list decreases. The
// list must be rejected and the rejection logged.
TEST(Registry, AnOlderListIsRejected) {
    InstanceFixture fixture;
    fixture.list_four_servers();
    fixture.start();
    fixture.run(1s);
    const int updates = fixture.logged("endpoints.updated");
    fixture.registry->rewind_index(3);
    fixture.run(3s);
    EXPECT_EQ(fixture.logged("endpoints.updated"), updates);
    EXPECT_GE(fixture.logged("endpoints.watch_failed"), 1);
}

// The registry hangs and afterwards responds with invalid JSON. Both must be logged and retried,
// the last list must stay valid, and the next valid list must be accepted.
TEST(Registry, AHungRegistryIsRetriedAndInvalidResponsesChangeNothing) {
    InstanceFixture fixture;
    fixture.list_four_servers();
    fixture.start();
    fixture.run(1s);
    fixture.registry->set_hanging(true);
    fixture.run(8s);
    EXPECT_GE(fixture.logged("endpoints.watch_failed"), 1);
    fixture.registry->set_hanging(false);
    fixture.registry->malformed_response = "{\"registry\": 7";
    fixture.list_server("e", "north", 9005);
    fixture.run(4s);
    const int updates = fixture.logged("endpoints.updated");
    fixture.registry->malformed_response.clear();
    fixture.run(10s);
    EXPECT_EQ(fixture.logged("endpoints.updated"), updates + 1);
}

// The registry suddenly loses most of its servers. Such a list must be confirmed by a second
// response. Older and empty lists must be rejected, and the index of a new incarnation of the
// registry may start again.
TEST(EndpointListValidator, ConfirmsASuddenLossOnce) {
    xds_server::EndpointListValidator validator(config::EmptyListPolicy::Refuse, 0.5);
    using Decision = xds_server::EndpointListValidator::Decision;
    EXPECT_EQ(validator.validate({"r", 5, 10}).decision, Decision::Accept);
    EXPECT_EQ(validator.validate({"r", 5, 10}).decision, Decision::Unchanged);
    EXPECT_EQ(validator.validate({"r", 4, 10}).decision, Decision::Reject);
    EXPECT_EQ(validator.validate({"r", 6, 0}).decision, Decision::Reject);
    EXPECT_EQ(validator.validate({"r", 7, 3}).decision, Decision::Confirm);
    EXPECT_EQ(validator.validate({"r", 7, 3}).decision, Decision::Accept);
    EXPECT_EQ(validator.validate({"other", 1, 9}).decision, Decision::Accept);
}

// The registry sends an invalid list. It must be rejected as a whole, with a message that names the
// invalid field or value.
TEST(Registry, ParsesListsAndNamesInvalidFields) {
    const auto list = xds_server::parse_server_list(
        R"({"registry":"r","index":3,"servers":[{"id":"a","zone":"z","address":"127.0.0.1:80","age_ms":1.5,"weight":2}]})");
    EXPECT_EQ(list.servers.at(0).age, 1500us);
    const std::pair<const char*, const char*> invalid_lists[] = {
        {"{", "malformed server list"},
        {R"({"registry":"r","index":3})", "servers"},
        {R"({"registry":"r","index":3,"servers":[{"id":"a","address":"nowhere"}]})", "no port"},
        {R"({"registry":"r","index":3,"servers":[{"id":"a","address":"1.2.3.4:5","weight":0}]})",
         "weight"},
        {R"({"registry":"r","index":3,"servers":[{"id":"a","address":"1.2.3.4:5","state":"odd"}]})",
         "odd"},
        {R"({"registry":"r","index":-1,"servers":[{"id":"a","address":"1.2.3.4:5"},{"id":"a","address":"1.2.3.4:5"}]})",
         "twice"},
    };
    for (const auto& [text, reason] : invalid_lists) {
        try {
            xds_server::parse_server_list(text);
            ADD_FAILURE() << text;
        } catch (const xds_server::InvalidServerList& error) {
            EXPECT_NE(std::string(error.what()).find(reason), std::string::npos) << error.what();
        }
    }
}

// The process runs out of file descriptors. New connections must wait, existing ones must not be
// affected, and connections must be accepted again once descriptors are free.
TEST(XdsServer, KeepsServingWithoutFreeFileDescriptors) {
    InstanceFixture fixture(settings(), false);
    fixture.list_four_servers();
    fixture.start();
    TestProxy healthy_proxy(fixture, "good");
    healthy_proxy.connect();
    fixture.run(200ms);
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    int free_descriptor = dup(0);
    close(free_descriptor);
    // One descriptor is left for the proxy's socket, and none for the accepted one.
    rlimit reduced{static_cast<rlim_t>(free_descriptor) + 1, before.rlim_max};
    TestProxy late_proxy(fixture, "late", "south");
    setrlimit(RLIMIT_NOFILE, &reduced);
    late_proxy.connect();
    fixture.run(300ms);
    EXPECT_EQ(fixture.logged("proxy.connected"), 1);
    setrlimit(RLIMIT_NOFILE, &before);
    fixture.run(500ms);
    EXPECT_EQ(fixture.logged("proxy.connected"), 2);
    EXPECT_TRUE(healthy_proxy.connection_end.empty());
    EXPECT_GE(fixture.logged("descriptors.none"), 1);
}

}  // namespace
}  // namespace badgergrade::test
