#include "recording/reader.h"

#include <algorithm>
#include <stdexcept>

namespace badgergrade::recording {

Reader::Reader(const std::string& path) : path_(path), file_(path, std::ios::binary) {
    if (!file_) {
        throw std::runtime_error(path + ": can't be read");
    }
    file_.seekg(0, std::ios::end);
    const auto end = file_.tellg();
    if (end < 0) {
        throw std::runtime_error(path + ": can't be read");
    }
    size_ = static_cast<std::uint64_t>(end);
    FrameHead head;
    std::string why;
    const auto body = frame_at(0, head, first_block_, why);
    if (!body || head.kind != FrameKind::Header || !header_.ParseFromString(*body)) {
        throw std::runtime_error(
            path + ": no recording: " + (why.empty() ? "it does not begin with a header" : why));
    }
    if (header_.format() == 0 || header_.format() > kFormat) {
        throw std::runtime_error(path + ": of format " + std::to_string(header_.format()) +
                                 "; this program reads formats 1 to " + std::to_string(kFormat));
    }
    finished_ = read_index();
    if (!finished_) {
        scan();
    }
}

std::string Reader::bytes_at(std::uint64_t at, std::size_t count) {
    if (at >= size_) {
        return {};
    }
    std::string out(static_cast<std::size_t>(std::min<std::uint64_t>(count, size_ - at)), '\0');
    file_.clear();
    file_.seekg(static_cast<std::streamoff>(at));
    file_.read(out.data(), static_cast<std::streamsize>(out.size()));
    out.resize(static_cast<std::size_t>(std::max<std::streamsize>(0, file_.gcount())));
    return out;
}

std::optional<std::string> Reader::frame_at(std::uint64_t at, FrameHead& head, std::uint64_t& next,
                                            std::string& why) {
    const std::string begin = bytes_at(at, kFrameHead);
    const auto read = read_head(begin, why);
    if (!read) {
        next = at + 1;
        return std::nullopt;
    }
    head = *read;
    next = at + kFrameHead + head.packed;
    return unpack_body(head, begin, bytes_at(at + kFrameHead, head.packed), why);
}

bool Reader::read_index() {
    if (size_ < kTrailer) {
        return false;
    }
    const auto at = read_trailer(bytes_at(size_ - kTrailer, kTrailer));
    if (!at || *at >= size_) {
        return false;
    }
    FrameHead head;
    std::uint64_t next = 0;
    std::string why;
    pb::Index index;
    const auto body = frame_at(*at, head, next, why);
    if (!body || head.kind != FrameKind::Index || !index.ParseFromString(*body)) {
        return false;
    }
    for (const auto& block : index.blocks()) {
        blocks_.push_back({block.offset(), Micros(block.first_us()), Micros(block.last_us()),
                           block.records(), block.lost_records()});
    }
    return true;
}

// Where the next frame's mark stands; the file's end where there is none.
std::uint64_t Reader::search(std::uint64_t from) {
    constexpr std::size_t kPiece = 64 << 10;
    for (std::uint64_t at = from; at < size_; at += kPiece - kFrameMark.size()) {
        const std::string piece = bytes_at(at, kPiece);
        if (const auto found = piece.find(kFrameMark); found != std::string::npos) {
            return at + found;
        }
        if (piece.size() < kPiece) {
            break;
        }
    }
    return size_;
}

void Reader::scan() {
    blocks_.clear();
    damage_.clear();
    bool ended = false;
    for (std::uint64_t at = first_block_; at < size_;) {
        FrameHead head;
        std::uint64_t next = 0;
        std::string why;
        const auto body = frame_at(at, head, next, why);
        pb::Block block;
        if (body && head.kind == FrameKind::Block && block.ParseFromString(*body)) {
            const TimeRange span = time_range_of(block);
            blocks_.push_back({at, span.first, span.last,
                               static_cast<std::uint64_t>(block.records_size()),
                               block.lost_records()});
        } else if (body && head.kind == FrameKind::Index &&
                   read_trailer(bytes_at(next, kTrailer)) == at) {
            ended = true;
            next += kTrailer;
        } else {
            damage_.push_back({at, (why.empty() ? "holds no records" : why) + ", after block " +
                                       std::to_string(blocks_.size())});
            // A head that still makes sense tells where the next frame should be; else it is looked
            // for.
            const bool leads =
                next > at + 1 && (next == size_ || bytes_at(next, kFrameMark.size()) == kFrameMark);
            if (!leads) {
                next = search(at + 1);
            }
        }
        at = next;
    }
    if (!ended) {
        damage_.push_back(
            {size_, "ends without its index: it was cut, or its writer did not end in order"});
    }
}

pb::Block Reader::read(std::size_t block) {
    FrameHead head;
    std::uint64_t next = 0;
    std::string why;
    const auto body = frame_at(blocks_.at(block).offset, head, next, why);
    pb::Block out;
    if (!body || head.kind != FrameKind::Block || !out.ParseFromString(*body)) {
        throw std::runtime_error(path_ + ": block " + std::to_string(block + 1) + " at byte " +
                                 std::to_string(blocks_[block].offset) + ": " +
                                 (why.empty() ? "holds no records" : why));
    }
    return out;
}

void Reader::for_each_block(Micros from, Micros to,
                            const std::function<void(const pb::Block&)>& take) {
    for (std::size_t k = 0; k < blocks_.size(); ++k) {
        if (blocks_[k].last < from || blocks_[k].first >= to) {
            continue;
        }
        std::optional<pb::Block> block;
        try {
            block = read(k);
        } catch (const std::runtime_error& wrong) {
            damage_.push_back({blocks_[k].offset, wrong.what()});
        }
        if (block) {
            take(*block);
        }
    }
}

}  // namespace badgergrade::recording
