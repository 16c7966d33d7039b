"""A request that ends every target that works on it, until it is mended."""

import asyncio
import random
import time

from fleet import LOOKUP, ORDER

DOWN_S = 2.0  # until the platform starts an ended target again
MOST_ENDED = 4  # the goal for one request, over the whole deployment


class Deadly:
    """Ends the targets that run a request for its path, and starts them again.
    To be set as `truth.deadly`. Ids of targets that are down are in `out`."""

    def __init__(self, path, proxies, out, after_s=0.0):
        self.path = path
        self.after_s = after_s
        self.ended = []  # times and ids of targets
        self.mended = False
        self._proxies = proxies
        self._out = out
        self._tasks = set()

    def meets(self, request):
        return request.target == self.path and not self.mended

    async def end(self, target):
        """In place of an answer; the connection cannot be used again."""
        await asyncio.sleep(self.after_s)
        self.ended.append((time.monotonic(), target.id))
        task = asyncio.create_task(self._stop_and_start(target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return False

    async def _stop_and_start(self, target):
        had_gone = target.id in self._out
        self._out.add(target.id)
        # Behind a proxy that lives, it would not refuse connections.
        parts = [target]
        if target.id in self._proxies:
            parts.append(self._proxies[target.id])
        for part in parts:
            await part.stop()
        await asyncio.sleep(DOWN_S)
        if had_gone:
            return
        target.begin_anew()
        for part in parts:
            await part.start_again()
        await target.list_itself()
        self._out.discard(target.id)


class DeadlyRequests:
    """Callers at all routers ask for a deadly request for a while, in some of
    the seeds of a soak. With numbers of its own, so that the seeds from before
    it was added play the same other faults."""

    PLAYED = 0.4  # share of the seeds
    PAUSE_S = (0.1, 0.5)  # between two requests
    LASTS_S = (2, 6)

    def __init__(self, fleet, seed, out):
        self._fleet = fleet
        self._random = random.Random(f"deadly {seed}")
        self._out = out
        self._asked = 0
        self.is_played = self._random.random() < self.PLAYED
        self.deadly = None

    async def run(self, seconds):
        if not self.is_played:
            return
        await asyncio.sleep(self._random.uniform(0, seconds / 2))
        route = self._random.choice((LOOKUP, ORDER))
        self.deadly = Deadly(route.prefix + "deadly", self._fleet.proxies,
                             self._out, self._random.choice((0, 0.02, 0.1)))
        self._fleet.truth.deadly = self.deadly
        until = time.monotonic() + self._random.uniform(*self.LASTS_S)
        running = set()
        while time.monotonic() < until:
            running.add(asyncio.create_task(self._ask(route)))
            await asyncio.sleep(self._random.uniform(*self.PAUSE_S))
        await asyncio.gather(*running)
        self.deadly.mended = True

    async def _ask(self, route):
        router = self._random.choice(self._fleet.routers)
        self._asked += 1
        caller = self._fleet.caller(f"deadly-{self._asked}", only=router)
        body = b"" if route.repeatable else b"deadly"
        await caller.request(route, same=(self.deadly.path, body))
        caller.drop()

    def check(self, truth, calm):
        """Routers that hear of each other hold it back together, and each one
        that is alone holds it back by itself."""
        if not self.deadly:
            return
        alone = 0 if calm else 2 * len(self._fleet.routers)
        if len(self.deadly.ended) > MOST_ENDED + alone:
            truth.broken("DEADLY", f"{len(self.deadly.ended)} targets ended "
                         f"under {self.deadly.path}")
