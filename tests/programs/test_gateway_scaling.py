#!/usr/bin/env python3
"""waxwing-gateway and the number of targets of services that have `scaling`."""
import json
import sys
import threading
import time

from gateway_fleet import Fleet, expect, outcome
from gateway_standins import Handler, Server, configuration
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
SCALING = {"min": 1, "max": 4, "boot_s": 2}


class Platform:
    """Takes the calls of duties and keeps them."""

    def __init__(self, address):
        self.address, self.calls, self.status = address, [], 200
        self.server = Server(address, Handler, self)

    def serve(self, call):
        body = json.loads(call.body())
        self.calls.append((time.monotonic(), call.path, body, call.headers["Duty-Holder"], int(call.headers["Fencing-Token"])))
        return call.answer(self.status, {})

    def numbers(self, holder=None):
        return [call[2]["desired"] for call in self.calls if holder in (None, call[3])]


class ScaledFleet(Fleet):
    """A fleet whose service engine has `scaling`; gateways have the duty."""

    def __init__(self, scaling=None, kinds="autoscale", **more):
        super().__init__(ARGUMENTS.bin, **more)
        self.platform = Platform(self.ports.address())
        for gateway in self.gateways:
            gateway.settings["duties"] = {"address": self.platform.address, "calls_per_second": 10, "kinds": kinds}
            gateway.config.write_text(json.dumps(gateway.settings))
        config = configuration(version=3)
        config["services"][0]["scaling"] = SCALING if scaling is None else scaling
        self.store.put("config", "main", config)

    def __exit__(self, *unused):
        super().__exit__()
        self.platform.server.shutdown()


def engines(fleet, count, **more):
    out = [fleet.target(f"e{number + 1}", "engine", models=["m0"], on_disk=[f"m{model}" for model in range(5)], **more) for number in range(count)]
    fleet.start()
    fleet.wait_for_target()
    return out


def each_holder_confirms_the_number_once_with_its_own_token():
    with ScaledFleet(scaling={**SCALING, "min": 2}, gateways=2) as fleet:
        engines(fleet, 2)
        platform = fleet.platform
        wait_until(lambda: platform.calls, "the first holder calls", 30)
        _, path, body, first, token = platform.calls[0]
        expect((path, body), ("/scale", {"service": "engine", "zone": "a", "desired": 2}), "call")
        time.sleep(3)
        expect(platform.numbers(), [2], "calls while nothing changes")
        next(gateway for gateway in fleet.gateways if gateway.name == first).kill()
        wait_until(lambda: len(platform.calls) > 1, "its successor calls", 30)
        time.sleep(3)
        expect(platform.numbers(), [2, 2], "calls of both holders")
        if platform.calls[1][3] == first or platform.calls[1][4] <= token:
            raise Failure(f"second call {platform.calls[1]}, first token {token}")
        expect([line["subject"] for line in fleet.events("scale_decided")], ["engine/a"] * 2, "decisions")


def demand_beyond_the_room_of_the_targets_calls_for_more_and_its_end_for_fewer_later():
    with ScaledFleet(scaling={**SCALING, "boot_s": 1}, gateways=2) as fleet:
        target, = engines(fleet, 1, slots=8)          # runs 6 requests at once
        fleet.wait_for_orders()
        target.hold.clear()
        threads = [threading.Thread(target=outcome, args=(fleet, "/notes/1", fleet.headers("m0"), number % 2), daemon=True) for number in range(6)]
        for thread in threads:
            thread.start()
        wait_until(lambda: 2 in fleet.platform.numbers(), "two targets are called for", 30)
        target.hold.set()
        for thread in threads:
            thread.join()
        wait_until(lambda: fleet.platform.numbers()[-1] == 1, "one is enough again", 60)
        raised, *_, fell = fleet.events("scale_decided")   # the test's own clock is late by up to a poll
        if fell["unix_ms"] - raised["unix_ms"] < 10_000:
            raise Failure(f"the number fell {fell['unix_ms'] - raised['unix_ms']} ms after it rose, before demand had been low for 10 s")
        expect(max(fleet.platform.numbers()), 2, "most")


def nothing_is_called_where_it_is_not_asked_for_or_the_bounds_are_invalid():
    for scaling, kinds in ((SCALING, "usage_report"), ({"min": 3, "max": 2, "boot_s": 2}, "autoscale")):
        with ScaledFleet(scaling=scaling, kinds=kinds) as fleet:
            engines(fleet, 1)
            fleet.wait_for_orders()
            time.sleep(8)
            expect([call for call in fleet.platform.calls if call[1] == "/scale"], [], f"calls with {kinds}, {scaling}")
            expect([line["not_understood"] for line in fleet.events("config_in_force")],
                   [["scaling of service engine"] if scaling["min"] > scaling["max"] else []], "the log names it")


if __name__ == "__main__":
    run_cases([each_holder_confirms_the_number_once_with_its_own_token,
               demand_beyond_the_room_of_the_targets_calls_for_more_and_its_end_for_fewer_later,
               nothing_is_called_where_it_is_not_asked_for_or_the_bounds_are_invalid])
    sys.exit(0)
