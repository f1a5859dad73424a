#include "net/memory_budget.h"

#include <algorithm>
#include <utility>

namespace badgergrade::net {

MemoryBudget::Account::Account(MemoryBudget& budget, std::function<std::size_t()> measure,
                               std::function<void()> evict)
    : budget_(budget),
      measure_(std::move(measure)),
      evict_(std::move(evict)),
      id_(++budget.last_account_id_) {
    budget_.accounts_.emplace(id_, this);
}

MemoryBudget::Account::~Account() {
    set(0);
    budget_.accounts_.erase(id_);
}

void MemoryBudget::Account::set(std::size_t held_bytes) {
    budget_.held_bytes_ -= held_bytes_;
    budget_.held_bytes_ += held_bytes;
    held_bytes_ = held_bytes;
}

void MemoryBudget::enforce() {
    if (held_bytes_ <= limit_bytes_ || std::exchange(enforcing_, true)) {
        return;
    }
    for (const auto& [id, account] : accounts_) {
        account->set(account->measure_());
    }
    while (held_bytes_ > limit_bytes_) {
        const auto largest = std::ranges::max_element(
            accounts_, {}, [](const auto& entry) { return entry.second->held_bytes_; });
        const std::size_t before = held_bytes_;
        // Copied: it may destroy the account, and with it the function.
        const auto evict = largest->second->evict_;
        evict();
        if (held_bytes_ >= before) {
            break;
        }
    }
    enforcing_ = false;
}

}  // namespace badgergrade::net
