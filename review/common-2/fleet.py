"""Gateways started with the command of the deploy file, beside the project's stand-ins of the platform.

The settings are those that deploy/gateway.yaml.template gives with the bounds of a small deployment.
"""
import http.client
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import threading
import time

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(REPOSITORY / "tests" / "programs"))

from gateway_standins import Store, Target, configuration  # noqa: E402
from harness import Failure, Ports, Program, request, wait_until  # noqa: E402

GATEWAY = pathlib.Path(os.environ.get("GATEWAY", REPOSITORY / "target" / "waxwing-gateway"))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
KEY = "k-norte"
# Bounds of the small deployments (SYSTEM.md).
CONTACT_S, DRAIN_S, CONFIG_S, GRACE_S, QUOTA_WINDOW_S = 3.0, 2.0, 2.0, 8.0, 8.0


def template_settings(name, store, ports, zone="a", processor_share=0.19, memory_mb=260):
    addresses = {each: ports.address() for each in ("http", "readiness", "metrics", "peers")}
    return {"name": name, "data_centre": zone, "store": store.address, **addresses, "lease_term": "3000ms", "drain": "8s",
            "store_view": {"departures": "2000ms", "configuration": "2000ms", "data_centres": "5000ms"},
            "exchange": {"processor_share": processor_share}, "ingress": {"memory": f"{memory_mb}MB"},
            "dispatch": {"prompt_tokens_at_once": 2000, "prompt_tokens_per_second": 16000},
            "retries": {"ratio": 0.2, "slack": 56, "window": "10s"},
            "placing": {"requests_per_replica": 6, "load_factor": 0.25, "running_cost": "60ms"}}


class Record:
    """What was sent, answered and run, in the order in which it was noted; times count from the first line."""

    def __init__(self, folder):
        self.path, self.lines, self.lock, self.start = pathlib.Path(folder) / "record.txt", [], threading.Lock(), time.monotonic()

    def note(self, text, at=None):
        with self.lock:
            self.lines.append((at or time.monotonic(), text))

    def write(self):
        with self.lock:
            lines = sorted(self.lines)
        self.path.write_text("".join(f"{at - self.start:9.3f}  {text}\n" for at, text in lines))


class Fleet:
    def __init__(self, gateways, config=None, **settings):
        self.temporary, self.ports, self.gateways, self.targets = tempfile.TemporaryDirectory(), Ports(), [], []
        self.store = Store(self.ports.address())
        self.store.put("config", "main", config or configuration())
        self.number, self.lock, self.stopping = 0, threading.Lock(), threading.Event()
        for number in range(gateways):
            own = {**template_settings(f"g{number + 1}", self.store, self.ports), **settings}
            self.gateways.append(Program(GATEWAY, self.temporary.name, own, own["metrics"]))

    def target(self, name, service, kind=Target, **more):
        made = kind(self.store, self.ports.address(), name, service, **more)
        self.targets.append(made)
        return made

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stopping.set()
        if keep := os.environ.get("KEEP_LOGS"):        # folder for the gateways' logs
            for gateway in self.gateways:
                shutil.copy(gateway.log, keep)
        for gateway in self.gateways:
            if gateway.running():
                gateway.process.send_signal(signal.SIGCONT)
                gateway.kill()
        self.temporary.cleanup()

    def start(self):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            wait_until(lambda gateway=gateway: self.readiness(gateway) == 200, f"{gateway.name} is ready", 30)
        return self

    @staticmethod
    def readiness(gateway):
        return request(gateway.settings["readiness"], "GET", "/readiness", timeout=5).status

    def new_id(self):
        with self.lock:
            self.number += 1
            return f"r{self.number}"

    def headers(self, request_id, deadline_ms=10_000, key=KEY, **more):
        out = {"Host": "shop.example", "Request-Id": request_id, "X-Api-Key": key, "Deadline-Remaining": str(deadline_ms)}
        out.update({name.replace("_", "-"): str(value) for name, value in more.items()})
        return out

    def ask(self, gateway, path, headers, body=b"x", method="POST", timeout=15):
        """Status of the answer, or the name of the exception if it was not complete."""
        try:
            return request(gateway.settings["http"], method, path, body, headers, timeout=timeout)
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__

    def events(self, name, gateway=None):
        out = []
        for program in self.gateways:
            if gateway not in (None, program.name):
                continue
            for line in program.log_text().rpartition("\n")[0].splitlines():    # the last one may be incomplete
                if line.startswith("{"):
                    decoded = json.loads(line)
                    if decoded["event"] == name:
                        out.append(decoded)
        return out

    def order_giver(self):
        """Name of the gateway that gives orders."""
        return wait_until(lambda: self.events("lease_taken"), "a gateway gives orders", 30)[-1]["process"]

    def wait_for_contact(self, limit_s=30):
        others = len(self.gateways) - 1

        def in_contact(gateway):
            page = request(gateway.settings["metrics"], "GET", "/metrics").text.splitlines()
            values = {line.split("{")[0]: float(line.rsplit(" ", 1)[1]) for line in page if line.startswith("waxwing_")}
            return values["waxwing_gateways_heard"] == others and values["waxwing_rate_part"] == 1
        wait_until(lambda: all(in_contact(gateway) for gateway in self.gateways), "all gateways are in contact", limit_s)

    def run_regularly(self, work, period_s):
        """Calls work() every period in a thread of its own until the fleet ends or it returns True."""
        def loop():
            next_at = time.monotonic()
            while not self.stopping.is_set():
                if work():
                    return
                next_at += period_s
                time.sleep(max(0.0, next_at - time.monotonic()))
        threading.Thread(target=loop, daemon=True).start()


def main(play, folder):
    """Plays the case and exits with its verdict."""
    record = Record(folder)
    try:
        verdict = play(record)
    except Failure as failure:
        record.note(f"can't run: {failure}")
        verdict = CANNOT_RUN
    except Exception as error:             # a fault of the script is no verdict on the rule
        record.note(f"can't run: {type(error).__name__}: {error}")
        verdict = CANNOT_RUN
    record.note(f"verdict {verdict}")
    record.write()
    sys.stdout.flush()
    os._exit(verdict)
