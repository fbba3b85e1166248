"""A TCP proxy on a loopback address that can be told to fail as networks do.

A caller of the proxy's address reaches `to`. Kernels on both sides go on acknowledging what the proxy's own buffers take, and
a connection that is opened in a cut is accepted and never answered.
"""
import asyncio
import socket
import struct

from standins import Link

LIMIT = 1 << 16                            # bytes that one read may return, and that a writer may keep


class Direction:
    """One direction of the proxy, for all of its connections."""

    def __init__(self):
        self.passing = asyncio.Event()     # cleared: bytes are kept back
        self.passing.set()
        self.piece_bytes, self.delay_s = LIMIT, 0.0


class Pair:
    """A caller's connection and the one behind it. Its `passing` holds only this pair back."""

    def __init__(self, near, far):
        self.near, self.far = near, far    # writers
        self.passing = asyncio.Event()
        self.passing.set()
        self.half_closed = set()           # writers that take nothing more

    def half_close(self, writer):
        """Ends what one of the two writers sends, with FIN."""
        if writer not in self.half_closed and not writer.is_closing():
            self.half_closed.add(writer)
            writer.write_eof()

    def reset(self):
        """Ends both connections with RST, and what is kept back with them."""
        for writer in (self.near, self.far):
            end = writer.get_extra_info("socket")
            if end.fileno() >= 0:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.passing.set()


class Proxy(Link):
    """A link whose faults are told one by one; `there` leads to the server, `back` to the caller."""

    def __init__(self, to, record):
        super().__init__(to, record)
        self.there, self.back, self.pairs = Direction(), Direction(), []

    def cut(self, *directions):
        """Passes nothing more, without a sign; both directions if none is named."""
        for direction in directions or (self.there, self.back):
            direction.passing.clear()

    def heal(self):
        """Passes on all that was kept back."""
        for direction in (self.there, self.back):
            direction.passing.set()
        for pair in self.pairs:
            pair.passing.set()

    def drop(self):
        """Passes nothing more of the connections that are open, without a sign; returns them. New ones pass."""
        for pair in self.pairs:
            pair.passing.clear()
        return list(self.pairs)

    def reset(self):
        for pair in list(self.pairs):
            pair.reset()

    async def close(self):
        """Resets all connections and listens no more."""
        self.server.close()
        self.heal()
        self.reset()
        while self.pairs:
            await asyncio.sleep(0.01)

    def half_close(self, towards_caller=True):
        """Ends one direction of the open connections with FIN; the other goes on."""
        for pair in self.pairs:
            pair.half_close(pair.near if towards_caller else pair.far)

    def split(self, piece_bytes, delay_s):
        """Passes answers on in pieces of at most `piece_bytes` (at least one), each after `delay_s`."""
        self.back.piece_bytes, self.back.delay_s = piece_bytes, delay_s

    def connect_to(self, address):
        """New connections reach `address`; those that are open stay."""
        self.to = address

    async def connection(self, reader, writer):
        host, port = self.to.split(":")
        try:
            far_reader, far = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        for end in (writer, far):
            end.transport.set_write_buffer_limits(LIMIT)
        pair = Pair(writer, far)
        self.pairs.append(pair)
        try:
            await asyncio.gather(self.pass_on(reader, far, pair, self.there), self.pass_on(far_reader, writer, pair, self.back))
        finally:
            self.pairs.remove(pair)
            writer.close()
            far.close()

    @staticmethod
    async def pass_on(reader, writer, pair, direction):
        """Passes bytes and the end; a reset on one side resets the other. Bytes after a half close are lost."""
        try:
            while data := await reader.read(LIMIT):
                await Proxy.until_passing(pair, direction)
                for start in range(0, len(data), direction.piece_bytes):
                    await Proxy.pass_piece(data[start:start + direction.piece_bytes], writer, pair, direction)
            await Proxy.until_passing(pair, direction)
            pair.half_close(writer)
        except OSError:
            pair.reset()

    @staticmethod
    async def pass_piece(piece, writer, pair, direction):
        if direction.delay_s:
            await asyncio.sleep(direction.delay_s)
        if writer not in pair.half_closed and not writer.is_closing():
            writer.write(piece)
            await writer.drain()

    @staticmethod
    async def until_passing(pair, direction):
        while not (pair.passing.is_set() and direction.passing.is_set()):
            await pair.passing.wait()
            await direction.passing.wait()
