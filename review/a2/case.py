"""Two gateways are restarted in turn while the store turns them away; then a model runner becomes cold."""
import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import TROUBLE, Engine, ask_once, engine_configuration, now, run  # noqa: E402

COLD_PER_S, COLD_START_S, COLD_OVER, COLD_SLACK = 13, 3.0, 1.5, 5       # the sheet's, and cold_per_s of its configuration
BOUND = COLD_PER_S * COLD_OVER + COLD_SLACK          # requests in one second
KNOWN_AFTER_S = 0.5                                  # after the runner's entry says that it is cold
PER_S = 120                                          # requests, of all clients


async def main(case):
    record = case.record
    case.store.put("config", "main", engine_configuration())
    busy = Engine(case.store, record, "i-7f3a", "seam-assistant")
    busy.models, busy.events, busy.pause_s = {"m0"}, 3, 0.02
    await busy.start()
    other = Engine(case.store, record, "i-91c2", "seam-assistant")
    other.models = {"m1"}
    await other.start()
    other.on_disk = busy.on_disk = {f"m{number}" for number in range(5)}
    gateways = [(await case.gateway(f"edge-{number + 1}")).start() for number in range(5)]
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4.0)
    answers, up = [], set(gateways)
    traffic = asyncio.get_running_loop().create_task(clients(case, gateways, up, answers))
    await asyncio.sleep(1.0)
    away_from = now()
    if TROUBLE:
        for gateway in gateways[3:]:
            case.store.turn_away(gateway.name)
    await asyncio.gather(*(restart(gateway, up) for gateway in gateways[3:]))
    await asyncio.sleep(0.5)
    cold_from = now()
    busy.cold_until = cold_from + COLD_START_S
    busy.register()
    await asyncio.sleep(COLD_START_S)
    if TROUBLE:
        for gateway in gateways[3:]:
            case.store.turn_away(gateway.name, False)
        record.line(f"the store has turned them away for {now() - away_from:.1f} s")
    traffic.cancel()
    times = [at for at, _ in busy.runs if cold_from + KNOWN_AFTER_S <= at <= busy.cold_until]
    most = max((sum(1 for at in times if start <= at < start + 1) for start in times), default=0)
    record.line(f"arrivals at the cold runner: {[round(at, 3) for at in times]}")
    record.line(f"answers: { {status: answers.count(status) for status in set(answers)} }")
    return record.verdict(most > BOUND, f"the cold runner got up to {most} requests in one second ({BOUND} are allowed)")


async def restart(gateway, up):
    """Planned: SIGTERM, and a new start once the process has ended."""
    up.discard(gateway)
    gateway.send_signal(signal.SIGTERM)
    await gateway.ended()
    gateway.start()
    await gateway.wait_ready()
    up.add(gateway)


async def clients(case, gateways, up, answers):
    async def one(gateway, number):
        fields = case.fields(8000, Model="m0", Token_Count="155,17", Prompt_Prefix=f"{number:x}:155")
        sent = now()
        answer = await ask_once(gateway.front, "POST", "/hints/2f", fields, b"prompt")
        answers.append(answer.status)
        case.record.line(f"{gateway.name} answers {fields['Request-Id']}, sent at {sent:.3f}: {answer.status}")
    number, start = 0, now()
    while True:
        while number < (now() - start) * PER_S:
            ready = [gateway for gateway in gateways if gateway in up]
            number += 1
            asyncio.get_running_loop().create_task(one(ready[number % len(ready)], number))
        await asyncio.sleep(0.002)

run(main, FOLDER)
