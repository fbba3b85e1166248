/// Table of faults that a stand-in takes on POST /faults and applies to matching calls.
#pragma once

#include "core/common/time.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::standins {

struct fault {
    std::string kind;                    // what goes wrong; each stand-in lists its kinds
    std::string match;                   // applies to subjects that contain this; empty: all
    int count = 1;                       // how often it applies; negative: for ever
    core::common::milliseconds delay{0}; // meaning depends on the kind
};

class fault_table {
public:
    /// Adds {kind, match, count, delay_ms}; false if the body is not of that form.
    bool add(const std::string& body) {
        const auto parsed = nlohmann::json::parse(body, nullptr, false);
        if (!parsed.is_object() || !parsed.contains("kind") || !parsed["kind"].is_string())
            return false;
        fault one;
        one.kind = parsed["kind"].get<std::string>();
        one.match = parsed.value("match", std::string{});
        one.count = parsed.value("count", 1);
        one.delay = core::common::milliseconds{parsed.value("delay_ms", std::int64_t{0})};
        faults_.push_back(std::move(one));
        return true;
    }
    void clear() { faults_.clear(); }

    /// Uses up one application of the first fault of that kind which matches `subject`.
    std::optional<fault> take(const std::string& kind, const std::string& subject) {
        for (auto at = faults_.begin(); at != faults_.end(); ++at) {
            if (at->kind != kind || subject.find(at->match) == std::string::npos)
                continue;
            fault out = *at;
            if (at->count > 0 && --at->count == 0)
                faults_.erase(at);
            return out;
        }
        return std::nullopt;
    }

private:
    std::vector<fault> faults_;
};

} // namespace waxwinglb::standins
