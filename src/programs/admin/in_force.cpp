#include "programs/admin/in_force.hpp"

#include "programs/admin/answers.hpp"

#include <nlohmann/json.hpp>

namespace waxwinglb::programs::admin {

using nlohmann::json;

void in_force_pages::ask(const edge::exchange_ptr& exchange, std::int64_t revision) {
    const std::uint64_t number = ++last_question_;
    question one{exchange, revision, stewards_.size(), {}, {}};
    if (stewards_.empty())
        return answer(one);
    questions_.emplace(number, std::move(one));
    for (const std::string& steward : stewards_) {
        edge::client_request request;
        request.url = "http://" + steward + "/in-force";
        request.timeout = steward_page_timeout;
        client_.send(std::move(request), [this, number, steward](edge::client_result&& result) {
            events_.push(event{steward_page_event{number, steward, std::move(result)}});
        });
    }
}

void in_force_pages::take(const steward_page_event& page) {
    const auto found = questions_.find(page.question);
    if (found == questions_.end())
        return;
    add_page(found->second, page);
    if (--found->second.open > 0)
        return;
    answer(found->second);
    questions_.erase(found);
}

void in_force_pages::add_page(question& one, const steward_page_event& page) {
    const json body = json::parse(page.result.body, nullptr, false);
    if (page.result.outcome != edge::client_outcome::answered || page.result.status != 200 ||
        !body.is_object()) {
        one.silent.push_back(page.steward);
        return;
    }
    for (const json& process : body.value("processes", json::array())) {
        if (!process.is_object())
            continue;
        const std::string name = process.value("process", std::string{});
        const applied said{process.value("revision", std::int64_t{0}),
                           process.value("since_ms", std::int64_t{0}), page.steward};
        // A process that moved to another steward is named by both; its newest report counts.
        auto [known, added] = one.processes.emplace(name, said);
        if (!added && said.revision >= known->second.revision)
            known->second = said;
    }
}

void in_force_pages::answer(const question& one) {
    json processes = json::array();
    json lacking = json::array();
    for (const auto& [name, said] : one.processes) {
        const json line{{"process", name},
                        {"revision", said.revision},
                        {"since_ms", said.since_ms},
                        {"steward", said.steward}};
        processes.push_back(line);
        if (said.revision < one.revision)
            lacking.push_back(line);
    }
    const std::size_t applied = processes.size() - lacking.size();
    respond_json(one.exchange, 200,
                 {{"revision", one.revision},
                  {"live", processes.size()},
                  {"applied", applied},
                  {"lacking", std::move(lacking)},
                  {"silent_stewards", one.silent},
                  {"processes", std::move(processes)}});
}

} // namespace waxwinglb::programs::admin
