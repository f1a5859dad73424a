// A registry whose list is a file: "id zone host:port state" a line. It answers as docs of the governor
// say: at once where its index differs from the caller's, else when the file changes or the wait ends.
// Each answer that brings a list the caller did not have is written to standard output.
//
// Usage: list_registry --port PORT --file FILE --incarnation NAME --index FIRST
#include <fstream>
#include <mutex>
#include <sstream>

#include "http.h"

namespace {

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

}  // namespace

int main(int argc, char** argv) {
    auto options = standins::options(argc, argv);
    const std::string path = options["--file"];
    std::mutex mutex;
    std::string text = read_file(path);
    unsigned long index = std::stoul(options["--index"]);
    std::thread([&] {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            std::string newer = read_file(path);
            const std::lock_guard lock(mutex);
            if (newer != text) {
                text = std::move(newer);
                ++index;
            }
        }
    }).detach();
    standins::serve(std::stoi(options["--port"]), [&](const standins::Request& request) {
        const unsigned long known = std::strtoul(standins::query_value(request.target, "index").c_str(), nullptr, 10);
        const double wait = std::strtod(standins::query_value(request.target, "wait_ms").c_str(), nullptr);
        const double until = standins::now_ms() + wait;
        std::unique_lock lock(mutex);
        while (index == known && standins::now_ms() < until) {
            lock.unlock();
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            lock.lock();
        }
        std::string servers;
        std::string ids;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            std::istringstream words(line);
            std::string id;
            std::string zone;
            std::string address;
            std::string state;
            if (!(words >> id >> zone >> address >> state)) {
                continue;
            }
            servers += (servers.empty() ? "" : ",") + ("{\"id\":\"" + id) + "\",\"zone\":\"" + zone +
                       "\",\"address\":\"" + address + "\",\"state\":\"" + state +
                       "\",\"weight\":1.0,\"incarnation\":\"1\",\"age_ms\":0}";
            ids += " " + id + ":" + state;
        }
        standins::Response response;
        response.body = "{\"registry\":\"" + options["--incarnation"] + "\",\"index\":" + std::to_string(index) +
                        ",\"servers\":[" + servers + "]}";
        if (index != known) {
            std::printf("%.1f registry %s told index %lu, asked for with %lu:%s\n", standins::now_ms(),
                        options["--incarnation"].c_str(), index, known, ids.c_str());
            std::fflush(stdout);
        }
        return response;
    });
}
