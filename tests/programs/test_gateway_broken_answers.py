#!/usr/bin/env python3
"""waxwing-gateway and answers of targets that are broken off."""
import http.client
import sys

from gateway_fleet import Fleet, expect
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
EVENTS = [f"id: {number}\ndata: piece {number}\n\n" for number in range(1, 11)]


def outcome(fleet, path, headers):
    """Status and text of the answer, or the name of the exception if it was not complete."""
    try:
        answer = fleet.ask(path, headers)
        return answer.status, answer.text
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__, getattr(error, "partial", b"").decode()


def one_target(fleet, name="t1"):
    target = fleet.target(name, "engine", models=["m0"])
    fleet.start()
    fleet.wait_for_target()
    return target


def stream_without_length_is_passed_on_whole():
    with Fleet(ARGUMENTS.bin) as fleet:
        one_target(fleet).unframed = True
        expect(outcome(fleet, "/dossier/1", fleet.headers("m0")), (200, "".join(EVENTS)), "the stream")


def stream_without_length_that_ends_inside_an_event_is_not_complete():
    with Fleet(ARGUMENTS.bin) as fleet:
        target = one_target(fleet)
        target.unframed, target.break_stream_after, target.break_inside_event = True, 4, True
        expect(outcome(fleet, "/dossier/1", fleet.headers("m0")), ("IncompleteRead", "".join(EVENTS[:4])), "the stream")
        wait_until(lambda: fleet.events("request_cut"), "the end is logged")
        expect(fleet.events("request_cut")[0]["reason"], "ended_inside_event", "the reason")


def stream_without_length_that_ends_before_its_first_event_is_not_complete():
    for inside_event in (False, True):
        with Fleet(ARGUMENTS.bin) as fleet:
            target = one_target(fleet)
            target.unframed, target.break_stream_after, target.break_inside_event = True, 0, inside_event
            expect(outcome(fleet, "/dossier/1", fleet.headers("m0")), (502, ""), "it may have run, so the status must not promise otherwise")


def stream_with_chunks_that_ends_inside_an_event_is_not_complete():
    with Fleet(ARGUMENTS.bin) as fleet:
        target = one_target(fleet)
        target.break_stream_after, target.break_inside_event, target.end_chunks_on_break = 4, True, True
        expect(outcome(fleet, "/dossier/1", fleet.headers("m0")), ("IncompleteRead", "".join(EVENTS[:4])), "the stream")


def stream_without_length_that_ends_inside_an_event_resumes_at_another_target():
    with Fleet(ARGUMENTS.bin) as fleet:
        first = one_target(fleet)
        first.unframed, first.break_stream_after, first.break_inside_event = True, 4, True
        second = fleet.target("t2", "engine", models=["m0"])
        second.unframed = True
        wait_until(lambda: len(fleet.events("target_changed")) >= 2, "the other target is known")
        for _ in range(6):   # until one reaches the target that breaks streams
            headers = fleet.headers("m0", Prompt_Prefix=f"a{fleet.number}:9")
            expect(outcome(fleet, "/notes/1", headers), (200, "".join(EVENTS)), "the whole stream, once")
        if not any(headers.get("Last-Event-Id") for _, headers, _ in second.runs):
            raise Failure("no stream was resumed at the other target")


if __name__ == "__main__":
    run_cases([stream_without_length_is_passed_on_whole,
               stream_without_length_that_ends_inside_an_event_is_not_complete,
               stream_without_length_that_ends_before_its_first_event_is_not_complete,
               stream_with_chunks_that_ends_inside_an_event_is_not_complete,
               stream_without_length_that_ends_inside_an_event_resumes_at_another_target])
    sys.exit(0)
