// A bare relay loop: the least work that passing bytes between a caller and a target can take. What
// bench/request-cost compares waxwing-gateway with.
//
// Usage: waxwing-bench-relay LISTEN_PORT TARGET_PORT   (both on loopback; runs until it is killed)
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
constexpr std::size_t read_size = 32U << 10U; // bytes, as waxwing-gateway's

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

void send_at_once(int socket) {
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
    send_at_once(socket);
    return socket;
}

/// Passes on what has come. False: one end is gone.
bool pass_on(int from, int to) {
    std::array<char, read_size> bytes;
    const auto count = read(from, bytes.data(), bytes.size());
    if (count <= 0)
        return false;
    for (ssize_t sent = 0; sent < count;) {
        const auto now = write(to, bytes.data() + sent, static_cast<std::size_t>(count - sent));
        if (now <= 0)
            return false;
        sent += now;
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
    std::map<int, int> other_end; // both directions
    for (;;) {
        std::vector<pollfd> waiting{{listener, POLLIN, 0}};
        for (const auto& [from, to] : other_end)
            waiting.push_back({from, POLLIN, 0});
        if (poll(waiting.data(), waiting.size(), -1) < 0)
            continue;
        for (const pollfd& one : waiting) {
            if (one.revents == 0)
                continue;
            if (one.fd == listener) {
                const int caller = accept(listener, nullptr, nullptr);
                const int onward = connect_to(target);
                send_at_once(caller);
                if (onward < 0) {
                    close(caller);
                    continue;
                }
                other_end[caller] = onward;
                other_end[onward] = caller;
                continue;
            }
            const auto pair = other_end.find(one.fd);
            if (pair == other_end.end() || pass_on(pair->first, pair->second))
                continue;
            const int second = pair->second;
            close(one.fd);
            close(second);
            other_end.erase(one.fd);
            other_end.erase(second);
        }
    }
}
