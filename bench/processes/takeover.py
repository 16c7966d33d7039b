"""Measures how long a killed entry's targets are without a live holder.

Six entries; one is killed with SIGKILL, and the platform's table is read until
every target has a holder that lives.

    /usr/bin/python3 bench/processes/takeover.py --runs 5
"""

import argparse
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "process"))

from cluster import Cluster, wait_until  # noqa: E402

# Rebalancing after the start has ended by then.
SETTLE_SECONDS = 8


def measure():
    with Cluster(entries=6) as cluster:
        time.sleep(SETTLE_SECONDS)
        held = cluster.held_by("e1")
        start = time.monotonic()
        cluster.entries["e1"].kill()
        wait_until(lambda: not cluster.held_by("e1"), "all taken over")
        return len(held), time.monotonic() - start


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    for _ in range(parser.parse_args().runs):
        held, seconds = measure()
        print(f"{held} targets taken over in {seconds:.2f} s", flush=True)


if __name__ == "__main__":
    main()
