"""Crowds of misbehaving clients for tests of a gateway's memory and descriptors.

A crowd sends as far as the gateway takes its bytes, never waits for it, and leaves its connections open. The tests
check only bounds and that an ordinary request is answered; they check no times and no share of served requests.
"""
import pathlib
import selectors
import socket
import time

from gateway_fleet import Fleet
from gateway_standins import configuration
from harness import Failure, request, wait_until

# The stated budget: the gateway runs on a VM of this size and must stay within it. Its clients may use what exceeds
# the 40 MB that docs/CONFIGURATION.md sets aside for the process itself.
VM_MB = 64
BODY_BYTES = 2_000_000           # limit of bodies in these tests; the crowds' bodies together exceed the VM's memory
SANITIZED_FACTOR = 6             # shadow memory, red zones and quarantine of a build under AddressSanitizer
PUSH_S = 3.0                     # time for which a crowd sends
PIECE_BYTES = 4_000              # of crowds that send in small pieces
SAMPLE_EVERY_S = 0.05


class CrowdFleet(Fleet):
    """One gateway with a small memory, one plain service and one engine."""

    def __init__(self, bin_folder, **ingress):
        super().__init__(bin_folder, ingress={"memory": f"{VM_MB}MB", **ingress})
        settings = configuration(version=3)
        settings["limits"]["max_body_bytes"] = BODY_BYTES
        self.store.put("config", "main", settings)
        self.service = self.target("l1", "ledger", slots=64)
        cache = pathlib.Path(bin_folder) / "CMakeCache.txt"
        sanitized = cache.exists() and "WAXWING_SANITIZE:STRING=\n" not in cache.read_text()
        self.memory_bound_mb = VM_MB * (SANITIZED_FACTOR if sanitized else 1)
        self.most_memory_mb = self.most_descriptors = 0

    def start(self):
        super().start()
        self.wait_for_target()
        self.sample()
        return self

    @property
    def gateway(self):
        return self.gateways[0]

    def sample(self):
        """Takes note of the gateway's resident memory and open descriptors."""
        process = pathlib.Path(f"/proc/{self.gateway.process.pid}")
        status = process.joinpath("status").read_text()
        resident = [int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")]
        if not resident:
            raise Failure(f"the gateway ended\n{self.gateway.log_tail()}")
        self.most_memory_mb = max(self.most_memory_mb, resident[0] * 1024 / 1e6)
        self.most_descriptors = max(self.most_descriptors, len(list(process.joinpath("fd").iterdir())))

    def expect_bounds(self, subject, descriptors=None):
        """The gateway has stayed within its bounds and serves an ordinary request and the balancer's poll."""
        self.gateway.healthy()
        wait_until(lambda: self.ask("/cert/1", self.headers()).status == 200, f"{subject}: an ordinary request is answered")
        wait_until(lambda: self.readiness(self.gateway) == 200, f"{subject}: the readiness page answers")
        self.sample()
        print(f"        {subject}: {self.most_memory_mb:.1f} MB, {self.most_descriptors} descriptors", flush=True)
        if self.most_memory_mb > self.memory_bound_mb:
            raise Failure(f"{subject}: {self.most_memory_mb:.1f} MB resident, bound {self.memory_bound_mb} MB")
        if descriptors is not None and self.most_descriptors > descriptors:
            raise Failure(f"{subject}: {self.most_descriptors} descriptors, bound {descriptors}")


class Crowd:
    """`count` connections to `address` that each send `data`, then `trickle` once a pass, and read nothing."""

    def __init__(self, fleet, address, count, data=b"", piece=None, trickle=b"", read_bytes=0):
        self.fleet, self.piece, self.trickle, self.read_bytes = fleet, piece, trickle, read_bytes
        host, port = address.split(":")
        self.connections, self.left = [], {}
        self.selector = selectors.DefaultSelector()
        for number in range(count):
            connection = socket.socket()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # A small window, so that what clients don't read stays at the gateway instead of in the kernel.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            connection.settimeout(5)
            self.connections.append(connection)
            try:
                connection.connect((host, int(port)))
            except OSError:
                continue                 # refused or reset: allowed
            connection.setblocking(False)
            payload = data(number) if callable(data) else data
            if payload or trickle or read_bytes:
                self.left[connection] = memoryview(payload)
                self.selector.register(connection, selectors.EVENT_WRITE)

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.selector.close()
        for connection in self.connections:
            connection.close()

    def push(self, seconds=PUSH_S):
        """Sends for that long, and watches the gateway meanwhile."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            sampled = time.monotonic()
            for key, _ in self.selector.select(SAMPLE_EVERY_S):
                self.advance(key.fileobj)
                if time.monotonic() - sampled > SAMPLE_EVERY_S:
                    break
            self.fleet.sample()
            if self.trickle or self.read_bytes or not self.selector.get_map():
                time.sleep(SAMPLE_EVERY_S)
        return self

    def advance(self, connection):
        left = self.left[connection]
        try:
            if left:
                sent = connection.send(left[:self.piece or 262_144])
                self.left[connection] = left[sent:]
            elif self.trickle:
                connection.send(self.trickle)
            if self.read_bytes:
                connection.recv(self.read_bytes)
        except BlockingIOError:
            return
        except OSError:
            self.selector.unregister(connection)     # closed by the gateway: allowed
            return
        if not (self.left[connection] or self.trickle or self.read_bytes):
            self.selector.unregister(connection)


def head(fleet, path, *fields):
    """Head of a POST with the fields of an ordinary request."""
    lines = [f"{name}: {value}" for name, value in fleet.headers().items()] + list(fields)
    return f"POST {path} HTTP/1.1\r\n".encode() + "\r\n".join(lines).encode() + b"\r\n\r\n"


def body_but_its_end(fleet, path, size=BODY_BYTES):
    """A request without the last bytes of its body."""
    return head(fleet, path, f"Content-Length: {size}") + b"x" * (size - 16)


def chunked_body_but_its_end(fleet, path, size=BODY_BYTES, chunk=8_000):
    """The same in chunks, without the last one."""
    return head(fleet, path, "Transfer-Encoding: chunked") + (b"%x\r\n" % chunk + b"x" * chunk + b"\r\n") * (size // chunk - 1)


def poll_readiness(fleet):
    return request(fleet.gateway.settings["readiness"], "GET", "/readiness", timeout=5).status
