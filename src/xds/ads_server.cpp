#include "xds/ads_server.h"

#include <algorithm>

namespace badgergrade::xds {

namespace {
/// Name of a pseudo-resource in the set of clusters. Its version is the newest update that the
/// stream named, so that an update without any changed resource can be acknowledged too. Empty, as
/// no cluster has an empty name.
const std::string kUpdateMarker;

/// Field number of `nonce` in DiscoveryResponse, and the protobuf wire type of strings.
constexpr int kNonceField = 5;
constexpr int kLengthDelimited = 2;

/// Limit of the response cache. Streams that share a response are sent it within one burst; older
/// entries are not needed again.
constexpr std::size_t kMaxCachedResponses = 256;
}  // namespace

AdsServer::AdsServer(std::string origin, std::size_t max_pending_updates)
    : origin_(std::move(origin)),
      max_pending_updates_(max_pending_updates) {}

// ---- requests

AdsServer::RequestResult AdsServer::on_request(const Request& request) {
    RequestResult result;
    const auto type = resource_type_of(request.type_url());
    if (!type) {
        result.ignored = {IgnoreReason::UnknownType,
                          R"(field "type_url": expected a served xDS resource type, got ")" +
                              request.type_url() + "\""};
        return result;
    }
    SubscriptionState& state = subscription(*type);
    if (request.response_nonce().empty()) {
        reset_type(*type, state);
        update_subscription(*type, state, request);
        state.requested = true;
        return result;
    }
    const auto response = std::find_if(state.in_flight.begin(), state.in_flight.end(),
                                       [&](const InFlightResponse& candidate) {
                                           return candidate.nonce == request.response_nonce();
                                       });
    if (response == state.in_flight.end()) {
        result.ignored = {
            IgnoreReason::UnknownNonce,
            R"(field "response_nonce": expected the nonce of a response in flight, got ")" +
                request.response_nonce() + "\""};
        return result;
    }
    handle_ack_or_nack(*type, *response, request, result);
    update_subscription(*type, state, request);
    return result;
}

/// Handles a request without a nonce: the first one of a type, or a later one of a proxy that
/// starts the type anew and may have lost all its resources. Everything counts as not sent.
void AdsServer::reset_type(ResourceType type, SubscriptionState& state) {
    state.in_flight.clear();
    for (auto& [name, resource] : state.resources) {
        resource.sent_version = 0;
    }
    state.send_due = is_sent_completely(type);
}

void AdsServer::update_subscription(ResourceType type, SubscriptionState& state,
                                    const Request& request) {
    const bool has_no_names = request.resource_names_size() == 0;
    if (is_sent_completely(type) && has_no_names && (!state.requested || state.wildcard)) {
        state.wildcard = true;
        return;
    }
    std::set<std::string> names(request.resource_names().begin(), request.resource_names().end());
    state.wildcard = names.erase("*") > 0;
    if (names == state.names) {
        return;
    }
    // A resource whose name is new in the subscription is sent again, even if it was sent before:
    // the proxy may have dropped it in between.
    for (const auto& name : names) {
        const auto resource = state.resources.find(name);
        if (!state.names.contains(name) && resource != state.resources.end()) {
            resource->second.sent_version = 0;
        }
    }
    state.names = std::move(names);
    if (is_sent_completely(type)) {
        state.send_due = true;
    }
}

void AdsServer::handle_ack_or_nack(ResourceType type, InFlightResponse& response,
                                   const Request& request, RequestResult& result) {
    // A second request with the same nonce can only change the subscription. The first ACK or NACK
    // of a nonce counts; otherwise an ACK after a NACK would mark a rejected update as applied.
    if (response.answered) {
        return;
    }
    SubscriptionState& state = subscription(type);
    const InFlightResponse response_copy = response;
    if (request.has_error_detail()) {
        result.rejected = reject(type, state, response_copy, request.error_detail().message());
    } else {
        acknowledge(type, state, response_copy);
    }
    // The last answered response stays in the list, so that a subscription change with its nonce is
    // not reported as stale.
    response.answered = true;
    response.resources.clear();
    std::erase_if(state.in_flight, [&](const InFlightResponse& candidate) {
        return candidate.answered && candidate.nonce != response_copy.nonce;
    });
    result.acknowledged = take_acknowledged_updates();
}

AdsServer::Rejection AdsServer::reject(ResourceType type, SubscriptionState& state,
                                       const InFlightResponse& response,
                                       const std::string& reason) {
    Rejection rejection{type, response.version, reason, {}};
    for (const auto& [name, version] : response.resources) {
        if (name != kUpdateMarker) {
            rejection.resource_names.push_back(name);
        }
        const auto resource = state.resources.find(name);
        if (resource != state.resources.end()) {
            resource->second.rejected = true;
        }
    }
    state.has_rejected = true;
    return rejection;
}

void AdsServer::acknowledge(ResourceType type, SubscriptionState& state,
                            const InFlightResponse& response) {
    for (const auto& [name, version] : response.resources) {
        const auto found = state.resources.find(name);
        if (found == state.resources.end()) {
            continue;
        }
        ResourceState& resource = found->second;
        resource.acked_version = std::max(resource.acked_version, version);
        resource.rejected = false;
    }
    if (type != ResourceType::Routes) {
        return;
    }
    const bool routes_are_current =
        std::none_of(state.resources.begin(), state.resources.end(), [](const auto& entry) {
            const ResourceState& resource = entry.second;
            return resource.desired && resource.acked_version < resource.desired->version;
        });
    if (routes_are_current) {
        remove_retired_clusters();
    }
}

/// Drops removed clusters and their assignments. Called when the proxy has acknowledged all current
/// routes, none of which names a removed cluster (make before break).
void AdsServer::remove_retired_clusters() {
    SubscriptionState& clusters = subscription(ResourceType::Cluster);
    SubscriptionState& assignments = subscription(ResourceType::Endpoints);
    for (auto it = clusters.resources.begin(); it != clusters.resources.end();) {
        if (!it->second.retiring) {
            ++it;
            continue;
        }
        assignments.resources.erase(it->first);
        it = clusters.resources.erase(it);
        clusters.send_due = true;
    }
}

bool AdsServer::is_acknowledged(const ResourceVersion& required) const {
    const auto& resources = subscription(required.type).resources;
    const auto found = resources.find(required.name);
    if (found == resources.end()) {
        return true;
    }
    const ResourceState& resource = found->second;
    return resource.retiring || resource.acked_version >= required.version;
}

/// Returns the updates that are acknowledged by now. They are acknowledged in order: an update that
/// is not acknowledged holds back all later ones.
std::vector<AdsServer::AcknowledgedUpdate> AdsServer::take_acknowledged_updates() {
    std::vector<AcknowledgedUpdate> acknowledged;
    const auto is_satisfied = [&](const ResourceVersion& required) {
        return is_acknowledged(required);
    };
    while (!pending_updates_.empty()) {
        const PendingUpdate& first = pending_updates_.front();
        if (!std::all_of(first.required.begin(), first.required.end(), is_satisfied)) {
            break;
        }
        acknowledged.push_back(first.update);
        pending_updates_.pop_front();
    }
    return acknowledged;
}

// ---- released messages

void AdsServer::release(Micros now, const ProxyMessage& message) {
    PendingUpdate pending = apply_changes(message);
    schedule_resend_of_rejected();
    if (pending.required.empty()) {
        // Nothing changed for this proxy, but an acknowledgement is requested: the complete set of
        // clusters is sent again, and the ACK of that response acknowledges the update.
        SubscriptionState& clusters = subscription(ResourceType::Cluster);
        clusters.resources[kUpdateMarker];
        clusters.send_due = true;
        pending.required.push_back({ResourceType::Cluster, kUpdateMarker, message.update_number});
    }
    unannounced_updates_.push_back({message.update_number, message.decided_at, now, message.lines});
    pending_updates_.push_back(std::move(pending));
    limit_pending_updates();
}

AdsServer::PendingUpdate AdsServer::apply_changes(const ProxyMessage& message) {
    PendingUpdate pending{{message.update_number, message.requested_ack, message.decided_at}, {}};
    for (const ResourceChange& change : message.changes) {
        SubscriptionState& state = subscription(change.type);
        if (!change.resource) {
            const auto removed = state.resources.find(change.name);
            if (removed != state.resources.end()) {
                removed->second.retiring = true;
            }
            continue;
        }
        ResourceState& resource = state.resources[change.name];
        resource.desired = change.resource;
        resource.retiring = false;
        if (is_sent_completely(change.type)) {
            state.send_due = true;
        }
        // The version of the resource, not the number of this update: a cluster that is assigned
        // again was built by an earlier update and may have been acknowledged already.
        pending.required.push_back({change.type, change.name, change.resource->version});
    }
    return pending;
}

/// Rejected resources are sent again with the next update. Sending them at once would loop if the
/// proxy keeps rejecting them. Never sending them again would lose a removal for good, and with it
/// everything that depends on a rejected cluster (its assignment and the routes to it).
void AdsServer::schedule_resend_of_rejected() {
    for (const ResourceType type : kResourceTypes) {
        SubscriptionState& state = subscription(type);
        if (is_sent_completely(type)) {
            state.send_due = state.send_due || state.has_rejected;
        } else {
            state.resend_rejected = state.resend_rejected || state.has_rejected;
        }
        state.has_rejected = false;
    }
}

/// Bounds the memory for a proxy that never acknowledges: the oldest updates are dropped and are
/// never reported as acknowledged.
void AdsServer::limit_pending_updates() {
    while (pending_updates_.size() > max_pending_updates_) {
        pending_updates_.pop_front();
    }
    if (unannounced_updates_.size() > max_pending_updates_) {
        unannounced_updates_.erase(unannounced_updates_.begin());
    }
}

// ---- responses

std::shared_ptr<const std::string>& ResponseCache::at(const std::string& key) {
    if (responses_.size() >= kMaxCachedResponses) {
        responses_.clear();
    }
    return responses_[key];
}

std::vector<AdsServer::ResponseDraft> AdsServer::take_drafts() {
    std::vector<ResponseDraft> drafts;
    for (const ResourceType type : kResourceTypes) {
        if (auto draft = next_draft(type, Selection::Changed)) {
            drafts.push_back(std::move(*draft));
        }
        // Rejected resources are sent in a response of their own: otherwise a second rejection
        // would also reject the new resources in the same response.
        if (may_send(type) && std::exchange(subscription(type).resend_rejected, false)) {
            if (auto draft = next_draft(type, Selection::Rejected)) {
                drafts.push_back(std::move(*draft));
            }
        }
    }
    return drafts;
}

AdsServer::Response AdsServer::to_response(const ResponseDraft& draft) {
    Response response;
    response.set_type_url(std::string(type_url(draft.type)));
    response.set_version_info(draft.version);
    for (const ResourcePtr& resource : draft.resources) {
        auto* any = response.add_resources();
        any->set_type_url(std::string(type_url(draft.type)));
        any->set_value(resource->bytes);
    }
    response.mutable_control_plane()->set_identifier(draft.release_text);
    return response;
}

std::vector<AdsServer::Response> AdsServer::take_responses() {
    std::vector<Response> responses;
    for (const ResponseDraft& draft : take_drafts()) {
        responses.push_back(to_response(draft));
        responses.back().set_nonce(draft.nonce);
    }
    return responses;
}

std::vector<AdsServer::EncodedResponse> AdsServer::take_encoded(ResponseCache& cache) {
    std::vector<EncodedResponse> encoded;
    for (const ResponseDraft& draft : take_drafts()) {
        std::string key =
            std::to_string(index(draft.type)) + " " + draft.version + " " + draft.release_text;
        for (const ResourcePtr& resource : draft.resources) {
            // One update may build several resources with the same name and version, since routes
            // differ between proxies. Only the address of the object distinguishes them.
            key += " " + resource->name + "=" +
                   std::to_string(reinterpret_cast<std::uintptr_t>(resource.get()));
        }
        auto& shared = cache.at(key);
        if (!shared) {
            shared = std::make_shared<const std::string>(to_response(draft).SerializeAsString());
        }
        // The nonce is appended after the shared fields: protobuf allows fields in any order. Its
        // length fits into one byte, since a nonce is a decimal number of at most 20 digits.
        std::string nonce_field = {static_cast<char>(kNonceField << 3 | kLengthDelimited),
                                   static_cast<char>(draft.nonce.size())};
        encoded.push_back({shared, nonce_field + draft.nonce});
    }
    return encoded;
}

std::optional<AdsServer::ResponseDraft> AdsServer::next_draft(ResourceType type,
                                                              Selection selection) {
    if (!may_send(type)) {
        return std::nullopt;
    }
    SubscriptionState& state = subscription(type);
    const bool complete = is_sent_completely(type);
    if (complete && !std::exchange(state.send_due, false)) {
        return std::nullopt;
    }
    ResponseDraft draft;
    draft.type = type;
    InFlightResponse response;
    select_resources(type, state, selection, draft, response);
    // An empty response is sent only if it removes all resources of the type from the proxy.
    const bool removes_all = complete && !state.in_flight.empty();
    if (draft.resources.empty() && !removes_all) {
        return std::nullopt;
    }
    std::uint64_t newest_update = 0;
    for (const auto& [name, version] : response.resources) {
        newest_update = std::max(newest_update, version);
    }
    for (const ReleasedUpdate& update : unannounced_updates_) {
        newest_update = std::max(newest_update, update.update_number);
    }
    newest_announced_update_ = std::max(newest_announced_update_, newest_update);
    if (type == ResourceType::Cluster) {
        response.resources.emplace_back(kUpdateMarker, newest_announced_update_);
    }
    draft.version = origin_ + "/" + std::to_string(newest_update);
    draft.nonce = std::to_string(++last_nonce_);
    draft.release_text = to_release_text(origin_, unannounced_updates_);
    unannounced_updates_.clear();
    response.nonce = draft.nonce;
    response.version = draft.version;
    state.in_flight.push_back(std::move(response));
    return draft;
}

/// Adds the subscribed resources that are due to the draft and marks them as sent.
void AdsServer::select_resources(ResourceType type, SubscriptionState& state, Selection selection,
                                 ResponseDraft& draft, InFlightResponse& response) {
    for (auto& [name, resource] : state.resources) {
        const bool subscribed = state.wildcard || state.names.contains(name);
        if (!resource.desired || !subscribed) {
            continue;
        }
        const bool due = selection == Selection::Rejected
                             ? resource.rejected
                             : resource.sent_version < resource.desired->version;
        if (!due && !is_sent_completely(type)) {
            continue;
        }
        draft.resources.push_back(resource.desired);
        resource.sent_version = resource.desired->version;
        resource.rejected = false;
        response.resources.emplace_back(name, resource.sent_version);
    }
}

/// Whether the proxy has subscribed to the type and all resources that the type refers to were
/// sent. Routes wait until every assignment has been sent (make before break), except the list of
/// ejected servers, which no route names.
bool AdsServer::may_send(ResourceType type) const {
    if (!subscription(type).requested) {
        return false;
    }
    if (type != ResourceType::Routes) {
        return true;
    }
    const auto& assignments = subscription(ResourceType::Endpoints).resources;
    return std::none_of(assignments.begin(), assignments.end(), [](const auto& entry) {
        const auto& [name, resource] = entry;
        return name != kStartupClusterName && resource.desired &&
               resource.sent_version < resource.desired->version;
    });
}

}  // namespace badgergrade::xds
