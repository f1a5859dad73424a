// Send budget: flow control for the configuration channel. It decides how many lines may be sent to
// proxies now, from an estimate of the channel's queue.
//
// Inputs: the settings (the channel's pace in lines per second, the queue limit in lines, the
// message limit of a proxy in a time window, network delays), what was sent, acknowledgements, and
// lost connections. The unit is a line; each message also costs its header and one line for the
// acknowledgement.
//
// The queue can't be observed, so its length is estimated. It shrinks
//   - with time: the channel carries at least a twentieth of its stated pace;
//   - with an acknowledgement, which proves that everything sent before it, to any proxy, has left
//     the queue;
//   - with a lost connection: the lines that were queued for it are dropped.
// If no acknowledgement arrives for longer than even that lowest pace explains, acknowledgements
// are delayed for another reason and a quarter of the stated pace is assumed. After a connection is
// lost lines may be reordered: as many newer lines as were dropped may have passed older ones, so
// they count as queued even when acknowledged; until that many are acknowledged, an acknowledgement
// proves only the lines of its own proxy.
//
// What is sent has to pass everything that is queued before it (head-of-line blocking), so no more
// is queued than keeps the channel busy until acknowledgements show that it has room: the time of a
// round trip, by what the channel is known to carry (channel_model.h). Once it has room, one change
// may exceed that time, since a table is changed for all its users at once. What is over budget
// waits in the publisher, not in the channel.
//
// Hard limits, whatever is due: 95% of the queue limit, and the message limit of each proxy, of
// which changes that can wait may use 40%.
//
// Invariants: no proxy gets more messages in the window than the settings allow; lines count
// against the queue limit until the lowest pace, an acknowledgement or a lost connection removes
// them. docs/design.md, "Changed" 6, has the reasons.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "policy/channel_model.h"
#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace badgergrade::policy {

enum class Priority {
    Deferrable,
    Due,  ///< must reach the proxy by a time (delivery_scheduler.h)
};

/// The estimated state of the configuration channel, for logs and tests.
struct ChannelEstimate {
    /// Lines that are estimated to be queued in the channel.
    double queued_lines = 0;
    /// Lines sent to connected proxies and not acknowledged.
    double unacknowledged_lines = 0;
    /// From sending a version to its acknowledgement, for the last acknowledgement received.
    Micros last_acknowledgement_delay{};
};

/// Whether `version` was issued after `other`. Versions wrap at 65,536.
bool is_newer(int version, int other);

class SendBudget {
public:
    using Proxies = std::map<ProxyId, Proxy>;

    SendBudget(const Settings& settings, Micros now);

    /// Starts a batch: all lines reserved for a proxy until commit_batch() are one message.
    void begin_batch(Micros now);
    /// Whether the channel runs out of work before its acknowledgements could show that.
    bool has_room(Micros now) const;
    /// The time until everything that is queued now has left the channel.
    double queue_seconds(Micros now) const;
    /// The time that the channel takes for messages of this many lines in total, without their
    /// headers.
    double seconds(double lines, double messages) const;
    /// How many lines each of these proxies may be sent now, without message headers. 0 if the
    /// channel has no room, unless all of them get a message in this batch already, or if any of
    /// them may get no message now. There must be at least one recipient, and each must be in
    /// `proxies`.
    std::size_t lines_available(Micros now, const Proxies& proxies,
                                const std::vector<ProxyId>& recipients, Priority priority) const;
    /// How many lines for each of so many recipients the channel carries in this time, beside their
    /// message headers.
    std::size_t lines_within(double seconds, std::size_t recipients) const;
    /// The fewest of `lines` lines that are worth a message to each recipient: all of them,
    /// or twice the message overhead, or what an empty queue holds if that is less.
    std::size_t min_partial_lines(std::size_t lines, std::size_t recipients) const;

    /// Whether the proxy gets a message in this batch already.
    bool has_message(ProxyId id) const { return batch_recipients_.contains(id); }

    /// Counts this many lines as sent to each recipient.
    void reserve(Proxies& proxies, const std::vector<ProxyId>& recipients, double lines);
    /// Ends the batch. Returns false if nothing was reserved; the version is then not used.
    bool commit_batch(Micros now, Proxies& proxies);

    /// The version of the current batch.
    int next_version() const;

    /// The version of the last batch that sent something.
    int version() const { return version_; }

    /// A proxy has applied everything up to a version. Its lines up to that version leave the
    /// queue; so do the lines of all other proxies under earlier versions, unless lines were lost.
    void on_acknowledged(Micros now, const event::ConfigAcknowledged& acknowledged,
                         Proxies& proxies);
    /// A proxy's connection was lost. Its unacknowledged lines count as lost and leave the
    /// estimated queue; as many newer lines then stay in the estimate after their acknowledgement.
    void on_disconnected(Proxy& proxy);

    ChannelEstimate estimate() const {
        return {queued_lines_, unacknowledged_lines_, last_acknowledgement_delay_};
    }

private:
    /// Whether the next acknowledgement has taken longer than the lowest pace explains.
    bool acknowledgements_overdue(Micros now) const;
    /// Whether something that was sent before now must have been queued for some time, by its
    /// missing acknowledgement.
    bool is_busy(Micros now) const;
    /// Whether the proxy may be sent one more message in the current window.
    bool within_message_limit(Micros now, const Proxy& proxy, Priority priority) const;
    /// Messages of a batch were acknowledged, or lost.
    void remove_from_batch(int version, int messages);
    /// Forgets the oldest batches that are acknowledged.
    void forget_acknowledged_batches(Micros now);
    /// Estimate of the messages that are queued.
    double queued_messages(double lines) const;
    /// Lines of the message to this proxy under the newest version, including the overhead.
    double last_message_lines(const Proxy& proxy) const;
    /// Removes a proxy's unacknowledged lines up to this version: they were acknowledged, or lost
    /// with the connection.
    void remove_unacknowledged(Proxy& proxy, int up_to_version, bool acknowledged);

    double lines_per_second_;
    double header_lines_;
    double max_queued_lines_;
    /// With a queue of this time nothing is sent.
    double target_queue_seconds_;
    int max_messages_;
    Micros messages_bucket_width_;

    /// The version of the last batch.
    int version_ = 0;
    /// The newest acknowledged version that proved the earlier ones of all proxies.
    int acknowledged_version_ = 0;
    /// The newest version when lines were first lost.
    int version_at_loss_ = 0;
    Micros queue_updated_at_;
    double queued_lines_ = 0;
    double unacknowledged_lines_ = 0;
    double unacknowledged_messages_ = 0;
    /// Lines lost with connections, until as many newer lines are acknowledged.
    double lost_lines_ = 0;
    /// Acknowledged lines that may have passed older ones since lines were lost.
    double reordered_lines_ = 0;
    Micros last_acknowledgement_delay_{};
    bool any_acknowledged_ = false;
    /// When the last acknowledgement arrived, or the last batch began with nothing unacknowledged.
    Micros acknowledgement_awaited_since_{};
    double largest_message_lines_ = 0;
    /// Nearly no message takes longer from the channel to its proxy.
    double usual_network_delay_seconds_;
    Micros max_network_delay_;
    ChannelModel channel_;
    /// When everything sent so far has left the channel by its stated pace. Used until the first
    /// acknowledgement.
    Micros expected_empty_at_;

    /// What was sent under one version.
    struct Batch {
        int version;
        Micros sent_at;
        /// Messages that are not proven to have left the queue.
        int messages;
        /// What was queued with this batch, by the estimate.
        double queued_lines;
        double queued_messages;
    };

    /// One for each version since the oldest of which some messages may still be queued.
    std::deque<Batch> batches_;
    /// The proxies that get a message in this batch.
    std::set<ProxyId> batch_recipients_;
};

/// Whether a proxy has not acknowledged all up to this version.
bool has_unacknowledged(const Proxy& proxy, int up_to_version);

}  // namespace badgergrade::policy
