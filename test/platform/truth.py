"""What callers and targets saw, and the promises it is checked against."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass

from touch import APPLY_S, DRAIN_S, EVACUATE_S, EVER, Touch
from versions import Handled, Versions
from wishes import Wishes

NOT_RUN = (408, 421, 429, 503)
GONE_S = 0.5  # after a caller has left, nothing more reaches a target
GONE_ALLOWED = 3
MANY_ADDED = 20  # requests on added routes that are compared with others


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
    # 0: the connection ended, -1: no answer in time, -2: the caller left
    status: int = 0
    deadline: float = EVER
    sent: tuple = ()  # method, path and body


class Truth:
    def __init__(self, ratio=0.2, allowance=58, window_s=10.0):
        self.asked = {}
        self.in_force = {}  # routes, and when they were acknowledged
        self.touch = Touch()
        self.versions = Versions(self.touch)
        self.wishes = Wishes(self.touch, self.broken)
        self.leaving = {}  # targets, and when the store was told
        self.evacuations = []  # [data centre, acknowledged, taken back]
        self.runs = defaultdict(list)
        self.violations = []
        self.deadly = None  # a request that ends its targets, if one is played
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._gone = 0

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
        if asked.sent and asked.sent != (run.method, run.path, run.body):
            self.broken("UNASKED", f"{run.attempt_id} was changed on its way: "
                        f"{run.method} {run.path!r} of {asked.sent[:2]}")
        if run.service != asked.service and not self.versions.knows(
                asked.route):
            self.broken("ROUTE", f"{run.attempt_id} ran on {run.service}")
        if len(earlier) > 1 and not asked.repeatable:
            self.broken("TWICE", f"{run.attempt_id} ran on "
                        f"{[r.target for r in earlier]}")
        if asked.status in NOT_RUN and not asked.repeatable:
            self.broken("REFUSED", f"{run.attempt_id} ran after "
                        f"{asked.status}")

    def note_leaving(self, target):
        """Acknowledged; what an unstable store says binds nobody."""
        now = time.monotonic()
        if self.touch.is_stable(now):
            self.leaving.setdefault(target, now)

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
        handled = []
        for asked in self.asked.values():
            ran = self.runs.get(asked.attempt_id, [])
            self._check_answer(asked, ran)
            self._check_gone(asked, ran)
            if not self.versions.knows(asked.route):
                continue
            handled += [Handled(asked, r.at, r.service) for r in ran]
            if asked.status == 404 and not ran:
                handled.append(Handled(asked, asked.ended, None))
            for run in ran:
                self._check_place(asked, run)
        self.versions.check(handled, self.broken)
        self._check_added_routes()
        self._check_budget()
        self.wishes.check()

    def _check_answer(self, asked, ran):
        if asked.status in NOT_RUN and ran and not asked.repeatable:
            self.broken("REFUSED", f"{asked.attempt_id} got "
                        f"{asked.status} and ran on {ran[0].target}")
        if asked.status == -1 and not self.touch.frozen[asked.router].meets(
                asked.at - 1, asked.ended):
            self.broken("SILENCE", f"{asked.attempt_id} had no answer")
        if asked.status == 0 and ran and asked.ended < asked.deadline and \
                not self.touch.excuses_cut(asked.router, asked.at, asked.ended):
            self.broken("LOST", f"{asked.attempt_id} on {asked.route} was cut "
                        f"at {asked.router} {asked.ended - asked.at:.2f} s "
                        f"after it was sent, at {asked.ended:.3f}")

    def _check_added_routes(self):
        """Routes that were added are served as the first ones are, by routers
        in touch; a 404 is judged by the versions."""
        first, added = [], []
        start = min(self.in_force.values(), default=0)
        for asked in self.asked.values():
            since = self.in_force.get(asked.route, EVER)
            if asked.status in (404, -2) or not asked.ended or not \
                    self.touch.is_bound(asked.router, since, asked.at, APPLY_S):
                continue
            group = first if since == start else added
            group.append(asked.status == 200)
        if len(added) >= MANY_ADDED and first and \
                sum(added) / len(added) < sum(first) / len(first) / 4:
            self.broken("CONFIG", f"{sum(added)} of {len(added)} requests on "
                        "added routes were served")

    def _check_gone(self, asked, ran):
        """A caller that left; the close takes a while to reach the router."""
        self._gone += asked.status == -2 and asked.ended > 0 and any(
            run.arrived > asked.ended + GONE_S and
            self.touch.in_touch(asked.router, run.arrived) for run in ran)
        if self._gone > GONE_ALLOWED:
            self.broken("GONE", f"{self._gone} requests reached targets after "
                        f"their callers had left, one is {asked.attempt_id}")

    def _check_place(self, asked, run):
        """Whether the target was one that may still get work."""
        late = run.arrived - self.leaving.get(run.target, EVER)
        if late > DRAIN_S and self.touch.in_touch(asked.router, asked.at) \
                and self.touch.in_touch(asked.router, run.arrived):
            self.broken("DRAIN", f"{run.attempt_id} of {asked.router} reached "
                        f"{run.target} {late:.2f} s after it was leaving")
        for zone, acknowledged, back in self.evacuations:
            if zone == run.zone and run.arrived < back and \
                    self.touch.is_bound(asked.router, acknowledged,
                                        run.arrived, EVACUATE_S):
                self.broken("EVAC", f"{run.attempt_id} of {asked.router} "
                            f"reached {run.target}")

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

    def served(self, since=0.0, until=EVER, callers=""):
        """Share of the requests of a time that had a success, of those that
        are over."""
        chosen = [a for a in self.asked.values() if since <= a.at < until and
                  a.ended and a.attempt_id.startswith(callers)]
        if not chosen:
            return 1.0
        return sum(a.status == 200 for a in chosen) / len(chosen)
