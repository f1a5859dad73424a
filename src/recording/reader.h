// Reads recordings block by block, by the index or, where a file was cut or damaged, by what is
// still whole in it.
#pragma once

#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "recording/frames.h"
#include "recording/writer.h"

namespace badgergrade::recording {

struct BlockInfo {
    std::uint64_t offset = 0;
    Micros first{}, last{};
    std::uint64_t records = 0, lost_records = 0;
};

// What is wrong with a file, and where.
struct Damage {
    std::uint64_t offset = 0;
    std::string description;
};

class Reader {
public:
    // Throws std::runtime_error: not to be had, no recording, or of a newer format.
    explicit Reader(const std::string& path);

    const pb::Header& header() const { return header_; }

    std::uint64_t file_bytes() const { return size_; }

    // Its index was found whole: the recording was ended in order.
    bool is_complete() const { return finished_; }

    const std::vector<BlockInfo>& blocks() const { return blocks_; }

    // Found on opening; for a finished file only what its index shows.
    const std::vector<Damage>& damage() const { return damage_; }

    // Reads every frame, whatever the index says; the same list of damage for cut and damaged
    // files.
    void scan();

    // Throws std::runtime_error where the block is damaged.
    pb::Block read(std::size_t block);
    // All whole blocks that hold something from `from` on and before `to`, in the file's order.
    // Damaged ones go to `damage` and are left out.
    void for_each_block(Micros from, Micros to, const std::function<void(const pb::Block&)>& take);

private:
    std::string bytes_at(std::uint64_t at, std::size_t count);
    bool read_index();
    // The frame at this place; empty, and `why`, where it is not whole. `next` is where another may
    // begin.
    std::optional<std::string> frame_at(std::uint64_t at, FrameHead& head, std::uint64_t& next,
                                        std::string& why);
    std::uint64_t search(std::uint64_t from);

    std::string path_;
    std::ifstream file_;
    std::uint64_t size_ = 0, first_block_ = 0;
    pb::Header header_;
    bool finished_ = false;
    std::vector<BlockInfo> blocks_;
    std::vector<Damage> damage_;
};

}  // namespace badgergrade::recording
