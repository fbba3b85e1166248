#!/usr/bin/env python3
"""Requests whose callers have closed before waxwing-gateway reads them."""
import socket
import sys
import threading
import time

from gateway_fleet import Fleet, expect
from harness import arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
CALLERS = 20
BEHIND_S = 1.0           # the gateway reads the requests that much later
SETTLED_S = 1.0          # after that time no request is on its way any more


def send_and_close(address, path, headers, before=()):
    """Sends requests on one connection and closes it; the answers of those in `before` are awaited first."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=30) as connection:
        def send(path, headers):
            head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            connection.sendall(f"POST {path} HTTP/1.1\r\n{head}Content-Length: 1\r\n\r\nx".encode())
        for earlier in before:
            send(*earlier)
            connection.recv(65_536)
        yield
        send(path, headers)


def open_target_connections(fleet, path, model, targets):
    """Leaves the gateway with a kept connection to a target for each caller."""
    for target in targets:
        target.hold.clear()
    calls = [threading.Thread(target=fleet.ask, args=(path, fleet.headers(model))) for _ in range(CALLERS)]
    for call in calls:
        call.start()
    wait_until(lambda: sum(len(target.run_started_at) for target in targets) >= CALLERS, "all run at once")
    for target in targets:
        target.hold.set()
    for call in calls:
        call.join()


def requests_whose_callers_left_while_the_gateway_was_behind_reach_no_target():
    for path, model, kept in (("/cert/1", None, False), ("/lookup/1", None, False), ("/dossier/1", "m0", False), ("/lookup/1", None, True)):
        with Fleet(ARGUMENTS.bin) as fleet:
            targets = [fleet.target("t1", "engine", models=["m0"]), fleet.target("l1", "ledger", slots=64)]
            fleet.start()
            fleet.wait_for_target()
            open_target_connections(fleet, path, model, targets)
            gateway = fleet.gateways[0]
            callers = [send_and_close(gateway.settings["http"], path, fleet.headers(model),
                                      [("/lookup/0", fleet.headers())] if kept else []) for _ in range(CALLERS)]
            for caller in callers:
                next(caller)
            before = sum(len(target.run_started_at) for target in targets)
            gateway.freeze()
            for caller in callers:
                next(caller, None)
            time.sleep(BEHIND_S)
            gateway.thaw()
            time.sleep(SETTLED_S)
            runs = sum(len(target.run_started_at) for target in targets) - before
            expect(runs, 0, f"runs of {CALLERS} requests to {path}{' on kept connections' if kept else ''} whose callers had left")


if __name__ == "__main__":
    run_cases([requests_whose_callers_left_while_the_gateway_was_behind_reach_no_target])
    sys.exit(0)
