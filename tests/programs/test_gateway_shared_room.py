#!/usr/bin/env python3
"""Shared capacity (`dispatch.shared_room`): several gateways together keep an engine's limit, and serve beside a gateway
that doesn't have the setting, as while a new version is rolled out."""
import sys
import threading
import time

from gateway_fleet import Fleet, expect
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
SHARED = {"shared_room": True}
SLOTS, LIMIT = 8, 6      # a gateway fills three quarters of an engine's slots
TAKEOVER_S = 1.0         # a gateway that has just started grants nothing for so long


def start(fleet):
    engine = fleet.target("t1", "engine", models=["m0"], slots=SLOTS)
    fleet.start()
    fleet.wait_for_target()
    fleet.wait_for_contact()
    time.sleep(TAKEOVER_S + 0.3)
    return engine


def send(fleet, count):
    """Sends concurrent requests through all gateways. Returns the threads and the statuses, which grow."""
    statuses = []

    def ask(number, headers):
        statuses.append(fleet.ask("/dossier/1", headers, gateway=number % len(fleet.gateways)).status)
    requests = [(number, fleet.headers("m0", Prompt_Prefix=f"s{number}:9")) for number in range(count)]
    threads = [threading.Thread(target=ask, args=request) for request in requests]
    for thread in threads:
        thread.start()
    return threads, statuses


def gateways_together_keep_an_engines_limit():
    count = 20
    with Fleet(ARGUMENTS.bin, gateways=3, dispatch=SHARED) as fleet:
        engine = start(fleet)
        engine.hold.clear()
        threads, statuses = send(fleet, count)
        wait_until(lambda: len(engine.runs) >= LIMIT, "the engine is at its limit")
        time.sleep(0.4)
        at_engine = len(engine.runs)
        engine.hold.set()
        for thread in threads:
            thread.join()
        expect(at_engine, LIMIT, "requests at the engine at once")
        if not set(statuses) <= {200, 503} or statuses.count(200) <= LIMIT:
            raise Failure(f"answers: {sorted(statuses)}")
        granted = fleet.events("turn_granted")
        expect({line["places"] for line in granted}, {LIMIT}, "places of the engine in the scheduler's lines")
        expect(len({line["process"] for line in granted}), 1, "schedulers")
        if not fleet.events("turns_held"):
            raise Failure("no line tells that turns wait for a place")
        first = fleet.events("turn_asked")[0]
        if not any(line["number"] == first["number"] and line["gateway"] == first["process"] for line in granted):
            raise Failure(f"the turn of {first} can't be found at its scheduler")


def a_gateway_without_the_setting_is_served_beside_the_others():
    with Fleet(ARGUMENTS.bin, gateways=2, dispatch=SHARED) as fleet:
        fleet.add_gateway("g3", dispatch={"prompt_tokens_per_second": 16000})
        engine = start(fleet)
        threads, statuses = send(fleet, 30)
        for thread in threads:
            thread.join()
        expect(statuses, [200] * 30, "answers")
        expect(len(engine.runs), 30, "requests that ran")
        expect(fleet.events("datagram_ignored"), [], "messages that were not understood")


def without_the_setting_nothing_is_logged_of_it():
    with Fleet(ARGUMENTS.bin, gateways=2, dispatch={"prompt_tokens_per_second": 16000}) as fleet:
        start(fleet)
        threads, statuses = send(fleet, 8)
        for thread in threads:
            thread.join()
        expect(statuses, [200] * 8, "answers")
        for event in ("turn_asked", "turn_granted", "turns_held"):
            expect(fleet.events(event), [], event)


if __name__ == "__main__":
    run_cases([gateways_together_keep_an_engines_limit, a_gateway_without_the_setting_is_served_beside_the_others,
               without_the_setting_nothing_is_logged_of_it])
    sys.exit(0)
