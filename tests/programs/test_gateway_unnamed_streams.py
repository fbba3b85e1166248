#!/usr/bin/env python3
"""waxwing-gateway and callers that take their streams up without naming the attempt that began them (no `Resumes`)."""
import sys
import time

from gateway_fleet import outcome
from harness import Failure, arguments, run_cases
from version_fleet import BREAK_AFTER, STREAMS, TOLD_S, break_streams, broken_stream, start_fleet, versions_in

ARGUMENTS = arguments(__doc__)


def taken_up(fleet, gateway):
    headers = fleet.headers("m0", Last_Event_Id=str(BREAK_AFTER), Prompt_Prefix=f"p{fleet.number}:9")
    return outcome(fleet, "/notes/1", headers, gateway, str(fleet.number))


def expect_none_joined(weights, loaded_since):
    """`weights` are registered; the first target holds `loaded_since` when streams begin."""
    def prepare(engine, version):
        engine.weights, engine.marks = version, "weights"
    fleet, engines = start_fleet(ARGUMENTS.bin, prepare, weights, gateways=2)
    with fleet:
        time.sleep(TOLD_S)                 # by then gateways that have just started are told nothing more than others
        engines[0].weights = loaded_since
        break_streams(engines, BREAK_AFTER)
        begun = [broken_stream(fleet) for _ in range(STREAMS)]
        break_streams(engines, None)
        time.sleep(TOLD_S)
        answers = [(version, *taken_up(fleet, 1)) for _, version in begun]
        joined = [(version, text) for version, status, text in answers if status == 200 and versions_in(text) != {version}]
        if joined:
            raise Failure(f"{len(joined)} of {STREAMS} streams: {joined[0]}")


def stream_without_name_does_not_go_on_at_other_weights():
    expect_none_joined([1, 2, 1, 2], 1)


def stream_without_name_does_not_go_on_at_other_weights_before_a_load_is_registered():
    expect_none_joined([1, 1], 2)


if __name__ == "__main__":
    run_cases([stream_without_name_does_not_go_on_at_other_weights,
               stream_without_name_does_not_go_on_at_other_weights_before_a_load_is_registered])
    sys.exit(0)
