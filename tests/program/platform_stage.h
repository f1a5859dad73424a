// Fakes of the platform for tests: a configuration, discovery, and peers that speak its messages by
// hand.
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

inline std::string row(const std::string& id, const std::string& zone,
                       const std::string& state = "Ready", const std::string& started = "0") {
    return R"({"instanceId":")" + id + R"(","hostPort":"10.1.0.18:3000","zone":")" + zone +
           R"(","machineType":"m2","cell":3,"lifecycle":")" + state +
           R"(","weight":1.0,"startedAtMs":)" + started + "}";
}

inline std::string node_config(const std::string& listen = "127.0.0.1:0",
                               const std::string& discovery = "127.0.0.1:8500", int sockets = 256) {
    return R"({"name":"n3","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":64,"sockets":)" +
           std::to_string(sockets) + R"(},
"known":{"generation":1,"reset":true,"instances":[)" +
           row("s-a", "north") + "," + row("s-b", "north") + "," + row("s-c", "south") + R"(]},
"settings":{"balancers":1,"ordinal":0,"quantum":4.0,"zone":0,"zones":["north","south"],"weights":"none","discovery":"pushed",
"report":{"how":"answers","columns":["active","cpu"]},"bounds":{"conn_idle":15000.0,"may_probe":false,"peers":false},
"request_classes":[{"name":"look up","aim":500.0,"deadline":2000.0,"effect":"safe","worth":1.0},
{"name":"order","aim":1000.0,"deadline":3000.0,"effect":"unsafe","worth":3.0}],
"rules":{"cold":15000.0,"cold_from":0.17,"stop_sending_within":3000.0,"tip_after":1500.0,"tip_multiple":3.0},
"extra":{"admit":"none","lb_method":"two","data_plane_size":4,"class_own_zone":[false,true],"default_retry":1,"channel_rate":14000.0,
"pending_max":14000.0,"per_message":3.0,"reloads_max":20,"update_window":10000.0,"period":2000.0,"intake_per_s":500.0,"empty_for":5300.0,
"transit":368.0,"push_delay_max":920.0,"settle":4020.0,"outlier_after":5,"try_factor":0.8}}})";
}

// Messages as a line each, words by blanks.
inline std::string readable(std::string_view bytes) {
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

// Discovery's agent: answers with what is newer than the generation of the call, holds the call
// otherwise; may be silent.
class FakeDiscovery {
public:
    explicit FakeDiscovery(net::Loop& loop)
        : server_(loop, base::ActorId{3}, "discovery", net::Address{}, net::HttpLimits{}, 100),
          tick_(loop.clock(), base::ActorId{3}) {
        server_.on_request = [this](net::HttpExchangePtr exchange) {
            on_call(exchange);
        };
    }

    net::Address address() const { return server_.address(); }

    void put(const std::string& row) {
        changes_.push_back(row);
        answer_waiting();
    }

    // The call that waits ends without an answer.
    void break_off() {
        if (waiting_) {
            std::exchange(waiting_, nullptr)->break_off();
        }
    }

    void close_open() { server_.abort(); }

    bool silent = false;
    bool whole = false;
    bool garbage = false;

    std::uint64_t generation() const { return first_ + changes_.size(); }

    std::vector<std::uint64_t> asked_from;

    void begin_at(std::uint64_t generation) { first_ = generation; }

private:
    static std::uint64_t value(const std::string& target, const std::string& key) {
        const auto at = target.find(key + "=");
        return at == std::string::npos ? 0 : std::stoull(target.substr(at + key.size() + 1));
    }

    void on_call(const net::HttpExchangePtr& exchange) {
        const std::uint64_t from = value(exchange->request.target, "from");
        asked_from.push_back(from);
        waiting_ = exchange;
        from_ = from;
        if (from < generation()) {
            return answer();
        }
        tick_.after(std::chrono::milliseconds(value(exchange->request.target, "hold_ms")),
                    [this] { answer(); });
    }

    void answer_waiting() {
        if (waiting_ && from_ < generation()) {
            answer();
        }
    }

    void answer() {
        if (silent || !waiting_) {
            return;
        }
        net::HttpMessage response;
        response.status = 200;
        std::string rows;
        for (std::uint64_t k = std::max(from_, first_); k < generation(); ++k) {
            rows += (rows.empty() ? "" : ",") + changes_[k - first_];
        }
        response.body = garbage
                            ? "{\"generation\":"
                            : R"({"generation":)" + std::to_string(generation()) + R"(,"reset":)" +
                                  (whole ? "true" : "false") + R"(,"instances":[)" + rows + "]}";
        std::exchange(waiting_, nullptr)->answer(std::move(response));
    }

    net::HttpServer server_;
    base::Timer tick_;
    std::vector<std::string> changes_;
    std::uint64_t first_ = 1;
    std::uint64_t from_ = 0;
    net::HttpExchangePtr waiting_;
};

// A connection to the instance, driven by hand.
class PlatformPeer {
public:
    PlatformPeer(net::Loop& loop, const net::Address& to)
        : dial_(std::make_unique<net::Dial>(
              loop, base::ActorId{100}, "peer", to, std::chrono::seconds(1),
              [this](net::StreamPtr stream, const std::string& why) {
                  if (!stream) {
                      return void(ended = why);
                  }
                  stream_ = stream;
                  stream_->on_data = [this](std::string_view bytes) {
                      text += readable(bytes);
                  };
                  stream_->on_end = [this](const std::string& reason) {
                      ended = reason;
                  };
                  if (!early_.empty()) {
                      stream_->send(std::exchange(early_, {}));
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
            early_ += bytes;
        }
    }

    void say(const std::string& words) {
        std::vector<std::string> list;
        for (std::size_t at = 0; at < words.size();) {
            const std::size_t end = std::min(words.find(' ', at), words.size());
            list.push_back(words.substr(at, end - at));
            at = end + 1;
        }
        std::string bytes;
        resp::write(bytes, list);
        send(bytes);
    }

    void close() { stream_->close(true); }

    void stop_reading() { stream_->pause_reading(); }

    bool was_answered_or_closed() const {
        return !ended.empty() || text.find("NACK") != std::string::npos;
    }

    std::string text;   // what was read, a line for each message
    std::string ended;  // why the connection ended; empty while it is open

private:
    std::string early_;
    net::StreamPtr stream_;
    std::unique_ptr<net::Dial> dial_;
};

// An instance on the platform with its discovery, on the virtual clock.
struct NodeStage {
    explicit NodeStage(int sockets = 256)
        : log(loop.clock(), log::Level::Info, log::Form::Text,
              [this](const std::string& line) { lines.push_back(line); }) {
        config = platform::read_config(
            node_config("127.0.0.1:0", net::to_text(discovery.address()), sockets));
    }

    void start() {
        server = std::make_unique<platform_server::PlatformServer>(
            loop, base::ActorId{10}, config, log, std::chrono::seconds(1700000000));
    }

    std::unique_ptr<PlatformPeer> peer() {
        return std::make_unique<PlatformPeer>(loop, server->address());
    }

    std::unique_ptr<PlatformPeer> proxy(int number, const std::string& zone = "north",
                                        const std::string& fresh = "1") {
        auto out = peer();
        out->say("SUBSCRIBE proxy " + std::to_string(number) + " zone " + zone +
                 " weight 5 fresh " + fresh);
        return out;
    }

    void run(base::Micros time) { loop.run_until(loop.clock().now() + time); }

    int logged(const std::string& what) const {
        return static_cast<int>(
            std::count_if(lines.begin(), lines.end(),
                          [&](const std::string& l) { return l.find(what) != std::string::npos; }));
    }

    net::Loop loop{std::chrono::seconds(1000)};
    std::vector<std::string> lines;
    log::Log log;
    FakeDiscovery discovery{loop};
    platform::NodeConfig config;
    std::unique_ptr<platform_server::PlatformServer> server;
};

}  // namespace badgergrade::test
