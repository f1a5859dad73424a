/// @file
/// The control plane's side of one proxy's aggregated discovery stream (ADS, state of the world),
/// without a socket: requests and released messages in, responses and acknowledged updates out.
///
/// For each resource type the stream knows which resources the proxy should have (as the send
/// queue released them), which were sent and which were acknowledged. Several responses of a type
/// may be in flight. Each nonce is answered on its own, so that the ACK of a second response never
/// counts for a first one that was rejected. An update is acknowledged when everything that it
/// changed has been acknowledged, or superseded by something acknowledged.
///
/// Make before break: clusters are sent before their assignments, and routes only after the
/// assignments of the clusters that they name. A removed cluster stays until the routes that no
/// longer name it have been acknowledged. A proxy without this order would have nowhere to send
/// requests for a moment.
///
/// All calls come from one thread; nothing here calls back.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "envoy/service/discovery/v3/discovery.pb.h"
#include "xds/release_text.h"
#include "xds/snapshot_cache.h"

namespace badgergrade::xds {

/// Serialized responses that many streams are sent alike: everything but the nonce, which each
/// stream numbers for itself.
class ResponseCache {
public:
    /// The entry for a key; null until the caller fills it.
    std::shared_ptr<const std::string>& at(const std::string& key);

private:
    std::map<std::string, std::shared_ptr<const std::string>> responses_;
};

class AdsServer {
public:
    using Request = envoy::service::discovery::v3::DiscoveryRequest;
    using Response = envoy::service::discovery::v3::DiscoveryResponse;

    static constexpr std::size_t kMaxPendingUpdates = 1024;

    /// `origin` names the incarnation of the control plane in versions, so that a number of an
    /// earlier incarnation never looks newer. At most `max_pending_updates` updates that were not
    /// acknowledged are kept.
    explicit AdsServer(std::string origin, std::size_t max_pending_updates = kMaxPendingUpdates);

    /// A response that the proxy refused (NACK). The proxy keeps what it had.
    struct Rejection {
        ResourceType type = ResourceType::Cluster;
        std::string version;
        /// The proxy's reason.
        std::string reason;
        std::vector<std::string> resource_names;
    };

    /// An update of which the proxy acknowledged everything.
    struct AcknowledgedUpdate {
        std::uint64_t update_number = 0;
        /// The acknowledgement that the policy asked for with this update, if any.
        std::optional<ConfigVersion> requested_ack;
        Micros decided_at{};
    };

    /// Why a request was ignored; the stream goes on.
    enum class IgnoreReason { UnknownType, UnknownNonce };

    struct IgnoredRequest {
        IgnoreReason reason = IgnoreReason::UnknownType;
        /// What was wrong, for the log.
        std::string text;
    };

    struct RequestResult {
        std::vector<AcknowledgedUpdate> acknowledged;
        std::optional<Rejection> rejected;
        std::optional<IgnoredRequest> ignored;
    };

    /// Handles a subscription, an ACK or a NACK.
    RequestResult on_request(const Request& request);

    /// The send queue released this message: its changes may be sent.
    void release(Micros now, const ProxyMessage& message);

    /// Responses that are to be written now, in order. Each is returned once.
    std::vector<Response> take_responses();

    /// A serialized response: the bytes of `shared`, then those of `own`.
    struct EncodedResponse {
        std::shared_ptr<const std::string> shared;
        std::string own;
    };

    /// The same as `take_responses`, serialized; bytes that streams share come from the cache.
    std::vector<EncodedResponse> take_encoded(ResponseCache& cache);

    /// Updates that were released and not acknowledged yet.
    std::size_t unacknowledged_updates() const { return pending_updates_.size(); }

private:
    /// One resource on this stream. Versions are update numbers; 0 is none.
    struct ResourceState {
        ResourcePtr wanted;
        std::uint64_t sent_version = 0;
        std::uint64_t acked_version = 0;
        /// Removed, but routes of the proxy may still name it.
        bool retiring = false;
        /// The version that was sent last was rejected.
        bool rejected = false;
    };

    struct InFlightResponse {
        std::string nonce;
        std::string version;
        /// Names and versions of the resources in it.
        std::vector<std::pair<std::string, std::uint64_t>> resources;
        bool answered = false;
    };

    /// What the proxy subscribed to of one type.
    struct SubscriptionState {
        /// A first request of this type came.
        bool requested = false;
        bool wildcard = false;
        /// Of a type that is always sent completely: something changed since the last response.
        bool send_due = false;
        /// Something was rejected since the last released message.
        bool has_rejected = false;
        /// What was rejected is to be sent again.
        bool retry_rejected = false;
        std::set<std::string> names;
        std::map<std::string, ResourceState> resources;
        std::deque<InFlightResponse> in_flight;
    };

    struct ResourceVersion {
        ResourceType type = ResourceType::Cluster;
        std::string name;
        std::uint64_t version = 0;
    };

    /// A released update, and what must be acknowledged before it counts as applied.
    struct PendingUpdate {
        AcknowledgedUpdate update;
        std::vector<ResourceVersion> required;
    };

    /// A response before it is serialized.
    struct ResponseDraft {
        ResourceType type = ResourceType::Cluster;
        std::vector<ResourcePtr> resources;
        std::string version;
        std::string nonce;
        std::string release_text;
    };

    enum class Selection { Changed, Rejected };

    /// Whether each response of a type carries all its resources (in the state-of-the-world
    /// protocol a missing cluster or listener is a removed one).
    static constexpr bool is_sent_completely(ResourceType type) {
        return type == ResourceType::Cluster || type == ResourceType::Listener;
    }

    SubscriptionState& subscription(ResourceType type) { return subscriptions_[index(type)]; }

    const SubscriptionState& subscription(ResourceType type) const {
        return subscriptions_[index(type)];
    }

    static void start_over(ResourceType type, SubscriptionState& state);
    static void update_subscription(ResourceType type, SubscriptionState& state,
                                    const Request& request);
    void handle_answer(ResourceType type, InFlightResponse& response, const Request& request,
                       RequestResult& result);
    static Rejection reject(ResourceType type, SubscriptionState& state,
                            const InFlightResponse& response, const std::string& reason);
    void acknowledge(ResourceType type, SubscriptionState& state, const InFlightResponse& response);
    void remove_retired_clusters();
    std::vector<AcknowledgedUpdate> take_acknowledged_updates();
    bool is_acknowledged(const ResourceVersion& required) const;

    PendingUpdate apply_changes(const ProxyMessage& message);
    void schedule_rejected_again();
    void limit_pending_updates();

    std::vector<ResponseDraft> take_drafts();
    std::optional<ResponseDraft> next_draft(ResourceType type, Selection selection);
    static void select_resources(ResourceType type, SubscriptionState& state, Selection selection,
                                 ResponseDraft& draft, InFlightResponse& response);
    bool may_send(ResourceType type) const;
    static Response to_response(const ResponseDraft& draft);

    std::string origin_;
    std::size_t max_pending_updates_;
    std::array<SubscriptionState, kResourceTypes.size()> subscriptions_;
    std::deque<PendingUpdate> pending_updates_;
    /// Released, and not yet named in a response.
    std::vector<ReleasedUpdate> unannounced_;
    std::uint64_t last_nonce_ = 0;
    /// The newest update number that a response named.
    std::uint64_t announced_update_ = 0;
};

}  // namespace badgergrade::xds
