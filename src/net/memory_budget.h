/// A common limit for the memory that the connections of a process hold: incomplete messages, parts
/// of header sections, requests that wait, and bytes that are not sent yet.
///
/// Limits of single connections don't bound the memory of a process: hundreds of peers that stop in
/// the middle of a message, each within its limit, add up. What counts is the memory that is held,
/// not the bytes on the wire, which may be far fewer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace badgergrade::net {

/// Where the limit is exceeded, the connections that hold most are closed until it is not. Used on
/// one thread.
class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    /// What one connection holds. Destroying it releases that.
    class Account {
    public:
        /// `evict` closes the connection; it destroys this account or sets it to 0. The budget must
        /// outlive the account.
        /// `measure` tells what the connection holds now: sent bytes leave it without a call of
        /// set().
        Account(MemoryBudget& budget, std::function<std::size_t()> measure,
                std::function<void()> evict);
        ~Account();
        Account(const Account&) = delete;
        Account& operator=(const Account&) = delete;

        void set(std::size_t held_bytes);

        std::size_t held_bytes() const { return held_bytes_; }

    private:
        friend class MemoryBudget;
        MemoryBudget& budget_;
        std::function<std::size_t()> measure_;
        std::function<void()> evict_;
        std::uint64_t id_;
        std::size_t held_bytes_ = 0;
    };

    /// Over the limit, measures all accounts again and evicts the largest holders until the limit
    /// is kept. Call it after set(), where connections may be closed.
    void enforce();

    std::size_t held_bytes() const { return held_bytes_; }

    std::size_t limit_bytes() const { return limit_bytes_; }

private:
    std::size_t limit_bytes_;
    std::size_t held_bytes_ = 0;
    /// By age, so that it does not depend on addresses which of several equal holders is evicted.
    std::map<std::uint64_t, Account*> accounts_;
    std::uint64_t last_account_id_ = 0;
    bool enforcing_ = false;
};

}  // namespace badgergrade::net
