/// @file
/// The text in `control_plane.identifier` of a discovery response. It names the configuration
/// updates that were released to the stream since its previous response:
///
///   ORIGIN UPDATE@DECIDED-RELEASED+LINES ...
///
/// UPDATE is the number of the update, DECIDED and RELEASED are times in microseconds of the
/// control plane's clock, LINES is the size of the update. With this text the pacing of the send
/// queue can be audited from outside: how many lines were queued at any moment, and for how long.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/ids.h"

namespace badgergrade::xds {

/// One configuration update that was released to a proxy's stream.
struct ReleasedUpdate {
    std::uint64_t update_number = 0;
    /// Time of the policy's decision.
    Micros decided_at{};
    /// Time at which the update left the send queue.
    Micros released_at{};
    /// Size of the update as the send queue counts it.
    double lines = 0;
};

/// The parsed text of one response.
struct ReleaseText {
    /// The control plane instance and incarnation that sent the response.
    std::string origin;
    std::vector<ReleasedUpdate> updates;
};

/// Builds the text. Fractions of a line are truncated.
std::string to_release_text(const std::string& origin, const std::vector<ReleasedUpdate>& updates);

/// Parses the text. Words that do not name an update are skipped, so parsing never fails.
ReleaseText parse_release_text(const std::string& text);

}  // namespace badgergrade::xds
