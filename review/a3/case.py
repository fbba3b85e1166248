"""An entry of another writer, with bytes that can't be read, stands beside the runners' entries; then a runner leaves."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import BOUNDS, TROUBLE, Runner, ask_once, configuration, now, run  # noqa: E402

# The spec as its writer sent it. A lone surrogate is a string by the grammar of JSON, but no text. BYTES=raw: bytes
# that aren't UTF-8 instead.
UNREADABLE = rb'"v\udead"' if os.environ.get("BYTES") != "raw" else b'"v\xff\xfe"'
SPEC = (b'{"service":"lot-registry","address":"127.0.0.1:9","zone":"a","version":%s,"slots":6,"state":"ready","cold_left_ms":0,'
        b'"sequence":1}' % UNREADABLE)
PER_S = 20


async def main(case):
    record = case.record
    case.store.put("config", "main", configuration())
    runners = [await Runner(case.store, record, f"i-{name}", "lot-registry").start() for name in ("1e07", "7f3a", "91c2")]
    gateways = [(await case.gateway(f"edge-{number + 1}")).start() for number in range(3)]
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4.0)               # all gateways are in touch
    answers = []
    traffic = asyncio.get_running_loop().create_task(clients(case, gateways, answers))
    if TROUBLE:
        case.store.put("servers", "i-0ff5", None, SPEC)
        record.line("another writer's entry: servers/i-0ff5 " + repr(SPEC))
    await asyncio.sleep(1.0)
    leaving = runners[0]
    acknowledged = leaving.register("draining")
    await asyncio.sleep(8.0)
    traffic.cancel()
    late = [(at, request.field("request-id")) for at, request in leaving.runs if at > acknowledged + BOUNDS["drain_ms"] / 1000]
    record.line(f"{len(answers)} answers, {answers.count(200)} of them 200")
    return record.verdict(bool(late), f"{len(late)} requests reached the runner more than drain_ms after the acknowledgement that it is "
                                      f"draining, the last one {max((at for at, _ in late), default=acknowledged) - acknowledged:.1f} s after")


async def clients(case, gateways, answers):
    async def one(gateway):
        fields = case.fields(1000)
        sent = now()
        answer = await ask_once(gateway.front, "POST", f"/cert/{fields['Request-Id']}", fields, b"lot")
        answers.append(answer.status)
        case.record.line(f"{gateway.name} answers {fields['Request-Id']}, sent at {sent:.3f}: {answer.status}")
    number = 0
    while True:
        number += 1
        asyncio.get_running_loop().create_task(one(gateways[number % len(gateways)]))
        await asyncio.sleep(1 / PER_S)

run(main, FOLDER)
