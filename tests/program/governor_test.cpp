// A control plane instance on sockets: what a proxy sees, and the failures of streams, of the
// registry's lists and of connections with invalid bytes.
#include <sys/resource.h>

#include "support.h"
#include "xds_server/endpoint_list_validator.h"

namespace badgergrade::test {
namespace {

TEST(Governor, SendsProxiesTheirTables) {
    Stage stage;
    stage.list_four();
    stage.start();
    Peer one(stage, "f1");
    Peer two(stage, "f2", "south");
    one.dial();
    two.dial();
    stage.run(3s);
    EXPECT_FALSE(one.ports("look").empty());
    EXPECT_EQ(one.ports("look"), one.ports("order"));
    EXPECT_EQ(stage.logged("proxy.connected"), 2);
    EXPECT_EQ(stage.logged("endpoints.updated"), 1);
}

// A server leaves the registry, and another one begins to drain. Both must leave the tables of all
// proxies, and no table may become empty.
TEST(Governor, RemovesLostServersFromEveryTable) {
    Stage stage;
    stage.list_four();
    stage.start();
    Peer one(stage, "f1");
    Peer two(stage, "f2", "south");
    one.dial();
    two.dial();
    stage.run(3s);
    stage.registry->remove("a");
    stage.list("c", "south", 9003, ServerState::Draining);
    stage.run(2s);
    for (const auto* peer : {&one, &two}) {
        for (const int port : peer->ports("look")) {
            EXPECT_TRUE(port == 9002 || port == 9004) << port;
        }
    }
    EXPECT_FALSE(one.ports("look").empty());
    EXPECT_FALSE(two.ports("look").empty());
}

// A proxy rejects a response (NACK). The rejection must be logged, the proxy keeps its table, and
// the update must not count as applied. Once the proxy accepts responses again, its tables must
// agree with the registry.
TEST(Governor, ARejectedVersionIsNotApplied) {
    Stage stage;
    stage.list_four();
    stage.start();
    Peer one(stage, "f1");
    bool refuse = false;
    one.ads.response_check = [&](const xds::AdsClient::Response&) {
        return refuse ? std::string("not today") : std::string();
    };
    one.dial();
    stage.run(3s);
    const auto before = one.ports("look");
    refuse = true;
    stage.registry->remove("b");
    stage.run(1s);
    EXPECT_GE(stage.logged("version.rejected"), 1);
    EXPECT_EQ(one.ports("look"), before);
    // The next version of the same table is taken, and the tables agree again.
    refuse = false;
    stage.registry->remove("c");
    stage.run(4s);
    for (const int port : one.ports("look")) {
        EXPECT_TRUE(port == 9001 || port == 9004) << port;
    }
}

// A proxy sends an ACK with a nonce that was never issued. The request must be logged and ignored,
// the stream stays open, and later updates still arrive.
TEST(Governor, AnAckWithAStaleNonceIsIgnored) {
    ConnectedStage connected;
    auto& [stage, one] = connected;
    stage.run(2s);
    xds::AdsClient::Request stale;
    stale.set_type_url(std::string(xds::type_url(xds::ResourceType::Endpoints)));
    stale.set_response_nonce("no-such-nonce");
    stale.set_version_info("whatever");
    one.send(stale);
    stage.run(100ms);
    EXPECT_EQ(stage.logged("request.ignored"), 1);
    EXPECT_TRUE(one.call_ended.empty());
    stage.registry->remove("a");
    stage.run(2s);
    for (const int port : one.ports("look")) {
        EXPECT_NE(port, 9001);
    }
}

// Two streams carry the same node id, as after a reconnect over a broken network path. The older
// stream must be ended with a reason, and the newer one is served.
TEST(Governor, TheNewerOfTwoStreamsOfOneNodeStands) {
    Stage stage;
    stage.list_four();
    stage.start();
    Peer old(stage, "same");
    Peer fresh(stage, "same");
    old.dial();
    stage.run(1s);
    fresh.dial();
    stage.run(2s);
    EXPECT_NE(old.call_ended.find("newer stream"), std::string::npos) << old.call_ended;
    EXPECT_TRUE(fresh.call_ended.empty()) << fresh.call_ended;
    EXPECT_FALSE(fresh.ports("look").empty());
    EXPECT_EQ(stage.logged("stream.replaced"), 1);
}

// A stream ends between a response and its ACK. The proxy connects again and must get everything
// that it needs.
TEST(Governor, AStreamThatEndsBeforeItsAckIsServedAgain) {
    Stage stage;
    stage.list_four();
    stage.start();
    Peer one(stage, "f1");
    one.answers_nothing = true;
    one.dial();
    stage.run(2s);
    ASSERT_FALSE(one.responses.empty());
    one.close();
    stage.run(100ms);
    EXPECT_EQ(stage.logged("proxy.disconnected"), 1);
    Peer again(stage, "f1");
    again.dial();
    stage.run(2s);
    EXPECT_FALSE(again.ports("look").empty());
}

// The control plane dies while an update is half sent, and starts again. The proxy must keep its
// tables in between, must never be without a server to choose, and then gets the tables of the new
// instance.
TEST(Governor, AProxyKeepsItsTablesWhileTheControlPlaneRestarts) {
    ConnectedStage connected;
    auto& [stage, one] = connected;
    stage.run(3s);
    const auto before = one.ports("look");
    stage.registry->remove("a");
    stage.run(1ms);
    stage.service.reset();
    stage.run(1s);
    EXPECT_FALSE(one.ended.empty());
    EXPECT_EQ(one.ports("look"), before);
    stage.start("2");
    one.dial();
    stage.run(20ms);
    EXPECT_FALSE(one.ports("look").empty())
        << "no server to choose while the new instance lists its clusters";
    stage.run(3s);
    for (const int port : one.ports("look")) {
        EXPECT_NE(port, 9001);
    }
    EXPECT_FALSE(one.ports("look").empty());
}

// A proxy stops reading, so that responses for it queue up in memory. Its connection must be ended
// when the limit of queued bytes is reached; other proxies must not be affected.
TEST(Governor, AProxyThatStopsReadingIsDisconnected) {
    Stage stage(settings("[log]\nlevel = debug\n"),
                false);  // real time: the kernel's buffers are part of it
    stage.config.max_queued_bytes_per_stream = 32768;
    stage.config.keepalive_interval = 0us;
    for (int k = 0; k < 400; ++k) {
        stage.list("s" + std::to_string(k), k % 2 ? "north" : "south", 10000 + k);
    }
    stage.start();
    Peer good(stage, "good");
    Peer stuck(stage, "stuck", "south");
    good.dial();
    stuck.dial();
    stage.run(300ms);
    ASSERT_TRUE(stuck.stream);
    // With a small window and no reading, responses queue up in the control plane.
    stuck.stream->pause_reading();
    for (int round = 0; round < 400 && stage.logged("connection.ended") == 0; ++round) {
        for (int k = 0; k < 8; ++k) {
            stage.list("s" + std::to_string((round * 8 + k) % 400), k % 2 ? "south" : "north",
                       20000 + round * 8 + k);
        }
        stage.run(20ms);
    }
    EXPECT_GE(stage.logged("connection.ended"), 1);
    EXPECT_EQ(stage.logged("proxy.disconnected"), 1);
    EXPECT_TRUE(good.ended.empty()) << good.ended;
    EXPECT_FALSE(good.ports("look").empty());
}

// The peer disappears without closing its connection. The unanswered keepalive must end the
// connection and the session.
TEST(Governor, AHalfOpenConnectionIsDetected) {
    ConnectedStage connected;
    auto& [stage, one] = connected;
    stage.run(1s);
    one.stream->pause_reading();  // answers no ping any more
    stage.run(10s);
    EXPECT_EQ(stage.logged("proxy.disconnected"), 1);
    EXPECT_EQ(stage.logged("connection.ended"), 1);
}

struct InvalidBytes {
    const char* name;
    std::string bytes;
    int times = 1;
};

class InvalidBytesOnXds : public testing::TestWithParam<int> {};

std::vector<InvalidBytes> invalid_bytes() {
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const std::string settings_frame("\0\0\0\4\0\0\0\0\0", 9);
    std::string oversized("\xff\xff\xff\0\0\0\0\0\1", 9);
    return {{"no protocol at all", "\x16\x03\x01 hello, is this TLS?", 50},
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
            {"a head without end", preface + settings_frame +
                                       [] {
                                           std::string out;
                                           // HEADERS without END_HEADERS, then CONTINUATION upon
                                           // CONTINUATION.
                                           const std::string block(16000, '\0');
                                           out += std::string("\0\x3e\x80\1\0\0\0\0\1", 9) + block;
                                           for (int k = 0; k < 60; ++k) {
                                               out += std::string("\0\x3e\x80\x09\0\0\0\0\1", 9) +
                                                      block;
                                           }
                                           return out;
                                       }()},
            {"zeros", std::string(100000, '\0')}};
}

// A client sends bytes that are not HTTP/2, or that misuse it. The connection must be closed and
// logged once; another proxy keeps its stream and gets its updates.
TEST_P(InvalidBytesOnXds, CloseTheConnectionAndAffectNothingElse) {
    Stage stage;
    stage.list_four();
    stage.start();
    Peer good(stage, "good");
    good.dial();
    stage.run(1s);
    const InvalidBytes what = invalid_bytes()[static_cast<std::size_t>(GetParam())];
    std::string ended;
    net::StreamPtr bad;
    net::Dial dial(*stage.loop, base::ActorId{200}, "bad", stage.service->address(), 1s,
                   [&](net::StreamPtr s, const std::string&) {
                       bad = s;
                       bad->on_end = [&](std::string why) {
                           ended = why;
                       };
                       for (int k = 0; k < what.times; ++k) {
                           bad->send(what.bytes);
                       }
                   });
    stage.run(2s);
    EXPECT_FALSE(ended.empty()) << what.name << ": the connection stands";
    EXPECT_EQ(stage.logged("connection.ended"), 1) << what.name;
    EXPECT_TRUE(good.ended.empty()) << what.name;
    bad->close(true);
    stage.registry->remove("a");
    stage.run(2s);
    for (const int port : good.ports("look")) {
        EXPECT_NE(port, 9001) << what.name;
    }
}

INSTANTIATE_TEST_SUITE_P(Kinds, InvalidBytesOnXds, testing::Range(0, 6));

// A proxy sends a message that is not valid protobuf. The stream must end with a status that says
// so, and its session ends.
TEST(Governor, MalformedProtobufEndsTheStreamAndIsLogged) {
    ConnectedStage connected;
    auto& [stage, one] = connected;
    stage.run(1s);
    one.call->send("\xff\xff\xff not a message");
    stage.run(100ms);
    EXPECT_EQ(stage.logged("stream.malformed"), 1);
    EXPECT_NE(one.call_ended.find("can't be read"), std::string::npos) << one.call_ended;
    EXPECT_EQ(stage.logged("proxy.disconnected"), 1);
}

// A proxy sends a message above the size limit. The stream must end with a status that names the
// size, before the message fills the memory.
TEST(Governor, AnOversizedMessageEndsTheStream) {
    Stage stage;
    stage.start();
    Peer one(stage, "f1");
    one.dial();
    stage.run(1s);
    one.call->send(std::string(70000, 'x'));
    stage.run(100ms);
    EXPECT_NE(one.call_ended.find("70000 bytes"), std::string::npos) << one.call_ended;
}

// A proxy gives no node id, so that its updates could not be told apart from those of others. The
// stream must be refused with a status that says what is missing.
TEST(Governor, ANodeWithoutAnIdIsRefused) {
    Stage stage;
    stage.start();
    Peer one(stage, "");
    one.dial();
    stage.run(1s);
    EXPECT_EQ(stage.logged("stream.refused"), 1);
    EXPECT_NE(one.call_ended.find("node with an id"), std::string::npos) << one.call_ended;
}

// A slow network delivers a request byte by byte. It must be handled like any other.
TEST(Governor, ARequestThatArrivesByteByByteIsServed) {
    Stage stage;
    stage.list_four();
    stage.start();
    net::Http2Session client(net::Http2Session::Role::Client, {});
    const auto id = client.open({{":method", "POST"},
                                 {":scheme", "http"},
                                 {":path", std::string(xds::kAdsMethod)},
                                 {":authority", "g"},
                                 {"content-type", "application/grpc"},
                                 {"te", "trailers"}});
    xds::AdsClient ads(Peer::node("slow", "north"));
    for (const auto& request : ads.start()) {
        client.send(id, net::grpc_frame(request.SerializeAsString()));
    }
    const std::string bytes = client.output();
    net::StreamPtr stream;
    net::Dial dial(*stage.loop, base::ActorId{200}, "slow", stage.service->address(), 1s,
                   [&](net::StreamPtr s, const std::string&) { stream = s; });
    stage.run(10ms);
    ASSERT_TRUE(stream);
    for (const char c : bytes) {
        stream->send(std::string(1, c));
        stage.run(3ms);
    }
    EXPECT_EQ(stage.logged("proxy.connected"), 1);
    stream->close(true);
}

// 200 proxies connect at once, for example after a restart of the control plane. All must be
// served, and never more lines may be queued than the settings allow.
TEST(Governor, ManyProxiesConnectingAtOnceKeepTheLineLimit) {
    auto config = settings();
    config.settings.proxy_count = 200;
    config.settings.max_queued_lines = 1500;
    config.settings.channel_lines_per_second = 1000;
    Stage stage(config);
    for (int k = 0; k < 40; ++k) {
        stage.list("s" + std::to_string(k), k % 2 ? "north" : "south", 10000 + k);
    }
    stage.start();
    std::vector<std::unique_ptr<Peer>> peers;
    for (int k = 0; k < 200; ++k) {
        peers.push_back(
            std::make_unique<Peer>(stage, "f" + std::to_string(k), k % 2 ? "north" : "south"));
        peers.back()->dial();
    }
    stage.run(40s);
    int served = 0;
    for (const auto& peer : peers) {
        served += !peer->ports("look").empty();
    }
    EXPECT_EQ(served, 200);
    EXPECT_LE(stage.service->metrics().send_queue.max_queued_lines, 1500);
    EXPECT_GT(stage.service->metrics().send_queue.max_queued_lines, 500)
        << "the limit was never near";
}

// ---- failures of the registry

// The registry restarts without its data and serves an empty list. The list must be rejected,
// tables stay as they were, and the next list with servers is followed again.
TEST(Registry, AnEmptyListAfterAFullOneIsRejected) {
    ConnectedStage connected;
    auto& [stage, one] = connected;
    stage.run(2s);
    const auto before = one.ports("look");
    stage.registry->restart(false);
    stage.run(5s);
    EXPECT_GE(stage.logged("endpoints.watch_failed"), 1);
    EXPECT_EQ(one.ports("look"), before);
    // A list that is not empty is accepted again.
    stage.list("x", "north", 9100);
    stage.list("y", "south", 9101);
    stage.run(12s);
    for (const int port : one.ports("look")) {
        EXPECT_TRUE(port == 9100 || port == 9101) << port;
    }
    EXPECT_FALSE(one.ports("look").empty());
}

// The registry falls back to an old copy of its data: the index of the list goes back. The list
// must be rejected and logged.
TEST(Registry, AnOlderListIsRejected) {
    Stage stage;
    stage.list_four();
    stage.start();
    stage.run(1s);
    const int updates = stage.logged("endpoints.updated");
    stage.registry->go_back(3);
    stage.run(3s);
    EXPECT_EQ(stage.logged("endpoints.updated"), updates);
    EXPECT_GE(stage.logged("endpoints.watch_failed"), 1);
}

// The registry hangs, and afterwards answers with invalid JSON. Both must be logged and retried,
// the last list stays in force, and the next valid list is accepted.
TEST(Registry, AHungRegistryIsRetriedAndInvalidAnswersChangeNothing) {
    Stage stage;
    stage.list_four();
    stage.start();
    stage.run(1s);
    stage.registry->hang(true);
    stage.run(8s);
    EXPECT_GE(stage.logged("endpoints.watch_failed"), 1);
    stage.registry->hang(false);
    stage.registry->garbage = "{\"registry\": 7";
    stage.list("e", "north", 9005);
    stage.run(4s);
    const int updates = stage.logged("endpoints.updated");
    stage.registry->garbage.clear();
    stage.run(10s);
    EXPECT_EQ(stage.logged("endpoints.updated"), updates + 1);
}

// The registry suddenly loses most of its servers. The first such list must be confirmed by a
// second answer; older and empty lists are rejected, and a new incarnation of the registry may
// count from the start.
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

// A list of the registry is invalid in one of several ways. It must be rejected as a whole, with a
// text that says what is wrong.
TEST(Registry, ParsesListsAndReportsWhatIsInvalid) {
    const auto list = xds_server::parse_server_list(
        R"({"registry":"r","index":3,"servers":[{"id":"a","zone":"z","address":"127.0.0.1:80","age_ms":1.5,"weight":2}]})");
    EXPECT_EQ(list.servers.at(0).age, 1500us);
    const std::pair<const char*, const char*> invalid_lists[] = {
        {"{", "can't be read"},
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

// The process has no file descriptors left. New connections must wait, existing ones must not be
// affected, and connections are accepted again as soon as descriptors are free.
TEST(Governor, SurvivesWithoutDescriptors) {
    Stage stage(settings(), false);
    stage.list_four();
    stage.start();
    Peer good(stage, "good");
    good.dial();
    stage.run(200ms);
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    int sample = dup(0);
    close(sample);
    // One descriptor for the client's socket, and none for the accepted one.
    rlimit tight{static_cast<rlim_t>(sample) + 1, before.rlim_max};
    Peer late(stage, "late", "south");
    setrlimit(RLIMIT_NOFILE, &tight);
    late.dial();
    stage.run(300ms);
    EXPECT_EQ(stage.logged("proxy.connected"), 1);
    setrlimit(RLIMIT_NOFILE, &before);
    stage.run(500ms);
    EXPECT_EQ(stage.logged("proxy.connected"), 2);
    EXPECT_TRUE(good.ended.empty());
    EXPECT_GE(stage.logged("descriptors.none"), 1);
}

}  // namespace
}  // namespace badgergrade::test
