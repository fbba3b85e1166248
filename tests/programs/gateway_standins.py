"""Stand-ins of the users' platform for waxwing-gateway: the metadata store, a model engine and a plain service.

They speak what the platform's page says, as far as the gateway uses it, and take faults from the test.
"""
import http.server
import json
import socket
import threading
import time
import urllib.parse

EVENT_PAUSE_S = 0.03         # between two events of a stream
STORE_LOAD_S = 60.0          # a load from the weight store lasts longer than any request here
FORETOLD_LOAD_S = 2.0        # and than the configuration says


class Door(http.server.ThreadingHTTPServer):
    """An HTTP server on a port of its own, in a thread."""
    daemon_threads = True
    request_queue_size = 64

    def __init__(self, address, handler, owner):
        host, port = address.split(":")
        super().__init__((host, int(port)), handler)
        self.owner = owner
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        pass                 # callers come and go in these tests


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
    """Objects by kind and name with revisions, conditional writes and watches."""

    def __init__(self, address):
        self.address, self.lock = address, threading.Condition()
        self.objects, self.history, self.revision = {}, [], 10
        self.refusing = set()        # kinds whose calls get 503
        self.door = Door(address, Handler, self)

    def put(self, kind, name, spec):
        with self.lock:
            self.revision += 1
            self.objects[kind, name] = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
            self.history.append((self.revision, kind, {"object": self.objects[kind, name], "removed": False}))
            self.lock.notify_all()
            return self.objects[kind, name]

    def remove(self, kind, name):
        with self.lock:
            self.revision += 1
            gone = self.objects.pop((kind, name))
            self.history.append((self.revision, kind, {"object": gone, "removed": True}))
            self.lock.notify_all()

    def serve(self, call):
        path, _, query = call.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = path.strip("/").split("/")
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        document = call.body()
        if kind in self.refusing:
            return call.answer(503, {})
        if call.command == "GET" and name is None:
            return call.answer(200, self.watch(kind, query) if "watch" in query else self.list(kind))
        with self.lock:
            known = self.objects.get((kind, name or json.loads(document)["metadata"]["name"]))
        if call.command == "GET":
            return call.answer(200, known) if known else call.answer(404, {})
        if call.command == "DELETE":
            self.remove(kind, name)
            return call.answer(200, {})
        given = json.loads(document)
        condition = given["metadata"].get("revision")
        if call.command == "POST" and known or condition and condition != known["metadata"]["revision"]:
            return call.answer(409, known)
        return call.answer(200, self.put(kind, given["metadata"]["name"], given["spec"]))

    def list(self, kind):
        with self.lock:
            return {"items": [one for (of, _), one in sorted(self.objects.items()) if of == kind],
                    "more_pages": False, "current_rev": self.revision}

    def watch(self, kind, query):
        since, until = int(query["watch"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.lock:
            while True:
                events = [event for revision, of, event in self.history if of == kind and revision > since]
                left = until - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "current_rev": self.revision}
                self.lock.wait(left)


class Target:
    """A model engine or a plain service, registered in the store."""

    def __init__(self, store, address, name, service, models=(), on_disk=(), slots=64):
        self.store, self.address, self.name, self.service = store, address, name, service
        self.models, self.slots, self.on_disk = {one: set() for one in models}, slots, set(on_disk) | set(models)
        self.born, self.sequence, self.busy_until = int(time.time() * 1000), 1, 0.0
        self.coming = None           # a model whose load ends at busy_until
        self.runs = []               # ids of the requests that ran
        self.run_times = []          # when each of them came, in seconds
        self.cut_after = None        # events after which every stream breaks off
        self.breaks_on = None        # a body that breaks the connection as soon as it runs
        self.breaks_all = False      # every body does
        self.cold_ms = 0             # as registered
        self.hold = threading.Event()
        self.hold.set()              # cleared: runs wait
        self.door = Door(address, Handler, self)
        self.register()

    def register(self, state="ready"):
        spec = {"service": self.service, "address": self.address, "zone": "a", "version": "v1", "slots": self.slots,
                "state": state, "cold_left_ms": self.cold_ms, "born": self.born, "sequence": 1, "models": self.holding(),
                "at_hand": {"in_memory": [], "on_disk": sorted(self.on_disk)}}
        self.store.put("servers", self.name, spec)

    def holding(self):
        if self.coming and time.monotonic() >= self.busy_until:
            self.models[self.coming], self.coming = set(), None
        return [{"name": one, "version": 1, "adapters": sorted(with_)} for one, with_ in sorted(self.models.items())]

    def serve(self, call):
        if call.path == "/report":
            return call.answer(200, {"models": self.holding(), "busy": bool(self.coming), "born": self.born,
                                     "sequence": self.sequence, "running": 0, "waiting": 0,
                                     "at_hand": {"in_memory": [], "on_disk": sorted(self.on_disk)}})
        if call.path == "/order":
            return self.take_order(call, json.loads(call.body()))
        return self.run(call, call.body())

    def take_order(self, call, order):
        self.holding()
        if self.coming or order["expect"] != self.sequence:
            return call.answer(409, {})
        self.sequence += 1
        model = order["model"]
        if order.get("adapter"):
            (self.models[model].add if order["operation"] == "model_load" else self.models[model].discard)(order["adapter"])
        elif order["operation"] == "model_unload":
            self.models.pop(model, None)
        else:
            self.coming = model
            self.busy_until = time.monotonic() + (0.05 if model in self.on_disk else STORE_LOAD_S)
        return call.answer(202, {})

    def run(self, call, body):
        identity = call.headers["Request-Id"]
        wish = (call.headers.get("Model") or "").split("/")[0]
        self.holding()
        if call.headers.get("Target-Instance") != self.name or wish and wish not in self.models:
            return call.answer(421, {}, [("Instance-Id", self.name)])
        self.runs.append((identity, dict(call.headers), body))
        self.run_times.append(time.monotonic())
        self.hold.wait()
        if self.breaks_all or self.breaks_on is not None and body == self.breaks_on:
            call.close_connection = True
            return call.connection.shutdown(socket.SHUT_RDWR)
        signed = [("Request-Id", identity), ("Response-Signature", "sig-" + identity)]
        if not wish:
            return call.answer(200, b"recorded " + body, signed)
        call.send_response(200)
        for name, text in signed + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]:
            call.send_header(name, text)
        call.end_headers()
        first = int(call.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, 11):
            if self.cut_after is not None and number > self.cut_after:
                call.close_connection = True
                return call.connection.shutdown(socket.SHUT_RDWR)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            call.wfile.flush()
            time.sleep(EVENT_PAUSE_S)
        call.wfile.write(b"0\r\n\r\n")
        return None


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": "shop.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 20000,
            "target_latency_ms": 1000, "priority": 1, "service": service, "max_attempts": 2, "no_auth": False,
            "sticky": kind == "streaming", "resumable": False, "gap_aim_ms": 300, **more}


def configuration(version=2, keys=("k-norte",), rate=1_000_000):
    engine = {"slots": 64, "kv_capacity": 100000, "weights_mb": 230000.0, "adapter_slots": 8, "loads_per_s": 4.0,
              "models": [{"name": f"m{number}", "weights_mb": 70000.0, "load_time_s": FORETOLD_LOAD_S, "adapters": 4,
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
