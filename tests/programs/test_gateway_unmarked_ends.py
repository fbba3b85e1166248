#!/usr/bin/env python3
"""waxwing-gateway and streams that only the end of their connection ends, at targets that go on running and report their runs."""
import sys
import threading
import time

from gateway_fleet import Fleet, expect, outcome
from harness import arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
COUNT, BROKEN_AFTER = 40, 20       # events of a stream, and those before it breaks
REPORT_AGE_S = 0.3
LONGEST_WAIT_S = 2.0               # from the last event to the end of a whole stream
EVENTS = [f"id: {number}\ndata: piece {number}\n\n" for number in range(1, COUNT + 1)]
WHOLE, BROKEN = (200, "".join(EVENTS)), ("IncompleteRead", "".join(EVENTS[:BROKEN_AFTER]))


def started(fleet, count=1, report_age_s=REPORT_AGE_S):
    """Targets whose answers have neither length nor chunks, and that report their runs."""
    targets = [fleet.target(f"t{number}", "engine", models=["m0"]) for number in range(count)]
    for target in targets:
        target.unframed, target.events, target.report_age_s = True, COUNT, report_age_s
    fleet.start()
    wait_until(lambda: len(fleet.events("target_changed")) >= count, "the targets are known")
    return targets


def break_off(target, goes_on=True):
    target.break_stream_after, target.goes_on_after_break = BROKEN_AFTER, goes_on


def stream_whose_run_goes_on_is_not_complete():
    with Fleet(ARGUMENTS.bin) as fleet:
        break_off(*started(fleet))
        expect(outcome(fleet, "/dossier/1", fleet.headers("m0")), BROKEN, "the stream")


def stream_whose_run_goes_on_is_not_resumed_beside_it():
    with Fleet(ARGUMENTS.bin) as fleet:
        targets = started(fleet, 2)
        for target in targets:
            break_off(target)
        expect(outcome(fleet, "/notes/1", fleet.headers("m0")), BROKEN, "the stream")
        expect(sum(len(target.runs) for target in targets), 1, "runs")


def whole_stream_that_is_still_reported_is_complete():
    for report_age_s in (0.0, REPORT_AGE_S, 3.0):
        with Fleet(ARGUMENTS.bin) as fleet:
            target, = started(fleet, report_age_s=report_age_s)
            target.event_pause_s = 0.1     # so that reports of 3 s ago have the run
            for route in ("/dossier/", "/notes/"):
                expect(outcome(fleet, route + "1", fleet.headers("m0")), WHOLE, f"the stream, reports {report_age_s} s old")
                ended_at = target.run_history[-1][0]
                expect(time.monotonic() - ended_at < LONGEST_WAIT_S, True, f"it ends soon, reports {report_age_s} s old")


def whole_stream_that_was_resumed_is_complete_however_its_events_are_counted():
    for from_resumption in (False, True):
        with Fleet(ARGUMENTS.bin) as fleet:
            targets = started(fleet, 2)
            for target in targets:
                target.counts_from_resumption = from_resumption
                target.break_inside_event = True
            break_off(targets[0], goes_on=False)
            for _ in range(4):
                expect(outcome(fleet, "/notes/1", fleet.headers("m0")), WHOLE, "the stream")
            expect(len(targets[0].runs) > 0 and len(targets[1].runs) > 0, True, "both targets ran some")


def whole_stream_whose_target_is_removed_while_its_end_is_confirmed_is_complete():
    with Fleet(ARGUMENTS.bin) as fleet:
        targets = started(fleet, 2, report_age_s=1.0)
        seen = []
        headers = fleet.headers("m0", Token_Count="100,4000")
        caller = threading.Thread(target=lambda: seen.append(outcome(fleet, "/notes/1", headers)))
        caller.start()
        target = wait_until(lambda: next((target for target in targets if target.runs), None), "a target runs it")
        wait_until(lambda: target.run_history and target.run_history[-1][2] is None, "the run has ended")
        target.remaining_ms = 600
        target.register("draining")
        caller.join()
        expect(seen, [WHOLE], "the stream")
        expect(sum(len(target.runs) for target in targets), 1, "runs")


def whole_rest_that_its_caller_asked_for_is_complete():
    with Fleet(ARGUMENTS.bin) as fleet:
        started(fleet)
        headers = fleet.headers("m0", Last_Event_Id=str(BROKEN_AFTER))
        expect(outcome(fleet, "/notes/1", headers), (200, "".join(EVENTS[BROKEN_AFTER:])), "the rest")


if __name__ == "__main__":
    run_cases([stream_whose_run_goes_on_is_not_complete,
               stream_whose_run_goes_on_is_not_resumed_beside_it,
               whole_stream_that_is_still_reported_is_complete,
               whole_stream_that_was_resumed_is_complete_however_its_events_are_counted,
               whole_stream_whose_target_is_removed_while_its_end_is_confirmed_is_complete,
               whole_rest_that_its_caller_asked_for_is_complete])
    sys.exit(0)
