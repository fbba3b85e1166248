#!/usr/bin/env python3
"""waxwing-gateway and limits of requests that a configuration changes while callers keep their connections."""
import http.client
import sys

from gateway_fleet import Fleet, expect
from gateway_standins import configuration
from harness import arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
SMALL_LIMIT, LARGE_LIMIT = 65_536, 4_194_304     # bytes of a body
BODY = b"x" * 100_000                            # between them


def configured(version, max_body):
    spec = configuration(version)
    spec["limits"]["max_body_bytes"] = max_body
    return spec


def ask(fleet, connection, body):
    connection.request("POST", "/cert/1", body, fleet.headers())
    answer = connection.getresponse()
    answer.read()
    return answer.status


def status_on_a_kept_connection(before, after):
    """Of a request that follows a configuration with another limit."""
    with Fleet(ARGUMENTS.bin) as fleet:
        fleet.store.put("config", "main", configured(3, before))
        fleet.target("l1", "ledger", slots=6)
        fleet.start()
        fleet.wait_for_target()
        connection = http.client.HTTPConnection(*fleet.gateways[0].settings["http"].split(":"), timeout=30)
        expect(ask(fleet, connection, b"small"), 200, "a request before")
        fleet.store.put("config", "main", configured(5, after))
        wait_until(lambda: [line for line in fleet.events("config_in_force") if line["subject"] == "5"], "it is in force")
        status = ask(fleet, connection, BODY)
        connection.close()
        return status


def kept_connection_is_not_denied_by_the_limit_of_an_older_configuration():
    expect(status_on_a_kept_connection(SMALL_LIMIT, LARGE_LIMIT), 200, "a body that the newer configuration allows")


def kept_connection_is_held_to_the_limit_of_the_newer_configuration():
    expect(status_on_a_kept_connection(LARGE_LIMIT, SMALL_LIMIT), 413, "a body that only the older configuration allows")


if __name__ == "__main__":
    run_cases([kept_connection_is_not_denied_by_the_limit_of_an_older_configuration,
               kept_connection_is_held_to_the_limit_of_the_newer_configuration])
    sys.exit(0)
