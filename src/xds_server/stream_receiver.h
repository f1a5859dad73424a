/// @file
/// Receives the messages of a gRPC stream that a proxy opened (ADS or LRS), and ties them to the
/// node id that the stream's first message gives.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "net/grpc.h"

namespace badgergrade::xds_server {

/// The identity of a stream, filled by its message handler.
struct StreamIdentity {
    /// The node id of the first message.
    std::string name;
    /// The first message was accepted.
    bool is_known = false;
};

/// Called on the loop's one thread for each message. May end the stream.
using StreamMessageHandler =
    std::function<void(const net::GrpcCallPtr&, StreamIdentity&, std::string_view bytes)>;

/// Passes each message of the stream to `on_message`, and ends the stream with status OK once the
/// proxy has half-closed it. The callbacks hold the call weakly: the call owns them, and would
/// never be freed otherwise. Returns the identity that is passed to the handler; it lives as long
/// as the stream.
inline std::shared_ptr<StreamIdentity> receive_stream(const net::GrpcCallPtr& call,
                                                      StreamMessageHandler on_message) {
    auto identity = std::make_shared<StreamIdentity>();
    call->on_message = [weak_call = std::weak_ptr(call), identity,
                        on_message = std::move(on_message)](std::string_view bytes) {
        if (const auto locked_call = weak_call.lock()) {
            on_message(locked_call, *identity, bytes);
        }
    };
    call->on_half_closed = [weak_call = std::weak_ptr(call)] {
        if (const auto locked_call = weak_call.lock()) {
            locked_call->finish();
        }
    };
    return identity;
}

}  // namespace badgergrade::xds_server
