#include "xds_server/endpoint_watch.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace badgergrade::xds_server {

using namespace std::chrono_literals;

namespace {
constexpr Micros kRetryFirst = 250ms, kRetryMost = 5s;
constexpr std::size_t kServersMost = 65535;
}  // namespace

ServerList parse_list(const std::string& text) {
    ServerList out;
    try {
        const auto json = nlohmann::json::parse(text);
        out.about.registry = json.at("registry").get<std::string>();
        out.about.index = json.at("index").get<std::uint64_t>();
        std::set<std::string> ids;
        for (const auto& row : json.at("servers")) {
            ListedServer server;
            server.id = row.at("id").get<std::string>();
            if (server.id.empty() || server.id.size() > 128) {
                throw std::runtime_error("a server's id is 1 to 128 bytes");
            }
            if (!ids.insert(server.id).second) {
                throw std::runtime_error("server " + server.id + " stands twice");
            }
            server.zone = row.value("zone", "");
            server.incarnation = row.value("incarnation", "");
            server.address = net::parse_address(row.at("address").get<std::string>());
            const std::string state = row.value("state", "ready");
            if (state == "draining") {
                server.state = ServerState::Draining;
            } else if (state != "ready") {
                throw std::runtime_error("server " + server.id + ": state '" + state + "'");
            }
            server.weight = row.value("weight", 1.0);
            if (!(server.weight > 0) || !std::isfinite(server.weight) || server.weight > 1e6) {
                throw std::runtime_error("server " + server.id +
                                         ": a weight is above 0 and at most 1000000");
            }
            const double age = row.value("age_ms", 0.0);
            if (!(age >= 0) || age > 1e13) {
                throw std::runtime_error("server " + server.id + ": age_ms is out of range");
            }
            server.age = Micros(static_cast<std::int64_t>(age * 1000));
            out.servers.push_back(std::move(server));
        }
    } catch (const nlohmann::json::exception& wrong) {
        throw std::runtime_error(std::string("the list can't be read: ") + wrong.what());
    } catch (const std::invalid_argument& wrong) {
        throw std::runtime_error(std::string("the list can't be read: ") + wrong.what());
    }
    if (out.servers.size() > kServersMost) {
        throw std::runtime_error("the list names more than 65535 servers");
    }
    out.about.servers = out.servers.size();
    return out;
}

EndpointWatch::EndpointWatch(net::Loop& loop, base::ActorId actor, std::string host,
                             const config::GovernorConfig& config)
    : loop_(loop),
      id_(config.id),
      wait_(config.registry_wait),
      timeout_(config.registry_timeout),
      check_(config.empty_list, config.min_endpoint_fraction),
      pool_(loop, actor, std::move(host), net::parse_address(config.registry_address),
            config.registry_timeout, 60s),
      again_(loop.clock(), actor) {}

void EndpointWatch::start() {
    if (std::exchange(on_, true)) {
        return;
    }
    poll();
}

void EndpointWatch::stop() {
    on_ = false;
    again_.stop();
    if (now_) {
        pool_.cancel(std::exchange(now_, 0));
    }
}

void EndpointWatch::fetch() {
    whole_ = true;
    const bool was = on_;
    stop();
    on_ = was;
    poll();
}

void EndpointWatch::poll() {
    again_.stop();
    net::HttpMessage request;
    request.method = "GET";
    const std::uint64_t after = whole_ ? 0 : index_;
    request.target = "/v1/servers?index=" + std::to_string(after) +
                     "&wait_ms=" + std::to_string(wait_.count() / 1000);
    request.headers.emplace_back("x-governor", id_);
    // A watch that hangs for longer than it said it would is a dead registry.
    const Micros limit = (after == 0 ? Micros{0} : wait_) + timeout_;
    now_ = pool_.send(std::move(request), limit, [this](net::HttpOutcome outcome) {
        now_ = 0;
        came(std::move(outcome));
    });
}

void EndpointWatch::later(const std::string& why) {
    if (on_trouble) {
        on_trouble(why);
    }
    const auto factor = std::int64_t{1} << std::min(failures_++, 5);
    again_.after(std::min(kRetryMost, kRetryFirst * factor), [this] { poll(); });
}

void EndpointWatch::came(net::HttpOutcome outcome) {
    if (outcome.how != net::HttpOutcome::How::Answered) {
        return later("no answer: " + outcome.why);
    }
    if (outcome.response.status != 200) {
        return later("HTTP status " + std::to_string(outcome.response.status));
    }
    ServerList list;
    try {
        list = parse_list(outcome.response.body);
    } catch (const std::runtime_error& wrong) {
        return later(wrong.what());
    }
    const auto finding = check_.look(list.about);
    if (finding.verdict == EndpointListValidator::Verdict::Refuse) {
        // The refused index is not waited behind: a registry that mends itself is heard at once.
        return later("list refused: " + finding.why);
    }
    if (finding.verdict == EndpointListValidator::Verdict::AskAgain) {
        whole_ = true;
        return later("list doubted: " + finding.why);
    }
    failures_ = 0;
    whole_ = false;
    index_ = list.about.index;
    if (finding.verdict == EndpointListValidator::Verdict::Take && on_list) {
        on_list(list);
    }
    if (!on_) {
        return;
    }
    // Answers at once, again and again, would make a busy loop of the watch.
    again_.after(finding.verdict == EndpointListValidator::Verdict::Same ? 100ms : Micros{1000},
                 [this] { poll(); });
}

}  // namespace badgergrade::xds_server
