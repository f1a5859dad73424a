// The running governor on sockets: what a forwarder sees, and the hard cases of streams, lists and
// garbage.
#include <sys/resource.h>

#include "support.h"
#include "xds_server/endpoint_list_validator.h"

namespace badgergrade::test {
namespace {

TEST(Governor, GivesAForwarderItsTable) {
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
    EXPECT_EQ(stage.logged("forwarder.joined"), 2);
    EXPECT_EQ(stage.logged("list.taken"), 1);
}

TEST(Governor, TakesAGoneServerOutOfEveryTable) {
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

// "A response rejected": the rejection is told, and the order is never taken for applied.
TEST(Governor, ARejectedVersionIsNotApplied) {
    Stage stage;
    stage.list_four();
    stage.start();
    Peer one(stage, "f1");
    bool refuse = false;
    one.ads.doubt = [&](const xds::AdsClient::Response&) {
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

TEST(Governor, AnAckWithAStaleNonceIsLeftAside) {
    Opening at;
    auto& [stage, one] = at;
    stage.run(2s);
    xds::AdsClient::Request stale;
    stale.set_type_url(std::string(xds::url(xds::Type::Endpoints)));
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

TEST(Governor, TheNewerOfTwoStreamsWithOneNodeStands) {
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

// "A stream that ends between a response and its ACK": the forwarder comes back and gets all it
// needs.
TEST(Governor, AStreamThatEndsBeforeItsAckIsServedAnew) {
    Stage stage;
    stage.list_four();
    stage.start();
    Peer one(stage, "f1");
    one.silent = true;
    one.dial();
    stage.run(2s);
    ASSERT_FALSE(one.responses.empty());
    one.close();
    stage.run(100ms);
    EXPECT_EQ(stage.logged("forwarder.left"), 1);
    Peer again(stage, "f1");
    again.dial();
    stage.run(2s);
    EXPECT_FALSE(again.ports("look").empty());
}

// "A governor killed while a table is half sent", and started over: tables stay in force, then the
// new one's come.
TEST(Governor, AForwarderKeepsItsTablesOverAGovernorsDeath) {
    Opening at;
    auto& [stage, one] = at;
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
    EXPECT_FALSE(one.ports("look").empty()) << "bare while the new governor lists its clusters";
    stage.run(3s);
    for (const int port : one.ports("look")) {
        EXPECT_NE(port, 9001);
    }
    EXPECT_FALSE(one.ports("look").empty());
}

// Back pressure: a forwarder that stops reading is given up, memory stays bounded, others are
// unhurt.
TEST(Governor, AForwarderThatStopsReadingIsGivenUp) {
    Stage stage(settings("[log]\nlevel = debug\n"),
                false);  // real time: the kernel's buffers are part of it
    stage.config.max_queued_bytes = 32768;
    stage.config.keepalive = 0us;
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
    // A small window and no reading: what the governor sends waits with it.
    stuck.stream->pause_reading();
    for (int round = 0; round < 400 && stage.logged("connection.ended") == 0; ++round) {
        for (int k = 0; k < 8; ++k) {
            stage.list("s" + std::to_string((round * 8 + k) % 400), k % 2 ? "south" : "north",
                       20000 + round * 8 + k);
        }
        stage.run(20ms);
    }
    EXPECT_GE(stage.logged("connection.ended"), 1);
    EXPECT_EQ(stage.logged("forwarder.left"), 1);
    EXPECT_TRUE(good.ended.empty()) << good.ended;
    EXPECT_FALSE(good.ports("look").empty());
}

// A half-open connection: the far side fell silent without an end.
TEST(Governor, AHalfOpenConnectionIsNoticed) {
    Opening at;
    auto& [stage, one] = at;
    stage.run(1s);
    one.stream->pause_reading();  // answers no ping any more
    stage.run(10s);
    EXPECT_EQ(stage.logged("forwarder.left"), 1);
    EXPECT_EQ(stage.logged("connection.ended"), 1);
}

struct Garbage {
    const char* name;
    std::string bytes;
    int times = 1;
};

class GarbageOnXds : public testing::TestWithParam<int> {};

std::vector<Garbage> garbage() {
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

TEST_P(GarbageOnXds, IsToldAndClosedAndNothingElseTouched) {
    Stage stage;
    stage.list_four();
    stage.start();
    Peer good(stage, "good");
    good.dial();
    stage.run(1s);
    const Garbage what = garbage()[static_cast<std::size_t>(GetParam())];
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

INSTANTIATE_TEST_SUITE_P(Kinds, GarbageOnXds, testing::Range(0, 6));

TEST(Governor, MalformedProtobufEndsTheCallWithALine) {
    Opening at;
    auto& [stage, one] = at;
    stage.run(1s);
    one.call->send("\xff\xff\xff not a message");
    stage.run(100ms);
    EXPECT_EQ(stage.logged("stream.malformed"), 1);
    EXPECT_NE(one.call_ended.find("can't be read"), std::string::npos) << one.call_ended;
    EXPECT_EQ(stage.logged("forwarder.left"), 1);
}

TEST(Governor, AnOversizedMessageEndsTheCall) {
    Stage stage;
    stage.start();
    Peer one(stage, "f1");
    one.dial();
    stage.run(1s);
    one.call->send(std::string(70000, 'x'));
    stage.run(100ms);
    EXPECT_NE(one.call_ended.find("70000 bytes"), std::string::npos) << one.call_ended;
}

TEST(Governor, ANodeWithoutAnIdIsRefused) {
    Stage stage;
    stage.start();
    Peer one(stage, "");
    one.dial();
    stage.run(1s);
    EXPECT_EQ(stage.logged("stream.refused"), 1);
    EXPECT_NE(one.call_ended.find("node with an id"), std::string::npos) << one.call_ended;
}

// Slow bytes: a request that comes byte by byte is a request.
TEST(Governor, SlowBytesAreWaitedFor) {
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
    EXPECT_EQ(stage.logged("forwarder.joined"), 1);
    stream->close(true);
}

// "200 forwarders joining at once against the line limit": all are served, and never more lines
// wait than allowed.
TEST(Governor, ManyJoiningAtOnceKeepTheLineLimit) {
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
    EXPECT_LE(stage.service->figures().channel.waiting_most, 1500);
    EXPECT_GT(stage.service->figures().channel.waiting_most, 500) << "the limit was never near";
}

// ---- the registry's bad hours

TEST(Registry, AnEmptyListAfterAFullOneIsRefused) {
    Opening at;
    auto& [stage, one] = at;
    stage.run(2s);
    const auto before = one.ports("look");
    stage.registry->restart(false);
    stage.run(5s);
    EXPECT_GE(stage.logged("list.trouble"), 1);
    EXPECT_EQ(one.ports("look"), before);
    // Filled again it is followed again.
    stage.list("x", "north", 9100);
    stage.list("y", "south", 9101);
    stage.run(12s);
    for (const int port : one.ports("look")) {
        EXPECT_TRUE(port == 9100 || port == 9101) << port;
    }
    EXPECT_FALSE(one.ports("look").empty());
}

TEST(Registry, AnOlderListIsRefused) {
    Stage stage;
    stage.list_four();
    stage.start();
    stage.run(1s);
    const int taken = stage.logged("list.taken");
    stage.registry->go_back(3);
    stage.run(3s);
    EXPECT_EQ(stage.logged("list.taken"), taken);
    EXPECT_GE(stage.logged("list.trouble"), 1);
}

TEST(Registry, AHungOneIsAskedAgainAndGarbageLeavesTheListAsItWas) {
    Stage stage;
    stage.list_four();
    stage.start();
    stage.run(1s);
    stage.registry->hang(true);
    stage.run(8s);
    EXPECT_GE(stage.logged("list.trouble"), 1);
    stage.registry->hang(false);
    stage.registry->garbage = "{\"registry\": 7";
    stage.list("e", "north", 9005);
    stage.run(4s);
    const int taken = stage.logged("list.taken");
    stage.registry->garbage.clear();
    stage.run(10s);
    EXPECT_EQ(stage.logged("list.taken"), taken + 1);
}

TEST(EndpointListValidator, DoubtsASuddenLossOnce) {
    xds_server::EndpointListValidator check(config::EmptyList::Refuse, 0.5);
    using V = xds_server::EndpointListValidator::Verdict;
    EXPECT_EQ(check.look({"r", 5, 10}).verdict, V::Take);
    EXPECT_EQ(check.look({"r", 5, 10}).verdict, V::Same);
    EXPECT_EQ(check.look({"r", 4, 10}).verdict, V::Refuse);
    EXPECT_EQ(check.look({"r", 6, 0}).verdict, V::Refuse);
    EXPECT_EQ(check.look({"r", 7, 3}).verdict, V::AskAgain);
    EXPECT_EQ(check.look({"r", 7, 3}).verdict, V::Take);
    EXPECT_EQ(check.look({"other", 1, 9}).verdict, V::Take);
}

TEST(Registry, ReadsListsAndSaysWhatIsWrongWithThem) {
    const auto list = xds_server::parse_list(
        R"({"registry":"r","index":3,"servers":[{"id":"a","zone":"z","address":"127.0.0.1:80","age_ms":1.5,"weight":2}]})");
    EXPECT_EQ(list.servers.at(0).age, 1500us);
    const std::pair<const char*, const char*> wrong[] = {
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
    for (const auto& [text, what] : wrong) {
        try {
            xds_server::parse_list(text);
            ADD_FAILURE() << text;
        } catch (const std::runtime_error& said) {
            EXPECT_NE(std::string(said.what()).find(what), std::string::npos) << said.what();
        }
    }
}

// No descriptors left: newcomers wait, those there are unhurt, and accepting goes on afterwards.
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
    // Room for the dialler's socket and none for the accepted one.
    rlimit tight{static_cast<rlim_t>(sample) + 1, before.rlim_max};
    Peer late(stage, "late", "south");
    setrlimit(RLIMIT_NOFILE, &tight);
    late.dial();
    stage.run(300ms);
    EXPECT_EQ(stage.logged("forwarder.joined"), 1);
    setrlimit(RLIMIT_NOFILE, &before);
    stage.run(500ms);
    EXPECT_EQ(stage.logged("forwarder.joined"), 2);
    EXPECT_TRUE(good.ended.empty());
    EXPECT_GE(stage.logged("descriptors.none"), 1);
}

}  // namespace
}  // namespace badgergrade::test
