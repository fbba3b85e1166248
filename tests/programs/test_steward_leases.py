#!/usr/bin/env python3
"""Control shards over real stewards: planned handover, death, a freeze past the term, a store that goes away."""
import json
import sys
from collections import Counter

from harness import Deployment, arguments, request, run_cases, small_layout, wait_until

ARGUMENTS = arguments(__doc__)
SHARDS = 16


class Stewards:
    """The platform's stand-in and two stewards, with a record of every lease that was seen."""

    def __init__(self):
        self.deployment = Deployment(ARGUMENTS.bin, small_layout())
        self.seen = {}   # (shard, fencing) -> boot of its holder

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
        """The value of every shard; fails if one fencing number was ever held by two processes."""
        out = []
        for shard in range(SHARDS):
            value = request(self.deployment.platform_address, "GET", f"/objects/shards/{shard}").json()
            if value["holder"]:
                boot = self.seen.setdefault((shard, value["fencing"]), value["boot"])
                assert boot == value["boot"], f"shard {shard}: two holders under fencing {value['fencing']}"
            newest = max(fencing for known, fencing in self.seen if known == shard)
            assert value["fencing"] >= newest, f"shard {shard}: fencing fell below {newest}"
            out.append(value)
        return out

    def held_by(self, *names):
        """True once every shard is held and exactly these stewards hold them."""
        return {value["holder"] for value in self.leases()} == set(names)

    def wait_halves(self):
        """Until each steward holds half of the shards: nothing is on its way from one to the other any more."""
        wait_until(lambda: sorted(Counter(value["holder"] for value in self.leases()).items()) ==
                   [("steward-1", SHARDS // 2), ("steward-2", SHARDS // 2)], "halves are held")

    def wait_held_by(self, *names):
        wait_until(lambda: self.held_by(*names), f"shards are held by {names}")


def planned_stop_hands_over():
    with Stewards() as all_:
        all_.wait_halves()
        before = {shard: value["fencing"] for shard, value in enumerate(all_.leases())
                  if value["holder"] == "steward-1"}
        assert all_.program("steward-1").stop() == 0
        all_.wait_held_by("steward-2")
        after = all_.leases()
        for shard, fencing in before.items():
            assert after[shard]["fencing"] == fencing + 1
            assert after[shard]["state"]["shares"] == [], "a holder that handed over keeps no share"


def dead_holder_is_followed_and_keeps_half_its_share():
    with Stewards() as all_:
        all_.wait_held_by("steward-1", "steward-2")
        dead = [shard for shard, value in enumerate(all_.leases()) if value["holder"] == "steward-1"]
        all_.program("steward-1").kill()
        all_.wait_held_by("steward-2")
        wait_until(lambda: all(all_.leases()[shard]["state"]["shares"] for shard in dead),
                   "the successor has stored what the predecessor may still grant")


def frozen_holder_wakes_deposed():
    with Stewards() as all_:
        all_.wait_held_by("steward-1", "steward-2")
        all_.program("steward-1").freeze()
        all_.wait_held_by("steward-2")
        all_.program("steward-1").thaw()
        all_.wait_held_by("steward-1", "steward-2")   # by new leases, under higher numbers
        wait_until(lambda: "lost" in all_.program("steward-1").log_text(), "it has seen that it was deposed")
        wait_until(lambda: all(not value["state"]["shares"] for value in all_.leases()),
                   "the shares are whole again after it stood down")


def leases_survive_lost_answers():
    with Stewards() as all_:
        all_.wait_halves()
        held = [(value["holder"], value["fencing"]) for value in all_.leases()]
        all_.deployment.fault("lose_answer", match="shards/", count=40)
        for _ in range(30):
            all_.leases()
        all_.deployment.clear_faults()
        all_.wait_held_by("steward-1", "steward-2")
        assert [(value["holder"], value["fencing"]) for value in all_.leases()] == held, "nobody had to take over"


if __name__ == "__main__":
    run_cases([planned_stop_hands_over, dead_holder_is_followed_and_keeps_half_its_share, frozen_holder_wakes_deposed,
               leases_survive_lost_answers])
    sys.exit(0)
