"""What callers and targets saw, and the promises it is checked against."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass

NOT_RUN = (408, 421, 429, 503)


@dataclass
class Asked:
    """A request of a caller and how it ended."""

    at: float
    attempt_id: str
    service: str
    repeatable: bool
    route: str = ""
    router: str = ""
    ended: float = 0.0
    status: int = 0  # 0: the connection ended, -1: no answer in time


class Truth:
    def __init__(self, ratio=0.2, allowance=58, window_s=10.0):
        self.asked = {}
        self.in_force = {}  # routes, and when they were acknowledged
        self.runs = defaultdict(list)
        self.violations = []
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s

    def broken(self, promise, what):
        self.violations.append((promise, what))

    def ask(self, attempt_id, service, repeatable):
        asked = Asked(time.monotonic(), attempt_id, service, repeatable)
        self.asked[attempt_id] = asked
        return asked

    def note_run(self, run):
        earlier = self.runs[run.attempt_id]
        run.first = not earlier
        earlier.append(run)
        asked = self.asked.get(run.attempt_id)
        if asked is None:
            self.broken("UNASKED", f"{run.target} ran {run.attempt_id}")
            return
        if run.service != asked.service:
            self.broken("ROUTE", f"{run.attempt_id} ran on {run.service}")
        if len(earlier) > 1 and not asked.repeatable:
            self.broken("TWICE", f"{run.attempt_id} ran on "
                        f"{[r.target for r in earlier]}")
        if asked.status in NOT_RUN and not asked.repeatable:
            self.broken("REFUSED", f"{run.attempt_id} ran after "
                        f"{asked.status}")

    def check_routes(self, bound_s):
        """A route is served from that time after its acknowledgement on."""
        for asked in self.asked.values():
            since = self.in_force.get(asked.route)
            if asked.status == 404 and since and asked.at > since + bound_s:
                self.broken("CONFIG", f"{asked.attempt_id} found no route "
                            f"{asked.route} at {asked.router} "
                            f"{asked.at - since:.2f} s after it was there")

    def check_end(self):
        """What can only be judged when everything is over."""
        for asked in self.asked.values():
            ran = self.runs.get(asked.attempt_id)
            if asked.status in NOT_RUN and ran and not asked.repeatable:
                self.broken("REFUSED", f"{asked.attempt_id} got "
                            f"{asked.status} and ran on {ran[0].target}")
            if asked.status == -1:
                self.broken("SILENCE", f"{asked.attempt_id} had no answer")
        self._check_budget()

    def _check_budget(self):
        for service in {a.service for a in self.asked.values()}:
            firsts = sorted(a.at for a in self.asked.values()
                            if a.service == service)
            repeats = sorted(r.at for runs in self.runs.values()
                             for r in runs if r.service == service
                             and not r.first)
            for end in repeats:
                begin = end - self._window_s
                again = sum(begin < at <= end for at in repeats)
                asked = sum(begin < at <= end for at in firsts)
                if again > self._ratio * asked + self._allowance:
                    self.broken("BUDGET", f"{again} repeats at {service} "
                                f"beside {asked} requests")
                    return

    def summary(self):
        ends = Counter(a.status for a in self.asked.values())
        return {"asked": len(self.asked), "ends": dict(sorted(ends.items())),
                "runs": sum(len(r) for r in self.runs.values())}

    def served(self, since=0.0, until=float("inf")):
        """Share of the requests of a time that had a success."""
        chosen = [a for a in self.asked.values() if since <= a.at < until]
        if not chosen:
            return 1.0
        return sum(a.status == 200 for a in chosen) / len(chosen)
