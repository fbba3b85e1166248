#!/usr/bin/env python3
"""waxwing-gateway with entries in the store that another writer left."""
import sys

from gateway_fleet import Fleet, expect
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
REGISTRATION = b'{"service":"ledger","address":"127.0.0.1:9","zone":"a","slots":1,"state":"ready","sequence":1,"x":%s}'
DEEP = REGISTRATION % (b"[" * 200_000 + b"]" * 200_000)


def serving_fleet():
    """Two gateways that have used the target t1; t2 isn't there yet."""
    fleet = Fleet(ARGUMENTS.bin, gateways=2)
    fleet.__enter__()
    fleet.first = fleet.target("t1", "ledger")
    fleet.start()
    fleet.wait_for_target()
    expect_served(fleet)
    return fleet


def expect_served(fleet):
    for gateway in range(len(fleet.gateways)):
        expect(fleet.ask("/cert/1", fleet.headers(), gateway=gateway).status, 200, "a request")


def runs_at(fleet, gateway):
    """The target that a request ran at, by the gateway's own log; None if it wasn't answered by one."""
    headers = fleet.headers()
    if fleet.ask("/cert/1", headers, gateway=gateway).status != 200:
        return None
    name = fleet.gateways[gateway].name
    sent = wait_until(lambda: [line for line in fleet.events("request_sent", name) if line["subject"] == headers["Request-Id"]],
                      "the request is in the log")
    return sent[-1]["target"]


def said_ignored(fleet):
    """Whether each gateway has a line about the entry. Raises Failure if one has ended."""
    for gateway in fleet.gateways:
        if not gateway.running():
            raise Failure(f"{gateway.name} has ended by signal {-gateway.process.returncode}")
    return all(fleet.events("target_ignored", gateway.name) for gateway in fleet.gateways)


def expect_followed(fleet):
    """All gateways hear of a new target and of one that is draining, and serve."""
    second = fleet.target("t2", "ledger")
    fleet.first.register("draining")
    for gateway in range(len(fleet.gateways)):
        wait_until(lambda gateway=gateway: runs_at(fleet, gateway) == "t2", "the new target is used instead of the draining one")
    began = len(second.runs)
    expect_served(fleet)
    expect(len(second.runs) - began, len(fleet.gateways), "requests at the new target")


def expect_unharmed(spec_text):
    """With the entry among those of the targets: the gateways go on, and after a restart they serve again."""
    fleet = serving_fleet()
    with fleet:
        fleet.store.put_text("servers", "odd", spec_text)
        wait_until(lambda: said_ignored(fleet), "each gateway says that it ignores the entry")
        expect_followed(fleet)
        for gateway in fleet.gateways:
            gateway.kill()
        fleet.start()
        expect_served(fleet)
        ignored = [line for line in fleet.events("target_ignored") if line["subject"] != "odd"]
        expect(ignored, [], "lines about other entries")


def deeply_nested_entry_does_not_end_the_gateways():
    expect_unharmed(DEEP)


def unreadable_entry_does_not_hide_the_others():
    for odd in (b'"\\ud83d"', b'"\xff\xfe\x01"', b'1e999', b'{"x":}'):
        expect_unharmed(REGISTRATION % odd)


def known_target_with_an_unusable_entry_is_no_longer_used():
    for spec_text in (REGISTRATION % b'"\xff"', REGISTRATION.replace(b'"ready"', b'"resting"') % b"1"):
        expect_dropped_while_unusable(spec_text)


def expect_dropped_while_unusable(spec_text):
    fleet = serving_fleet()
    with fleet:
        fleet.target("t2", "ledger")
        fleet.store.put_text("servers", "t1", spec_text)
        wait_until(lambda: said_ignored(fleet), "each gateway says that it ignores the entry")
        for gateway in range(len(fleet.gateways)):
            wait_until(lambda gateway=gateway: runs_at(fleet, gateway) == "t2", "the other target is used")
        began = len(fleet.first.runs)
        for _ in range(8):
            expect_served(fleet)
        expect(len(fleet.first.runs) - began, 0, "requests at t1")
        fleet.first.register()
        wait_until(lambda: [expect_served(fleet), len(fleet.first.runs) > began][1], "t1 is used again")


def entry_without_a_readable_name_is_listed_once_and_hides_nothing():
    fleet = serving_fleet()
    with fleet:
        before = fleet.store.lists.count("servers")
        fleet.store.put_unnamed("servers", b'"\xff"')
        wait_until(lambda: all(fleet.events("entries_ignored", gateway.name) for gateway in fleet.gateways),
                   "each gateway says that it ignores an entry")
        wait_until(lambda: fleet.store.lists.count("servers") >= before + len(fleet.gateways), "each gateway lists again")
        expect_followed(fleet)
        expect(fleet.store.lists.count("servers"), before + len(fleet.gateways), "lists of the targets")


if __name__ == "__main__":
    run_cases([deeply_nested_entry_does_not_end_the_gateways, unreadable_entry_does_not_hide_the_others,
               known_target_with_an_unusable_entry_is_no_longer_used,
               entry_without_a_readable_name_is_listed_once_and_hides_nothing])
    sys.exit(0)
