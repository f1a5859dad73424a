/// The words of the platform's protocol as they appear on the wire.
///
/// Proxies and collectors of the platform depend on these words: the strings must not change. They
/// are used in `platform/` and `platform_server/` only. Each constant is named after the term that
/// the rest of the program uses.
#pragma once

namespace badgergrade::platform::words {

// ---- message kinds from peers
constexpr const char* kPing = "PING";            ///< Health check of this instance.
constexpr const char* kSource = "SOURCE";        ///< Identifies a collector.
constexpr const char* kSubscribe = "SUBSCRIBE";  ///< Identifies a proxy (event::ProxyConnected).
constexpr const char* kAck = "ACK";              ///< event::ConfigAcknowledged
constexpr const char* kLoad = "LOAD";            ///< event::ServerLoadReport
constexpr const char* kRate = "RATE";            ///< event::ProxyDemandReport

// ---- message kinds to peers
constexpr const char* kPong = "PONG";      ///< Answer to PING.
constexpr const char* kNack = "NACK";      ///< The connection is rejected, with a reason.
constexpr const char* kConfig = "CONFIG";  ///< A part of a runtime::ProxyUpdate.

// ---- fields from peers
constexpr const char* kZone = "zone";              ///< Name of a zone.
constexpr const char* kProxy = "proxy";            ///< Number of a proxy.
constexpr const char* kAnnouncedRate = "weight";   ///< Announced rate of a proxy, requests/s.
constexpr const char* kFreshStart = "fresh";       ///< 1: the proxy has just started.
constexpr const char* kAckedVersion = "mark";      ///< Acknowledged configuration version.
constexpr const char* kAckDelayMs = "took_ms";     ///< Delay of an acknowledgement, milliseconds.
constexpr const char* kServer = "server";          ///< Text id of a server.
constexpr const char* kOperation = "class";        ///< Name of an operation.
constexpr const char* kAttempts = "tries";         ///< Attempts in the interval.
constexpr const char* kFailures = "failed";        ///< Failures in the interval.
constexpr const char* kMeanLatencyMs = "mean_ms";  ///< Mean latency, milliseconds.
constexpr const char* kIntervalMs = "span_ms";     ///< Length of the interval, milliseconds.
constexpr const char* kLoadMetrics = "load";       ///< Comma-separated name:value pairs.

// ---- fields to peers
constexpr const char* kReason = "why";            ///< Reason of a NACK.
constexpr const char* kOperations = "for";        ///< Operations of a part, names joined by '+'.
constexpr const char* kReplaceTable = "replace";  ///< 1: the weights are the complete table.
constexpr const char* kWeights = "rows";          ///< Comma-separated server:weight pairs.
constexpr const char* kAdmissionLimit = "gate";   ///< Requests per second or fraction.
constexpr const char* kRetryMode = "again";       ///< RetryMode as a number.
constexpr const char* kEject = "drop";            ///< Ejected servers, comma-separated ids.
constexpr const char* kRestore = "undrop";        ///< Servers no longer ejected, likewise.
constexpr const char* kAckVersion = "stamp";      ///< Configuration version to acknowledge.
constexpr const char* kMoreParts = "part";        ///< 1: more parts of this update follow.

// ---- values of flags
constexpr const char* kTrue = "1";
constexpr const char* kFalse = "0";

}  // namespace badgergrade::platform::words
