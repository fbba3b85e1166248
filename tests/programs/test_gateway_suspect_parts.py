#!/usr/bin/env python3
"""waxwing-gateway and parts of prompts that crash the targets which begin to answer them."""
import http.client
import sys
import time

from gateway_fleet import Fleet, expect
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
TOLERATED_CRASHES = 5        # before the part must be known
TOLERATED_LATER = 3          # requests that may reach a target afterwards
CONTACT_S = 3.0              # after which gateways must have told each other


def ask(fleet, parts, gateway):
    headers = fleet.headers("m0", Prompt_Prefix=f"{parts},own{fleet.number}:50")
    return fleet.ask("/dossier/1", headers, b"x%d" % fleet.number, gateway=gateway).status


def runs_with(targets, part):
    return sum(part in headers["Prompt-Prefix"] for target in targets for _, headers, _ in target.runs)


def crashing_fleet(fleet):
    targets = [fleet.target(name, "engine", models=["m0"]) for name in ("t1", "t2")]
    fleet.start()
    wait_until(lambda: all(len(fleet.events("target_changed", gateway.name)) >= 2 for gateway in fleet.gateways), "both targets are known")
    fleet.wait_for_contact()
    for target in targets:
        target.crash_on_part = "bad"
    return targets


def requests_with_a_part_that_crashes_targets_stop_at_all_gateways():
    for first, second in (("aa:50,bad:50", "aa:50,cc:50"), ("bad:50,cc:50", "dd:50,cc:50")):
        with Fleet(ARGUMENTS.bin, gateways=2) as fleet:
            targets = crashing_fleet(fleet)
            for gateway in (0, 1):
                expect(ask(fleet, second, gateway), 200, "a sound request before")
            for number in range(TOLERATED_CRASHES):
                ask(fleet, first, number % 2)
                time.sleep(0.2)
            time.sleep(CONTACT_S)
            before = runs_with(targets, "bad")
            for number in range(20):
                if ask(fleet, first, number % 2) not in (502, 503):
                    raise Failure("a request with the part was answered")
            if runs_with(targets, "bad") - before > TOLERATED_LATER:
                raise Failure(f"{runs_with(targets, 'bad') - before} more requests with the part reached targets")
            for gateway in (0, 1):
                wait_until(lambda gateway=gateway: ask(fleet, second, gateway) == 200, "the gateway knows the targets' new starts")
                for _ in range(5):
                    expect(ask(fleet, second, gateway), 200, "a sound request with the same key and another part")


def gateway_that_starts_later_refuses_a_part_known_to_its_peer():
    with Fleet(ARGUMENTS.bin, gateways=2) as fleet:
        targets = crashing_fleet(fleet)
        for _ in range(TOLERATED_CRASHES):
            ask(fleet, "aa:50,bad:50", 0)
            time.sleep(0.2)
        fleet.gateways[1].kill()
        fleet.gateways[1].start()
        wait_until(lambda: fleet.readiness(fleet.gateways[1]) == 200, "the gateway is ready again")
        fleet.wait_for_contact()
        time.sleep(CONTACT_S)
        before = runs_with(targets, "bad")
        for _ in range(10):
            ask(fleet, "aa:50,bad:50", 1)
        if runs_with(targets, "bad") - before > TOLERATED_LATER:
            raise Failure(f"{runs_with(targets, 'bad') - before} more requests with the part reached targets")


def part_of_streams_that_broke_after_they_began_stays_in_service():
    with Fleet(ARGUMENTS.bin) as fleet:
        target = fleet.target("t1", "engine", models=["m0"])
        fleet.start()
        fleet.wait_for_target()
        target.break_stream_after = 2
        for _ in range(8):
            try:
                ask(fleet, "aa:50,bad:50", 0)
            except (OSError, http.client.HTTPException):        # cut in the middle
                pass
            target.born += 1
            target.register()
            time.sleep(0.2)
        target.break_stream_after = None
        expect(ask(fleet, "aa:50,bad:50", 0), 200, "a request with the same part")


def part_of_requests_that_met_closed_connections_stays_in_service():
    with Fleet(ARGUMENTS.bin) as fleet:
        target = fleet.target("t1", "engine", models=["m0"])
        fleet.start()
        fleet.wait_for_target()
        target.crash_on_part, target.crash_with_head = "bad", False
        for _ in range(4):
            wait_until(lambda: ask(fleet, "aa:50,cc:50", 0) == 200, "a sound request leaves a kept connection")
            expect(ask(fleet, "aa:50,bad:50", 0), 502, "a request on it that meets its end")
            time.sleep(0.2)
        target.crash_on_part = None
        wait_until(lambda: ask(fleet, "aa:50,cc:50", 0) == 200, "the target is back")
        expect(ask(fleet, "aa:50,bad:50", 0), 200, "a request with the same part")


if __name__ == "__main__":
    run_cases([requests_with_a_part_that_crashes_targets_stop_at_all_gateways,
               gateway_that_starts_later_refuses_a_part_known_to_its_peer,
               part_of_streams_that_broke_after_they_began_stays_in_service,
               part_of_requests_that_met_closed_connections_stays_in_service])
    sys.exit(0)
