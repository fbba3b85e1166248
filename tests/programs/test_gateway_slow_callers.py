#!/usr/bin/env python3
"""Callers of a waxwing-gateway that read their answers slowly."""
import socket
import sys
import time

from gateway_fleet import Fleet, expect
from gateway_standins import configuration
from harness import arguments, run_cases

ARGUMENTS = arguments(__doc__)
ANSWER_BYTES = 7_500_000        # more than the kernel takes at once
SLOW_BYTES_PER_S = 1_500_000
PIECE_BYTES = 50_000
IDLE_TIMEOUT_MS = 1_000         # less than the answer takes


def kept_connection_is_not_idle_while_its_answer_is_being_sent():
    with Fleet(ARGUMENTS.bin) as fleet:
        settings = configuration(version=3)
        settings["limits"]["idle_timeout_ms"] = IDLE_TIMEOUT_MS
        fleet.store.put("config", "main", settings)
        fleet.target("l1", "ledger", slots=64).padding = ANSWER_BYTES
        fleet.start()
        fleet.wait_for_target()
        host, port = fleet.gateways[0].settings["http"].split(":")
        with socket.create_connection((host, int(port)), timeout=30) as connection:
            head = "".join(f"{name}: {value}\r\n" for name, value in fleet.headers().items())
            connection.sendall(f"POST /cert/1 HTTP/1.1\r\n{head}Content-Length: 1\r\n\r\nx".encode())
            got = b""
            while piece := connection.recv(PIECE_BYTES):
                got += piece
                time.sleep(len(piece) / SLOW_BYTES_PER_S)
        expect(len(got.partition(b"\r\n\r\n")[2]), len(b"recorded x") + ANSWER_BYTES, "bytes until the gateway closes")


if __name__ == "__main__":
    run_cases([kept_connection_is_not_idle_while_its_answer_is_being_sent])
    sys.exit(0)
