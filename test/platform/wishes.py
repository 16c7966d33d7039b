"""What targets ask of routers in their answers, and whether it is kept."""

from collections import defaultdict

from limits import Limits
from touch import DRAIN_S

PAUSE_GRACE_S = 0.5  # a request may be on its way while a pause is asked for
PAUSE_ALLOWED = 2


class Wishes:
    def __init__(self, touch, broken):
        self._touch = touch
        self._broken = broken
        self._left = {}  # (router, target): when it said that it leaves
        self._pauses = defaultdict(list)  # (router, target): [begin, end]
        self._arrivals = defaultdict(list)  # (router, target): Asked, when
        self.limits = Limits(touch, broken)

    def note_leaves(self, router, target, at):
        self._left.setdefault((router, target), at)

    def note_pause(self, router, target, at, pause_s):
        self._pauses[router, target].append((at, at + pause_s))

    def note_arrival(self, asked, target, at):
        self._arrivals[asked.router, target].append((asked, at))

    def forget(self, target):
        """It has started anew, and holds nothing of before."""
        for told in (self._left, self._pauses):
            for key in [k for k in told if k[1] == target]:
                del told[key]
        self.limits.forget(target)

    def _excused(self, router, since, at):
        return self._touch.machine[router].meets(since, at)

    def check(self):
        for (router, target), since in self._left.items():
            late = [a for a, at in self._arrivals[router, target]
                    if a.at > since + DRAIN_S and
                    not self._excused(router, since, at)]
            if late:
                self._broken("DRAIN", f"{len(late)} requests reached {target} "
                             f"from {router}, {late[-1].at - since:.2f} s "
                             "after it said that it leaves")
        for (router, target), pauses in self._pauses.items():
            for begin, end in pauses:
                during = [at for _, at in self._arrivals[router, target]
                          if begin + PAUSE_GRACE_S < at < end]
                if len(during) > PAUSE_ALLOWED and not self._excused(
                        router, begin, end):
                    self._broken("BUDGET", f"{len(during)} requests reached "
                                 f"{target} from {router} in a pause of "
                                 f"{end - begin:.2f} s")

        self.limits.check(self.arrivals_of)

    def arrivals_of(self, target):
        """Requests that reached a target, and when."""
        return [each for (_, t), seen in self._arrivals.items()
                if t == target for each in seen]

    def arrivals(self, target, begin, end):
        return [a for a, at in self.arrivals_of(target) if begin < at < end]
