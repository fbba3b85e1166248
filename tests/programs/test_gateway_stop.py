#!/usr/bin/env python3
"""How a waxwing-gateway ends after SIGTERM: with exit code 0, and with every answer sent that was begun in time."""
import signal
import socket
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from gateway_fleet import Fleet, expect
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
LATE_IN_THE_DRAIN_S = 2.3       # requests are refused, and the process ends soon


ANSWER_BYTES = 7_500_000        # more than the kernel takes at once
SLOW_BYTES_PER_S = 1_200_000
PIECE_BYTES = 50_000


def connect(fleet):
    host, port = fleet.gateways[0].settings["http"].split(":")
    return socket.create_connection((host, int(port)), timeout=30)


def send_request(connection, headers, path="/svc/1"):
    head = f"POST {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    connection.sendall(head.encode() + b"Content-Length: 1\r\n\r\nx")


def leave_connections_open(fleet, count):
    """Requests late in the drain whose callers read the answer and don't close."""
    held = []
    for _ in range(count):
        try:
            connection = connect(fleet)
            send_request(connection, fleet.headers())
            held.append(connection)
            connection.recv(100)
        except OSError:
            break
    return held


def stop_with_callers_that_do_not_close(count):
    with Fleet(ARGUMENTS.bin) as fleet:
        gateway = fleet.start().gateways[0]
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(LATE_IN_THE_DRAIN_S)
        held = leave_connections_open(fleet, count)
        if not held:
            raise Failure("no caller was connected")
        expect(gateway.process.wait(30), 0, f"exit code with {len(held)} open connections")
        expect(fleet.events("process_crashed"), [], "no crash")


def gateway_ends_in_order_while_a_caller_does_not_close():
    stop_with_callers_that_do_not_close(1)


def gateway_ends_in_order_while_many_callers_do_not_close():
    stop_with_callers_that_do_not_close(60)


def gateway_ends_in_order_with_requests_still_open():
    with Fleet(ARGUMENTS.bin, drain="3s") as fleet:
        engine, ledger = fleet.target("t1", "engine", models=["m0"]), fleet.target("l1", "ledger", slots=64)
        gateway = fleet.start().gateways[0]
        wait_until(lambda: len(fleet.events("target_changed")) >= 2, "both targets are known")
        engine.hold.clear()
        ledger.hold.clear()
        open_requests = [connect(fleet) for _ in range(40)]
        for number, connection in enumerate(open_requests):
            headers = fleet.headers("m0") if number % 2 else fleet.headers()
            send_request(connection, headers, "/notes/1" if number % 2 else "/cert/1")
        wait_until(lambda: len(engine.runs) + len(ledger.runs) == len(open_requests), "all requests run")
        gateway.process.send_signal(signal.SIGTERM)
        code = gateway.process.wait(30)
        engine.hold.set()
        ledger.hold.set()
        expect(code, 0, "exit code")
        expect(fleet.events("process_crashed"), [], "no crash")
        expect([line["open_requests"] for line in fleet.events("process_stopped")], [len(open_requests)], "open at the end")


def requests_that_run_at_the_end_of_the_grace_are_answered():
    with Fleet(ARGUMENTS.bin, drain="3s") as fleet:
        ledger = fleet.target("l1", "ledger", slots=64)
        gateway = fleet.start().gateways[0]
        fleet.wait_for_target()
        ledger.hold.clear()
        callers = [connect(fleet) for _ in range(10)]
        for connection in callers:
            send_request(connection, fleet.headers(), "/cert/1")
        wait_until(lambda: len(ledger.runs) == len(callers), "all requests run")
        gateway.process.send_signal(signal.SIGTERM)
        answers = [connection.recv(1_000)[:12] for connection in callers]
        ledger.hold.set()
        expect(answers, [b"HTTP/1.1 502"] * len(callers), "answers; 502 promises nothing of a request that may have run")
        expect(gateway.process.wait(30), 0, "exit code")


def read_slowly(connection):
    """Reads to the end at the rate of a slow link. Returns the number of bytes of the body."""
    got = b""
    while piece := connection.recv(PIECE_BYTES):
        got += piece
        time.sleep(len(piece) / SLOW_BYTES_PER_S)
    return len(got.partition(b"\r\n\r\n")[2])


def begun_answers_reach_slow_callers_although_the_gateway_stops():
    with Fleet(ARGUMENTS.bin, drain="30s") as fleet:
        ledger = fleet.target("l1", "ledger", slots=64)
        ledger.padding = ANSWER_BYTES
        gateway = fleet.start().gateways[0]
        fleet.wait_for_target()
        callers = [connect(fleet) for _ in range(3)]
        for connection in callers:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
            send_request(connection, fleet.headers(), "/cert/1")
        wait_until(lambda: len(fleet.events("request_answered")) == len(callers), "the answers are handed over")
        gateway.process.send_signal(signal.SIGTERM)
        with ThreadPoolExecutor(len(callers)) as pool:
            sizes = list(pool.map(read_slowly, callers))
        expect(sizes, [len(b"recorded x") + ANSWER_BYTES] * len(callers), "bytes of the answers")
        expect(gateway.process.wait(30), 0, "exit code")


if __name__ == "__main__":
    run_cases([gateway_ends_in_order_while_a_caller_does_not_close,
               gateway_ends_in_order_while_many_callers_do_not_close,
               gateway_ends_in_order_with_requests_still_open,
               requests_that_run_at_the_end_of_the_grace_are_answered,
               begun_answers_reach_slow_callers_although_the_gateway_stops])
    sys.exit(0)
