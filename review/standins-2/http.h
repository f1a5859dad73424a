// A blocking HTTP/1.1 server for small stand-ins: one thread a connection, requests without a body or with
// a content-length. Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <thread>

namespace standins {

// Milliseconds of the machine's monotonic clock: the same in all processes of a case.
inline double now_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

struct Request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;  // names in lower case
};

struct Response {
    int status = 200;
    std::string body;
    bool reset = false;  // resets the connection in place of an answer
};

inline std::string query_value(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, std::min(target.find('&', begin), target.size()) - begin);
}

inline bool read_more(int fd, std::string& bytes) {
    char piece[16384];
    const ssize_t size = read(fd, piece, sizeof piece);
    if (size <= 0) {
        return false;
    }
    bytes.append(piece, static_cast<std::size_t>(size));
    return true;
}

inline void serve_connection(int fd, const std::function<Response(const Request&)>& handle) {
    std::string bytes;
    for (;;) {
        std::size_t head_end;
        while ((head_end = bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!read_more(fd, bytes)) {
                close(fd);
                return;
            }
        }
        Request request;
        std::size_t line_begin = 0;
        while (line_begin < head_end) {
            const std::size_t line_end = bytes.find("\r\n", line_begin);
            const std::string line = bytes.substr(line_begin, line_end - line_begin);
            if (line_begin == 0) {
                const std::size_t first = line.find(' ');
                request.method = line.substr(0, first);
                request.target = line.substr(first + 1, line.rfind(' ') - first - 1);
            } else if (const std::size_t colon = line.find(':'); colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(),
                               [](unsigned char c) { return std::tolower(c); });
                std::size_t value = colon + 1;
                while (value < line.size() && line[value] == ' ') {
                    ++value;
                }
                request.headers[name] = line.substr(value);
            }
            line_begin = line_end + 2;
        }
        bytes.erase(0, head_end + 4);
        const auto length = request.headers.find("content-length");
        const std::size_t body = length == request.headers.end() ? 0 : std::stoul(length->second);
        while (bytes.size() < body) {
            if (!read_more(fd, bytes)) {
                close(fd);
                return;
            }
        }
        bytes.erase(0, body);
        const Response response = handle(request);
        if (response.reset) {
            const linger now{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            close(fd);
            return;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                                 (response.status == 200 ? " OK" : " Status") +
                                 "\r\ncontent-length: " + std::to_string(response.body.size()) + "\r\n\r\n" +
                                 response.body;
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t size = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                close(fd);
                return;
            }
            sent += static_cast<std::size_t>(size);
        }
    }
}

// Serves for ever. Ends the process with 2 where the port of 127.0.0.1 can't be listened on.
[[noreturn]] inline void serve(int port, const std::function<Response(const Request&)>& handle) {
    std::signal(SIGPIPE, SIG_IGN);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(listener, 512) != 0) {
        std::fprintf(stderr, "can't listen on port %d\n", port);
        std::exit(2);
    }
    for (;;) {
        const int fd = accept(listener, nullptr, nullptr);
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        std::thread([fd, handle] { serve_connection(fd, handle); }).detach();
    }
}

inline std::map<std::string, std::string> options(int argc, char** argv) {
    std::map<std::string, std::string> values;
    for (int k = 1; k + 1 < argc; k += 2) {
        values[argv[k]] = argv[k + 1];
    }
    return values;
}

}  // namespace standins
