#!/usr/bin/env python3
"""Leases of control shards with real steward processes: planned stop, kill, freeze past the term, lost answers."""
import json
import sys
from collections import Counter

from harness import Deployment, arguments, request, run_cases, small_layout, wait_until

ARGUMENTS = arguments(__doc__)
SHARDS = 16


class Stewards:
    """The stand-in of the platform and two stewards, with a record of every lease read so far."""

    def __init__(self):
        self.deployment = Deployment(ARGUMENTS.bin, small_layout())
        self.boot_by_lease = {}   # (shard, fencing) -> boot of the holder

    def __enter__(self):
        self.deployment.__enter__()
        self.deployment.start("platform")
        entries = [{"revision": 1, "key": "service/lot-registry",
                    "value": json.dumps({"name": "lot-registry", "kind": "plain"})}]
        head = {"revision": 1, "base": 0, "parts": 0, "entries": entries}
        request(self.deployment.platform_address, "PUT", "/objects/config/head", head, {"If-None-Match": "*"})
        self.deployment.start("steward-1", "steward-2")
        return self

    def __exit__(self, *error):
        self.deployment.__exit__(*error)

    def program(self, name):
        return self.deployment.programs[name]

    def leases(self):
        """Returns the record of every shard. Fails if two processes held a lease under one fencing number, or if a
        fencing number decreased."""
        values = []
        for shard in range(SHARDS):
            value = request(self.deployment.platform_address, "GET", f"/objects/shards/{shard}").json()
            if value["holder"]:
                boot = self.boot_by_lease.setdefault((shard, value["fencing"]), value["boot"])
                assert boot == value["boot"], f"shard {shard}: two holders under fencing {value['fencing']}"
            newest = max(fencing for known, fencing in self.boot_by_lease if known == shard)
            assert value["fencing"] >= newest, f"shard {shard}: fencing fell below {newest}"
            values.append(value)
        return values

    def held_by(self, *names):
        """True if every shard is held, and exactly these stewards are the holders."""
        return {value["holder"] for value in self.leases()} == set(names)

    def wait_for_equal_shares(self):
        """Waits until each steward holds half of the shards; then no more shards are handed over for balance."""
        wait_until(lambda: sorted(Counter(value["holder"] for value in self.leases()).items()) ==
                   [("steward-1", SHARDS // 2), ("steward-2", SHARDS // 2)], "each steward holds half of the shards")

    def wait_until_held_by(self, *names):
        wait_until(lambda: self.held_by(*names), f"all shards are held by exactly {names}")


def planned_stop_hands_over_shards():
    with Stewards() as stewards:
        stewards.wait_for_equal_shares()
        before = {shard: value["fencing"] for shard, value in enumerate(stewards.leases())
                  if value["holder"] == "steward-1"}
        assert stewards.program("steward-1").stop() == 0
        stewards.wait_until_held_by("steward-2")
        after = stewards.leases()
        for shard, fencing in before.items():
            assert after[shard]["fencing"] == fencing + 1
            assert after[shard]["state"]["shares"] == [], "a former holder that handed over must keep no share"


def killed_holder_is_replaced_and_keeps_half_its_share():
    with Stewards() as stewards:
        stewards.wait_until_held_by("steward-1", "steward-2")
        lost_shards = [shard for shard, value in enumerate(stewards.leases()) if value["holder"] == "steward-1"]
        stewards.program("steward-1").kill()
        stewards.wait_until_held_by("steward-2")
        wait_until(lambda: all(stewards.leases()[shard]["state"]["shares"] for shard in lost_shards),
                   "the successor has stored the share that its predecessor may still grant")


def frozen_holder_is_deposed_when_it_resumes():
    with Stewards() as stewards:
        stewards.wait_until_held_by("steward-1", "steward-2")
        stewards.program("steward-1").freeze()
        stewards.wait_until_held_by("steward-2")
        stewards.program("steward-1").thaw()
        stewards.wait_until_held_by("steward-1", "steward-2")   # with new leases, under higher fencing numbers
        wait_until(lambda: "lost" in stewards.program("steward-1").log_text(),
                   "steward-1 has noticed that it was deposed")
        wait_until(lambda: all(not value["state"]["shares"] for value in stewards.leases()),
                   "no predecessor keeps a share after steward-1 reported that it stopped")


def leases_survive_lost_answers():
    with Stewards() as stewards:
        stewards.wait_for_equal_shares()
        leases_before = [(value["holder"], value["fencing"]) for value in stewards.leases()]
        stewards.deployment.fault("lose_answer", match="shards/", count=40)
        for _ in range(30):
            stewards.leases()
        stewards.deployment.clear_faults()
        stewards.wait_until_held_by("steward-1", "steward-2")
        assert [(value["holder"], value["fencing"]) for value in stewards.leases()] == leases_before, \
            "lost answers changed a holder"


if __name__ == "__main__":
    run_cases([planned_stop_hands_over_shards, killed_holder_is_replaced_and_keeps_half_its_share,
               frozen_holder_is_deposed_when_it_resumes, leases_survive_lost_answers])
    sys.exit(0)
