"""ORDER on the sheet of quetzal-folios: nine model runners in three zones, five gateways, 24 streams a second, real sockets.

Not run by CI: GATEWAY=PATH python3 run.py [options]. Callers check ids, texts and software versions of the events, and take
broken streams up once, at any gateway.
"""
import argparse
import asyncio
import collections
import json
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import types

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import (Engine, HttpServer, answer_bytes, ask_once, die_with_parent, engine_configuration, now,  # noqa: E402
                      read_head, run)
from network import FAULTS, HANG_S, Network  # noqa: E402

ARGUMENTS = argparse.ArgumentParser(description=__doc__)
ARGUMENTS.add_argument("--seed", type=int, default=1)
ARGUMENTS.add_argument("--seconds", type=float, default=40)
ARGUMENTS.add_argument("--streams", type=float, default=24, help="that begin in a second")
ARGUMENTS.add_argument("--break-share", type=float, default=0.0, help="of the streams that their runner breaks off")
ARGUMENTS.add_argument("--break-in", default="event,between,head,last", help="where: inside an event, between two, in the head, "
                                                                             "before the last chunk")
ARGUMENTS.add_argument("--framing", default="chunked", help="of answers, one of those listed: chunked, close")
ARGUMENTS.add_argument("--end", default="fin", help="of a broken connection: fin or rst, one of those listed")
ARGUMENTS.add_argument("--release", action="store_true", help="runners are replaced by those of the next version, one by one")
ARGUMENTS.add_argument("--released", type=int, default=9, help="how many of the runners a release replaces")
ARGUMENTS.add_argument("--weights", type=int, default=1, help="versions of the model's weights that the runners hold, in turn")
ARGUMENTS.add_argument("--unstated", action="store_true", help="registrations and reports all name version 1 of the weights")
ARGUMENTS.add_argument("--late-gateways", type=int, default=0, help="of the gateways: start in the middle")
ARGUMENTS.add_argument("--crashes", type=int, default=0, help="runners that crash with all their connections; others come")
ARGUMENTS.add_argument("--restarts", type=int, default=0, help="gateways that are killed or stopped and started again")
ARGUMENTS.add_argument("--text", action="store_true", help="a runner that goes on a stream may answer with an error's text")
ARGUMENTS.add_argument("--report-age", type=float, default=0, help="of the runs that reports list, in seconds; 0: they list none")
ARGUMENTS.add_argument("--goes-on", action="store_true", help="the run of a broken stream makes the rest of its events, unseen")
ARGUMENTS.add_argument("--network", default="", help=f"faults played on proxies before the runners, or all: {','.join(FAULTS)}")
ARGUMENTS.add_argument("--event-bytes", type=int, default=0, help="that fill each event up")
ARGUMENTS.add_argument("--patience", type=float, default=9, help="seconds without a byte after which callers leave")
ARGUMENTS.add_argument("--processes", action="store_true", help="runners are processes of their own, which crash by SIGKILL")
ARGUMENTS.add_argument("--serve", help=argparse.SUPPRESS)
OPTIONS = ARGUMENTS.parse_args()
RUNNERS, GATEWAYS, EVENTS, EVENT_PAUSE_S = 9, 5, 43, 0.03
FILLING = "." * OPTIONS.event_bytes
RNG = random.Random(OPTIONS.seed)
HANGS = collections.Counter()              # reads of callers that took longer than HANG_S, by what was waited for


def choice_of(listed):
    return RNG.choice(listed.split(","))


class Streamer(Engine):
    """A model runner whose events name their stream, their number and the version of its software."""
    software = "v1"
    weights = 1
    stated = {}                            # fields of the registration that differ from the runner's own
    process = None                         # that serves, if it isn't this one
    frozen = False

    async def start(self):
        if not OPTIONS.processes:
            return await super().start()
        served = ",".join((self.name, self.address, str(self.born), str(self.weights), self.software))
        self.process = subprocess.Popen([sys.executable, __file__, *sys.argv[1:], "--serve", served], preexec_fn=die_with_parent)
        while (await ask_once(self.address, "GET", "/report", {"Host": "x"}, timeout=1.0)).status != 200:
            await asyncio.sleep(0.05)
        self.register()
        return self

    def beats_now(self):
        if self.frozen:
            return False
        return self.process.poll() is None if self.process else self.http.server.is_serving()

    def freeze(self, frozen):
        """SIGSTOP or SIGCONT; the kernel goes on acknowledging."""
        self.frozen = frozen
        self.record.line(f"runner {self.name} {'is stopped' if frozen else 'goes on'}")
        self.process.send_signal(signal.SIGSTOP if frozen else signal.SIGCONT)

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.run_history = []              # (time, request id, events made, None at the run's end)

    async def serve(self, request, writer):
        answer = await super().serve(request, writer)
        if request.path != "/report" or not OPTIONS.report_age:
            return answer
        return answer_bytes(200, {**json.loads(answer.partition(b"\r\n\r\n")[2]), "runs": self.reported_runs()})

    def reported_runs(self):
        until = now() - OPTIONS.report_age
        self.run_history = [entry for entry in self.run_history if entry[0] > until - 10]
        latest = {request_id: made for at, request_id, made in self.run_history if at <= until}
        return [[request_id, 100, made, 1] for request_id, made in latest.items() if made is not None]

    def note_run(self, request, made):
        self.run_history.append((now(), request.field("request-id"), made))

    async def make_unseen(self, request, rest):
        for number in rest:
            self.note_run(request, number)
            await asyncio.sleep(EVENT_PAUSE_S)
        self.note_run(request, None)

    def held(self):
        stated = 1 if OPTIONS.unstated else self.weights
        return [{**model, "version": stated} for model in super().held()]

    def register(self, state="ready"):
        put = self.store.put
        self.store.put = lambda kind, name, spec, **more: put(kind, name, {**spec, "version": self.software, **self.stated}, **more)
        try:
            return super().register(state)
        finally:
            self.store.put = put

    @staticmethod
    def end(writer, how):
        if how == "rst":
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        writer.close()

    def crash_all(self):
        """As the kernel ends a killed process."""
        self.record.line(f"runner {self.name} crashes")
        if self.process:
            self.process.kill()
            self.process.wait()
            return
        self.http.server.close()
        for writer in list(self.http.writers):
            writer.close()

    async def stream(self, request, writer):
        request_id = request.field("request-id")
        if request.field("expected-version") not in (None, str(self.weights)):
            return answer_bytes(421, b"", [("Request-Id", request_id)])
        self.runs.append((now(), request))
        first = int(request.field("last-event-id") or 0) + 1
        framing = choice_of(OPTIONS.framing)
        breaks = RNG.random() < OPTIONS.break_share
        where, at = choice_of(OPTIONS.break_in), RNG.randrange(first, EVENTS + 1)
        head = (f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: sig-{request_id}\r\n"
                f"Weight-Versions: {self.weights}\r\n"
                "Content-Type: text/event-stream\r\n"
                + ("Transfer-Encoding: chunked\r\n\r\n" if framing == "chunked" else "Connection: close\r\n\r\n")).encode()

        def framed(data):
            return b"%x\r\n%s\r\n" % (len(data), data) if framing == "chunked" else data
        if breaks and where == "head":
            writer.write(head[:RNG.randrange(1, len(head))])
            return self.end(writer, choice_of(OPTIONS.end))
        writer.write(head)
        if OPTIONS.text and first > 1 and RNG.random() < 0.5:
            writer.write(framed(b"upstream failure\n\n"))
            return b"0\r\n\r\n" if framing == "chunked" else self.end(writer, "fin")
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {request.path} {number} {self.software}/w{self.weights}{FILLING}\n\n".encode()
            if breaks and number == at and where in ("event", "between"):
                if where == "event":
                    writer.write(framed(event[:RNG.randrange(1, len(event))]))
                self.end(writer, choice_of(OPTIONS.end))
                return await self.make_unseen(request, range(number, EVENTS + 1) if OPTIONS.goes_on else [])
            writer.write(framed(event))
            self.note_run(request, number)
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        self.note_run(request, None)
        if framing == "close" or breaks and where == "last":
            return self.end(writer, "fin")
        return b"0\r\n\r\n"


async def waited(case, request_id, what, read):
    """What a read returns; a read that takes longer than HANG_S is counted."""
    begun = now()
    try:
        return await asyncio.wait_for(read, OPTIONS.patience)
    finally:
        if now() - begun > HANG_S:
            HANGS[what] += 1
            case.record.line(f"{request_id} waited {now() - begun:.2f} s for {what}")


async def read_stream(case, address, path, prefix, more):
    """Returns the events' bytes, whether the answer looks whole, its status, and the attempt's id if it can be taken up."""
    body, whole, status, writer = b"", False, 0, None
    try:
        host, port = address.split(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 3)
        fields = case.fields(8000, Model="m0", Token_Count="100,30", Prompt_Prefix=prefix, **more)
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"POST {path} HTTP/1.1\r\n{lines}Content-Length: 2\r\n\r\nhi".encode())
        first, got = await waited(case, fields["Request-Id"], "a head", read_head(reader))
        status = int(first.split(" ")[1])
        if got.get("transfer-encoding", "").lower() != "chunked":
            body = await asyncio.wait_for(reader.readexactly(int(got.get("content-length", 0))), 9)
            return body, True, status, fields["Request-Id"]
        while size := int((await waited(case, fields["Request-Id"], "an event or the end", reader.readuntil(b"\r\n"))), 16):
            body += (await asyncio.wait_for(reader.readexactly(size + 2), 9))[:-2]
        whole = True
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    return body, whole, status, None if not whole and not body else fields["Request-Id"]


class Caller:
    """One stream, taken up once if it breaks. Says what was wrong with it."""

    def __init__(self, case, gateways, number):
        self.case, self.gateways, self.number = case, gateways, number
        self.resumable = RNG.random() < 0.87
        self.path = f"/{'hints' if self.resumable else 'dossier'}/s{number}"
        self.last, self.versions = 0, []

    async def run(self):
        more = {}
        for _ in range(2):
            body, whole, status, request_id = await read_stream(self.case, RNG.choice(self.gateways).front, self.path,
                                                                f"a{self.number}:100", more)
            if status != 200:
                return "refused" if status else "no answer"
            if fault := self.take(body):
                return fault
            if whole:
                return "whole" if self.last == EVENTS else "looks whole and isn't"
            if not self.resumable:
                return "cut"
            if self.last:
                more = {"Last_Event_Id": str(self.last), "Resumes": request_id}
            await asyncio.sleep(0.05)
        return "cut"

    def take(self, body):
        """Returns the first fault in the events of one answer."""
        begun = len(self.versions)
        for block in body.split(b"\n\n")[:-1]:
            try:
                id_line, data_line = block.decode().split("\n")
                path, number, version = data_line.removeprefix("data: ").split(" ")
            except ValueError:
                return "not an event"
            if id_line != f"id: {number}" or path != self.path or int(number) != self.last + 1:
                return "out of order"
            self.last = int(number)
            self.versions.append(version)
        if len(set(self.versions)) < 2:
            return None
        return "two versions" if len(set(self.versions[begun:])) > 1 else "two versions, taken up by the caller"


async def release(engines):
    """Each runner is replaced by one of the next version: the new one starts first, the old one drains and goes."""
    for number, old in enumerate(list(engines)[:OPTIONS.released]):
        new = Streamer(old.store, old.record, f"n{number}", old.service, zone=old.zone)
        new.models, new.software = {"m0"}, "v2"
        engines.append(await new.start())
        old.register("draining")
        await asyncio.sleep(2.5)
        old.store.remove("servers", old.name)
        engines.remove(old)
        old.crash_all()


async def crash(engines, gateways):
    """Runners crash and others of the same version take their places; gateways are killed or stopped."""
    kinds = ["runner"] * OPTIONS.crashes + ["gateway"] * OPTIONS.restarts
    RNG.shuffle(kinds)
    for kind in kinds:
        await asyncio.sleep(OPTIONS.seconds / (len(kinds) + 1))
        if kind == "runner":
            engine = RNG.choice(engines)
            engine.crash_all()
            await asyncio.sleep(0.5)
            if engine not in engines:              # released meanwhile
                continue
            engine.models = set()
            await engine.come_back(engine.name + "x", 0.0)
            engine.models = {"m0"}
            engine.register()
        else:
            gateway = RNG.choice(gateways)
            gateway.send_signal(RNG.choice([signal.SIGKILL, signal.SIGTERM]))
            await asyncio.wait_for(gateway.ended(), 12)
            gateway.start()


async def start_gateways(case, numbers):
    gateways = [(await case.gateway(f"edge-{number}", zone="abc"[number % 3])).start() for number in numbers]
    for gateway in gateways:
        await gateway.wait_ready()
    return gateways


async def start_late(case, gateways):
    await asyncio.sleep(OPTIONS.seconds / 2)
    gateways += await start_gateways(case, range(GATEWAYS - OPTIONS.late_gateways, GATEWAYS))


def successor(old):
    """A runner of other software that takes the place of another one, under a name of its own."""
    new = Streamer(old.store, old.record, old.name + "r", old.service, zone=old.zone)
    new.models, new.weights, new.software = {"m0"}, old.weights, old.software + "r"
    return new


async def beat(engines):
    while True:
        await asyncio.sleep(1.0)
        for engine in engines:
            if engine.beats_now():
                engine.register()


async def main(case):
    case.store.put("config", "main", engine_configuration())
    engines = []
    for number in range(RUNNERS):
        engine = Streamer(case.store, case.record, f"e{number}", "seam-assistant", zone="abc"[number % 3])
        engine.models, engine.weights = {"m0"}, 1 + number % OPTIONS.weights
        if OPTIONS.network:
            await Network.stand_before(engine)
        engines.append(await engine.start())
    tasks = [asyncio.create_task(beat(engines))]
    gateways = await start_gateways(case, range(GATEWAYS - OPTIONS.late_gateways))
    await asyncio.sleep(4)
    tasks += [asyncio.create_task(crash(engines, gateways)), asyncio.create_task(start_late(case, gateways))]
    if OPTIONS.network:
        network = Network(RNG, case.record, engines, gateways, successor)
        playable = [name for name in FAULTS if OPTIONS.processes or not name.startswith("freeze")]
        faults = playable if OPTIONS.network == "all" else OPTIONS.network.split(",")
        tasks.append(asyncio.create_task(network.play(faults, OPTIONS.seconds)))
    if OPTIONS.release:
        tasks.append(asyncio.create_task(release(engines)))
    callers, until = [], now() + OPTIONS.seconds
    while now() < until:
        callers.append(asyncio.create_task(Caller(case, gateways, len(callers)).run()))
        await asyncio.sleep(1 / OPTIONS.streams)
    counts = collections.Counter(await asyncio.gather(*callers))
    for task in tasks:
        if task.done():
            task.result()                  # raises what ended it
    wrong = sum(counts[fault] for fault in ("looks whole and isn't", "not an event", "out of order", "two versions",
                                              "two versions, taken up by the caller"))
    return case.record.verdict(wrong > 0, f"{wrong} of {len(callers)} streams: {dict(counts)}; "
                                         f"waits over {HANG_S} s: {dict(HANGS)}")


async def serve_alone():
    """Serves as the runner that `--serve` describes, until it is killed."""
    name, address, born, weights, software = OPTIONS.serve.split(",")
    RNG.seed(f"{OPTIONS.seed} {name}")
    engine = Streamer(None, types.SimpleNamespace(line=lambda text: None), name, "seam-assistant")
    engine.models, engine.address, engine.born = {"m0"}, address, int(born)
    engine.weights, engine.software = int(weights), software
    await HttpServer().listen(address, engine.serve)
    await asyncio.Event().wait()

if OPTIONS.serve:
    asyncio.run(serve_alone())
else:
    run(main, FOLDER)
