#!/usr/bin/env python3
"""Plays small days of the fleet's test, one after the other, and prints one line for each.

    bench/fleet/plays.py BENCH SITE --kinds roll+mass,split+mass --seeds 1-10 --why "..."

From the report that the bench writes: rules broken, a fault of a process, and what was served beside the report's floor (not
on a day with `throng`). The gate asks for more (by class, tenant and third), which only the bench's scores judge. A play whose
report is missing is said to be partial, with the bench's last words.
"""
import argparse
import json
import os
import subprocess
import sys
import tempfile


def numbers(text):
    """1-3,7 as [1, 2, 3, 7]."""
    found = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def verdict(day):
    """What the report itself says of the day: (verdict, why)."""
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


def play(options, kind, seed, build):
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
        done = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        try:
            with open(report, encoding="utf-8") as file:
                day = json.load(file)
        except OSError:
            last = (done.stdout.strip().splitlines() or ["nothing"])[-1]
            print(f"{kind:24} seed {seed:<3} partial: {last}", flush=True)
            return False
    row, (said, why) = day["row"], verdict(day)
    floor = "" if row["served_least"] is None else f" (gate {row['served_least']:.3f})"
    print(f"{kind:24} seed {seed:<3} {said:8} {why:32} served {row['served']:.3f}{floor} score {row['score']:.2f}"
          f" G {row['G']:.3f}", flush=True)
    return said == "kept"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--kinds", required=True, help="joined by commas")
    parser.add_argument("--seeds", default="1-3", help="such as 1-10 or 2,5")
    parser.add_argument("--nodes", type=int, default=30, help="0: the day's own size")
    parser.add_argument("--why", required=True)
    parser.add_argument("--logs", help="a folder for the governors' logs")
    parser.add_argument("--no-build", action="store_true", help="the build stands already")
    options = parser.parse_args()
    kept, build = True, not options.no_build
    for kind in options.kinds.split(","):
        for seed in numbers(options.seeds):
            kept = play(options, kind, seed, build) and kept
            build = False
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
