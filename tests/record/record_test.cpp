// Files of recordings: what is written is read, and what is cut, damaged, lost or foreign is told
// apart and told. A program of its own, since it alone has threads and is built under the thread
// sanitizer as well.
#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <random>
#include <sstream>

#include "recording/reader.h"
#include "temporary_directory.h"

namespace badgergrade::recording {
namespace {

using namespace std::chrono_literals;

using test::TemporaryDirectory;

std::string bytes_of(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

void put_bytes(const std::string& path, std::string_view bytes) {
    std::ofstream(path, std::ios::binary)
        .write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
}

pb::Header header() {
    pb::Header out;
    out.set_made_by("test");
    out.set_begin_us(1000000);
    return out;
}

// Any message with any content, by its own description.
void fill(google::protobuf::Message& message, std::mt19937_64& chance, int depth = 0) {
    using Field = google::protobuf::FieldDescriptor;
    const auto* kind = message.GetDescriptor();
    const auto* reflection = message.GetReflection();
    const auto number = [&] {
        return static_cast<std::int64_t>(chance() >> (chance() % 64)) * (chance() % 2 ? 1 : -1);
    };
    for (int k = 0; k < kind->field_count(); ++k) {
        const Field* field = kind->field(k);
        if (chance() % 3 == 0) {
            continue;
        }
        const int times = field->is_repeated() ? static_cast<int>(chance() % 4) : 1;
        for (int n = 0; n < times; ++n) {
            const bool many = field->is_repeated();
            switch (field->cpp_type()) {
                case Field::CPPTYPE_INT32:
                    many ? reflection->AddInt32(&message, field, static_cast<int>(number()))
                         : reflection->SetInt32(&message, field, static_cast<int>(number()));
                    break;
                case Field::CPPTYPE_INT64:
                    many ? reflection->AddInt64(&message, field, number())
                         : reflection->SetInt64(&message, field, number());
                    break;
                case Field::CPPTYPE_UINT32:
                    many ? reflection->AddUInt32(&message, field,
                                                 static_cast<std::uint32_t>(chance()))
                         : reflection->SetUInt32(&message, field,
                                                 static_cast<std::uint32_t>(chance()));
                    break;
                case Field::CPPTYPE_UINT64:
                    many ? reflection->AddUInt64(&message, field, chance())
                         : reflection->SetUInt64(&message, field, chance());
                    break;
                case Field::CPPTYPE_DOUBLE:
                    many
                        ? reflection->AddDouble(&message, field, static_cast<double>(number()) / 7)
                        : reflection->SetDouble(&message, field, static_cast<double>(number()) / 7);
                    break;
                case Field::CPPTYPE_BOOL:
                    many ? reflection->AddBool(&message, field, chance() % 2)
                         : reflection->SetBool(&message, field, chance() % 2);
                    break;
                case Field::CPPTYPE_STRING: {
                    const std::string text(chance() % 20, static_cast<char>('a' + chance() % 26));
                    many ? reflection->AddString(&message, field, text)
                         : reflection->SetString(&message, field, text);
                    break;
                }
                case Field::CPPTYPE_MESSAGE:
                    if (depth < 4) {
                        fill(many ? *reflection->AddMessage(&message, field)
                                  : *reflection->MutableMessage(&message, field),
                             chance, depth + 1);
                    }
                    break;
                default:
                    FAIL() << field->full_name();
            }
        }
    }
}

// Writes records, each `step` after the one before; returns them with their times.
std::vector<std::pair<Micros, std::string>> write(Writer& writer, int count, Micros step,
                                                  std::uint64_t seed) {
    std::mt19937_64 chance(seed);
    std::vector<std::pair<Micros, std::string>> out;
    Micros now = 1s;
    for (int n = 0; n < count; ++n) {
        pb::Record any;
        fill(any, chance);
        any.clear_after_us();
        pb::Record& record = writer.add(now);
        const auto after = record.after_us();
        record.MergeFrom(any);
        record.set_after_us(after);
        writer.name("name-" + std::to_string(chance() % 50));
        out.emplace_back(now - 1s, any.SerializeAsString());
        now += step;
    }
    writer.finish();
    return out;
}

std::vector<std::pair<Micros, std::string>> read_all(Reader& reader) {
    std::vector<std::pair<Micros, std::string>> out;
    reader.for_each_block(Micros::min(), Micros::max(), [&](const pb::Block& block) {
        Micros at(block.first_us());
        for (auto record : block.records()) {
            at += Micros(record.after_us());
            record.clear_after_us();
            out.emplace_back(at, record.SerializeAsString());
        }
    });
    return out;
}

WriterOptions small_blocks() {
    WriterOptions out;
    out.target_block_bytes = 400;
    out.when_full = WhenFull::Wait;
    return out;
}

// Recordings of many lengths are written and read back. All records must come back in order, by the
// index and by a scan.
TEST(Record, WhatIsWrittenIsRead) {
    const TemporaryDirectory folder;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto path = folder.file("a");
        Writer writer(open_file_sink(path), header(), small_blocks());
        const auto written =
            write(writer, static_cast<int>(seed * 7 % 200), Micros(seed * 1000), seed);
        Reader reader(path);
        ASSERT_TRUE(reader.is_complete());
        ASSERT_EQ(read_all(reader), written) << "seed " << seed;
        EXPECT_TRUE(reader.damage().empty());
        const auto by_index = reader.blocks().size();
        reader.scan();
        EXPECT_EQ(reader.blocks().size(), by_index);
        EXPECT_TRUE(reader.damage().empty());
    }
}

// The process dies or the disk fills up in the middle of a write: the file is cut at every possible
// byte. All whole blocks before the cut must be read, and the damage be reported.
TEST(Record, CutAtEveryByteIsGoodToItsLastWholeBlock) {
    const TemporaryDirectory folder;
    Writer writer(open_file_sink(folder.file("whole")), header(), small_blocks());
    const auto written = write(writer, 40, 1ms, 3);
    const std::string whole = bytes_of(folder.file("whole"));
    Reader all(folder.file("whole"));
    ASSERT_GT(all.blocks().size(), 2u);
    const auto ends_at = [&](std::size_t block) {
        return block + 1 < all.blocks().size() ? all.blocks()[block + 1].offset : whole.size();
    };
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        put_bytes(folder.file("cut"), std::string_view(whole).substr(0, cut));
        if (cut < all.blocks()[0].offset) {
            EXPECT_THROW(Reader(folder.file("cut")), std::runtime_error) << cut;
            continue;
        }
        Reader reader(folder.file("cut"));
        std::size_t good = 0;
        while (good + 1 < all.blocks().size() && ends_at(good) <= cut) {
            ++good;
        }
        // The last one ends where the index begins.
        ASSERT_GE(reader.blocks().size(), good) << cut;
        ASSERT_FALSE(reader.is_complete()) << cut;
        ASSERT_FALSE(reader.damage().empty()) << cut;
        const auto got = read_all(reader);
        ASSERT_TRUE(std::equal(got.begin(), got.end(), written.begin())) << cut;
    }
}

// One byte of the file is flipped, each in turn. At most the block with that byte may be lost, and
// the damage must name its place.
TEST(Record, AFlippedByteCostsItsBlockAloneAndIsNamed) {
    const TemporaryDirectory folder;
    Writer writer(open_file_sink(folder.file("whole")), header(), small_blocks());
    const auto written = write(writer, 40, 1ms, 3);
    const std::string whole = bytes_of(folder.file("whole"));
    Reader all(folder.file("whole"));
    const auto& places = all.blocks();
    for (std::size_t at = places[0].offset; at < whole.size(); ++at) {
        std::string bad = whole;
        bad[at] = static_cast<char>(bad[at] ^ 0x10);
        put_bytes(folder.file("bad"), bad);
        Reader reader(folder.file("bad"));
        reader.scan();
        std::size_t hit = 0;
        while (hit + 1 < places.size() && places[hit + 1].offset <= at) {
            ++hit;
        }
        ASSERT_FALSE(reader.damage().empty()) << at;
        ASSERT_GE(reader.blocks().size() + 1, places.size()) << at;
        if (reader.blocks().size() < places.size()) {
            ASSERT_EQ(reader.damage().front().offset, places[hit].offset) << at;
        }
        for (std::size_t k = 0; k < reader.blocks().size(); ++k) {
            EXPECT_NO_THROW(reader.read(k));
        }
    }
}

// A file has an unknown format, is no recording, or is missing: it must be refused. A record of an
// unknown kind must be skipped.
TEST(Record, OtherFormatsAreRefusedAndUnknownRecordsSkipped) {
    const TemporaryDirectory folder;
    for (const std::uint32_t format : {0u, kFormat + 1}) {
        pb::Header other = header();
        other.set_format(format);
        put_bytes(folder.file("other"),
                  pack_frame(FrameKind::Header, other.SerializeAsString(), 3));
        try {
            Reader reader(folder.file("other"));
            FAIL() << "read format " << format;
        } catch (const std::runtime_error& wrong) {
            EXPECT_NE(std::string(wrong.what()).find("format " + std::to_string(format)),
                      std::string::npos)
                << wrong.what();
        }
    }
    put_bytes(folder.file("text"), "[governor]\nid = governor-0\n");
    EXPECT_THROW(Reader(folder.file("text")), std::runtime_error);
    EXPECT_THROW(Reader(folder.file("missing")), std::runtime_error);
    // A record of a kind that is not known yet (field 99).
    pb::Record later;
    ASSERT_TRUE(later.ParseFromString(std::string("\x08\x02\x9a\x06\x02hi", 7)));
    EXPECT_EQ(later.payload_case(), pb::Record::PAYLOAD_NOT_SET);
}

// A disk that stands still until it is let go; the header passes.
class StuckSink final : public Sink {
public:
    StuckSink(std::unique_ptr<Sink> to, std::shared_future<void> go)
        : to_(std::move(to)),
          go_(std::move(go)) {}

    bool write(std::string_view bytes, std::string& why) override {
        if (++writes_ > 1) {
            go_.wait();
        }
        return to_->write(bytes, why);
    }

private:
    std::unique_ptr<Sink> to_;
    std::shared_future<void> go_;
    int writes_ = 0;
};

// The disk stands still while records come. Whole blocks are lost, the loop never waits, and the
// file must tell how many records are missing.
TEST(Record, ASlowDiskLosesWholeBlocksAndTheFileTellsHowMany) {
    const TemporaryDirectory folder;
    std::promise<void> go;
    WriterOptions options;
    options.target_block_bytes = 100;
    options.max_queued_blocks = 3;
    options.when_full = WhenFull::Drop;
    Writer writer(
        std::make_unique<StuckSink>(open_file_sink(folder.file("slow")), go.get_future().share()),
        header(), options);
    constexpr int kAll = 500;
    for (int n = 0; n < kAll; ++n) {
        writer.add(1s + Micros(n)).mutable_invocation_start()->set_id_delta(1);
    }
    writer.flush();
    EXPECT_GT(writer.stats().lost_records, 0u);
    go.set_value();
    writer.finish();
    const auto figures = writer.stats();
    EXPECT_EQ(figures.records + figures.lost_records, static_cast<std::uint64_t>(kAll));
    Reader reader(folder.file("slow"));
    std::uint64_t read = 0;
    std::uint64_t lost = 0;
    reader.for_each_block(Micros::min(), Micros::max(), [&](const pb::Block& block) {
        read += static_cast<std::uint64_t>(block.records_size());
        lost += block.lost_records();
    });
    EXPECT_EQ(read, figures.records);
    EXPECT_EQ(lost, figures.lost_records);
}

// The disk is slow and the writer may wait for it. No record may be lost.
TEST(Record, AWriterThatMayWaitLosesNothingOnASlowDisk) {
    const TemporaryDirectory folder;
    std::promise<void> go;
    WriterOptions options;
    options.target_block_bytes = 100;
    options.max_queued_blocks = 2;
    options.when_full = WhenFull::Wait;
    Writer writer(
        std::make_unique<StuckSink>(open_file_sink(folder.file("slow")), go.get_future().share()),
        header(), options);
    auto later = std::async(std::launch::async, [&] { go.set_value(); });
    for (int n = 0; n < 500; ++n) {
        writer.add(1s + Micros(n)).mutable_invocation_start()->set_id_delta(1);
    }
    writer.finish();
    EXPECT_EQ(writer.stats().records, 500u);
    EXPECT_EQ(writer.stats().lost_records, 0u);
}

class FullSink final : public Sink {
public:
    bool write(std::string_view, std::string& why) override {
        if (++writes_ < 4) {
            return true;
        }
        why = "no space left";
        return false;
    }

private:
    int writes_ = 0;
};

// The disk is full after a few writes. The recording must end with the reason, and every record be
// counted as written or lost.
TEST(Record, AFullDiskEndsTheRecordingAndCountsWhatIsLost) {
    WriterOptions options;
    options.target_block_bytes = 100;
    options.when_full = WhenFull::Wait;
    Writer writer(std::make_unique<FullSink>(), header(), options);
    for (int n = 0; n < 500; ++n) {
        writer.add(1s + Micros(n)).mutable_invocation_start()->set_id_delta(1);
    }
    writer.finish();
    const auto figures = writer.stats();
    EXPECT_EQ(figures.error, "no space left");
    EXPECT_EQ(figures.records + figures.lost_records, 500u);
    EXPECT_EQ(figures.blocks, 2u);
}

// The clock goes back while a block is open. A search by time must still find the block.
TEST(Record, AClockThatGoesBackKeepsItsBlocksFindable) {
    const TemporaryDirectory folder;
    Writer writer(open_file_sink(folder.file("back")), header(), small_blocks());
    for (const Micros at : {10s, 11s, 5s, 6s}) {
        writer.add(at).mutable_invocation_start()->set_id_delta(1);
    }
    writer.finish();
    Reader reader(folder.file("back"));
    int found = 0;
    reader.for_each_block(4s, 5s, [&](const pb::Block&) { ++found; });
    EXPECT_EQ(found, 1);
    Micros first = Micros::max();
    for (const auto& block : reader.blocks()) {
        first = std::min(first, block.first);
    }
    EXPECT_EQ(first, 4s);  // counted from the header's begin, 1 s
}

}  // namespace
}  // namespace badgergrade::recording
