"""A configuration raises the largest body; requests on connections that were open before are refused by the old limit."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import BOUNDS, TROUBLE, Connection, Runner, configuration, run  # noqa: E402

BEFORE, AFTER, SIZE = 65_536, 4_194_304, 100_000     # bytes: the limits, and the body of a request
CONNECTIONS, REQUESTS = 20, 5                        # requests of each after the change


async def main(case):
    record = case.record
    case.store.put("config", "main", configuration(version=7, max_body_bytes=BEFORE if TROUBLE else AFTER))
    for name in ("7f3a", "91c2"):
        await Runner(case.store, record, f"i-{name}", "lot-registry").start()
    gateways = [(await case.gateway(f"edge-{number + 1}")).start() for number in range(2)]
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4.0)
    sent, refused = 0, []

    async def ask(connection, size):
        nonlocal sent
        sent += 1
        fields = case.fields(4000)
        answer = await connection.ask("POST", "/cert/5a2", fields, b"x" * size)
        record.line(f"{connection.address} answers {fields['Request-Id']} with {size} bytes: {answer.status}")
        if size > BEFORE and 300 <= answer.status < 500 and answer.status not in (408, 421, 429):
            refused.append(fields["Request-Id"])
    connections = [Connection(gateways[number % 2].front) for number in range(CONNECTIONS)]
    for connection in connections:
        await ask(connection, 800)
    case.store.put("config", "main", configuration(version=9, max_body_bytes=AFTER))
    record.line(f"store acknowledges version 9, max_body_bytes {AFTER}")
    await asyncio.sleep(BOUNDS["config_ms"] / 1000 + 1.0)
    for _ in range(REQUESTS):
        for connection in connections:
            await ask(connection, SIZE)
    allowed = 5 + sent / 500
    return record.verdict(len(refused) > allowed, f"{len(refused)} of {sent} requests were refused with a 4xx though the configuration "
                                                  f"allows them ({allowed:.1f} are allowed)")

run(main, FOLDER)
