/// Faults that a test injects with POST /faults; the stand-in applies them to matching calls.
#pragma once

#include "core/common/time.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::standins {

struct fault {
    std::string kind;                    // each stand-in documents its kinds
    std::string match;                   // applies to subjects that contain this text; empty: all
    int count = 1;                       // calls that it still applies to; negative: unlimited
    core::common::milliseconds delay{0}; // meaning depends on the kind
};

class fault_table {
public:
    /// Adds a fault from JSON {kind, match, count, delay_ms}; returns false if `body` is malformed.
    bool add(const std::string& body) {
        const auto parsed = nlohmann::json::parse(body, nullptr, false);
        if (!parsed.is_object() || !parsed.contains("kind") || !parsed["kind"].is_string())
            return false;
        fault added;
        added.kind = parsed["kind"].get<std::string>();
        added.match = parsed.value("match", std::string{});
        added.count = parsed.value("count", 1);
        added.delay = core::common::milliseconds{parsed.value("delay_ms", std::int64_t{0})};
        faults_.push_back(std::move(added));
        return true;
    }
    void clear() { faults_.clear(); }

    /// Returns the first fault of `kind` that matches `subject`, and uses up one of its applications.
    std::optional<fault> take(const std::string& kind, const std::string& subject) {
        for (auto entry = faults_.begin(); entry != faults_.end(); ++entry) {
            if (entry->kind != kind || subject.find(entry->match) == std::string::npos)
                continue;
            fault taken = *entry;
            if (entry->count > 0 && --entry->count == 0)
                faults_.erase(entry);
            return taken;
        }
        return std::nullopt;
    }

private:
    std::vector<fault> faults_;
};

} // namespace waxwinglb::standins
