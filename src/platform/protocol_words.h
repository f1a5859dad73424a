/// The words of the platform's protocol as they stand on the wire. Each is mapped to a term of this
/// program in `platform/` and nowhere else; they must not change, since the proxies and collectors
/// of the platform speak them.
#pragma once

namespace badgergrade::platform::words {

// ---- kinds of messages from peers
constexpr const char* kPing = "PING";            ///< Health check of this instance.
constexpr const char* kSource = "SOURCE";        ///< A collector identifies itself.
constexpr const char* kSubscribe = "SUBSCRIBE";  ///< A proxy identifies itself.
constexpr const char* kAck = "ACK";              ///< event::ConfigAcknowledged
constexpr const char* kLoad = "LOAD";            ///< event::ServerLoadReport
constexpr const char* kRate = "RATE";            ///< event::ProxyDemandReport

// ---- kinds of messages to peers
constexpr const char* kPong = "PONG";      ///< Answer to PING.
constexpr const char* kNack = "NACK";      ///< Rejection, with a reason.
constexpr const char* kConfig = "CONFIG";  ///< A configuration update (runtime::ProxyUpdate).

// ---- fields from peers
constexpr const char* kZone = "zone";         ///< Zone, by name.
constexpr const char* kProxy = "proxy";       ///< Proxy number.
constexpr const char* kWeight = "weight";     ///< Announced rate of a proxy, requests per second.
constexpr const char* kFresh = "fresh";       ///< 1: the proxy has just started.
constexpr const char* kMark = "mark";         ///< Acknowledged configuration version.
constexpr const char* kTookMs = "took_ms";    ///< Delay of an acknowledgement, milliseconds.
constexpr const char* kServer = "server";     ///< Server, by its text id.
constexpr const char* kClass = "class";       ///< Operation, by name.
constexpr const char* kTries = "tries";       ///< Attempts in the interval.
constexpr const char* kFailed = "failed";     ///< Failures in the interval.
constexpr const char* kMeanMs = "mean_ms";    ///< Mean latency, milliseconds.
constexpr const char* kSpanMs = "span_ms";    ///< Length of the interval, milliseconds.
constexpr const char* kLoadMetrics = "load";  ///< Load metrics: name:value pairs by commas.

// ---- fields to peers
constexpr const char* kWhy = "why";          ///< Reason of a NACK.
constexpr const char* kFor = "for";          ///< Operations of a part, by names with '+'.
constexpr const char* kReplace = "replace";  ///< 1: the rows are the whole table.
constexpr const char* kRows = "rows";        ///< Weights: id:weight pairs by commas.
constexpr const char* kGate = "gate";        ///< Admission limit, requests per second or fraction.
constexpr const char* kAgain = "again";      ///< Retry mode (RetryMode as a number).
constexpr const char* kDrop = "drop";        ///< Ejected servers, ids by commas.
constexpr const char* kUndrop = "undrop";    ///< Servers no longer ejected, ids by commas.
constexpr const char* kStamp = "stamp";      ///< Configuration version to acknowledge.
constexpr const char* kPart = "part";        ///< 1: more parts of this update follow.

// ---- values
constexpr const char* kYes = "1";
constexpr const char* kNo = "0";

}  // namespace badgergrade::platform::words
