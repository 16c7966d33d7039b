"""A data centre that operators take out and bring back."""

import time

from callers import Callers, check_all
from cluster import Cluster, wait_until

BOTH = {"stock": False, "orders": True}


def offered(cluster, centre):
    return sum(cluster.truth(target)["started"]
               for target in cluster.targets_in(centre))


def test_data_centre_out_and_back():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH, threads=4,
                     pause=0.05) as callers:
            callers.wait_for_calls(40)
            cluster.set_centre("a", "out")
            time.sleep(5)
            before = offered(cluster, "a")
            callers.wait_for_calls(60)
            assert offered(cluster, "a") == before
            cluster.set_centre("a", "in")
            wait_until(lambda: offered(cluster, "a") > before,
                       "the data centre works again")
            callers.wait_for_calls(60)
        # Two thirds of the targets carry this load.
        failed = [each for each in callers.outcomes if each.kind != "ok"]
        assert not failed, failed[:3]
        check_all(cluster, callers)


def test_data_centre_out_while_platform_is_slow():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH) as callers:
            callers.wait_for_calls(40)
            cluster.fault_platform("slow", delay_ms=300, jitter_ms=300)
            cluster.set_centre("b", "out")
            time.sleep(8)
            before = offered(cluster, "b")
            callers.wait_for_calls(40)
            assert offered(cluster, "b") == before
        check_all(cluster, callers)


def test_data_centre_taken_out_was_back_after_a_restored_store():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH, threads=4,
                     pause=0.05) as callers:
            callers.wait_for_calls(40)
            written = cluster.platform_truth()["latest"]
            cluster.set_centre("a", "out")
            time.sleep(3)
            before = offered(cluster, "a")
            lost = cluster.platform_truth()["latest"] - written
            cluster.restore_platform(lost)
            time.sleep(1.5)
            cluster.set_centre("a", "out")
            time.sleep(4)
            assert offered(cluster, "a") == before
            cluster.set_centre("a", "in")
            wait_until(lambda: offered(cluster, "a") > before,
                       "the data centre works again")
        check_all(cluster, callers)
