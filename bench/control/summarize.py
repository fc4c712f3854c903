#!/usr/bin/env python3
"""Prints a summary of CSV files of control_bench: one row per metric, one column
per number of balancers.
"""

import collections
import csv
import sys

ROWS = [
    ("join_all", "all_ready"),
    ("steady", "balancer_sent"),
    ("steady", "balancer_received"),
    ("steady", "balancer_both_99pc"),
    ("steady", "balancer_messages_sent"),
    ("steady", "balancer_cpu"),
    ("steady", "agent_sent"),
    ("steady", "agent_received"),
    ("steady", "agent_cpu"),
    ("steady", "service_calls"),
    ("steady", "streams_per_balancer"),
    ("steady", "suspected_in_vain"),
    ("change", "balancers_50pc"),
    ("change", "balancers_99pc"),
    ("change", "balancers_100pc"),
    ("change", "agents_99pc"),
    ("change", "agents_100pc"),
    ("change_1pc_loss", "balancers_100pc"),
    ("change_1pc_loss", "agents_100pc"),
    ("burst", "balancer_sent"),
    ("burst", "balancer_received"),
    ("burst", "balancer_both_99pc"),
    ("burst", "service_calls"),
    ("burst_then_service_down", "balancers_99pc"),
    ("burst_then_service_down", "balancers_100pc"),
    ("burst_then_service_down", "agents_100pc"),
    ("burst_then_service_down", "not_in_force_at_the_end"),
    ("service_down", "service_calls"),
    ("healed_partition", "balancer_both_99pc"),
    ("healed_partition", "balancers_100pc"),
    ("healed_partition", "agents_100pc"),
    ("healed_partition", "all_alive_again"),
    ("paused_1pc", "paused"),
    ("paused_1pc", "suspected_in_vain"),
    ("death_of_agent", "known_at_99pc"),
    ("death_of_balancer", "known_at_99pc"),
]


def main():
    samples = collections.defaultdict(list)
    units = {}
    sizes = []
    for name in sys.argv[1:]:
        with open(name, newline="") as file:
            lines = list(csv.DictReader(file))
        for line in lines:
            size = int(line["balancers"])
            if size not in sizes:
                sizes.append(size)
            key = (line["scenario"], line["metric"])
            samples[key + (size,)].append(float(line["value"]))
            units[key] = line["unit"]
    print("| scenario | metric | " + " | ".join(str(s) for s in sizes) + " |")
    print("| --- | --- |" + " ---: |" * len(sizes))
    for key in ROWS:
        # If a metric was measured several times, the highest value is shown.
        values = [max(samples.get(key + (s,), [float("nan")])) for s in sizes]
        shown = " | ".join(f"{v:.0f}" if v >= 1000 else f"{v:.3g}" for v in values)
        unit = f", {units[key]}" if units.get(key) else ""
        print(f"| {key[0]} | {key[1]}{unit} | {shown} |")


if __name__ == "__main__":
    main()
