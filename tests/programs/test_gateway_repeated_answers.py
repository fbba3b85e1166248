#!/usr/bin/env python3
"""waxwing-gateway and a target that writes an earlier answer once more on a kept connection."""
import sys
import threading

from gateway_fleet import Fleet, expect, outcome
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
KEPT_CONNECTIONS = 4         # fewer than the sends of a request
REFUSED_BODY = b"refused at first"


def keep_connections(fleet, target, path, model, count):
    """Leaves idle connections to the target, each of which has carried a request."""
    target.hold.clear()
    callers = [threading.Thread(target=outcome, args=(fleet, path, fleet.headers(model))) for _ in range(count)]
    for caller in callers:
        caller.start()
    wait_until(lambda: len(target.runs) == count, "all of them run")
    target.hold.set()
    for caller in callers:
        caller.join()


def check_repeated_refusal(path, service, model=None, connections=KEPT_CONNECTIONS):
    """The target refuses a request, and writes that refusal again on a kept connection as it runs the request."""
    with Fleet(ARGUMENTS.bin) as fleet:
        target = fleet.target("t1", service, **({"models": [model]} if model else {}))
        fleet.start()
        fleet.wait_for_target()
        keep_connections(fleet, target, path, model, connections)
        target.refuse_once.add(REFUSED_BODY)
        headers = fleet.headers(model)
        status, _ = outcome(fleet, path, headers, body=REFUSED_BODY)
        runs = sum(1 for request_id, _, _ in target.runs if request_id == headers["Request-Id"])
        if headers["Request-Id"] not in target.refusals:
            raise Failure("the target didn't refuse the request")
        expect((status, runs), (200, 1), "status and number of runs")


def repeated_refusal_of_a_call_that_runs_is_not_believed():
    check_repeated_refusal("/cert/1", "ledger")


def repeated_refusals_of_a_call_that_runs_are_not_passed_on():
    check_repeated_refusal("/cert/1", "ledger", connections=2 * KEPT_CONNECTIONS)


def repeated_refusal_of_a_stream_without_resumption_that_runs_is_not_believed():
    check_repeated_refusal("/dossier/1", "engine", "m0")


def repeated_refusal_of_a_resumable_stream_that_runs_is_not_believed():
    check_repeated_refusal("/notes/1", "engine", "m0")


def repeated_refusal_of_a_repeatable_call_that_runs_is_not_believed():
    check_repeated_refusal("/lookup/1", "ledger")


if __name__ == "__main__":
    run_cases([repeated_refusal_of_a_call_that_runs_is_not_believed,
               repeated_refusals_of_a_call_that_runs_are_not_passed_on,
               repeated_refusal_of_a_stream_without_resumption_that_runs_is_not_believed,
               repeated_refusal_of_a_resumable_stream_that_runs_is_not_believed,
               repeated_refusal_of_a_repeatable_call_that_runs_is_not_believed])
    sys.exit(0)
