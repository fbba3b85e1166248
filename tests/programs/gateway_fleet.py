"""Gateway processes on stand-ins of the users' platform, for process-level tests."""
import http.client
import json
import pathlib
import subprocess
import tempfile

from gateway_standins import Store, Target, configuration
from harness import Failure, Ports, Program, request, wait_until

KEY = "k-norte"


class Fleet:
    """A store, targets and gateways. Leaving the context ends all gateways and the store."""

    def __init__(self, bin_folder, gateways=1, **settings):
        """`settings`: settings of every gateway, in addition to its name and addresses."""
        self.bin = pathlib.Path(bin_folder)
        self.temporary, self.ports, self.gateways = tempfile.TemporaryDirectory(), Ports(), []
        self.settings = {"lease_term": "3s", **settings}
        self.store = Store(self.ports.address())
        self.store.put("config", "main", configuration())
        self.number = 0
        for number in range(gateways):
            self.add_gateway(f"g{number + 1}")

    def add_gateway(self, name, data_centre="a", **more):
        settings = {"name": name, "data_centre": data_centre, "store": self.store.address, **self.settings, **more,
                    **{name: self.ports.address() for name in ("http", "readiness", "metrics", "peers")}}
        binary = self.bin / "waxwing-gateway"
        self.gateways.append(Program(binary, self.temporary.name, settings, settings["metrics"]))

    def target(self, name, service, **more):
        return Target(self.store, self.ports.address(), name, service, **more)

    def __enter__(self):
        return self

    def start(self):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            wait_until(lambda gateway=gateway: self.readiness(gateway) == 200, f"{gateway.name} is ready")
        return self

    def __exit__(self, *unused):
        for gateway in self.gateways:
            if gateway.running():
                gateway.kill()
        for server in [self.store.server]:
            server.shutdown()
        self.temporary.cleanup()

    @staticmethod
    def readiness(gateway):
        return request(gateway.settings["readiness"], "GET", "/readiness", timeout=5).status

    def headers(self, model=None, **more):
        self.number += 1
        out = {"Host": "shop.example", "Request-Id": f"r{self.number}", "X-Api-Key": KEY, "Deadline-Remaining": "10000"}
        if model:
            out.update({"Model": model, "Token-Count": "100,40", "Prompt-Prefix": "aa:50,bb:50"})
        out.update({name.replace("_", "-"): value for name, value in more.items()})
        return out

    def ask(self, path, headers, body=b"x", method="POST", gateway=0):
        return request(self.gateways[gateway].settings["http"], method, path, body, headers)

    def events(self, name, gateway=None):
        """Log lines of an event, of all gateways or of one."""
        lines = "".join(program.log_text() for program in self.gateways if gateway in (None, program.name)).splitlines()
        decoded = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in decoded if line["event"] == name]

    def wait_for_contact(self):
        """Waits until every gateway is in mutual contact with every other one."""
        others = len(self.gateways) - 1

        def in_contact(gateway):
            page = request(gateway.settings["metrics"], "GET", "/metrics").text.splitlines()
            values = {line.split("{")[0]: float(line.rsplit(" ", 1)[1]) for line in page if line.startswith("waxwing_")}
            return values["waxwing_gateways_heard"] == others and values["waxwing_rate_part"] == 1
        wait_until(lambda: all(in_contact(gateway) for gateway in self.gateways), "all gateways are in contact")

    def wait_for_target(self):
        wait_until(lambda: all(self.events("target_changed", gateway.name) for gateway in self.gateways),
                   "all gateways know the target")

    def wait_for_orders(self):
        return wait_until(lambda: self.events("lease_taken"), "a gateway gives orders")

    def timeline(self, request_id):
        """Output of waxwing-timeline for the request, from the logs of all gateways."""
        logs = sum((["--log", str(gateway.log)] for gateway in self.gateways), [])
        tool = self.bin / "waxwing-timeline"
        wait_until(lambda: any(line["subject"] == request_id for name in ("request_refused", "request_cut", "request_answered")
                               for line in self.events(name)), f"the end of {request_id} is in the log")
        return subprocess.run([str(tool), *logs, "--subject", request_id], capture_output=True, text=True, check=True).stdout


def outcome(fleet, path, headers, gateway=0, body=b"x"):
    """Status and text of the answer, or the name of the exception if it was not complete."""
    try:
        answer = fleet.ask(path, headers, body, gateway=gateway)
        return answer.status, answer.text
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__, getattr(error, "partial", b"").decode()


def expect(actual, expected, subject):
    if actual != expected:
        raise Failure(f"{subject}: expected {expected!r}, got {actual!r}")


def expect_contains(text, *parts):
    for part in parts:
        if part not in text:
            raise Failure(f"{part!r} is not in:\n{text}")
