#!/usr/bin/env python3
"""Memory of a waxwing-gateway whose clients send, or leave unread, more than its VM holds.

Guards against processes that ran out of memory: on similar systems clients ended them with bodies that stopped short
of their end, very many short fields, pipelined requests and answers that nobody read.
"""
import sys

from gateway_client_crowds import (BODY_BYTES, PIECE_BYTES, Crowd, CrowdFleet, body_but_its_end, chunked_body_but_its_end,
                                   head)
from gateway_standins import Script
from harness import arguments, run_cases

ARGUMENTS = arguments(__doc__)
BODIES = 40                  # clients; their bodies together have 80 MB
FIELD_CLIENTS = 200          # clients with heads of short fields
HALF_HEADS = 300
PIPELINES = 300
READERS = 30                 # clients that leave long answers unread, 4 MB each
STREAM_READERS = 60
ANSWER_BYTES = 4_000_000
EVENT_BYTES = 200_000
STREAM_EVENTS = 20
PATHS = ["/cert/1", "/nowhere", "/readiness"]     # with a route, without one, the balancer's page at the callers' port
PAGES = ["readiness", "metrics"]


def run_crowds(name, crowds, **push):
    """Each crowd at a gateway of its own; `crowds` gets the fleet and returns a Crowd's arguments."""
    with CrowdFleet(ARGUMENTS.bin) as fleet:
        fleet.start()
        with Crowd(fleet, **crowds(fleet)) as crowd:
            crowd.push(**push)
            fleet.expect_bounds(name)


def http(fleet):
    return fleet.gateway.settings["http"]


def bodies_that_stop_before_their_end():
    for path in PATHS:
        run_crowds(f"one piece, {path}",
                   lambda fleet, path=path: {"address": http(fleet), "count": BODIES, "data": body_but_its_end(fleet, path)})


def bodies_in_small_pieces():
    for path in PATHS:
        run_crowds(f"small pieces, {path}",
                   lambda fleet, path=path: {"address": http(fleet), "count": BODIES, "piece": PIECE_BYTES,
                                             "data": body_but_its_end(fleet, path)})


def chunked_bodies():
    for path in PATHS:
        run_crowds(f"chunked, {path}", lambda fleet, path=path: {
            "address": http(fleet), "count": BODIES, "data": chunked_body_but_its_end(fleet, path)})


def bodies_over_the_limit():
    for path in PATHS:
        run_crowds(f"over the limit, {path}", lambda fleet, path=path: {
            "address": http(fleet), "count": BODIES,
            "data": head(fleet, path, "Content-Length: 1000000000") + b"x" * (2 * BODY_BYTES)})
        run_crowds(f"over the limit in chunks, {path}", lambda fleet, path=path: {
            "address": http(fleet), "count": BODIES, "data": chunked_body_but_its_end(fleet, path, 4 * BODY_BYTES)})


def slow_senders_of_bodies():
    for path in PATHS:
        run_crowds(f"slow senders, {path}", lambda fleet, path=path: {
            "address": http(fleet), "count": BODIES, "trickle": b"x",
            "data": head(fleet, path, f"Content-Length: {BODY_BYTES}") + b"x" * (BODY_BYTES - 10_000)})


def very_many_short_fields():
    for path in PATHS:
        run_crowds(f"short fields, {path}", lambda fleet, path=path: {
            "address": http(fleet), "count": FIELD_CLIENTS,
            "data": head(fleet, path, "Content-Length: 1", *["a:"] * 3_900)})


def half_sent_heads():
    for path in PATHS:
        run_crowds(f"half-sent heads, {path}", lambda fleet, path=path: {
            "address": http(fleet), "count": HALF_HEADS,
            "data": head(fleet, path, "X: " + "x" * 15_000)[:-2]})


def pipelined_requests_without_reading():
    def pipeline(fleet, path):
        return b"".join(head(fleet, path, "Content-Length: 1") + b"x" for _ in range(1_500))
    for path in PATHS:
        run_crowds(f"pipelines, {path}",
                   lambda fleet, path=path: {"address": http(fleet), "count": PIPELINES, "data": pipeline(fleet, path)})


def long_answers_that_nobody_reads():
    def crowd(fleet):
        fleet.service.padding = ANSWER_BYTES
        return {"address": http(fleet), "count": READERS,
                "data": lambda _: head(fleet, "/cert/1", "Content-Length: 1") + b"x"}
    run_crowds("long answers", crowd, seconds=6)
    run_crowds("long answers, slow readers", lambda fleet: {**crowd(fleet), "read_bytes": 100}, seconds=6)


def streams_that_nobody_reads():
    def crowd(fleet):
        engine = fleet.target("e1", "engine", models=["m1"])
        events = [b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES) for number in range(1, STREAM_EVENTS + 1)]
        engine.script = Script([([b"HTTP/1.1 200 OK\r\nRequest-Id: REQUEST_ID\r\nResponse-Signature: sig-REQUEST_ID\r\n"
                                  b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"]
                                 + [b"%x\r\n%s\r\n" % (len(event), event) for event in events] + [b"0\r\n\r\n"], "kept")])

        def ask(_):
            fields = fleet.headers(model="m1")
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            return f"POST /notes/1 HTTP/1.1\r\n{lines}Content-Length: 1\r\n\r\nx".encode()
        return {"address": http(fleet), "count": STREAM_READERS, "data": ask}
    run_crowds("streams", crowd, seconds=6)


def bodies_at_the_pages():
    for page in PAGES:
        run_crowds(f"{page} page", lambda fleet, page=page: {
            "address": fleet.gateway.settings[page], "count": BODIES, "data": body_but_its_end(fleet, f"/{page}")})
        run_crowds(f"{page} page, chunked", lambda fleet, page=page: {
            "address": fleet.gateway.settings[page], "count": BODIES, "data": chunked_body_but_its_end(fleet, f"/{page}")})
        run_crowds(f"{page} page, short fields", lambda fleet, page=page: {
            "address": fleet.gateway.settings[page], "count": FIELD_CLIENTS,
            "data": head(fleet, f"/{page}", "Content-Length: 1", *["a:"] * 3_900)})
        run_crowds(f"{page} page, pipelines", lambda fleet, page=page: {
            "address": fleet.gateway.settings[page], "count": FIELD_CLIENTS,
            "data": f"GET /{page} HTTP/1.1\r\nHost: a\r\n\r\n".encode() * 4_000})


if __name__ == "__main__":
    run_cases([bodies_that_stop_before_their_end, bodies_in_small_pieces, chunked_bodies, bodies_over_the_limit,
               slow_senders_of_bodies, very_many_short_fields, half_sent_heads, pipelined_requests_without_reading,
               long_answers_that_nobody_reads, streams_that_nobody_reads, bodies_at_the_pages])
    sys.exit(0)
