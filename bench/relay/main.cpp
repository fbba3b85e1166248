// Minimal relay: the least work needed to pass bytes between a caller and a target. bench/request-cost uses
// it as the baseline for waxwing-gateway.
//
// Usage: waxwing-bench-relay LISTEN_PORT TARGET_PORT   (both on loopback; runs until killed)
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <vector>

namespace {

constexpr int backlog = 128;
constexpr std::size_t read_size = 32U << 10U; // bytes; same as in waxwing-gateway

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

void disable_nagle(int socket) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int listen_at(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(socket, backlog) != 0)
        return -1;
    return socket;
}

int connect_to(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(socket);
        return -1;
    }
    disable_nagle(socket);
    return socket;
}

/// Forwards the bytes that have arrived. Returns false if either end is closed.
bool forward(int from, int to) {
    std::array<char, read_size> bytes;
    const auto count = read(from, bytes.data(), bytes.size());
    if (count <= 0)
        return false;
    for (ssize_t sent = 0; sent < count;) {
        const auto written = write(to, bytes.data() + sent, static_cast<std::size_t>(count - sent));
        if (written <= 0)
            return false;
        sent += written;
    }
    return true;
}

} // namespace

int main(int count, char** arguments) {
    if (count != 3) {
        std::fprintf(stderr, "usage: waxwing-bench-relay LISTEN_PORT TARGET_PORT\n");
        return 2;
    }
    const int listener = listen_at(static_cast<std::uint16_t>(std::atoi(arguments[1])));
    const auto target = static_cast<std::uint16_t>(std::atoi(arguments[2]));
    if (listener < 0) {
        std::perror("waxwing-bench-relay: listen");
        return 1;
    }
    std::map<int, int> peer_of; // both ends of each pair are keys
    for (;;) {
        std::vector<pollfd> poll_set{{listener, POLLIN, 0}};
        for (const auto& [from, to] : peer_of)
            poll_set.push_back({from, POLLIN, 0});
        if (poll(poll_set.data(), poll_set.size(), -1) < 0)
            continue;
        for (const pollfd& entry : poll_set) {
            if (entry.revents == 0)
                continue;
            if (entry.fd == listener) {
                const int caller = accept(listener, nullptr, nullptr);
                const int upstream = connect_to(target);
                disable_nagle(caller);
                if (upstream < 0) {
                    close(caller);
                    continue;
                }
                peer_of[caller] = upstream;
                peer_of[upstream] = caller;
                continue;
            }
            const auto pair = peer_of.find(entry.fd);
            if (pair == peer_of.end() || forward(pair->first, pair->second))
                continue;
            const int peer = pair->second;
            close(entry.fd);
            close(peer);
            peer_of.erase(entry.fd);
            peer_of.erase(peer);
        }
    }
}
