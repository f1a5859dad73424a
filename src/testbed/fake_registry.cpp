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
        on_request(exchange);
    };
}

void FakeRegistry::put(const Entry& entry) {
    entries_[entry.server.id] = entry;
    on_entries_changed();
}

void FakeRegistry::remove(const std::string& id) {
    if (entries_.erase(id) > 0) {
        on_entries_changed();
    }
}

void FakeRegistry::on_entries_changed() {
    ++index_;
    respond_to_waiting();
}

void FakeRegistry::set_hanging(bool hanging) {
    hanging_ = hanging;
    if (!hanging) {
        respond_to_waiting();
    }
}

void FakeRegistry::restart(bool keep_entries) {
    waiting_.clear();
    const net::Address at = server_->address();
    server_.reset();
    if (!keep_entries) {
        entries_.clear();
    }
    ++incarnation_;
    index_ = 1;
    listen(at);
}

void FakeRegistry::on_request(const net::HttpExchangePtr& exchange) {
    const net::HttpMessage& request = exchange->request;
    if (request.method != "GET" || request.target.rfind("/v1/servers", 0) != 0) {
        net::HttpMessage no;
        no.status = 404;
        return exchange->answer(std::move(no));
    }
    const std::uint64_t after = parameter(request.target, "index");
    if (!hanging_ && index_ > after) {
        return respond(exchange);
    }
    if (!hanging_ && after > index_) {
        return respond(exchange);  // the poll refers to another incarnation: answered at once
    }
    Waiting waiting{exchange, after, std::make_unique<base::Timer>(loop_.clock(), actor_)};
    const Micros wait(static_cast<std::int64_t>(parameter(request.target, "wait_ms")) * 1000);
    waiting.limit->after(wait, [this, exchange] {
        if (hanging_) {
            return;
        }
        respond(exchange);
        std::erase_if(waiting_, [](const Waiting& w) { return !w.exchange->open(); });
    });
    waiting_.push_back(std::move(waiting));
}

void FakeRegistry::respond_to_waiting() {
    if (hanging_) {
        return;
    }
    std::vector<Waiting> rest;
    for (Waiting& waiting : waiting_) {
        if (!waiting.exchange->open()) {
            continue;
        }
        if (index_ != waiting.after) {
            respond(waiting.exchange);
        } else {
            rest.push_back(std::move(waiting));
        }
    }
    waiting_ = std::move(rest);
}

void FakeRegistry::respond(const net::HttpExchangePtr& exchange) {
    xds_server::ServerList list;
    list.header = {host_ + "/" + std::to_string(incarnation_), index_, 0};
    nlohmann::json json;
    json["registry"] = list.header.registry_incarnation;
    json["index"] = index_;
    json["servers"] = nlohmann::json::array();
    for (const auto& [id, entry] : served_entries_ ? *served_entries_ : entries_) {
        xds_server::ListedServer listed = entry.server;
        listed.age = entry.started_at > Micros{0}
                         ? std::max(Micros{1000}, loop_.clock().now() - entry.started_at)
                         : Micros{0};
        json["servers"].push_back(
            {{"id", id},
             {"zone", listed.zone},
             {"address", net::to_text(listed.address)},
             {"state", listed.state == ServerState::Draining ? "draining" : "ready"},
             {"weight", listed.weight},
             {"incarnation", listed.incarnation},
             {"age_ms", static_cast<double>(listed.age.count()) / 1000}});
        list.servers.push_back(std::move(listed));
    }
    list.header.server_count = list.servers.size();
    net::HttpMessage response;
    response.status = 200;
    response.headers.emplace_back("content-type", "application/json");
    response.body = malformed_response.empty() ? json.dump() : malformed_response;
    const std::string instance{exchange->request.header("x-governor").value_or("")};
    exchange->answer(std::move(response));
    if (observer_ && malformed_response.empty()) {
        observer_->on_server_list_sent(loop_.clock().now(), instance, list);
    }
}

}  // namespace badgergrade::testbed
