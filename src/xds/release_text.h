/// @file
/// How a discovery response names the configuration updates that it is the first to carry. The
/// text stands in `control_plane.identifier` of the response:
///
///   ORIGIN UPDATE@DECIDED-RELEASED+LINES ...
///
/// Times are microseconds of the control plane's clock. From this text the pacing of the send queue
/// can be audited from outside: how many lines were queued at any moment, and for how long.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/ids.h"

namespace badgergrade::xds {

/// One configuration update that was released to a proxy's stream.
struct ReleasedUpdate {
    std::uint64_t update_number = 0;
    /// When the policy decided on it.
    Micros decided_at{};
    /// When it left the send queue.
    Micros released_at{};
    /// Its size as the send queue counts it.
    double lines = 0;
};

/// The parsed text of one response.
struct ReleaseText {
    /// Which incarnation of which control plane instance sent the response.
    std::string origin;
    std::vector<ReleasedUpdate> updates;
};

/// Writes the text; fractions of a line are cut off.
std::string to_release_text(const std::string& origin, const std::vector<ReleasedUpdate>& updates);

/// Reads the text. Words that do not name an update are skipped, so this never fails.
ReleaseText parse_release_text(const std::string& text);

}  // namespace badgergrade::xds
