#!/usr/bin/env python3
"""The last line of a waxwing-gateway that ends by a signal of its own."""
import signal
import subprocess
import sys

from gateway_fleet import Fleet, expect
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)


def end_by(fleet, number):
    """Sends the signal to the first gateway, waits for its end, and returns its lines about it."""
    gateway = fleet.gateways[0]
    gateway.process.send_signal(number)
    expect(gateway.process.wait(), -number, "the signal is still what ended the process")
    return fleet.events("process_crashed")


def process_that_ends_by_a_signal_says_where():
    for number in (signal.SIGSEGV, signal.SIGABRT, signal.SIGBUS, signal.SIGFPE, signal.SIGILL):
        with Fleet(ARGUMENTS.bin) as fleet:
            lines = end_by(fleet.start(), number)
            expect([(line["process"], line["subject"]) for line in lines], [("g1", number.name)], "the line")
            if lines[0]["thread"] and not lines[0]["frames"]:
                raise Failure(f"no frames: {lines[0]}")


def frames_name_functions_of_the_program():
    with Fleet(ARGUMENTS.bin) as fleet:
        lines = end_by(fleet.start(), signal.SIGSEGV)
        frames = lines[0]["frames"]
        names = subprocess.run(["addr2line", "-Cfe", str(fleet.bin / "waxwing-gateway"), *frames], capture_output=True,
                               text=True, check=True).stdout
        if "waxwinglb" not in names and "main" not in names:
            raise Failure(f"none of these is the program's:\n{names}")


def process_whose_output_nobody_reads_still_ends():
    with Fleet(ARGUMENTS.bin) as fleet:
        gateway = fleet.gateways[0]
        gateway.start(unread=True)
        wait_until(lambda: fleet.readiness(gateway) == 200, "the gateway is ready")
        gateway.process.send_signal(signal.SIGSEGV)
        expect(gateway.process.wait(timeout=30), -signal.SIGSEGV, "the end")


if __name__ == "__main__":
    run_cases([process_that_ends_by_a_signal_says_where, frames_name_functions_of_the_program,
               process_whose_output_nobody_reads_still_ends])
    sys.exit(0)
