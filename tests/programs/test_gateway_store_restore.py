#!/usr/bin/env python3
"""waxwing-gateway while the platform's store comes back from an older copy (header Store-Era)."""
import signal
import sys
import time

from gateway_fleet import Fleet, expect
from gateway_standins import configuration
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
LEASE_TERM_S = 3.0           # lease_term of the gateways: orders of two holders are at least that far apart
BEHIND_S = 1.5               # for which the restored store is observed before anything is written again
MAX_CALLS = 40               # of one gateway in the 2 s after a restore; in calm it makes about 10
ON_DISK = ["m1", "m2", "m3", "m4"]   # all models that are not loaded: no load takes long


def fleet_in_era_1(gateways=1):
    fleet = Fleet(ARGUMENTS.bin, gateways=gateways)
    fleet.store.era = 1
    return fleet


def load_model(fleet, model, gateway=0):
    """Asks for a model that is loaded nowhere until an order has loaded it."""
    wait_until(lambda: fleet.ask("/dossier/1", fleet.headers(model), gateway=gateway).status == 200, f"{model} is loaded by an order")


def lease_objects(fleet):
    return sorted(name for kind, name in list(fleet.store.objects) if kind == "waxwinglb-leases")


def registrations(fleet):
    return {name: item["spec"] for (kind, name), item in list(fleet.store.objects.items()) if kind == "waxwinglb-routers"}


def expect_one_holder_at_a_time(orders):
    """Orders of one target: fencing numbers rise, each belongs to one holder, and holders keep their distance."""
    for earlier, later in zip(orders, orders[1:]):
        if later[2] < earlier[2] or (later[1] != earlier[1] and later[2] == earlier[2]):
            raise Failure(f"fencing numbers: {earlier} before {later}")
        if later[1] != earlier[1] and later[0] - earlier[0] < LEASE_TERM_S:
            raise Failure(f"two holders within {LEASE_TERM_S} s: {earlier}, {later}")


def holder_takes_the_lease_of_the_new_era_under_a_higher_number():
    with fleet_in_era_1() as fleet:
        target = fleet.target("t1", "engine", models=["m0"], on_disk=ON_DISK)
        fleet.start()
        fleet.store.take_copy()            # without the lease
        fleet.wait_for_orders()
        load_model(fleet, "m1")
        before = target.orders[-1]
        fleet.store.restore()
        wait_until(lambda: len(fleet.events("lease_taken")) == 2, "the lease is taken again")
        expect([line["era"] for line in fleet.events("lease_lost")], [1], "the old lease has ended")
        expect(fleet.events("lease_taken")[1]["orders_in_ms"], 0, "nobody else can have held it")
        load_model(fleet, "m2")
        if target.orders[-1][2] <= before[2]:
            raise Failure(f"fencing number {target.orders[-1][2]} after {before[2]}")
        expect(lease_objects(fleet), ["order-giver-2"], "the lease of the old era is gone with the restore")
        expect([line["subject"] for line in fleet.events("store_restored")], ["2"], "the restore is logged once")


def frozen_holder_gives_no_orders_beside_the_one_of_the_new_era():
    with fleet_in_era_1(gateways=2) as fleet:
        target = fleet.target("t1", "engine", models=["m0"], on_disk=ON_DISK)
        fleet.start()
        holder = next(gateway for gateway in fleet.gateways if gateway.name == fleet.wait_for_orders()[0]["process"])
        other = next(number for number, gateway in enumerate(fleet.gateways) if gateway is not holder)
        load_model(fleet, "m1", gateway=other)
        fleet.store.take_copy()
        holder.process.send_signal(signal.SIGSTOP)
        fleet.store.restore()
        try:
            load_model(fleet, "m2", gateway=other)
        finally:
            holder.process.send_signal(signal.SIGCONT)
        wait_until(lambda: fleet.events("store_restored", holder.name), "the former holder learns of the restore")
        load_model(fleet, "m3", gateway=other)
        expect(len({order[1] for order in target.orders}), 2, "holders that gave orders")
        expect_one_holder_at_a_time(target.orders)


def gateway_that_starts_after_the_restore_uses_higher_numbers():
    with fleet_in_era_1() as fleet:
        target = fleet.target("t1", "engine", models=["m0"], on_disk=ON_DISK)
        fleet.start()
        fleet.store.take_copy()
        fleet.wait_for_orders()
        load_model(fleet, "m1")
        fleet.gateways[0].kill()
        fleet.store.restore()
        fleet.add_gateway("late")
        fleet.gateways[1].start()
        load_model(fleet, "m2", gateway=1)
        expect_one_holder_at_a_time(target.orders)


def operators_changes_stay_in_force_while_the_restored_store_is_behind():
    with fleet_in_era_1() as fleet:
        fleet.store.put("config", "main", configuration(2, keys=["k-norte", "k-old"]))
        # Of idle targets those in the gateways' own data centre serve first, then the first one.
        out, left, kept = (fleet.target(name, "ledger") for name in ("out", "b-left", "c-kept"))
        for target, centre in ((out, "a"), (left, "b"), (kept, "b")):
            target.zone = centre
            target.register()
        fleet.start()
        fleet.wait_for_target()
        expect(fleet.ask("/cert/1", fleet.headers(X_Api_Key="k-old")).status, 200, "the key before it is withdrawn")
        fleet.store.take_copy()
        fleet.store.put("config", "main", configuration(3))
        fleet.store.put("evacuations", "a", {})
        fleet.store.remove("servers", "b-left")
        wait_until(lambda: fleet.ask("/cert/1", fleet.headers(X_Api_Key="k-old")).status == 401, "the key is withdrawn")
        wait_until(lambda: fleet.events("data_centres_out") and any(
            line["subject"] == "b-left" and line["change"] == "removed" for line in fleet.events("target_changed")), "both are known")
        fleet.store.restore()
        wait_until(lambda: fleet.events("store_restored"), "the restore is noticed")
        wait_until(lambda: registrations(fleet).get("g1", {}).get("era") == 2, "the running gateway has registered again")
        fleet.add_gateway("late")
        fleet.gateways[1].start()
        wait_until(lambda: fleet.readiness(fleet.gateways[1]) == 200, "a gateway that starts now is ready")
        runs_before, until = (len(out.runs), len(left.runs)), time.monotonic() + BEHIND_S
        while time.monotonic() < until:
            for gateway in (0, 1):
                expect(fleet.ask("/cert/1", fleet.headers(X_Api_Key="k-old"), gateway=gateway).status, 401, f"a withdrawn key at {gateway}")
                expect(fleet.ask("/cert/1", fleet.headers(), gateway=gateway).status, 200, f"service at {gateway}")
        expect((len(out.runs), len(left.runs)), runs_before, "requests at the data centre taken out, at the target that left")
        # What is written again is taken, and so is what follows.
        fleet.store.put("config", "main", configuration(3))
        fleet.store.put("evacuations", "a", {})
        fleet.store.put("config", "main", configuration(4, keys=["k-norte", "k-new"]))
        for gateway in (0, 1):
            wait_until(lambda gateway=gateway: fleet.ask("/cert/1", fleet.headers(X_Api_Key="k-new"), gateway=gateway).status == 200,
                       "the operator's next change")
        fleet.store.remove("evacuations", "a")
        wait_until(lambda: fleet.ask("/cert/1", fleet.headers()).status == 200 and len(out.runs) > runs_before[0], "the data centre is back")


def registrations_are_written_again_with_few_calls():
    with fleet_in_era_1(gateways=3) as fleet:
        fleet.target("l1", "ledger")
        fleet.store.take_copy()            # before any gateway has registered
        fleet.start()
        fleet.wait_for_contact()
        begun = time.monotonic()
        fleet.store.restore()

        wait_until(lambda: {name: spec["era"] for name, spec in registrations(fleet).items()} == {"g1": 2, "g2": 2, "g3": 2},
                   "all gateways have registered again")
        time.sleep(max(0.0, begun + 2 - time.monotonic()))
        calls = [call for call in fleet.store.calls if begun <= call[0] <= begun + 2]
        if len(calls) > 3 * MAX_CALLS:
            raise Failure(f"{len(calls)} calls of 3 gateways within 2 s of the restore")
        fleet.wait_for_contact()


def impossible_and_falling_eras_count_as_no_answer_and_are_logged():
    with fleet_in_era_1() as fleet:
        fleet.target("l1", "ledger")
        fleet.start()
        fleet.wait_for_target()
        for era in ("x", "-1", "", 0, None):
            lost, regained = len(fleet.events("store_lost")), len(fleet.events("store_regained"))
            fleet.store.era = era
            wait_until(lambda lost=lost: len(fleet.events("store_lost")) > lost, f"era {era!r} is logged")
            why = fleet.events("store_lost")[-1]["why"]
            if "era" not in why.lower():
                raise Failure(f"era {era!r}: {why}")
            expect(fleet.ask("/cert/1", fleet.headers()).status, 200, f"service with era {era!r}")
            fleet.store.era = 1
            wait_until(lambda regained=regained: len(fleet.events("store_regained")) > regained, f"the store is used again after {era!r}")
        expect(fleet.events("store_restored"), [], "restores")
        fleet.store.put("config", "main", configuration(9, keys=["k-norte", "k-new"]))
        wait_until(lambda: fleet.ask("/cert/1", fleet.headers(X_Api_Key="k-new")).status == 200, "changes are in force")


if __name__ == "__main__":
    run_cases([holder_takes_the_lease_of_the_new_era_under_a_higher_number,
               frozen_holder_gives_no_orders_beside_the_one_of_the_new_era,
               gateway_that_starts_after_the_restore_uses_higher_numbers,
               operators_changes_stay_in_force_while_the_restored_store_is_behind,
               registrations_are_written_again_with_few_calls,
               impossible_and_falling_eras_count_as_no_answer_and_are_logged])
    sys.exit(0)
