// A process of the program whose output is read, and files for it.
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

// A child whose output is read; ended by its id at the latest when this goes.
class Child {
public:
    explicit Child(std::vector<std::string> args, rlim_t descriptors = 0) {
        int ends[2];
        if (pipe2(ends, O_CLOEXEC) != 0) {
            throw std::runtime_error("pipe");
        }
        pid_ = fork();
        if (pid_ == 0) {
            dup2(ends[1], 1);
            dup2(ends[1], 2);
            close(ends[0]);
            close(ends[1]);
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
        close(ends[1]);
        out_ = ends[0];
    }

    ~Child() {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
        close(out_);
    }

    // Reads until the text shows or the child's output ends.
    bool shows(const std::string& what) {
        while (text_.find(what) == std::string::npos) {
            pollfd one{out_, POLLIN, 0};
            char buffer[4096];
            if (poll(&one, 1, 20000) <= 0) {
                return false;
            }
            const ssize_t got = read(out_, buffer, sizeof buffer);
            if (got <= 0) {
                return text_.find(what) != std::string::npos;
            }
            text_.append(buffer, static_cast<std::size_t>(got));
        }
        return true;
    }

    int wait() {
        shows("\x01 never");
        int status = 0;
        waitpid(std::exchange(pid_, 0), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
    }

    void signal(int which) { kill(pid_, which); }

    const std::string& text() const { return text_; }

    pid_t id() const { return pid_; }

    std::string after(const std::string& mark) {
        EXPECT_TRUE(shows(mark)) << text_;
        const auto at = text_.find(mark);
        if (at == std::string::npos) {
            return {};
        }
        shows("\n");
        const auto begin = at + mark.size();
        return text_.substr(begin, text_.find_first_of(" \n", begin) - begin);
    }

private:
    pid_t pid_ = 0;
    int out_ = -1;
    std::string text_;
};

inline std::string temporary(const std::string& name, const std::string& text) {
    std::string path = testing::TempDir() + "badgergrade-" + std::to_string(getpid()) + "-" + name;
    std::ofstream(path) << text;
    return path;
}

inline std::string settings_file(const std::string& listen, const std::string& registry) {
    std::ifstream in(BADGERGRADE_SOURCE "/examples/governor.ini");
    std::ostringstream all;
    all << in.rdbuf();
    std::string text = all.str();
    text.replace(text.find("127.0.0.1:18000"), 15, listen);
    text.replace(text.find("127.0.0.1:18500"), 15, registry);
    return text;
}

}  // namespace badgergrade::test
