"""A request that ends every target that works on it, until it is mended."""

import asyncio
import time

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
