/// @file
/// The xDS server's state of one aggregated discovery stream (ADS, state-of-the-world variant),
/// without a socket. Requests of the proxy and messages that the send queue released go in;
/// responses and acknowledged updates come out.
///
/// For each resource type the stream records which resources the proxy should have (as released by
/// the send queue), which versions were sent and which were acknowledged. Several responses of a
/// type may be in flight. Each nonce is matched with its own ACK or NACK, so that the ACK of a
/// later response never counts for an earlier one that was rejected. An update counts as
/// acknowledged once every resource that it changed has been acknowledged in that version or a
/// later one, or has been removed since.
///
/// Make before break: clusters are sent before their assignments, and routes only after the
/// assignments of the clusters that they name. A removed cluster is kept until the proxy has
/// acknowledged routes that no longer name it. Without this order a proxy would for a moment have
/// no server to send requests to.
///
/// Memory: at most `max_pending_updates` unacknowledged updates and as many updates not yet named
/// in a response are kept; removed clusters and their assignments are freed with the
/// acknowledgement of the routes. Responses in flight are freed once their ACK or NACK has come;
/// there is no limit on their number for a proxy that keeps reading but answers nothing.
///
/// All calls come from one thread; there are no callbacks.
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

/// Serialized responses that several streams share: everything but the nonce, which each stream
/// numbers on its own.
class ResponseCache {
public:
    /// The entry of a key; null until the caller fills it. The reference is valid until the next
    /// call.
    std::shared_ptr<const std::string>& at(const std::string& key);

private:
    std::map<std::string, std::shared_ptr<const std::string>> responses_;
};

class AdsServer {
public:
    using Request = envoy::service::discovery::v3::DiscoveryRequest;
    using Response = envoy::service::discovery::v3::DiscoveryResponse;

    static constexpr std::size_t kMaxPendingUpdates = 1024;

    /// `origin` names the incarnation of the control plane in versions, so that an update number of
    /// an earlier incarnation is never taken for a newer one. At most `max_pending_updates`
    /// unacknowledged updates are kept.
    explicit AdsServer(std::string origin, std::size_t max_pending_updates = kMaxPendingUpdates);

    /// A response that the proxy rejected (NACK). The proxy keeps its earlier configuration.
    struct Rejection {
        ResourceType type = ResourceType::Cluster;
        std::string version;
        /// The proxy's `error_detail.message`.
        std::string reason;
        std::vector<std::string> resource_names;
    };

    /// An update of which the proxy acknowledged every changed resource.
    struct AcknowledgedUpdate {
        std::uint64_t update_number = 0;
        /// The version whose acknowledgement the policy requested with this update, if any.
        std::optional<ConfigVersion> requested_ack;
        Micros decided_at{};
    };

    /// Why a request was ignored. The stream continues.
    enum class IgnoreReason { UnknownType, UnknownNonce };

    struct IgnoredRequest {
        IgnoreReason reason = IgnoreReason::UnknownType;
        /// The reason, for the log.
        std::string text;
    };

    struct RequestResult {
        std::vector<AcknowledgedUpdate> acknowledged;
        std::optional<Rejection> rejected;
        std::optional<IgnoredRequest> ignored;
    };

    /// Handles a subscription, an ACK or a NACK.
    RequestResult on_request(const Request& request);

    /// Takes over a message that the send queue released: its changes may be sent from now on.
    void release(Micros now, const ProxyMessage& message);

    /// Returns the responses to write now, in order. Each is returned once.
    std::vector<Response> take_responses();

    /// A serialized response: the bytes of `shared` followed by those of `own`.
    struct EncodedResponse {
        /// All fields but the nonce; may be shared with other streams.
        std::shared_ptr<const std::string> shared;
        /// The serialized nonce field.
        std::string own;
    };

    /// Like `take_responses`, but serialized; bytes that streams share come from the cache.
    std::vector<EncodedResponse> take_encoded(ResponseCache& cache);

    /// Number of updates that were released and not acknowledged yet.
    std::size_t unacknowledged_updates() const { return pending_updates_.size(); }

private:
    /// One resource on this stream. Versions are update numbers; 0: none.
    struct ResourceState {
        /// What the proxy should have; null for the update marker.
        ResourcePtr desired;
        std::uint64_t sent_version = 0;
        std::uint64_t acked_version = 0;
        /// Removed, but the proxy's routes may still name it.
        bool retiring = false;
        /// The proxy rejected the version that was sent last.
        bool rejected = false;
    };

    /// A response that was sent and whose nonce may still come back.
    struct InFlightResponse {
        std::string nonce;
        std::string version;
        /// Names and versions of the resources in the response.
        std::vector<std::pair<std::string, std::uint64_t>> resources;
        /// An ACK or NACK with this nonce has come.
        bool answered = false;
    };

    /// The state of one resource type.
    struct SubscriptionState {
        /// The proxy has sent a first request of this type.
        bool requested = false;
        /// The proxy subscribed to all resources of the type; `names` does not matter.
        bool wildcard = false;
        /// For types that are always sent completely: something changed since the last response.
        bool send_due = false;
        /// The proxy rejected a response since the last released message.
        bool has_rejected = false;
        /// Rejected resources are to be sent again.
        bool resend_rejected = false;
        /// Subscribed resource names.
        std::set<std::string> names;
        std::map<std::string, ResourceState> resources;
        std::deque<InFlightResponse> in_flight;
    };

    /// One version of one resource.
    struct ResourceVersion {
        ResourceType type = ResourceType::Cluster;
        std::string name;
        std::uint64_t version = 0;
    };

    /// A released update and the resource versions that must be acknowledged before it counts as
    /// applied.
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

    /// Which resources of a type a response carries.
    enum class Selection { Changed, Rejected };

    /// Whether each response of a type carries all resources of the type: in the state-of-the-world
    /// protocol, a cluster or listener that is missing from a response is removed.
    static constexpr bool is_sent_completely(ResourceType type) {
        return type == ResourceType::Cluster || type == ResourceType::Listener;
    }

    SubscriptionState& subscription(ResourceType type) { return subscriptions_[index(type)]; }

    const SubscriptionState& subscription(ResourceType type) const {
        return subscriptions_[index(type)];
    }

    static void reset_type(ResourceType type, SubscriptionState& state);
    static void update_subscription(ResourceType type, SubscriptionState& state,
                                    const Request& request);
    void handle_ack_or_nack(ResourceType type, InFlightResponse& response, const Request& request,
                            RequestResult& result);
    static Rejection reject(ResourceType type, SubscriptionState& state,
                            const InFlightResponse& response, const std::string& reason);
    void acknowledge(ResourceType type, SubscriptionState& state, const InFlightResponse& response);
    void remove_retired_clusters();
    std::vector<AcknowledgedUpdate> take_acknowledged_updates();
    bool is_acknowledged(const ResourceVersion& required) const;

    PendingUpdate apply_changes(const ProxyMessage& message);
    void schedule_resend_of_rejected();
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
    /// Released updates that no response has named yet.
    std::vector<ReleasedUpdate> unannounced_updates_;
    std::uint64_t last_nonce_ = 0;
    /// The newest update number that a response named.
    std::uint64_t newest_announced_update_ = 0;
};

}  // namespace badgergrade::xds
