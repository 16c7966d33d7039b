"""Which configurations were sent, and what was handled by which of them."""

from collections import defaultdict
from dataclasses import dataclass

from touch import APPLY_S, EVER, OUTER_S


@dataclass
class Version:
    number: int
    services: dict  # set of services of each route, by the route's name
    sent: float
    acknowledged: float = EVER


@dataclass
class Handled:
    """A request that shows which versions may have been in force."""

    asked: object
    at: float  # when the effect was seen
    service: object  # None: refused as no route matched
    oldest: int = 0
    newest: int = 0


class Versions:
    def __init__(self, touch):
        self._touch = touch
        self._sent = []

    def send(self, number, services, now):
        self._sent.append(Version(number, services, now))
        return self._sent[-1]

    def withdraw(self, now):
        """A spoilt row takes the place of the newest version: who has not
        read it by now never can, and is bound by the next one."""
        newest = self._sent[-1]
        if now < newest.acknowledged + APPLY_S + OUTER_S:
            newest.acknowledged = EVER

    def knows(self, route):
        return any(route in v.services for v in self._sent)

    def check(self, handled, broken):
        """Judges what routers did by the versions that allow it."""
        told = [h for h in handled if self._find_versions(h, broken)]
        for each in told:
            self._check_in_force(each, broken)
        self._check_never_back(told, broken)

    def _find_versions(self, handled, broken):
        asked = handled.asked
        able = [v.number for v in self._sent if v.sent <= handled.at and
                self._allows(v, asked.route, handled.service)]
        if able:
            handled.oldest, handled.newest = able[0], able[-1]
            return True
        if handled.service is None:
            broken("DENIED", f"{asked.attempt_id} got 404 at {asked.router}, "
                   f"every version has {asked.route}")
        else:
            broken("ROUTE", f"{asked.attempt_id} ran on {handled.service}, "
                   f"no version sends {asked.route} there")
        return False

    @staticmethod
    def _allows(version, route, service):
        services = version.services.get(route)
        return services is None if service is None else \
            service in (services or ())

    def _check_in_force(self, handled, broken):
        asked = handled.asked
        for version in self._sent:
            if version.number > handled.newest and self._touch.is_bound(
                    asked.router, version.acknowledged, asked.at, APPLY_S):
                late = asked.at - version.acknowledged
                broken("CONFIG", f"{asked.attempt_id} on {asked.route} at "
                       f"{asked.router} handled ({handled.service}) as by "
                       f"{handled.newest}, {late:.2f} s after "
                       f"{version.number}")
                return

    def _check_never_back(self, told, broken):
        """One process never goes back behind what targets saw of it."""
        by_process = defaultdict(list)
        for each in told:
            router, at = each.asked.router, each.asked.at
            by_process[router, self._touch.incarnation(router, at)].append(each)
        for (router, _), all_of in by_process.items():
            seen = sorted((h.at, h.oldest) for h in all_of if h.service)
            newest = place = 0
            for each in sorted(all_of, key=lambda h: h.asked.at):
                at = each.asked.at
                limit = at - self._touch.revert_bound(router, at)
                while place < len(seen) and seen[place][0] < limit:
                    newest = max(newest, seen[place][1])
                    place += 1
                if each.newest < newest:
                    broken("CONFIG", f"{each.asked.attempt_id} at {router} "
                           f"handled as by {each.newest}, went back from "
                           f"{newest}")
