#!/usr/bin/env python3
"""Descriptors of a waxwing-gateway with more connections than it may have, which send nothing or stop half-way.

Guards against clients that fill the connection limit and stay: others would find no place, and targets, peers and the
store no descriptor.
"""
import sys

from gateway_client_crowds import Crowd, CrowdFleet, head, poll_readiness
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
CONNECTIONS = 60             # the gateway's limit in these tests
CROWD = 150                  # clients: more than the limit
# Beyond what is open at the start and the clients' connections: those to the targets, the store and peers, the test's
# own calls, and connections that the gateway has closed in order but whose clients haven't.
SPARE = 32
PAGE_CONNECTIONS = 64        # most connections of one page, with those that are just being closed


def run_crowd(name, bound, make, **push):
    with CrowdFleet(ARGUMENTS.bin, connections=CONNECTIONS) as fleet:
        fleet.start()
        base = fleet.most_descriptors
        with Crowd(fleet, count=CROWD, **make(fleet)) as crowd:
            crowd.push(**push)
            fleet.expect_bounds(name, base + bound)


def connections_without_a_byte():
    run_crowd("no byte", CONNECTIONS + SPARE, lambda fleet: {"address": fleet.gateway.settings["http"]})


def half_sent_heads_and_bodies():
    for path in ("/cert/1", "/nowhere", "/readiness"):
        run_crowd(f"half a head, {path}", CONNECTIONS + SPARE, lambda fleet, path=path: {
            "address": fleet.gateway.settings["http"], "data": head(fleet, path)[:-4]})
        run_crowd(f"half a body, {path}", CONNECTIONS + SPARE, lambda fleet, path=path: {
            "address": fleet.gateway.settings["http"], "data": head(fleet, path, "Content-Length: 1000") + b"x" * 500})


def slow_senders_of_heads():
    run_crowd("slow heads", CONNECTIONS + SPARE, lambda fleet: {
        "address": fleet.gateway.settings["http"], "data": head(fleet, "/cert/1")[:-4] + b"\r\nX: ", "trickle": b"x"})


def connections_to_the_pages():
    for page in ("readiness", "metrics"):
        run_crowd(f"{page} page, no byte", PAGE_CONNECTIONS + SPARE, lambda fleet, page=page: {
            "address": fleet.gateway.settings[page]})
        run_crowd(f"{page} page, half a head", PAGE_CONNECTIONS + SPARE, lambda fleet, page=page: {
            "address": fleet.gateway.settings[page], "data": f"GET /{page} HTTP/1.1\r\nHost:".encode()})


def readiness_is_answered_beside_a_crowd_that_comes_again():
    with CrowdFleet(ARGUMENTS.bin, connections=CONNECTIONS) as fleet:
        fleet.start()
        for _ in range(3):
            with Crowd(fleet, fleet.gateway.settings["readiness"], CROWD, b"GET /readiness HTTP/1.1\r\nHost:"):
                wait_until(lambda: poll_readiness(fleet) == 200, "the readiness page answers beside a crowd")
        fleet.sample()
        if not fleet.gateway.running():
            raise Failure("the gateway ended")


if __name__ == "__main__":
    run_cases([connections_without_a_byte, half_sent_heads_and_bodies, slow_senders_of_heads, connections_to_the_pages,
               readiness_is_answered_beside_a_crowd_that_comes_again])
    sys.exit(0)
