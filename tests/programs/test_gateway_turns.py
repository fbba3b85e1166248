#!/usr/bin/env python3
"""Turns in which gateways send prompts to one engine: spaced over all gateways, and nobody waits for a lost keeper."""
import sys
import threading

from gateway_fleet import Fleet, expect
from harness import Failure, arguments, run_cases, wait_until

ARGUMENTS = arguments(__doc__)
PROMPT_TOKENS, TOKENS_PER_SECOND = 100, 500      # a prompt of the fleet's requests; a turn each 0.2 s
TURNS = {"prompt_tokens_per_second": TOKENS_PER_SECOND}


def ask_together(fleet, wishes):
    """Statuses of requests that come at once, each a (gateway, headers)."""
    answers = []
    callers = [threading.Thread(target=lambda gateway=gateway, headers=headers: answers.append(
        fleet.ask("/dossier/1", headers, gateway=gateway).status)) for gateway, headers in wishes]
    for one in callers:
        one.start()
    for one in callers:
        one.join()
    return answers


def prompts_of_all_gateways_for_an_engine_are_spaced():
    count = 8
    with Fleet(ARGUMENTS.bin, gateways=3, dispatch=TURNS) as fleet:
        engine = fleet.target("t1", "engine", models=["m0"])
        fleet.start()
        fleet.wait_for_a_target()
        fleet.wait_for_contact()
        wishes = [(number % 3, fleet.headers("m0", Prompt_Prefix=f"s{number}:9")) for number in range(count)]
        expect(ask_together(fleet, wishes), [200] * count, "answers")
        # A slow machine spreads them further, never closer: all but the first wait for turns.
        least = (count - 1) * PROMPT_TOKENS / TOKENS_PER_SECOND / 2
        span = max(engine.run_times) - min(engine.run_times)
        if span < least:
            raise Failure(f"{count} prompts came within {span:.3f} s, wanted {least:.3f} s or more")
        expect(fleet.events("turn_missed"), [], "turns without a keeper's word")


def nobody_waits_for_a_keeper_that_is_lost():
    with Fleet(ARGUMENTS.bin, gateways=2, dispatch=TURNS) as fleet:
        models = [f"m{number}" for number in range(5)]
        for number, model in enumerate(models):
            fleet.target(f"t{number}", "engine", models=[model])
        fleet.start()
        wait_until(lambda: len(fleet.events("target_changed", "g1")) >= len(models), "the targets are known")
        fleet.wait_for_contact()
        fleet.gateways[1].freeze()
        answers = ask_together(fleet, [(0, fleet.headers(model)) for model in models])
        expect(answers, [200] * len(models), "answers while a keeper is silent")
        wait_until(lambda: fleet.events("turn_missed", "g1"), "a turn whose keeper is silent is told")
        fleet.gateways[1].thaw()


if __name__ == "__main__":
    run_cases([prompts_of_all_gateways_for_an_engine_are_spaced, nobody_waits_for_a_keeper_that_is_lost])
    sys.exit(0)
