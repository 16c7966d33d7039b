"""When a router is in touch, as the users' RULES.md has it ("In touch",
"Core", "Outer"). The one place that excuses a router from a bound in time.

What is no excuse, since that page names none: a partition between routers
while the store can be reached, a history that the store dropped, spoilt rows,
rude callers, and a process that ended by itself.
"""

import time
from bisect import bisect_right
from collections import defaultdict
from contextlib import ExitStack, contextmanager

CONTACT_S = 3.0  # without disruption before a router counts as in touch
APPLY_S = 2.0  # from the acknowledgement of a version
OUTER_S = 5.0  # what an unstable store may add to that at most
DRAIN_S = 2.0
EVACUATE_S = 5.0
REVERT_S = 0.25
SLOWED = 8  # times `REVERT_S` at a router that was disturbed
EVER = float("inf")


class Spans:
    """Times during which something lasted."""

    def __init__(self):
        self._spans = []

    def mark(self):
        now = time.monotonic()
        self._spans.append([now, now])

    @contextmanager
    def lasting(self):
        span = [time.monotonic(), EVER]
        self._spans.append(span)
        try:
            yield
        finally:
            span[1] = time.monotonic()

    def meets(self, begin, end):
        return any(b <= end and e >= begin for b, e in self._spans)


class Touch:
    """Disruptions that were played, and what they excuse. Routers are named
    by the address for callers."""

    def __init__(self):
        self.machine = defaultdict(Spans)  # (1): kills, starts, freezes, loss
        self.path = defaultdict(Spans)  # (3): no way to the store
        self.apart = defaultdict(Spans)  # cut off from other routers
        self.core = Spans()  # (2): any disruption of the store
        self.core_down = Spans()  # down, slow, or losing answers
        self.frozen = defaultdict(Spans)
        self.stopping = defaultdict(Spans)  # from SIGTERM to the end
        self.killed = defaultdict(Spans)
        self._starts = defaultdict(list)

    @contextmanager
    def lasting(self, *spans):
        with ExitStack() as stack:
            for each in spans:
                stack.enter_context(each.lasting())
            yield

    def note_start(self, router, own_end):
        """A start after an end by itself is no excuse: the process counts
        as running all the while."""
        if not own_end:
            self.machine[router].mark()
        self._starts[router].append(time.monotonic())

    def note_kill(self, router):
        self.machine[router].mark()
        self.killed[router].mark()

    def incarnation(self, router, at):
        return bisect_right(self._starts[router], at)

    def is_stable(self, at):
        return not self.core.meets(at - CONTACT_S, at)

    def is_calm(self, router, at):
        """Parts (1) and (3)."""
        since = at - CONTACT_S
        return not (self.machine[router].meets(since, at) or
                    self.path[router].meets(since, at))

    def in_touch(self, router, at):
        return self.is_calm(router, at) and self.is_stable(at)

    def is_bound(self, router, acknowledged, at, bound_s):
        """Whether what was acknowledged then has to be in force at that
        time, with the stretch that an unstable store gives."""
        late = at - acknowledged - bound_s
        if late <= 0:
            return False
        if self.in_touch(router, at):
            return True
        return (late > OUTER_S and self.is_calm(router, at) and
                not self.core_down.meets(acknowledged, at))

    def revert_bound(self, router, at):
        return REVERT_S if self.is_calm(router, at) else SLOWED * REVERT_S

    def excuses_cut(self, router, begin, end):
        """Whether a request that was passed on may end without an answer."""
        if self.killed[router].meets(begin, end):
            return True
        # A process that slept through its grace period cannot finish.
        return (self.stopping[router].meets(begin, end) and
                self.frozen[router].meets(begin - CONTACT_S, end))
