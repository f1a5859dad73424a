// The parts without sockets: clock, channel, reports, HTTP/1.1, gRPC framing, the board and the
// stream's states.
#include <gtest/gtest.h>

#include "base/clock.h"
#include "base/random.h"
#include "net/grpc.h"
#include "net/http1.h"
#include "pacing/paced_send_queue.h"
#include "xds/ads_client.h"
#include "xds/ads_server.h"
#include "xds/snapshot_cache.h"
#include "xds_server/load_report_queue.h"

namespace badgergrade::test {
namespace {

using namespace std::chrono_literals;

TEST(Clock, RunsTimersByTimeActorAndOrder) {
    base::VirtualClock clock(0us);
    std::string order;
    base::Timer a(clock, {2});
    base::Timer b(clock, {1});
    base::Timer c(clock, {1});
    base::Timer d(clock, {9});
    a.after(5us, [&] { order += "a"; });
    b.after(5us, [&] { order += "b"; });
    c.after(5us, [&] { order += "c"; });
    d.after(4us, [&] {
        order += "d";
        d.after(0us, [&] { order += "D"; });
    });
    while (clock.step(1s)) {}
    EXPECT_EQ(order, "dDbca");
    EXPECT_EQ(clock.now(), 5us);
}

TEST(Clock, ATimerDiesWithItsOwner) {
    base::VirtualClock clock(0us);
    bool ran = false;
    {
        base::Timer gone(clock, {1});
        gone.after(1us, [&] { ran = true; });
    }
    EXPECT_FALSE(clock.step(1s));
    EXPECT_FALSE(ran);
}

// ---- channel

xds::Message message(int proxy, double lines, Micros at) {
    xds::Message m;
    m.proxy = {proxy};
    m.lines = lines;
    m.ordered = at;
    return m;
}

TEST(Channel, SendsSoManyLinesASecondInOrder) {
    pacing::PacedSendQueue channel(1000);
    channel.put(0us, message(1, 100, 0us));
    channel.put(0us, message(2, 50, 0us));
    EXPECT_EQ(channel.waiting(), 150);
    EXPECT_EQ(*channel.due(), 100ms);
    EXPECT_FALSE(channel.take(99ms));
    EXPECT_EQ(channel.take(100ms)->proxy.value, 1);
    EXPECT_EQ(channel.waiting(), 50);
    EXPECT_EQ(*channel.due(), 150ms);
    EXPECT_EQ(channel.take(150ms)->proxy.value, 2);
    EXPECT_FALSE(channel.due());
}

TEST(Channel, SlowsDownInTheMidstOfAMessageAndBack) {
    pacing::PacedSendQueue channel(1000);
    channel.put(0us, message(1, 100, 0us));
    channel.set_pace(50ms, 0.5);
    EXPECT_EQ(*channel.due(), 150ms);
    channel.set_pace(100ms, 1);
    EXPECT_EQ(*channel.due(), 125ms);
}

TEST(Channel, LosesWhatWasForOneThatLeft) {
    pacing::PacedSendQueue channel(1000);
    channel.put(0us, message(1, 10, 0us));
    channel.put(0us, message(2, 10, 0us));
    channel.drop({1});
    EXPECT_EQ(channel.take(1s)->proxy.value, 2);
    EXPECT_EQ(channel.figures().dropped, 1);
}

// ---- reports

Settings told() {
    Settings s;
    s.zone_count = 2;
    for (const char* name : {"look", "order"}) {
        Operation op;
        op.name = name;
        op.latency_objective = 500ms;
        op.integration_timeout = 2s;
        s.operations.push_back(op);
    }
    s.operations[0].effect = Effect::Idempotent;
    s.report_interval = 1s;
    s.max_reports_per_second = 10;
    s.message_head_lines = 3;
    s.channel_lines_per_second = 1000;
    return s;
}

TEST(Reports, SumUpByZoneAndServerAndPassNoFasterThanTheIntake) {
    xds_server::LoadReportQueue reports(told());
    std::vector<std::string> unknown;
    std::map<net::Address, ServerId> servers;
    for (int k = 0; k < 30; ++k) {
        servers[{"127.0.0.1", static_cast<std::uint16_t>(k + 1)}] = {static_cast<std::uint32_t>(k)};
    }
    xds::LoadReport one;
    one.span = 1s;
    for (const auto& [address, id] : servers) {
        one.endpoints[address] = {4, 1, 3, 3000.0, {}};
    }
    one.operations["look"] = {9, 1};
    reports.add({{1}, {0}}, one, servers, unknown);
    reports.add({{2}, {0}}, one, servers, unknown);
    EXPECT_TRUE(unknown.empty());
    reports.close_period(10s);
    EXPECT_EQ(reports.waiting(), 32u);
    auto first = reports.take(10s);
    EXPECT_EQ(first.size(), 10u) << "one second's worth at most";
    const auto& heard = std::get<event::ServerLoadReport>(first.at(0));
    EXPECT_EQ(heard.attempts, 8);
    EXPECT_EQ(heard.failures, 2);
    EXPECT_EQ(heard.mean_latency, 1000us);
    EXPECT_EQ(reports.take(10s + 500ms).size(), 5u);
    EXPECT_EQ(reports.take(20s).size(), 10u);
    EXPECT_EQ(reports.take(30s).size(), 7u);
}

TEST(Reports, TellWhatTheyDoNotKnow) {
    xds_server::LoadReportQueue reports(told());
    std::vector<std::string> unknown;
    xds::LoadReport one;
    one.span = 1s;
    one.endpoints[{"127.0.0.1", 9}] = {1, 0, 1, 5, {}};
    one.operations["nobody"] = {1, 0};
    reports.add({{1}, {0}}, one, {}, unknown);
    EXPECT_EQ(unknown.size(), 2u);
}

TEST(LoadSums, TravelThereAndBack) {
    xds::LoadReport one;
    one.span = 1500ms;
    one.endpoints[{"127.0.0.1", 80}] = {10, 3, 7, 1234.5, {{"cpu", 0.5}}};
    one.operations["look"] = {11, 2};
    std::vector<std::string> refused;
    const auto back = xds::read_report(xds::to_message(one), refused);
    EXPECT_TRUE(refused.empty());
    EXPECT_EQ(back.span, one.span);
    const auto& sums = back.endpoints.at({"127.0.0.1", 80});
    EXPECT_EQ(sums.tries, 10);
    EXPECT_EQ(sums.answer_us, 1234.5);
    EXPECT_EQ(sums.load.at("cpu"), 0.5);
    EXPECT_EQ(back.operations.at("look").errored, 2);
}

TEST(LoadSums, RefuseCountsOutOfRange) {
    xds::LoadReport one;
    one.span = 1s;
    one.endpoints[{"127.0.0.1", 80}] = {-5, 0, 0, 0, {}};
    one.operations["look"] = {-1, 0};
    std::vector<std::string> refused;
    const auto back = xds::read_report(xds::to_message(one), refused);
    EXPECT_EQ(refused.size(), 2u);
    EXPECT_TRUE(back.endpoints.empty());
    EXPECT_TRUE(back.operations.empty());
}

// ---- HTTP/1.1

TEST(Http1, ReadsMessagesInAnyPieces) {
    const std::string text =
        "POST /invoke/x HTTP/1.1\r\nHost: a\r\nX-Key: b\r\nContent-Length: 5\r\n\r\nhelloGET / "
        "HTTP/1.1\r\n\r\n";
    for (std::size_t piece = 1; piece < text.size(); ++piece) {
        std::vector<net::HttpMessage> got;
        net::Http1Parser parser(net::Http1Parser::Kind::Requests, {},
                                [&](net::HttpMessage m) { got.push_back(std::move(m)); });
        for (std::size_t at = 0; at < text.size(); at += piece) {
            ASSERT_TRUE(parser.feed(text.substr(at, piece))) << parser.error();
        }
        ASSERT_EQ(got.size(), 2u) << piece;
        EXPECT_EQ(got[0].body, "hello");
        EXPECT_EQ(got[0].header("x-key"), "b");
        EXPECT_EQ(got[1].method, "GET");
    }
}

TEST(Http1, RefusesWhatSmugglesAndWhatHasNoEnd) {
    const std::string bad[] = {
        "GET / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
        "nonsense\r\n\r\n",
    };
    for (const auto& text : bad) {
        net::Http1Parser parser(net::Http1Parser::Kind::Requests, {}, [](net::HttpMessage) {});
        EXPECT_FALSE(parser.feed(text)) << text.substr(0, 60);
        EXPECT_FALSE(parser.error().empty());
        EXPECT_FALSE(parser.feed("GET / HTTP/1.1\r\n\r\n")) << "goes on after a mistake";
    }
}

TEST(Grpc, FramesMessagesInAnyPieces) {
    const std::string all =
        net::grpc_frame("one") + net::grpc_frame("") + net::grpc_frame(std::string(1000, 'x'));
    for (std::size_t piece : {1u, 3u, 7u, 2000u}) {
        net::GrpcFramer framer(1000);
        std::vector<std::string> got;
        for (std::size_t at = 0; at < all.size(); at += piece) {
            ASSERT_TRUE(framer.feed(all.substr(at, piece),
                                    [&](std::string_view m) { got.emplace_back(m); }));
        }
        ASSERT_EQ(got.size(), 3u);
        EXPECT_EQ(got[2].size(), 1000u);
        EXPECT_FALSE(framer.midway());
    }
    net::GrpcFramer framer(10);
    EXPECT_FALSE(framer.feed(net::grpc_frame("more than ten bytes"), [](std::string_view) {}));
    net::GrpcFramer packed(10);
    EXPECT_FALSE(packed.feed(std::string("\1\0\0\0\1x", 6), [](std::string_view) {}));
}

// ---- the board and the stream

struct Wire {
    explicit Wire(const Settings& settings = told())
        : board(settings, {"north", "south"}, 4s),
          server("g.1"),
          client([] {
              envoy::config::core::v3::Node node;
              node.set_id("f");
              return node;
          }()) {
        for (std::uint32_t k = 1; k <= 4; ++k) {
            board.place({k}, {{"127.0.0.1", static_cast<std::uint16_t>(9000 + k)},
                              k < 3 ? "north" : "south"});
        }
        board.joined({0});
    }

    std::vector<xds::Message> order(const std::vector<Command>& actions) {
        auto out = board.order(now, actions, refused);
        for (const auto& m : out) {
            server.give(now, m);
        }
        return out;
    }

    // Client and server talk until neither has anything to say; what was proven is kept.
    void talk() {
        if (!std::exchange(begun, true)) {
            for (const auto& r : client.start()) {
                requests.push_back(r);
            }
        }
        for (int turns = 0; turns < 50; ++turns) {
            for (const auto& r : std::exchange(requests, {})) {
                auto out = server.on_request(r);
                for (const auto& a : out.applied) {
                    if (a.mark) {
                        marks.push_back(a.mark->value);
                    }
                }
                if (out.rejected) {
                    rejected.push_back(out.rejected->why);
                }
            }
            const auto responses = server.take_responses();
            if (responses.empty()) {
                return;
            }
            for (const auto& r : responses) {
                const auto out = client.on_response(r);
                requests.insert(requests.end(), out.requests.begin(), out.requests.end());
            }
        }
        FAIL() << "they never stop talking";
    }

    std::vector<int> ports(const char* operation) const {
        std::vector<int> out;
        const auto route = client.tables().routes.find(xds::path_of(operation));
        if (route == client.tables().routes.end()) {
            return out;
        }
        for (const auto& line : client.tables().clusters.at(route->second.cluster).lines) {
            if (!line.draining) {
                out.push_back(line.address.port);
            }
        }
        return out;
    }

    Micros now = 1000s;
    xds::SnapshotCache board;
    xds::AdsServer server;
    xds::AdsClient client;
    std::vector<xds::AdsClient::Request> requests;
    std::vector<int> marks;
    std::vector<std::string> refused, rejected;
    bool begun = false;
};

TEST(Stream, LaysBeforeItBindsAndProvesTheMark) {
    Wire wire;
    const auto sent =
        wire.order({command::SetWeight{{0}, {1}, 1}, command::SetWeight{{0}, {2}, 0.5},
                    command::AssignTable{{0}, 0, {0}}, command::RequestAck{{5}, false}});
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].lines, 3 + 1 + 1 + 2);
    wire.talk();
    EXPECT_EQ(wire.ports("look"), (std::vector<int>{9001, 9002}));
    EXPECT_EQ(wire.marks, std::vector<int>{5});
    EXPECT_EQ(wire.client.tables().clusters.at("table-0").lines[1].weight, 0.5);
}

TEST(Stream, MovesFromOneTableToAnotherWithoutAGap) {
    Wire wire;
    wire.order({command::SetWeight{{0}, {1}, 1}, command::AssignTable{{0}, 0, {0}},
                command::RequestAck{{1}, false}});
    wire.talk();
    wire.order({command::SetWeight{{7}, {3}, 1}, command::AssignTable{{7}, 0, {0}},
                command::RequestAck{{2}, false}});
    wire.talk();
    EXPECT_EQ(wire.ports("look"), std::vector<int>{9003});
    EXPECT_EQ(wire.marks, (std::vector<int>{1, 2}));
    EXPECT_FALSE(wire.client.tables().clusters.contains("table-0"))
        << "the old cluster stays for ever";
}

TEST(Stream, WithdrawsWhateverTheTableSays) {
    Wire wire;
    wire.order({command::SetWeight{{0}, {1}, 1}, command::SetWeight{{0}, {2}, 1},
                command::AssignTable{{0}, 0, {0}}, command::RequestAck{{1}, false}});
    wire.talk();
    wire.order({command::SetEjected{{1}, true}, command::RequestAck{{2}, false}});
    wire.talk();
    EXPECT_EQ(wire.ports("look"), std::vector<int>{9002});
    EXPECT_TRUE(wire.client.tables().withdrawn.contains({"127.0.0.1", 9001}));
    wire.order({command::SetEjected{{1}, false}, command::RequestAck{{3}, false}});
    wire.talk();
    EXPECT_TRUE(wire.client.tables().withdrawn.empty());
    EXPECT_EQ(wire.marks, (std::vector<int>{1, 2, 3}));
}

TEST(Stream, NeverOrdersASecondTryOfWhatHasEffects) {
    Wire wire;
    wire.order({command::SetWeight{{0}, {1}, 1}, command::AssignTable{{0}, 0, {0}},
                command::SetAdmission{{0}, 0, 1, RetryMode::Twice},
                command::RequestAck{{1}, false}});
    wire.talk();
    EXPECT_EQ(wire.client.tables().routes.at("/invoke/look").again, RetryMode::Twice);
    EXPECT_EQ(wire.client.tables().routes.at("/invoke/order").again, RetryMode::OnlyUnprocessed);
}

// An ACK of the second response says nothing of a first that was rejected.
TEST(Stream, ALaterAckDoesNotCoverARejection) {
    Wire wire;
    wire.order({command::SetWeight{{0}, {1}, 1}, command::SetWeight{{1}, {3}, 1},
                command::AssignTable{{0}, 1, {0}}, command::AssignTable{{1}, 2, {0}},
                command::RequestAck{{1}, false}});
    wire.talk();
    ASSERT_EQ(wire.marks.size(), 1u);
    wire.client.doubt = [](const xds::AdsClient::Response& r) {
        return r.SerializeAsString().find("table-0") != std::string::npos ? "no" : "";
    };
    wire.order({command::SetWeight{{0}, {2}, 1}, command::RequestAck{{2}, false}});
    wire.talk();
    EXPECT_EQ(wire.rejected.size(), 1u);
    wire.order({command::SetWeight{{1}, {4}, 1}, command::RequestAck{{3}, false}});
    wire.talk();
    EXPECT_EQ(wire.ports("order"), (std::vector<int>{9003, 9004}))
        << "a rejection takes what is new down with it";
    EXPECT_EQ(wire.marks, std::vector<int>{1}) << "order 2 was rejected, and 3 comes behind it";
    EXPECT_EQ(wire.rejected.size(), 2u) << "tried once more with the next order, no more";
    wire.client.doubt = {};
    wire.order({command::SetWeight{{1}, {4}, 0.5}, command::RequestAck{{4}, false}});
    wire.talk();
    EXPECT_EQ(wire.marks, (std::vector<int>{1, 2, 3, 4}));
    EXPECT_EQ(wire.ports("look"), (std::vector<int>{9001, 9002}));
}

TEST(Stream, TheSameNonceTwiceCountsOnce) {
    Wire wire;
    wire.order({command::SetWeight{{0}, {1}, 1}, command::AssignTable{{0}, 0, {0}},
                command::RequestAck{{1}, false}});
    wire.talk();
    wire.order({command::SetWeight{{0}, {2}, 1}, command::RequestAck{{2}, false}});
    const auto responses = wire.server.take_responses();
    ASSERT_EQ(responses.size(), 1u);
    xds::AdsClient::Request nack;
    nack.set_type_url(responses[0].type_url());
    nack.set_response_nonce(responses[0].nonce());
    nack.add_resource_names("table-0");
    nack.add_resource_names("startup");
    xds::AdsClient::Request ack = nack;
    nack.mutable_error_detail()->set_message("no");
    EXPECT_TRUE(wire.server.on_request(nack).rejected);
    const auto second = wire.server.on_request(ack);
    EXPECT_TRUE(second.applied.empty()) << "NACK, then ACK with the same nonce";
    EXPECT_TRUE(second.ignored.empty());
}

TEST(Stream, AMarkForEveryoneIsAnsweredWithoutAnyChange) {
    Wire wire;
    wire.order({command::SetWeight{{0}, {1}, 1}, command::AssignTable{{0}, 0, {0}},
                command::RequestAck{{1}, false}});
    wire.talk();
    wire.order({command::RequestAck{{2}, true}});
    wire.talk();
    EXPECT_EQ(wire.marks, (std::vector<int>{1, 2}));
}

TEST(Stream, LevelsTravelAsShareOrRate) {
    for (const AdmissionMode admit : {AdmissionMode::Fraction, AdmissionMode::Rate}) {
        Settings s = told();
        s.admission_mode = admit;
        Wire wire(s);
        wire.order({command::SetWeight{{0}, {1}, 1}, command::AssignTable{{0}, 0, {0}},
                    command::SetAdmission{{0}, 1, 0.25, RetryMode::Never},
                    command::RequestAck{{1}, false}});
        wire.talk();
        const auto& route = wire.client.tables().routes.at("/invoke/look");
        EXPECT_EQ(route.again, RetryMode::Never);
        if (admit == AdmissionMode::Fraction) {
            EXPECT_DOUBLE_EQ(route.share, 0.25);
        } else {
            EXPECT_NEAR(route.rate, 0.25, 1e-6);
        }
        const auto& other = wire.client.tables().routes.at("/invoke/order");
        EXPECT_EQ(other.share, 1);
        EXPECT_EQ(other.rate, 0);
    }
}

TEST(Stream, RefusesOrdersForWhatIsNotKnown) {
    Wire wire;
    wire.order({command::SetWeight{{0}, {99}, 1}, command::AssignTable{{0}, 0, {42}},
                command::SetEjected{{98}, true}});
    EXPECT_EQ(wire.refused.size(), 3u);
}

// Random orders, drops of streams and rejections: after all is said the forwarder holds what was
// ordered.
TEST(Stream, AgreesAfterRandomOrdersAndBreaks) {
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        base::SequentialRandom chance(seed, "stream");
        Wire wire;
        std::map<int, std::map<std::uint32_t, double>> tables;
        std::map<int, int> bound{{0, -1}};
        for (int step = 0; step < 40; ++step) {
            std::vector<Command> actions;
            for (std::size_t n = chance.below(4) + 1; n-- > 0;) {
                const int table = static_cast<int>(chance.below(3));
                const auto server = static_cast<std::uint32_t>(chance.below(4) + 1);
                if (chance.happens(0.7)) {
                    const double weight =
                        chance.happens(0.3) ? 0 : 0.25 * static_cast<double>(chance.below(4) + 1);
                    actions.emplace_back(command::SetWeight{{table}, {server}, weight});
                    if (weight > 0) {
                        tables[table][server] = weight;
                    } else {
                        tables[table].erase(server);
                    }
                } else {
                    actions.emplace_back(command::AssignTable{{table}, 0, {0}});
                    bound[0] = table;
                }
            }
            actions.emplace_back(command::RequestAck{{step}, false});
            const bool moody = chance.happens(0.2);
            wire.client.doubt = [&](const xds::AdsClient::Response&) {
                return moody && chance.happens(0.5) ? "moody" : "";
            };
            wire.order(actions);
            if (chance.happens(0.7)) {
                wire.talk();
            }
            if (chance.happens(0.1)) {
                // The stream breaks; the governor's module binds it anew.
                wire.server = xds::AdsServer("g.1");
                wire.board.joined({0});
                wire.requests.clear();
                wire.begun = false;
                if (bound[0] >= 0) {
                    wire.order({command::AssignTable{{bound[0]}, 0, {0}},
                                command::RequestAck{{step}, false}});
                }
            }
        }
        wire.client.doubt = {};
        if (bound[0] < 0) {
            continue;
        }
        // Whatever was rejected is superseded by one more change of it.
        std::vector<Command> last{command::AssignTable{{bound[0]}, 0, {0}}};
        for (std::uint32_t k = 1; k <= 4; ++k) {
            last.emplace_back(
                command::SetWeight{{bound[0]}, {k}, 2.0 + static_cast<double>(seed % 3)});
        }
        last.emplace_back(command::RequestAck{{999}, false});
        wire.order(last);
        wire.talk();
        EXPECT_EQ(wire.ports("look").size(), 4u)
            << "seed " << seed << " bound to " << bound[0] << ", acts on "
            << wire.client.tables().routes.at("/invoke/look").cluster;
        EXPECT_EQ(wire.ports("look"), wire.ports("order")) << "seed " << seed;
    }
}

}  // namespace
}  // namespace badgergrade::test
