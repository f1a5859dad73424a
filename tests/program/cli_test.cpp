// The program as processes: exit codes by kind, SIGTERM, stand-ins that run alone and serve one
// another.
#include "child.h"

namespace badgergrade::test {
namespace {

TEST(Program, EndsWithACodeByKind) {
    EXPECT_EQ(Child({"governor", "--config", "/no/such/file.ini"}).wait(), 4);
    EXPECT_EQ(Child({"check-config", temporary("bad.ini", "[governor]\nzones = a\n")}).wait(), 2);
    EXPECT_EQ(Child({"no-such-command"}).wait(), 2);
    EXPECT_EQ(Child({"replay", "info", "/no/such/file"}).wait(), 4);
    EXPECT_EQ(Child({"replay", "verify", temporary("no.rec", "no recording")}).wait(), 4);
    EXPECT_EQ(Child({"governor", "--config",
                     temporary("r.ini", settings_file("127.0.0.1:0", "127.0.0.1:1")), "--record",
                     "/no/such/dir/x"})
                  .wait(),
              4);
    EXPECT_EQ(Child({"--help"}).wait(), 0);
    EXPECT_EQ(Child({"day", "run", temporary("bad.day", "length 60\n")}).wait(), 2);
    EXPECT_EQ(Child({"check-config", BADGERGRADE_SOURCE "/examples/governor.ini"}).wait(), 0);
}

TEST(Program, OneLineForAPortInUseAndForNoDescriptors) {
    Child first(
        {"governor", "--config", temporary("a.ini", settings_file("127.0.0.1:0", "127.0.0.1:1"))});
    const std::string at = first.after("xds=");
    ASSERT_FALSE(at.empty());
    Child second({"governor", "--config", temporary("b.ini", settings_file(at, "127.0.0.1:1"))});
    EXPECT_EQ(second.wait(), 3);
    EXPECT_NE(second.text().find("can't listen on " + at), std::string::npos) << second.text();
    EXPECT_EQ(std::count(second.text().begin(), second.text().end(), '\n'), 1) << second.text();
#ifndef __SANITIZE_ADDRESS__
    // The sanitizers' own checks need descriptors, too, and report nonsense without any.
    Child third(
        {"governor", "--config", temporary("c.ini", settings_file("127.0.0.1:0", "127.0.0.1:1"))},
        5);
    EXPECT_EQ(third.wait(), 5) << third.text();
#endif
    first.signal(SIGTERM);
    EXPECT_EQ(first.wait(), 0);
    EXPECT_NE(first.text().find("governor.stopping"), std::string::npos);
}

// Every stand-in as a process of its own, with the governor between them: an invocation goes
// through.
TEST(Program, ServesInvocationsAcrossProcesses) {
    Child one({"standin", "worker", "--id", "w1", "--operations", "preview,print-file,place-job"});
    Child two({"standin", "worker", "--id", "w2", "--operations", "preview,print-file,place-job"});
    const std::string a = one.after("ready on ");
    const std::string b = two.after("ready on ");
    Child registry({"standin", "registry", "--listen", "127.0.0.1:0", "--servers",
                    temporary("servers", "w1 bang-na " + a + "\nw2 samrong " + b + " # two\n")});
    std::string settings = settings_file("127.0.0.1:0", registry.after("ready on "));
    settings.replace(settings.find("period = 2 s"), 12, "period = 200 ms");
    const std::string ini = temporary("g.ini", settings);
    const std::string recording = temporary("met.rec", "");
    Child governor({"governor", "--config", ini, "--record", recording});
    Child forwarder({"standin", "forwarder", "--id", "f1", "--zone", "bang-na", "--settings", ini,
                     "--governor", governor.after("xds="), "--startup", a});
    const std::string at = forwarder.after("ready on ");
    EXPECT_TRUE(governor.shows("proxy.connected")) << governor.text();
    Child client({"standin", "client", "--settings", ini, "--forwarder", at, "--rate", "30",
                  "--seconds", "1.5", "--work-ms", "2"});
    EXPECT_EQ(client.wait(), 0);
    EXPECT_NE(client.text().find(" 0 errored, 0 timed out"), std::string::npos) << client.text();
    EXPECT_EQ(client.text().find(" 0 succeeded"), std::string::npos) << client.text();
    // SIGTERM: streams ended in order, exit 0; the forwarder goes on and dials again.
    governor.signal(SIGTERM);
    EXPECT_EQ(governor.wait(), 0);
    for (Child* child : {&one, &two, &registry, &forwarder}) {
        child->signal(SIGTERM);
        EXPECT_EQ(child->wait(), 0);
    }
    // What it met was recorded whole, and a day can be made of it and played.
    EXPECT_EQ(Child({"replay", "verify", recording}).wait(), 0);
    Child info({"replay", "info", recording});
    EXPECT_EQ(info.wait(), 0);
    EXPECT_NE(info.text().find("recorded by governor"), std::string::npos) << info.text();
    const std::string day = temporary("day.rec", "");
    Child merge({"replay", "merge", day, recording});
    EXPECT_EQ(merge.wait(), 0) << merge.text();
    EXPECT_EQ(Child({"replay", "run", day, "--runs", "2"}).wait(), 0);
    EXPECT_EQ(Child({"replay", "run", recording}).wait(), 4);
}

}  // namespace
}  // namespace badgergrade::test
