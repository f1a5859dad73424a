// Ids, settings as told, events and actions of the decision module. No decision is taken here.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace badgergrade {

using Micros = std::chrono::microseconds;

template <class Tag, class Rep>
struct Id {
    Rep v{};
    friend auto operator<=>(const Id&, const Id&) = default;
};

using ServerId = Id<struct ServerTag, std::uint32_t>;
using ZoneId = Id<struct ZoneTag, int>;
using ProxyId = Id<struct ProxyTag, int>;
using TableId = Id<struct TableTag, int>;
using OpId = Id<struct OpTag, int>;
using PeerId = Id<struct PeerTag, int>;
using MarkId = Id<struct MarkTag, int>;
using OpMask = std::uint64_t;

// The table number under which a level holds for every joined proxy.
constexpr TableId kEveryTable{65535};

enum class Effect { Idempotent, Fingerprinted, SideEffecting };
enum class Scope { All, Zone, Cell };
enum class Admit { None, Share, Rate };
enum class Pick { Weighted, Round, Two };
enum class Listed { None, Nominal, Rough, Live };
enum class Again { Never = 0, AfterProof = 1, Once = 2, Twice = 3 };

struct Operation {
    std::string name;
    Micros latency_objective{};
    Micros integration_timeout{};
    Effect effect = Effect::SideEffecting;
    Scope scope = Scope::All;
    Micros fingerprint_ttl{};
    double billed_value = 1;
    bool own_zone = false;
};

struct Settings {
    int ordinal = 0;
    int governors = 1;
    ZoneId zone;
    int zones = 1;
    std::vector<Operation> operations;
    Listed listed = Listed::None;
    bool ask_for_list = false;
    bool may_probe = false;
    bool may_tell_peers = false;
    std::vector<std::string> load_columns;
    Admit admit = Admit::None;
    Pick pick = Pick::Weighted;
    Again default_again = Again::AfterProof;
    int proxies = 0;
    int slices = 0;
    bool exclusive = false;
    Micros settle{};
    double channel_rate = 0;
    double head_lines = 0;
    double lines_most = 0;
    int messages_most = 0;
    Micros messages_window{};
    Micros way_mean{};
    Micros way_most{};
    Micros report_period{};
    double intake_per_s = 0;
    int ejects_after = 0;
    double try_factor = 1;
    Micros bare_most{};
    double cold_from = 1;
    Micros cold_time{};
    Micros grace{};
    bool gone_may_stay = false;
    Micros connection_idle{};
    double fall_multiple = 0;
    Micros fall_time{};
};

enum class ServerState { Gone, Ready, Draining };
enum class ListForm { Failed, Delta, Cached, Full };
enum class ProbeOutcome { Answered, Errored, Full, Late, Unreachable, Reset, Other };

struct ServerRow {
    ServerId server;
    ZoneId zone;
    ServerState state = ServerState::Ready;
    double weight = 1;
    Micros started{};
};

namespace ev {
struct List {
    ListForm form;
    std::vector<ServerRow> rows;
};

struct Timer {
    std::string token;
};

struct Probed {
    ServerId server;
    ProbeOutcome outcome;
    Micros took;
    std::vector<double> load;
};

struct Peer {
    PeerId from;
    std::string bytes;
};

struct Joined {
    ProxyId proxy;
    bool fresh;
    ZoneId zone;
    double rate;
};

struct Left {
    ProxyId proxy;
};

struct Heard {
    ZoneId zone;
    ServerId server;
    std::int64_t tries;
    std::int64_t errored;
    Micros mean;
    Micros span;
    std::vector<double> load;
};

struct Demand {
    ProxyId proxy;
    OpId op;
    std::int64_t count;
    std::int64_t errored;
    Micros span;
};

struct SliceDemand {
    TableId slice;
    OpId op;
    std::int64_t count;
    std::int64_t errored;
    Micros span;
};

struct SliceGiven {
    TableId slice;
    bool given;
};

struct SliceLine {
    TableId slice;
    ServerId server;
    double weight;
};

struct Applied {
    ProxyId proxy;
    MarkId mark;
    Micros took;
};
}  // namespace ev

using Event =
    std::variant<ev::List, ev::Timer, ev::Probed, ev::Peer, ev::Joined, ev::Left, ev::Heard,
                 ev::Demand, ev::SliceDemand, ev::SliceGiven, ev::SliceLine, ev::Applied>;

namespace act {
struct Timer {
    std::string token;
    Micros delay;
};

struct Log {
    std::string text;
};

struct Watch {
    bool on;
};

struct Fetch {};

struct Probe {
    ServerId server;
};

struct Tell {
    std::optional<PeerId> to;
    std::string bytes;
};

struct Line {
    TableId table;
    ServerId server;
    double weight;
};

struct Clear {
    TableId table;
};

struct Bind {
    TableId table;
    OpMask ops;
    ProxyId proxy;
};

struct Withdraw {
    ServerId server;
    bool out;
};

struct Level {
    TableId table;
    OpMask ops;
    double let_in;
    Again again;
};

struct Mark {
    MarkId mark;
    bool everyone;
};
}  // namespace act

using Action = std::variant<act::Timer, act::Log, act::Watch, act::Fetch, act::Probe, act::Tell,
                            act::Line, act::Clear, act::Bind, act::Withdraw, act::Level, act::Mark>;

}  // namespace badgergrade
