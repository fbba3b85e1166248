"""Gateways on stand-ins of the users' platform, for the tests that drive whole processes."""
import json
import pathlib
import subprocess
import tempfile

from gateway_standins import Store, Target, configuration
from harness import Failure, Ports, Program, request, wait_until

KEY = "k-norte"


class Fleet:
    """A store, targets and gateways; everything is ended at the end."""

    def __init__(self, bin_folder, gateways=1, **settings):
        """`settings`: of every gateway, beside its name and addresses."""
        self.bin = pathlib.Path(bin_folder)
        self.temporary, self.ports, self.gateways = tempfile.TemporaryDirectory(), Ports(), []
        self.settings = {"lease_term": "3s", **settings}
        self.store = Store(self.ports.address())
        self.store.put("config", "main", configuration())
        self.number = 0
        for number in range(gateways):
            self.add_gateway(f"g{number + 1}")

    def add_gateway(self, name):
        settings = {"name": name, "data_centre": "a", "store": self.store.address, **self.settings,
                    **{one: self.ports.address() for one in ("http", "readiness", "metrics", "peers")}}
        binary = self.bin / "waxwing-gateway"
        self.gateways.append(Program(binary, self.temporary.name, settings, settings["metrics"]))

    def target(self, name, service, **more):
        return Target(self.store, self.ports.address(), name, service, **more)

    def __enter__(self):
        return self

    def start(self):
        for one in self.gateways:
            one.start()
        for one in self.gateways:
            wait_until(lambda one=one: self.readiness(one) == 200, f"{one.name} is ready")
        return self

    def __exit__(self, *unused):
        for one in self.gateways:
            if one.running():
                one.kill()
        for door in [self.store.door]:
            door.shutdown()
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
        """Lines of an event, of all gateways or one."""
        lines = "".join(one.log_text() for one in self.gateways if gateway in (None, one.name)).splitlines()
        decoded = [json.loads(line) for line in lines if line.startswith("{")]
        return [one for one in decoded if one["event"] == name]

    def wait_for_contact(self):
        """Until every gateway hears every other one and knows that it is heard."""
        others = len(self.gateways) - 1

        def in_contact(gateway):
            page = request(gateway.settings["metrics"], "GET", "/metrics").text.splitlines()
            values = {line.split("{")[0]: float(line.rsplit(" ", 1)[1]) for line in page if line.startswith("waxwing_")}
            return values["waxwing_gateways_heard"] == others and values["waxwing_rate_part"] == 1
        wait_until(lambda: all(in_contact(one) for one in self.gateways), "all gateways are in contact")

    def wait_for_a_target(self):
        wait_until(lambda: all(self.events("target_changed", one.name) for one in self.gateways), "all know the target")

    def wait_for_orders(self):
        return wait_until(lambda: self.events("lease_taken"), "a gateway gives orders")

    def cause(self, request_id):
        """What waxwing-timeline says of the request, from the logs of all gateways."""
        logs = sum((["--log", str(one.log)] for one in self.gateways), [])
        tool = self.bin / "waxwing-timeline"
        wait_until(lambda: any(one["subject"] == request_id for name in ("request_refused", "request_cut", "request_answered")
                               for one in self.events(name)), f"the end of {request_id} is in the log")
        return subprocess.run([str(tool), *logs, "--subject", request_id], capture_output=True, text=True, check=True).stdout


def expect(got, wanted, what):
    if got != wanted:
        raise Failure(f"{what}: expected {wanted!r}, got {got!r}")


def expect_told(told, *parts):
    for part in parts:
        if part not in told:
            raise Failure(f"{part!r} is not in:\n{told}")
