"""Faults of networks and kernels for run.py, played one after the other on proxies before the runners and on the gateways.

Each fault is a coroutine that is called with a Network and ends when what it did is over.
"""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from proxy import Proxy  # noqa: E402
from standins import now  # noqa: E402

HANG_S = 2.4                               # eight times the longest pause between events that the route allows


class Network:
    """The proxies of the runners, and what the faults need of the run."""

    def __init__(self, rng, record, engines, gateways, make_engine):
        self.rng, self.record, self.engines, self.gateways, self.make_engine = rng, record, engines, gateways, make_engine
        self.counts = {}

    @staticmethod
    async def stand_before(engine):
        """Puts a proxy before a runner that isn't started yet; it registers the proxy's address."""
        engine.proxy = await Proxy(engine.address, engine.record).open()
        engine.stated = {"address": engine.proxy.address}
        return engine

    async def play(self, faults, seconds):
        """Plays each of `faults` once, in an order of chance, over and over, until `seconds` have passed."""
        until = now() + seconds
        while True:
            for name in self.rng.sample(faults, len(faults)):
                if now() >= until:
                    return
                await self.fault(name)

    async def fault(self, name):
        engine = self.rng.choice(self.engines)
        self.counts[name] = self.counts.get(name, 0) + 1
        self.record.line(f"fault {name} at {engine.name}, {len(engine.proxy.pairs)} connections")
        await FAULTS[name](self, engine)
        await asyncio.sleep(self.rng.uniform(0.2, 0.8))


async def cut(network, engine):
    """A silent cut of both directions, healed late."""
    engine.proxy.cut()
    await asyncio.sleep(network.rng.uniform(0.3, 4.0))
    engine.proxy.heal()


async def cut_back(network, engine):
    """Answers are cut silently; requests arrive."""
    engine.proxy.cut(engine.proxy.back)
    await asyncio.sleep(network.rng.uniform(0.3, 4.0))
    engine.proxy.heal()


async def cut_there(network, engine):
    """Requests are cut silently; answers arrive."""
    engine.proxy.cut(engine.proxy.there)
    await asyncio.sleep(network.rng.uniform(0.3, 4.0))
    engine.proxy.heal()


async def drop(network, engine):
    """Open connections are lost silently and reset later; new ones pass."""
    pairs = engine.proxy.drop()
    await asyncio.sleep(network.rng.uniform(0.3, 4.0))
    for pair in pairs:
        pair.reset()


async def lost(network, engine):
    """Open connections are lost silently for good, longer than any caller waits; new ones pass."""
    engine.proxy.drop()
    await asyncio.sleep(3.0)


async def late(network, engine):
    """Open connections are lost silently; their bytes come late, after others went on."""
    engine.proxy.drop()
    await asyncio.sleep(network.rng.uniform(0.6, 4.0))
    engine.proxy.heal()


async def half_back(network, engine):
    """Answers end with FIN; requests go on."""
    engine.proxy.half_close()


async def half_there(network, engine):
    """Requests end with FIN; answers go on."""
    engine.proxy.half_close(towards_caller=False)


async def reset(network, engine):
    """Open connections are reset."""
    engine.proxy.reset()


async def split(network, engine):
    """Answers come in pieces of a few bytes."""
    engine.proxy.split(network.rng.randrange(1, 12), 0.001)
    await asyncio.sleep(2.0)
    engine.proxy.split(1 << 16, 0.0)


async def reuse(network, engine):
    """Another runner, of other software, has the address at once; open connections are lost silently and reset later."""
    new = network.make_engine(engine)
    new.proxy, new.stated = engine.proxy, engine.stated
    pairs = engine.proxy.drop()
    network.engines[network.engines.index(engine)] = new
    await new.start()
    engine.proxy.connect_to(new.address)
    await asyncio.sleep(network.rng.uniform(0.0, 2.0))
    engine.store.remove("servers", engine.name)
    engine.crash_all()
    for pair in pairs:
        pair.reset()


async def stop(network, _engine):
    """A gateway is stopped for a while, with what its kernel holds."""
    gateway = network.rng.choice([gateway for gateway in network.gateways if gateway.running()])
    gateway.send_signal(signal.SIGSTOP)
    await asyncio.sleep(network.rng.uniform(0.5, 4.0))
    gateway.send_signal(signal.SIGCONT)


async def freeze(network, engine):
    """A runner in a process of its own is stopped for a while, with what its kernel holds."""
    engine.freeze(True)
    await asyncio.sleep(network.rng.uniform(0.5, 4.0))
    engine.freeze(False)


async def freeze_and_kill(network, engine):
    """A runner is stopped, then killed, and another one of other software has its address at once."""
    engine.freeze(True)
    await asyncio.sleep(network.rng.uniform(0.1, 3.0))
    engine.crash_all()
    engine.store.remove("servers", engine.name)
    new = network.make_engine(engine)
    new.proxy, new.stated, new.address = engine.proxy, engine.stated, engine.address
    network.engines[network.engines.index(engine)] = await new.start()


FAULTS = {fault.__name__: fault for fault in (cut, cut_back, cut_there, drop, lost, late, half_back, half_there, reset, split,
                                              reuse, stop, freeze, freeze_and_kill)}
