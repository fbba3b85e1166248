#!/usr/bin/env python3
"""waxwing-gateway that knows of a stream's weights before they changed within it: the stream doesn't go back to them."""
import concurrent.futures
import os
import signal
import sys
import time

from gateway_fleet import expect, outcome
from harness import Failure, Stream, arguments, run_cases
from version_fleet import STREAMS, TOLD_S, start_fleet, versions_in

ARGUMENTS = arguments(__doc__)
CHANGE_AFTER = 4             # events; the next one is of other weights
SLOW_S = 0.4                 # between events: the beginning is told to other gateways before the weights change
APART_S = 0.06               # between streams: they change at different times between two messages of a gateway


def fleet_of_changing_weights():
    """A target whose weights change within streams, one that keeps the earlier weights, one of the newer."""
    def prepare(engine, version):
        engine.weights, engine.marks, engine.event_pause_s = version, "weights", SLOW_S
    fleet, engines = start_fleet(ARGUMENTS.bin, prepare, [1, 1, 2], gateways=2)
    engines[0].new_weights_after = CHANGE_AFTER
    return fleet, engines[0]


def begin(fleet):
    headers = fleet.headers("m0", Prompt_Prefix=f"p{fleet.number}:9")
    return headers["Request-Id"], Stream(fleet.gateways[0].settings["http"], "POST", "/notes/1", fleet.number, headers)


def read_past_change(begun):
    """Reads the first event that can be of changed weights. Returns whether they changed."""
    text = ""
    while f"piece {CHANGE_AFTER + 1} of" not in text:
        line = begun.line()
        if not line:
            raise Failure(f"the stream ended early: {text}")
        text += line
    return versions_in(text) == {"w1", "w2"}


def headers_to_take_up(fleet, request_id):
    return fleet.headers("m0", Resumes=request_id, Last_Event_Id=str(CHANGE_AFTER + 1), Prompt_Prefix=f"p{fleet.number}:9")


def take_up(fleet, headers):
    """How the stream goes on at gateway 1: the status of a refusal, or its versions."""
    status, text = outcome(fleet, "/notes/1", headers, 1, headers["Request-Id"])
    return versions_in(text) if status == 200 else status


def expect_never_earlier(taken):
    joined = [each for each in taken if isinstance(each, set) and "w1" in each]
    if joined:
        raise Failure(f"{len(joined)} of {len(taken)} streams went back to the earlier weights: {taken}")
    expect([each for each in taken if each not in ({"w2"}, 503)], [], "other ends")
    expect(bool(taken), True, "weights changed within streams")


def stream_whose_weights_changed_while_the_gateway_stood_still_does_not_go_back_to_the_earlier_ones():
    fleet, changing = fleet_of_changing_weights()
    with fleet, concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
        begun = [begin(fleet) for _ in range(STREAMS)]
        changed = callers.map(read_past_change, [each for _, each in begun])
        time.sleep(TOLD_S)
        still = fleet.gateways[1].process.pid
        os.kill(still, signal.SIGSTOP)
        changing.weights = 2
        ids = [request_id for (request_id, _), newer in zip(begun, changed) if newer]
        fleet.gateways[0].kill()
        os.kill(still, signal.SIGCONT)
        expect_never_earlier(list(callers.map(lambda each: take_up(fleet, each), [headers_to_take_up(fleet, each) for each in ids])))


def stream_taken_up_at_once_after_its_weights_changed_does_not_go_back_to_the_earlier_ones():
    fleet, changing = fleet_of_changing_weights()

    def take_up_after_change(begun, headers):
        if not read_past_change(begun):
            return None
        begun.close()
        return take_up(fleet, headers)
    with fleet, concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
        ends = []
        for _ in range(STREAMS):
            request_id, begun = begin(fleet)
            ends.append(callers.submit(take_up_after_change, begun, headers_to_take_up(fleet, request_id)))
            time.sleep(APART_S)
        changing.weights = 2
        expect_never_earlier([each.result() for each in ends if each.result() is not None])


if __name__ == "__main__":
    run_cases([stream_whose_weights_changed_while_the_gateway_stood_still_does_not_go_back_to_the_earlier_ones,
               stream_taken_up_at_once_after_its_weights_changed_does_not_go_back_to_the_earlier_ones])
    sys.exit(0)
