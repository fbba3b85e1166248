/// Reads settings files in YAML. One pass finds every fault: unknown keys, missing fields, wrong units,
/// duplicate names and invalid values, each with file, line, path and the expected form. A file may mark the
/// start of its document by the line "---"; it must then end with the line "...", as it is incomplete
/// without.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwinglb::edge {

struct settings_fault {
    int line = 0;         // 1-based; 0: the file as a whole
    std::string path;     // e.g. "stewards[1].address"
    std::string expected; // the form that would be accepted
};

/// One mapping of a settings file. Each call reads the member `name`; members that are never read are
/// reported as unknown.
class settings_section {
public:
    std::string text(const std::string& name); // required, non-empty
    std::string text(const std::string& name, const std::string& fallback);
    std::string address(const std::string& name); // "ip:port"
    std::string address(const std::string& name, const std::string& fallback);
    std::int64_t integer(const std::string& name, std::int64_t low, std::int64_t high);
    std::int64_t integer(const std::string& name, std::int64_t low, std::int64_t high, std::int64_t fallback);
    double number(const std::string& name, double low, double high, double fallback);
    bool flag(const std::string& name, bool fallback);
    core::common::milliseconds duration(const std::string& name,
                                        core::common::milliseconds fallback); // "250ms", "3s", "10m"
    std::int64_t bytes(const std::string& name, std::int64_t fallback);       // "64MB", "80GB"
    std::vector<std::string> addresses(const std::string& name); // list of "ip:port"; may be absent
    std::vector<std::string> texts(const std::string& name);     // list of distinct strings; may be absent
    void section(const std::string& name, bool required, const std::function<void(settings_section&)>& read);
    void list(const std::string& name, const std::function<void(settings_section&)>& read);
    void fault(const std::string& name, const std::string& expected); // adds a fault found by the caller

private:
    friend class settings_file;
    struct state;
    std::shared_ptr<state> state_;
};

class settings_file {
public:
    /// Reads `path` and calls `read` with the top-level mapping; returns all faults, none if the settings are
    /// valid.
    static std::vector<settings_fault> load(const std::string& path,
                                            const std::function<void(settings_section&)>& read);
};

/// Returns one line "file:line: path: expected form" for each fault.
[[nodiscard]] std::string describe(const std::string& file, const std::vector<settings_fault>& faults);

} // namespace waxwinglb::edge
