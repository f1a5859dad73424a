// A fake of the server registry: answers long polls over HTTP/1.1 with the server list, and has the
// faults that a scenario injects. Protocol: xds_server/endpoint_watch.h.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "testbed/observer.h"

namespace badgergrade::testbed {

class FakeRegistry {
public:
    FakeRegistry(net::Loop& loop, base::ActorId actor, std::string host, const net::Address& at,
                 Observer* observer);

    net::Address address() const { return server_->address(); }

    struct Entry {
        xds_server::ListedServer server;  // `age` is ignored
        Micros started_at{};              // 0: before the scenario
    };

    // Adds, changes or removes a server. Waiting polls are answered at once.
    void put(const Entry& entry);
    void remove(const std::string& id);

    const std::map<std::string, Entry>& entries() const { return entries_; }

    // While hanging, requests are read and not answered. A restart begins a new incarnation, whose
    // index starts at 1.
    void set_hanging(bool hanging);
    void restart(bool keep_entries);
    // Response body sent in place of the server list; empty: the list is sent.
    std::string malformed_response;

    // Decreases the index by this much, to 1 at least.
    void rewind_index(std::uint64_t indexes) {
        index_ = index_ > indexes ? index_ - indexes : 1;
        respond_to_waiting();
    }

    // Serves these entries in place of the current ones, as a stale replica would; nullopt ends
    // this.
    void serve_instead(std::optional<std::map<std::string, Entry>> entries) {
        served_entries_ = std::move(entries);
        on_entries_changed();
    }

private:
    struct Waiting {
        net::HttpExchangePtr exchange;
        std::uint64_t after = 0;
        std::unique_ptr<base::Timer> limit;
    };

    void listen(const net::Address& at);
    void on_request(const net::HttpExchangePtr& exchange);
    void respond(const net::HttpExchangePtr& exchange);
    void respond_to_waiting();
    void on_entries_changed();

    net::Loop& loop_;
    base::ActorId actor_;
    std::string host_;
    Observer* observer_;
    std::unique_ptr<net::HttpServer> server_;
    std::map<std::string, Entry> entries_;
    std::optional<std::map<std::string, Entry>> served_entries_;
    std::vector<Waiting> waiting_;
    std::uint64_t index_ = 1, incarnation_ = 1;
    bool hanging_ = false;
};

}  // namespace badgergrade::testbed
