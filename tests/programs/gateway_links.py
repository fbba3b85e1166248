"""A slow link in front of a gateway, and peers that only announce and serve a configuration, for process-level tests."""
import gzip
import json
import random
import socket
import threading
import time

from gateway_standins import Handler, Server, configuration, route

PIECE_BYTES = 8_192
STATUS_PERIOD_S = 0.2        # between two messages of a peer


class SlowLink:
    """Forwards connections; all bytes that come back share one rate, in the order in which they are there."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s, self.lock, self.free_at, self.open = bytes_per_s, threading.Lock(), 0.0, []

    def in_front_of(self, address, own_address):
        """Listens at `own_address`, and returns it."""
        listener = socket.create_server(self.parts(own_address), backlog=64)

        def accept():
            while True:
                client = listener.accept()[0]
                client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * PIECE_BYTES)
                server = socket.create_connection(self.parts(address))
                self.open += [client, server]
                threading.Thread(target=self.copy, args=(client, server, False), daemon=True).start()
                threading.Thread(target=self.copy, args=(server, client, True), daemon=True).start()
        threading.Thread(target=accept, daemon=True).start()
        return own_address

    def drop_connections(self):
        for end in self.open:
            self.end(end)
        self.open = []

    @staticmethod
    def end(connection):
        try:
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    @staticmethod
    def parts(address):
        host, port = address.split(":")
        return host, int(port)

    def copy(self, source, sink, slowly):
        try:
            while piece := source.recv(PIECE_BYTES):
                if slowly:
                    self.carry(len(piece))
                sink.sendall(piece)
        except OSError:
            pass
        for end in (source, sink):
            self.end(end)

    def carry(self, count):
        with self.lock:
            self.free_at = max(self.free_at, time.monotonic()) + count / self.bytes_per_s
            ready_at = self.free_at
        time.sleep(max(0.0, ready_at - time.monotonic()))


def varint(value):
    out = b""
    while value > 0x7f:
        out, value = out + bytes([value & 0x7f | 0x80]), value >> 7
    return out + bytes([value])


def compact_struct(fields):
    """A struct in Thrift's compact protocol, from its fields by number: bool, int (i64), ("i32", int), str or [str]."""
    out, last = b"", 0

    def field(number, kind, data):
        nonlocal out, last
        delta, last = number - last, number
        out += (bytes([delta << 4 | kind]) if delta <= 15 else bytes([kind]) + varint(2 * number)) + data

    def text(value):
        return varint(len(value.encode())) + value.encode()
    for number, value in sorted(fields.items()):
        if isinstance(value, bool):
            field(number, 1 if value else 2, b"")
        elif isinstance(value, int):
            field(number, 6, varint(2 * value))
        elif isinstance(value, tuple):
            field(number, 5, varint(2 * value[1]))
        elif isinstance(value, str):
            field(number, 8, text(value))
        else:
            field(number, 9, bytes([len(value) << 4 | 8]) + b"".join(text(each) for each in value))
    return out + b"\0"


class AnnouncingPeer:
    """A gateway as its peers see it: it names the configuration that it has in force, and serves it."""

    def __init__(self, store, name, addresses, compresses=True):
        """`addresses`: its own for messages, that of its page, and the one that it announces for the page."""
        self.name, self.compresses, self.page_address = name, compresses, addresses[2]
        self.version, self.text, self.sequence = 0, b"", 0
        self.open, self.most_open, self.reads, self.lock = 0, 0, 0, threading.Lock()
        self.server = Server(addresses[1], Handler, self)
        store.put("waxwinglb-routers", name, {"address": addresses[0], "boot": 1, "era": 0, "first_era": 0, "data_centre": "a"})

    def announce_to(self, gateway, stop):
        host, port = gateway.settings["peers"].split(":")
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

        def run():
            while not stop.wait(STATUS_PERIOD_S):
                self.sequence += 1
                header = compact_struct({1: self.sequence, 2: ("i32", 90), 3: 0})
                status = compact_struct({1: self.name, 2: 1, 3: self.sequence, 4: False, 5: [gateway.name], 6: self.version,
                                         7: self.page_address, 20: True, 24: True, 25: True, 26: "a"})
                sender.sendto(header + status, (host, int(port)))
        threading.Thread(target=run, daemon=True).start()

    def put(self, document):
        self.text = json.dumps(document).encode()
        self.version = document["version"]

    def serve(self, call):
        with self.lock:
            self.open += 1
            self.reads += call.path == "/peer/config"   # calls about the lease come to the same page
            self.most_open = max(self.most_open, self.open)
        try:
            packed = self.compresses and "gzip" in call.headers.get("Accept-Encoding", "")
            text = gzip.compress(self.text, 1) if packed else self.text
            call.answer(200, text, [("Content-Encoding", "gzip")] if packed else [])
            call.wfile.flush()
        finally:
            with self.lock:
                self.open -= 1


def large_configuration(version, routes):
    """A configuration with so many more routes, whose names hardly compress; one takes about 270 bytes."""
    draw = random.Random(routes)
    document = configuration(version)
    for _ in range(routes):
        name = f"{draw.getrandbits(40):010x}"
        document["routes"].append(route(name, f"/{name}/{draw.getrandbits(20):05x}/", "idempotent", "ledger"))
    return document
