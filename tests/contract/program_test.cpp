// The common start of every program: what its signal thread may touch.
#include "edge/program.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

using namespace waxwinglb;
using namespace std::chrono_literals;

namespace {

constexpr auto signal_handling_time = 200ms;

/// Runs a program that ends at once; its frames are gone afterwards.
[[gnu::noinline]] int run_short_program(const std::string& config) {
    std::string name = "short";
    std::array<char*, 3> arguments{name.data(), nullptr, nullptr};
    std::string option = "--config=" + config;
    arguments[1] = option.data();
    return edge::run_program(
        2, arguments.data(), {"short", "1", "ends at once"}, [](edge::settings_section&) {},
        [](edge::program_context&) { return edge::exit_ok; });
}

/// Bytes of the stack, as exit handlers use it, that change while a signal arrives.
[[gnu::noinline]] std::size_t bytes_changed_by_a_signal() {
    std::array<volatile char, 1U << 20U> later_frames;
    std::fill(later_frames.begin(), later_frames.end(), char{0});
    ::kill(::getpid(), SIGHUP);
    std::this_thread::sleep_for(signal_handling_time);
    return static_cast<std::size_t>(
        std::count_if(later_frames.begin(), later_frames.end(), [](char byte) { return byte != 0; }));
}

} // namespace

TEST(program, signal_after_its_end_does_not_write_to_the_stack_of_what_runs_then) {
    const auto config =
        std::filesystem::temp_directory_path() / ("short-" + std::to_string(::getpid()) + ".yaml");
    std::ofstream{config} << "{\"name\": \"short\"}\n";
    ASSERT_EQ(run_short_program(config.string()), edge::exit_ok);
    EXPECT_EQ(bytes_changed_by_a_signal(), 0U);
    std::filesystem::remove(config);
}
