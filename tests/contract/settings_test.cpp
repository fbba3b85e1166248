// Contract tests of settings files: all faults of a file are reported at once, each with line, path and
// expected form.
#include "edge/settings.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>

using namespace waxwinglb;
using namespace std::chrono_literals;

namespace {

/// Writes `text` to a file that is removed with this object.
struct temporary_file {
    explicit temporary_file(const std::string& text) : path(testing::TempDir() + "waxwing_settings_XXXXXX") {
        const int handle = ::mkstemp(path.data());
        EXPECT_GE(handle, 0);
        std::ofstream{path} << text;
    }
    ~temporary_file() { std::remove(path.c_str()); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    temporary_file(temporary_file&&) = delete;
    temporary_file& operator=(temporary_file&&) = delete;
    std::string path;
};

struct sample {
    std::string name;
    std::string listen;
    core::common::milliseconds term{0};
    std::int64_t memory = 0;
    std::int64_t shards = 0;
    std::vector<std::string> stewards;
};

std::vector<edge::settings_fault> load(const std::string& text, sample& out) {
    const temporary_file file{text};
    return edge::settings_file::load(file.path, [&](edge::settings_section& top) {
        out.name = top.text("name");
        out.listen = top.address("listen");
        out.term = top.duration("term", 3s);
        out.memory = top.bytes("memory", 0);
        out.shards = top.integer("shards", 1, 1024, 16);
        out.stewards = top.addresses("stewards");
    });
}

} // namespace

TEST(settings, good_file_is_read) {
    sample out;
    EXPECT_TRUE(
        load("name: a\nlisten: 127.0.0.1:80\nterm: 250ms\nmemory: 80GB\nstewards: [127.0.0.1:1]\n", out)
            .empty());
    EXPECT_EQ(out.term, 250ms);
    EXPECT_EQ(out.memory, 80'000'000'000);
    EXPECT_EQ(out.shards, 16);
    EXPECT_EQ(out.stewards, std::vector<std::string>{"127.0.0.1:1"});
}

TEST(settings, every_fault_is_reported_at_its_line) {
    struct fault_case {
        const char* text;
        int line;
        const char* path;
    };
    const std::vector<fault_case> cases{
        {"listen: 127.0.0.1:80", 1, "name"},
        {"name: a\nlisten: nowhere", 2, "listen"},
        {"name: a\nlisten: 127.0.0.1:80\nterm: 3 parsecs", 3, "term"},
        {"name: a\nlisten: 127.0.0.1:80\nmemory: -1GB", 3, "memory"},
        {"name: a\nlisten: 127.0.0.1:80\nshards: 0", 3, "shards"},
        {"name: a\nlisten: 127.0.0.1:80\ncolour: red", 3, "colour"},
        {"name: a\nlisten: 127.0.0.1:80\nname: b", 3, "name"},
        {"name: a\nlisten: 127.0.0.1:80\nstewards: [127.0.0.1:1, 127.0.0.1:1]", 3, "stewards[1]"},
        {"name: [a]\nlisten: 127.0.0.1:80", 1, "name"},
    };
    for (const auto& example : cases) {
        sample out;
        const auto faults = load(example.text, out);
        ASSERT_EQ(faults.size(), 1U) << example.text;
        EXPECT_EQ(faults[0].line, example.line) << example.text;
        EXPECT_EQ(faults[0].path, example.path) << example.text;
        EXPECT_FALSE(faults[0].expected.empty()) << example.text;
    }
}

TEST(settings, all_faults_are_reported_at_once) {
    sample out;
    EXPECT_EQ(load("term: x\nmemory: y\nshards: z\n", out).size(), 5U);
}

TEST(settings, file_with_a_document_start_that_breaks_off_is_incomplete) {
    const std::string whole = "---\nname: a\nlisten: 127.0.0.1:80\nshards: 128\n...";
    sample out;
    EXPECT_TRUE(load(whole, out).empty());
    EXPECT_TRUE(load(whole + "\n", out).empty());
    for (std::size_t size = 0; size < whole.size(); ++size)
        EXPECT_FALSE(load(whole.substr(0, size), out).empty()) << size;
}

TEST(settings, a_malformed_or_missing_file_is_a_fault) {
    sample out;
    EXPECT_EQ(load("name: [a\n", out).size(), 1U);
    EXPECT_EQ(edge::settings_file::load("/nonexistent/file.yaml", [](edge::settings_section&) {}).size(), 1U);
}
