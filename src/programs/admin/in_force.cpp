#include "programs/admin/in_force.hpp"

#include "programs/admin/answers.hpp"

#include <nlohmann/json.hpp>

namespace waxwinglb::programs::admin {

using nlohmann::json;

void in_force_pages::query_stewards(const edge::exchange_ptr& exchange, std::int64_t revision) {
    const std::uint64_t number = ++last_query_;
    query current{exchange, revision, stewards_.size(), {}, {}};
    if (stewards_.empty())
        return answer(current);
    queries_.emplace(number, std::move(current));
    for (const std::string& steward : stewards_) {
        edge::client_request request;
        request.url = "http://" + steward + "/in-force";
        request.timeout = steward_page_timeout;
        client_.send(std::move(request), [this, number, steward](edge::client_result&& result) {
            events_.push(event{steward_page_event{number, steward, std::move(result)}});
        });
    }
}

void in_force_pages::handle(const steward_page_event& page) {
    const auto found = queries_.find(page.query);
    if (found == queries_.end())
        return;
    add_page(found->second, page);
    if (--found->second.pending_pages > 0)
        return;
    answer(found->second);
    queries_.erase(found);
}

void in_force_pages::add_page(query& current, const steward_page_event& page) {
    const json body = json::parse(page.result.body, nullptr, false);
    if (page.result.outcome != edge::client_outcome::answered || page.result.status != 200 ||
        !body.is_object()) {
        current.silent.push_back(page.steward);
        return;
    }
    for (const json& process : body.value("processes", json::array())) {
        if (!process.is_object())
            continue;
        const std::string name = process.value("process", std::string{});
        const applied_report report{process.value("revision", std::int64_t{0}),
                                    process.value("since_ms", std::int64_t{0}), page.steward};
        // Both stewards list a process that moved between them; the newest revision counts.
        auto [known, added] = current.processes.emplace(name, report);
        if (!added && report.revision >= known->second.revision)
            known->second = report;
    }
}

void in_force_pages::answer(const query& current) {
    json processes = json::array();
    json lacking = json::array();
    for (const auto& [name, report] : current.processes) {
        const json line{{"process", name},
                        {"revision", report.revision},
                        {"since_ms", report.since_ms},
                        {"steward", report.steward}};
        processes.push_back(line);
        if (report.revision < current.revision)
            lacking.push_back(line);
    }
    const std::size_t applied = processes.size() - lacking.size();
    respond_json(current.exchange, 200,
                 {{"revision", current.revision},
                  {"live", processes.size()},
                  {"applied", applied},
                  {"lacking", std::move(lacking)},
                  {"silent_stewards", current.silent},
                  {"processes", std::move(processes)}});
}

} // namespace waxwinglb::programs::admin
