// One forwarder's aggregated discovery stream, state of the world, without a socket: requests in,
// responses and what they prove out.
//
// Per type the stream knows which resources are wanted there (as the channel released them), which
// were sent and which were acknowledged. Several responses of a type may be under way; each nonce
// is answered on its own, so that an ACK of the second never counts for a first that was rejected.
// An order is applied when all that it changed has been acknowledged, or superseded by something
// acknowledged.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "envoy/service/discovery/v3/discovery.pb.h"
#include "xds/release_text.h"
#include "xds/snapshot_cache.h"

namespace badgergrade::xds {

// The bytes of responses that many streams are sent alike: all but the nonce, which is each
// stream's own.
class ResponseCache {
public:
    std::shared_ptr<const std::string>& at(const std::string& key);

private:
    std::map<std::string, std::shared_ptr<const std::string>> made_;
};

class AdsServer {
public:
    using Request = envoy::service::discovery::v3::DiscoveryRequest;
    using Response = envoy::service::discovery::v3::DiscoveryResponse;

    // `origin` names this governor's life in versions: a number of a former life never looks newer.
    AdsServer(std::string origin, std::size_t messages_most = 1024);

    struct Rejection {
        Type type;
        std::string version, why;
        std::vector<std::string> names;
    };

    struct Applied {
        std::uint64_t order = 0;
        std::optional<ConfigVersion> mark;
        Micros ordered{};
    };

    struct Outcome {
        std::vector<Applied> applied;
        std::optional<Rejection> rejected;
        // The request was left aside, and why (a stale nonce, a type that we do not serve); the
        // stream goes on.
        std::string ignored;
        // The request breaks the protocol: the stream is to be ended with this text.
        std::string wrong;
    };

    Outcome on_request(const Request& request);
    // The channel released this message: its changes may be sent.
    void give(Micros now, const Message& message);
    // What is to be written now, in order; each is handed out once.
    std::vector<Response> take_responses();

    // The same as bytes: what is common comes from the cache.
    struct Encoded {
        std::shared_ptr<const std::string> common;
        std::string own;
    };

    std::vector<Encoded> take_encoded(ResponseCache& cache);

    // Orders given and not yet proven applied.
    std::size_t pending() const { return pending_.size(); }

private:
    struct Item {
        ResourcePtr wanted;
        std::uint64_t sent = 0, acked = 0;
        bool retiring = false;  // removed, but routes may still name it
        bool refused = false;   // what was sent last was rejected
    };

    struct Flight {
        std::string nonce, version;
        std::vector<std::pair<std::string, std::uint64_t>> items;
        bool answered = false;
    };

    struct Lane {
        bool asked = false, wildcard = false, dirty = false, refused = false, again = false;
        std::set<std::string> names;
        std::map<std::string, Item> items;
        std::deque<Flight> flights;
    };

    struct Pending {
        Applied what;
        std::vector<std::tuple<Type, std::string, std::uint64_t>> items;
    };

    static bool whole_state(Type type) { return type == Type::Cluster || type == Type::Listener; }

    Lane& lane(Type type) { return lanes_[index(type)]; }

    void subscribe(Type type, Lane& lane, const Request& request);
    void answer(Type type, Lane& lane, const Request& request, Outcome& out);
    void acknowledged(Type type, Lane& lane, const Flight& flight);

    // A response before it is put into bytes.
    struct Draft {
        Type type = Type::Cluster;
        std::vector<ResourcePtr> resources;
        std::string version, nonce, orders;
    };

    std::optional<Draft> next(Type type, Lane& lane, bool refused);
    std::vector<Draft> drafts();
    static Response to_response(const Draft& draft);
    bool may_send(Type type) const;
    std::vector<Applied> proven();

    std::string origin_;
    std::size_t messages_most_;
    std::array<Lane, 4> lanes_;
    std::deque<Pending> pending_;
    std::vector<ReleasedOrder> unannounced_;  // given, not yet named in a response
    std::uint64_t nonces_ = 0, given_ = 0;
};

}  // namespace badgergrade::xds
