#include "edge/crash_report.hpp"

#include "edge/decision_log.hpp"

#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <ctime>
#include <string_view>

namespace waxwinglb::edge {
namespace {

constexpr std::size_t max_line = 2'048;  // bytes
constexpr std::size_t max_process = 128; // bytes of the process's name
constexpr int max_frames = 32;
constexpr std::array reported_signals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

/// What the handler needs; written before any signal is handled, since a handler takes no argument.
struct report_state {
    std::array<char, max_process> process{}; // ends with a zero
    std::uintptr_t program_start = 0;        // where the program's image is loaded
};
report_state state;
thread_local const char* thread_name = "";

/// A line in a buffer of fixed size; what does not fit is left out.
class fixed_line {
public:
    fixed_line& text(std::string_view piece) {
        const std::size_t count = std::min(piece.size(), buffer_.size() - size_);
        std::copy_n(piece.data(), count, buffer_.data() + size_);
        size_ += count;
        return *this;
    }
    fixed_line& number(std::uint64_t value, int base = 10) {
        const auto end = std::to_chars(buffer_.data() + size_, buffer_.data() + buffer_.size(), value, base);
        if (end.ec == std::errc{})
            size_ = static_cast<std::size_t>(end.ptr - buffer_.data());
        return *this;
    }
    [[nodiscard]] const char* data() const { return buffer_.data(); }
    [[nodiscard]] std::size_t size() const { return size_; }

private:
    std::array<char, max_line> buffer_{};
    std::size_t size_ = 0;
};

const char* name_of(int signal_number) {
    switch (signal_number) {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGILL:
        return "SIGILL";
    case SIGFPE:
        return "SIGFPE";
    default:
        return "SIGABRT";
    }
}

std::uint64_t unix_ms() {
    timespec at{};
    clock_gettime(CLOCK_REALTIME, &at);
    return static_cast<std::uint64_t>(at.tv_sec) * 1'000 + static_cast<std::uint64_t>(at.tv_nsec) / 1'000'000;
}

void add_frames(fixed_line& line) {
    std::array<void*, max_frames> frames{};
    const int count = backtrace(frames.data(), max_frames);
    for (int index = 0; index < count; ++index) {
        const auto at = reinterpret_cast<std::uintptr_t>(frames[static_cast<std::size_t>(index)]);
        line.text(index == 0 ? "\"0x" : ",\"0x").number(at - state.program_start, 16).text("\"");
    }
}

void write_line(const fixed_line& line) {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
        return;
    // Nothing is left to do about a line that can't be written.
    [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
}

void handle(int signal_number, siginfo_t* info, void* /*context*/) {
    fixed_line line;
    line.text("{\"unix_ms\":").number(unix_ms());
    line.text(",\"process\":\"").text(state.process.data());
    line.text("\",\"event\":\"").text(events::process_crashed);
    line.text("\",\"subject\":\"").text(name_of(signal_number));
    line.text("\",\"thread\":\"").text(thread_name);
    line.text("\",\"address\":\"0x").number(reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
    line.text("\",\"frames\":[");
    add_frames(line);
    line.text("]}\n");
    write_line(line);
    std::signal(signal_number, SIG_DFL);
    std::raise(signal_number); // ends the process once this handler returns
}

/// The program is the first image that the loader lists.
int note_program_start(dl_phdr_info* image, std::size_t /*size*/, void* /*data*/) {
    state.program_start = image->dlpi_addr;
    return 1;
}

constexpr bool sanitizer_reports() {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    return true;
#else
    return false;
#endif
}

} // namespace

void report_crashes(const std::string& process) {
    if (sanitizer_reports())
        return;
    process.copy(state.process.data(), max_process - 1);
    std::replace_if(
        state.process.begin(), state.process.end(),
        [](char letter) { return letter == '"' || letter == '\\'; }, '_');
    dl_iterate_phdr(&note_program_start, nullptr);
    std::array<void*, 1> first{};
    backtrace(first.data(), 1); // loads the unwinder, which allocates
    struct sigaction action {};
    action.sa_sigaction = &handle;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK;
    for (const int signal_number : reported_signals)
        sigaction(signal_number, &action, nullptr);
}

crash_reported_thread::crash_reported_thread(const char* name) {
    thread_name = name;
    stack_t own{};
    own.ss_sp = stack_.data();
    own.ss_size = stack_.size();
    sigaltstack(&own, nullptr);
}

crash_reported_thread::~crash_reported_thread() {
    stack_t none{};
    none.ss_flags = SS_DISABLE;
    sigaltstack(&none, nullptr);
}

} // namespace waxwinglb::edge
