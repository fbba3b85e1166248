#!/usr/bin/env python3
"""waxwing-gateway and streams that begin at an adapter whose version isn't what its target registered."""
import sys

from gateway_fleet import expect
from harness import Failure, arguments, run_cases
from version_fleet import BREAK_AFTER, STREAMS, break_streams, start_fleet, stream, versions_in

ARGUMENTS = arguments(__doc__)


def expect_streams_of_one_version(registered):
    """Streams begin at version 2 at the second target, where they break; the first one holds version 1."""
    def prepare(engine, version):
        engine.marks, engine.models["m0"] = "adapter", {"a1"}
        engine.adapter_versions = {} if version is None else {"a1": version}
    fleet, engines = start_fleet(ARGUMENTS.bin, prepare, [1, registered])
    with fleet:
        break_streams(engines[1:], BREAK_AFTER)
        engines[1].adapter_versions = {"a1": 2}
        answers = [stream(fleet, "m0/a1") for _ in range(STREAMS)]
        mixed = [text for _, text, _ in answers if len(versions_in(text)) > 1]
        if mixed:
            raise Failure(f"{len(mixed)} of {STREAMS} streams are of two versions: {mixed[0]}")
        expect({status for status, _, _ in answers}, {200, "IncompleteRead"}, "answers")


def stream_that_began_at_an_adapter_that_had_come_anew_does_not_go_on_at_the_earlier_one():
    expect_streams_of_one_version(registered=1)


def stream_that_began_at_an_adapter_without_stated_version_does_not_go_on_at_another():
    expect_streams_of_one_version(registered=None)


if __name__ == "__main__":
    run_cases([stream_that_began_at_an_adapter_that_had_come_anew_does_not_go_on_at_the_earlier_one,
               stream_that_began_at_an_adapter_without_stated_version_does_not_go_on_at_another])
    sys.exit(0)
