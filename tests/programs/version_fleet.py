"""Fleets whose engines differ in a version that their events name, and callers whose streams break there."""
import re
import time

from gateway_fleet import Fleet, expect, outcome
from harness import Failure, wait_until

STREAMS = 16
BREAK_AFTER = 4              # events
TOLD_S = 1.2                 # by then a gateway's streams are known to those that it is in contact with


def start_fleet(bin_folder, prepare, versions, gateways=1, **settings):
    """A fleet and its engines, which all hold the same model. `prepare`: gives an engine its version before it registers."""
    fleet = Fleet(bin_folder, gateways=gateways, **settings)
    engines = []
    for number, version in enumerate(versions):
        engine = fleet.target(f"t{number}", "engine", models=["m0"])
        prepare(engine, version)
        engine.register()
        engines.append(engine)
    fleet.start()
    wait_until(lambda: len(fleet.events("target_changed")) >= len(versions) * gateways, "the targets are known")
    fleet.wait_for_contact()
    return fleet, engines


def name_software(engine, version):
    engine.marks, engine.version = "software", f"v{version}"


def versions_in(text):
    return set(re.findall(r" of (\S+)", text))


def break_streams(engines, after):
    for engine in engines:
        engine.break_stream_after = after


def stream(fleet, model="m0", gateway=0):
    """Status, text and request id of a new stream."""
    headers = fleet.headers(model, Prompt_Prefix=f"p{fleet.number}:9")
    status, text = outcome(fleet, "/notes/1", headers, gateway, str(fleet.number))  # equal ones would be quarantined
    return status, text, headers["Request-Id"]


def broken_stream(fleet, gateway=0):
    """A stream that its target broke off, so that its caller got some events. Returns its request id and version."""
    status, text, request_id = stream(fleet, gateway=gateway)
    expect(status, "IncompleteRead", "the stream breaks")
    expect(len(versions_in(text)), 1, f"versions in {text}")
    return request_id, versions_in(text).pop()


def take_up(fleet, begun, gateway):
    """The caller takes its stream up. Returns whether it went on; at another version is a failure."""
    request_id, version = begun
    headers = fleet.headers("m0", Resumes=request_id, Last_Event_Id=str(BREAK_AFTER), Prompt_Prefix=f"p{fleet.number}:9")
    status, text = outcome(fleet, "/notes/1", headers, gateway, str(fleet.number))
    if status == 200 and versions_in(text) != {version}:
        raise Failure(f"{request_id} began at {version} and went on at {versions_in(text)}")
    if status not in (200, 503):
        raise Failure(f"{request_id} got {status}: not run, so 503 would be true")
    return status == 200


def restart_all(fleet):
    """All gateways lose power at once."""
    for gateway in fleet.gateways:
        gateway.kill()
    for gateway in fleet.gateways:
        gateway.start()
    for gateway in fleet.gateways:
        wait_until(lambda gateway=gateway: fleet.readiness(gateway) == 200, "ready")


def expect_taken_up_anywhere(fleet, engines, versions):
    """Streams that break at engines of these versions, begun at any gateway, go on at the next one."""
    gateways = len(fleet.gateways)
    break_streams(engines, BREAK_AFTER)
    begun = [broken_stream(fleet, number % gateways) for number in range(STREAMS)]
    expect({version for _, version in begun}, versions, "versions that began streams")
    break_streams(engines, None)
    time.sleep(TOLD_S)
    expect([take_up(fleet, each, (number + 1) % gateways) for number, each in enumerate(begun)], [True] * STREAMS, "it goes on")


def expect_unknown_ones_not_mixed(fleet, engines):
    """Streams that began before all gateways lost power go on at their version or are refused."""
    gateways = len(fleet.gateways)
    break_streams(engines, BREAK_AFTER)
    begun = [broken_stream(fleet, number % gateways) for number in range(STREAMS)]
    break_streams(engines, None)
    restart_all(fleet)
    for number, each in enumerate(begun):
        take_up(fleet, each, number % gateways)
