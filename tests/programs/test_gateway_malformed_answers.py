#!/usr/bin/env python3
"""waxwing-gateway and targets whose answers are none by their heads."""
import sys
import time

from gateway_fleet import Fleet, expect, outcome
from gateway_standins import Script
from harness import arguments, run_cases

ARGUMENTS = arguments(__doc__)
STATUSES = ["000", "099", "101", "600", "999"]
PROMPT_S = 2.0               # the deadline is 10 s
FIELDS = b"Request-Id: REQUEST_ID\r\nResponse-Signature: sig-REQUEST_ID\r\n"
BODIES = {"length": b"Content-Length: 2\r\n\r\nok", "chunks": b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "connection": b"\r\nok"}


def ask(service, path, model, answer):
    """Status, text and duration of a request whose only target answers so."""
    with Fleet(ARGUMENTS.bin) as fleet:
        target = fleet.target("t1", service, models=["m0"] if model else [])
        fleet.start()
        fleet.wait_for_target()
        target.script = Script([answer])
        began = time.monotonic()
        status, text = outcome(fleet, path, fleet.headers(model))
        return status, text, time.monotonic() - began, len(target.runs)


def answer_whose_length_is_ambiguous_does_not_end_the_gateway():
    for length in (b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
                   b"Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"):
        status, text, _, runs = ask("ledger", "/cert/1", None, (b"HTTP/1.1 200 OK\r\n" + FIELDS + length, "kept"))
        expect((status, text, runs), (502, "", 1), f"{length}")


def expect_failure_at_once(service, path, model):
    for status in STATUSES:
        for end, body in BODIES.items():
            answer = f"HTTP/1.1 {status} Odd\r\n".encode() + FIELDS + body
            got, text, seconds, runs = ask(service, path, model, (answer, "closed" if end == "connection" else "kept"))
            expect((got, text, runs), (502, "", 1), f"{status} with {end}: it may have run, and was no answer")
            expect(seconds < PROMPT_S, True, f"{status} with {end}: nothing more can come, {seconds:.1f} s")


def answer_with_an_odd_status_is_neither_passed_on_nor_awaited_until_the_deadline():
    expect_failure_at_once("ledger", "/cert/1", None)


def stream_with_an_odd_status_is_neither_passed_on_nor_awaited_until_the_deadline():
    expect_failure_at_once("engine", "/dossier/1", "m0")


def request_that_may_be_repeated_gets_the_answer_of_another_target_after_an_odd_status():
    with Fleet(ARGUMENTS.bin) as fleet:
        targets = [fleet.target(f"l{number}", "ledger", slots=6) for number in range(2)]
        fleet.start()
        fleet.wait_for_target()
        targets[0].script = Script([(b"HTTP/1.1 000 Odd\r\n" + FIELDS + BODIES["length"], "kept")])
        for _ in range(6):
            expect(outcome(fleet, "/lookup/1", fleet.headers(), body=str(fleet.number).encode())[0], 200, "answered by the other one")


if __name__ == "__main__":
    run_cases([answer_whose_length_is_ambiguous_does_not_end_the_gateway,
               answer_with_an_odd_status_is_neither_passed_on_nor_awaited_until_the_deadline,
               stream_with_an_odd_status_is_neither_passed_on_nor_awaited_until_the_deadline,
               request_that_may_be_repeated_gets_the_answer_of_another_target_after_an_odd_status])
    sys.exit(0)
