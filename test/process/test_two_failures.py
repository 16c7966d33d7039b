"""Two failures at once."""

import time

from callers import Callers, check_all
from cluster import Cluster, wait_until

BOTH = {"stock": False, "orders": True}


def wait_all_served(cluster):
    before = {name: cluster.truth(name)["started"] for name in cluster.targets}
    wait_until(lambda: all(cluster.truth(name)["started"] > before[name]
                           for name in cluster.targets),
               "new work on every target")


def test_entry_dies_while_platform_is_down():
    with Cluster(entries=4) as cluster:
        with Callers(cluster.addresses(), BOTH) as callers:
            callers.wait_for_calls(60)
            cluster.fault_platform("down")
            time.sleep(1)
            cluster.entries["e2"].kill()
            time.sleep(6)
            callers.wait_for_calls(30)
            cluster.clear_platform()
            wait_all_served(cluster)
        check_all(cluster, callers)


def test_entry_frozen_while_a_target_turns_cold():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH, threads=9) as callers:
            callers.wait_for_calls(60)
            cluster.entries["e1"].pause()
            for target in cluster.targets:
                cluster.fault_target(target, "cold")
            time.sleep(6)
            cluster.entries["e1"].resume()
            wait_all_served(cluster)
            callers.wait_for_calls(60)
        check_all(cluster, callers)


def test_two_entries_die_at_once():
    with Cluster(entries=4) as cluster:
        with Callers(cluster.addresses(), BOTH) as callers:
            callers.wait_for_calls(60)
            cluster.entries["e1"].kill()
            cluster.entries["e2"].kill()
            wait_all_served(cluster)
        check_all(cluster, callers)


def test_entry_dies_while_answers_are_lost():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH) as callers:
            callers.wait_for_calls(60)
            cluster.fault_platform("lose_answers", share=0.3)
            cluster.entries["e3"].kill()
            wait_all_served(cluster)
            cluster.clear_platform()
            wait_all_served(cluster)
        check_all(cluster, callers)


def test_data_centre_out_while_an_entry_is_cut_off():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH) as callers:
            callers.wait_for_calls(60)
            cluster.fault_platform("cut", client="e1")
            cluster.set_centre("c", "out")
            time.sleep(8)
            before = [cluster.truth(target)["started"]
                      for target in cluster.targets_in("c")]
            callers.wait_for_calls(40)
            assert before == [cluster.truth(target)["started"]
                              for target in cluster.targets_in("c")]
            cluster.clear_platform()
        check_all(cluster, callers)
