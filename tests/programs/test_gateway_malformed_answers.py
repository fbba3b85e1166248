#!/usr/bin/env python3
"""waxwing-gateway and targets whose answers are none by their heads."""
import sys
import time

from gateway_fleet import Fleet, expect, outcome
from gateway_standins import Script
from harness import arguments, run_cases

ARGUMENTS = arguments(__doc__)
FIELDS = b"Request-Id: REQUEST_ID\r\nResponse-Signature: sig-REQUEST_ID\r\n"


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


if __name__ == "__main__":
    run_cases([answer_whose_length_is_ambiguous_does_not_end_the_gateway])
    sys.exit(0)
