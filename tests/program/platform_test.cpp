// The platform's protocol without sockets: the configuration file, discovery's answers, the numbers
// of servers, messages from peers, and updates as CONFIG messages. Also the policy runner.
#include <gtest/gtest.h>

#include "platform/config_writer.h"
#include "platform/message_reader.h"
#include "platform_fixture.h"
#include "runtime/policy_runner.h"

namespace badgergrade::test {
namespace {

using namespace std::chrono_literals;

constexpr Micros kWallClockOffset = 1700000000s;

// The names and the numbers of servers that the test configuration gives to the protocol.
struct ProtocolFixture {
    platform::NodeConfig config = platform::read_config(node_config());
    platform::ServerIds servers{config.protocol_names, kWallClockOffset};

    ProtocolFixture() { servers.update(config.initial_list, UpdateKind::Cached, 1000s); }

    platform::Message read(std::vector<std::string> words) const {
        return platform::read_message({std::move(words), true}, config.protocol_names, servers);
    }

    // The reason why a message is not valid, or an empty string if it is.
    std::string invalid_reason(std::vector<std::string> words) const {
        try {
            read(std::move(words));
        } catch (const platform::InvalidMessage& error) {
            return error.what();
        }
        return {};
    }

    ServerId server(const char* id) const { return *servers.find(id); }
};

// ---- configuration

TEST(NodeConfig, UsesTheSimulatorsNamesAndUnits) {
    const auto config = platform::read_config(node_config());
    EXPECT_EQ(config.name, "n3");
    EXPECT_EQ(net::to_text(config.discovery), "127.0.0.1:8500");
    EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(config.max_sockets, 256);
    EXPECT_EQ(config.batch_window, 4ms);
    EXPECT_EQ(config.settings.zone_count, 2);
    EXPECT_EQ(config.settings.operations.size(), 2u);
    EXPECT_EQ(config.settings.operations[1].effect, Effect::SideEffecting);
    EXPECT_EQ(config.settings.operations[0].integration_timeout, 2s);
    EXPECT_TRUE(config.settings.operations[1].local_only);
    EXPECT_EQ(config.settings.slow_start_window, 15s);
    EXPECT_EQ(config.settings.max_messages, 20);
    EXPECT_EQ(config.protocol_names.operations, (std::vector<std::string>{"look up", "order"}));
    EXPECT_EQ(config.protocol_names.load_metrics, (std::vector<std::string>{"inflight", "util"}));
    ASSERT_EQ(config.initial_list.servers.size(), 3u);
    EXPECT_TRUE(config.initial_list.is_snapshot);
}

TEST(NodeConfig, ReportsInvalidValues) {
    const auto error_of = [](std::string text) {
        try {
            platform::read_config(text);
        } catch (const platform::ParseError& error) {
            return std::string(error.what());
        }
        return std::string();
    };
    const auto config_with = [](const std::string& from, const std::string& to) {
        std::string text = node_config();
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    EXPECT_NE(error_of("{"), "");
    EXPECT_NE(error_of("[]"), "");
    EXPECT_NE(error_of(config_with("\"listen\"", "\"lost\"")), "");
    EXPECT_NE(error_of(config_with("127.0.0.1:8500", "nowhere")), "");
    EXPECT_NE(error_of(config_with("8c1f30d27a5be964", "seed!")), "");
    EXPECT_NE(error_of(config_with("\"effect\":\"safe\"", "\"effect\":\"odd\"")), "");
    EXPECT_NE(error_of(config_with("\"sockets\":256", "\"sockets\":3")), "");
    EXPECT_EQ(error_of(config_with("\"quantum\":4.0",
                                   "\"quantum\":4.0,\"novel\":{\"deep\":[1,{\"a\":null}]}")),
              "")
        << "unknown keys are ignored";
}

TEST(ServerList, InvalidEntryIsSkippedAndReported) {
    const auto list = platform::read_server_list(
        R"({"generation":4,"reset":false,"instances":[{"instanceId":"a","lifecycle":"Odd"},{"instanceId":"b","zone":"north","lifecycle":"Gone"},7]})");
    EXPECT_EQ(list.generation, 4u);
    EXPECT_FALSE(list.is_snapshot);
    ASSERT_EQ(list.servers.size(), 1u);
    EXPECT_EQ(list.skip_reasons.size(), 2u);
    EXPECT_THROW(platform::read_server_list(R"({"instances":[]})"), platform::ParseError);
}

// ---- numbers of servers

TEST(ServerIds, NumberIsKeptWhileServerIsGoneAndAfterItReturns) {
    ProtocolFixture fixture;
    const ServerId a = fixture.server("s-a");
    platform::ServerList change{2, false, {{"s-a", "north", ServerState::Gone, 1, 0}}, {}};
    fixture.servers.update(change, UpdateKind::Delta, 1010s);
    EXPECT_EQ(fixture.server("s-a"), a) << "reports and messages can still name it";
    change.servers = {{"s-a", "north", ServerState::Ready, 1, 1700001020000.0}};
    const auto list = fixture.servers.update(change, UpdateKind::Delta, 1020s);
    EXPECT_EQ(list.endpoints.at(0).server, a);
    EXPECT_EQ(list.endpoints.at(0).started_at, 1020s);
}

TEST(ServerIds, KnownStartTimeIsStableAndNeverZero) {
    ProtocolFixture fixture;
    const auto start = [&](double ms) {
        return fixture.servers
            .update({3, false, {{"s-a", "north", ServerState::Ready, 1, ms}}, {}},
                    UpdateKind::Delta, 1000s)
            .endpoints.at(0)
            .started_at;
    };
    EXPECT_EQ(start(0), 0us) << "not given: long ago";
    EXPECT_EQ(start(1700000990000.0), 990s);
    EXPECT_EQ(start(1700000990000.0), 990s) << "the same in a list that repeats it";
    EXPECT_EQ(start(1600000000000.0), 1us) << "before the origin of the loop's clock, but not 0";
}

TEST(ServerIds, NumbersOfServersLongGoneAreReused) {
    ProtocolFixture fixture;
    Micros now = 1000s;
    for (int round = 0; round < 500; ++round, now += 200s) {
        const std::string id = "new-" + std::to_string(round);
        const std::string previous = "new-" + std::to_string(round - 1);
        fixture.servers.update({1,
                                false,
                                {{id, "north", ServerState::Ready, 1, 0},
                                 {previous, "north", ServerState::Gone, 1, 0}},
                                {}},
                               UpdateKind::Delta, now);
        fixture.servers.release_unused(now, [](ServerId) { return false; });
    }
    EXPECT_LE(fixture.servers.size(), 6u);
    EXPECT_LE(fixture.server("new-499").value, 8u);
    fixture.servers.update({2, true, {}, {}}, UpdateKind::Snapshot, now);
    fixture.servers.release_unused(
        now + 300s, [&](ServerId server) { return server == fixture.server("s-a"); });
    EXPECT_EQ(fixture.servers.size(), 1u) << "a server in use is kept";
}

// ---- messages

TEST(Messages, AreDecodedIntoEvents) {
    ProtocolFixture fixture;
    const auto load = std::get<event::ServerLoadReport>(fixture.read(
        {"LOAD", "zone", "south", "server", "s-b", "tries", "212", "failed", "3", "mean_ms", "41.7",
         "span_ms", "1000.0", "load", "util:0.61,other:3,inflight:7"}));
    EXPECT_EQ(load.zone.value, 1);
    EXPECT_EQ(load.server, fixture.server("s-b"));
    EXPECT_EQ(load.attempts, 212);
    EXPECT_EQ(load.failures, 3);
    EXPECT_EQ(load.mean_latency, 41700us);
    EXPECT_EQ(load.interval, 1s);
    EXPECT_EQ(load.load_metrics, (std::vector<double>{7, 0.61}));
    const auto connected = std::get<event::ProxyConnected>(
        fixture.read({"SUBSCRIBE", "proxy", "3", "zone", "north", "weight", "21.5", "fresh", "1",
                      "novel", "x"}));
    EXPECT_EQ(connected.proxy.value, 3);
    EXPECT_TRUE(connected.fresh_start);
    EXPECT_EQ(connected.announced_rate, 21.5);
    const auto ack = std::get<event::ConfigAcknowledged>(
        fixture.read({"ACK", "proxy", "3", "mark", "905", "took_ms", "310.4"}));
    EXPECT_EQ(ack.version.value, 905);
    EXPECT_EQ(ack.delay, 310400us);
    const auto demand = std::get<event::ProxyDemandReport>(
        fixture.read({"RATE", "proxy", "3", "class", "look up", "tries", "19", "failed", "0",
                      "span_ms", "1000.0"}));
    EXPECT_EQ(demand.operation.value, 0);
    EXPECT_EQ(demand.attempts, 19);
    EXPECT_EQ(std::get<platform::Source>(fixture.read({"SOURCE", "zone", "south"})).zone.value, 1);
    EXPECT_TRUE(std::holds_alternative<platform::Ping>(fixture.read({"PING"})));
}

TEST(Messages, InvalidOnesAreRejectedWithAReason) {
    ProtocolFixture fixture;
    const std::vector<std::string> valid{"LOAD",  "zone",    "south",  "server", "s-b",
                                         "tries", "212",     "failed", "3",      "mean_ms",
                                         "41.7",  "span_ms", "1000.0"};
    EXPECT_EQ(fixture.invalid_reason(valid), "");
    for (std::size_t field = 1; field < valid.size(); field += 2) {
        auto missing = valid;
        missing.erase(missing.begin() + static_cast<std::ptrdiff_t>(field),
                      missing.begin() + static_cast<std::ptrdiff_t>(field) + 2);
        EXPECT_NE(fixture.invalid_reason(missing), "") << valid[field];
        auto doubled = valid;
        doubled.insert(doubled.end(), {valid[field], valid[field + 1]});
        EXPECT_NE(fixture.invalid_reason(doubled), "") << valid[field];
        for (const char* value :
             {"", "nan", "inf", "-inf", "-1", "1e300", "x", "0x10", " 1", "1 "}) {
            auto invalid = valid;
            invalid[field + 1] = value;
            EXPECT_NE(fixture.invalid_reason(invalid), "") << valid[field] << "=" << value;
        }
    }
    auto without_last_value = valid;
    without_last_value.pop_back();
    EXPECT_NE(fixture.invalid_reason(without_last_value), "");
    EXPECT_NE(fixture.invalid_reason({}), "");
    EXPECT_NE(fixture.invalid_reason({"CONFIG", "stamp", "1"}), "");
    EXPECT_NE(fixture.invalid_reason(
                  {"SUBSCRIBE", "proxy", "4", "zone", "north", "weight", "1", "fresh", "1"}),
              "")
        << "proxies are numbered 0 to 3";
    EXPECT_NE(fixture.invalid_reason(
                  {"SUBSCRIBE", "proxy", "1.5", "zone", "north", "weight", "1", "fresh", "1"}),
              "");
    EXPECT_NE(fixture.invalid_reason(
                  {"SUBSCRIBE", "proxy", "1", "zone", "north", "weight", "1", "fresh", "yes"}),
              "");
    EXPECT_NE(fixture.invalid_reason({"ACK", "proxy", "1", "mark", "65536", "took_ms", "1"}), "");
    EXPECT_NE(fixture.invalid_reason({"RATE", "proxy", "1", "class", "paint", "tries", "1",
                                      "failed", "0", "span_ms", "1"}),
              "");
    EXPECT_NE(fixture.invalid_reason({"RATE", "proxy", "1", "class", "order", "tries", "1",
                                      "failed", "0", "span_ms", "0"}),
              "");
    EXPECT_THROW(
        platform::read_message({{"PING"}, false}, fixture.config.protocol_names, fixture.servers),
        platform::InvalidMessage);
}

// ---- updates

// Encodes the updates that commands cause.
struct UpdateFixture : ProtocolFixture {
    runtime::ConfigState config_state{config.settings};
    std::vector<runtime::RejectedCommand> rejected;

    // Applies the commands and returns the CONFIG messages by proxy.
    std::map<int, std::string> execute(std::vector<Command> commands) {
        std::map<int, std::string> messages;
        line_counts.clear();
        const runtime::ApplyResult result = config_state.apply(commands);
        rejected.insert(rejected.end(), result.rejected.begin(), result.rejected.end());
        for (const auto& update : result.updates) {
            messages[update.proxy.value] =
                to_lines(platform::write_config(update, config.protocol_names, servers)
                             .value_or("too many parts"));
            line_counts[update.proxy.value] = update.line_count;
        }
        return messages;
    }

    std::map<int, double> line_counts;  // of the last commands, by proxy

    Command set_weight(int table, const char* id, double weight) const {
        return command::SetWeight{{table}, server(id), weight};
    }
};

TEST(ConfigWriter, AssignmentSendsTheCompleteTableAndLaterUpdatesItsChanges) {
    UpdateFixture fixture;
    fixture.config_state.on_proxy_connected({1});
    fixture.config_state.on_proxy_connected({2});
    auto sent =
        fixture.execute({fixture.set_weight(7, "s-a", 1.5), fixture.set_weight(7, "s-b", 0.25),
                         command::AssignTable{{7}, 0, {1}}, command::RequestAck{{905}, false}});
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[1], "CONFIG replace 1 rows s-a:1.5,s-b:0.25 stamp 905\n");
    EXPECT_EQ(fixture.line_counts[1], 3 + 1 + 2 + 1)
        << "message header, replaced table, weights, acknowledgement request";
    sent = fixture.execute({fixture.set_weight(7, "s-b", 0), fixture.set_weight(7, "s-c", 1e-7),
                            command::RequestAck{{906}, false}});
    EXPECT_EQ(sent[1], "CONFIG rows s-b:0,s-c:0.0000001 stamp 906\n");
    EXPECT_EQ(fixture.line_counts[1], 3 + 2 + 1);
    EXPECT_TRUE(fixture.execute({fixture.set_weight(8, "s-b", 1)}).empty())
        << "a table that no proxy uses";
}

TEST(ConfigWriter, OperationsAreNamedUnlessATableIsForAll) {
    UpdateFixture fixture;
    fixture.config_state.on_proxy_connected({1});
    auto sent =
        fixture.execute({fixture.set_weight(7, "s-a", 1), fixture.set_weight(8, "s-b", 1),
                         command::AssignTable{{7}, 1, {1}}, command::AssignTable{{8}, 2, {1}},
                         command::RequestAck{{1}, false}});
    EXPECT_EQ(sent[1],
              "CONFIG for look up replace 1 rows s-a:1 part 1\nCONFIG for order replace 1 rows "
              "s-b:1 stamp 1\n");
    sent = fixture.execute({command::AssignTable{{8}, 0, {1}}});
    EXPECT_EQ(sent[1], "CONFIG replace 1 rows s-b:1\n");
}

TEST(ConfigWriter, AdmissionLimitsAreSentWithTheirRetryMode) {
    UpdateFixture fixture;
    fixture.config_state.on_proxy_connected({1});
    fixture.config_state.on_proxy_connected({2});
    auto sent = fixture.execute({fixture.set_weight(7, "s-a", 1),
                                 command::SetAdmission{{7}, 1, 0.5, RetryMode::Never},
                                 command::AssignTable{{7}, 0, {1}}});
    EXPECT_EQ(sent[1], "CONFIG replace 1 rows s-a:1 part 1\nCONFIG for look up gate 0.5 again 0\n");
    sent = fixture.execute({command::SetAdmission{kAllTables, 0, 0.8, RetryMode::OnlyUnprocessed}});
    EXPECT_EQ(sent[1],
              "CONFIG for look up gate 0.5 again 0 part 1\nCONFIG for order gate 0.8 again 1\n")
        << "the lower limit applies, and the table's own retry mode";
    sent = fixture.execute({command::ClearTable{{7}}, fixture.set_weight(7, "s-b", 2)});
    EXPECT_EQ(sent[1],
              "CONFIG replace 1 rows s-b:2 part 1\nCONFIG for look up+order gate 0.8 again 1\n")
        << "limits for all tables are sent with a complete table";
}

TEST(ConfigWriter, ReconnectedProxyGetsOnlyTheEjectionsThatDiffer) {
    UpdateFixture fixture;
    fixture.config_state.on_proxy_connected({1});
    fixture.execute({fixture.set_weight(7, "s-a", 1), fixture.set_weight(7, "s-b", 1),
                     command::AssignTable{{7}, 0, {1}}});
    auto sent = fixture.execute({command::SetEjected{fixture.server("s-a"), true},
                                 command::SetEjected{fixture.server("s-c"), true}});
    EXPECT_EQ(sent[1], "CONFIG drop s-a\n") << "s-c is in no table of this proxy";
    fixture.config_state.on_proxy_disconnected({1});
    EXPECT_TRUE(fixture
                    .execute({command::SetEjected{fixture.server("s-a"), false},
                              command::SetEjected{fixture.server("s-b"), true}})
                    .empty());
    fixture.config_state.on_proxy_connected({1});
    sent = fixture.execute({command::AssignTable{{7}, 0, {1}}});
    EXPECT_EQ(sent[1], "CONFIG replace 1 rows s-a:1,s-b:1 drop s-b undrop s-a\n");
}

TEST(ConfigWriter, AckRequestForAllReachesProxiesWithoutChanges) {
    UpdateFixture fixture;
    fixture.config_state.on_proxy_connected({1});
    fixture.config_state.on_proxy_connected({2});
    const auto sent = fixture.execute({command::RequestAck{{5}, true}});
    EXPECT_EQ(sent, (std::map<int, std::string>{{1, "CONFIG stamp 5\n"}, {2, "CONFIG stamp 5\n"}}));
    fixture.execute({command::AssignTable{{7}, 0, {9}}});
    EXPECT_EQ(fixture.rejected.size(), 1u) << "the proxy is not connected";
}

// ---- policy runner

TEST(PolicyRunner, TimersWithTheSameTokenAreSeparateAndEventsInOneWindowShareADecision) {
    base::VirtualClock clock(1000s);
    ProtocolFixture fixture;
    runtime::PolicyRunner runner(clock, {1}, fixture.config.settings, 1, 4ms);
    int decisions = 0;
    runner.on_commands = [&](const std::vector<Command>&) {
        ++decisions;
    };
    runner.post(
        fixture.servers.update(fixture.config.initial_list, UpdateKind::Cached, clock.now()));
    runner.post(event::ProxyConnected{{1}, true, {0}, 5});
    EXPECT_EQ(runner.pending_timers(), 0u);
    while (clock.step(1000s + 10ms)) {}
    EXPECT_EQ(decisions, 1) << "one decision for both events";
    EXPECT_EQ(runner.pending_timers(), 1u);
    runner.post(event::TimerFired{"beat"});
    while (clock.step(1000s + 20ms)) {}
    EXPECT_EQ(runner.pending_timers(), 2u) << "the event posted by the test set a second timer";
}

}  // namespace
}  // namespace badgergrade::test
