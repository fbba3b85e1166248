#!/usr/bin/env python3
"""waxwing-gateway and targets whose process is killed: the kernel closes their connections as if the answers had ended."""
import sys
import threading

from gateway_fleet import Fleet, expect, outcome
from harness import arguments, run_cases, wait_until
from target_process import TargetProcess

ARGUMENTS = arguments(__doc__)
PARTS = 4                    # that a target sends before it is killed
EVENTS = [f"id: {number}\ndata: piece {number}\n\n" for number in range(1, 11)]


def outcome_when_killed(fleet, target, path, headers, body=b"x"):
    """The outcome of a request whose target is killed after some parts of its answer."""
    out = []
    caller = threading.Thread(target=lambda: out.append(outcome(fleet, path, headers, body=body)))
    caller.start()
    target.wait_until_stopped()
    target.kill()
    caller.join()
    return out[0]


def wait_for_targets(fleet, count):
    wait_until(lambda: len(fleet.events("target_changed")) >= count, "the targets are known")


def stream_of_a_killed_target_is_not_complete():
    with Fleet(ARGUMENTS.bin) as fleet:
        target = TargetProcess(fleet, "t1", "engine", PARTS)
        fleet.start()
        wait_for_targets(fleet, 1)
        expect(outcome_when_killed(fleet, target, "/dossier/1", fleet.headers("m0")), ("IncompleteRead", "".join(EVENTS[:PARTS])),
               "the stream")


def stream_of_a_killed_target_resumes_at_another_one():
    with Fleet(ARGUMENTS.bin) as fleet:
        target = TargetProcess(fleet, "t1", "engine", PARTS)
        fleet.start()
        wait_for_targets(fleet, 1)
        began = []
        caller = threading.Thread(target=lambda: began.append(outcome(fleet, "/notes/1", fleet.headers("m0"))))
        caller.start()
        target.wait_until_stopped()
        fleet.target("t2", "engine", models=["m0"]).unframed = True
        wait_for_targets(fleet, 2)
        target.kill()
        caller.join()
        expect(began, [(200, "".join(EVENTS))], "the stream")


def plain_answer_of_a_killed_target_is_not_complete():
    with Fleet(ARGUMENTS.bin) as fleet:
        target = TargetProcess(fleet, "l1", "ledger", PARTS)
        fleet.start()
        wait_for_targets(fleet, 1)
        expect(outcome_when_killed(fleet, target, "/cert/1", fleet.headers()), (502, ""), "it may have run, so nothing is promised")


def stream_that_ends_as_its_target_starts_again_is_not_complete():
    with Fleet(ARGUMENTS.bin) as fleet:
        target = fleet.target("t1", "engine", models=["m0"])
        target.unframed, target.break_stream_after = True, PARTS
        fleet.start()
        wait_for_targets(fleet, 1)
        target.born += 1         # under its id and address; its new registration hasn't come
        expect(outcome(fleet, "/dossier/1", fleet.headers("m0")), ("IncompleteRead", "".join(EVENTS[:PARTS])), "the stream")


def answers_of_running_targets_that_end_with_their_connection_are_complete():
    with Fleet(ARGUMENTS.bin) as fleet:
        engine, ledger = fleet.target("t1", "engine", models=["m0"]), fleet.target("l1", "ledger")
        engine.unframed = ledger.unframed = True
        fleet.start()
        wait_for_targets(fleet, 2)
        expect(outcome(fleet, "/dossier/1", fleet.headers("m0")), (200, "".join(EVENTS)), "the stream")
        expect(outcome(fleet, "/cert/1", fleet.headers()), (200, "recorded x"), "the plain answer")
        expect(len(ledger.runs), 1, "runs of the plain service")


def answer_of_a_full_service_is_complete_although_its_health_check_waits():
    with Fleet(ARGUMENTS.bin) as fleet:
        ledger = fleet.target("l1", "ledger")
        ledger.unframed, ledger.health_delay_s = True, 3.0
        fleet.start()
        wait_for_targets(fleet, 1)
        expect(outcome(fleet, "/cert/1", fleet.headers()), (200, "recorded x"), "the plain answer")


if __name__ == "__main__":
    run_cases([stream_of_a_killed_target_is_not_complete,
               stream_of_a_killed_target_resumes_at_another_one,
               plain_answer_of_a_killed_target_is_not_complete,
               stream_that_ends_as_its_target_starts_again_is_not_complete,
               answers_of_running_targets_that_end_with_their_connection_are_complete,
               answer_of_a_full_service_is_complete_although_its_health_check_waits])
    sys.exit(0)
