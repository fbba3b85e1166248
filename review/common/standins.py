"""Stand-ins for the scripts of this review: the platform's store, runners, clients and the platform's balancer, and a
small launcher for waxwing-gateway. One asyncio loop runs all of them; the gateways are real processes.

The stand-ins speak what PROTOCOL.md says. Every address is a loopback address.
"""
import asyncio
import ctypes
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = pathlib.Path(os.environ.get("GATEWAY", ROOT / "target" / "waxwing-gateway"))  # default: that of deploy/system.toml
MEMORY_MB = int(os.environ.get("MEMORY_MB", 260))     # of an entry VM; the sheets name 120 to 512
TEMPLATE = ROOT / "deploy" / "gateway.yaml.template"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()
# Bounds of the sheet of cucem-lb (SYSTEM.md).
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_ms": 2000, "lease_ms": 3000, "thaw_ms": 300,
          "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 11000, "loss_slack_ms": 200,
          "retry_budget_ratio": 0.2, "retry_budget_slack": 56, "budget_window_s": 10}


def now():
    """Seconds since the start of the script, on the steady clock."""
    return time.monotonic() - START


class Record:
    """Writes record.txt: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.line("trouble" if TROUBLE else "TROUBLE=0: without the disruption")

    def line(self, text):
        self.file.write(f"{now():9.3f}  {text}\n")

    def verdict(self, broken, text):
        self.line(("BROKEN: " if broken else "held: ") + text)
        self.file.flush()
        print(("rule broken: " if broken else "rule held: ") + text, flush=True)
        return 1 if broken else 0


class Unusable(Exception):
    """The case couldn't run."""


NEXT_PORT = [12_000 + os.getpid() % 150 * 100]       # below the range for outgoing connections


def free_port():
    while True:
        NEXT_PORT[0] += 1
        with socket.socket() as probe, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            try:
                probe.bind(("127.0.0.1", NEXT_PORT[0]))
                datagrams.bind(("127.0.0.1", NEXT_PORT[0]))
                return NEXT_PORT[0]
            except OSError:
                continue


def free_address():
    return f"127.0.0.1:{free_port()}"


# ---- HTTP ------------------------------------------------------------------------------------------


class Request:
    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))

    def field(self, name):
        return self.fields.get(name.lower())


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunks(reader, on_piece=None):
    out = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return out
        out += piece[:-2]
        if on_piece:
            on_piece(piece[:-2])


def answer_bytes(status, body=b"", fields=()):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


class HttpServer:
    """Calls `serve(request, writer)` for each request; that returns the bytes to send, or None if it sent them."""

    async def listen(self, address, serve):
        self.serve, self.writers = serve, set()
        host, port = address.split(":")
        self.server = await asyncio.start_server(self.connection, host, int(port), backlog=256)
        return self

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                if fields.get("transfer-encoding", "").lower() == "chunked":
                    body = await read_chunks(reader)
                else:
                    body = await reader.readexactly(int(fields.get("content-length", 0)))
                out = await self.serve(Request(method, target, fields, body), writer)
                if out is not None:
                    writer.write(out)
                    await writer.drain()
                if writer.is_closing():
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Answer:
    def __init__(self, status, fields, body, whole):
        self.status, self.fields, self.body, self.whole = status, fields, body, whole

    def __repr__(self):
        return f"{self.status} ({len(self.body)} bytes, {'whole' if self.whole else 'not whole'})"


class Connection:
    """A client's connection, kept for several requests."""

    def __init__(self, address, limit=1 << 16):
        self.address, self.limit, self.reader, self.writer = address, limit, None, None

    async def ask(self, method, path, fields, body=b"", timeout=10.0):
        """The answer; status 0 if the connection ended without one."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, fields, body), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            return Answer(0, {}, type(error).__name__.encode(), False)

    async def exchange(self, method, path, fields, body):
        if self.writer is None:
            host, port = self.address.split(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=self.limit)
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.writer.write(head.encode("latin-1") + (b"Content-Length: %d\r\n" % len(body) if body or method == "POST" else b"")
                          + b"\r\n" + body)
        return await self.exchange_answer()

    async def exchange_answer(self):
        first, got = await read_head(self.reader)
        status = int(first.split(" ")[1])
        body_out, whole = b"", True
        try:
            if got.get("transfer-encoding", "").lower() == "chunked":
                body_out = await read_chunks(self.reader)
            else:
                body_out = await self.reader.readexactly(int(got.get("content-length", 0)))
        except (asyncio.IncompleteReadError, OSError) as error:
            body_out, whole = getattr(error, "partial", b""), False
        if not whole or got.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, got, body_out, whole)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def ask_once(address, method, path, fields, body=b"", timeout=10.0):
    connection = Connection(address)
    try:
        return await connection.ask(method, path, fields, body, timeout)
    finally:
        connection.close()


# ---- the platform's store ----------------------------------------------------------------------------


class Store:
    """Objects by kind and name, conditional writes and watches. Each gateway has a door (an address) of its own, which
    can be cut: then nothing that comes in is answered."""

    def __init__(self, record):
        self.record, self.revision, self.history = record, 100, []
        self.objects = {}                  # (kind, name) -> JSON text of the object, as bytes
        self.revisions = {}                # (kind, name) -> revision
        self.changed = asyncio.Event()
        self.doors = {}

    async def open_door(self, name):
        door = {"cut": False, "turned_away": False, "address": free_address(), "writers": set(), "paths": {}}
        self.doors[name] = door
        door["server"] = await HttpServer().listen(door["address"], lambda request, writer: self.serve(door, request, writer))
        return door["address"]

    def cut(self, name, cut=True):
        door = self.doors[name]
        door["cut"] = cut
        if not cut:                        # what was held up in the cut is reset
            for writer in door["writers"]:
                writer.transport.abort()
            door["writers"].clear()

    @staticmethod
    def replace_address(out, address, path):
        head, _, body = out.partition(b"\r\n\r\n")
        body = body.replace(address.encode(), path.encode())
        return re.sub(rb"Content-Length: \d+", b"Content-Length: %d" % len(body), head) + b"\r\n\r\n" + body

    @staticmethod
    def object_text(name, revision, spec_text):
        return (b'{"metadata":{"name":%s,"revision":%d,"create_rev":%d,"finalizers":[],"deleting":false},"spec":%s,"status":{}}'
                % (json.dumps(name).encode(), revision, revision, spec_text))

    def put(self, kind, name, spec, spec_text=None):
        """Writes an object; returns the time of the acknowledgement. `spec_text`: the bytes of its spec, as written."""
        self.revision += 1
        text = self.object_text(name, self.revision, spec_text if spec_text is not None else json.dumps(spec).encode())
        self.objects[kind, name], self.revisions[kind, name] = text, self.revision
        self.note(kind, text, False)
        return now()

    def remove(self, kind, name):
        self.revision += 1
        text = self.objects.pop((kind, name))
        del self.revisions[kind, name]
        self.note(kind, text, True)
        return now()

    def note(self, kind, text, removed):
        self.history.append((self.revision, kind, b'{"object":%s,"removed":%s}' % (text, b"true" if removed else b"false")))
        self.changed.set()
        self.changed = asyncio.Event()

    def turn_away(self, name, turned_away=True):
        """The store refuses this machine's calls (503) and serves the others."""
        self.doors[name]["turned_away"] = turned_away
        self.record.line(f"the store {'turns away' if turned_away else 'serves'} {name}")

    async def serve(self, door, request, writer):
        if door["turned_away"]:
            return answer_bytes(503, {})
        out = await self.reply(request)
        if door["turned_away"]:            # a watch that was waiting
            return answer_bytes(503, {})
        for address, path in door["paths"].items():    # this gateway reaches that runner over a link of its own
            out = self.replace_address(out, address, path)
        if door["cut"]:
            door["writers"].add(writer)
            await asyncio.sleep(3600)
        return out

    async def reply(self, request):
        parts = request.path.strip("/").split("/")
        kind, name = parts[1], "/".join(parts[2:]) or None
        if request.method == "GET" and name is None:
            if "watch" in request.query:
                return await self.watch(kind, int(request.query["watch"]), int(request.query.get("wait_ms", 0)) / 1000)
            items = [text for (of, _), text in sorted(self.objects.items()) if of == kind]
            return answer_bytes(200, b'{"items":[%s],"more_pages":false,"current_rev":%d}' % (b",".join(items), self.revision))
        if request.method == "GET":
            text = self.objects.get((kind, name))
            return answer_bytes(200, text) if text else answer_bytes(404, {})
        document = json.loads(request.body)
        name = name or document["metadata"]["name"]
        condition, known = document["metadata"].get("revision"), self.revisions.get((kind, name))
        if condition and not known:
            return answer_bytes(404, {})
        if request.method == "POST" and known or condition and condition != known:
            return answer_bytes(409, self.objects[kind, name])
        self.put(kind, name, document["spec"])
        return answer_bytes(200, self.objects[kind, name])

    async def watch(self, kind, since, wait_s):
        until = time.monotonic() + wait_s
        while True:
            events = [event for revision, of, event in self.history if of == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return answer_bytes(200, b'{"events":[%s],"current_rev":%d}' % (b",".join(events), self.revision))
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---- runners -----------------------------------------------------------------------------------------


class Runner:
    """A plain service. `work_s`: how long a request takes. `answer_size`: bytes of its answers."""

    def __init__(self, store, record, name, service, zone="a", slots=6, work_s=0.015, answer_size=800):
        self.store, self.record, self.name, self.service, self.zone = store, record, name, service, zone
        self.slots, self.work_s, self.answer_size = slots, work_s, answer_size
        self.born = int(time.time() * 1000)
        self.address = free_address()
        self.runs = []                     # (arrival, request)
        self.beats = 0

    async def start(self):
        self.http = await HttpServer().listen(self.address, self.serve)
        self.register()
        return self

    def register(self, state="ready"):
        self.beats += 1
        spec = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "cold_left_ms": 0, "sequence": self.beats, "born": self.born}
        acknowledged = self.store.put("servers", self.name, spec)
        self.record.line(f"store acknowledges servers/{self.name} {state}")
        return acknowledged

    async def serve(self, request, writer):
        request_id = request.field("request-id")
        if request.path == "/report":
            return answer_bytes(200, {"stage": "colocated", "models": [], "busy": False, "sequence": 1, "waiting": 0, "running": 0,
                                      "kv_used": 0, "kv_total": 0, "handles": 0, "born": self.born})
        if request.field("target-instance") not in (None, self.name):
            return answer_bytes(421, b"", [("Request-Id", request_id), ("Not-Executed", "1"), ("Instance-Id", self.name)])
        self.runs.append((now(), request))
        self.record.line(f"runner {self.name} runs {request_id}")
        await asyncio.sleep(self.work_s)
        return answer_bytes(200, b"x" * self.answer_size, [("Request-Id", request_id), ("Response-Signature", f"sig-{request_id}"),
                                                           ("Server-Load", f"1,0,{self.slots}")])


class Engine(Runner):
    """A model runner: it carries out orders and reports. `load_s`: a load from the weight store."""

    def __init__(self, store, record, name, service, load_s=6.0, **more):
        super().__init__(store, record, name, service, slots=64, **more)
        self.models, self.sequence, self.loading, self.ready_at, self.load_s = set(), 1, None, 0.0, load_s
        self.orders = []                   # (arrival, order, status)
        self.on_disk, self.disk_load_s = set(), 0.84
        self.cold_until = 0.0
        self.pause_s, self.events = 0.03, 10           # of a stream

    def register(self, state="ready"):
        self.beats += 1
        spec = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "cold_left_ms": max(0, int((self.cold_until - now()) * 1000)), "sequence": self.beats, "born": self.born,
                "stage": "colocated", "models": self.held(), "at_hand": {"in_memory": [], "on_disk": sorted(self.on_disk)}}
        self.record.line(f"servers/{self.name}: {state}, cold for {spec['cold_left_ms']} ms more")
        return self.store.put("servers", self.name, spec)

    def crash(self):
        """All connections are reset; the address refuses new ones."""
        self.record.line(f"runner {self.name} crashes")
        self.http.stop()

    async def come_back(self, name, cold_s):
        """A new incarnation: it holds nothing but what is on its disk, and is cold."""
        self.store.remove("servers", self.name)
        self.name, self.born, self.sequence = name, int(time.time() * 1000), 0
        self.models, self.loading, self.cold_until = set(), None, now() + cold_s
        await self.start()

    def held(self):
        if self.loading and now() >= self.ready_at:
            self.models.add(self.loading)
            self.loading = None
        return [{"name": model, "version": 1, "adapters": []} for model in sorted(self.models)]

    async def serve(self, request, writer):
        if request.field("target-instance") not in (None, self.name):
            return answer_bytes(421, b"", [("Not-Executed", "1"), ("Instance-Id", self.name)])
        if request.path == "/report":
            return answer_bytes(200, {"stage": "colocated", "models": self.held(), "busy": bool(self.loading), "sequence": self.sequence,
                                      "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 100000, "handles": 0, "born": self.born,
                                      "at_hand": {"in_memory": [], "on_disk": sorted(self.on_disk)}})
        if request.path == "/order":
            order = json.loads(request.body)
            status = self.take(order)
            self.orders.append((now(), order, status))
            self.record.line(f"runner {self.name} gets order {json.dumps(order)}: {status}")
            return answer_bytes(status, {})
        return await self.stream(request, writer)

    async def stream(self, request, writer):
        request_id, model = request.field("request-id"), (request.field("model") or "").split("/")[0]
        self.held()
        if model not in self.models:
            return answer_bytes(421, b"", [("Request-Id", request_id), ("Not-Executed", "1"), ("Instance-Id", self.name)])
        self.runs.append((now(), request))
        self.record.line(f"runner {self.name} runs {request_id}")
        writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: sig-{request_id}\r\nWeight-Versions: 1\r\n"
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(int(request.field("last-event-id") or 0) + 1, self.events + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        return b"0\r\n\r\n"

    def take(self, order):
        self.held()
        model, load = order["model"], order["operation"] == "model_load"
        if self.loading:
            return 202 if load and model == self.loading else 409      # 202: "the order is being carried out"
        if load == (model in self.models):
            return 200
        if order.get("expect", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        if load:
            self.loading, self.ready_at = model, now() + (self.disk_load_s if model in self.on_disk else self.load_s)
            self.on_disk.add(model)
        else:
            self.models.discard(model)
        return 202


class Link:
    """A link between one gateway and one runner that can be cut.

    In a cut nothing passes. Bytes that were sent meanwhile on a connection that stood before come when their sender's
    TCP sends them again after the cut: 0.2 s after the first time, then after twice the pause each time, until they are
    acknowledged; a program that closes its socket doesn't change that, but one that resets its connection loses them
    (DEPLOY.md, Network). New connections can't be made in a cut.
    """
    RESENT_AFTER_S = [0.2 * (2 ** count - 1) for count in range(1, 9)]     # 0.2, 0.6, 1.4, 3.0, 6.2 s, ...

    def __init__(self, to, record):
        self.to, self.record, self.address = to, record, free_address()
        self.cut_at = self.healed_at = float("inf")
        self.on_answer = None              # called after an answer of the runner has passed

    async def open(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.connection, host, int(port))
        return self

    def cut(self, for_s):
        self.cut_at, self.healed_at = now(), now() + for_s
        self.record.line(f"the link is cut for {for_s} s")

    def is_cut(self):
        return self.cut_at <= now() < self.healed_at

    async def arrival(self, sent_at):
        """Waits until bytes that were sent at `sent_at` arrive."""
        if not self.cut_at <= sent_at < self.healed_at:
            return
        at = next(sent_at + after for after in self.RESENT_AFTER_S if sent_at + after >= self.healed_at)
        await asyncio.sleep(max(0, at - now()))

    async def connection(self, reader, writer):
        if self.is_cut():
            await asyncio.sleep(3600)      # the opening packet is lost
        host, port = self.to.split(":")
        to_reader, to_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(self.forward(reader, to_writer), self.forward(to_reader, writer, self.passed))

    def passed(self):
        if self.on_answer:
            self.on_answer()

    async def forward(self, reader, writer, passed=None):
        try:
            while piece := await reader.read(65536):
                held = self.is_cut()
                if held:
                    self.record.line(f"held up in the cut: {len(piece)} bytes, {piece.split(chr(13).encode())[0].decode('latin-1')}")
                await self.arrival(now())
                if held and reader.exception():
                    self.record.line("lost: the sender has reset the connection")
                    break
                writer.write(piece)
                await writer.drain()
                if passed:
                    passed()
            await self.arrival(now())
        except OSError:
            pass
        finally:
            writer.close()


# ---- gateways ------------------------------------------------------------------------------------------


def die_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Template:
    """The platform's filling in of a template (DEPLOY.md): {{a}}, {{a.b}} and {{a.0}}, nothing where there is no value;
    sections {{#a}} .. {{/a}}, once for each entry of a list or table, or once if the value is there, and {{^a}} .. {{/a}},
    if it isn't."""
    PART = re.compile(r"\{\{([#^/]?)([\w.@,]+)\}\}")

    def __init__(self, text):
        self.parts, self.at = self.PART.split(text), 0

    def fill_in(self, fields):
        return self.block([fields], None)

    def block(self, scopes, until, entry="", separator="", used=True):
        """The text up to the end of section `until`; empty if the section isn't `used`, which is read all the same."""
        out = self.parts[self.at]
        while self.at + 3 < len(self.parts):
            mark, name = self.parts[self.at + 1:self.at + 3]
            self.at += 3
            if mark == "/":
                if name != until:
                    raise Unusable(f"section {until} ends as {name}")
                return out if used else ""
            if mark:
                out += self.section(mark, name, scopes, used)
            else:
                out += {"@": entry, ",": separator}.get(name) if name in "@," else self.text(self.find(name, scopes))
            out += self.parts[self.at]
        if until is not None:
            raise Unusable(f"section {until} has no end")
        return out

    def section(self, mark, name, scopes, used):
        value, start = self.find(name, scopes), self.at
        empty = value is None or value is False or value == [] or value == {}
        if mark == "^" or empty:
            return self.block(scopes, name, used=used and (mark == "^") == empty)
        entries = [("", value)]
        if isinstance(value, list):
            entries = list(enumerate(value))
        elif isinstance(value, dict):
            entries = list(value.items())
        out = ""
        for number, (key, item) in enumerate(entries):
            self.at = start
            out += self.block([*scopes, item], name, str(key), "," if number + 1 < len(entries) else "", used)
        return out

    @staticmethod
    def find(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            at = scope
            for part in name.split("."):
                known = at.get(part) if isinstance(at, dict) else None
                if isinstance(at, list) and part.isdigit() and int(part) < len(at):
                    known = at[int(part)]
                at = known
            if at is not None:
                return at
        return None

    @staticmethod
    def text(value):
        if isinstance(value, list):
            return ",".join(str(entry) for entry in value)
        return "" if value is None else json.dumps(value) if isinstance(value, (dict, bool)) else str(value)


class Gateway:
    """waxwing-gateway as the deploy file starts it, with settings of a small deployment."""

    def __init__(self, folder, name, store_address, record, zone="a"):
        self.name, self.zone, self.record, self.process = name, zone, record, None
        self.front, self.ready = free_address(), free_address()
        fields = {"node": name, "zone": zone, "ip": "127.0.0.1", "listen": {"front": self.front, "ready": self.ready},
                  "internal_ports": [free_port(), free_port()], "platform": {"address": store_address},
                  "limits": {"cpu_share": 0.19, "memory_mb": MEMORY_MB}, "bounds": BOUNDS}
        self.settings = pathlib.Path(folder) / f"{name}.yaml"
        self.settings.write_text(Template(TEMPLATE.read_text()).fill_in(fields))
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.metrics = f"127.0.0.1:{fields['internal_ports'][1]}"

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([str(BINARY), "--config", str(self.settings)], stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL, cwd=ROOT, preexec_fn=die_with_parent)
        self.record.line(f"{self.name} is started")
        return self

    def running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        self.record.line(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self):
        while self.running():
            await asyncio.sleep(0.01)
        self.record.line(f"{self.name} has ended with {self.process.returncode}")

    async def is_ready(self):
        return (await ask_once(self.ready, "GET", "/readiness", {"Host": "x"}, timeout=1.0)).status == 200

    async def wait_ready(self, limit_s=15):
        until = now() + limit_s
        while now() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise Unusable(f"{self.name} isn't ready")

    def events(self, *names):
        lines = self.log.read_text(errors="replace").splitlines() if self.log.exists() else []
        out = []
        for line in lines:
            if line.startswith("{"):
                event = json.loads(line)
                if event["event"] in names:
                    out.append(event)
        return out

    def end(self):
        if self.running():
            self.process.kill()
            self.process.wait()


class Balancer:
    """The platform's entry: asks each gateway once a second whether it is ready; two misses take it out."""

    def __init__(self, gateways):
        self.gateways, self.misses, self.next = gateways, {gateway.name: 0 for gateway in gateways}, 0

    async def run(self):
        while True:
            answers = await asyncio.gather(*(gateway.is_ready() for gateway in self.gateways))
            for gateway, ready in zip(self.gateways, answers):
                self.misses[gateway.name] = 0 if ready else self.misses[gateway.name] + 1
            await asyncio.sleep(1.0)

    def pick(self):
        """The next gateway in rotation; all of them while fewer than half are."""
        ready = [gateway for gateway in self.gateways if self.misses[gateway.name] < 2]
        if 2 * len(ready) < len(self.gateways):
            ready = self.gateways
        self.next += 1
        return ready[self.next % len(ready)]


# ---- a whole case --------------------------------------------------------------------------------------

HOST, KEY = "ficu95.example", "i9n73hh2b9wu3fexd9dn"


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 12000, "target_latency_ms": 800,
            "priority": 2, "service": service, "max_attempts": 2 if kind == "idempotent" else 1, "no_auth": False, "sticky": False,
            "resumable": False, "gap_aim_ms": 300, **more}


def configuration(version=7, rate=10_000_000, burst=10_000_000, **limits):
    """A configuration with one plain service. The limits are those of PROTOCOL.md's example."""
    return {"version": version,
            "routes": [route("cert", "/cert/", "non_idempotent", "lot-registry"),
                       route("lookup", "/lookup/", "idempotent", "lot-registry")],
            "services": [{"name": "lot-registry", "health_path": "/health", "max_conns": 110, "cold_start_s": 0.0, "cold_per_s": 0.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       **limits},
            "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1, "unit": "token_stream", "plain_tokens": 200,
                         "rate_per_s": rate, "burst": burst}]}


def engine_configuration(models=5):
    """A configuration with one service of model runners, in the figures of cucem-lb."""
    out = configuration()
    engine = {"slots": 64, "kv_capacity": 114672, "weights_mb": 230000.0, "adapter_slots": 8, "loads_per_s": 4.1,
              "models": [{"name": f"m{number}", "weights_mb": 72700.0, "load_time_s": 6.0, "adapters": 0, "adapter_mb": 66.0,
                          "warm_s": 0.63, "disk_s": 0.84} for number in range(models)]}
    out["services"].append({"name": "seam-assistant", "health_path": "/health", "max_conns": 370, "cold_start_s": 3.0,
                            "cold_per_s": 13.0, "engine": engine})
    out["routes"].append(route("setup-hints", "/hints/", "streaming", "seam-assistant", timeout_ms=8000, priority=0, max_attempts=2,
                               sticky=True, resumable=True))
    out["routes"].append(route("export-dossier", "/dossier/", "streaming", "seam-assistant", timeout_ms=25000, target_latency_ms=2500,
                               sticky=True))
    return out


class Case:
    """Store, runners, gateways and record of one case. Ends every process that it started."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.store, self.gateways, self.ids = Store(self.record), [], 0

    async def gateway(self, name, zone="a"):
        made = Gateway(self.temporary.name, name, await self.store.open_door(name), self.record, zone)
        self.gateways.append(made)
        return made

    def fields(self, deadline_ms=4000, **more):
        self.ids += 1
        return {"Host": HOST, "Request-Id": f"r{self.ids:06d}", "X-Api-Key": KEY, "Deadline-Remaining": str(deadline_ms),
                **{name.replace("_", "-"): value for name, value in more.items()}}

    def close(self):
        for gateway in self.gateways:
            gateway.end()
        self.temporary.cleanup()


def run(main, folder):
    """Runs `main(case)`, which returns the exit code: 1 if the rule was broken, 0 if it held. 2: it couldn't run."""
    if not BINARY.exists():
        print(f"{BINARY} is missing: build it as deploy/system.toml says", flush=True)
        sys.exit(2)

    async def body():
        case = Case(folder)
        try:
            return await asyncio.wait_for(main(case), 110)
        except (Unusable, asyncio.TimeoutError) as error:
            case.record.line(f"couldn't run: {error!r}")
            print(f"couldn't run: {error!r}", flush=True)
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                for gateway in case.gateways:
                    pathlib.Path(os.environ["KEEP_LOGS"]).mkdir(exist_ok=True)
                    (pathlib.Path(os.environ["KEEP_LOGS"]) / gateway.log.name).write_bytes(gateway.log.read_bytes())
            case.close()

    loop = asyncio.new_event_loop()
    try:
        code = loop.run_until_complete(body())
    except Exception as error:  # a fault of the case itself
        print(f"couldn't run: {error!r}", flush=True)
        code = 2
    sys.stdout.flush()
    os._exit(code)
