/// @file
/// How the control plane receives a stream that a proxy opened (discovery or load reports).
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "net/grpc.h"

namespace badgergrade::xds_server {

/// What one stream said about itself so far.
struct StreamIdentity {
    /// The node id of its first message.
    std::string name;
    /// The first message was accepted.
    bool is_known = false;
};

/// Called on the loop's one thread for each message. May end the stream.
using StreamMessageHandler =
    std::function<void(const net::GrpcCallPtr&, StreamIdentity&, std::string_view bytes)>;

/// Hands each message of the stream to `on_message`, and ends the stream once the proxy has ended
/// its side. The callbacks hold the call weakly: it owns them, and would never be freed otherwise.
/// Returns the identity that the handler is given, which lives as long as the stream.
inline std::shared_ptr<StreamIdentity> receive_stream(const net::GrpcCallPtr& call,
                                                      StreamMessageHandler on_message) {
    auto identity = std::make_shared<StreamIdentity>();
    call->on_message = [weak = std::weak_ptr(call), identity,
                        on_message = std::move(on_message)](std::string_view bytes) {
        if (const auto strong = weak.lock()) {
            on_message(strong, *identity, bytes);
        }
    };
    call->on_half_closed = [weak = std::weak_ptr(call)] {
        if (const auto strong = weak.lock()) {
            strong->finish();
        }
    };
    return identity;
}

}  // namespace badgergrade::xds_server
