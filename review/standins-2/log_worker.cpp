// A worker that writes each invocation that it runs to standard output: "TIME ran ID ZONE INVOCATION PATH".
// With --lose N it runs every Nth invocation of --lose-path and resets the connection in place of the
// answer (an answer that is lost, a connection that is reset under a request). From SIGUSR1 on it is silent:
// it writes "TIME got ..." for each invocation that reaches it and neither runs nor answers it.
//
// Usage: log_worker --port PORT --id ID --zone ZONE [--work-ms MS] [--lose N --lose-path PATH]
#include <atomic>

#include "http.h"

namespace {

std::atomic<bool> silent{false};

void become_silent(int) {
    silent = true;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGUSR1, become_silent);
    auto options = standins::options(argc, argv);
    const double work_ms = options.contains("--work-ms") ? std::stod(options["--work-ms"]) : 5;
    const long lose = options.contains("--lose") ? std::stol(options["--lose"]) : 0;
    std::atomic<long> ran{0};
    standins::serve(std::stoi(options["--port"]), [&](const standins::Request& request) {
        const auto invocation = request.headers.find("x-invocation");
        if (silent) {
            std::printf("%.1f got %s %s %s %s\n", standins::now_ms(), options["--id"].c_str(),
                        options["--zone"].c_str(),
                        invocation == request.headers.end() ? "-" : invocation->second.c_str(),
                        request.target.c_str());
            std::fflush(stdout);
            std::this_thread::sleep_for(std::chrono::hours(1));
        }
        std::this_thread::sleep_for(std::chrono::microseconds(static_cast<long>(work_ms * 1000)));
        const bool counts = request.target == options["--lose-path"];
        const bool lost = counts && lose > 0 && ++ran % lose == 0;
        std::printf("%.1f ran %s %s %s %s%s\n", standins::now_ms(), options["--id"].c_str(),
                    options["--zone"].c_str(),
                    invocation == request.headers.end() ? "-" : invocation->second.c_str(),
                    request.target.c_str(), lost ? " answer-lost" : "");
        std::fflush(stdout);
        standins::Response response;
        response.reset = lost;
        return response;
    });
}
