"""A gateway gets SIGTERM while some clients don't close their connections after `Connection: close`. Exits with 1 if the
process ends by SIGABRT. No rule of the pages counts that, so this is a finding and no case."""
import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import TROUBLE, Connection, Runner, configuration, now, run  # noqa: E402


async def main(case):
    record = case.record
    case.store.put("config", "main", configuration())
    await Runner(case.store, record, "i-7f3a", "lot-registry").start()
    gateway = (await case.gateway("edge-1")).start()
    await gateway.wait_ready()
    await asyncio.sleep(1.5)
    gateway.send_signal(signal.SIGTERM)
    stopped, held = now(), []

    async def client(number):
        while now() < stopped + 2.5:
            connection = Connection(gateway.front)
            answer = await connection.ask("POST", f"/cert/{number}", case.fields(1000), b"x") if not TROUBLE else await lazy(number)
            record.line(f"client {number}: {answer}")
            await asyncio.sleep(0.1)

    async def lazy(number):
        """Reads the answer and leaves the connection open."""
        host, port = gateway.front.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = "".join(f"{name}: {value}\r\n" for name, value in case.fields(1000).items())
            writer.write(f"POST /cert/{number} HTTP/1.1\r\n{fields}Content-Length: 1\r\n\r\nx".encode())
            held.append(writer)
            return (await reader.readuntil(b"\r\n")).decode().strip()
        except (OSError, asyncio.IncompleteReadError) as error:
            return type(error).__name__
    await asyncio.gather(*(client(number) for number in range(10)))
    await gateway.ended()
    return record.verdict(gateway.process.returncode == -signal.SIGABRT, f"the process ended with {gateway.process.returncode}")

run(main, FOLDER)
