"""Stand-ins of the users' platform for waxwing-gateway: the metadata store, a model engine and a plain service.

They implement the part of the platform's interface that the gateway uses, and tests can inject faults.
"""
import http.server
import json
import socket
import struct
import threading
import time
import urllib.parse

EVENT_PAUSE_S = 0.03         # between two events of a stream
STORE_LOAD_S = 60.0          # a load from the weight store takes longer than any request waits
CONFIGURED_LOAD_S = 2.0      # load time in the configuration; shorter than the actual one


class Script:
    """Answers for the runs of one request, in the order of the runs, at whatever target; the last one repeats.

    An answer is its bytes, or a list of parts that are sent one by one, and how its connection goes on: "kept",
    "closed" or "reset". REQUEST_ID in them stands for the request's id.
    """

    def __init__(self, answers):
        self.answers, self.runs, self.lock = list(answers), 0, threading.Lock()

    def answer(self, call):
        with self.lock:
            data, after = self.answers[min(self.runs, len(self.answers) - 1)]
            self.runs += 1
        for part in data if isinstance(data, list) else [data]:
            call.wfile.write(part.replace(b"REQUEST_ID", call.headers["Request-Id"].encode()))
            call.wfile.flush()
            time.sleep(EVENT_PAUSE_S)      # a reset drops what hasn't been read
        if after == "kept":
            return
        call.close_connection = True
        if after == "closed":
            return call.connection.shutdown(socket.SHUT_RDWR)
        call.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        for end in (call.rfile, call.wfile, call.connection):
            end.close()


class Server(http.server.ThreadingHTTPServer):
    """An HTTP server on its own port and thread."""
    daemon_threads = True
    request_queue_size = 64

    def __init__(self, address, handler, owner):
        host, port = address.split(":")
        super().__init__((host, int(port)), handler)
        self.owner = owner
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        pass                 # callers disconnect in these tests


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *unused):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, value=b"", headers=()):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.send_response(status)
        for name, text in headers:
            self.send_header(name, text)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def any_method(self):
        self.server.owner.serve(self)

    do_GET = do_POST = do_PUT = do_DELETE = any_method


class Store:
    """Objects by kind and name with revisions, conditional writes and watches.

    It can be restored from a copy: what was written since is gone, and its revisions are given out again.
    """

    def __init__(self, address):
        self.address, self.lock = address, threading.Condition()
        self.objects, self.history, self.revision = {}, [], 10
        self.history_from = 0              # watches from an older revision get 410
        self.era = None                    # value of the header Store-Era; None: no header
        self.copy = ({}, self.revision)    # objects and revision, for restore()
        self.texts = {}                    # mark that stands in the objects: the bytes that answers have there
        self.max_events = None             # in one answer to a watch; the rest comes with the next ones
        self.unavailable_kinds = set()     # calls for these kinds get 503
        self.endless = False               # answers state a length without end, and go on until the gateway closes
        self.calls = []                    # (time, method, kind) of all calls
        self.lists = []                    # kinds of all lists
        self.server = Server(address, Handler, self)

    def take_copy(self):
        with self.lock:
            self.copy = (dict(self.objects), self.revision)

    def restore(self):
        """Brings back the latest copy, in the next era."""
        with self.lock:
            self.objects, self.revision = dict(self.copy[0]), self.copy[1]
            self.history, self.history_from, self.era = [], self.revision, self.era + 1
            self.lock.notify_all()

    def answer(self, call, status, value):
        if self.endless:
            return self.send_without_end(call)
        if self.texts:
            value = json.dumps(value).encode()
            for mark, text in self.texts.items():
                value = value.replace(json.dumps(mark).encode(), text)
        call.answer(status, value, [] if self.era is None else [("Store-Era", str(self.era))])

    @staticmethod
    def send_without_end(call):
        call.close_connection = True
        try:
            call.connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n[")
            while True:
                call.connection.sendall(b"x" * 262_144)
                time.sleep(0.002)
        except OSError:
            pass

    def put(self, kind, name, spec):
        with self.lock:
            self.revision += 1
            known = self.objects.get((kind, name))
            created = known["metadata"]["create_rev"] if known else self.revision
            self.objects[kind, name] = {"metadata": {"name": name, "revision": self.revision, "create_rev": created}, "spec": spec}
            self.history.append((self.revision, kind, {"object": self.objects[kind, name], "removed": False}))
            self.lock.notify_all()
            return self.objects[kind, name]

    def put_text(self, kind, name, spec_text):
        """Puts an object whose spec is these bytes, JSON or not."""
        mark = f"<text {len(self.texts)}>"
        self.texts[mark] = spec_text
        return self.put(kind, name, mark)

    def put_unnamed(self, kind, name_text):
        """Puts an object whose name is these bytes, JSON or not."""
        mark = f"<text {len(self.texts)}>"
        self.texts[mark] = name_text
        return self.put(kind, mark, {})

    def remove(self, kind, name):
        with self.lock:
            self.revision += 1
            removed = self.objects.pop((kind, name))
            self.history.append((self.revision, kind, {"object": removed, "removed": True}))
            self.lock.notify_all()

    def serve(self, call):
        path, _, query = call.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = path.strip("/").split("/")
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        document = call.body()
        self.calls.append((time.monotonic(), call.command, kind))
        if kind in self.unavailable_kinds:
            return self.answer(call, 503, {})
        if call.command == "GET" and name is None:
            return self.answer(call, *(self.watch(kind, query) if "watch" in query else (200, self.list(kind))))
        with self.lock:
            status, value = self.read_or_write(call.command, kind, name, document)
        return self.answer(call, status, value)

    def read_or_write(self, method, kind, name, document):
        known = self.objects.get((kind, name or json.loads(document)["metadata"]["name"]))
        if method == "GET":
            return (200, known) if known else (404, {})
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        sent = json.loads(document)
        condition = sent["metadata"].get("revision")
        if condition and not known:
            return 404, {}
        if method == "POST" and known or condition and condition != known["metadata"]["revision"]:
            return 409, known
        return 200, self.put(kind, sent["metadata"]["name"], sent["spec"])

    def list(self, kind):
        with self.lock:
            self.lists.append(kind)
            return {"items": [item for (item_kind, _), item in sorted(self.objects.items()) if item_kind == kind],
                    "more_pages": False, "current_rev": self.revision}

    def watch(self, kind, query):
        since, until = int(query["watch"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.lock:
            while True:
                if since < self.history_from or since > self.revision:
                    return 410, {}
                events = [(revision, event) for revision, event_kind, event in self.history if event_kind == kind and revision > since]
                left = until - time.monotonic()
                if events or left <= 0:
                    part = events[:self.max_events]
                    at = self.revision if len(part) == len(events) else part[-1][0]
                    return 200, {"events": [event for _, event in part], "current_rev": at}
                self.lock.wait(left)


class DelayedAnswer:
    """A call whose answer takes a time on its way."""

    def __init__(self, call, delay_s):
        self.command, self.path, self.headers, self.body, self.call, self.delay_s = (
            call.command, call.path, call.headers, call.body, call, delay_s)

    def answer(self, *answer):
        time.sleep(self.delay_s)
        self.call.answer(*answer)


class StoreLink:
    """Another address of a store. When it is cut, connections there are closed without an answer."""

    def __init__(self, store, address):
        self.store, self.address, self.cut, self.delay_s = store, address, False, 0.0
        self.server = Server(address, Handler, self)

    def serve(self, call):
        if not self.cut:
            return self.store.serve(DelayedAnswer(call, self.delay_s))
        call.body()
        call.close_connection = True
        return call.connection.shutdown(socket.SHUT_RDWR)


class Target:
    """A model engine or a plain service, registered in the store."""

    def __init__(self, store, address, name, service, models=(), on_disk=(), slots=64):
        self.store, self.address, self.name, self.service = store, address, name, service
        self.models, self.slots, self.on_disk = {model: set() for model in models}, slots, set(on_disk) | set(models)
        self.zone = "a"
        self.version = "v1"                # of its software
        self.weights = 1                   # version of the weights that it holds
        self.new_weights_after = None      # number of events after which a run goes on with the next version of its weights
        self.states_weights = True         # in its registration and reports
        self.answers_with_weights = True   # its answers name them
        self.adapter_versions = {}         # of adapters whose version it states
        self.marks = None                  # what events name: "software", "weights" or "adapter" (its version); None: nothing
        self.born, self.sequence, self.busy_until = int(time.time() * 1000), 1, 0.0
        self.loading = None                # model being loaded until busy_until
        self.runs = []                     # (request id, headers, body) of the requests that ran
        self.run_started_at = []           # arrival time of each, in seconds
        self.break_stream_after = None     # number of events after which every stream breaks
        self.break_inside_event = False    # it breaks in the middle of the next event
        self.goes_on_after_break = False   # the run of a broken stream makes the rest of its events, which nobody gets
        self.report_age_s = None           # age of the runs that reports list; None: they list none
        self.counts_from_resumption = False # reports count no events that a run's caller had before
        self.run_history = []              # (time, request id, events made, None at the run's end)
        self.end_chunks_on_break = False   # such a stream has its last chunk
        self.events = 10                   # of a stream
        self.remaining_ms = None           # in the registration: time until it is removed
        self.streams_left_at = []          # (time, request id, event) of streams whose connection the gateway closed
        self.endless = None                # what it sends without end, until the gateway closes: see send_without_end
        self.closed_by_gateway = []        # what it was sending then
        self.padding = 0                   # bytes at the end of every plain answer
        self.unframed = False              # answers have neither length nor chunks and end with their connection
        self.health_delay_s = 0.0          # until a health check is answered: it waits for a slot
        self.break_on_body = None          # request body that breaks the connection when it runs
        self.crash_on_part = None          # id of a prompt's part, not the last, that crashes it as it begins to answer
        self.crash_with_head = True
        self.break_all = False             # every request breaks the connection
        self.cold_ms = 0                   # cold time in the registration
        self.leaving = None                # value of the header Server-Leaving in all answers; None: no header
        self.pause = None                  # value of Retry-After in the 503 that every request gets; None: it runs
        self.limit = None                  # value of the header Server-Limit in all answers; None: no header
        self.load = None                   # value of the header Server-Load in all answers; None: no header
        self.event_pause_s = EVENT_PAUSE_S # between two events of a stream
        self.refused_at = []               # arrival time of each such request
        self.other_weights_asked = 0       # requests that it refused because they expect other weights
        self.refuse_once = set()           # bodies of requests that it refuses, each once
        self.refusals = {}                 # by id of the request: its refusal, written again on kept connections
        self.script = None                 # Script that gives this target's answers; None: its own
        self.orders = []                   # (time, holder, fencing number) of all orders
        self.hold = threading.Event()
        self.hold.set()                    # when cleared, runs wait
        self.server = Server(address, Handler, self)
        self.register()

    def register(self, state="ready"):
        spec = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": self.slots,
                "state": state, "cold_left_ms": self.cold_ms, "born": self.born, "sequence": 1, "models": self.holding(),
                "at_hand": {"in_memory": [], "on_disk": sorted(self.on_disk)}}
        if self.remaining_ms is not None:
            spec["remaining_ms"] = self.remaining_ms
        self.store.put("servers", self.name, spec)

    def holding(self):
        if self.loading and time.monotonic() >= self.busy_until:
            self.models[self.loading], self.loading = set(), None
        weights = {"version": self.weights} if self.states_weights else {}
        return [{"name": model, **weights, "adapters": [self.stated(adapter) for adapter in sorted(adapters)]}
                for model, adapters in sorted(self.models.items())]

    def stated(self, adapter):
        return f"{adapter}@{self.adapter_versions[adapter]}" if adapter in self.adapter_versions else adapter

    def serve(self, call):
        if call.path == f"/{self.endless}":
            return self.send_without_end(call, [])
        if call.path == "/report":
            return call.answer(200, {**self.reported_runs(), "models": self.holding(), "busy": bool(self.loading), "born": self.born,
                                     "sequence": self.sequence, "running": 0, "waiting": 0,
                                     "at_hand": {"in_memory": [], "on_disk": sorted(self.on_disk)}})
        if call.path == "/health":
            time.sleep(self.health_delay_s)
            return call.answer(200, b"", [("Instance-Id", self.name)])
        if call.path == "/order":
            return self.take_order(call, json.loads(call.body()))
        return self.run(call, call.body())

    def reported_runs(self):
        if self.report_age_s is None:
            return {}
        until = time.monotonic() - self.report_age_s
        latest = {request_id: made for at, request_id, made in list(self.run_history) if at <= until}
        return {"runs": [[request_id, 100, made, 1] for request_id, made in latest.items() if made is not None]}

    def note_run(self, call, made):
        self.run_history.append((time.monotonic(), call.headers["Request-Id"], made))

    def take_order(self, call, order):
        self.orders.append((time.monotonic(), order["holder"], order["fencing_token"]))
        self.holding()
        if self.loading or order["expect"] != self.sequence:
            return call.answer(409, {})
        self.sequence += 1
        model = order["model"]
        if order.get("adapter"):
            (self.models[model].add if order["operation"] == "model_load" else self.models[model].discard)(order["adapter"])
        elif order["operation"] == "model_unload":
            self.models.pop(model, None)
        else:
            self.loading = model
            self.busy_until = time.monotonic() + (0.05 if model in self.on_disk else STORE_LOAD_S)
        return call.answer(202, {})

    def run(self, call, body):
        request_id = call.headers["Request-Id"]
        model = (call.headers.get("Model") or "").split("/")[0]
        self.holding()
        if call.headers.get("Target-Instance") != self.name or model and model not in self.models:
            return call.answer(421, {}, [("Instance-Id", self.name)])
        if call.headers.get("Expected-Version", str(self.weights)) != str(self.weights):
            self.other_weights_asked += 1
            return call.answer(421, {}, [("Instance-Id", self.name)])
        leaving = [] if self.leaving is None else [("Server-Leaving", self.leaving)]
        leaving += [] if self.limit is None else [("Server-Limit", self.limit)]
        leaving += [] if self.load is None else [("Server-Load", self.load)]
        if self.pause is not None:
            self.refused_at.append(time.monotonic())
            return call.answer(503, b"", [("Request-Id", request_id), ("Not-Executed", "1"),
                                          ("Retry-After", self.pause)] + leaving)
        if body in self.refuse_once:
            self.refuse_once.remove(body)
            self.refusals[request_id] = self.refusal(request_id)
            return call.wfile.write(self.refusals[request_id])
        call.carried = getattr(call, "carried", 0) + 1
        if call.carried > 1 and request_id in self.refusals:
            call.wfile.write(self.refusals[request_id])
        self.runs.append((request_id, dict(call.headers), body))
        self.run_started_at.append(time.monotonic())
        self.hold.wait()
        if self.script is not None:
            return self.script.answer(call)
        if self.break_all or self.break_on_body is not None and body == self.break_on_body:
            call.close_connection = True
            return call.connection.shutdown(socket.SHUT_RDWR)
        parts = [part.split(":")[0] for part in (call.headers.get("Prompt-Prefix") or "").split(",")]
        if self.crash_on_part in parts[:-1]:
            return self.crash(call)
        signed = [("Request-Id", request_id), ("Response-Signature", "sig-" + request_id)] + leaving
        if self.endless is not None:
            return self.send_without_end(call, signed)
        if not model:
            return self.plain_answer(call, b"recorded " + body + b"." * self.padding, signed)
        return self.stream(call, signed)

    @staticmethod
    def refusal(request_id):
        return f"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request_id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()

    def crash(self, call):
        """Ends the call after the head of its answer, or without one, and starts anew, under another id."""
        call.close_connection = True
        if self.crash_with_head:
            self.send_head(call, [("Request-Id", call.headers["Request-Id"]), ("Response-Signature", "sig"),
                                  ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")])
        call.wfile.flush()
        call.connection.shutdown(socket.SHUT_RDWR)
        self.store.remove("servers", self.name)
        self.name, self.born = self.name + "+", self.born + 1
        self.register()

    def plain_answer(self, call, data, fields):
        if not self.unframed:
            return call.answer(200, data, fields)
        self.send_head(call, fields)
        call.close_connection = True
        return call.wfile.write(data)

    @staticmethod
    def send_head(call, fields):
        call.send_response(200)
        for name, text in fields:
            call.send_header(name, text)
        call.end_headers()

    def stream(self, call, signed):
        framing = [] if self.unframed else [("Transfer-Encoding", "chunked")]
        weights = self.weights
        named = [("Weight-Versions", str(weights))] if self.answers_with_weights else []
        self.send_head(call, signed + [("Content-Type", "text/event-stream")] + named + framing)

        def write(data):
            try:
                call.wfile.write(data if self.unframed else b"%x\r\n%s\r\n" % (len(data), data))
                call.wfile.flush()
            except OSError:
                self.streams_left_at.append((time.monotonic(), call.headers["Request-Id"], number))
                raise
        first = int(call.headers.get("Last-Event-Id") or 0) + 1
        counted_from = first - 1 if self.counts_from_resumption else 0
        for number in range(first, self.events + 1):
            changes = self.new_weights_after is not None and number == self.new_weights_after + 1
            weights += changes
            mark = self.mark(call, weights)
            first_line = f"weight-versions: {weights}\n" if changes else ""
            event = f"{first_line}id: {number}\ndata: piece {number}{mark}\n\n".encode()
            if self.break_stream_after is not None and number > self.break_stream_after:
                if self.break_inside_event:
                    write(event[:-5])
                if self.end_chunks_on_break:
                    call.wfile.write(b"0\r\n\r\n")
                call.close_connection = True
                call.connection.shutdown(socket.SHUT_RDWR)
                return self.end_run(call, range(number, self.events + 1) if self.goes_on_after_break else [], counted_from)
            write(event)
            self.note_run(call, number - counted_from)
            time.sleep(self.event_pause_s)
        self.end_run(call, [], counted_from)
        call.close_connection = self.unframed
        return call.wfile.write(b"" if self.unframed else b"0\r\n\r\n")

    def end_run(self, call, rest, counted_from):
        """Makes the rest of a run's events, which nobody gets, and ends it."""
        for number in rest:
            self.note_run(call, number - counted_from)
            time.sleep(self.event_pause_s)
        self.note_run(call, None)

    def mark(self, call, weights):
        if self.marks is None:
            return ""
        adapter = (call.headers.get("Model") or "").split("/")[-1]
        return " of " + {"software": self.version, "weights": f"w{weights}", "adapter": str(self.adapter_versions.get(adapter))}[self.marks]

    def send_without_end(self, call, signed):
        """Sends bytes until the gateway closes: a part of an answer, or a report."""
        begin = b"HTTP/1.1 200 OK\r\n" + b"".join(f"{name}: {text}\r\n".encode() for name, text in signed)
        begin += {"field": b"X-Endless: ", "chunk extension": b"Transfer-Encoding: chunked\r\n\r\n1;",
                  "event": b"Content-Type: text/event-stream\r\n\r\ndata: ", "body": b"\r\n", "report": b"\r\n[", "order": b"\r\n[",
                  "length": b"Content-Length: 99999999999\r\n\r\n",
                  "trailer": b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: "}[self.endless]
        call.close_connection = True
        try:
            call.connection.sendall(begin)
            while True:
                call.connection.sendall(b"x" * 262_144 if self.endless in ("report", "order") else b"x" * 16_384)
                time.sleep(0.002)
        except OSError:
            self.closed_by_gateway.append(self.endless)


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": "shop.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 20000,
            "target_latency_ms": 1000, "priority": 1, "service": service, "max_attempts": 2, "no_auth": False,
            "sticky": kind == "streaming", "resumable": False, "gap_aim_ms": 300, **more}


class DutyPlatform:
    """The platform's calls that one gateway at a time may make. It records all of them, also those that it refuses."""

    def __init__(self, address):
        self.address, self.lock = address, threading.Lock()
        self.calls = []                    # (time, path, holder, fencing token, body) in order of arrival
        self.answers = []                  # for the next calls: a status, or "lost"; then 200
        self.server = Server(address, Handler, self)

    def serve(self, call):
        body = json.loads(call.body())
        with self.lock:
            self.calls.append((time.monotonic(), call.path, call.headers["Duty-Holder"], int(call.headers["Fencing-Token"]), body))
            answer = self.answers.pop(0) if self.answers else 200
        if answer != "lost":
            return call.answer(answer, {})
        call.close_connection = True
        return call.connection.shutdown(socket.SHUT_RDWR)

    def reports(self):
        """{window: [(holder, token, counts) of each call]}"""
        out = {}
        for _, path, holder, token, body in list(self.calls):
            assert path == "/usage", path
            out.setdefault(body["window_id"], []).append((holder, token, body["counts"]))
        return out


def configuration(version=2, keys=("k-norte",), rate=1_000_000):
    engine = {"slots": 64, "kv_capacity": 100000, "weights_mb": 230000.0, "adapter_slots": 8, "loads_per_s": 4.0,
              "models": [{"name": f"m{number}", "weights_mb": 70000.0, "load_time_s": CONFIGURED_LOAD_S, "adapters": 4,
                          "adapter_mb": 12.0, "warm_s": 0.05, "disk_s": 0.05} for number in range(5)]}
    return {"version": version,
            "routes": [route("notes", "/notes/", "streaming", "engine", resumable=True),
                       route("dossier", "/dossier/", "streaming", "engine", max_attempts=1),
                       route("cert", "/cert/", "non_idempotent", "ledger", max_attempts=1),
                       route("lookup", "/lookup/", "idempotent", "ledger")],
            "services": [{"name": "engine", "health_path": "/health", "max_conns": 300, "cold_start_s": 3.0,
                          "cold_per_s": 13.0, "engine": engine},
                         {"name": "ledger", "health_path": "/health", "max_conns": 100, "cold_per_s": 0.0}],
            "tenants": [{"name": "norte", "api_keys": list(keys), "unit": "token_stream", "plain_tokens": 200,
                         "rate_per_s": rate, "burst": rate}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 1000,
                       "idle_timeout_ms": 5000}}
