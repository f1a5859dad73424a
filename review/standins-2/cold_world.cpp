// A stand-in for the world of one key-range deployment whose slices may have several owners, on the simulator's
// wire and on the real clock: the store, the proxies, the replicas with their capacity, and the channel. It starts
// the program that the deploy file names under `sim` as a process of its own and plays a short day: two of six
// replicas are replaced by new ones under new ids.
//
// A replica that starts is cold: its capacity rises evenly from rules.cold_from to the full in rules.cold. It
// falls over, and stays down, when the work that it was sent within any rules.tip_after is more than
// rules.tip_multiple times its capacity in that time, with the work of kSlackRequests requests for chance.
//
// The check is invariant 4: the rule is broken if two thirds of that work came from proxies whose last message
// was sent knowing of the start, or whose instance had known of it for rules.stop_sending_within.
//
// Usage: cold_world --sim COMMAND --trouble 0|1 --record FILE     (trouble 0: the new replicas come warm)
// Exit: 0 the rule held, 1 it was broken, 2 the day could not be played.
#include <deque>
#include <random>
#include <set>
#include <thread>

#include "sim_process.h"

namespace {

using namespace standins;

// Settings of the day, in milliseconds and fractions.
constexpr double kColdFrom = 0.16;
constexpr double kCold = 18000;
constexpr double kTipMultiple = 2.5;
constexpr double kTipAfter = 1500;
constexpr double kGrace = 2000;
constexpr double kEmptyFor = 5300;
constexpr double kBufferFor = 300;
constexpr double kLinesPerMs = 14;
constexpr double kHeadLines = 3;
constexpr double kTick = 10;
constexpr int kSlices = 48;
constexpr int kProxies = 4;
constexpr int kFirstReplicas = 6;
// The load of the whole day, as a part of the first replicas' capacity.
constexpr double kLoad = 0.68;
constexpr double kCoresPerReplica = 6;  // four cores of speed 1.5
constexpr double kWorkMs = 240;         // of one request, on one core of speed 1
constexpr double kSlackRequests = 2;
constexpr double kEnd = 14000;
constexpr double kClockStart = 100000;
constexpr const char* kGovernor = "governor/0";

struct Replica {
    std::uint32_t id = 0;
    std::string name;
    int availability = 1;    // 1 ready, 2 draining
    double started_at = -1;  // -1: long ago
    bool listed = true;
    double listed_at = -1;
    bool fallen = false;
    struct Sent {
        double at;
        int proxy;
    };
    std::deque<Sent> window;
    long accepted = 0;
    long lost = 0;
    double highest = 0;  // the highest multiple of its capacity that any window has brought
};

struct Message {
    double arrives;
    std::vector<std::pair<int, std::uint32_t>> lines;  // slice, replica; weight 0 is given by `removed`
    std::vector<bool> removed;
    double sent;
};

struct Proxy {
    std::map<int, std::set<std::uint32_t>> table;
    std::deque<Message> on_the_way;
    double last_arrival = 0;
    double last_message_sent = -1;
    std::vector<double> next_request = std::vector<double>(kSlices);
    std::vector<std::size_t> turn = std::vector<std::size_t>(kSlices);
};

class World {
public:
    World(std::string command, bool trouble) : command_(std::move(command)), trouble_(trouble) {
        const std::uint32_t ids[] = {51530247,  747639282,  1290466013, 1834402291,
                                     260117853, 3011945566, 912200345,  2210987331};
        for (int k = 0; k < 8; ++k) {
            Replica replica;
            replica.id = ids[k];
            replica.name = "R" + std::to_string(k);
            replica.listed = k < kFirstReplicas;
            replicas_.push_back(replica);
        }
        const double per_second =
            kLoad * kFirstReplicas * kCoresPerReplica * 1000 / kWorkMs / (kSlices * kProxies);
        every_ms_ = 1000 / per_second;
        for (int slice = 0; slice < kSlices; ++slice) {
            store_[slice] = {replicas_[static_cast<std::size_t>(slice % kFirstReplicas)].id};
        }
        for (int p = 0; p < kProxies; ++p) {
            Proxy proxy;
            proxy.table = store_;
            for (int slice = 0; slice < kSlices; ++slice) {
                proxy.next_request[static_cast<std::size_t>(slice)] =
                    500 + every_ms_ * (slice * kProxies + p) / (kSlices * kProxies);
            }
            proxies_.push_back(proxy);
        }
    }

    bool play() {
        start_governor();
        double latest = 0;
        for (double due = kTick; due < kEnd; due += kTick) {
            std::this_thread::sleep_until(began + std::chrono::microseconds(static_cast<long>(due * 1000)));
            const double now = now_ms();
            latest = std::max(latest, now - due);
            step(now);
        }
        adapter_.kill_now();
        check_own_time(latest);
        for (const Replica& replica : replicas_) {
            int slices = 0;
            for (const auto& [slice, owners] : store_) {
                slices += owners.contains(replica.id) ? 1 : 0;
            }
            record("%s: %d slices, %ld requests accepted, %ld never answered%s; highest multiple of its capacity "
                   "within %.0f ms: %.2f",
                   replica.name.c_str(), slices, replica.accepted, replica.lost,
                   replica.fallen ? ", fell over" : "", kTipAfter, replica.highest);
        }
        if (replicas_[6].accepted == 0) {
            cannot_run("the new replicas were sent nothing: nothing was shown");
        }
        return broken_ == 0;
    }

private:
    void event(const std::string& line) { events_ += line + "\n"; }

    void list_event(int form) {
        int rows = 0;
        std::string text;
        for (Replica& r : replicas_) {
            if (!r.listed) {
                continue;
            }
            ++rows;
            text += "row\tavailability=" + std::to_string(r.availability) +
                    "\tblock=0\tpart=1\tfamily_type=0\treplica=" + std::to_string(r.id) + "\track_zone=0" +
                    (r.started_at < 0 ? "" : "\tstart_time=" + std::to_string(kClockStart + r.started_at)) + "\n";
        }
        event("inventory\tref=0\trecords=" + std::to_string(rows));
        events_ += text;
        event(std::string("targets\tgovernor_id=") + kGovernor + "\tform=" + std::to_string(form) +
              "\tversion=" + std::to_string(++version_) + "\tref=0");
    }

    void start_governor() {
        adapter_.start(command_);
        event("up\tgovernor_id=" + std::string(kGovernor) +
              "\tprng=1521062518804638\tbalancers=1\tordinal=0\tquantum=10.0\tzone=0\tzones=kicukiro\tweights=none"
              "\tdiscovery=pushed\tkind_of_service=control\treport.how=none\treport.columns="
              "\tbounds.may_probe=false\tbounds.peers=false\tbounds.conn_idle=15000.0\trequest_classes.count=1"
              "\trequest_classes.0.name=lot-estimate\trequest_classes.0.aim=1200.0"
              "\trequest_classes.0.deadline=4000.0\trequest_classes.0.effect=safe\trequest_classes.0.worth=3.0"
              "\textra.admit=none\textra.lb_method=round\textra.class_own_zone=false\textra.write_classes=false"
              "\textra.exclusive=false\textra.key_ranges=" + std::to_string(kSlices) +
              "\textra.data_plane_size=" + std::to_string(kProxies) +
              "\textra.settle=4020.0\textra.tenure=2500.0\textra.push_delay_max=920.0\textra.transit=368.0"
              "\textra.buffer_for=" + std::to_string(kBufferFor) +
              "\textra.empty_for=" + std::to_string(kEmptyFor) +
              "\textra.channel_rate=14000.0\textra.pending_max=14000.0\textra.per_message=3.0"
              "\textra.reloads_max=0\textra.update_window=10000.0\textra.period=2000.0\textra.intake_per_s=500.0"
              "\textra.default_retry=1\textra.try_factor=0.8\textra.outlier_after=0"
              "\trules.cold=" + std::to_string(kCold) + "\trules.cold_from=" + std::to_string(kColdFrom) +
              "\trules.stop_sending_within=" + std::to_string(kGrace) +
              "\trules.tip_after=" + std::to_string(kTipAfter) +
              "\trules.tip_multiple=" + std::to_string(kTipMultiple));
        list_event(2);
        for (const auto& [slice, owners] : store_) {
            event("tenure\tgovernor_id=" + std::string(kGovernor) + "\tmap_id=" + std::to_string(slice) +
                  "\tflag=1");
            for (const std::uint32_t owner : owners) {
                event("in_store\tgovernor_id=" + std::string(kGovernor) + "\tmap_id=" + std::to_string(slice) +
                      "\tpart=1\treplica=" + std::to_string(owner));
            }
        }
        for (int p = 0; p < kProxies; ++p) {
            event("connected\tgovernor_id=" + std::string(kGovernor) + "\tsidecar=" + std::to_string(p) +
                  "\tflag=0\track_zone=0\tpart=10");
        }
    }

    // Replaces R0 by R6 at 3 s and R1 by R7 at 6 s: the new one starts, and 0.3 s later one change of the list
    // shows it as ready and the old one as draining.
    void script(double now) {
        for (int k = 0; k < 2; ++k) {
            Replica& replacement = replicas_[static_cast<std::size_t>(6 + k)];
            Replica& replaced = replicas_[static_cast<std::size_t>(k)];
            const double start = 3000 + 3000 * k;
            if (!replacement.listed && now >= start + 300) {
                replacement.listed = true;
                replacement.started_at = trouble_ ? start : -1;
                replacement.listed_at = now;
                replaced.availability = 2;
                record("list: %s is ready, started %s; %s drains", replacement.name.c_str(),
                       trouble_ ? "0.3 s ago" : "long ago", replaced.name.c_str());
                list_event(1);
            }
        }
    }

    void step(double now) {
        script(now);
        for (int p = 0; p < kProxies; ++p) {
            step_proxy(p, now);
        }
        step_governor(now);
    }

    void step_proxy(int p, double now) {
        Proxy& proxy = proxies_[static_cast<std::size_t>(p)];
        while (!proxy.on_the_way.empty() && proxy.on_the_way.front().arrives <= now) {
            const Message message = proxy.on_the_way.front();
            proxy.on_the_way.pop_front();
            proxy.last_message_sent = message.sent;
            for (std::size_t k = 0; k < message.lines.size(); ++k) {
                const auto& [slice, replica] = message.lines[k];
                if (message.removed[k]) {
                    proxy.table[slice].erase(replica);
                } else {
                    proxy.table[slice].insert(replica);
                }
            }
        }
        for (int slice = 0; slice < kSlices; ++slice) {
            double& due = proxy.next_request[static_cast<std::size_t>(slice)];
            if (now < due) {
                continue;
            }
            due += every_ms_;
            const auto& owners = proxy.table[slice];
            if (owners.empty()) {
                continue;
            }
            const std::size_t turn = proxy.turn[static_cast<std::size_t>(slice)]++ % owners.size();
            receive(*std::next(owners.begin(), static_cast<long>(turn)), p, now);
        }
    }

    // The capacity of a replica at a time, in milliseconds of work a millisecond.
    static double capacity(const Replica& replica, double at) {
        const double age = at - replica.started_at;
        const bool warm = replica.started_at < 0 || age >= kCold;
        return kCoresPerReplica * (warm ? 1 : kColdFrom + (1 - kColdFrom) * std::max(0.0, age) / kCold);
    }

    void receive(std::uint32_t id, int p, double now) {
        Replica& replica = *std::find_if(replicas_.begin(), replicas_.end(),
                                         [&](const Replica& candidate) { return candidate.id == id; });
        ++replica.accepted;
        if (replica.fallen) {
            ++replica.lost;
            return;
        }
        if (replica.started_at < 0) {
            return;
        }
        replica.window.push_back({now, p});
        while (replica.window.front().at < now - kTipAfter) {
            replica.window.pop_front();
        }
        // The capacity is a straight line over the window: its mean is that of the middle.
        const double from = std::max(replica.started_at, now - kTipAfter);
        const double budget = capacity(replica, (from + now) / 2) * (now - from);
        const double work = static_cast<double>(replica.window.size()) * kWorkMs;
        if (now - replica.started_at >= kTipAfter) {
            replica.highest = std::max(replica.highest, (work - kSlackRequests * kWorkMs) / budget);
        }
        if (work <= kTipMultiple * budget + kSlackRequests * kWorkMs || now - from < kTipAfter) {
            return;
        }
        replica.fallen = true;
        long knowing = 0;
        for (const Replica::Sent& sent : replica.window) {
            const Proxy& proxy = proxies_[static_cast<std::size_t>(sent.proxy)];
            const bool informed = proxy.last_message_sent >= replica.listed_at;
            knowing += informed || now >= replica.listed_at + kGrace ? 1 : 0;
        }
        const bool breaks = static_cast<double>(knowing) * 3 >= static_cast<double>(replica.window.size()) * 2;
        broken_ += breaks ? 1 : 0;
        record("%s%s fell over %.1f s after its start: %.1f s of work within %.1f s, its capacity in that time %.1f s; "
               "%ld of %zu requests from proxies whose last message was sent knowing of the start",
               breaks ? "BROKEN: " : "", replica.name.c_str(), (now - replica.started_at) / 1000, work / 1000,
               kTipAfter / 1000, budget / 1000, knowing, replica.window.size());
    }

    void step_governor(double now) {
        std::vector<std::string> due;
        std::erase_if(timers_, [&](const auto& timer) {
            if (timer.first > now) {
                return false;
            }
            due.push_back(timer.second);
            return true;
        });
        for (const auto& mark : due) {
            event("due\tgovernor_id=" + std::string(kGovernor) + "\tmark=" + mark);
        }
        if (events_.empty()) {
            return;
        }
        const std::string batch = "frame\ttime=" + std::to_string(kClockStart + now) +
                                  "\tturn=" + std::to_string(++turn_) + "\n" + events_ + "flush\n";
        events_.clear();
        apply(adapter_.exchange(batch), now);
    }

    void apply(const std::vector<std::string>& actions, double now) {
        Message message;
        message.sent = now;
        std::map<std::string, int> set;
        std::map<std::string, int> removed;
        for (const std::string& line : actions) {
            const std::string word = line.substr(0, line.find('\t'));
            if (word == "timer") {
                timers_.emplace_back(now + std::stod(field(line, "offset")), field(line, "mark"));
            } else if (word == "set_weight") {
                const int slice = std::stoi(field(line, "map_id"));
                const auto replica = static_cast<std::uint32_t>(std::stoul(field(line, "replica")));
                const bool is_removed = !(std::stod(field(line, "part")) > 0);
                message.lines.emplace_back(slice, replica);
                message.removed.push_back(is_removed);
                if (is_removed) {
                    store_[slice].erase(replica);
                } else {
                    store_[slice].insert(replica);
                }
                for (const Replica& known : replicas_) {
                    if (known.id == replica) {
                        ++(is_removed ? removed : set)[known.name];
                    }
                }
            } else if (word == "broken") {
                cannot_run("the adapter gave up: " + line);
            } else if (word != "record") {
                record("order not used here: %s", line.c_str());
            }
        }
        if (message.lines.empty()) {
            return;
        }
        for (const auto& [name, count] : removed) {
            record("orders: %s is removed from %d slices", name.c_str(), count);
        }
        for (const auto& [name, count] : set) {
            record("orders: %s is set for %d slices", name.c_str(), count);
        }
        for (Proxy& proxy : proxies_) {
            channel_free_ = std::max(channel_free_, now) +
                            (kHeadLines + static_cast<double>(message.lines.size())) / kLinesPerMs;
            const double way = 100 + 500 * std::generate_canonical<double, 32>(random_);
            proxy.last_arrival = std::max(proxy.last_arrival, channel_free_ + way);
            message.arrives = proxy.last_arrival;
            proxy.on_the_way.push_back(message);
        }
    }

    std::string command_;
    bool trouble_;
    Adapter adapter_;
    std::vector<Replica> replicas_;
    std::map<int, std::set<std::uint32_t>> store_;
    std::vector<Proxy> proxies_;
    std::string events_;
    std::vector<std::pair<double, std::string>> timers_;
    std::mt19937 random_{20261205};
    double every_ms_ = 0;
    double channel_free_ = 0;
    int version_ = 40;
    int turn_ = 0;
    int broken_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
    auto arguments = options(argc, argv);
    signal(SIGPIPE, SIG_IGN);
    began = Clock::now();
    record_file = std::fopen(arguments["--record"].c_str(), "w");
    if (!record_file || arguments["--sim"].empty()) {
        std::fprintf(stderr, "usage: cold_world --sim COMMAND --trouble 0|1 --record FILE\n");
        return 2;
    }
    record("trouble %s", arguments["--trouble"].c_str());
    World world(arguments["--sim"], arguments["--trouble"] != "0");
    const bool held = world.play();
    record("%s", held ? "the rule held" : "the rule was broken");
    std::fclose(record_file);
    return held ? 0 : 1;
}
