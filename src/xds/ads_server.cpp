#include "xds/ads_server.h"

#include <algorithm>

namespace badgergrade::xds {

namespace {
// The name under which the set of clusters stands for the newest order itself; no cluster is named
// so.
const std::string kOrder;
}  // namespace

AdsServer::AdsServer(std::string origin, std::size_t messages_most)
    : origin_(std::move(origin)),
      messages_most_(messages_most) {}

AdsServer::Outcome AdsServer::on_request(const Request& request) {
    Outcome out;
    const auto type = type_of(request.type_url());
    if (!type) {
        out.ignored = "type '" + request.type_url() + "' is not served";
        return out;
    }
    Lane& here = lane(*type);
    if (request.response_nonce().empty()) {
        // The first request of a type; one without a nonce later on is a client that starts the
        // type over.
        here.flights.clear();
        for (auto& [name, item] : here.items) {
            item.sent = 0;
        }
        here.dirty = whole_state(*type);
        subscribe(*type, here, request);
        here.asked = true;
        return out;
    }
    const auto flight =
        std::find_if(here.flights.begin(), here.flights.end(),
                     [&](const Flight& f) { return f.nonce == request.response_nonce(); });
    if (flight == here.flights.end()) {
        out.ignored = "stale or unknown nonce '" + request.response_nonce() + "'";
        return out;
    }
    answer(*type, here, request, out);
    subscribe(*type, here, request);
    return out;
}

void AdsServer::subscribe(Type type, Lane& here, const Request& request) {
    if (whole_state(type) && request.resource_names_size() == 0 && (!here.asked || here.wildcard)) {
        here.wildcard = true;
        return;
    }
    std::set<std::string> names(request.resource_names().begin(), request.resource_names().end());
    here.wildcard = names.erase("*") > 0;
    if (names == here.names) {
        return;
    }
    // What is asked for anew is sent again, even if it was sent before: the client may have
    // forgotten it.
    for (const auto& name : names) {
        if (!here.names.contains(name)) {
            if (const auto it = here.items.find(name); it != here.items.end()) {
                it->second.sent = 0;
            }
        }
    }
    here.names = std::move(names);
    if (whole_state(type)) {
        here.dirty = true;
    }
}

void AdsServer::answer(Type type, Lane& here, const Request& request, Outcome& out) {
    const auto at = std::find_if(here.flights.begin(), here.flights.end(), [&](const Flight& f) {
        return f.nonce == request.response_nonce();
    });
    // The same nonce a second time only changes a subscription: its first answer stands, whatever
    // this one says.
    if (at->answered) {
        return;
    }
    const Flight flight = *at;
    if (request.has_error_detail()) {
        Rejection rejection{type, flight.version, request.error_detail().message(), {}};
        for (const auto& [name, version] : flight.items) {
            if (!name.empty()) {
                rejection.names.push_back(name);
            }
            if (const auto it = here.items.find(name); it != here.items.end()) {
                it->second.refused = true;
            }
        }
        here.refused = true;
        out.rejected = std::move(rejection);
    } else {
        acknowledged(type, here, flight);
    }
    // The newest answered nonce stays known, so that a change of subscription under it is not
    // called stale.
    at->answered = true;
    at->items.clear();
    std::erase_if(here.flights,
                  [&](const Flight& f) { return f.answered && f.nonce != flight.nonce; });
    out.applied = proven();
}

void AdsServer::acknowledged(Type type, Lane& here, const Flight& flight) {
    for (const auto& [name, version] : flight.items) {
        if (const auto it = here.items.find(name); it != here.items.end()) {
            it->second.acked = std::max(it->second.acked, version);
            it->second.refused = false;
        }
    }
    if (type != Type::Routes) {
        return;
    }
    for (const auto& [name, item] : here.items) {
        if (item.wanted && item.acked < item.wanted->version) {
            return;
        }
    }
    // Make before break: no route names the old clusters any more, so they may go now.
    Lane& clusters = lane(Type::Cluster);
    for (auto it = clusters.items.begin(); it != clusters.items.end();) {
        if (!it->second.retiring) {
            ++it;
            continue;
        }
        lane(Type::Endpoints).items.erase(it->first);
        it = clusters.items.erase(it);
        clusters.dirty = true;
    }
}

void AdsServer::give(Micros now, const Message& message) {
    Pending pending{{message.order, message.mark, message.ordered}, {}};
    for (const Change& change : message.changes) {
        Lane& here = lane(change.type);
        if (!change.resource) {
            if (const auto it = here.items.find(change.name); it != here.items.end()) {
                it->second.retiring = true;
            }
            continue;
        }
        Item& item = here.items[change.name];
        item.wanted = change.resource;
        item.retiring = false;
        if (whole_state(change.type)) {
            here.dirty = true;
        }
        // A resource made before this order (a cluster bound again) may be acknowledged already.
        pending.items.emplace_back(change.type, change.name, change.resource->version);
    }
    // What was rejected is tried again with the next order, not at once and again: a removal must
    // not stay out for ever, nor what hangs on a rejected cluster (its assignment, and the routes
    // behind that).
    for (const Type type : kTypes) {
        Lane& here = lane(type);
        if (whole_state(type)) {
            here.dirty = here.dirty || here.refused;
        } else {
            here.again = here.again || here.refused;
        }
        here.refused = false;
    }
    if (pending.items.empty()) {
        // Nothing to show but the order itself (a mark for everyone): the whole set of clusters
        // goes out again, and its acknowledgement is the answer.
        Lane& clusters = lane(Type::Cluster);
        clusters.items[kOrder];
        clusters.dirty = true;
        pending.items.emplace_back(Type::Cluster, kOrder, message.order);
    }
    unannounced_.push_back({message.order, message.ordered, now, message.lines});
    pending_.push_back(std::move(pending));
    // A client that never answers must not fill our memory: what it never proved is forgotten from
    // the front.
    while (pending_.size() > messages_most_) {
        pending_.pop_front();
    }
    if (unannounced_.size() > messages_most_) {
        unannounced_.erase(unannounced_.begin());
    }
}

std::shared_ptr<const std::string>& ResponseCache::at(const std::string& key) {
    // What many streams share is sent within one burst; older entries are of no more use.
    if (made_.size() >= 256) {
        made_.clear();
    }
    return made_[key];
}

std::vector<AdsServer::Draft> AdsServer::drafts() {
    std::vector<Draft> out;
    for (const Type type : kTypes) {
        if (auto draft = next(type, lane(type), false)) {
            out.push_back(std::move(*draft));
        }
        // What was rejected goes apart, so that it can't take what is new down with it.
        if (may_send(type) && std::exchange(lane(type).again, false)) {
            if (auto draft = next(type, lane(type), true)) {
                out.push_back(std::move(*draft));
            }
        }
    }
    return out;
}

AdsServer::Response AdsServer::to_response(const Draft& draft) {
    Response out;
    out.set_type_url(std::string(url(draft.type)));
    out.set_version_info(draft.version);
    for (const ResourcePtr& resource : draft.resources) {
        auto* any = out.add_resources();
        any->set_type_url(std::string(url(draft.type)));
        any->set_value(resource->bytes);
    }
    out.mutable_control_plane()->set_identifier(draft.orders);
    return out;
}

std::vector<AdsServer::Response> AdsServer::take_responses() {
    std::vector<Response> out;
    for (const Draft& draft : drafts()) {
        out.push_back(to_response(draft));
        out.back().set_nonce(draft.nonce);
    }
    return out;
}

std::vector<AdsServer::Encoded> AdsServer::take_encoded(ResponseCache& cache) {
    std::vector<Encoded> out;
    for (const Draft& draft : drafts()) {
        std::string key =
            std::to_string(index(draft.type)) + " " + draft.version + " " + draft.orders;
        for (const ResourcePtr& resource : draft.resources) {
            // One order may make several versions of one name (routes differ by forwarder): the
            // object tells.
            key += " " + resource->name + "=" +
                   std::to_string(reinterpret_cast<std::uintptr_t>(resource.get()));
        }
        auto& common = cache.at(key);
        if (!common) {
            common = std::make_shared<const std::string>(to_response(draft).SerializeAsString());
        }
        // Field 5, the nonce, behind the others: the order of fields means nothing in protobuf.
        std::string own = {static_cast<char>(5 << 3 | 2), static_cast<char>(draft.nonce.size())};
        out.push_back({common, own + draft.nonce});
    }
    return out;
}

std::optional<AdsServer::Draft> AdsServer::next(Type type, Lane& here, bool refused) {
    if (!may_send(type)) {
        return std::nullopt;
    }
    Draft out;
    out.type = type;
    Flight flight;
    std::uint64_t newest = 0;
    const bool whole = whole_state(type);
    if (whole && !std::exchange(here.dirty, false)) {
        return std::nullopt;
    }
    for (auto& [name, item] : here.items) {
        if (!item.wanted || (!here.wildcard && !here.names.contains(name))) {
            continue;
        }
        if (!whole && (refused ? !item.refused : item.sent >= item.wanted->version)) {
            continue;
        }
        out.resources.push_back(item.wanted);
        item.sent = item.wanted->version;
        item.refused = false;
        newest = std::max(newest, item.sent);
        flight.items.emplace_back(name, item.sent);
    }
    if (out.resources.empty() && !(whole && !here.flights.empty())) {
        return std::nullopt;
    }
    for (const ReleasedOrder& message : unannounced_) {
        newest = std::max(newest, message.order);
    }
    given_ = std::max(given_, newest);
    if (type == Type::Cluster) {
        flight.items.emplace_back(kOrder, given_);
    }
    out.version = origin_ + "/" + std::to_string(newest);
    out.nonce = std::to_string(++nonces_);
    out.orders = to_text(origin_, unannounced_);
    unannounced_.clear();
    flight.nonce = out.nonce;
    flight.version = out.version;
    here.flights.push_back(std::move(flight));
    return out;
}

// Make before break: a route is sent only behind the assignments of what it leads to.
bool AdsServer::may_send(Type type) const {
    if (!lanes_[index(type)].asked) {
        return false;
    }
    if (type != Type::Routes) {
        return true;
    }
    for (const auto& [name, item] : lanes_[index(Type::Endpoints)].items) {
        if (name != kStartup && item.wanted && item.sent < item.wanted->version) {
            return false;
        }
    }
    return true;
}

std::vector<AdsServer::Applied> AdsServer::proven() {
    std::vector<Applied> out;
    const auto done = [&](const auto& entry) {
        const auto& [type, name, version] = entry;
        const auto& items = lane(type).items;
        const auto it = items.find(name);
        return it == items.end() || it->second.retiring || it->second.acked >= version;
    };
    while (!pending_.empty() &&
           std::all_of(pending_.front().items.begin(), pending_.front().items.end(), done)) {
        out.push_back(pending_.front().what);
        pending_.pop_front();
    }
    return out;
}

}  // namespace badgergrade::xds
