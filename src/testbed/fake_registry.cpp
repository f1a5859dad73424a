#include "testbed/fake_registry.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace badgergrade::testbed {

namespace {
std::uint64_t parameter(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    std::uint64_t out = 0;
    if (at != std::string::npos) {
        std::from_chars(target.data() + at + name.size() + 1, target.data() + target.size(), out);
    }
    return out;
}
}  // namespace

FakeRegistry::FakeRegistry(net::Loop& loop, base::ActorId actor, std::string host,
                           const net::Address& at, Observer* observer)
    : loop_(loop),
      actor_(actor),
      host_(std::move(host)),
      observer_(observer) {
    listen(at);
}

void FakeRegistry::listen(const net::Address& at) {
    server_ = std::make_unique<net::HttpServer>(loop_, actor_, host_, at, net::HttpLimits{}, 10000);
    server_->on_request = [this](net::HttpExchangePtr exchange) {
        asked(exchange);
    };
}

void FakeRegistry::put(const Entry& row) {
    rows_[row.server.id] = row;
    changed();
}

void FakeRegistry::remove(const std::string& id) {
    if (rows_.erase(id) > 0) {
        changed();
    }
}

void FakeRegistry::changed() {
    ++index_;
    answer_waiting();
}

void FakeRegistry::set_hanging(bool on) {
    hung_ = on;
    if (!on) {
        answer_waiting();
    }
}

void FakeRegistry::restart(bool keep_rows) {
    waiting_.clear();
    const net::Address at = server_->address();
    server_.reset();
    if (!keep_rows) {
        rows_.clear();
    }
    ++lives_;
    index_ = 1;
    listen(at);
}

void FakeRegistry::asked(const net::HttpExchangePtr& exchange) {
    const net::HttpMessage& request = exchange->request;
    if (request.method != "GET" || request.target.rfind("/v1/servers", 0) != 0) {
        net::HttpMessage no;
        no.status = 404;
        return exchange->answer(std::move(no));
    }
    const std::uint64_t after = parameter(request.target, "index");
    if (!hung_ && index_ > after) {
        return answer(exchange);
    }
    if (!hung_ && after > index_) {
        return answer(exchange);  // a client of another life: told at once
    }
    Waiting waiting{exchange, after, std::make_unique<base::Timer>(loop_.clock(), actor_)};
    const Micros wait(static_cast<std::int64_t>(parameter(request.target, "wait_ms")) * 1000);
    waiting.limit->after(wait, [this, exchange] {
        if (hung_) {
            return;
        }
        answer(exchange);
        std::erase_if(waiting_, [](const Waiting& w) { return !w.exchange->open(); });
    });
    waiting_.push_back(std::move(waiting));
}

void FakeRegistry::answer_waiting() {
    if (hung_) {
        return;
    }
    std::vector<Waiting> rest;
    for (Waiting& waiting : waiting_) {
        if (!waiting.exchange->open()) {
            continue;
        }
        if (index_ != waiting.after) {
            answer(waiting.exchange);
        } else {
            rest.push_back(std::move(waiting));
        }
    }
    waiting_ = std::move(rest);
}

void FakeRegistry::answer(const net::HttpExchangePtr& exchange) {
    xds_server::ServerList told;
    told.header = {host_ + "/" + std::to_string(lives_), index_, 0};
    nlohmann::json json;
    json["registry"] = told.header.registry_incarnation;
    json["index"] = index_;
    json["servers"] = nlohmann::json::array();
    for (const auto& [id, row] : instead_ ? *instead_ : rows_) {
        xds_server::ListedServer listed = row.server;
        listed.age = row.started_at > Micros{0}
                         ? std::max(Micros{1000}, loop_.clock().now() - row.started_at)
                         : Micros{0};
        json["servers"].push_back(
            {{"id", id},
             {"zone", listed.zone},
             {"address", net::to_text(listed.address)},
             {"state", listed.state == ServerState::Draining ? "draining" : "ready"},
             {"weight", listed.weight},
             {"incarnation", listed.incarnation},
             {"age_ms", static_cast<double>(listed.age.count()) / 1000}});
        told.servers.push_back(std::move(listed));
    }
    told.header.server_count = told.servers.size();
    net::HttpMessage response;
    response.status = 200;
    response.headers.emplace_back("content-type", "application/json");
    response.body = malformed_response.empty() ? json.dump() : malformed_response;
    const std::string governor{exchange->request.header("x-governor").value_or("")};
    exchange->answer(std::move(response));
    if (observer_ && malformed_response.empty()) {
        observer_->on_server_list_sent(loop_.clock().now(), governor, told);
    }
}

}  // namespace badgergrade::testbed
