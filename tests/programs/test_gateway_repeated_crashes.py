#!/usr/bin/env python3
"""waxwing-gateway and a request that crashes each target that runs it and comes again at one gateway after the other."""
import sys
import threading
import time

from gateway_fleet import Fleet, expect
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
GATEWAYS = 6
KNOWN_AFTER = 3              # crashes, after which all gateways must know
TOLERATED_LATER = 3          # retries that may reach targets afterwards
BETWEEN_RETRIES_S = 0.6      # gateways tell each other every 0.2 s


def fleet_with_fragile_target(fleet):
    target = fleet.target("l1", "ledger", slots=6)
    target.break_on_body = b"poison"
    fleet.start()
    fleet.wait_for_target()
    fleet.wait_for_contact()
    return target


def retry_at(fleet, gateways, body=b"poison", path="/cert/1"):
    statuses = []
    for gateway in gateways:
        statuses.append(fleet.ask(path, fleet.headers(), body, gateway=gateway).status)
        time.sleep(BETWEEN_RETRIES_S)
    return statuses


def request_that_crashes_targets_stops_after_the_third_wherever_it_comes_again():
    with Fleet(ARGUMENTS.bin, gateways=GATEWAYS) as fleet:
        target = fleet_with_fragile_target(fleet)
        statuses = retry_at(fleet, [number % GATEWAYS for number in range(2 * GATEWAYS)])
        if len(target.runs) > KNOWN_AFTER + TOLERATED_LATER:
            raise Failure(f"{len(target.runs)} targets ran it; answers {statuses}")
        expect(set(statuses[-GATEWAYS:]), {503}, "the last answers, one of each gateway")
        expect(fleet.ask("/cert/1", fleet.headers(), b"harmless", gateway=1).status, 200, "another request")


def request_that_crashes_targets_stays_blocked_at_a_gateway_that_starts_later():
    with Fleet(ARGUMENTS.bin, gateways=2) as fleet:
        target = fleet_with_fragile_target(fleet)
        retry_at(fleet, [0, 1, 0])
        fleet.gateways[1].kill()
        fleet.gateways[1].start()
        wait_until(lambda: fleet.readiness(fleet.gateways[1]) == 200, "the gateway is ready again")
        fleet.wait_for_contact()
        before = len(target.runs)
        wait_until(lambda: retry_at(fleet, [1]) == [503], "the gateway that started later refuses it")
        if len(target.runs) - before > TOLERATED_LATER:
            raise Failure(f"{len(target.runs) - before} more runs")


def lookup_that_met_broken_connections_is_served_again_once_it_was_answered():
    with Fleet(ARGUMENTS.bin, gateways=2) as fleet:
        target = fleet_with_fragile_target(fleet)
        for broken in (True, True, False, True, True, False):
            target.break_on_body = b"lot" if broken else None
            retry_at(fleet, [0], b"lot", "/lookup/1")
        expect(retry_at(fleet, [0, 1], b"lot", "/lookup/1"), [200, 200], "the lookup at both gateways")


def equal_requests_under_way_at_a_target_that_ends_once_are_not_blocked():
    with Fleet(ARGUMENTS.bin) as fleet:
        target = fleet_with_fragile_target(fleet)
        target.hold.clear()
        callers = [threading.Thread(target=fleet.ask, args=("/cert/1", fleet.headers(), b"poison")) for _ in range(4)]
        for caller in callers:
            caller.start()
        wait_until(lambda: len(target.runs) == len(callers), "all of them run")
        target.hold.set()
        for caller in callers:
            caller.join()
        target.break_on_body = None
        expect(retry_at(fleet, [0]), [200], "the same request afterwards")


if __name__ == "__main__":
    run_cases([request_that_crashes_targets_stops_after_the_third_wherever_it_comes_again,
               request_that_crashes_targets_stays_blocked_at_a_gateway_that_starts_later,
               lookup_that_met_broken_connections_is_served_again_once_it_was_answered,
               equal_requests_under_way_at_a_target_that_ends_once_are_not_blocked])
    sys.exit(0)
