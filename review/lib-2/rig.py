"""Common parts of the scripts of the second review.

Routers run as the deploy file says: its command, its environment, settings as
its template names them. Store, backends and callers are the project's own
stand-ins of test/platform.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "platform"))
sys.dont_write_bytecode = True

import fleet  # noqa: E402
import wire  # noqa: E402,F401
from proxy import watched  # noqa: E402

DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
ROLE = DEPLOY["roles"]["router"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
RESTART_S = 0.3  # "restarted after a short delay"
MAX_BODY_BYTES = 67_108_864  # of the sites' configurations, see `wire`


class Router(fleet.Router):
    """One process of the deploy file's role."""

    memory_mb = 390
    descriptors = 6150

    def start(self, output=None, own_end=False):
        settings = dict(self.settings, drain_time="2000ms")
        self._file.write_text(json.dumps(settings))
        self._touch.note_start(self.front, own_end)
        self.ours = False
        words = {"{{limits.memoryMb}}": str(self.memory_mb),
                 "{{limits.maxFds}}": str(self.descriptors)}
        env = {k: v for k, v in os.environ.items()
               if k in ("PATH", "HOME", "LANG")}
        env |= {k: words.get(v, v) for k, v in ROLE["env"].items()}
        env["VANILLAPOST_SETTINGS"] = str(self._file)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [ROOT / ROLE["run"].split()[0], *ROLE["run"].split()[1:]],
                cwd=ROOT, env=env, stdout=output or log, stderr=log)
        watched.add(self.process.pid)

    def peak_bytes(self):
        """Most resident memory of this process so far; nothing once it has
        ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return None
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return None


fleet.Router = Router


class Fleet(fleet.Fleet):
    def __init__(self, **wanted):
        # Its ports are drawn by the seed: not those of another run.
        super().__init__(seed=time.time_ns(), **wanted)

    def make_config(self):
        config = super().make_config()
        config["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        return config


async def watch_memory(fleet, record, ends, limit_bytes):
    """The platform's part: kills a process that exceeds its memory, and starts
    it again. `ends` counts by machine."""
    while True:
        for router in fleet.routers:
            peak = router.peak_bytes()
            if not peak or peak <= limit_bytes:
                continue
            record.say(f"{router.name} holds {peak / 1e6:.0f} MB of "
                       f"{router.memory_mb} MB: the platform kills it")
            ends[router.name] += 1
            router.signal(signal.SIGKILL)
            await router.wait_end()
            await asyncio.sleep(RESTART_S)
            router.start(own_end=True)
        await asyncio.sleep(0.01)


def is_kept(truth, asked):
    """Whether its caller had an answer on the same connection before."""
    name, _, count = asked.attempt_id.rpartition("-")
    before = truth.asked.get(f"{name}-{int(count) - 1}")
    return bool(before) and before.status > 0 and \
        before.router == asked.router


def lost(truth):
    """Requests of ordinary callers that ran at a backend and whose kept
    connection was closed without an answer."""
    return [a for a in truth.asked.values() if a.route and a.status == 0 and
            a.ended and truth.runs.get(a.attempt_id) and is_kept(truth, a)]


class Record:
    """What is written to record.txt beside a script."""

    def __init__(self, script):
        self._path = Path(script).resolve().parent / "record.txt"
        self._began = time.monotonic()
        self._lines = []
        self.say(f"TROUBLE={int(TROUBLE)}")

    def say(self, text):
        line = f"{time.monotonic() - self._began:8.3f}  {text}"
        self._lines.append(line)
        self._path.write_text("\n".join(self._lines) + "\n")

    def attempts(self, truth, chosen=lambda asked: True):
        """One line for each request: when, to whom, its answer, its runs."""
        for asked in truth.asked.values():
            if not chosen(asked):
                continue
            runs = truth.runs.get(asked.attempt_id, [])
            self._lines.append(
                f"{asked.at - self._began:8.3f}  sent {asked.attempt_id} "
                f"({asked.route}) to {asked.router}: status {asked.status} "
                f"at {asked.ended - self._began:.3f}, ran on "
                f"{[run.target for run in runs]}")
        self._path.write_text("\n".join(self._lines) + "\n")


def main(script, scenario, limit_s=110):
    """Ends the process with the verdict of `scenario(record)`."""
    if not (ROOT / ROLE["run"].split()[0]).exists():
        print("not built:", ROLE["run"])
        sys.exit(NOT_RUN)
    record = Record(script)
    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(
            asyncio.wait_for(scenario(record), limit_s))
        verdict = BROKEN if broken else HELD
        record.say("the rule was broken" if broken else "the rule held")
    except BaseException as failure:  # the case could not run
        record.say(f"could not run: {failure!r}")
        verdict = NOT_RUN
    # The fleet has ended its processes; tasks of stand-ins that wait for
    # their callers would keep the loop.
    os._exit(verdict)
