// Test doubles of the platform: a configuration file, a fake discovery, and peers that exchange the
// platform's messages with a control plane instance. NodeFixture runs them on the virtual clock.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "platform_server/platform_server.h"
#include "resp/resp.h"

namespace badgergrade::test {

// One server in discovery's list.
inline std::string server_json(const std::string& id, const std::string& zone,
                               const std::string& lifecycle = "Ready",
                               const std::string& started_ms = "0") {
    return R"({"instanceId":")" + id + R"(","hostPort":"10.1.0.18:3000","zone":")" + zone +
           R"(","machineType":"m2","cell":3,"lifecycle":")" + lifecycle +
           R"(","weight":1.0,"startedAtMs":)" + started_ms + "}";
}

// A configuration file with the zones north and south, the servers s-a and s-b (north) and s-c
// (south), and the operations "look up" and "order".
inline std::string node_config(const std::string& listen = "127.0.0.1:0",
                               const std::string& discovery = "127.0.0.1:8500", int sockets = 256) {
    return R"({"name":"n3","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":64,"sockets":)" +
           std::to_string(sockets) + R"(},
"known":{"generation":1,"reset":true,"instances":[)" +
           server_json("s-a", "north") + "," + server_json("s-b", "north") + "," +
           server_json("s-c", "south") + R"(]},
"settings":{"balancers":1,"ordinal":0,"quantum":4.0,"zone":0,"zones":["north","south"],"weights":"none","discovery":"pushed",
"report":{"how":"answers","columns":["active","cpu"]},"bounds":{"conn_idle":15000.0,"may_probe":false,"peers":false},
"request_classes":[{"name":"look up","aim":500.0,"deadline":2000.0,"effect":"safe","worth":1.0},
{"name":"order","aim":1000.0,"deadline":3000.0,"effect":"unsafe","worth":3.0}],
"rules":{"cold":15000.0,"cold_from":0.17,"stop_sending_within":3000.0,"tip_after":1500.0,"tip_multiple":3.0},
"extra":{"admit":"none","lb_method":"two","data_plane_size":4,"class_own_zone":[false,true],"default_retry":1,"channel_rate":14000.0,
"pending_max":14000.0,"per_message":3.0,"reloads_max":20,"update_window":10000.0,"period":2000.0,"intake_per_s":500.0,"empty_for":5300.0,
"transit":368.0,"push_delay_max":920.0,"settle":4020.0,"outlier_after":5,"try_factor":0.8}}})";
}

// Decodes RESP messages into one line each, with their words separated by blanks.
inline std::string to_lines(std::string_view bytes) {
    std::string out;
    resp::Reader reader;
    while (const auto message = reader.read_message(bytes)) {
        for (const auto& word : message->words) {
            out += (out.empty() || out.back() == '\n' ? "" : " ") + word;
        }
        out += "\n";
    }
    return out + (reader.error() ? reader.error()->text : "");
}

// Discovery's agent. Answers a call with the changes that are newer than its generation, and holds
// it if there are none. Each change counts as one generation.
class FakeDiscovery {
public:
    explicit FakeDiscovery(net::Loop& loop)
        : server_(loop, base::ActorId{3}, "discovery", net::Address{}, net::HttpLimits{}, 100),
          hold_timer_(loop.clock(), base::ActorId{3}) {
        server_.on_request = [this](net::HttpExchangePtr exchange) {
            on_call(exchange);
        };
    }

    net::Address address() const { return server_.address(); }

    void add_change(const std::string& server) {
        changes_.push_back(server);
        answer_if_changed();
    }

    // Ends the held call without an answer.
    void abort_call() {
        if (held_call_) {
            std::exchange(held_call_, nullptr)->break_off();
        }
    }

    void close_connections() { server_.abort(); }

    bool is_silent = false;          // calls get no answer
    bool answers_snapshots = false;  // answers are marked as snapshots
    bool answers_garbage = false;    // answers are invalid JSON

    std::uint64_t generation() const { return first_generation_ + changes_.size(); }

    std::vector<std::uint64_t> requested_generations;

    void set_first_generation(std::uint64_t generation) { first_generation_ = generation; }

private:
    static std::uint64_t query_value(const std::string& target, const std::string& key) {
        const auto position = target.find(key + "=");
        return position == std::string::npos
                   ? 0
                   : std::stoull(target.substr(position + key.size() + 1));
    }

    void on_call(const net::HttpExchangePtr& exchange) {
        const std::uint64_t from = query_value(exchange->request.target, "from");
        requested_generations.push_back(from);
        held_call_ = exchange;
        requested_generation_ = from;
        if (from < generation()) {
            return answer();
        }
        hold_timer_.after(
            std::chrono::milliseconds(query_value(exchange->request.target, "hold_ms")),
            [this] { answer(); });
    }

    void answer_if_changed() {
        if (held_call_ && requested_generation_ < generation()) {
            answer();
        }
    }

    void answer() {
        if (is_silent || !held_call_) {
            return;
        }
        net::HttpMessage response;
        response.status = 200;
        std::string servers;
        for (std::uint64_t k = std::max(requested_generation_, first_generation_); k < generation();
             ++k) {
            servers += (servers.empty() ? "" : ",") + changes_[k - first_generation_];
        }
        response.body = answers_garbage
                            ? "{\"generation\":"
                            : R"({"generation":)" + std::to_string(generation()) + R"(,"reset":)" +
                                  (answers_snapshots ? "true" : "false") + R"(,"instances":[)" +
                                  servers + "]}";
        std::exchange(held_call_, nullptr)->answer(std::move(response));
    }

    net::HttpServer server_;
    base::Timer hold_timer_;
    std::vector<std::string> changes_;
    std::uint64_t first_generation_ = 1;
    std::uint64_t requested_generation_ = 0;  // of the held call
    net::HttpExchangePtr held_call_;
};

// A client connection to the control plane instance.
class PlatformPeer {
public:
    PlatformPeer(net::Loop& loop, const net::Address& to)
        : dial_(std::make_unique<net::Dial>(
              loop, base::ActorId{100}, "peer", to, std::chrono::seconds(1),
              [this](net::StreamPtr stream, const std::string& error) {
                  if (!stream) {
                      return void(end_reason = error);
                  }
                  stream_ = stream;
                  stream_->on_data = [this](std::string_view bytes) {
                      received += to_lines(bytes);
                  };
                  stream_->on_end = [this](const std::string& reason) {
                      end_reason = reason;
                  };
                  if (!unsent_.empty()) {
                      stream_->send(std::exchange(unsent_, {}));
                  }
              })) {}

    ~PlatformPeer() {
        if (stream_) {
            stream_->close(true);
        }
    }

    void send(const std::string& bytes) {
        if (stream_) {
            stream_->send(bytes);
        } else {
            unsent_ += bytes;
        }
    }

    // Sends a message whose words are separated by blanks.
    void send_message(const std::string& words) {
        std::vector<std::string> list;
        for (std::size_t position = 0; position < words.size();) {
            const std::size_t end = std::min(words.find(' ', position), words.size());
            list.push_back(words.substr(position, end - position));
            position = end + 1;
        }
        std::string bytes;
        resp::write(bytes, list);
        send(bytes);
    }

    void close() { stream_->close(true); }

    void stop_reading() { stream_->pause_reading(); }

    bool was_rejected_or_closed() const {
        return !end_reason.empty() || received.find("NACK") != std::string::npos;
    }

    std::string received;    // the received messages, one line each
    std::string end_reason;  // empty while the connection is open

private:
    std::string unsent_;  // bytes that wait for the connection to be established
    net::StreamPtr stream_;
    std::unique_ptr<net::Dial> dial_;
};

// A control plane instance with its discovery, on the virtual clock.
struct NodeFixture {
    explicit NodeFixture(int sockets = 256)
        : log(loop.clock(), log::Level::Info, log::Form::Text,
              [this](const std::string& line) { log_lines.push_back(line); }) {
        config = platform::read_config(
            node_config("127.0.0.1:0", net::to_text(discovery.address()), sockets));
    }

    void start() {
        server = std::make_unique<platform_server::PlatformServer>(
            loop, base::ActorId{10}, config, log, std::chrono::seconds(1700000000));
    }

    std::unique_ptr<PlatformPeer> connect_peer() {
        return std::make_unique<PlatformPeer>(loop, server->address());
    }

    std::unique_ptr<PlatformPeer> connect_proxy(int number, const std::string& zone = "north",
                                                const std::string& fresh = "1") {
        auto proxy = connect_peer();
        proxy->send_message("SUBSCRIBE proxy " + std::to_string(number) + " zone " + zone +
                            " weight 5 fresh " + fresh);
        return proxy;
    }

    void run_for(base::Micros duration) { loop.run_until(loop.clock().now() + duration); }

    // The number of log lines that contain this text.
    int count_log_lines(const std::string& text) const {
        return static_cast<int>(std::count_if(
            log_lines.begin(), log_lines.end(),
            [&](const std::string& line) { return line.find(text) != std::string::npos; }));
    }

    net::Loop loop{std::chrono::seconds(1000)};
    std::vector<std::string> log_lines;
    log::Log log;
    FakeDiscovery discovery{loop};
    platform::NodeConfig config;
    std::unique_ptr<platform_server::PlatformServer> server;
};

}  // namespace badgergrade::test
