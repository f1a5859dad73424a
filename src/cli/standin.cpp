#include <cstdio>
#include <fstream>
#include <sstream>

#include "cli/cli.h"
#include "testbed/fake_client.h"
#include "testbed/fake_proxy.h"
#include "testbed/fake_registry.h"
#include "testbed/fake_server.h"

namespace badgergrade::cli {
namespace {

using namespace std::chrono_literals;

net::Address address(const std::string& text) {
    try {
        return net::parse_address(text);
    } catch (const std::invalid_argument& wrong) {
        throw Failure(kBadSettings, wrong.what());
    }
}

void say_ready(const char* what, const net::Address& at) {
    std::printf("%s ready on %s\n", what, net::to_text(at).c_str());
    std::fflush(stdout);
}

// "id zone host:port" a line; # begins a comment.
std::vector<testbed::FakeRegistry::Entry> read_servers(const std::string& path) {
    std::ifstream in(path);
    if (!in) {
        throw Failure(kNoFile, path + ": can't be read");
    }
    std::vector<testbed::FakeRegistry::Entry> rows;
    int number = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        std::istringstream words(line.substr(0, line.find('#')));
        testbed::FakeRegistry::Entry row;
        std::string at;
        if (!(words >> row.server.id)) {
            continue;
        }
        if (!(words >> row.server.zone >> at)) {
            throw Failure(kBadSettings,
                          path + ":" + std::to_string(number) + ": wants: id zone host:port");
        }
        row.server.address = address(at);
        rows.push_back(std::move(row));
    }
    return rows;
}

int run_registry(const std::string& listen, const std::string& servers) {
    const auto rows = read_servers(servers);
    net::Loop loop;
    testbed::FakeRegistry registry(loop, base::ActorId{1}, "registry", address(listen), nullptr);
    for (const auto& row : rows) {
        registry.put(row);
    }
    say_ready("registry", registry.address());
    run_until_signal(loop, [] {});
    return kGood;
}

int run_worker(const testbed::FakeServerSettings& settings,
               const std::vector<std::string>& operations, bool cold) {
    net::Loop loop;
    testbed::FakeServer worker(loop, base::ActorId{1}, settings, 1, nullptr, cold, operations);
    say_ready("worker", worker.address());
    run_until_signal(loop, [] {});
    return kGood;
}

int run_forwarder(testbed::FakeProxySettings settings, const std::string& ini,
                  const std::vector<std::string>& governors,
                  const std::vector<std::string>& startup) {
    const auto config = load_governor(ini);
    settings.operations = config.settings.operations;
    settings.retry_mode = config.settings.default_retry_mode;
    settings.load_balancing_policy = config.settings.load_balancing_policy;
    settings.ejection_failures = config.settings.proxy_ejection_failures;
    settings.ejection_time = config.ejection_time;
    settings.connection_idle_timeout = config.settings.connection_idle_timeout;
    settings.connect_timeout = 250ms;
    settings.dial_timeout = 2s;
    settings.min_reconnect_delay = 500ms;
    settings.max_reconnect_delay = 2s;
    settings.keepalive_interval = config.keepalive_interval;
    for (const auto& one : governors) {
        settings.instance_addresses.push_back(address(one));
        settings.instance_names.push_back(one);
    }
    for (const auto& one : startup) {
        settings.startup_table.push_back({address(one), settings.zone, 1, false});
    }
    net::Loop loop;
    const std::map<net::Address, std::string> names;
    testbed::FakeProxy forwarder(loop, base::ActorId{1}, settings, 1, nullptr, &names);
    say_ready("forwarder", forwarder.address());
    run_until_signal(loop, [] {});
    return kGood;
}

// Counts what its invocations came to.
struct Tally : testbed::Observer {
    int came = 0, results[4] = {};
    Micros time{};

    void on_invocation_arrived(Micros, const testbed::Invocation&) override { ++came; }

    void on_invocation_finished(Micros now, const testbed::Invocation& what,
                                testbed::InvocationResult result) override {
        ++results[static_cast<int>(result)];
        if (result == testbed::InvocationResult::Succeeded) {
            time += now - what.arrived_at;
        }
    }
};

int run_client(const std::string& ini, const std::string& forwarder, double rate, double seconds,
               double work_ms) {
    const auto config = load_governor(ini);
    net::Loop loop;
    base::SequentialRandom chance(1, "client");
    std::vector<testbed::Invocation> schedule;
    const Micros begin = loop.clock().now() + 100ms;
    for (double at = chance.exponential(1 / rate); at < seconds;
         at += chance.exponential(1 / rate)) {
        testbed::Invocation one;
        one.id = schedule.size() + 1;
        one.operation = static_cast<int>(chance.below(config.settings.operations.size()));
        one.work = Micros(std::llround(work_ms * 1000 * chance.lognormal(0.5)));
        one.arrived_at = begin + Micros(std::llround(at * 1e6));
        schedule.push_back(std::move(one));
    }
    testbed::FakeClientSettings settings;
    settings.operations = config.settings.operations;
    settings.retry_backoff = 50ms;
    Tally tally;
    testbed::FakeClient client(loop, base::ActorId{1}, "client", settings, address(forwarder),
                               std::move(schedule), &tally);
    const Micros end = begin + Micros(std::llround(seconds * 1e6));
    loop.run_until(end);
    while (client.pending_count() > 0) {
        loop.run_until(loop.clock().now() + 50ms);
    }
    const int good = tally.results[0];
    std::printf(
        "%d invocations: %d succeeded (mean %.1f ms), %d rate-limited, %d errored, %d timed out\n",
        tally.came, good, good > 0 ? static_cast<double>(tally.time.count()) / 1000 / good : 0.0,
        tally.results[1], tally.results[2], tally.results[3]);
    return kGood;
}

void registry_command(CLI::App& app, Command& chosen) {
    struct Args {
        std::string listen = "127.0.0.1:18500", servers;
    };

    const auto args = std::make_shared<Args>();
    auto* sub = app.add_subcommand("registry", "A registry of servers");
    sub->add_option("--listen", args->listen, "Where to listen")->capture_default_str();
    sub->add_option("--servers", args->servers, "File of servers: id zone host:port a line")
        ->required();
    sub->callback([args, &chosen] {
        chosen = [args] {
            return run_registry(args->listen, args->servers);
        };
    });
}

void worker_command(CLI::App& app, Command& chosen) {
    struct Args {
        testbed::FakeServerSettings settings;
        std::string listen = "127.0.0.1:0";
        std::vector<std::string> operations;
        bool cold = false;
    };

    const auto args = std::make_shared<Args>();
    auto* sub = app.add_subcommand("worker", "A worker");
    sub->add_option("--id", args->settings.id, "Its name")->required();
    sub->add_option("--listen", args->listen, "Where to listen")->capture_default_str();
    sub->add_option("--operations", args->operations, "Names of operations")->delimiter(',');
    sub->add_option("--cores", args->settings.cores, "Cores")
        ->capture_default_str()
        ->check(CLI::Range(1, 1024));
    sub->add_option("--speed", args->settings.speed, "Speed of a core")
        ->capture_default_str()
        ->check(CLI::Range(0.01, 100.0));
    sub->add_flag("--cold", args->cold, "Starts cold: 15 s to the whole capacity");
    sub->callback([args, &chosen] {
        chosen = [args] {
            args->settings.listen = address(args->listen);
            args->settings.warm_up_time = 15s;
            args->settings.collapse_window = 1500ms;
            args->settings.collapse_factor = 3;
            args->settings.reports_load = true;
            args->settings.load_report_interval = 500ms;
            return run_worker(args->settings, args->operations, args->cold);
        };
    });
}

void forwarder_command(CLI::App& app, Command& chosen) {
    struct Args {
        testbed::FakeProxySettings settings;
        std::string listen = "127.0.0.1:0", ini;
        std::vector<std::string> governors, startup;
    };

    const auto args = std::make_shared<Args>();
    auto* sub = app.add_subcommand("forwarder", "A plain forwarder");
    sub->add_option("--id", args->settings.id, "Its name")->required();
    sub->add_option("--zone", args->settings.zone, "Its zone")->required();
    sub->add_option("--settings", args->ini, "The governor's settings, for operations and ways")
        ->required();
    sub->add_option("--governor", args->governors, "Governors, the preferred one first")
        ->delimiter(',')
        ->required();
    sub->add_option("--startup", args->startup, "Servers of the start-up table")->delimiter(',');
    sub->add_option("--listen", args->listen, "Where to listen")->capture_default_str();
    sub->add_option("--rate", args->settings.invocations_per_second, "Usual invocations a second")
        ->capture_default_str();
    sub->callback([args, &chosen] {
        chosen = [args] {
            args->settings.listen = address(args->listen);
            return run_forwarder(args->settings, args->ini, args->governors, args->startup);
        };
    });
}

void client_command(CLI::App& app, Command& chosen) {
    struct Args {
        std::string ini, forwarder;
        double rate = 20, seconds = 10, work_ms = 20;
    };

    const auto args = std::make_shared<Args>();
    auto* sub = app.add_subcommand("client", "Clients of one forwarder, for a while");
    sub->add_option("--settings", args->ini, "The governor's settings, for operations")->required();
    sub->add_option("--forwarder", args->forwarder, "Where its forwarder is")->required();
    sub->add_option("--rate", args->rate, "Invocations a second")
        ->capture_default_str()
        ->check(CLI::Range(0.1, 5000.0));
    sub->add_option("--seconds", args->seconds, "For how long")
        ->capture_default_str()
        ->check(CLI::Range(0.1, 3600.0));
    sub->add_option("--work-ms", args->work_ms, "Mean work of an invocation")
        ->capture_default_str()
        ->check(CLI::Range(0.0, 60000.0));
    sub->callback([args, &chosen] {
        chosen = [args] {
            return run_client(args->ini, args->forwarder, args->rate, args->seconds, args->work_ms);
        };
    });
}

}  // namespace

void add_standin(CLI::App& app, Command& chosen) {
    auto* sub =
        app.add_subcommand("standin", "Stand-ins for tests and trials, each a process of its own");
    sub->require_subcommand(1);
    registry_command(*sub, chosen);
    worker_command(*sub, chosen);
    forwarder_command(*sub, chosen);
    client_command(*sub, chosen);
}

}  // namespace badgergrade::cli
