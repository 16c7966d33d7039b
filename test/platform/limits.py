"""Whether the requests a second that a target names are kept by all routers
together."""

from bisect import bisect_right
from collections import defaultdict

from touch import CONTACT_S

WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
TOLD_S = 0.5  # a request may be on its way while a limit is told
KNOWN_S = 1.0  # until a limit is with routers that it was not told to


def allowed(limit):
    """Requests within a window."""
    return FACTOR * limit * WINDOW_S + SLACK


def most_within(times, window_s=WINDOW_S):
    """The largest number of these times within a window."""
    times = sorted(times)
    return max((i + 1 - bisect_right(times, end - window_s)
                for i, end in enumerate(times)), default=0)


class Limits:
    """The users' rule counts what comes from routers that were told. Here
    those are bound as well that peers have had the time to tell. A restart,
    a freeze or a cut excuses a router."""

    def __init__(self, touch, broken):
        self._touch = touch
        self._broken = broken
        self._named = defaultdict(list)  # target: (since, limit or None)
        self._told = defaultdict(list)  # (router, target): when

    def note(self, target, limit, at):
        self._named[target].append((at, limit))

    def note_told(self, router, target, at):
        self._told[router, target].append(at)

    def forget(self, target):
        for key in [k for k in self._told if k[1] == target]:
            del self._told[key]

    def _excused(self, router, since, at):
        return self._touch.machine[router].meets(since, at) or \
            self._touch.apart[router].meets(since, at)

    def _is_bound(self, router, target, first, at):
        told = [t for t in self._told[router, target]
                if first <= t <= at - TOLD_S]
        if told and not self._excused(router, told[-1], at):
            return True
        return at > first + KNOWN_S and not self._excused(
            router, at - CONTACT_S, at)

    def _spans(self, target):
        """Times without a break in which it named limits, with these."""
        spans = []
        for at, limit in [*self._named[target], (float("inf"), None)]:
            if spans and spans[-1][1] is None:
                if limit is not None:
                    spans[-1][2].append((at, limit))
                    continue
                spans[-1][1] = at
            elif limit is not None:
                spans.append([at, None, [(at, limit)]])
        return spans

    def check(self, arrivals_of):
        """`arrivals_of` tells the requests that reached a target."""
        for target in self._named:
            for begin, end, limits in self._spans(target):
                times = sorted(
                    at for asked, at in arrivals_of(target)
                    if begin < at < end and
                    self._is_bound(asked.router, target, begin, at))
                self._check_span(target, begin, times, limits)

    def _check_span(self, target, begin, times, limits):
        for end in times:
            if end < begin + CONTACT_S:
                continue
            first = end - WINDOW_S
            got = bisect_right(times, end) - bisect_right(times, first)
            in_force = [n for i, (at, n) in enumerate(limits) if at <= end and
                        (i + 1 == len(limits) or limits[i + 1][0] > first)]
            if got > allowed(max(in_force)):
                self._broken("LIMIT", f"{target}, which takes {in_force} a "
                             f"second, got {got} requests in {WINDOW_S} s, "
                             f"{end - begin:.2f} s after it first named a "
                             f"limit; allowed {allowed(max(in_force)):.0f}")
                return
