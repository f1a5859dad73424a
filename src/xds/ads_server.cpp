#include "xds/ads_server.h"

#include <algorithm>

namespace badgergrade::xds {

namespace {
/// Under this name the set of clusters stands for the newest update itself. No cluster has an empty
/// name.
const std::string kUpdateItself;

/// Field number of the nonce in a DiscoveryResponse, and its wire type.
constexpr int kNonceField = 5;
constexpr int kLengthDelimited = 2;

/// Shared responses are sent within one burst; older entries are not needed again.
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
                          "type '" + request.type_url() + "' is not served"};
        return result;
    }
    SubscriptionState& state = subscription(*type);
    if (request.response_nonce().empty()) {
        start_over(*type, state);
        update_subscription(*type, state, request);
        state.requested = true;
        return result;
    }
    const auto response = std::find_if(
        state.in_flight.begin(), state.in_flight.end(),
        [&](const InFlightResponse& r) { return r.nonce == request.response_nonce(); });
    if (response == state.in_flight.end()) {
        result.ignored = {IgnoreReason::UnknownNonce,
                          "stale or unknown nonce '" + request.response_nonce() + "'"};
        return result;
    }
    handle_answer(*type, *response, request, result);
    update_subscription(*type, state, request);
    return result;
}

/// The first request of a type. A later one without a nonce is a proxy that starts the type over:
/// it may have forgotten everything.
void AdsServer::start_over(ResourceType type, SubscriptionState& state) {
    state.in_flight.clear();
    for (auto& [name, resource] : state.resources) {
        resource.sent_version = 0;
    }
    state.send_due = is_sent_completely(type);
}

void AdsServer::update_subscription(ResourceType type, SubscriptionState& state,
                                    const Request& request) {
    const bool names_nothing = request.resource_names_size() == 0;
    if (is_sent_completely(type) && names_nothing && (!state.requested || state.wildcard)) {
        state.wildcard = true;
        return;
    }
    std::set<std::string> names(request.resource_names().begin(), request.resource_names().end());
    state.wildcard = names.erase("*") > 0;
    if (names == state.names) {
        return;
    }
    // A name that is new in the subscription is sent again, even if it was sent before: the proxy
    // may have dropped the resource in between.
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

void AdsServer::handle_answer(ResourceType type, InFlightResponse& response, const Request& request,
                              RequestResult& result) {
    // The same nonce a second time only changes a subscription. Its first answer counts, whatever
    // this one says; otherwise an ACK after a NACK would pass off a rejected update as applied.
    if (response.answered) {
        return;
    }
    SubscriptionState& state = subscription(type);
    const InFlightResponse answered = response;
    if (request.has_error_detail()) {
        result.rejected = reject(type, state, answered, request.error_detail().message());
    } else {
        acknowledge(type, state, answered);
    }
    // The newest answered nonce stays known, so that a change of subscription with it is not
    // reported as stale.
    response.answered = true;
    response.resources.clear();
    std::erase_if(state.in_flight, [&](const InFlightResponse& r) {
        return r.answered && r.nonce != answered.nonce;
    });
    result.acknowledged = take_acknowledged_updates();
}

AdsServer::Rejection AdsServer::reject(ResourceType type, SubscriptionState& state,
                                       const InFlightResponse& response,
                                       const std::string& reason) {
    Rejection rejection{type, response.version, reason, {}};
    for (const auto& [name, version] : response.resources) {
        if (name != kUpdateItself) {
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
        const auto it = state.resources.find(name);
        if (it == state.resources.end()) {
            continue;
        }
        ResourceState& resource = it->second;
        resource.acked_version = std::max(resource.acked_version, version);
        resource.rejected = false;
    }
    if (type != ResourceType::Routes) {
        return;
    }
    const bool routes_are_current =
        std::none_of(state.resources.begin(), state.resources.end(), [](const auto& entry) {
            const ResourceState& resource = entry.second;
            return resource.wanted && resource.acked_version < resource.wanted->version;
        });
    if (routes_are_current) {
        remove_retired_clusters();
    }
}

/// Make before break: no route of the proxy names the removed clusters any more.
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
    const auto it = resources.find(required.name);
    if (it == resources.end()) {
        return true;
    }
    const ResourceState& resource = it->second;
    return resource.retiring || resource.acked_version >= required.version;
}

/// Updates are acknowledged in their order: one that waits holds back all later ones.
std::vector<AdsServer::AcknowledgedUpdate> AdsServer::take_acknowledged_updates() {
    std::vector<AcknowledgedUpdate> acknowledged;
    const auto done = [&](const ResourceVersion& required) {
        return is_acknowledged(required);
    };
    while (!pending_updates_.empty()) {
        const PendingUpdate& first = pending_updates_.front();
        if (!std::all_of(first.required.begin(), first.required.end(), done)) {
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
    schedule_rejected_again();
    if (pending.required.empty()) {
        // Nothing changed for this proxy, but an acknowledgement is wanted: the complete set of
        // clusters is sent again, and its acknowledgement is the answer.
        SubscriptionState& clusters = subscription(ResourceType::Cluster);
        clusters.resources[kUpdateItself];
        clusters.send_due = true;
        pending.required.push_back({ResourceType::Cluster, kUpdateItself, message.update_number});
    }
    unannounced_.push_back({message.update_number, message.decided_at, now, message.lines});
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
        resource.wanted = change.resource;
        resource.retiring = false;
        if (is_sent_completely(change.type)) {
            state.send_due = true;
        }
        // The resource's own version, not the number of this update: a cluster that is assigned
        // again was made by an earlier update and may be acknowledged already.
        pending.required.push_back({change.type, change.name, change.resource->version});
    }
    return pending;
}

/// What was rejected is sent again with the next update. Not at once: a proxy that can't take it
/// would be sent it in a loop. Not never: a removal would stay out for ever, and so would what
/// depends on a rejected cluster (its assignment, and the routes to it).
void AdsServer::schedule_rejected_again() {
    for (const ResourceType type : kResourceTypes) {
        SubscriptionState& state = subscription(type);
        if (is_sent_completely(type)) {
            state.send_due = state.send_due || state.has_rejected;
        } else {
            state.retry_rejected = state.retry_rejected || state.has_rejected;
        }
        state.has_rejected = false;
    }
}

/// A proxy that never answers must not fill the memory: the oldest updates are dropped. They are
/// then never reported as acknowledged.
void AdsServer::limit_pending_updates() {
    while (pending_updates_.size() > max_pending_updates_) {
        pending_updates_.pop_front();
    }
    if (unannounced_.size() > max_pending_updates_) {
        unannounced_.erase(unannounced_.begin());
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
        // What was rejected is sent in a response of its own: a second rejection would otherwise
        // take the new resources beside it down as well.
        if (may_send(type) && std::exchange(subscription(type).retry_rejected, false)) {
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
            // One update may make several resources of one name and version, since routes differ
            // between proxies. Only the address of the object tells them apart.
            key += " " + resource->name + "=" +
                   std::to_string(reinterpret_cast<std::uintptr_t>(resource.get()));
        }
        auto& shared = cache.at(key);
        if (!shared) {
            shared = std::make_shared<const std::string>(to_response(draft).SerializeAsString());
        }
        // The nonce is appended behind the shared fields: protobuf allows fields in any order. Its
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
    // An empty response is sent only to say that all resources of the type are gone.
    const bool says_all_are_gone = complete && !state.in_flight.empty();
    if (draft.resources.empty() && !says_all_are_gone) {
        return std::nullopt;
    }
    std::uint64_t newest_update = 0;
    for (const auto& [name, version] : response.resources) {
        newest_update = std::max(newest_update, version);
    }
    for (const ReleasedUpdate& update : unannounced_) {
        newest_update = std::max(newest_update, update.update_number);
    }
    announced_update_ = std::max(announced_update_, newest_update);
    if (type == ResourceType::Cluster) {
        response.resources.emplace_back(kUpdateItself, announced_update_);
    }
    draft.version = origin_ + "/" + std::to_string(newest_update);
    draft.nonce = std::to_string(++last_nonce_);
    draft.release_text = to_release_text(origin_, unannounced_);
    unannounced_.clear();
    response.nonce = draft.nonce;
    response.version = draft.version;
    state.in_flight.push_back(std::move(response));
    return draft;
}

/// Puts the subscribed resources that are due into the draft and marks them as sent.
void AdsServer::select_resources(ResourceType type, SubscriptionState& state, Selection selection,
                                 ResponseDraft& draft, InFlightResponse& response) {
    for (auto& [name, resource] : state.resources) {
        const bool subscribed = state.wildcard || state.names.contains(name);
        if (!resource.wanted || !subscribed) {
            continue;
        }
        const bool due = selection == Selection::Rejected
                             ? resource.rejected
                             : resource.sent_version < resource.wanted->version;
        if (!due && !is_sent_completely(type)) {
            continue;
        }
        draft.resources.push_back(resource.wanted);
        resource.sent_version = resource.wanted->version;
        resource.rejected = false;
        response.resources.emplace_back(name, resource.sent_version);
    }
}

/// Make before break: routes are sent only after the assignments that they lead to.
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
        return name != kStartupClusterName && resource.wanted &&
               resource.sent_version < resource.wanted->version;
    });
}

}  // namespace badgergrade::xds
