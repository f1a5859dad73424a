// What the stand-ins on the simulator's wire share: the process that the deploy file names under `sim`, and
// the record of a case.
#pragma once

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

namespace standins {

using Clock = std::chrono::steady_clock;

inline FILE* record_file = nullptr;
inline Clock::time_point began;

// Milliseconds since the start of the day.
inline double now_ms() {
    return std::chrono::duration<double, std::milli>(Clock::now() - began).count();
}

// A line of the case's record.
inline void record(const char* format, ...) {
    va_list arguments;
    va_start(arguments, format);
    std::fprintf(record_file, "%9.1f ", now_ms());
    std::vfprintf(record_file, format, arguments);
    std::fputc('\n', record_file);
    va_end(arguments);
}

[[noreturn]] inline void cannot_run(const std::string& reason) {
    if (record_file) {
        record("could not run: %s", reason.c_str());
        std::fflush(record_file);
    }
    std::fprintf(stderr, "could not run: %s\n", reason.c_str());
    std::exit(2);
}

// Gives up where the stand-in itself was late: then the times of its world were not those of the settings.
inline void check_own_time(double latest_ms) {
    record("the stand-in itself was late by %.0f ms at most", latest_ms);
    if (latest_ms > 200) {
        cannot_run("the machine was too busy to keep the stand-in's time");
    }
}

// The program under test, on a pair of pipes.
class Adapter {
public:
    void start(const std::string& command) {
        int to[2];
        int from[2];
        if (pipe2(to, O_CLOEXEC) != 0 || pipe2(from, O_CLOEXEC) != 0) {
            cannot_run("no pipe");
        }
        pid_ = fork();
        if (pid_ == 0) {
            dup2(to[0], 0);
            dup2(from[1], 1);
            execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
            _exit(127);
        }
        close(to[0]);
        close(from[1]);
        in_ = to[1];
        out_ = from[0];
        buffer_.clear();
    }

    void kill_now() {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            close(in_);
            close(out_);
        }
        pid_ = 0;
    }

    bool running() const { return pid_ > 0; }

    // Sends one batch and returns the lines of the reply, the last one excluded.
    std::vector<std::string> exchange(const std::string& batch) {
        std::size_t sent = 0;
        while (sent < batch.size()) {
            const ssize_t n = write(in_, batch.data() + sent, batch.size() - sent);
            if (n <= 0) {
                cannot_run("the adapter does not read");
            }
            sent += static_cast<std::size_t>(n);
        }
        std::vector<std::string> lines;
        for (;;) {
            const std::size_t end = buffer_.find('\n');
            if (end != std::string::npos) {
                std::string line = buffer_.substr(0, end);
                buffer_.erase(0, end + 1);
                if (line.rfind("next", 0) == 0) {
                    return lines;
                }
                lines.push_back(std::move(line));
                continue;
            }
            pollfd readable{out_, POLLIN, 0};
            char bytes[65536];
            if (poll(&readable, 1, 20000) <= 0) {
                cannot_run("no reply from the adapter within 20 s");
            }
            const ssize_t n = read(out_, bytes, sizeof bytes);
            if (n <= 0) {
                cannot_run("the adapter has ended");
            }
            buffer_.append(bytes, static_cast<std::size_t>(n));
        }
    }

private:
    pid_t pid_ = 0;
    int in_ = -1;
    int out_ = -1;
    std::string buffer_;
};

// The value of a field of a line; empty where it is missing.
inline std::string field(const std::string& line, const std::string& name) {
    const std::string key = "\t" + name + "=";
    const std::size_t at = line.find(key);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + key.size();
    return line.substr(begin, std::min(line.find('\t', begin), line.size()) - begin);
}

inline std::map<std::string, std::string> options(int argc, char** argv) {
    std::map<std::string, std::string> values;
    for (int k = 1; k + 1 < argc; k += 2) {
        values[argv[k]] = argv[k + 1];
    }
    return values;
}

}  // namespace standins
