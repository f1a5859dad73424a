// How many lines may be sent to proxies now.
//
// Inputs: the settings (lines per second of the channel, lines that may wait in it, messages a
// proxy may be sent in a window), what was sent, acknowledgements, and broken connections. All
// figures are lines; a message to a proxy costs its head and one line for the acknowledgement.
//
// The lines that wait in the channel are not seen, so they are estimated: the channel surely moves
// a twentieth of its stated pace; and an acknowledgement proves that all that was sent before it
// has left. Where none comes for longer than even that pace explains, acknowledgements say nothing
// of the channel, and it is taken to move a quarter of its stated pace. What waited for a
// connection that broke is lost with it. As many newer lines may then pass older ones, and go on
// counting as waiting; until as many are acknowledged, an acknowledgement proves the lines of its
// own proxy alone.
//
// Three priorities. Lost servers may fill nearly the whole queue and message allowance. All else
// waits here rather than in the channel, where a removal would stand behind it: while
// acknowledgements come, it is sent only as long as the queue holds less than the channel carries
// in a part of the drain grace. First assignments may use the message reserve too, and the whole
// queue while no acknowledgement tells how fast it empties; what can be deferred leaves a reserve
// of both.
//
// Invariants: no proxy gets more messages in the window than the settings allow; lines count as
// waiting until the guaranteed pace or an acknowledgement takes them off. docs/design.md,
// "Changed" 6, has the reasons.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace badgergrade::policy {

enum class Priority {
    Deferrable,
    FirstAssignment,  ///< the tables of a proxy that has none of this instance
    Urgent,           ///< lost servers; may use the reserve
};

/// What is believed of the configuration channel, for logs and tests.
struct ChannelEstimate {
    /// Lines that are taken to wait in the channel.
    double queued_lines = 0;
    /// Lines sent to connected proxies and not acknowledged.
    double unacknowledged_lines = 0;
    /// From the sending of the last acknowledged version to its acknowledgement.
    Micros last_acknowledgement_delay{};
};

/// The lines that the channel carries in this part of the drain grace; unlimited where the settings
/// state no pace or no grace.
double lines_in_grace(const Settings& settings, double grace_fraction);

/// Versions wrap: whether `version` was given out after `other`.
bool is_newer(int version, int other);

class SendBudget {
public:
    using Proxies = std::map<ProxyId, Proxy>;

    SendBudget(const Settings& settings, Micros now);

    /// Begins a batch: all that is reserved until commit() is one message a proxy.
    void begin_batch(Micros now);
    /// How many lines each of these proxies may be sent now, message overhead_lines not included. 0
    /// where any one of them may get no message now. There must be at least one recipient, and each
    /// must be known.
    std::size_t lines_available(Micros now, const Proxies& proxies,
                                const std::vector<ProxyId>& recipients, Priority priority) const;
    /// The fewest of `lines` urgent lines that are worth a message to so many recipients: all, or
    /// twice as many as its head costs, if an empty queue holds that many.
    std::size_t min_partial_lines(std::size_t lines, std::size_t recipients) const;
    /// Counts these lines as sent to each recipient.
    void reserve(Proxies& proxies, const std::vector<ProxyId>& recipients, double lines);
    /// Ends the batch. False: nothing was reserved, and its version is not used.
    bool commit_batch(Micros now, Proxies& proxies);

    /// The version of the batch.
    int next_version() const;

    /// The version of the last batch that sent something.
    int version() const { return version_; }

    /// A proxy has applied all up to `version`. Its lines leave the queue; while no lines are
    /// lost, so do the lines of all proxies that were sent under earlier versions.
    void on_acknowledged(Micros now, const event::ConfigAcknowledged& acknowledged,
                         Proxies& proxies);
    /// A proxy's connection broke. Its unacknowledged lines are counted as lost and leave the
    /// estimated queue; as many newer lines go on counting there after their acknowledgement.
    void on_disconnected(Proxy& proxy);

    ChannelEstimate estimate() const {
        return {queued_lines_, unacknowledged_lines_, last_acknowledgement_delay_};
    }

private:
    /// Whether acknowledgements stay away for longer than a slow channel explains.
    bool acknowledgements_overdue(Micros now) const;
    /// Whether the queue is so long that all but the urgent waits.
    bool exceeds_target_queue(Micros now, Priority priority) const;
    bool within_message_limit(Micros now, const Proxy& proxy, Priority priority) const;
    /// Lines of the message to this proxy under the newest version, its head included.
    double last_message_lines(const Proxy& proxy) const;
    /// Takes off the lines up to this version: acknowledged, or lost with the connection.
    void remove_unacknowledged(Proxy& proxy, int up_to_version, bool acknowledged);

    double lines_per_second_;
    double header_lines_;
    double max_queued_lines_;
    /// Only what is urgent is sent while more lines are queued.
    double target_queued_lines_;
    int max_messages_;
    Micros messages_bucket_width_;

    int version_ = 0;
    /// The newest version that proves all before it.
    int acknowledged_version_ = 0;
    /// The version at which lines were first lost.
    int version_at_loss_ = 0;
    Micros queue_updated_at_;
    double queued_lines_ = 0;
    double unacknowledged_lines_ = 0;
    double lost_lines_ = 0;
    /// Lines that may have passed older ones since lines were lost.
    double reordered_lines_ = 0;
    Micros last_acknowledgement_delay_{};
    bool any_acknowledged_ = false;
    /// When the last acknowledgement came, or the first lines were sent that wait for one.
    Micros acknowledgement_awaited_since_{};
    double largest_message_lines_ = 0;
    Micros max_network_delay_;
    /// Who gets a message in this batch.
    std::set<ProxyId> batch_recipients_;
};

/// Whether a proxy has not acknowledged all up to this version.
bool has_unacknowledged(const Proxy& proxy, int up_to_version);

}  // namespace badgergrade::policy
