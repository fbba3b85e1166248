"""The link between the order giver and a model runner is cut while an order is on its way; the giver is restarted."""
import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import BOUNDS, TROUBLE, Engine, Link, Unusable, ask_once, engine_configuration, now, run  # noqa: E402

CUT_S = 5.5                                # the sheet's dose of node_cut


async def main(case):
    record = case.record
    case.store.put("config", "main", engine_configuration())
    runner = Engine(case.store, record, "i-7f3a", "seam-assistant")
    runner.models, runner.on_disk = {"m0"}, {f"m{number}" for number in range(5)}
    await runner.start()
    gateways, links = [], {}
    for name in ("edge-1", "edge-2"):
        gateway = await case.gateway(name)
        links[name] = await Link(runner.address, record).open()
        case.store.doors[name]["paths"][runner.address] = links[name].address
        gateways.append(gateway.start())
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4.5)
    givers = [gateway for gateway in gateways if gateway.events("lease_taken")]
    if len(givers) != 1:
        raise Unusable("no single order giver")
    giver, successor = givers[0], next(gateway for gateway in gateways if gateway is not givers[0])
    record.line(f"{giver.name} gives the orders")

    async def client(gateway, model):
        fields = case.fields(8000, Model=model, Token_Count="155,40", Prompt_Prefix=f"{model}:155")
        record.line(f"client sends {fields['Request-Id']} for {model} to {gateway.name}")
        answer = await ask_once(gateway.front, "POST", "/hints/2f", fields, b"prompt")
        record.line(f"answer to {fields['Request-Id']}: {answer}")

    passed, link = asyncio.Event(), links[giver.name]
    link.on_answer = passed.set
    await asyncio.wait_for(passed.wait(), 5)           # a report has been answered
    link.on_answer = None
    if TROUBLE:
        link.cut(CUT_S)
    cut_at = now()
    asking = [asyncio.get_running_loop().create_task(client(giver, "m1"))]
    await asyncio.sleep(0.5)
    giver.send_signal(signal.SIGTERM)                  # planned: it is restarted
    await giver.ended()
    giver.start()
    await asyncio.sleep(max(0.0, cut_at + 3.0 - now()))
    for number in range(2, 5):                         # models that the runner hasn't loaded
        asking.append(asyncio.get_running_loop().create_task(client(successor, f"m{number}")))
        await asyncio.sleep(0.7)
    await asyncio.sleep(max(0.0, cut_at + 9.0 - now()))
    await asyncio.gather(*asking)
    orders = runner.orders
    healed = link.healed_at if TROUBLE else cut_at
    stale = []
    for index, (at, order, status) in enumerate(orders):
        highest = max((before["fencing_token"] for _, before, _ in orders[:index]), default=0)
        if order["fencing_token"] < highest and at > healed + BOUNDS["thaw_ms"] / 1000:
            stale.append(at)
            record.line(f"at {at:.3f}, {at - healed:.2f} s after the link healed, {order['holder']} with fencing token "
                        f"{order['fencing_token']}, after {highest}")
    return record.verdict(bool(stale), f"{len(orders)} orders, {len(stale)} of them with a lower fencing token after a higher one")

run(main, FOLDER)
