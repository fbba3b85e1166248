#!/usr/bin/env python3
"""A target in a process of its own, which a test can kill. Its answers have neither length nor chunks.

As a program it serves until it is killed, and stops each answer after the parts it is told to send; as a module it
starts and kills that program.
"""
import pathlib
import subprocess
import sys
import threading
import time

from gateway_standins import EVENT_PAUSE_S, Handler, Server, Target
from harness import die_with_parent

MODEL = "m0"


class Runner:
    """What the process serves: `parts` parts of each answer, then nothing more."""

    def __init__(self, address, born, parts):
        self.born, self.parts = born, parts
        self.server = Server(address, Handler, self)

    def serve(self, call):
        body = call.body()
        if call.path == "/report":
            return call.answer(200, {"models": [{"name": MODEL, "version": 1, "adapters": []}], "busy": False, "born": self.born,
                                     "sequence": 1, "running": 1, "waiting": 0})
        if call.path == "/health":
            return call.answer(200)
        request_id = call.headers["Request-Id"]
        Target.send_head(call, [("Request-Id", request_id), ("Response-Signature", "sig-" + request_id)])
        stream = call.headers.get("Model") is not None
        for number in range(1, self.parts + 1):
            call.wfile.write(b"id: %d\ndata: piece %d\n\n" % (number, number) if stream else b"part %d of " % number + body)
            call.wfile.flush()
            time.sleep(EVENT_PAUSE_S)
        print("stopped", flush=True)
        threading.Event().wait()


class TargetProcess:
    """A running target, registered in the store of a fleet."""

    def __init__(self, fleet, name, service, parts):
        self.name, address, born = name, fleet.ports.address(), int(time.time() * 1000)
        program = [sys.executable, str(pathlib.Path(__file__)), address, str(born), str(parts)]
        self.process = subprocess.Popen(program, stdout=subprocess.PIPE, text=True, preexec_fn=die_with_parent)
        assert self.process.stdout.readline() == "ready\n"
        models = [{"name": MODEL, "version": 1, "adapters": []}] if service == "engine" else []
        fleet.store.put("servers", name, {"service": service, "address": address, "zone": "a", "version": "v1", "slots": 64,
                                          "state": "ready", "cold_left_ms": 0, "born": born, "sequence": 1, "models": models,
                                          "at_hand": {"in_memory": [], "on_disk": []}})

    def wait_until_stopped(self):
        """Waits until an answer has stopped after its parts."""
        assert self.process.stdout.readline() == "stopped\n"

    def kill(self):
        self.process.kill()
        self.process.wait()


def main():
    address, born, parts = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    Runner(address, born, parts)
    print("ready", flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
