// A control plane instance on the platform: in this process on sockets and the virtual clock, and
// as a separate process. The comment at each test names the failure that it guards against.
#include <gtest/gtest.h>

#include "child.h"
#include "platform_fixture.h"

namespace badgergrade::test {
namespace {

using namespace std::chrono_literals;

// Returns the first configuration version that a proxy was asked to acknowledge, or an empty string
// if there is none.
std::string first_version(const PlatformPeer& proxy) {
    const auto position = proxy.received.find("stamp ");
    return position == std::string::npos
               ? ""
               : proxy.received.substr(
                     position + 6,
                     proxy.received.find_first_of(" \n", position + 6) - position - 6);
}

// Failure: a health check gets no answer, or a newly connected proxy gets no configuration. PING
// must be answered at once, and SUBSCRIBE with a complete table and a version to acknowledge.
TEST(Node, AnswersPingAndServesNewProxyAtOnce) {
    NodeFixture fixture;
    fixture.start();
    auto peer = fixture.connect_peer();
    peer->send_message("PING");
    fixture.run_for(50ms);
    EXPECT_EQ(peer->received, "PONG\n");
    auto proxy = fixture.connect_proxy(1);
    fixture.run_for(1s);
    EXPECT_NE(proxy->received.find("CONFIG for look up replace 1 rows s-"), std::string::npos)
        << proxy->received;
    EXPECT_NE(proxy->received.find("stamp "), std::string::npos);
    EXPECT_EQ(fixture.server->statistics().proxies, 1u);
}

// Failure: the network splits or joins messages, and one is lost or read twice. Messages that
// arrive byte by byte must have the same effect.
TEST(Node, MessagesAreReadIndependentlyOfSegmentation) {
    NodeFixture fixture;
    fixture.start();
    auto proxy = fixture.connect_peer();
    std::string bytes;
    resp::write(bytes, {"SUBSCRIBE", "proxy", "2", "zone", "north", "weight", "5", "fresh", "1"});
    resp::write(bytes, {"PING"});
    for (const char c : bytes) {
        proxy->send(std::string(1, c));
        fixture.run_for(1ms);
    }
    fixture.run_for(100ms);
    EXPECT_EQ(fixture.server->statistics().proxies, 1u);
    EXPECT_NE(proxy->received.find("PONG"), std::string::npos);
}

// Failure: peers that send nothing, another protocol, an endless message, or messages that they may
// not send occupy connections forever. Each of them must get NACK or be closed, and no connection
// may remain.
TEST(Node, InvalidPeersAreRejectedOrClosed) {
    NodeFixture fixture;
    fixture.start();
    std::vector<std::unique_ptr<PlatformPeer>> invalid_peers;
    const auto add = [&](const std::string& bytes) {
        invalid_peers.push_back(fixture.connect_peer());
        if (!bytes.empty()) {
            invalid_peers.back()->send(bytes);
        }
    };
    std::string config_message;
    resp::write(config_message, {"CONFIG", "drop", "s-a"});
    for (const std::string& bytes :
         {std::string(), std::string("GET / HTTP/1.1\r\n\r\n"), std::string("PING\r\n"),
          std::string("\x16\x03\x01"), std::string("*3\r\n$9\r\nSUBSCR"), std::string("*-1\r\n"),
          std::string("*1\r\n$1048577\r\n"), config_message}) {
        add(bytes);
    }
    for (const char* words :
         {"SUBSCRIBE proxy 9 zone north weight 1 fresh 1",
          "SUBSCRIBE proxy 1 zone west weight 1 fresh 1", "SOURCE zone west",
          "RATE proxy 1 class order tries 1 failed 0 span_ms 100", "ACK proxy 1 mark 1 took_ms 1",
          "LOAD zone north server s-a tries 1 failed 0 mean_ms 1 span_ms 100"}) {
        add({});
        invalid_peers.back()->send_message(words);
    }
    auto endless = fixture.connect_peer();
    endless->send("*1\r\n$16000\r\n");
    for (int k = 0; k < 30; ++k) {
        endless->send(std::string(100, 'x'));
        fixture.run_for(100ms);
    }
    EXPECT_TRUE(endless->was_rejected_or_closed());
    for (std::size_t k = 0; k < invalid_peers.size(); ++k) {
        EXPECT_TRUE(invalid_peers[k]->was_rejected_or_closed()) << k;
    }
    EXPECT_EQ(fixture.server->statistics().connections, 0u);
}

// Failure: a peer that only sends PING never identifies itself, but its messages keep the
// connection open, which occupies a descriptor forever. It must be closed like a silent peer.
TEST(Node, PeerThatOnlySendsPingTimesOut) {
    NodeFixture fixture;
    fixture.start();
    auto peer = fixture.connect_peer();
    for (int k = 0; k < 20; ++k) {
        peer->send_message("PING");
        fixture.run_for(200ms);
    }
    EXPECT_NE(peer->end_reason, "");
    EXPECT_EQ(fixture.server->statistics().connections, 0u);
}

// Failure: silent connections take all descriptors, and proxies can no longer connect. Each proxy
// must be served at once, the number of connections must stay bounded, and every silent peer must
// be rejected or closed. Of the 48 descriptors the instance reserves 20, which leaves 28 for
// connections.
TEST(Node, SilentConnectionsDoNotBlockProxies) {
    NodeFixture fixture(48);
    fixture.start();
    auto first = fixture.connect_proxy(0);
    fixture.run_for(50ms);
    std::vector<std::unique_ptr<PlatformPeer>> silent;
    silent.reserve(200);
    for (int k = 0; k < 200; ++k) {
        silent.push_back(fixture.connect_peer());
    }
    auto second = fixture.connect_proxy(1);
    fixture.run_for(300ms);
    for (int k = 0; k < 100; ++k) {
        silent.push_back(fixture.connect_peer());
    }
    auto third = fixture.connect_proxy(2);
    fixture.run_for(300ms);
    EXPECT_EQ(fixture.server->statistics().proxies, 3u);
    EXPECT_LE(fixture.server->statistics().connections, 28u);
    EXPECT_EQ(first->end_reason + second->end_reason + third->end_reason, "");
    fixture.run_for(2s);
    EXPECT_EQ(fixture.server->statistics().connections, 3u);
    for (const auto& peer : silent) {
        EXPECT_TRUE(peer->was_rejected_or_closed());
    }
}

// Failure: one invalid message ends a valid connection, or invalid messages flood the log. Each
// invalid message must be dropped alone and counted, and the log lines must be limited; only bytes
// that are not RESP end the connection. Of the 12 messages sent between the two counts, the ACK of
// the version that the proxy got and the collector's RATE are valid, the other 10 are not.
TEST(Node, InvalidMessagesAreDroppedAloneAndCounted) {
    NodeFixture fixture;
    fixture.start();
    auto proxy = fixture.connect_proxy(1);
    auto collector = fixture.connect_peer();
    collector->send_message("SOURCE zone north");
    fixture.run_for(300ms);
    const auto before = fixture.server->statistics();
    EXPECT_GT(before.updates_sent, 0);
    const std::string version = first_version(*proxy);
    ASSERT_NE(version, "");
    for (const char* words :
         {"ACK proxy 1 took_ms 3", "ACK proxy 2 mark 1 took_ms 3",
          "ACK proxy 1 mark 60000 took_ms 3",
          "RATE proxy 2 class order tries 1 failed 0 span_ms 100",
          "RATE proxy 1 class paint tries 1 failed 0 span_ms 100", "SOURCE zone north",
          "SUBSCRIBE proxy 1 zone north weight 1 fresh 1"}) {
        proxy->send_message(words);
    }
    proxy->send("*3\r\n$3\r\nACK\r\n:1\r\n$-1\r\n");
    proxy->send_message("ACK proxy 1 mark " + version + " took_ms 10");
    collector->send_message("LOAD zone north server nobody tries 1 failed 0 mean_ms 1 span_ms 100");
    collector->send_message("LOAD zone south server s-a tries 1 failed 0 mean_ms 1 span_ms 100");
    collector->send_message("RATE proxy 1 class order tries 1 failed 0 span_ms 100");
    fixture.run_for(100ms);
    const auto after = fixture.server->statistics();
    EXPECT_EQ(after.invalid_messages - before.invalid_messages, 10);
    EXPECT_EQ(after.acknowledged - before.acknowledged, 1);
    EXPECT_EQ(proxy->end_reason + collector->end_reason, "");
    EXPECT_LE(fixture.count_log_lines("message.invalid"), 6)
        << "log lines caused by peers are limited";
    proxy->send("not RESP");
    fixture.run_for(100ms);
    EXPECT_EQ(fixture.server->statistics().proxies, 0u);
    EXPECT_EQ(fixture.server->statistics().proxy_disconnects, 1);
}

// Failure: a proxy reconnects and acknowledges a version that was sent on its previous connection,
// which would count as proof that the new connection has delivered it. It must not count.
TEST(Node, AckOfAnEarlierConnectionIsInvalid) {
    NodeFixture fixture;
    fixture.start();
    auto previous = fixture.connect_proxy(1);
    fixture.run_for(300ms);
    const std::string version = first_version(*previous);
    ASSERT_NE(version, "");
    auto current = fixture.connect_proxy(1, "north", "0");
    current->send_message("ACK proxy 1 mark " + version + " took_ms 10");
    fixture.run_for(2ms);
    EXPECT_EQ(fixture.server->statistics().acknowledged, 0);
}

// Failure: a proxy reconnects before the end of its previous connection is seen, and that late end
// would disconnect the proxy. The previous connection must be closed, the proxy must stay
// connected, and its complete table must be sent again.
TEST(Node, NewestConnectionOfAProxyIsCurrent) {
    NodeFixture fixture;
    fixture.start();
    auto previous = fixture.connect_proxy(1);
    fixture.run_for(100ms);
    auto current = fixture.connect_proxy(1, "north", "0");
    fixture.run_for(100ms);
    EXPECT_NE(previous->end_reason, "") << "closed by the control plane instance";
    previous.reset();
    fixture.run_for(300ms);
    const auto statistics = fixture.server->statistics();
    EXPECT_EQ(statistics.proxies, 1u);
    EXPECT_EQ(statistics.proxy_connects, 2);
    EXPECT_EQ(statistics.proxy_disconnects, 1)
        << "disconnected once for the previous connection, not again for its late end";
    EXPECT_NE(current->received.find("replace 1"), std::string::npos)
        << "the new connection gets the complete table";
}

// Failure: all proxies reconnect at once, and ends of previous connections interleave with new
// ones. In each round all proxies must be connected and get a complete table; at the end the
// numbers of connects and disconnects must be equal.
TEST(Node, AllProxiesReconnectAtOnce) {
    NodeFixture fixture;
    fixture.start();
    for (int round = 0; round < 5; ++round) {
        std::vector<std::unique_ptr<PlatformPeer>> proxies;
        proxies.reserve(4);
        for (int number = 0; number < 4; ++number) {
            proxies.push_back(
                fixture.connect_proxy(number, number % 2 ? "north" : "south", round ? "0" : "1"));
        }
        fixture.run_for(200ms);
        EXPECT_EQ(fixture.server->statistics().proxies, 4u);
        for (const auto& proxy : proxies) {
            EXPECT_NE(proxy->received.find("replace 1"), std::string::npos);
        }
    }
    fixture.run_for(100ms);
    EXPECT_EQ(fixture.server->statistics().proxies, 0u);
    EXPECT_EQ(fixture.server->statistics().proxy_connects,
              fixture.server->statistics().proxy_disconnects);
}

// Failure: a peer does not read, and its answers use more and more memory. Its connection must be
// closed at the limit, with one log line, and the other peers must still be served.
TEST(Node, PeerThatDoesNotReadIsClosedAlone) {
    NodeFixture fixture;
    fixture.start();
    auto non_reading = fixture.connect_proxy(1);
    auto reading = fixture.connect_proxy(2);
    fixture.run_for(100ms);
    non_reading->stop_reading();
    std::string pings;
    for (int k = 0; k < 50000; ++k) {
        resp::write(pings, {"PING"});
    }
    // Until the kernel's buffers are full and the instance's have reached their limit.
    for (int k = 0; k < 60 && fixture.server->statistics().proxies == 2; ++k) {
        non_reading->send(pings);
        fixture.run_for(10ms);
    }
    EXPECT_EQ(fixture.server->statistics().proxies, 1u);
    EXPECT_EQ(fixture.count_log_lines("unread"), 1);
    reading->received.clear();
    reading->send_message("PING");
    fixture.run_for(10ms);
    EXPECT_NE(reading->received.find("PONG"), std::string::npos);
}

// Failure: all proxies connect at once, and some time out or get no table. All 400 must be
// connected and get their table.
TEST(Node, FourHundredProxiesConnectAtOnce) {
    NodeFixture fixture(1024);
    fixture.config.protocol_names.proxy_count = fixture.config.settings.proxy_count = 400;
    fixture.start();
    std::vector<std::unique_ptr<PlatformPeer>> proxies;
    proxies.reserve(400);
    for (int number = 0; number < 400; ++number) {
        proxies.push_back(fixture.connect_proxy(number, number % 2 ? "north" : "south"));
    }
    fixture.run_for(3s);
    EXPECT_EQ(fixture.server->statistics().proxies, 400u);
    EXPECT_EQ(std::count_if(
                  proxies.begin(), proxies.end(),
                  [](const auto& p) { return p->received.find("replace 1") != std::string::npos; }),
              400);
}

// Failure: an instance restarts with the list in its configuration file, in which servers added
// later are missing, and proxies stay on this list. The instance must get the changes from
// discovery and send them.
TEST(Node, RestartWithAnOldListCatchesUpWithDiscovery) {
    NodeFixture fixture;
    fixture.start();
    auto proxy = fixture.connect_proxy(1);
    fixture.run_for(500ms);
    fixture.discovery.add_change(server_json("s-a", "north", "Gone"));
    fixture.discovery.add_change(server_json("s-d", "north"));
    fixture.run_for(500ms);
    fixture.server.reset();
    fixture.run_for(100ms);
    EXPECT_NE(proxy->end_reason, "");
    // The configuration still contains the list of the first start.
    fixture.start();
    auto reconnected = fixture.connect_proxy(1, "north", "0");
    fixture.run_for(2s);
    EXPECT_NE(reconnected->received.find("s-d:"), std::string::npos) << reconnected->received;
    EXPECT_EQ(fixture.server->statistics().servers, 4u) << "the gone server stays known";
}

// ---- discovery

// Failure: a change between two calls is missed, so that a draining server stays in the tables.
// Each change must reach the proxies, and calls must never go back to an older generation.
TEST(Node, FollowsDiscoveryWithoutAGap) {
    NodeFixture fixture;
    fixture.start();
    auto proxy = fixture.connect_proxy(1);
    fixture.run_for(500ms);
    fixture.discovery.add_change(server_json("s-a", "north", "Terminating"));
    fixture.discovery.add_change(server_json("s-d", "north"));
    fixture.run_for(500ms);
    EXPECT_NE(proxy->received.find("s-a:0"), std::string::npos)
        << "the draining server is removed from the table: " << proxy->received;
    EXPECT_EQ(fixture.server->statistics().servers, 4u);
    for (std::size_t k = 1; k < fixture.discovery.requested_generations.size(); ++k) {
        EXPECT_GE(fixture.discovery.requested_generations[k],
                  fixture.discovery.requested_generations[k - 1]);
    }
    EXPECT_EQ(fixture.discovery.requested_generations.back(), fixture.discovery.generation());
}

// Failure: a server that is no longer in a snapshot stays in the tables. It must be removed.
TEST(Node, SnapshotRemovesUnlistedServers) {
    NodeFixture fixture;
    fixture.start();
    auto proxy = fixture.connect_proxy(1);
    fixture.run_for(500ms);
    fixture.discovery.answers_snapshots = true;
    fixture.discovery.add_change(server_json("s-d", "north"));
    fixture.run_for(500ms);
    EXPECT_NE(proxy->received.find("s-a:0"), std::string::npos) << proxy->received;
    EXPECT_NE(proxy->received.find("s-d:1"), std::string::npos) << proxy->received;
    EXPECT_EQ(fixture.count_log_lines("whole=yes rows=1 ready=1"), 1);
}

// Failure: discovery accepts calls and never answers, which TCP does not detect. The silence must
// be detected and logged, the list must stay valid, and the first answer after it must be used.
TEST(Node, SilentDiscoveryIsDetectedAndLaterAnswersAreUsed) {
    NodeFixture fixture;
    fixture.start();
    fixture.run_for(1s);
    fixture.discovery.is_silent = true;
    fixture.discovery.add_change(server_json("s-d", "south"));
    fixture.run_for(10s);
    EXPECT_GE(fixture.count_log_lines("discovery.trouble"), 3);
    EXPECT_EQ(fixture.server->statistics().servers, 3u) << "the list stays valid";
    fixture.discovery.is_silent = false;
    fixture.run_for(3s);
    EXPECT_EQ(fixture.server->statistics().servers, 4u);
}

// Failure: discovery aborts calls or sends invalid answers. The call must be retried, not in a busy
// loop, the list must stay valid, and the first valid answer must be used.
TEST(Node, FailedDiscoveryCallsAreRetriedWithPauses) {
    NodeFixture fixture;
    fixture.start();
    fixture.run_for(100ms);
    fixture.discovery.abort_call();
    fixture.run_for(300ms);
    fixture.discovery.answers_garbage = true;
    fixture.discovery.add_change(server_json("s-d", "south"));
    fixture.run_for(2s);
    EXPECT_EQ(fixture.server->statistics().servers, 3u);
    EXPECT_LE(fixture.discovery.requested_generations.size(), 40u) << "no busy loop";
    fixture.discovery.answers_garbage = false;
    fixture.run_for(1s);
    EXPECT_EQ(fixture.server->statistics().servers, 4u);
}

// Failure: a reload changes the address of discovery, and a change is lost or applied twice in
// between, or the old address is still called. The new address must be called with the last
// generation, and the old one never again.
TEST(Node, ReloadChangesDiscoveryAddressWithoutLostOrRepeatedChanges) {
    NodeFixture fixture;
    FakeDiscovery second(fixture.loop);
    fixture.start();
    fixture.run_for(500ms);
    fixture.discovery.add_change(server_json("s-d", "south"));
    fixture.run_for(500ms);
    second.set_first_generation(2);
    second.add_change(server_json("s-e", "south"));
    auto new_config = fixture.config;
    new_config.discovery = second.address();
    fixture.server->reload(new_config);
    fixture.run_for(200ms);
    fixture.discovery.close_connections();
    fixture.run_for(1s);
    EXPECT_EQ(fixture.server->statistics().servers, 5u);
    EXPECT_EQ(second.requested_generations.front(), 2u);
    const auto calls = fixture.discovery.requested_generations.size();
    fixture.server->reload(new_config);
    fixture.run_for(3s);
    EXPECT_EQ(fixture.discovery.requested_generations.size(), calls)
        << "the old address is not called again";
    EXPECT_EQ(fixture.count_log_lines("discovery.trouble"), 0);
}

// ---- as a separate process

// Returns a field of /proc/PID/status in kB, or 0 if it is missing. `field` includes the colon.
std::int64_t memory_kb(pid_t process, const std::string& field) {
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    for (std::string word; in >> word;) {
        if (word == field) {
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

// Failure: the configuration is missing or not valid, and the process crashes or starts without it.
// It must print one line and exit with code 2.
TEST(NodeProgram, InvalidConfigurationPrintsOneLineAndExitsWithTwo) {
    for (const std::string& path :
         {temporary("node-bad.json", "{"), std::string("/nowhere/config.json"), std::string()}) {
        Process process(path);
        EXPECT_EQ(process.child->wait(), 2);
        EXPECT_EQ(std::count(process.child->text().begin(), process.child->text().end(), '\n'), 1)
            << process.child->text();
    }
}

// Failure: the deployed program behaves differently from the server that the tests above run in
// their own process. It must serve proxies, follow discovery, keep its connections and
// configuration when a reload finds an invalid file, change the address of discovery with a valid
// one, stay below 20 MiB of memory, and exit with code 0 on SIGTERM.
TEST(NodeProgram, ServesPeersReloadsAndTerminates) {
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
    collector.send_message("SOURCE zone north");
    for (int number = 0; number < 4; ++number) {
        proxies.push_back(std::make_unique<PlatformPeer>(loop, net::parse_address(listen)));
        proxies.back()->send_message("SUBSCRIBE proxy " + std::to_string(number) + " zone " +
                                     (number % 2 ? "north" : "south") + " weight 5 fresh 1");
    }
    // Runs the loop until the condition holds, for 30 s at most, so that the result does not depend
    // on the speed of the machine.
    const auto wait_until = [&](const std::function<bool()>& condition) {
        for (int checks = 0; checks < 1500 && !condition(); ++checks) {
            loop.run_until(loop.clock().now() + 20ms);
        }
        return condition();
    };
    EXPECT_TRUE(wait_until([&] {
        return std::all_of(proxies.begin(), proxies.end(), [](const auto& p) {
            return p->received.find("replace 1") != std::string::npos;
        });
    }));
    collector.send_message("LOAD zone north server s-a tries 20 failed 0 mean_ms 40 span_ms 1000");
    discovery.add_change(server_json("s-a", "north", "Terminating"));
    EXPECT_TRUE(
        wait_until([&] { return proxies[1]->received.find("s-a:0") != std::string::npos; }));

    std::ofstream(path) << "{";
    process.child->signal(SIGHUP);
    EXPECT_TRUE(process.child->shows("config.refused"));
    second.set_first_generation(discovery.generation());
    std::ofstream(path) << node_config(listen, net::to_text(second.address()));
    process.child->signal(SIGHUP);
    EXPECT_TRUE(process.child->shows("config.reloaded"));
    second.add_change(server_json("s-d", "north"));
    EXPECT_TRUE(wait_until([&] { return proxies[1]->received.find("s-d:") != std::string::npos; }));
    for (const auto& proxy : proxies) {
        EXPECT_EQ(proxy->end_reason, "") << "connections stay open during a reload";
    }

#ifndef __SANITIZE_ADDRESS__
    // Guards against reading the configuration into a buffer of its maximum size, which took 16 MiB
    // of the 32 MB that a small instance has.
    EXPECT_LT(memory_kb(process.child->id(), "VmHWM:"), 20 * 1024);
#endif
    process.child->signal(SIGTERM);
    EXPECT_EQ(process.child->wait(), 0);
    EXPECT_NE(process.child->text().find("node.stopping"), std::string::npos);
}

}  // namespace
}  // namespace badgergrade::test
