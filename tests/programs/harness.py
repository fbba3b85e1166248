"""Starts real programs on loopback for tests and for scripts/demo, and drives them over HTTP.

A deployment is described by a layout, the `layout` part of a file in deploy/ (see `small_layout`). No test result
depends on timing: `wait_until` polls a condition, and its time limit is far above the expected duration.
"""
import argparse
import ctypes
import hashlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

WAIT_LIMIT_S = 60.0          # ends a hung test; no result depends on its length
POLL_EVERY_S = 0.05
STOP_LIMIT_S = 30.0          # a drain that takes longer is a failure
OPERATOR_TOKEN = "wxo-demo-operator"
FIRST_PORT, PORT_SLOTS, PORTS_PER_SLOT = 10_000, 140, 160   # below the range for outgoing connections
PR_SET_PDEATHSIG = 1
LOG_TAIL_LINES = 15


class Failure(Exception):
    """A step of a test or of the demo did not have the expected result."""


def digest_of(text):
    """The digest under which API keys and operators' tokens are stored."""
    return hashlib.blake2b(text.encode(), digest_size=32).hexdigest()


def wait_until(condition, description, limit_s=WAIT_LIMIT_S):
    """Polls `condition` until it returns a true value, and returns that. Raises Failure after `limit_s`."""
    deadline = time.monotonic() + limit_s
    last_error = None
    while time.monotonic() < deadline:
        try:
            value = condition()
            if value:
                return value
            last_error = None
        except (OSError, http.client.HTTPException, ValueError, KeyError) as error:
            last_error = error
        time.sleep(POLL_EVERY_S)
    raise Failure(f"not reached within {limit_s:.0f} s: {description}" + (f" ({last_error!r})" if last_error else ""))


class Response:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, {k.lower(): v for k, v in headers}, body

    @property
    def text(self):
        return self.body.decode(errors="replace")

    def json(self):
        return json.loads(self.body)

    def __repr__(self):
        return f"<{self.status} {self.text[:300]}>"


def request(address, method, path, body=None, headers=None, timeout=30.0):
    """One call on a new connection; raises OSError or HTTPException if the response is missing or incomplete."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    headers = dict(headers or {})
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        headers.setdefault("Content-Type", "application/json")
    elif isinstance(body, str):
        body = body.encode()
    try:
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return Response(answer.status, answer.getheaders(), answer.read())
    finally:
        connection.close()


class Stream:
    """A response that is read line by line, for tests that act while it is streamed."""

    def __init__(self, address, method, path, body, headers, timeout=60.0):
        host, port = address.split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        self.connection.request(method, path, json.dumps(body).encode(),
                                {"Content-Type": "application/json", **headers})
        self.answer = self.connection.getresponse()
        self.status = self.answer.status

    def line(self):
        """Returns the next line, empty at the end. Raises HTTPException or OSError if the stream was cut."""
        return self.answer.readline().decode(errors="replace")

    def rest(self):
        return self.answer.read().decode(errors="replace")

    def close(self):
        self.connection.close()


class Ports:
    """Allocates loopback ports from a range chosen by process id, which keeps concurrent tests apart."""

    def __init__(self):
        self.next = FIRST_PORT + (os.getpid() % PORT_SLOTS) * PORTS_PER_SLOT

    def take(self):
        while True:
            port, self.next = self.next, self.next + 1
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue

    def address(self):
        return f"127.0.0.1:{self.take()}"


class Program:
    """A process of a built program, with its settings file and its log."""

    def __init__(self, binary, folder, settings, page):
        self.binary, self.name, self.settings = str(binary), settings["name"], settings
        self.config = pathlib.Path(folder) / f"{self.name}.yaml"
        self.log = pathlib.Path(folder) / f"{self.name}.log"
        self.page = page            # "ip:port" of /healthz, /metrics and /timeline; None if it has none
        self.process = None
        self.config.write_text(json.dumps(settings, indent=1) + "\n")   # JSON is YAML

    def start(self, unread=False):
        """Starts the process. `unread`: its standard output is a pipe that nobody reads."""
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([self.binary, "--config", str(self.config)],
                                            stdout=subprocess.PIPE if unread else log, stderr=log,
                                            stdin=subprocess.DEVNULL, preexec_fn=die_with_parent)
        return self

    def running(self):
        return self.process is not None and self.process.poll() is None

    def healthy(self):
        if not self.running():
            raise Failure(f"{self.name} ended with {self.process.returncode}\n{self.log_tail()}")
        return self.page is None or request(self.page, "GET", "/healthz", timeout=5).status == 200

    def ready(self):
        self.healthy()
        return self.page is None or request(self.page, "GET", "/readyz", timeout=5).status == 200

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.process.send_signal(signal.SIGCONT)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def terminate(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()

    def stop(self, limit_s=STOP_LIMIT_S):
        """Stops the process with SIGTERM and returns its exit code. Raises Failure if it does not end in time."""
        self.terminate()
        try:
            return self.process.wait(limit_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise Failure(f"{self.name} did not end within {limit_s:.0f} s of SIGTERM") from None

    def log_text(self):
        return self.log.read_text(errors="replace") if self.log.exists() else ""

    def log_tail(self):
        lines = self.log_text().splitlines()[-LOG_TAIL_LINES:]
        return "\n".join(f"    {self.name}: {line}" for line in lines)


def die_with_parent():
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Deployment:
    """All processes of a layout. As a context manager it ends all that it started, also after a failure."""

    def __init__(self, bin_folder, layout, folder=None, log_level="info"):
        self.bin, self.layout, self.log_level = pathlib.Path(bin_folder).resolve(), layout, log_level
        self.temporary = tempfile.TemporaryDirectory(prefix="waxwing-") if folder is None else None
        self.folder = pathlib.Path(folder or self.temporary.name)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.ports, self.programs = Ports(), {}
        self.shards = str(layout.get("control_shards", 16))
        self.platform_address = self.ports.address()
        self.engines, self.agents, self.vms = {}, {}, []          # addresses by target
        self.stewards = [self._place("steward", i, data_centre) for i, data_centre in enumerate(layout["stewards"])]
        self.routers = [self._place("router", i, data_centre) for i, data_centre in enumerate(layout["routers"])]
        self.admins = [self._place("admin", i, data_centre) for i, data_centre in enumerate(layout["admins"])]
        for group in layout["targets"]:
            self._place_targets(group)
        self._platform()

    @property
    def fed(self):
        """Number of processes that receive the configuration feed: agents, routers and stewards."""
        return len(self.agents) + len(self.routers) + len(self.stewards)

    # -- layout ----------------------------------------------------------------------------------

    def _place(self, role, index, data_centre):
        place = {"name": f"{role}-{index + 1}", "data_centre": data_centre, "address": self.ports.address(),
                 "operations": self.ports.address()}
        self.vms.append({"vm": f"vm-{place['name']}", "data_centre": data_centre, "role": role, "service": "",
                         "address": place["address"], "state": "live"})
        return place

    def _place_targets(self, group):
        for i in range(group["count"]):
            data_centre = group["data_centres"][i % len(group["data_centres"])]
            target = f"{group['service']}-{i + 1}"
            engine, listen, operations = (self.ports.address() for _ in range(3))
            self.vms.append({"vm": f"vm-{target}", "data_centre": data_centre, "role": "target",
                             "service": group["service"], "address": listen, "engine": engine, "state": "live"})
            self._target_programs(group, target, data_centre, engine, listen, operations)

    def _target_programs(self, group, target, data_centre, engine, listen, operations):
        stand_in = {"name": f"{target}-engine", "listen": engine, **group.get("stand_in", {})}
        kind = "engine" if group["kind"] == "model" else "service"
        if kind == "engine":
            stand_in["memory"] = group["memory"]
        self.engines[target] = engine
        self._add(f"waxwing-standin-{kind}", stand_in, None)
        agent = {"name": f"{target}-agent", "log_level": self.log_level, "vm": f"vm-{target}",
                 "data_centre": data_centre, "target": target, "service": group["service"],
                 "kind": group["kind"], "listen": listen, "operations": operations, "engine": engine,
                 "stewards": self.steward_addresses(), "control_shards": self.shards, **group.get("agent", {})}
        if group["kind"] == "model":
            agent["memory"] = group["memory"]
            agent["platform"] = self.platform_address
        self.agents[target] = agent["name"]
        self._add("waxwing-agent", agent, operations)

    def steward_addresses(self):
        return [steward["address"] for steward in self.stewards]

    def _common(self, place):
        return {"name": place["name"], "log_level": self.log_level, "vm": f"vm-{place['name']}",
                "data_centre": place["data_centre"]}

    def _platform(self):
        self._add("waxwing-standin-platform",
                  {"name": "platform", "listen": self.platform_address, **self.layout.get("platform", {}),
                   "vms": self.vms}, self.platform_address)
        for steward in self.stewards:
            others = [a for a in self.steward_addresses() if a != steward["address"]]
            self._add("waxwing-steward",
                      {**self._common(steward), "listen": steward["address"], "operations": steward["operations"],
                       "platform": self.platform_address, "control_shards": self.shards, "stewards": others,
                       **self.layout.get("steward", {})}, steward["operations"])
        for router in self.routers:
            self._add("waxwing-router",
                      {**self._common(router), "http": router["address"], "stewards": self.steward_addresses(),
                       "control_shards": self.shards, **self.layout.get("router", {})}, router["address"])
        for admin in self.admins:
            self._add("waxwing-admin",
                      {**self._common(admin), "http": admin["address"], "platform": self.platform_address,
                       "stewards": self.steward_addresses(),
                       "steward_operations": [s["operations"] for s in self.stewards],
                       "operators": self.operators()}, admin["address"])

    def operators(self):
        return self.layout.get("operators", [{"name": "demo", "team": "platform", "role": "owner",
                                              "token_digest": digest_of(OPERATOR_TOKEN)}])

    def _add(self, binary, settings, page):
        self.programs[settings["name"]] = Program(self.bin / binary, self.folder, settings, page)

    # -- lifecycle -------------------------------------------------------------------------------

    def start(self, *names):
        """Starts the named programs, or all, and waits until each serves /healthz."""
        chosen = [self.programs[name] for name in names] or list(self.programs.values())
        for program in chosen:
            program.start()
        for program in chosen:
            wait_until(program.healthy, f"{program.name} serves /healthz")
        return self

    def restart(self, name):
        program = self.programs[name]
        if program.running():
            program.kill()
        program.start()
        wait_until(program.healthy, f"{name} serves /healthz again")

    def stop(self):
        """Stops all running processes; returns the names of those that had to be killed."""
        running = [program for program in self.programs.values() if program.running()]
        for program in running:
            program.terminate()
        killed, deadline = [], time.monotonic() + STOP_LIMIT_S
        for program in running:
            try:
                program.process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                program.kill()
                killed.append(program.name)
        return killed

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        if kind is not None and not issubclass(kind, KeyboardInterrupt):
            for program in self.programs.values():
                if program.log_text():
                    print(program.log_tail(), flush=True)
        self.stop()
        if self.temporary:
            self.temporary.cleanup()

    # -- calls -----------------------------------------------------------------------------------

    def admin(self, method, path, body=None, headers=None, index=0, token=OPERATOR_TOKEN):
        return request(self.admins[index]["address"], method, path, body,
                       {"Authorization": f"Bearer {token}", **(headers or {})})

    def ctl(self, *arguments, index=0, check=True, stdin=None):
        """Runs waxwingctl against an administration process; returns the finished process."""
        env = dict(os.environ, WAXWING_ADMIN=self.admins[index]["address"], WAXWING_TOKEN=OPERATOR_TOKEN)
        done = subprocess.run([str(self.bin / "waxwingctl"), *arguments], env=env, text=True, input=stdin,
                              stdout=subprocess.PIPE, stderr=subprocess.PIPE, timeout=120)
        if check and done.returncode != 0:
            raise Failure(f"waxwingctl {' '.join(arguments)} ended with {done.returncode}\n{done.stdout}{done.stderr}")
        return done

    def grant_key(self, customer):
        """Creates an API key; returns its (id, text)."""
        answer = self.admin("POST", "/v1/keys", {"customer": customer})
        if answer.status != 201:
            raise Failure(f"no key for {customer}: {answer}")
        return answer.json()["id"], answer.json()["key"]

    def in_force(self):
        """Whether every process that a steward feeds has applied the newest revision."""
        page = self.admin("GET", "/v1/in-force").json()
        return bool(page["processes"]) and not page["lacking"]

    def chat(self, model, prompt, key, index=0, headers=None, timeout=90.0, **fields):
        body = {"model": model, "messages": [{"role": "user", "content": prompt}], **fields}
        return request(self.routers[index]["address"], "POST", "/v1/chat/completions", body,
                       {"Authorization": f"Bearer {key}", **(headers or {})}, timeout)

    def fault(self, kind, match="", count=-1, delay_ms=0, **more):
        """Injects a fault into the platform stand-in."""
        answer = request(self.platform_address, "POST", "/faults",
                         {"kind": kind, "match": match, "count": count, "delay_ms": delay_ms, **more})
        if answer.status != 204:
            raise Failure(f"the stand-in took no fault {kind}: {answer}")

    def clear_faults(self):
        request(self.platform_address, "DELETE", "/faults")

    def metric(self, program, name):
        """Returns the sum of a program's metric over all label sets."""
        lines = request(self.programs[program].page, "GET", "/metrics", timeout=5).text.splitlines()
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.split("{")[0].split(" ")[0] == name)

    def work_at(self, data_centre):
        """Number of requests that the agents of a data centre have started."""
        return sum(self.metric(agent, f"waxwing_agent_{metric}") for agent in self.agents.values()
                   if self.programs[agent].settings["data_centre"] == data_centre
                   for metric in ("finished_requests_total", "running_requests"))

    def pages(self):
        """Addresses of the operations pages of all running processes."""
        return [p.page for p in self.programs.values() if p.page and p.running()]


def small_layout(**changes):
    """Two data centres, two stewards, two routers, two model targets and one plain target."""
    layout = {
        "stewards": ["cerro", "la-teja"], "routers": ["cerro", "la-teja"], "admins": ["cerro"],
        "platform": {"vm_lag": "500ms", "weights": {"loads_per_second": 20, "at_once": 4}},
        "targets": [
            {"service": "seam-assistant", "kind": "model", "count": 2, "data_centres": ["cerro", "la-teja"],
             "memory": "80GB", "stand_in": {"load_time": "50ms", "token_time": "5ms"},
             "agent": {"concurrency": 16, "ramp_start": 4, "ramp_step_every": "1s"}},
            {"service": "lot-registry", "kind": "plain", "count": 1, "data_centres": ["cerro"],
             "stand_in": {"role": "registry"}, "agent": {"concurrency": 16, "ramp_start": 16}}]}
    layout.update(changes)
    return layout


def arguments(description):
    """Parses the command line of a test script: --bin FOLDER with the built programs."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--bin", required=True, help="folder with the built programs")
    return parser.parse_args()


def run_cases(cases):
    """Runs each case once, in order. Exits with 1 if any failed, otherwise with 0."""
    failed = []
    for case in cases:
        started = time.monotonic()
        try:
            case()
            print(f"ok      {case.__name__} ({time.monotonic() - started:.1f} s)", flush=True)
        except (Failure, AssertionError, OSError, http.client.HTTPException) as error:
            failed.append(case.__name__)
            print(f"FAILED  {case.__name__}: {error!r}", flush=True)
    raise SystemExit(1 if failed else 0)
