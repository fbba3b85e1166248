#!/usr/bin/env python3
"""The loopback proxy of review/common: silent cuts, lost connections, resets, half-closed ones, split writes, other servers."""
import asyncio
import pathlib
import sys
import types

import harness

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "review" / "common"))
from proxy import Proxy  # noqa: E402
from standins import free_address  # noqa: E402

harness.arguments(__doc__)
SILENCE_S = 0.2                            # in which nothing may arrive


async def serve_echo(prefix):
    """An address whose server answers each piece with `prefix` before it, and FIN with "end"."""
    async def serve(reader, writer):
        try:
            while piece := await reader.read(1000):
                writer.write(prefix + piece)
            writer.write(b"end")
        except OSError:
            pass
        finally:
            writer.close()
    address = free_address()
    host, port = address.split(":")
    await asyncio.start_server(serve, host, int(port))
    return address


async def connect(proxy):
    host, port = proxy.address.split(":")
    return await asyncio.open_connection(host, int(port))


async def is_silent(reader):
    try:
        await asyncio.wait_for(reader.read(1000), SILENCE_S)
    except asyncio.TimeoutError:
        return True
    return False


def with_proxy(body):
    """Runs `body(proxy, reader, writer)` on a connection that has passed one piece."""
    async def main():
        proxy = await Proxy(await serve_echo(b"a:"), types.SimpleNamespace(line=lambda text: None)).open()
        reader, writer = await connect(proxy)
        writer.write(b"1")
        assert await reader.readexactly(3) == b"a:1"
        try:
            await asyncio.wait_for(body(proxy, reader, writer), 5)
        finally:
            await proxy.close()
    asyncio.run(main())


def test_bytes_of_a_silent_cut_come_late():
    async def body(proxy, reader, writer):
        proxy.cut()
        writer.write(b"2")
        assert await is_silent(reader)
        proxy.heal()
        assert await reader.readexactly(3) == b"a:2"
    with_proxy(body)


def test_a_lost_connection_is_silent_until_it_is_reset_while_new_ones_pass():
    async def body(proxy, reader, writer):
        pairs = proxy.drop()
        writer.write(b"2")
        assert await is_silent(reader)
        other_reader, other_writer = await connect(proxy)
        other_writer.write(b"3")
        assert await other_reader.readexactly(3) == b"a:3"
        for pair in pairs:
            pair.reset()
        try:
            assert await reader.read(1) is None, "neither bytes nor FIN"
        except ConnectionResetError:
            pass
    with_proxy(body)


def test_a_connection_half_closed_towards_the_caller_still_takes_requests():
    async def body(proxy, reader, writer):
        proxy.half_close()
        assert await reader.read() == b""
        writer.write(b"2")
        await writer.drain()
        await asyncio.sleep(SILENCE_S)
        assert len(proxy.pairs) == 1
    with_proxy(body)


def test_a_connection_half_closed_towards_the_server_still_passes_its_answer():
    async def body(proxy, reader, _writer):
        proxy.half_close(towards_caller=False)
        assert await reader.readexactly(3) == b"end"
    with_proxy(body)


def test_answers_are_split():
    async def body(proxy, reader, writer):
        proxy.split(2, 0.05)
        writer.write(b"23456")
        pieces = [await reader.read(1000)]
        while sum(map(len, pieces)) < 7:
            pieces.append(await reader.read(1000))
        assert b"".join(pieces) == b"a:23456"
        assert len(pieces) > 1, pieces
    with_proxy(body)


def test_another_server_takes_the_address():
    async def body(proxy, reader, writer):
        proxy.connect_to(await serve_echo(b"b:"))
        other_reader, other_writer = await connect(proxy)
        other_writer.write(b"2")
        assert await other_reader.readexactly(3) == b"b:2"
        writer.write(b"3")
        assert await reader.readexactly(3) == b"a:3"
    with_proxy(body)


if __name__ == "__main__":
    harness.run_cases([value for name, value in list(globals().items()) if name.startswith("test_")])
