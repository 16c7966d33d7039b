"""Compares placement by holds with baselines that know no hold.

Runs real entries, targets and a platform stand-in as processes. Each policy
meets the same targets, arrivals and seeds. What targets received is judged at
the targets, what callers got by the load tool.

    /usr/bin/python3 bench/processes/compare_placement.py --help
"""

import argparse
import json
import math
import subprocess
import sys
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "process"))

from cluster import BIN, Cluster, Service  # noqa: E402

POLICIES = ("holds", "random", "round_robin", "least_reported", "two_choices")
SIGMA = 0.5
SECONDS_BEFORE_FAULT = 4
ENTRIES = 6

# Numbers of targets, slots and data centres: the sizes of today.
SIZES = {
    "trockenstiefel": {"targets": (10, 7, 10), "slots": 2, "centres": 3},
    "ndiaye": {"targets": (8, 8, 10), "slots": 4, "centres": 4},
}
# Median service time in ms; downloads are 64 KiB and paced.
KINDS = (("lookup", 20), ("booking", 100), ("download", 60))
PATHS = {"lookup": "/x?bytes=400", "booking": "/orders",
         "download": "/files/{id}?bytes=16384"}


def services(size):
    return [Service(f"{kind}s", kind, targets=count, slots=size["slots"],
                    deadline_ms=2000,
                    behaviour={"median_ms": median, "sigma": SIGMA,
                               "file_bytes_per_second": 100_000_000})
            for (kind, median), count in zip(KINDS, size["targets"])]


def mean_seconds(median_ms):
    return median_ms / 1000 * math.exp(SIGMA * SIGMA / 2)


def mix(size, share):
    """Arrivals that take `share` of the capacity of each service."""
    calls = []
    for (kind, median), count in zip(KINDS, size["targets"]):
        capacity = count * size["slots"] / mean_seconds(median)
        calls.append({"name": f"{kind}s", "class": kind,
                      "per_second": capacity * share, "path": PATHS[kind],
                      "deadline_ms": 2000})
    centres = [chr(ord("a") + i) for i in range(size["centres"])]
    return {"callers": 24, "data_centres": centres, "services": calls}


def disturb(cluster, scenario, seconds):
    """Causes the scenario's failure some seconds into the load."""
    time.sleep(SECONDS_BEFORE_FAULT)
    if scenario == "slow_target":
        for service in cluster.services:
            cluster.fault_target(f"{service.name}-1", "slow", factor=10)
    elif scenario == "cold":
        for service in cluster.services:
            cluster.fault_target(f"{service.name}-2", "cold")
    elif scenario == "data_centre":
        cluster.set_centre("a", "out")
        time.sleep(seconds / 3)
        cluster.set_centre("a", "in")
    elif scenario == "platform_down":
        cluster.fault_platform("down")
    elif scenario == "entry_dies":
        cluster.entries["e1"].kill()


def run_load(cluster, size, share, seconds, seed):
    mix_file = cluster.path("mix.json")
    mix_file.write_text(json.dumps(mix(size, share)))
    result = cluster.path("load.json")
    # The first phase warms targets up and is not counted.
    subprocess.run([str(BIN / "vanillapost-load"), "--mix", str(mix_file),
                    "--entries", *cluster.addresses(), "--phases",
                    f"{seconds}:1", "--seed", str(seed), "--quiet", "--json",
                    str(result)],
                   check=True, stdout=subprocess.DEVNULL)
    return json.loads(result.read_text())


def warm_up(cluster, size):
    run_load(cluster, size, 0.4, 4, 99)


def measure(size_name, policy, share, scenario, seconds, seed):
    size = SIZES[size_name]
    centres = [chr(ord("a") + i) for i in range(size["centres"])]
    with Cluster(services(size), entries=ENTRIES, centres=centres,
                 entry_settings={"placement": policy,
                                 "log_level": "warning"}) as cluster:
        warm_up(cluster, size)
        before = {name: cluster.truth(name) for name in cluster.targets}
        trouble = threading.Thread(target=disturb,
                                   args=(cluster, scenario, seconds))
        trouble.start()
        load = run_load(cluster, size, share, seconds, seed)
        trouble.join()
        cluster.clear_platform()
        after = {name: cluster.truth(name) for name in cluster.targets}
    def grown(key):
        return sum(after[n][key] - before[n][key] for n in after)
    return {"size": size_name, "policy": policy, "share": share,
            "scenario": scenario, "seconds": seconds, "seed": seed,
            "services": load["services"], "over_limit": grown("over_limit"),
            "cold_over_limit": grown("cold_over_limit_told"),
            "probes_per_target_s": round(
                grown("probes") / len(after) / seconds, 2)}


def rows_of(result):
    for name, got in sorted(result["services"].items()):
        yield (result["size"], result["scenario"], f"{result['share']:.2f}",
               result["policy"], name, str(got["offered"]),
               f"{got['in_time'] / max(1, got['offered']):.4f}",
               f"{got['p50_ms']:.0f}", f"{got['p99_ms']:.0f}",
               f"{got['p999_ms']:.0f}", str(result["over_limit"]),
               str(result["probes_per_target_s"]))


HEADER = ("size", "scenario", "load", "placement", "service", "offered",
          "answered in time", "p50 ms", "p99 ms", "p99.9 ms",
          "over limit (all)", "probes/target/s")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", nargs="+", default=list(SIZES))
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--shares", nargs="+", type=float, default=[0.7])
    parser.add_argument("--scenarios", nargs="+", default=["steady"],
                        help="steady slow_target cold data_centre "
                             "platform_down entry_dies")
    parser.add_argument("--seconds", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", help="file for the results")
    options = parser.parse_args()
    print("| " + " | ".join(HEADER) + " |")
    print("|" + " --- |" * len(HEADER))
    results = []
    for size in options.sizes:
        for scenario in options.scenarios:
            for share in options.shares:
                for policy in options.policies:
                    result = measure(size, policy, share, scenario,
                                     options.seconds, options.seed)
                    results.append(result)
                    for row in rows_of(result):
                        print("| " + " | ".join(row) + " |", flush=True)
    if options.json:
        Path(options.json).write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
