// A control plane instance on the platform: in this process on sockets and the virtual clock, and
// as a process of its own. Each test begins with the failure that it guards against.
#include <gtest/gtest.h>

#include "child.h"
#include "platform_stage.h"

namespace badgergrade::test {
namespace {

using namespace std::chrono_literals;

// The first configuration version that a proxy was asked to acknowledge; empty where there was
// none.
std::string first_version(const PlatformPeer& proxy) {
    const auto at = proxy.text.find("stamp ");
    return at == std::string::npos
               ? ""
               : proxy.text.substr(at + 6, proxy.text.find_first_of(" \n", at + 6) - at - 6);
}

// Failure: a health check gets no answer, or a proxy that has just connected no configuration. PING
// must be answered at once, and SUBSCRIBE by a whole table with a version to acknowledge.
TEST(Node, AnswersPingAndServesAProxyFromItsFirstMessage) {
    NodeStage stage;
    stage.start();
    auto peer = stage.peer();
    peer->say("PING");
    stage.run(50ms);
    EXPECT_EQ(peer->text, "PONG\n");
    auto proxy = stage.proxy(1);
    stage.run(1s);
    EXPECT_NE(proxy->text.find("CONFIG for look up replace 1 rows s-"), std::string::npos)
        << proxy->text;
    EXPECT_NE(proxy->text.find("stamp "), std::string::npos);
    EXPECT_EQ(stage.server->statistics().proxies, 1u);
}

// Failure: the network cuts messages into pieces or joins them, and one is lost or read twice. The
// same bytes must mean the same, one by one.
TEST(Node, BytesInPiecesAndManyMessagesAtOnceAreTheSame) {
    NodeStage stage;
    stage.start();
    auto proxy = stage.peer();
    std::string bytes;
    resp::write(bytes, {"SUBSCRIBE", "proxy", "2", "zone", "north", "weight", "5", "fresh", "1"});
    resp::write(bytes, {"PING"});
    for (const char c : bytes) {
        proxy->send(std::string(1, c));
        stage.run(1ms);
    }
    stage.run(100ms);
    EXPECT_EQ(stage.server->statistics().proxies, 1u);
    EXPECT_NE(proxy->text.find("PONG"), std::string::npos);
}

// Failure: clients that send nothing, another protocol, a message that never ends, or messages that
// they may not send hold connections for good. Each of them must get NACK or an end, and no
// connection may stay.
TEST(Node, EachBadClientIsClosedOrGetsNack) {
    NodeStage stage;
    stage.start();
    std::vector<std::unique_ptr<PlatformPeer>> bad;
    const auto add = [&](const std::string& bytes) {
        bad.push_back(stage.peer());
        if (!bytes.empty()) {
            bad.back()->send(bytes);
        }
    };
    std::string orders;
    resp::write(orders, {"CONFIG", "drop", "s-a"});
    for (const std::string& bytes :
         {std::string(), std::string("GET / HTTP/1.1\r\n\r\n"), std::string("PING\r\n"),
          std::string("\x16\x03\x01"), std::string("*3\r\n$9\r\nSUBSCR"), std::string("*-1\r\n"),
          std::string("*1\r\n$1048577\r\n"), orders}) {
        add(bytes);
    }
    for (const char* words :
         {"SUBSCRIBE proxy 9 zone north weight 1 fresh 1",
          "SUBSCRIBE proxy 1 zone west weight 1 fresh 1", "SOURCE zone west",
          "RATE proxy 1 class order tries 1 failed 0 span_ms 100", "ACK proxy 1 mark 1 took_ms 1",
          "LOAD zone north server s-a tries 1 failed 0 mean_ms 1 span_ms 100"}) {
        add({});
        bad.back()->say(words);
    }
    auto endless = stage.peer();
    endless->send("*1\r\n$16000\r\n");
    for (int k = 0; k < 30; ++k) {
        endless->send(std::string(100, 'x'));
        stage.run(100ms);
    }
    EXPECT_TRUE(endless->was_answered_or_closed());
    for (std::size_t k = 0; k < bad.size(); ++k) {
        EXPECT_TRUE(bad[k]->was_answered_or_closed()) << k;
    }
    EXPECT_EQ(stage.server->statistics().connections, 0u);
}

// Failure: a peer that only sends PING never identifies itself and, kept alive by its messages,
// would hold a descriptor for good. It must be closed like a silent one.
TEST(Node, APeerThatOnlySendsPingIsNotKeptForGood) {
    NodeStage stage;
    stage.start();
    auto peer = stage.peer();
    for (int k = 0; k < 20; ++k) {
        peer->say("PING");
        stage.run(200ms);
    }
    EXPECT_NE(peer->ended, "");
    EXPECT_EQ(stage.server->statistics().connections, 0u);
}

// Failure: silent connections take all descriptors, and proxies can't connect any more. Each proxy
// must be served at once, the number of connections stay bounded, and every silent peer be answered
// or closed.
TEST(Node, HundredsOfSilentConnectionsKeepNoProxyOut) {
    NodeStage stage(48);
    stage.start();
    auto first = stage.proxy(0);
    stage.run(50ms);
    std::vector<std::unique_ptr<PlatformPeer>> silent;
    silent.reserve(200);
    for (int k = 0; k < 200; ++k) {
        silent.push_back(stage.peer());
    }
    auto second = stage.proxy(1);
    stage.run(300ms);
    for (int k = 0; k < 100; ++k) {
        silent.push_back(stage.peer());
    }
    auto third = stage.proxy(2);
    stage.run(300ms);
    EXPECT_EQ(stage.server->statistics().proxies, 3u);
    EXPECT_LE(stage.server->statistics().connections, 28u);
    EXPECT_EQ(first->ended + second->ended + third->ended, "");
    stage.run(2s);
    EXPECT_EQ(stage.server->statistics().connections, 3u);
    for (const auto& one : silent) {
        EXPECT_TRUE(one->was_answered_or_closed());
    }
}

// Failure: one invalid message ends a good connection, or invalid ones flood the log. Each invalid
// message must be dropped alone and counted, the log lines limited; only bytes that can't be read
// at all end the connection.
TEST(Node, InvalidMessagesAreDroppedAndThoseAroundThemCount) {
    NodeStage stage;
    stage.start();
    auto proxy = stage.proxy(1);
    auto collector = stage.peer();
    collector->say("SOURCE zone north");
    stage.run(300ms);
    const auto before = stage.server->statistics();
    EXPECT_GT(before.updates_sent, 0);
    const std::string version = first_version(*proxy);
    ASSERT_NE(version, "");
    for (const char* words :
         {"ACK proxy 1 took_ms 3", "ACK proxy 2 mark 1 took_ms 3",
          "ACK proxy 1 mark 60000 took_ms 3",
          "RATE proxy 2 class order tries 1 failed 0 span_ms 100",
          "RATE proxy 1 class paint tries 1 failed 0 span_ms 100", "SOURCE zone north",
          "SUBSCRIBE proxy 1 zone north weight 1 fresh 1"}) {
        proxy->say(words);
    }
    proxy->send("*3\r\n$3\r\nACK\r\n:1\r\n$-1\r\n");
    proxy->say("ACK proxy 1 mark " + version + " took_ms 10");
    collector->say("LOAD zone north server nobody tries 1 failed 0 mean_ms 1 span_ms 100");
    collector->say("LOAD zone south server s-a tries 1 failed 0 mean_ms 1 span_ms 100");
    collector->say("RATE proxy 1 class order tries 1 failed 0 span_ms 100");
    stage.run(100ms);
    const auto after = stage.server->statistics();
    EXPECT_EQ(after.invalid_messages - before.invalid_messages, 10);
    EXPECT_EQ(after.acknowledged - before.acknowledged, 1);
    EXPECT_EQ(proxy->ended + collector->ended, "");
    EXPECT_LE(stage.logged("message.invalid"), 6) << "lines that peers cause are limited";
    proxy->send("what can't be read any more");
    stage.run(100ms);
    EXPECT_EQ(stage.server->statistics().proxies, 0u);
    EXPECT_EQ(stage.server->statistics().proxy_disconnects, 1);
}

// Failure: a proxy connects anew and acknowledges a version that was sent on its older connection;
// it would count as proof that the newer one has delivered. It must not count.
TEST(Node, AnAckOfAnOlderStreamDoesNotCountForANewerOne) {
    NodeStage stage;
    stage.start();
    auto old = stage.proxy(1);
    stage.run(300ms);
    const std::string version = first_version(*old);
    ASSERT_NE(version, "");
    auto fresh = stage.proxy(1, "north", "0");
    fresh->say("ACK proxy 1 mark " + version + " took_ms 10");
    stage.run(2ms);
    EXPECT_EQ(stage.server->statistics().acknowledged, 0);
}

// Failure: a proxy connects anew before the end of its old connection is seen; the late end would
// disconnect the proxy. The old connection must be closed, the proxy stay connected, and its table
// be sent whole again.
TEST(Node, TheNewestConnectionOfAProxyIsItsSession) {
    NodeStage stage;
    stage.start();
    auto old = stage.proxy(1);
    stage.run(100ms);
    auto fresh = stage.proxy(1, "north", "0");
    stage.run(100ms);
    EXPECT_NE(old->ended, "") << "closed by the instance";
    old.reset();
    stage.run(300ms);
    const auto statistics = stage.server->statistics();
    EXPECT_EQ(statistics.proxies, 1u);
    EXPECT_EQ(statistics.proxy_connects, 2);
    EXPECT_EQ(statistics.proxy_disconnects, 1)
        << "left once for the old joining, and not for its late end";
    EXPECT_NE(fresh->text.find("replace 1"), std::string::npos) << "a new stream is bound anew";
}

// Failure: all proxies reconnect in one instant, and ends of old connections mix with new ones. In
// each round all must be connected and get a whole table; at the end joins and leaves must be
// equal.
TEST(Node, AllProxiesReconnectAtOnce) {
    NodeStage stage;
    stage.start();
    for (int round = 0; round < 5; ++round) {
        std::vector<std::unique_ptr<PlatformPeer>> all;
        all.reserve(4);
        for (int number = 0; number < 4; ++number) {
            all.push_back(stage.proxy(number, number % 2 ? "north" : "south", round ? "0" : "1"));
        }
        stage.run(200ms);
        EXPECT_EQ(stage.server->statistics().proxies, 4u);
        for (const auto& one : all) {
            EXPECT_NE(one->text.find("replace 1"), std::string::npos);
        }
    }
    stage.run(100ms);
    EXPECT_EQ(stage.server->statistics().proxies, 0u);
    EXPECT_EQ(stage.server->statistics().proxy_connects,
              stage.server->statistics().proxy_disconnects);
}

// Failure: a peer reads nothing and its answers take more and more memory. Its connection must be
// closed at the bound, with one log line, and the other peers be served on.
TEST(Node, APeerThatReadsNothingIsClosedAndTheOthersAreNot) {
    NodeStage stage;
    stage.start();
    auto deaf = stage.proxy(1);
    auto good = stage.proxy(2);
    stage.run(100ms);
    deaf->stop_reading();
    std::string pings;
    for (int k = 0; k < 50000; ++k) {
        resp::write(pings, {"PING"});
    }
    // Until the kernel's own buffers are full and ours have reached their bound.
    for (int k = 0; k < 60 && stage.server->statistics().proxies == 2; ++k) {
        deaf->send(pings);
        stage.run(10ms);
    }
    EXPECT_EQ(stage.server->statistics().proxies, 1u);
    EXPECT_EQ(stage.logged("unread"), 1);
    good->text.clear();
    good->say("PING");
    stage.run(10ms);
    EXPECT_NE(good->text.find("PONG"), std::string::npos);
}

// Failure: all proxies connect in one instant and some are timed out or get no table. All 400 must
// be connected and get their table.
TEST(Node, FourHundredProxiesConnectAtOnce) {
    NodeStage stage(1024);
    stage.config.protocol_names.proxy_count = stage.config.settings.proxy_count = 400;
    stage.start();
    std::vector<std::unique_ptr<PlatformPeer>> all;
    all.reserve(400);
    for (int number = 0; number < 400; ++number) {
        all.push_back(stage.proxy(number, number % 2 ? "north" : "south"));
    }
    stage.run(3s);
    EXPECT_EQ(stage.server->statistics().proxies, 400u);
    EXPECT_EQ(
        std::count_if(all.begin(), all.end(),
                      [](const auto& p) { return p->text.find("replace 1") != std::string::npos; }),
        400);
}

// Failure: an instance restarts with the list of its first start, in which later servers are
// missing; proxies would be kept on the old list. It must get the changes from discovery and serve
// them.
TEST(Node, ARestartWithAnOldListCatchesUpWithDiscovery) {
    NodeStage stage;
    stage.start();
    auto proxy = stage.proxy(1);
    stage.run(500ms);
    stage.discovery.put(row("s-a", "north", "Gone"));
    stage.discovery.put(row("s-d", "north"));
    stage.run(500ms);
    stage.server.reset();
    stage.run(100ms);
    EXPECT_NE(proxy->ended, "");
    // The configuration still holds the list as it was at the first start.
    stage.start();
    auto again = stage.proxy(1, "north", "0");
    stage.run(2s);
    EXPECT_NE(again->text.find("s-d:"), std::string::npos) << again->text;
    EXPECT_EQ(stage.server->statistics().servers, 4u) << "the one that is gone stays known";
}

// ---- discovery

// Failure: a change between two calls is missed, so that a server that drains stays in the tables.
// Each change must reach the proxies, and calls must never go back to an older generation.
TEST(Node, FollowsDiscoveryWithoutAGap) {
    NodeStage stage;
    stage.start();
    auto proxy = stage.proxy(1);
    stage.run(500ms);
    stage.discovery.put(row("s-a", "north", "Terminating"));
    stage.discovery.put(row("s-d", "north"));
    stage.run(500ms);
    EXPECT_NE(proxy->text.find("s-a:0"), std::string::npos)
        << "the drain leaves the table: " << proxy->text;
    EXPECT_EQ(stage.server->statistics().servers, 4u);
    for (std::size_t k = 1; k < stage.discovery.asked_from.size(); ++k) {
        EXPECT_GE(stage.discovery.asked_from[k], stage.discovery.asked_from[k - 1]);
    }
    EXPECT_EQ(stage.discovery.asked_from.back(), stage.discovery.generation());
}

// Failure: a server that a snapshot no longer names stays in the tables. It must be taken out.
TEST(Node, ASnapshotRemovesWhatItDoesNotName) {
    NodeStage stage;
    stage.start();
    auto proxy = stage.proxy(1);
    stage.run(500ms);
    stage.discovery.whole = true;
    stage.discovery.put(row("s-d", "north"));
    stage.run(500ms);
    EXPECT_NE(proxy->text.find("s-a:0"), std::string::npos) << proxy->text;
    EXPECT_NE(proxy->text.find("s-d:1"), std::string::npos) << proxy->text;
    EXPECT_EQ(stage.logged("whole=yes rows=1 ready=1"), 1);
}

// Failure: discovery accepts calls and never answers, which TCP does not show. It must be noticed
// and logged, the list stay valid, and the first answer after that be used.
TEST(Node, ASilentDiscoveryIsNoticedAndItsLaterAnswersAreUsed) {
    NodeStage stage;
    stage.start();
    stage.run(1s);
    stage.discovery.silent = true;
    stage.discovery.put(row("s-d", "south"));
    stage.run(10s);
    EXPECT_GE(stage.logged("discovery.trouble"), 3);
    EXPECT_EQ(stage.server->statistics().servers, 3u) << "the list stays valid";
    stage.discovery.silent = false;
    stage.run(3s);
    EXPECT_EQ(stage.server->statistics().servers, 4u);
}

// Failure: discovery breaks off calls or sends answers that can't be read. The call must be made
// again, not in a busy loop, the list stay valid, and the first good answer be used.
TEST(Node, ABrokenOrUnreadableDiscoveryIsAskedAgain) {
    NodeStage stage;
    stage.start();
    stage.run(100ms);
    stage.discovery.break_off();
    stage.run(300ms);
    stage.discovery.garbage = true;
    stage.discovery.put(row("s-d", "south"));
    stage.run(2s);
    EXPECT_EQ(stage.server->statistics().servers, 3u);
    EXPECT_LE(stage.discovery.asked_from.size(), 40u) << "no busy loop";
    stage.discovery.garbage = false;
    stage.run(1s);
    EXPECT_EQ(stage.server->statistics().servers, 4u);
}

// Failure: a reload moves discovery to another address and a change is lost or used twice in
// between, or the old address is asked on. The new address must be asked from the last generation,
// the old one never again.
TEST(Node, AReloadMovesDiscoveryWithoutALostOrRepeatedChange) {
    NodeStage stage;
    FakeDiscovery second(stage.loop);
    stage.start();
    stage.run(500ms);
    stage.discovery.put(row("s-d", "south"));
    stage.run(500ms);
    second.begin_at(2);
    second.put(row("s-e", "south"));
    auto moved = stage.config;
    moved.discovery = second.address();
    stage.server->reload(moved);
    stage.run(200ms);
    stage.discovery.close_open();
    stage.run(1s);
    EXPECT_EQ(stage.server->statistics().servers, 5u);
    EXPECT_EQ(second.asked_from.front(), 2u);
    const auto calls = stage.discovery.asked_from.size();
    stage.server->reload(moved);
    stage.run(3s);
    EXPECT_EQ(stage.discovery.asked_from.size(), calls) << "the old one is not asked again";
    EXPECT_EQ(stage.logged("discovery.trouble"), 0);
}

// ---- as a process

std::int64_t memory_kb(pid_t process, const std::string& what) {
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    for (std::string word; in >> word;) {
        if (word == what) {
            std::int64_t kb = 0;
            return in >> kb ? kb : 0;
        }
    }
    return 0;
}

struct Process {
    explicit Process(const std::string& config) {
        setenv("NODE_CONFIG", config.c_str(), 1);
        child = std::make_unique<Child>(std::vector<std::string>{"node"});
        unsetenv("NODE_CONFIG");
    }

    std::unique_ptr<Child> child;
};

// Failure: the configuration is missing or can't be read, and the process dies with a stack trace
// or starts without one. It must print one line and exit with code 2.
TEST(NodeProgram, AnUnreadableConfigurationIsOneLineAndExitTwo) {
    for (const std::string& path :
         {temporary("node-bad.json", "{"), std::string("/nowhere/config.json"), std::string()}) {
        Process process(path);
        EXPECT_EQ(process.child->wait(), 2);
        EXPECT_EQ(std::count(process.child->text().begin(), process.child->text().end(), '\n'), 1)
            << process.child->text();
    }
}

// Failure: the program as it is deployed does not do what the server in this process does. It must
// serve proxies, follow discovery, keep its connections and the old configuration through a reload
// of a broken file, move with a good one, stay small, and end on SIGTERM with exit code 0.
TEST(NodeProgram, ServesFakePeersReloadsAndEnds) {
    net::Loop loop;
    FakeDiscovery discovery(loop);
    FakeDiscovery second(loop);
    const std::string path =
        temporary("node.json", node_config("127.0.0.1:0", net::to_text(discovery.address())));
    Process process(path);
    const std::string listen = process.child->after("node.started listen=");
    ASSERT_NE(listen, "") << process.child->text();
    std::vector<std::unique_ptr<PlatformPeer>> proxies;
    PlatformPeer collector(loop, net::parse_address(listen));
    collector.say("SOURCE zone north");
    for (int number = 0; number < 4; ++number) {
        proxies.push_back(std::make_unique<PlatformPeer>(loop, net::parse_address(listen)));
        proxies.back()->say("SUBSCRIBE proxy " + std::to_string(number) + " zone " +
                            (number % 2 ? "north" : "south") + " weight 5 fresh 1");
    }
    // Until it is so, and never longer than the test's patience: no verdict hangs on how fast this
    // machine is.
    const auto until = [&](const std::function<bool()>& so) {
        for (int looks = 0; looks < 1500 && !so(); ++looks) {
            loop.run_until(loop.clock().now() + 20ms);
        }
        return so();
    };
    EXPECT_TRUE(until([&] {
        return std::all_of(proxies.begin(), proxies.end(), [](const auto& p) {
            return p->text.find("replace 1") != std::string::npos;
        });
    }));
    collector.say("LOAD zone north server s-a tries 20 failed 0 mean_ms 40 span_ms 1000");
    discovery.put(row("s-a", "north", "Terminating"));
    EXPECT_TRUE(until([&] { return proxies[1]->text.find("s-a:0") != std::string::npos; }));

    std::ofstream(path) << "{";
    process.child->signal(SIGHUP);
    EXPECT_TRUE(process.child->shows("config.refused"));
    second.begin_at(discovery.generation());
    std::ofstream(path) << node_config(listen, net::to_text(second.address()));
    process.child->signal(SIGHUP);
    EXPECT_TRUE(process.child->shows("config.reloaded"));
    second.put(row("s-d", "north"));
    EXPECT_TRUE(until([&] { return proxies[1]->text.find("s-d:") != std::string::npos; }));
    for (const auto& proxy : proxies) {
        EXPECT_EQ(proxy->ended, "") << "streams stay through a reload";
    }

#ifndef __SANITIZE_ADDRESS__
    // The configuration was read into a buffer of the largest size: 16 MiB of the 32 MB that a
    // small instance has.
    EXPECT_LT(memory_kb(process.child->id(), "VmHWM:"), 20 * 1024);
#endif
    process.child->signal(SIGTERM);
    EXPECT_EQ(process.child->wait(), 0);
    EXPECT_NE(process.child->text().find("node.stopping"), std::string::npos);
}

}  // namespace
}  // namespace badgergrade::test
