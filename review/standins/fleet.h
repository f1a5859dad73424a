// A stand-in for the platform around one governor: discovery's agent, the collectors, proxies with their
// configuration channel, clients and servers. All of it runs in one thread of one process on the real clock.
// Governor, agent, collectors and proxies talk over TCP on 127.0.0.1 as PROTOCOL sets out; requests between
// clients, proxies and servers are calls inside this process and are written to the record.
//
// All times are in milliseconds since the start of this process, unless a name says otherwise.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standin {

// ---- figures of a deployment

struct Class {
    std::string name;
    double share = 1;       // of the requests
    double work_ms = 100;   // on a core of speed 1
    double aim_ms = 800;
    double deadline_ms = 2000;
    double worth = 1;
    std::string effect = "safe";
    bool own_zone = false;  // only servers of the proxy's zone may serve it
};

struct Figures {
    std::vector<std::string> zones;
    std::vector<Class> classes;
    std::vector<double> zone_demand;  // shares of the requests, by zone
    double requests_per_s = 100;
    int proxies_per_zone = 5;
    // the configuration channel and the rules, by the names of the settings
    double channel_rate = 14000;
    double per_message = 3;
    double pending_max = 14000;
    double transit_ms = 150;
    double push_delay_max_ms = 920;
    int reloads_max = 20;
    double update_window_ms = 10000;
    double empty_for_ms = 5300;
    double grace_ms = 3000;  // stop_sending_within
    double cold_ms = 15000;
    double cold_from = 0.17;
    double tip_multiple = 3;
    double tip_after_ms = 1500;
    double period_ms = 2000;  // of reports
    double report_late_ms = 600;
    double intake_per_s = 500;  // report lines, the oldest first; the rest adds up
    int outlier_after = 5;
    double avoid_ms = 4000;
    int standing = 10;
    bool dropped_stay_open = false;
    bool reports_load = false;  // util and queue, in answers
    std::string admit = "none";     // or share, rate
    std::string lb_method = "two";  // or weighted
};

// The slack that PROTOCOL grants in the rules on empty proxies, drains and cold servers.
constexpr double kSlackMs = 300;
// The time limits start no earlier than this after the governor's first answer.
constexpr double kFirstSecondMs = 1000;

// ---- parties

struct Server {
    std::string id;
    int zone = 0;
    double weight = 1;
    double capacity = 1000;  // ms of work that it does in a second when warm
    // the truth
    bool up = true;
    double started = -1e9;
    bool fallen = false;
    double busy_until = 0;
    // as discovery has it, and as it was told to the governor
    std::string listed = "Ready";
    double listed_started = -1e9;
    std::string told = "Ready";
    double told_at = -1e9;          // of the state
    double told_started = -1e9;     // the start that was told
    double start_told_at = -1e9;
    // what it was sent, for the rule on cold servers
    struct Push {
        double at;
        double work_s;  // in seconds of its full capacity
        bool counts;    // from a proxy that the rule holds to account
    };
    std::deque<Push> pushed;
    std::int64_t received = 0;
    double work_s = 0;  // taken in since its load was refreshed, in seconds of its full work
    double util = 0;    // as refreshed last
    double queue = 0;
};

struct Table {
    std::map<std::string, double> rows;
};

struct Proxy {
    int number = 0;
    int zone = 0;
    double rate = 1;                 // requests a second
    int fd = -1;
    double joined = -1;
    bool fresh = true;               // holds no table that was ordered
    std::string unread;              // bytes that do not form a message yet
    std::vector<std::vector<std::string>> parts;  // of the message that is arriving
    std::map<int, Table> tables;     // by class
    std::map<int, double> level;                 // by class, where one was ordered
    std::map<int, std::pair<double, double>> let_in;  // by class, for admit = rate: tokens, and when they were counted
    std::set<std::string> dropped;
    std::map<std::string, int> open;             // own requests in hand, by server
    std::map<std::string, int> failures_in_row;
    std::map<std::string, double> avoid_until;
    std::map<int, double> empty_since;           // by class; absent: has a line
    std::deque<double> messages;                 // when each arrived, since it joined
    double last_message_sent = -1;               // when the newest one that it has applied was written
    double last_arrival = 0;
};

struct Sums {
    std::int64_t tries = 0;
    std::int64_t failed = 0;
    double total_ms = 0;
    double since = 0;      // when it was reported last
    bool waiting = false;  // its line waits to be reported
};

// ---- the platform

class Platform {
public:
    Platform(Figures figures, std::vector<Server> servers, bool trouble);
    ~Platform();

    /// Runs for so long after the proxies have joined; returns the exit code of the case.
    int run(double length_ms, const std::string& rule);

    double now() const;
    /// Calls back at a time; times before now are due at once.
    void at(double when, std::function<void()> call);
    /// `plan` is called when all proxies have joined, with the time.
    std::function<void(double)> plan;
    bool trouble() const { return trouble_; }
    /// Proxies from this number on belong to other governors at first. They hold a table of all servers and send, but
    /// are not judged, until come_over().
    int first_foreign_proxy = 1 << 30;
    /// They dial this governor, each within so many ms.
    void come_over(double from_ms, double to_ms);

    // Changes of the truth and of discovery's list. `list` brings all of them to discovery as one new generation.
    Server& server(const std::string& id) { return servers_.at(id); }
    void crash(const std::string& id);
    void start_again(const std::string& id);
    void add(Server server);
    void list(const std::vector<std::pair<std::string, std::string>>& states);
    void note(const std::string& text);
    void say(const std::string& kind, const std::string& text);

    const Figures figures;

private:
    struct Timer {
        double when;
        std::uint64_t order;
        std::function<void()> call;
        bool operator<(const Timer& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    struct Watch {
        int fd = -1;
        std::string in;
        bool held = false;
        std::uint64_t from = 0;
        std::uint64_t call = 0;
    };
    struct Message {
        int proxy;
        double lines;
        double written;  // when its last byte had arrived
        std::vector<std::vector<std::string>> parts;
    };

    // governor
    void start_governor();
    void stop_governor();
    std::string config_json() const;
    std::string settings_json() const;
    bool governor_alive();
    bool answers_ping();

    // discovery
    std::string row_json(const Server& server, const std::string& state, double started) const;
    void on_watch_data(Watch& watch);
    void answer(Watch& watch);
    double to_unix(double when) const;

    // proxies and their channel
    void join(Proxy& proxy);
    void on_proxy_data(Proxy& proxy);
    void on_message(Proxy& proxy);
    void step_channel();
    void apply(Proxy& proxy, const Message& message);
    void proxy_broke(Proxy& proxy, const std::string& why);
    void check_empty(Proxy& proxy);

    // requests
    void next_request(Proxy& proxy);
    void request(Proxy& proxy, int kind);
    bool admits(Proxy& proxy, int kind);
    std::string pick(Proxy& proxy, int kind, const std::string& not_this);
    void try_server(Proxy& proxy, int kind, const std::string& id, double work_ms, bool last);
    void check_send(Proxy& proxy, int kind, Server& server, double work_s);
    double cold_capacity(const Server& server, double when) const;
    void refresh_loads();
    void gather_reports();
    void send_reports();

    void broken(const std::string& rule, const std::string& text);
    void loop(double until);
    void write_all(int fd, const std::string& bytes);

    bool trouble_;
    std::ofstream record_;
    std::map<std::string, Server> servers_;
    std::vector<std::unique_ptr<Proxy>> proxies_;
    std::map<int, std::unique_ptr<Watch>> watches_;
    std::vector<int> collectors_;
    std::priority_queue<Timer> timers_;
    std::uint64_t timer_order_ = 0;
    int discovery_fd_ = -1;
    int discovery_port_ = 0;
    int governor_port_ = 0;
    pid_t governor_ = -1;
    std::string folder_;
    double first_answer_ = -1;
    std::uint64_t generation_ = 1;
    struct Change {
        std::uint64_t generation;
        std::string id;
        std::string state;
        double started;
    };
    std::vector<Change> changes_;
    std::deque<Message> channel_;
    double channel_lines_ = 0;
    bool channel_moving_ = false;
    double channel_peak_ = 0;
    double latest_timer_ms_ = 0;  // how late this process itself was
    std::map<std::pair<int, std::string>, Sums> met_;       // by zone and server
    std::map<std::pair<int, int>, Sums> asked_;             // by proxy and class
    struct Line {
        bool load;  // LOAD of a zone and a server, or RATE of a proxy and a class
        int first;
        std::string server;
        int kind;
    };
    std::deque<Line> lines_;  // that wait to be reported
    double line_credit_ = 0;
    std::mt19937 chance_{20261204};
    std::map<std::string, int> breaks_;
    std::map<std::string, std::int64_t> counts_;
    std::int64_t start_unix_ms_ = 0;
    bool cannot_run_ = false;
};

}  // namespace standin
