#!/usr/bin/env python3
"""Runs small scenarios of the fleet test one after the other, and prints one line for each.

    bench/fleet/plays.py BENCH SITE --kinds roll+mass,split+mass --seeds 1-10 --why "..."

BENCH writes a report of each run. The printed line gives the broken rules, a fault of a process, and the served fraction
compared with the report's floor (not compared for scenarios with `throng` in their name). The gate of BENCH also checks
by class, tenant and third of the scenario; only the scores of BENCH cover these checks. A run without a report is listed
as partial, with the last line that BENCH printed.
"""
import argparse
import json
import os
import subprocess
import sys
import tempfile


def parse_numbers(text):
    """Returns the numbers of a list of ranges, such as [1, 2, 3, 7] for "1-3,7"."""
    parsed = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        parsed += range(int(first), int(last or first) + 1)
    return parsed


def check_result(day):
    """Returns the result of a scenario by its report, and the reason: (result, reason)."""
    row = day["row"]
    if day["fault"] or row["fault"]:
        return "CRASHED", str(day["fault"] or row["fault"]).splitlines()[0]
    if day["breaks"]:
        return "BROKE", ", ".join(f"{rule} {count}" for rule, count in day["breaks"].items())
    if row.get("gate"):
        return "MISSED", str(row["gate"])
    if "throng" not in day["name"] and row["served"] < row["served_least"]:
        return "MISSED", "serves less than the gate's floor"
    return "kept", "-"


def run_scenario(options, kind, seed, build):
    with tempfile.TemporaryDirectory() as folder:
        report = os.path.join(folder, "report.json")
        command = [options.bench, options.site, "--rough", kind, "--seed", str(seed), "--json", report]
        command += ["--why", options.why]
        if options.nodes:
            command += ["--nodes", str(options.nodes)]
        if options.logs:
            command += ["--logs", os.path.join(options.logs, f"{kind}-{seed}")]
        if not build:
            command.append("--no-build")
        process = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        try:
            with open(report, encoding="utf-8") as file:
                day = json.load(file)
        except OSError:
            last_line = (process.stdout.strip().splitlines() or ["nothing"])[-1]
            print(f"{kind:24} seed {seed:<3} partial: {last_line}", flush=True)
            return False
    row, (result, reason) = day["row"], check_result(day)
    floor = "" if row["served_least"] is None else f" (gate {row['served_least']:.3f})"
    print(f"{kind:24} seed {seed:<3} {result:8} {reason:32} served {row['served']:.3f}{floor} score {row['score']:.2f}"
          f" G {row['G']:.3f}", flush=True)
    return result == "kept"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--kinds", required=True, help="kinds of scenarios, separated by commas")
    parser.add_argument("--seeds", default="1-3", help="such as 1-10 or 2,5")
    parser.add_argument("--nodes", type=int, default=30, help="number of nodes; 0: the size that the scenario sets")
    parser.add_argument("--why", required=True)
    parser.add_argument("--logs", help="folder for the logs of the control plane instances")
    parser.add_argument("--no-build", action="store_true", help="do not build first; the build is up to date")
    options = parser.parse_args()
    kept, build = True, not options.no_build
    for kind in options.kinds.split(","):
        for seed in parse_numbers(options.seeds):
            kept = run_scenario(options, kind, seed, build) and kept
            build = False
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
