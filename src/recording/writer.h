// Writes a recording in bounded memory. Records are gathered into blocks; a thread of its own packs
// and writes them, so that a slow disk does not hold up the loop. When too many blocks wait, whole
// blocks are lost: counted, and told in the next block that is written.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>

#include "badgergrade/recording/v1/recording.pb.h"
#include "base/clock.h"

namespace badgergrade::recording {

using base::Micros;
namespace pb = badgergrade::recording::v1;

inline constexpr std::uint32_t kFormat = 1;

// Where the bytes go; called from the writer's thread alone.
class Sink {
public:
    virtual ~Sink() = default;
    // False where the bytes can't be had there any more (disk full); `why` says so.
    virtual bool write(std::string_view bytes, std::string& why) = 0;
};

struct WriteError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Throws WriteError when the file can't be made.
std::unique_ptr<Sink> open_file_sink(const std::string& path);

// The earliest and the latest time in a block; a clock may have gone back in it.
struct TimeRange {
    Micros first{}, last{};
};

TimeRange time_range_of(const pb::Block& block);

// Each record with its time, and a name by its number (empty for 0 and for a number that the block
// does not hold).
template <class Take>
void for_each_record(const pb::Block& block, const Take& take) {
    Micros at(block.first_us());
    for (const auto& record : block.records()) {
        take(at += Micros(record.after_us()), record);
    }
}

std::string name_at(const pb::Block& block, std::uint32_t number);

enum class WhenFull { Drop, Wait };

struct WriterOptions {
    std::size_t target_block_bytes = 192 << 10;  // about; a block is closed past this
    Micros max_block_duration = std::chrono::seconds(5);
    std::size_t max_queued_blocks = 32;
    WhenFull when_full = WhenFull::Drop;
    int compression_level = 3;  // zstd's
};

struct WriterStats {
    std::uint64_t records = 0, blocks = 0, bytes = 0, lost_records = 0;
    std::string error;  // why writing ended, where it did
};

class Writer {
public:
    // Times of records count from header.begin_us.
    Writer(std::unique_ptr<Sink> sink, const pb::Header& header, WriterOptions options = {});
    ~Writer();  // finishes
    Writer(const Writer&) = delete;

    // A new record at this time of the clock, to be filled before the next call.
    pb::Record& add(Micros now);
    // The number of a name in the block of the last record.
    std::uint32_t name(std::string_view text);

    // The number of the last invocation that came in the block of the last record; for differences.
    std::int64_t& last_invocation_id() { return last_id_; }

    // Closes the open block, so that all until now will be written.
    void flush();
    // Writes what is left and the index, and waits for it.
    void finish();
    WriterStats stats() const;

private:
    void close_block();
    void put(std::unique_ptr<pb::Block> block, WhenFull when_full);
    void run();
    bool write(std::string_view bytes);
    void write_block(const pb::Block& block);

    std::unique_ptr<Sink> sink_;
    WriterOptions options_;
    Micros begin_;
    // The loop's side.
    std::unique_ptr<pb::Block> open_;
    std::map<std::string, std::uint32_t, std::less<>> names_;
    Micros last_{};
    std::size_t size_ = 0;
    std::int64_t last_id_ = 0;
    std::uint64_t lost_ = 0;  // not told in a block yet
    Micros lost_from_{};
    bool finished_ = false;
    // The thread's side.
    pb::Index index_;
    std::uint64_t at_ = 0;
    // Between them.
    mutable std::mutex mutex_;
    std::condition_variable more_, room_;
    std::deque<std::unique_ptr<pb::Block>> waiting_;
    bool ending_ = false;
    WriterStats stats_;
    std::thread thread_;
};

}  // namespace badgergrade::recording
