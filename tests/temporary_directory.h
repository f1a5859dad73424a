// A temporary directory for the files of a test; it is removed when the test ends.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace badgergrade::test {

struct TemporaryDirectory {
    TemporaryDirectory() {
        std::string name =
            (std::filesystem::temp_directory_path() / "badgergrade-test-XXXXXX").string();
        path = mkdtemp(name.data());
    }

    ~TemporaryDirectory() { std::filesystem::remove_all(path); }

    std::string file(const std::string& name) const {
        return (std::filesystem::path(path) / name).string();
    }

    std::string path;
};

}  // namespace badgergrade::test
