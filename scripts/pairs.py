#!/usr/bin/env python3
"""Plays pairs of days with the users' bench and compares variants of the sources.

Each variant is a checkout; its days are played with the same seeds as those of the first one, without
counting processor time. Prints the mean worth of each day, its spread over the seeds, the parts of the
worth, the prices, and the credit that was lost by the cause that the bench names.

    scripts/pairs.py --bench PATH --site SITE.toml --days trouble-1,trouble-2 --seeds 1-6 \\
        --why "..." base=. trial=../trial
"""

import argparse
import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile


def parse_seeds(text):
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def play(bench, checkout, site, day, seed, why, folder):
    """Returns the bench's report of one day, or None where the play failed."""
    report = pathlib.Path(folder) / f"{day}-{seed}-{pathlib.Path(checkout).name}.json"
    command = [bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--report", str(report), "--why", why]
    done = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
    if not report.exists():
        print(f"{checkout}: {day} seed {seed}: {done.stdout[-400:]}{done.stderr[-400:]}", file=sys.stderr)
        return None
    return json.loads(report.read_text())


def describe(reports):
    """Returns the figures of several plays of one day."""
    worth = [r["G"] for r in reports]
    parts = [statistics.mean(r["parts"][i][2] for r in reports) for i in range(len(reports[0]["parts"]))]
    prices = statistics.mean(sum(p[2] for p in r["prices"]) for r in reports)
    spread = statistics.stdev(worth) if len(worth) > 1 else 0.0
    broken = [r["breaks"] for r in reports if r["breaks"]]
    return worth, spread, parts, prices, broken


def print_detail(reports):
    """Prints the means of each kind of request, and the prices that matter."""
    for i, kind in enumerate(reports[0]["classes"]):
        means = {key: statistics.mean(r["classes"][i][key] for r in reports)
                 for key in ("n", "in_aim", "late", "refused", "failed", "worth")}
        print(f"           {kind['name']:22} " + " ".join(f"{key} {value:.5g}" for key, value in means.items()))
    for i, (price, _, _) in enumerate(reports[0]["prices"]):
        cost = statistics.mean(r["prices"][i][2] for r in reports)
        amount = statistics.mean(r["prices"][i][1] for r in reports)
        if cost >= 0.002:
            print(f"           price {cost:.4f} for {amount:.5g} {price}")


def main():
    parser = argparse.ArgumentParser(description="Compares variants by days played with the same seeds.")
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", required=True, help="as in 1-6 or 1,5,9")
    parser.add_argument("--why", required=True)
    parser.add_argument("--detail", action="store_true", help="kinds of request and prices as well")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("variants", nargs="+", help="NAME=CHECKOUT; the first is the base")
    options = parser.parse_args()
    days = options.days.split(",")
    seeds = parse_seeds(options.seeds)
    variants = [text.split("=", 1) for text in options.variants]
    for _, checkout in variants:
        subprocess.run([options.bench, "build", "--why", options.why], cwd=checkout, check=True,
                       stdout=subprocess.DEVNULL)
    results = {}
    with tempfile.TemporaryDirectory() as folder, concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        jobs = {(name, day, seed): pool.submit(play, options.bench, checkout, options.site, day, seed,
                                               f"{options.why} ({name})", folder)
                for day in days for seed in seeds for name, checkout in variants}
        results = {key: job.result() for key, job in jobs.items()}
    totals = {name: [] for name, _ in variants}
    base = variants[0][0]
    for day in days:
        for name, _ in variants:
            # Only seeds that every variant played.
            played = [s for s in seeds if all(results[(v, day, s)] for v, _ in variants)]
            if not played:
                continue
            worth, spread, parts, prices, broken = describe([results[(name, day, s)] for s in played])
            totals[name].append(statistics.mean(worth))
            gain = [results[(name, day, s)]["G"] - results[(base, day, s)]["G"] for s in played]
            error = statistics.stdev(gain) / len(gain) ** 0.5 if len(gain) > 1 else 0.0
            print(f"{day:10} {name:12} worth {statistics.mean(worth):.3f} (spread {spread:.3f})"
                  f" pair {statistics.mean(gain):+.3f} (error {error:.3f})"
                  f" parts {' '.join(f'{p:.3f}' for p in parts)} prices {prices:.3f}"
                  + (f" BROKEN {broken}" if broken else ""))
            causes = {}
            for s in played:
                for cause, n, _ in results[(name, day, s)]["unserved_by"]:
                    causes[cause] = causes.get(cause, 0) + n / len(played)
            print("           lost: " + "; ".join(f"{c} {n:.1f}" for c, n in sorted(causes.items(), key=lambda x: -x[1])))
            if options.detail:
                print_detail([results[(name, day, s)] for s in played])
    for name, worths in totals.items():
        if worths:
            print(f"mean       {name:12} {statistics.mean(worths):.4f}")


if __name__ == "__main__":
    main()
