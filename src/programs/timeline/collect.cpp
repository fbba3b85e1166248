#include "programs/timeline/collect.hpp"

#include "edge/http_client.hpp"

#include <fstream>
#include <future>
#include <memory>
#include <sstream>

namespace waxwinglb::programs::timeline {
namespace {

constexpr core::common::milliseconds page_timeout{5'000};

std::string read_file(const std::string& path) {
    std::ifstream in{path};
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace

collected collect(const std::vector<std::string>& addresses, const std::vector<std::string>& files) {
    edge::http_client client;
    std::vector<std::future<edge::client_result>> answers;
    for (const std::string& address : addresses) {
        auto done = std::make_shared<std::promise<edge::client_result>>();
        answers.push_back(done->get_future());
        edge::client_request request;
        request.url = "http://" + address + "/timeline";
        request.timeout = page_timeout;
        client.send(std::move(request),
                    [done](edge::client_result&& result) { done->set_value(std::move(result)); });
    }
    collected out;
    const auto add_page = [&out](const std::string& from, const std::string& text) {
        if (auto page = core::timeline::decode_page(text))
            out.pages.push_back(std::move(*page));
        else
            out.silent.push_back({from});
    };
    for (std::size_t i = 0; i < addresses.size(); ++i)
        add_page(addresses[i], answers[i].get().body);
    for (const std::string& file : files)
        add_page(file, read_file(file));
    return out;
}

} // namespace waxwinglb::programs::timeline
