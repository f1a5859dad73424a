/// @file
/// Benchmark of the control plane with many proxies. Measures the time and CPU time of
///  - many proxies that connect at once, until all have their table;
///  - one changed table, sent to all proxies, until all have acknowledged it, compared with a plain
///    Asio loop that exchanges the same number of bytes over as many sockets.
/// The proxies run in a process of their own, so that the reported CPU time is that of the control
/// plane alone. Everything runs on loopback, and the benchmark ends by itself.
///
///   badgergrade_governor_bench [streams] [lines] [changes]
///
/// `streams` is the number of proxies, `lines` the number of endpoints in the table and `changes`
/// the number of measured table changes.
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
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

/// Overhead of each message: the header of its gRPC frame (5 bytes) and of its HTTP/2 frame (9
/// bytes).
constexpr std::size_t kFramingBytes = 14;
constexpr std::size_t kPipeBufferBytes = 256;
constexpr std::size_t kSocketBufferBytes = 65536;

/// Sends one line of text to the other process.
void send_line(int pipe, const std::string& text) {
    if (write(pipe, (text + "\n").data(), text.size() + 1) < 0) {
        std::exit(1);
    }
}

// ---- Process of the proxies

/// One proxy with its xDS stream.
struct BenchProxy {
    net::GrpcConnectionPtr connection;
    net::GrpcCallPtr call;
    std::unique_ptr<xds::AdsClient> ads;
    std::unique_ptr<net::Dial> dial;
    bool has_routes = false;
};

/// A plain connection that answers every `expected_bytes` with a fixed reply.
class RawPeer : public std::enable_shared_from_this<RawPeer> {
public:
    RawPeer(asio::io_context& io, std::size_t expected_bytes, std::size_t reply_bytes)
        : socket_(io),
          expected_bytes_(expected_bytes),
          reply_(reply_bytes, 'a') {}

    void connect(const net::Address& to) {
        socket_.connect({asio::ip::make_address(to.host), to.port});
        read();
    }

private:
    void read() {
        socket_.async_read_some(
            asio::buffer(buffer_),
            [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) {
                if (!error) {
                    self->on_read(bytes);
                }
            });
    }

    void on_read(std::size_t bytes) {
        received_bytes_ += bytes;
        if (received_bytes_ >= expected_bytes_) {
            received_bytes_ -= expected_bytes_;
            asio::write(socket_, asio::buffer(reply_));
        }
        read();
    }

    tcp::socket socket_;
    std::size_t expected_bytes_;
    std::string reply_;
    std::size_t received_bytes_ = 0;
    std::array<char, kSocketBufferBytes> buffer_{};
};

/// Connects all proxies, acknowledges what they receive, and executes commands of the other
/// process: "bytes" replies with the bytes received and sent since the last such command; for "raw"
/// see connect_raw_peers().
class ProxyProcess {
public:
    ProxyProcess(int command_pipe, int reply_pipe, int streams)
        : commands_(loop_.io(), command_pipe),
          command_pipe_(command_pipe),
          reply_pipe_(reply_pipe),
          proxies_(static_cast<std::size_t>(streams)) {}

    int run() {
        const auto server = net::parse_address(read_first_line());
        for (std::size_t k = 0; k < proxies_.size(); ++k) {
            dial(k, server);
        }
        read_command();
        loop_.run();
        return 0;
    }

private:
    std::string read_first_line() const {
        std::string line;
        char byte = 0;
        while (read(command_pipe_, &byte, 1) == 1 && byte != '\n') {
            line += byte;
        }
        return line;
    }

    void dial(std::size_t k, const net::Address& server) {
        envoy::config::core::v3::Node node;
        node.set_id("f" + std::to_string(k));
        node.mutable_locality()->set_zone(k % 2 ? "north" : "south");
        BenchProxy& proxy = proxies_[k];
        proxy.ads = std::make_unique<xds::AdsClient>(node);
        proxy.dial =
            std::make_unique<net::Dial>(loop_, base::ActorId{1}, "f", server, 10s,
                                        [this, k](net::StreamPtr stream, const std::string&) {
                                            if (!stream) {
                                                std::exit(2);
                                            }
                                            open_stream(proxies_[k], std::move(stream));
                                        });
    }

    void open_stream(BenchProxy& proxy, net::StreamPtr stream) {
        proxy.connection = std::make_shared<net::GrpcConnection>(
            loop_, base::ActorId{1}, net::Http2Session::Role::Client, std::move(stream),
            net::GrpcLimits{});
        proxy.connection->start();
        proxy.call = proxy.connection->call(std::string(xds::kAdsMethod));
        proxy.call->on_message = [this, &proxy](std::string_view bytes) {
            on_response(proxy, bytes);
        };
        for (const auto& request : proxy.ads->start()) {
            proxy.call->send(request.SerializeAsString());
        }
    }

    void on_response(BenchProxy& proxy, std::string_view bytes) {
        received_bytes_ += bytes.size() + kFramingBytes;
        xds::AdsClient::Response response;
        response.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
        for (const auto& request : proxy.ads->on_response(response).requests) {
            const std::string text = request.SerializeAsString();
            sent_bytes_ += text.size() + kFramingBytes;
            proxy.call->send(text);
        }
        if (proxy.has_routes || proxy.ads->tables().routes.empty()) {
            return;
        }
        proxy.has_routes = true;
        if (++proxies_with_routes_ == proxies_.size()) {
            send_line(reply_pipe_, "served");
        }
    }

    void read_command() {
        commands_.async_read_some(asio::buffer(buffer_),
                                  [this](const asio::error_code& error, std::size_t bytes) {
                                      if (error) {
                                          return loop_.stop();
                                      }
                                      execute(std::string(buffer_.data(), bytes));
                                      read_command();
                                  });
    }

    void execute(const std::string& command) {
        if (command.rfind("bytes", 0) == 0) {
            send_line(reply_pipe_,
                      std::to_string(received_bytes_) + " " + std::to_string(sent_bytes_));
            received_bytes_ = sent_bytes_ = 0;
        } else if (command.rfind("raw ", 0) == 0) {
            connect_raw_peers(command);
        }
    }

    /// "raw host:port bytes reply": opens as many plain connections, each of which reads so many
    /// bytes and then replies with so many.
    void connect_raw_peers(const std::string& command) {
        char address[64];
        std::size_t bytes = 0;
        std::size_t reply = 0;
        if (std::sscanf(command.c_str(), "raw %63s %zu %zu", address, &bytes, &reply) != 3) {
            std::exit(3);
        }
        const auto server = net::parse_address(address);
        for (std::size_t k = 0; k < proxies_.size(); ++k) {
            raw_peers_.push_back(std::make_shared<RawPeer>(loop_.io(), bytes, reply));
            raw_peers_.back()->connect(server);
        }
        send_line(reply_pipe_, "connected");
    }

    net::Loop loop_;
    asio::posix::stream_descriptor commands_;
    int command_pipe_;
    int reply_pipe_;
    std::array<char, kPipeBufferBytes> buffer_{};
    std::vector<BenchProxy> proxies_;
    std::vector<std::shared_ptr<RawPeer>> raw_peers_;
    std::size_t proxies_with_routes_ = 0;
    std::size_t received_bytes_ = 0;
    std::size_t sent_bytes_ = 0;
};

// ---- Process of the control plane

/// Cost of one measured run.
struct Cost {
    double time_ms = 0;
    double cpu_ms = 0;
};

double median(std::vector<double> values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Costs by column, for the medians.
struct CostColumns {
    explicit CostColumns(const std::vector<Cost>& costs) {
        for (const Cost& cost : costs) {
            time_ms.push_back(cost.time_ms);
            cpu_ms.push_back(cost.cpu_ms);
        }
    }

    std::vector<double> time_ms;
    std::vector<double> cpu_ms;
};

void print_medians(const char* name, const std::vector<Cost>& costs) {
    const CostColumns columns(costs);
    const auto [min_cpu, max_cpu] =
        std::minmax_element(columns.cpu_ms.begin(), columns.cpu_ms.end());
    std::printf("%-28s time %8.2f ms   CPU %8.2f ms (medians of %zu; CPU %.2f to %.2f)\n", name,
                median(columns.time_ms), median(columns.cpu_ms), costs.size(), *min_cpu, *max_cpu);
}

/// Command-line arguments.
struct Sizes {
    int streams = 0;
    int lines = 0;
    int changes = 0;
};

config::InstanceConfig bench_config(int streams) {
    std::vector<config::ConfigError> errors;
    auto config =
        config::read_instance_config(config::IniFile::parse("bench", kSettings, errors), errors);
    for (const auto& error : errors) {
        std::fprintf(stderr, "%s\n", config::to_text(error).c_str());
    }
    config.xds_address = "127.0.0.1:0";
    config.registry_address = "127.0.0.1:1";
    config.settings.proxy_count = streams;
    return config;
}

/// Runs the control plane and measures it.
class ControlPlaneProcess {
public:
    ControlPlaneProcess(int command_pipe, int reply_pipe, Sizes sizes)
        : sizes_(sizes),
          command_pipe_(command_pipe),
          clock_(loop_.io()),
          log_(loop_.clock(), log::Level::Error, log::Form::Text),
          server_(loop_, base::ActorId{1}, bench_config(sizes.streams), log_, "bench"),
          replies_(loop_.io(), reply_pipe) {
        for (int k = 1; k <= sizes_.lines; ++k) {
            xds_server::ListedServer listed;
            listed.id = "s" + std::to_string(k);
            listed.zone = k % 2 ? "north" : "south";
            listed.address = {"127.0.0.1", static_cast<std::uint16_t>(20000 + k)};
            server_.add_server_for_benchmark(listed);
        }
        read_replies();
    }

    void run() {
        measure_connecting();
        wait_until_quiet();
        send_line(command_pipe_, "bytes");
        next_reply();
        const std::vector<Cost> control_plane = measure_changes();
        send_line(command_pipe_, "bytes");
        std::size_t sent = 0;
        std::size_t replied = 0;
        std::sscanf(next_reply().c_str(), "%zu %zu", &sent, &replied);
        sent /= static_cast<std::size_t>(sizes_.streams * sizes_.changes);
        replied /= static_cast<std::size_t>(sizes_.streams * sizes_.changes);
        const std::vector<Cost> raw = measure_raw_sockets(sent, replied);
        print_comparison(control_plane, raw, sent, replied);
    }

private:
    void read_replies() {
        replies_.async_read_some(asio::buffer(buffer_),
                                 [this](const asio::error_code& error, std::size_t bytes) {
                                     if (error) {
                                         return;
                                     }
                                     received_.append(buffer_.data(), bytes);
                                     read_replies();
                                 });
    }

    void wait_for(const std::function<bool()>& done) {
        loop_.io().restart();
        const auto deadline = clock_.now() + 60s;
        while (!done()) {
            if (clock_.now() > deadline) {
                throw std::runtime_error(
                    "timed out: the expected messages did not arrive within 60 s");
            }
            loop_.io().run_one_for(1s);
            loop_.io().poll();
        }
    }

    std::string next_reply() {
        wait_for([&] { return received_.find('\n') != std::string::npos; });
        std::string line = received_.substr(0, received_.find('\n'));
        received_.erase(0, line.size() + 1);
        return line;
    }

    Cost measure(const std::function<void()>& run) {
        const auto time_before = clock_.now();
        const auto cpu_before = base::process_cpu_us();
        run();
        return {static_cast<double>((clock_.now() - time_before).count()) / 1000,
                static_cast<double>(base::process_cpu_us() - cpu_before) / 1000};
    }

    void measure_connecting() {
        const auto memory_before = base::process_memory_bytes();
        const Cost cost = measure([&] {
            send_line(command_pipe_, net::to_text(server_.address()));
            next_reply();
        });
        const auto memory = static_cast<double>(base::process_memory_bytes() - memory_before);
        std::printf(
            "%d proxies connecting at once, a table of %d lines: all have it after %.0f ms, CPU "
            "%.0f ms, %.1f KiB a stream\n",
            sizes_.streams, sizes_.lines, cost.time_ms, cost.cpu_ms,
            memory / 1024 / sizes_.streams);
    }

    /// Waits until no acknowledgement has arrived for half a second, so that the updates caused by
    /// the connections are complete.
    void wait_until_quiet() {
        std::int64_t acknowledged = -1;
        while (acknowledged != server_.metrics().acknowledged_updates) {
            acknowledged = server_.metrics().acknowledged_updates;
            loop_.run_until(loop_.clock().now() + 500ms);
        }
    }

    std::vector<Cost> measure_changes() {
        std::vector<Cost> costs;
        costs.reserve(static_cast<std::size_t>(sizes_.changes));
        for (int n = 0; n < sizes_.changes; ++n) {
            costs.push_back(measure([&] {
                const auto before = server_.metrics().acknowledged_updates;
                server_.publish_weight_for_benchmark(1.0 + n % 5);
                wait_for([&] {
                    return server_.metrics().acknowledged_updates - before >= sizes_.streams;
                });
            }));
        }
        return costs;
    }

    std::vector<Cost> measure_raw_sockets(std::size_t sent, std::size_t replied) {
        tcp::acceptor acceptor(loop_.io(), {asio::ip::address_v4::loopback(), 0});
        send_line(command_pipe_,
                  "raw 127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + " " +
                      std::to_string(sent) + " " + std::to_string(replied));
        std::vector<std::shared_ptr<tcp::socket>> sockets;
        sockets.reserve(static_cast<std::size_t>(sizes_.streams));
        for (int k = 0; k < sizes_.streams; ++k) {
            sockets.push_back(std::make_shared<tcp::socket>(acceptor.accept()));
        }
        next_reply();
        const std::string bytes(sent, 'x');
        std::vector<char> reply(replied);
        std::vector<Cost> costs;
        costs.reserve(static_cast<std::size_t>(sizes_.changes));
        for (int n = 0; n < sizes_.changes; ++n) {
            costs.push_back(measure([&] {
                int pending = sizes_.streams;
                for (auto& socket : sockets) {
                    asio::async_write(*socket, asio::buffer(bytes),
                                      [](const asio::error_code&, std::size_t) {});
                    asio::async_read(*socket, asio::buffer(reply),
                                     [&](const asio::error_code&, std::size_t) { --pending; });
                }
                wait_for([&] { return pending == 0; });
            }));
        }
        return costs;
    }

    void print_comparison(const std::vector<Cost>& control_plane, const std::vector<Cost>& raw,
                          std::size_t sent, std::size_t replied) const {
        std::printf(
            "one change of %d lines to %d streams, %zu bytes out and %zu back a stream, until all "
            "have acknowledged:\n",
            sizes_.lines, sizes_.streams, sent, replied);
        print_medians("  control plane", control_plane);
        print_medians("  plain Asio, same bytes", raw);
        const CostColumns control_plane_costs(control_plane);
        const CostColumns raw_costs(raw);
        std::printf("  control plane / plain Asio: CPU %.2f, time %.2f\n",
                    median(control_plane_costs.cpu_ms) / median(raw_costs.cpu_ms),
                    median(control_plane_costs.time_ms) / median(raw_costs.time_ms));
    }

    Sizes sizes_;
    int command_pipe_;
    net::Loop loop_;
    base::RealClock clock_;
    log::Log log_;
    xds_server::XdsServer server_;
    asio::posix::stream_descriptor replies_;
    std::array<char, kPipeBufferBytes> buffer_{};
    std::string received_;
};

}  // namespace

int main(int argc, char** argv) {
    Sizes sizes;
    sizes.streams = argc > 1 ? std::atoi(argv[1]) : 1000;
    sizes.lines = argc > 2 ? std::atoi(argv[2]) : 100;
    sizes.changes = argc > 3 ? std::atoi(argv[3]) : 21;
    const bool valid =
        sizes.streams >= 1 && sizes.streams <= 20000 && sizes.lines >= 1 && sizes.changes >= 1;
    int command_pipe[2];
    int reply_pipe[2];
    if (!valid || pipe(command_pipe) != 0 || pipe(reply_pipe) != 0) {
        return 2;
    }
    const pid_t child = fork();
    if (child == 0) {
        close(command_pipe[1]);
        close(reply_pipe[0]);
        prctl(PR_SET_NAME, "proxies");
        ProxyProcess process(command_pipe[0], reply_pipe[1], sizes.streams);
        _exit(process.run());
    }
    close(command_pipe[0]);
    close(reply_pipe[1]);
    {
        ControlPlaneProcess process(command_pipe[1], reply_pipe[0], sizes);
        process.run();
    }
    close(command_pipe[1]);
    waitpid(child, nullptr, 0);
    return 0;
}
