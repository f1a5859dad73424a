// Rare orders of events at a control plane instance on the platform, each forced to happen: what
// can occur between two steps of it. Each test begins with the failure that it guards against.
#include <gtest/gtest.h>

#include <csignal>

#include "net/signals.h"
#include "platform_server/config_reload.h"
#include "raw_peer.h"

namespace badgergrade::test {
namespace {

using namespace std::chrono_literals;
using Then = RawSocket::Then;

std::string list(int generation, bool whole, const std::string& rows) {
    return R"({"generation":)" + std::to_string(generation) + R"(,"reset":)" +
           (whole ? "true" : "false") + R"(,"instances":[)" + rows + "]}";
}

// ---- connections

// Failure: the instance gets no processor for longer than the identification time-out while 300
// proxies identify themselves; judged by the clock alone, all of them would get NACK. What lies
// unread in the sockets must be read before a peer is rejected: all 300 are connected, none is
// rejected.
TEST(NodeMoments, MessagesThatLieUnreadDuringAStallCountBeforeTheTimeOut) {
    RawStage stage(300, 1024);
    stage.start();
    std::vector<RawSocket> proxies;
    proxies.reserve(300);
    for (int k = 0; k < 300; ++k) {
        proxies.emplace_back(stage.server->address());
    }
    stage.run(0ms);
    ASSERT_EQ(stage.server->statistics().unidentified, 300u);
    stage.stall(1300ms, [&] {
        for (int k = 0; k < 300; ++k) {
            proxies[static_cast<std::size_t>(k)].join(k, k % 2 ? "north" : "south");
        }
    });
    stage.run(10ms);
    EXPECT_EQ(stage.server->statistics().proxies, 300u);
    EXPECT_EQ(stage.server->statistics().rejected, 0);
}

// Failure: reading before rejecting could spare peers that never identify themselves, so that their
// connections add up. A silent peer gets NACK and an end, one that only sent PING gets its PONG and
// is then closed as well.
TEST(NodeMoments, PeersThatStayedSilentThroughAStallAreStillRejected) {
    RawStage stage;
    stage.start();
    RawSocket silent(stage.server->address());
    RawSocket asks(stage.server->address());
    stage.run(0ms);
    stage.stall(1300ms, [&] { asks.say({"PING"}); });
    Then how{};
    EXPECT_NE(silent.read(&how).find("NACK"), std::string::npos);
    EXPECT_EQ(how, Then::End);
    EXPECT_NE(asks.read().find("PONG"), std::string::npos);
    stage.run(700ms);
    EXPECT_EQ(stage.server->statistics().connections, 0u);
}

// Failure: all places are taken and new connections are accepted before the messages of the older
// ones are read; the older ones would be evicted as unidentified although they have sent SUBSCRIBE.
// All 28 proxies must be connected, none rejected.
TEST(NodeMoments, ANewConnectionEvictsNoPeerWhoseSubscribeLiesUnread) {
    RawStage stage(40, 48);
    stage.start();
    std::vector<RawSocket> first;
    std::vector<RawSocket> later;
    first.reserve(28);
    for (int k = 0; k < 28; ++k) {
        first.emplace_back(stage.server->address());
    }
    stage.run(0ms);
    ASSERT_EQ(stage.server->statistics().connections, 28u);
    // The new connection is in the queue of the listener before the others have sent a byte: it is
    // accepted first.
    later.reserve(5);
    for (int k = 0; k < 5; ++k) {
        later.emplace_back(stage.server->address());
    }
    for (int k = 0; k < 28; ++k) {
        first[static_cast<std::size_t>(k)].join(k);
    }
    stage.run(50ms);
    EXPECT_EQ(stage.server->statistics().proxies, 28u);
    EXPECT_EQ(stage.server->statistics().rejected, 0);
}

// Failure: closing a socket with unread input is a reset, which costs the peer the NACK that says
// why it was rejected. The peer must read the NACK and then a normal end, also if it sends on; a
// peer that never closes its side is closed after the time-out.
TEST(NodeMoments, ARejectionReachesAPeerThatKeepsSending) {
    RawStage stage;
    stage.start();
    RawSocket peer(stage.server->address());
    stage.run(0ms);
    peer.send("GET / HTTP/1.1\r\n\r\n" + std::string(400 * 1024, 'x'));
    stage.run(20ms);
    // What a peer sends on, before it has read that it was refused, is no reason for a reset
    // either.
    peer.send(std::string(1000, 'x'));
    stage.run(20ms);
    Then how{};
    EXPECT_NE(peer.read(&how).find("NACK"), std::string::npos);
    EXPECT_EQ(how, Then::End) << "an end after the answer, no reset";
    peer.send(std::string(1000, 'x'));
    stage.run(1s);
    EXPECT_EQ(stage.server->statistics().connections, 0u) << "a refused peer that stays is closed";
}

// Failure: rejected peers that wait for their time-out hold all places, and proxies that connect in
// the meantime find none. Rejected connections must be closed early for them: all 28 proxies
// connect.
TEST(NodeMoments, RejectedPeersAreEvictedForNewConnections) {
    RawStage stage(40, 48);
    stage.start();
    std::vector<RawSocket> bad;
    std::vector<RawSocket> good;
    for (int k = 0; k < 28; ++k) {
        bad.emplace_back(stage.server->address());
        bad.back().send("x");
    }
    stage.run(1ms);
    for (int k = 0; k < 28; ++k) {
        good.emplace_back(stage.server->address());
        good.back().join(k);
    }
    stage.run(10ms);
    EXPECT_EQ(stage.server->statistics().proxies, 28u);
}

// Failure: the instance stops while a report of a proxy lies unread; a reset at the close would
// destroy the last update on its way. The proxy must read the whole update and then a normal end.
TEST(NodeMoments, UpdatesWrittenBeforeTheStopReachTheProxy) {
    RawStage stage;
    stage.start();
    RawSocket proxy(stage.server->address());
    proxy.join(1);
    stage.run(20ms);
    proxy.say(
        {"RATE", "proxy", "1", "class", "order", "tries", "1", "failed", "0", "span_ms", "1000"});
    stage.server->stop();
    Then how{};
    EXPECT_NE(readable(proxy.read(&how)).find("replace 1"), std::string::npos);
    EXPECT_EQ(how, Then::End) << "an end, though its report lay unread";
}

// Failure: ends of old collector connections are never seen and their number grows without bound,
// or the bound hits the one collector that reports. At most 4 a zone stay open, the reporting one
// among them.
TEST(NodeMoments, SilentCollectorsAreBoundedAndTheReportingOneStays) {
    RawStage stage;
    stage.start();
    RawSocket reports(stage.server->address());
    reports.say({"SOURCE", "zone", "north"});
    std::vector<RawSocket> silent;
    for (int k = 0; k < 40; ++k) {
        silent.emplace_back(stage.server->address());
        silent.back().say({"SOURCE", "zone", k % 2 ? "north" : "south"});
        reports.say({"LOAD", "zone", "north", "server", "s-a", "tries", "1", "failed", "0",
                     "mean_ms", "1", "span_ms", "100"});
        stage.run(50ms);
    }
    EXPECT_LE(stage.server->statistics().connections, 8u);
    Then how{};
    reports.read(&how);
    EXPECT_EQ(how, Then::Open);
}

// Failure: proxies with the same update share its bytes; if only one of them had its version
// recorded as pending, the ACK of the other would be dropped as invalid. Both ACKs must count.
TEST(NodeMoments, ProxiesOfOneUpdateGetItsVersionAndEachAckCounts) {
    RawStage stage;
    stage.start();
    RawSocket one(stage.server->address());
    RawSocket two(stage.server->address());
    one.join(1);
    two.join(3);
    stage.run(20ms);
    const std::string first = readable(one.read());
    const std::string second = readable(two.read());
    EXPECT_EQ(first, second);
    const auto at = first.find("stamp ");
    ASSERT_NE(at, std::string::npos) << first;
    const std::string version = first.substr(at + 6, first.find('\n', at) - at - 6);
    one.say({"ACK", "proxy", "1", "mark", version, "took_ms", "3"});
    two.say({"ACK", "proxy", "3", "mark", version, "took_ms", "3"});
    stage.run(5ms);
    EXPECT_EQ(stage.server->statistics().acknowledged, 2);
    EXPECT_EQ(stage.server->statistics().invalid_messages, 0);
}

// Failure: versions wrap at 65,536; if the smallest number were dropped instead of the oldest, the
// ACK of the newest version would be lost. The newest is awaited, a dropped one is late, one that
// was never sent is unknown.
TEST(NodeMoments, TheOldestPendingVersionIsDroppedFirstAlsoWhenNumbersWrap) {
    platform_server::PendingAcks pending;
    for (int k = 0; k < 300; ++k) {
        pending.on_sent({(65400 + k) % 65536});
    }
    EXPECT_EQ(pending.on_acknowledged({(65400 + 299) % 65536}),
              platform_server::PendingAcks::Answer::Awaited)
        << "the newest";
    EXPECT_EQ(pending.on_acknowledged({65400}), platform_server::PendingAcks::Answer::Late)
        << "the oldest: late, not spoilt";
    EXPECT_EQ(pending.size(), 255u);
    platform_server::PendingAcks fresh;
    fresh.on_sent({7});
    EXPECT_EQ(fresh.on_acknowledged({8}), platform_server::PendingAcks::Answer::Unknown);
}

// Failure: at a restart the previous process still holds the address, and the new one would exit.
// It must keep trying, and serve as soon as the address is free.
TEST(NodeMoments, ListeningIsRetriedWhileThePreviousProcessHoldsTheAddress) {
    RawStage stage;
    RawListener before;
    stage.config.listen = before.address();
    stage.start();
    stage.run(1s);
    EXPECT_EQ(stage.logged("node.started"), 0);
    before.end();
    stage.run(100ms);
    EXPECT_EQ(stage.logged("node.started"), 1);
    RawSocket peer(stage.server->address());
    peer.say({"PING"});
    stage.run(10ms);
    EXPECT_NE(peer.read().find("PONG"), std::string::npos);
}

// Failure: another process holds the address for good, and the instance would wait for ever without
// anybody noticing. After the time limit ListenError must end it.
TEST(NodeMoments, ListeningFailsWhenTheAddressStaysInUse) {
    RawStage stage;
    RawListener other;
    stage.config.listen = other.address();
    stage.start();
    EXPECT_THROW(stage.run(11s), platform_server::ListenError);
}

// ---- discovery

// Failure: a long list arrives in pieces that take longer than the time-out of a call in all, and
// would be cut off again and again. Only a pause within an answer may end it: the list is used,
// without a warning, and the next call follows.
TEST(NodeMoments, ASnapshotInSlowPiecesIsUsedHoweverLongItTakes) {
    RawStage stage;
    stage.start();
    ASSERT_TRUE(stage.discovery.waits());
    RawSocket agent = stage.discovery.take();
    const std::string bytes =
        RawStage::answer(list(5, true, row("s-a", "north") + "," + row("s-new", "south")));
    for (std::size_t at = 0, piece = bytes.size() / 6; at < bytes.size(); at += piece) {
        agent.send(std::string_view(bytes).substr(at, piece));
        stage.run(900ms);
    }
    EXPECT_EQ(stage.logged("discovery.trouble"), 0);
    EXPECT_EQ(stage.logged("endpoints.updated generation=5 whole=yes rows=2"), 1);
    EXPECT_EQ(RawStage::target(agent.read().substr(1)), "/discovery/hosts?from=1&hold_ms=2000");
}

// Failure: discovery stops in the middle of an answer without closing the connection; waiting for
// the rest would blind the watch. The call must be ended with a warning and made again from the
// same generation.
TEST(NodeMoments, AnAnswerThatStopsHalfWayIsRequestedAgain) {
    RawStage stage;
    stage.start();
    RawSocket agent = stage.discovery.take();
    agent.send(RawStage::answer(list(5, true, row("s-a", "north"))).substr(0, 60));
    stage.run(4s);
    EXPECT_GE(stage.logged("discovery.trouble"), 1);
    ASSERT_TRUE(stage.discovery.waits());
    EXPECT_EQ(RawStage::target(stage.discovery.take().read()),
              "/discovery/hosts?from=1&hold_ms=2000");
}

// Failure: the instance gets no processor past the time-out of a call whose answer has arrived;
// judged by the clock alone the answer would be thrown away. It must be used, without a warning.
TEST(NodeMoments, AnAnswerThatArrivedDuringAStallIsNotTimedOut) {
    RawStage stage;
    stage.start();
    RawSocket agent = stage.discovery.take();
    stage.stall(2500ms, [&] {
        agent.send(RawStage::answer(list(2, false, row("s-a", "north", "Terminating"))));
    });
    EXPECT_EQ(stage.logged("discovery.trouble"), 0);
    EXPECT_EQ(stage.logged("endpoints.updated generation=2"), 1);
}

// Failure: a reload moves discovery while an answer of the old address lies unread; it would be
// lost, or the same changes be requested and used twice. It must be used exactly once, and the new
// address be asked from the generation after it.
TEST(NodeMoments, AnAnswerThatLiesUnreadWhenDiscoveryMovesIsUsedOnce) {
    RawStage stage;
    RawListener second;
    stage.start();
    RawSocket agent = stage.discovery.take();
    auto moved = stage.config;
    moved.discovery = second.address();
    agent.send(RawStage::answer(list(2, false, row("s-a", "north", "Terminating"))));
    stage.server->reload(moved);
    EXPECT_EQ(stage.logged("endpoints.updated generation=2"), 1);
    stage.run(10ms);
    ASSERT_TRUE(second.waits());
    RawSocket agent_two = second.take();
    EXPECT_EQ(RawStage::target(agent_two.read()), "/discovery/hosts?from=2&hold_ms=2000")
        << "never told twice";
    EXPECT_EQ(stage.logged("endpoints.updated generation=2"), 1);
}

// Failure: discovery closes the kept connection just as the next call goes out on it. The call must
// be made again on a new connection within 200 ms, so that the watch has no gap.
TEST(NodeMoments, AConnectionClosedBetweenTwoCallsCausesNoGapInTheWatch) {
    RawStage stage;
    stage.start();
    {
        RawSocket agent = stage.discovery.take();
        agent.read();
        agent.send(RawStage::answer(list(2, false, row("s-d", "south"))));
    }
    stage.run(190ms);
    ASSERT_TRUE(stage.discovery.waits()) << "the next call of the watch is due within 200 ms";
    EXPECT_EQ(RawStage::target(stage.discovery.take().read()),
              "/discovery/hosts?from=2&hold_ms=2000");
    EXPECT_EQ(stage.server->statistics().servers, 4u);
}

// Failure: discovery was started anew and counts generations from the beginning; its changes don't
// belong to the list that is held. They must not be used: the whole list is requested, then the
// watch goes on from it.
TEST(NodeMoments, ADiscoveryThatLostItsGenerationsIsAskedForASnapshot) {
    RawStage stage;
    stage.config.initial_list.generation = 41;
    stage.start();
    RawSocket agent = stage.discovery.take();
    EXPECT_EQ(RawStage::target(agent.read()), "/discovery/hosts?from=41&hold_ms=2000");
    agent.send(RawStage::answer(list(3, false, "")));
    stage.run(100ms);
    EXPECT_EQ(RawStage::target(agent.read()), "/discovery/hosts");
    agent.send(RawStage::answer(list(4, true, row("s-a", "north") + "," + row("s-c", "south"))));
    stage.run(10ms);
    EXPECT_EQ(stage.logged("endpoints.updated generation=4 whole=yes rows=2"), 1);
    EXPECT_EQ(RawStage::target(agent.read()), "/discovery/hosts?from=4&hold_ms=2000");
}

// Failure: a broken discovery answers with an empty snapshot; believed, it would set all weights of
// all proxies to 0. The list before must stay, with a warning, and the watch go on.
TEST(NodeMoments, AnEmptySnapshotTakesNoServerAway) {
    RawStage stage;
    stage.start();
    RawSocket proxy(stage.server->address());
    RawSocket agent = stage.discovery.take();
    proxy.join(1);
    stage.run(20ms);
    proxy.read();
    agent.send(RawStage::answer(list(9, true, "")));
    stage.run(100ms);
    EXPECT_EQ(readable(proxy.read()).find(":0"), std::string::npos);
    EXPECT_EQ(stage.logged("without instances"), 1);
    agent.read();
    agent.send(RawStage::answer(list(10, true, row("s-a", "north") + "," + row("s-c", "south"))));
    stage.run(700ms);
    EXPECT_EQ(stage.logged("endpoints.updated generation=10"), 1) << "the watch goes on";
}

// Failure: one entry of a snapshot can't be read and its server would count as gone. The server
// must stay as it was, while one that is not named at all is removed.
TEST(NodeMoments, AnUnreadableEntryOfASnapshotDropsNoServer) {
    RawStage stage;
    stage.start();
    RawSocket proxy(stage.server->address());
    RawSocket agent = stage.discovery.take();
    proxy.join(1);
    stage.run(20ms);
    proxy.read();
    std::string spoilt = row("s-b", "north");
    spoilt.replace(spoilt.find("Ready"), 5, "Rxady");
    agent.send(RawStage::answer(list(9, true, spoilt + "," + row("s-c", "south"))));
    stage.run(500ms);
    const std::string orders = readable(proxy.read());
    EXPECT_NE(orders.find("s-a:0"), std::string::npos) << "not named: gone";
    EXPECT_EQ(orders.find("s-b:0"), std::string::npos)
        << "named, though nothing else of it can be read: " << orders;
}

// ---- signals and settings

// Failure: SIGHUP arrives while the file is half written, and no second signal follows; the new
// configuration would never be applied. It must be read again until it is complete, with one log
// line, and the attempts must end after a while.
TEST(NodeMoments, AHalfWrittenConfigurationIsReadAgain) {
    net::Loop loop(1000s);
    std::vector<std::string> lines;
    log::Log log(loop.clock(), log::Level::Info, log::Form::Text,
                 [&](const std::string& line) { lines.push_back(line); });
    std::string file = "{";
    int applied = 0;
    platform_server::ConfigReload reload(
        loop.clock(), base::ActorId{1}, log::Logger(log, "n3"),
        [&] { return platform::read_config(file); },
        [&](const platform::NodeConfig&) { ++applied; });
    reload.begin();
    loop.run_until(loop.clock().now() + 300ms);
    EXPECT_EQ(applied, 0);
    EXPECT_EQ(lines.size(), 1u) << "one line, however often it is tried";
    file = node_config();
    loop.run_until(loop.clock().now() + 10s);
    EXPECT_EQ(applied, 1) << "no second signal is needed, and it is taken once";
    file = "{";
    reload.begin();
    reload.begin();
    loop.run_until(loop.clock().now() + 10s);
    file = node_config();
    loop.run_until(loop.clock().now() + 10s);
    EXPECT_EQ(applied, 1) << "what stays unreadable is given up";
}

// Failure: a signal arrives during the start and kills the process, or is lost. It must wait until
// the loop runs and then be handled.
TEST(NodeMoments, SignalsBeforeTheLoopRunsAreHandledByIt) {
    net::Loop loop;
    net::Signals signals(loop, net::Signals::Hangup::Reloads);
    raise(SIGHUP);
    raise(SIGHUP);
    raise(SIGTERM);
    int hangups = 0;
    int ends = 0;
    signals.run([&] { ++ends; }, 0us, [&] { ++hangups; });
    EXPECT_GE(hangups, 1);
    EXPECT_EQ(ends, 1);
}

// Failure: SIGHUP arrives after SIGTERM, and the reload would open a call to discovery in a server
// that has stopped. Nothing must be opened.
TEST(NodeMoments, AReloadAfterTheStopHasNoEffect) {
    RawStage stage;
    stage.start();
    RawListener second;
    stage.server->stop();
    auto moved = stage.config;
    moved.discovery = second.address();
    stage.server->reload(moved);
    stage.run(1s);
    EXPECT_FALSE(second.waits());
}

// Failure: operation names with '=', commas or blanks break the settings' line form, or more
// operations than a mask of 64 bits holds are taken. All names are read as they stand; 65
// operations are refused with a text that says so.
TEST(NodeMoments, OperationNamesMayHoldAnyCharacterAndTooManyAreRefused) {
    const auto classes = [](int count) {
        std::string out;
        for (int k = 0; k < count; ++k) {
            out +=
                std::string(k ? "," : "") + R"({"name":"k=)" + std::to_string(k) +
                R"j( (\u00fc/x,y)","aim":500.0,"deadline":2000.0,"effect":"unsafe","worth":1.0})j";
        }
        return out;
    };
    const auto with = [&](int count) {
        std::string text = node_config();
        const auto begin = text.find("\"request_classes\":[") + 19;
        const auto end = text.find("],\n\"rules\"");
        return text.replace(begin, end - begin, classes(count));
    };
    for (const int count : {1, 64}) {
        const auto config = platform::read_config(with(count));
        ASSERT_EQ(config.settings.operations.size(), static_cast<std::size_t>(count));
        EXPECT_EQ(config.protocol_names.operations.front(), "k=0 (\u00fc/x,y)");
    }
    try {
        platform::read_config(with(65));
        ADD_FAILURE() << "65 classes are more than the module holds";
    } catch (const platform::ParseError& wrong) {
        EXPECT_NE(std::string(wrong.what()).find("request_classes.count is out of range: '65'"),
                  std::string::npos)
            << wrong.what();
    }
}

// ---- memory

// Failure: memory grows with every server and connection that ever was, over a day that replaces
// all of them again and again. Servers, timers, connections and buffers must stay bounded.
TEST(NodeMoments, NothingGrowsWhileAllServersAndConnectionsAreReplaced) {
    RawStage stage;
    stage.start();
    std::vector<RawSocket> streams;
    RawSocket agent = stage.discovery.take();
    std::size_t servers_most = 0;
    std::size_t timers_most = 0;
    for (int round = 0; round < 12; ++round) {
        std::string rows;
        for (int k = 0; k < 20; ++k) {
            const std::string name = std::to_string(k);
            const std::string zone = k % 2 ? "north" : "south";
            rows += row("s-" + std::to_string(round + 1) + "-" + name, zone) + ",";
            if (round > 0) {
                rows += row("s-" + std::to_string(round) + "-" + name, zone, "Gone") + ",";
            }
        }
        rows.pop_back();
        agent.read();
        agent.send(RawStage::answer(list(round + 2, false, rows)));
        std::vector<RawSocket> fresh;
        for (int number = 0; number < 4; ++number) {
            fresh.emplace_back(stage.server->address());
            fresh.back().join(number, number % 2 ? "north" : "south", "0");
        }
        streams = std::move(fresh);
        // Calls that find nothing new are answered as they come; 140 s pass.
        for (int second = 0; second < 70; ++second) {
            stage.run(2s);
            for (RawSocket& stream : streams) {
                stream.read();
            }
            if (!agent.read().empty() && second < 69) {
                agent.send(RawStage::answer(list(round + 2, false, "")));
            }
        }
        if (round < 3) {
            continue;
        }
        servers_most = std::max(servers_most, stage.server->statistics().servers);
        timers_most = std::max(timers_most, stage.server->statistics().timers);
        EXPECT_EQ(stage.server->statistics().connections, 4u);
        EXPECT_EQ(stage.server->statistics().buffered_bytes, 0u);
    }
    EXPECT_LE(servers_most, 43u) << "those of two rounds, and the three of the configuration";
    EXPECT_LE(timers_most, 2u);
}

}  // namespace
}  // namespace badgergrade::test
