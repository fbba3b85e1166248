/// Writes one line of the decision log when the process ends by a signal of its own: which signal, on which
/// thread, at which places of the program. The line is written from the signal handler, so it neither
/// allocates nor locks, and it is left out if standard output does not take it at once.
///
/// `addr2line -Cfie PROGRAM FRAME` turns a frame into a function and a line of its source.
#pragma once

#include <array>
#include <cstddef>
#include <string>

namespace waxwinglb::edge {

/// Reports the end of this process by SIGSEGV, SIGBUS, SIGILL, SIGFPE or SIGABRT. Call once, from main.
/// No effect in builds with a sanitizer, which report these signals themselves.
void report_crashes(const std::string& process);

/// Names the calling thread in such a line, and gives it a stack for the handler, so that the overflow of its
/// own stack is reported too. Lives in the thread's outermost function.
class crash_reported_thread {
public:
    explicit crash_reported_thread(const char* name); // `name` must outlive the thread
    ~crash_reported_thread();
    crash_reported_thread(const crash_reported_thread&) = delete;
    crash_reported_thread& operator=(const crash_reported_thread&) = delete;
    crash_reported_thread(crash_reported_thread&&) = delete;
    crash_reported_thread& operator=(crash_reported_thread&&) = delete;

private:
    static constexpr std::size_t stack_size = 64U << 10U; // bytes; collecting the frames takes about 8 KB
    alignas(std::max_align_t) std::array<char, stack_size> stack_;
};

} // namespace waxwinglb::edge
