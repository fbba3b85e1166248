// Corrupt frames: the agent answers each or closes the link, and keeps serving other links.
#include "contract/agent_fixture.hpp"

#include <random>

using namespace agent_testing;

namespace {

constexpr unsigned fuzz_seed = 20261203;
constexpr int fuzz_frames = 3'000;
constexpr std::size_t length_prefix = 4;

std::vector<std::string> valid_frames() {
    wire::load_order load;
    load.model = "m1";
    load.bytes = 10;
    wire::unload_order unload;
    unload.model = "m1";
    wire::config_update update;
    update.revision = 1;
    update.entries.resize(1);
    wire::quarantine_notice notice;
    notice.entries.resize(1);
    return {edge::encode_frame(kind::run_request, 1, chat("fuzz", "a b c")),
            edge::encode_frame(kind::resume_request, 2, wire::resume_request{}),
            edge::encode_frame(kind::cancel_request, 3, wire::cancel_request{}),
            edge::encode_frame(kind::ack_request, 4, wire::ack_request{}),
            edge::encode_frame(kind::watch_target, 5, wire::watch_target{}),
            edge::encode_frame(kind::load_order, 6, load),
            edge::encode_frame(kind::unload_order, 7, unload),
            edge::encode_frame(kind::config_update, 8, update),
            edge::encode_frame(kind::config_fresh, 9, wire::config_fresh{}),
            edge::encode_frame(kind::quarantine_notice, 10, notice)};
}

/// Changes, drops or adds bytes after the length prefix, and sets the prefix to the new length.
std::string corrupt_frame(std::string frame, std::mt19937& random) {
    const auto pick = [&](std::size_t below) { return random() % below; };
    for (std::size_t i = 1 + pick(4); i > 0; --i)
        frame[length_prefix + pick(frame.size() - length_prefix)] = static_cast<char>(random());
    if (pick(4) == 0)
        frame.resize(length_prefix + 1 + pick(frame.size() - length_prefix));
    if (pick(4) == 0)
        frame.append(pick(20), static_cast<char>(random()));
    const std::size_t length = frame.size() - length_prefix;
    for (std::size_t i = 0; i < length_prefix; ++i)
        frame[i] = static_cast<char>(length >> (8 * (length_prefix - 1 - i)));
    return frame;
}

} // namespace

TEST_F(agent_with_engine, survives_corrupt_frames) {
    const auto frames = valid_frames();
    std::mt19937 random{fuzz_seed};
    constexpr int frames_per_link = 30;
    for (int i = 0; i < fuzz_frames / frames_per_link; ++i) {
        peer hostile{agent->port(), "router"};
        for (int j = 0; j < frames_per_link; ++j)
            hostile.send_bytes(corrupt_frame(frames[random() % frames.size()], random));
        hostile.flush();
    }
    peer valid_peer{agent->port(), "router"};
    valid_peer.send(kind::run_request, 1, chat("sound", "a"));
    const auto answer = collect(valid_peer, "sound"); // a corrupt order may have loaded the model
    EXPECT_TRUE(answer.refused.has_value() || answer.finished.has_value());
    EXPECT_EQ(load("m9", 10, 1LL << 62, 1LL << 62).state, "loaded");
    const json seen = audit(engine->address());
    EXPECT_EQ(seen["overcommit_attempts"], 0);
}
