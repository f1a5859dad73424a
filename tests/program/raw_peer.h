// Sockets driven by hand, outside the instance's loop: what is written here lies in the kernel at
// once, whether or not the loop has run since. With them a rare order of events is made, not waited
// for.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <utility>

#include "net/network.h"
#include "platform_stage.h"

namespace badgergrade::test {

inline sockaddr_in raw_address(const net::Address& at) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(at.port);
    inet_pton(AF_INET, at.host.c_str(), &out.sin_addr);
    return out;
}

class RawSocket {
public:
    explicit RawSocket(int fd) : fd_(fd) {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    explicit RawSocket(const net::Address& to)
        : RawSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const sockaddr_in there = raw_address(to);
        if (connect(fd_, reinterpret_cast<const sockaddr*>(&there), sizeof there) != 0) {
            ADD_FAILURE() << "connect: " << errno;
        }
    }

    RawSocket(RawSocket&& from) noexcept : fd_(std::exchange(from.fd_, -1)) {}

    RawSocket(const RawSocket&) = delete;

    ~RawSocket() { end(); }

    void end() {
        if (fd_ >= 0) {
            close(std::exchange(fd_, -1));
        }
    }

    void send(std::string_view bytes) {
        while (!bytes.empty()) {
            const ssize_t took = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            ASSERT_GT(took, 0) << errno;
            bytes.remove_prefix(static_cast<std::size_t>(took));
        }
    }

    void say(const std::vector<std::string>& words) {
        std::string bytes;
        resp::write(bytes, words);
        send(bytes);
    }

    void join(int number, const std::string& zone = "north", const std::string& fresh = "1") {
        say({"SUBSCRIBE", "proxy", std::to_string(number), "zone", zone, "weight", "5", "fresh",
             fresh});
    }
    // All that has come by now; `how` tells what came after it.
    enum class Then { Open, End, Reset };

    std::string read(Then* how = nullptr) {
        std::string out;
        Then then = Then::Open;
        for (char buffer[65536];;) {
            const ssize_t got = recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
            if (got > 0) {
                out.append(buffer, static_cast<std::size_t>(got));
                continue;
            }
            if (got == 0) {
                then = Then::End;
            } else if (errno != EAGAIN) {
                then = Then::Reset;
            }
            break;
        }
        // A reset that came on the heels of an end shows nowhere else.
        int wrong = 0;
        socklen_t size = sizeof wrong;
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &wrong, &size);
        if (wrong != 0) {
            then = Then::Reset;
        }
        if (how) {
            *how = then;
        }
        return out;
    }

private:
    int fd_;
};

// A listening socket whose connections are taken when the test says so.
class RawListener {
public:
    RawListener() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const sockaddr_in any = raw_address({"127.0.0.1", 0});
        if (bind(fd_, reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0 ||
            listen(fd_, 64) != 0) {
            ADD_FAILURE() << "listen: " << errno;
        }
    }

    RawListener(const RawListener&) = delete;

    ~RawListener() { end(); }

    void end() {
        if (fd_ >= 0) {
            close(std::exchange(fd_, -1));
        }
    }

    net::Address address() const {
        sockaddr_in here{};
        socklen_t size = sizeof here;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&here), &size);
        return {"127.0.0.1", ntohs(here.sin_port)};
    }

    bool waits() const {
        pollfd one{fd_, POLLIN, 0};
        return poll(&one, 1, 0) > 0;
    }

    RawSocket take() const { return RawSocket(accept(fd_, nullptr, nullptr)); }

private:
    int fd_;
};

// An instance whose clock moves by hand and whose sockets are the kernel's: time can pass in which
// it reads nothing.
struct RawStage {
    explicit RawStage(int proxies = 4, int sockets = 256)
        : log(loop.clock(), log::Level::Info, log::Form::Text,
              [this](const std::string& line) { lines.push_back(line); }) {
        loop.keeps_ledger = false;
        config = platform::read_config(
            node_config("127.0.0.1:0", net::to_text(discovery.address()), sockets));
        config.protocol_names.proxy_count = config.settings.proxy_count = proxies;
    }

    void start() {
        server = std::make_unique<platform_server::PlatformServer>(
            loop, base::ActorId{10}, config, log, std::chrono::seconds(1700000000));
        run(base::Micros{0});
    }

    // The loop runs all the time: what is in the kernel is read at once.
    void run(base::Micros time) {
        const base::Micros end = loop.clock().now() + time;
        do {
            loop.run_until(std::min(end, loop.clock().now() + std::chrono::milliseconds(10)));
        } while (loop.clock().now() < end);
        loop.run_until(end);
    }

    // For this long the instance does not read its sockets (it gets no processor): `meanwhile`
    // happens at once and lies in the kernel while all that is due by the clock is done.
    void stall(base::Micros time, const std::function<void()>& meanwhile) {
        base::Timer first(loop.clock(), base::ActorId{0});
        const base::Micros begin = loop.clock().now();
        first.at(begin + base::Micros{1}, meanwhile);
        loop.run_until(begin + time);
    }

    int logged(const std::string& what) const {
        return static_cast<int>(
            std::count_if(lines.begin(), lines.end(),
                          [&](const std::string& l) { return l.find(what) != std::string::npos; }));
    }

    // The request that waits on this connection, with its target.
    static std::string target(const std::string& request) {
        const auto begin = request.find(' ') + 1;
        return request.substr(begin, request.find(' ', begin) - begin);
    }

    static std::string answer(const std::string& body, const std::string& more = {}) {
        return "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) + "\r\n" + more +
               "\r\n" + body;
    }

    net::Loop loop{std::chrono::seconds(1000)};
    std::vector<std::string> lines;
    log::Log log;
    RawListener discovery;
    platform::NodeConfig config;
    std::unique_ptr<platform_server::PlatformServer> server;
};

}  // namespace badgergrade::test
