#include "core/limits/shares.hpp"

#include "core/limits/bucket.hpp"

#include <algorithm>

namespace waxwinglb::core::limits {

using nlohmann::json;

std::optional<shares> shares::decode(const json& value) {
    shares out;
    if (value.is_null())
        return out;
    if (!value.is_array())
        return std::nullopt;
    double sum = 0;
    for (const json& item : value) {
        if (!item.is_object())
            return std::nullopt;
        try {
            predecessor entry{item.at("holder").get<std::string>(), item.at("vm").get<std::string>(),
                              item.at("boot").get<std::int64_t>(), item.at("fencing").get<std::int64_t>(),
                              item.at("share").get<double>()};
            if (!(entry.share >= 0 && entry.share <= 1))
                return std::nullopt;
            sum += entry.share;
            out.predecessors_.push_back(std::move(entry));
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }
    if (sum > 1)
        return std::nullopt;
    return out;
}

json shares::encode() const {
    json out = json::array();
    for (const predecessor& item : predecessors_)
        out.push_back({{"holder", item.holder},
                       {"vm", item.vm},
                       {"boot", item.boot},
                       {"fencing", item.fencing},
                       {"share", item.share}});
    return out;
}

shares shares::after(predecessor last, bool stopped) const {
    shares next = *this;
    if (stopped)
        return next;
    last.share = share(false);
    next.predecessors_.push_back(std::move(last));
    return next;
}

void shares::confirm_stopped(const std::string& holder, std::int64_t boot, common::time_point now) {
    for (const stop& known : stops_)
        if (known.holder == holder && known.boot == boot)
            return;
    stops_.push_back({holder, boot, now});
}

std::optional<shares> shares::without_lapsed(common::time_point now) const {
    shares next = *this;
    std::erase_if(next.predecessors_, [&](const predecessor& item) {
        return std::any_of(stops_.begin(), stops_.end(), [&](const stop& seen) {
            return seen.holder == item.holder && seen.boot == item.boot &&
                   now - seen.at >= grant_term + lapse_margin;
        });
    });
    if (next.predecessors_.size() == predecessors_.size())
        return std::nullopt;
    return next;
}

double shares::share(bool lease_valid) const {
    double left = 1;
    for (const predecessor& item : predecessors_)
        left -= item.share;
    left = std::max(left, 0.0);
    return lease_valid ? left : left / 2;
}

} // namespace waxwinglb::core::limits
