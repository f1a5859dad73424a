/// Runs the badgergrade program as a child process and reads its output, and writes the files that
/// it needs.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace badgergrade::test {

/// A child process of the program. Standard output and standard error are read together through one
/// pipe. The destructor kills the process if it still runs.
class Child {
public:
    /// Starts the program. `descriptors` above 0 limits its open file descriptors.
    explicit Child(std::vector<std::string> args, rlim_t descriptors = 0) {
        int pipe_ends[2];
        if (pipe2(pipe_ends, O_CLOEXEC) != 0) {
            throw std::runtime_error("pipe2 failed");
        }
        pid_ = fork();
        if (pid_ == 0) {
            dup2(pipe_ends[1], 1);
            dup2(pipe_ends[1], 2);
            close(pipe_ends[0]);
            close(pipe_ends[1]);
            if (descriptors > 0) {
                const rlimit limit{descriptors, descriptors};
                setrlimit(RLIMIT_NOFILE, &limit);
            }
            args.insert(args.begin(), BADGERGRADE_PROGRAM_PATH);
            std::vector<char*> argv;
            for (auto& arg : args) {
                argv.push_back(arg.data());
            }
            argv.push_back(nullptr);
            execv(argv[0], argv.data());
            _exit(127);
        }
        close(pipe_ends[1]);
        output_pipe_ = pipe_ends[0];
    }

    ~Child() {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
        close(output_pipe_);
    }

    /// Reads until the output contains `text`. False if it ends before, or if nothing comes for 20
    /// s.
    bool shows(const std::string& text) {
        while (output_.find(text) == std::string::npos) {
            pollfd readable{output_pipe_, POLLIN, 0};
            char buffer[4096];
            if (poll(&readable, 1, 20000) <= 0) {
                return false;
            }
            const ssize_t size = read(output_pipe_, buffer, sizeof buffer);
            if (size <= 0) {
                return output_.find(text) != std::string::npos;
            }
            output_.append(buffer, static_cast<std::size_t>(size));
        }
        return true;
    }

    /// Reads all output and waits for the end of the process. Returns its exit status, or 1000 plus
    /// the number of the signal that ended it.
    int wait() {
        shows("\x01 never");
        int status = 0;
        waitpid(std::exchange(pid_, 0), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
    }

    void signal(int number) { kill(pid_, number); }

    /// The output read so far.
    const std::string& text() const { return output_; }

    pid_t id() const { return pid_; }

    /// Reads until the output contains `prefix`. Returns the text between the first `prefix` and
    /// the next space or line end.
    std::string after(const std::string& prefix) {
        EXPECT_TRUE(shows(prefix)) << output_;
        const auto at = output_.find(prefix);
        if (at == std::string::npos) {
            return {};
        }
        shows("\n");
        const auto begin = at + prefix.size();
        return output_.substr(begin, output_.find_first_of(" \n", begin) - begin);
    }

private:
    pid_t pid_ = 0;
    int output_pipe_ = -1;
    std::string output_;
};

/// Writes a temporary file and returns its path.
inline std::string temporary(const std::string& name, const std::string& text) {
    std::string path = testing::TempDir() + "badgergrade-" + std::to_string(getpid()) + "-" + name;
    std::ofstream(path) << text;
    return path;
}

/// The settings of examples/governor.ini with these two addresses.
inline std::string settings_file(const std::string& listen, const std::string& registry) {
    std::ifstream in(BADGERGRADE_SOURCE "/examples/governor.ini");
    std::ostringstream content;
    content << in.rdbuf();
    std::string text = content.str();
    text.replace(text.find("127.0.0.1:18000"), 15, listen);
    text.replace(text.find("127.0.0.1:18500"), 15, registry);
    return text;
}

}  // namespace badgergrade::test
