"""Faults of routers and of the ways between them. Each is a coroutine that
begins a fault, lets it last, and ends it."""

import asyncio
import signal
import time

USUAL = {"mode": "ok", "slow": 1.0, "page": 500}
STOP_S = 12  # grace period, and time asleep meanwhile
READER_S = 2.5  # who asked the store within that time follows it
JUNK_DATAGRAMS = (b"", b"\x00", b"\xff" * 900, b"\x81" * 1400, b"\xa1" * 1400,
                  b"{}", b"\xa1\x65hello\xa0", b"\xa1\x69heartbeat\xf6",
                  b"\xbf\x7f" * 600, b"\xa2\x65tableatfchange\xa0",
                  b"\xa1\x66limits\x01", b"\xa1\x66limits\x81\x61x",
                  b"\xa1\x66limits\x81\x84\x61t\x20\x01\xf9\x7e\x00",
                  b"\x9b" + b"\xff" * 8, b"\x5b" + b"\xff" * 8)


class Faults:
    """What all faults share. `names` are the coroutines to choose from."""

    names = ()

    def __init__(self, fleet, random, out):
        self.fleet = fleet
        self.touch = fleet.truth.touch
        self.random = random
        self.out = out  # ids of targets that may get nothing any more

    def all(self):
        return [getattr(self, name) for name in self.names]

    async def pause(self, low=0.3, high=2.5):
        await asyncio.sleep(self.random.uniform(low, high))

    async def hold(self, thing, **figures):
        """Sets figures of a stand-in for a while."""
        for name, value in figures.items():
            setattr(thing, name, value)
        await self.pause()
        for name in figures:
            setattr(thing, name, USUAL.get(name, 0.0))


class RouterFaults(Faults):
    names = ("kill_some", "kill_some", "kill_readers", "kill_in_series",
             "stop_some", "freeze_some", "freeze_readers", "rewrite_settings")

    def pick(self):
        """One router, those of a data centre, or all."""
        one = self.random.choice(self.fleet.routers)
        zone = [r for r in self.fleet.routers if r.zone == one.zone]
        return self.random.choice(([one], [one], zone, self.fleet.routers))

    def readers(self):
        """Routers that follow the store, seen at their ways to it."""
        now = time.monotonic()
        ways = zip(self.fleet.routers, self.fleet.store_proxies)
        return [r for r, way in ways if now < way.used_at + READER_S]

    async def kill(self, *routers, low=0.1, high=1.5):
        """Kills all at once; each starts again after a time of its own."""
        await asyncio.gather(*(self._kill(r, low, high) for r in routers))

    async def _kill(self, router, low, high):
        process = router.process
        if process.poll() is not None:
            return
        with self.touch.lasting(self.touch.machine[router.front]):
            router.kill()
            while process.poll() is None:
                await asyncio.sleep(0.02)
            await self.pause(low, high)
            # Another fault may have started it meanwhile.
            if router.process is process:
                router.start()

    async def kill_some(self):
        await self.kill(*self.pick())

    async def kill_readers(self):
        """Right after a change was acknowledged, before it is everywhere."""
        await self.fleet.write_config()
        await self.pause(0.005, 0.4)
        await self.kill(*self.readers())

    async def kill_in_series(self):
        for router in list(self.fleet.routers):
            await asyncio.gather(self.kill(router, high=0.4),
                                 self.pause(0.05, 0.4))

    async def stop_some(self):
        await asyncio.gather(*(self._stop(r) for r in self.pick()))

    async def _stop(self, router):
        process = router.process
        if process.poll() is not None:
            return
        with self.touch.lasting(self.touch.machine[router.front],
                                self.touch.stopping[router.front]):
            router.ours = True
            router.signal(signal.SIGTERM)
            end = time.monotonic() + STOP_S
            while process.poll() is None and time.monotonic() < end:
                await asyncio.sleep(0.05)
            if process.poll() is None:
                self.fleet.truth.broken("STOP", f"{router.name} outlives "
                                        "SIGTERM")
                router.kill()
                process.wait()
            elif process.returncode not in (0, -signal.SIGKILL):
                self.fleet.truth.broken("EXIT", f"{router.name} ended with "
                                        f"{process.returncode} on SIGTERM")
            if router.process is process:
                router.start()

    async def freeze_some(self):
        await asyncio.gather(*(self._freeze(r) for r in self.pick()))

    async def _freeze(self, router):
        front = router.front
        with self.touch.lasting(self.touch.machine[front],
                                self.touch.frozen[front]):
            router.signal(signal.SIGSTOP)
            await self.pause(0.2, 2.5)
            router.signal(signal.SIGCONT)

    async def freeze_readers(self):
        await self.fleet.write_config()
        await self.pause(0.005, 0.4)
        await asyncio.gather(*(self._freeze(r) for r in self.readers()))

    async def rewrite_settings(self):
        """Half a file, and then another one, each with a signal or without;
        a router that starts gets a whole one."""
        router = self.pick()[0]
        life = self.random.choice(("500ms", "1500ms", "3s"))
        for cut in (True, False):
            router.rewrite_settings(cut, answer_lifetime=life)
            # Nothing in a program can help it before its first step.
            if router.minds_hang_up() and self.random.random() < 0.7:
                router.signal(signal.SIGHUP)
            await self.pause(0.05, 0.6)


class LinkFaults(Faults):
    """Between routers. A partition is no excuse while the store answers."""

    names = ("cut_one_way", "cut_off", "lose_datagrams", "delay_datagrams",
             "refuse_questions", "reset_questions", "send_junk")

    async def cut(self, ways):
        relay = self.fleet.relay
        ends = {self.fleet.routers[i].front for way in ways for i in way}
        with self.touch.lasting(*(self.touch.apart[end] for end in ends)):
            relay.cut |= ways
            await self.pause(0.5, 4)
            relay.cut -= ways

    async def cut_one_way(self):
        from_one = self.random.randrange(len(self.fleet.routers))
        turn = self.random.random() < 0.5
        await self.cut({w for w in self.fleet.relay.pairs()
                        if w[turn] == from_one})

    async def cut_off(self):
        zone = self.random.randrange(3)
        await self.cut({w for w in self.fleet.relay.pairs()
                        if (w[0] % 3 == zone) != (w[1] % 3 == zone)})

    async def lose_datagrams(self):
        relay = self.fleet.relay
        with self.touch.lasting(
                *(self.touch.machine[r.front] for r in self.fleet.routers)):
            relay.loss = {way: 0.4 for way in relay.pairs()}
            await self.pause()
            relay.loss = {}

    async def delay_datagrams(self):
        relay = self.fleet.relay
        ways = [w for w in relay.pairs() if self.random.random() < 0.5]
        relay.late_s = {way: 0.15 for way in ways}
        await self.pause()
        relay.late_s = {}

    async def refuse_questions(self):
        """Connections between routers end; datagrams still pass."""
        self.fleet.relay.refuse = True
        await self.pause(0.5, 4)
        self.fleet.relay.refuse = False

    async def reset_questions(self):
        self.fleet.relay.reset_connections()

    async def send_junk(self):
        for way in self.fleet.relay.pairs():
            self.fleet.relay.deliver(
                *way, self.random.choice(JUNK_DATAGRAMS))
