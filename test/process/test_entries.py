"""Entries that leave, die, freeze or lose the platform."""

import signal
import time

from callers import Callers, check_all
from cluster import Cluster, wait_until

BOTH = {"stock": False, "orders": True}


def started(cluster):
    return {name: cluster.truth(name)["started"] for name in cluster.targets}


def wait_all_served(cluster, targets):
    """Until each of these targets has started new work."""
    before = started(cluster)
    wait_until(lambda: all(started(cluster)[name] > before[name]
                           for name in targets),
               f"new work on each of {targets}")


def wait_taken_over(cluster, targets, entry):
    wait_until(lambda: not set(cluster.held_by(entry)) & set(targets)
               and set(targets) <= set(cluster.holds()),
               f"others hold {targets}")


def test_sigterm_under_load_cuts_off_no_request():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH, follow=True) as callers:
            callers.wait_for_calls(60)
            held = cluster.held_by("e1")
            leaving = cluster.entries["e1"]
            leaving.send(signal.SIGTERM)
            assert leaving.wait() == 0, cluster.log("e1")
            wait_all_served(cluster, held)
            callers.wait_for_calls(60)
        assert not callers.of_kind("broken", "maybe", "other"), \
            callers.of_kind("broken", "maybe", "other")[:3]
        check_all(cluster, callers)


def test_killed_entry_is_replaced():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH) as callers:
            callers.wait_for_calls(60)
            held = cluster.held_by("e1")
            cluster.entries["e1"].kill()
            wait_taken_over(cluster, held, "e1")
            wait_all_served(cluster, held)
        check_all(cluster, callers)
        broken = callers.of_kind("broken")
        assert all(each.entry == cluster.address("e1") for each in broken)


def test_restarted_entry_serves_again():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH) as callers:
            for name in list(cluster.entries):
                cluster.entries[name].kill()
                cluster.start_entry(name)
                cluster.wait_ready(name)
            wait_until(lambda: len(cluster.holds()) == len(cluster.targets),
                       "every target held")
            wait_all_served(cluster, cluster.targets)
        check_all(cluster, callers)


def test_frozen_entry_that_wakes_exceeds_no_limit():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH, threads=9) as callers:
            callers.wait_for_calls(60)
            held = cluster.held_by("e1")
            cluster.entries["e1"].pause()
            # Frozen, so not gone: its targets go over with consent, at half.
            wait_taken_over(cluster, held, "e1")
            cluster.entries["e1"].resume()
            wait_all_served(cluster, cluster.targets)
            callers.wait_for_calls(100)
        check_all(cluster, callers)


def test_entry_cut_from_platform():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH) as callers:
            callers.wait_for_calls(60)
            cluster.fault_platform("cut", client="e1")
            time.sleep(8)
            callers.wait_for_calls(60)
            wait_all_served(cluster, cluster.targets)
            cluster.clear_platform()
            callers.wait_for_calls(60)
        check_all(cluster, callers)
        assert not callers.of_kind("broken", "other")


def test_entry_started_while_platform_is_down():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), {"stock": False}) as callers:
            callers.wait_for_calls(30)
            cluster.fault_platform("down")
            cluster.entries["e3"].kill()
            cluster.start_entry("e3")
            time.sleep(3)
            callers.wait_for_calls(60)
            cluster.clear_platform()
            cluster.wait_ready("e3")
            wait_all_served(cluster, cluster.targets_of("stock"))
        check_all(cluster, callers)


def test_entry_leaves_while_platform_is_down():
    with Cluster(entries=2) as cluster:
        cluster.fault_platform("down")
        leaving = cluster.entries["e1"]
        leaving.send(signal.SIGTERM)
        assert leaving.wait() == 0, cluster.log("e1")
        # There is no table to hand targets over in.
        assert "left without handing over all targets" in cluster.log("e1")
