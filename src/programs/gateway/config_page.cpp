#include "programs/gateway/config_page.hpp"

#include "edge/gzip.hpp"

namespace waxwinglb::programs::gateway {
namespace {

bool accepts_gzip(const edge::http_request& request) {
    const auto field = request.headers.find("accept-encoding");
    return field != request.headers.end() && field->second.find("gzip") != std::string::npos;
}

} // namespace

void config_page::change(std::string text) {
    const std::scoped_lock hold{mutex_};
    text_ = std::move(text);
    compressed_.clear();
}

void config_page::serve(const edge::exchange_ptr& exchange) {
    const std::scoped_lock hold{mutex_};
    if (text_.empty())
        return exchange->respond({503, {}, ""});
    if (!accepts_gzip(exchange->request()))
        return exchange->respond({200, {}, text_});
    if (compressed_.empty())
        compressed_ = edge::gzip(text_);
    if (compressed_.empty())
        return exchange->respond({200, {}, text_});
    exchange->respond({200, {{"Content-Encoding", "gzip"}}, compressed_});
}

} // namespace waxwinglb::programs::gateway
