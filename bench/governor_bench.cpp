// A changed table fanned out to many streams, beside a bare Asio loop that writes the same bytes to
// as many sockets, and many forwarders joining at once. The forwarders are a process of their own,
// so that the CPU told is the governor's alone. All on loopback; stops by itself.
//
//   badgergrade_governor_bench [streams] [lines] [changes]
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include "base/real_clock.h"
#include "xds/ads_client.h"
#include "xds_server/xds_server.h"

using namespace badgergrade;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

const char* const kSettings = R"([governor]
zones = north, south
[operation.look]
latency_objective = 500 ms
integration_timeout = 2 s
effect = idempotent
[forwarders]
count = 1000
[reports]
period = 60 s
[channel]
lines_per_second = 1000000000
lines_waiting_most = 1000000000
[log]
level = error
)";

// What the two processes tell each other: one line a step.
void say(int to, const std::string& text) {
    if (write(to, (text + "\n").data(), text.size() + 1) < 0) {
        std::exit(1);
    }
}

// ---- the forwarders' process

struct Forwarder {
    net::GrpcConnectionPtr connection;
    net::GrpcCallPtr call;
    std::unique_ptr<xds::AdsClient> ads;
    std::unique_ptr<net::Dial> dial;
    bool served = false;
};

int forwarders(int from, int to, int streams) {
    net::Loop loop;
    std::vector<Forwarder> all(static_cast<std::size_t>(streams));
    std::vector<std::shared_ptr<tcp::socket>> raw;
    int served = 0;
    std::size_t read_bytes = 0;
    std::size_t sent_bytes = 0;
    std::string line;
    char byte = 0;
    const auto next_line = [&] {
        line.clear();
        while (read(from, &byte, 1) == 1 && byte != '\n') {
            line += byte;
        }
    };
    next_line();
    const auto governor = net::parse_address(line);
    for (int k = 0; k < streams; ++k) {
        Forwarder& f = all[static_cast<std::size_t>(k)];
        envoy::config::core::v3::Node node;
        node.set_id("f" + std::to_string(k));
        node.mutable_locality()->set_zone(k % 2 ? "north" : "south");
        f.ads = std::make_unique<xds::AdsClient>(node);
        f.dial = std::make_unique<net::Dial>(
            loop, base::ActorId{1}, "f", governor, 10s,
            [&, k](net::StreamPtr stream, const std::string&) {
                Forwarder& f = all[static_cast<std::size_t>(k)];
                if (!stream) {
                    std::exit(2);
                }
                f.connection = std::make_shared<net::GrpcConnection>(
                    loop, base::ActorId{1}, net::Http2Session::Role::Client, stream,
                    net::GrpcLimits{});
                f.connection->start();
                f.call = f.connection->call(std::string(xds::kAdsMethod));
                f.call->on_message = [&, k](std::string_view bytes) {
                    Forwarder& f = all[static_cast<std::size_t>(k)];
                    read_bytes += bytes.size() + 14;  // the message, its gRPC head and its frame's
                    xds::AdsClient::Response response;
                    response.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
                    for (const auto& request : f.ads->on_response(response).requests) {
                        const std::string text = request.SerializeAsString();
                        sent_bytes += text.size() + 14;
                        f.call->send(text);
                    }
                    if (!f.served && !f.ads->tables().routes.empty()) {
                        f.served = true;
                        if (++served == streams) {
                            say(to, "served");
                        }
                    }
                };
                for (const auto& request : f.ads->start()) {
                    f.call->send(request.SerializeAsString());
                }
            });
    }
    asio::posix::stream_descriptor orders(loop.io(), from);
    auto buffer = std::make_shared<std::array<char, 256>>();
    std::function<void()> listen = [&, buffer] {
        orders.async_read_some(asio::buffer(*buffer), [&, buffer](const asio::error_code& wrong,
                                                                  std::size_t n) {
            if (wrong) {
                return loop.stop();
            }
            const std::string text(buffer->data(), n);
            if (text.rfind("bytes", 0) == 0) {
                say(to, std::to_string(read_bytes) + " " + std::to_string(sent_bytes));
                read_bytes = sent_bytes = 0;
            } else if (text.rfind("raw ", 0) == 0) {
                // "raw host:port bytes answer": as many plain connections that read so much and
                // answer so much.
                char address[64];
                std::size_t bytes = 0;
                std::size_t answer = 0;
                if (std::sscanf(text.c_str(), "raw %63s %zu %zu", address, &bytes, &answer) != 3) {
                    std::exit(3);
                }
                const auto at = net::parse_address(address);
                for (int k = 0; k < streams; ++k) {
                    auto socket = std::make_shared<tcp::socket>(loop.io());
                    socket->connect({asio::ip::make_address(at.host), at.port});
                    raw.push_back(socket);
                    auto got = std::make_shared<std::size_t>(0);
                    auto data = std::make_shared<std::array<char, 65536>>();
                    auto reply = std::make_shared<std::string>(answer, 'a');
                    auto again = std::make_shared<std::function<void()>>();
                    *again = [=] {
                        socket->async_read_some(asio::buffer(*data),
                                                [=](const asio::error_code& bad, std::size_t m) {
                                                    if (bad) {
                                                        return;
                                                    }
                                                    *got += m;
                                                    if (*got >= bytes) {
                                                        *got -= bytes;
                                                        asio::write(*socket, asio::buffer(*reply));
                                                    }
                                                    (*again)();
                                                });
                    };
                    (*again)();
                }
                say(to, "connected");
            }
            listen();
        });
    };
    listen();
    loop.run();
    return 0;
}

// ---- the governor's process

struct Spent {
    double time_ms = 0, cpu_ms = 0;
};

double median(std::vector<double> v) {
    std::nth_element(v.begin(), v.begin() + static_cast<std::ptrdiff_t>(v.size() / 2), v.end());
    return v[v.size() / 2];
}

void tell(const char* what, const std::vector<Spent>& all) {
    std::vector<double> time;
    std::vector<double> cpu;
    for (const auto& s : all) {
        time.push_back(s.time_ms);
        cpu.push_back(s.cpu_ms);
    }
    std::printf("%-28s time %8.2f ms   CPU %8.2f ms (medians of %zu; CPU %.2f to %.2f)\n", what,
                median(time), median(cpu), all.size(), *std::min_element(cpu.begin(), cpu.end()),
                *std::max_element(cpu.begin(), cpu.end()));
}

}  // namespace

int main(int argc, char** argv) {
    const int streams = argc > 1 ? std::atoi(argv[1]) : 1000;
    const int lines = argc > 2 ? std::atoi(argv[2]) : 100;
    const int changes = argc > 3 ? std::atoi(argv[3]) : 21;
    int down[2];
    int up[2];
    if (streams < 1 || streams > 20000 || lines < 1 || changes < 1 || pipe(down) != 0 ||
        pipe(up) != 0) {
        return 2;
    }
    const pid_t child = fork();
    if (child == 0) {
        close(down[1]);
        close(up[0]);
        prctl(PR_SET_NAME, "forwarders");
        _exit(forwarders(down[0], up[1], streams));
    }
    close(down[0]);
    close(up[1]);

    net::Loop loop;
    base::RealClock clock(loop.io());
    log::Log log(loop.clock(), log::Level::Error, log::Form::Text);
    std::vector<config::ConfigError> mistakes;
    auto config =
        config::read_governor(config::IniFile::parse("bench", kSettings, mistakes), mistakes);
    for (const auto& m : mistakes) {
        std::fprintf(stderr, "%s\n", config::to_text(m).c_str());
    }
    config.xds_address = "127.0.0.1:0";
    config.registry_address = "127.0.0.1:1";
    config.settings.proxy_count = streams;
    xds_server::XdsServer service(loop, base::ActorId{1}, config, log, "bench");
    for (int k = 1; k <= lines; ++k) {
        xds_server::ListedServer listed;
        listed.id = "s" + std::to_string(k);
        listed.zone = k % 2 ? "north" : "south";
        listed.address = {"127.0.0.1", static_cast<std::uint16_t>(20000 + k)};
        service.list_for_trial(listed);
    }
    asio::posix::stream_descriptor answers(loop.io(), up[0]);
    std::string heard;
    std::array<char, 256> buffer;
    std::function<void()> listen = [&] {
        answers.async_read_some(asio::buffer(buffer),
                                [&](const asio::error_code& wrong, std::size_t n) {
                                    if (wrong) {
                                        return;
                                    }
                                    heard.append(buffer.data(), n);
                                    listen();
                                });
    };
    listen();
    const auto wait_for = [&](const std::function<bool()>& done) {
        loop.io().restart();
        const auto limit = clock.now() + 60s;
        while (!done()) {
            if (clock.now() > limit) {
                throw std::runtime_error("nothing came for 60 s");
            }
            loop.io().run_one_for(1s);
            loop.io().poll();
        }
    };
    const auto line = [&] {
        wait_for([&] { return heard.find('\n') != std::string::npos; });
        const std::string out = heard.substr(0, heard.find('\n'));
        heard.erase(0, out.size() + 1);
        return out;
    };
    const auto measure = [&](const std::function<void()>& run) {
        const auto time = clock.now();
        const auto cpu = base::process_cpu_us();
        run();
        return Spent{static_cast<double>((clock.now() - time).count()) / 1000,
                     static_cast<double>(base::process_cpu_us() - cpu) / 1000};
    };

    const auto memory = base::process_memory_bytes();
    const Spent joining = measure([&] {
        say(down[1], net::to_text(service.address()));
        line();
    });
    std::printf(
        "%d forwarders joining at once, a table of %d lines: all served after %.0f ms, CPU %.0f "
        "ms, %.1f KiB a stream\n",
        streams, lines, joining.time_ms, joining.cpu_ms,
        static_cast<double>(base::process_memory_bytes() - memory) / 1024 / streams);
    // What joining brought is over when nothing moves any more.
    for (std::int64_t before = -1; before != service.figures().applied;) {
        before = service.figures().applied;
        loop.run_until(loop.clock().now() + 500ms);
    }
    say(down[1], "bytes");
    line();

    std::vector<Spent> governor;
    std::vector<Spent> bare;
    for (int n = 0; n < changes; ++n) {
        governor.push_back(measure([&] {
            const auto before = service.figures().applied;
            service.change_for_trial(1.0 + n % 5);
            wait_for([&] { return service.figures().applied - before >= streams; });
        }));
    }
    say(down[1], "bytes");
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::sscanf(line().c_str(), "%zu %zu", &sent, &answered);
    sent /= static_cast<std::size_t>(streams * changes);
    answered /= static_cast<std::size_t>(streams * changes);

    tcp::acceptor acceptor(loop.io(), {asio::ip::address_v4::loopback(), 0});
    say(down[1], "raw 127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + " " +
                     std::to_string(sent) + " " + std::to_string(answered));
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    for (int k = 0; k < streams; ++k) {
        sockets.push_back(std::make_shared<tcp::socket>(acceptor.accept()));
    }
    line();
    const std::string bytes(sent, 'x');
    std::vector<char> reply(answered);
    for (int n = 0; n < changes; ++n) {
        bare.push_back(measure([&] {
            int open = streams;
            for (auto& socket : sockets) {
                asio::async_write(*socket, asio::buffer(bytes),
                                  [](const asio::error_code&, std::size_t) {});
                asio::async_read(*socket, asio::buffer(reply),
                                 [&](const asio::error_code&, std::size_t) { --open; });
            }
            wait_for([&] { return open == 0; });
        }));
    }
    std::printf(
        "one change of %d lines to %d streams, %zu bytes out and %zu back a stream, until all have "
        "acknowledged:\n",
        lines, streams, sent, answered);
    tell("  governor", governor);
    tell("  bare Asio, same bytes", bare);
    std::vector<double> a;
    std::vector<double> b;
    std::vector<double> c;
    std::vector<double> d;
    for (const auto& s : governor) {
        a.push_back(s.cpu_ms);
        c.push_back(s.time_ms);
    }
    for (const auto& s : bare) {
        b.push_back(s.cpu_ms);
        d.push_back(s.time_ms);
    }
    std::printf("  governor / bare: CPU %.2f, time %.2f\n", median(a) / median(b),
                median(c) / median(d));
    close(down[1]);
    waitpid(child, nullptr, 0);
    return 0;
}
