"""Targets that slow down, drain, fail, freeze, turn cold or answer late."""

import time

from callers import Callers, check_all
from cluster import Cluster, Service, wait_until

BOTH = {"stock": False, "orders": True}
STOCK = {"stock": False}


def test_silent_cold_start_gets_little():
    service = Service("stock", "lookup", slots=4,
                      behaviour={"median_ms": 20, "sigma": 0.2,
                                 "cold_completions": 30})
    with Cluster(services=(service,)) as cluster:
        with Callers(cluster.addresses(), STOCK, threads=12,
                     pause=0) as callers:
            callers.wait_for_calls(200)
            for _ in range(2):
                cluster.fault_target("stock-1", "cold")
                wait_until(lambda: cluster.truth("stock-1")["state"] == "warm",
                           "the target is warm again")
        check_all(cluster, callers)


def test_draining_target_gets_no_new_work():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH) as callers:
            callers.wait_for_calls(60)
            for target in ("stock-1", "orders-1"):
                cluster.fault_target(target, "drain", announced_ms=500)
            time.sleep(5)
            first = {target: cluster.truth(target)["refused_draining"]
                     for target in ("stock-1", "orders-1")}
            callers.wait_for_calls(100)
            for target, count in first.items():
                refused = cluster.truth(target)["refused_draining"]
                assert refused == count, target
                cluster.clear_target(target)
            done = cluster.truth("stock-1")["completed"]
            wait_until(lambda: cluster.truth("stock-1")["completed"] > done,
                       "the target works again")
        check_all(cluster, callers)
        assert not callers.of_kind("broken", "other", "maybe")


def test_fail_fast_target_attracts_no_work():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), STOCK) as callers:
            callers.wait_for_calls(60)
            cluster.fault_target("stock-1", "fail_fast")
            before = len(callers.outcomes)
            callers.wait_for_calls(300)
            calls = len(callers.outcomes) - before
            failed = cluster.truth("stock-1")["failed_fast"]
            # Far below the third that it would get as one of three.
            assert failed < calls / 6, (failed, calls)
            cluster.clear_target("stock-1")
            done = cluster.truth("stock-1")["completed"]
            wait_until(lambda: cluster.truth("stock-1")["completed"] > done,
                       "the target works again")
        check_all(cluster, callers)


def test_slow_target_is_avoided():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), STOCK) as callers:
            callers.wait_for_calls(60)
            cluster.fault_target("stock-1", "slow", factor=20)
            callers.wait_for_calls(30)
            before = cluster.truth("stock-1")["started"]
            calls = len(callers.outcomes)
            callers.wait_for_calls(300)
            share = ((cluster.truth("stock-1")["started"] - before)
                     / (len(callers.outcomes) - calls))
            assert share < 1 / 6, share
        check_all(cluster, callers)


def test_truncated_answers_are_never_taken_for_whole():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH) as callers:
            for _ in range(15):
                for target in cluster.targets:
                    cluster.fault_target(target, "truncate_once", count=2)
                callers.wait_for_calls(5)
        check_all(cluster, callers)


def test_late_answers_reach_only_their_own_caller():
    with Cluster() as cluster:
        for target in cluster.targets:
            cluster.fault_target(target, "late_ms", ms=700, share=0.3)
        with Callers(cluster.addresses(), BOTH, deadline_ms=500) as callers:
            callers.wait_for_calls(150)
        check_all(cluster, callers)


def test_frozen_target_is_survived():
    with Cluster() as cluster:
        with Callers(cluster.addresses(), BOTH, deadline_ms=1000) as callers:
            callers.wait_for_calls(60)
            for target in ("stock-1", "orders-2"):
                cluster.fault_target(target, "freeze", ms=4000)
            callers.wait_for_calls(200)
            time.sleep(5)
            callers.wait_for_calls(60)
        check_all(cluster, callers)


def test_load_report_that_misleads():
    with Cluster() as cluster:
        for target in cluster.targets:
            cluster.fault_target(target, "stale_load")
        with Callers(cluster.addresses(), BOTH, threads=9,
                     pause=0) as callers:
            callers.wait_for_calls(300)
            cluster.fault_target("stock-1", "cold")
            callers.wait_for_calls(200)
        check_all(cluster, callers)
