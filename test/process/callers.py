"""Callers that call entries in threads and note what each call came to."""

import http.client
import itertools
import json
import threading
import time
from collections import Counter
from dataclasses import dataclass

from cluster import call

# A caller's patience, beyond any deadline that an entry is given.
CALL_SECONDS = 20


@dataclass
class Outcome:
    request_id: str
    key: str
    kind: str  # ok, no, maybe, unreachable, broken, wrong, other
    status: int
    entry: str
    detail: str = ""


def judge(answer, request_id, key):
    """What an answer says, as far as its caller can check it."""
    if 200 <= answer.status < 300:
        try:
            body = answer.json()
        except ValueError:
            return "wrong"
        same = body.get("request_id") == request_id and body.get("key") == key
        return "ok" if same else "wrong"
    try:
        ran = answer.json().get("ran")
    except (ValueError, AttributeError):
        return "other"
    return {"no": "no", "maybe": "maybe", "yes": "maybe"}.get(ran, "other")


def call_service(address, service, request_id, key="", path="/x",
                 deadline_ms=None, timeout=CALL_SECONDS):
    """One call of a service through an entry."""
    headers = {"Request-Id": request_id}
    if deadline_ms is not None:
        headers["Deadline-Ms"] = str(deadline_ms)
    method, body = "GET", None
    if key:
        headers["Idempotency-Key"] = key
        method, body = "POST", "{}"
    try:
        answer = call(address, f"/v1/call/{service}{path}", method, headers,
                      body, timeout)
    except ConnectionRefusedError:
        return Outcome(request_id, key, "unreachable", 0, address)
    except (OSError, http.client.HTTPException) as failure:
        return Outcome(request_id, key, "broken", 0, address, repr(failure))
    return Outcome(request_id, key, judge(answer, request_id, key),
                   answer.status, address,
                   answer.body[:300].decode(errors="replace"))


class NamedEntries:
    """The addresses that entries name, kept as long as they say."""

    def __init__(self, known, first):
        self.known = list(known)
        self.next = first
        self.answers = {}

    def get(self, service):
        addresses, until = self.answers.get(service, ([], 0))
        if time.monotonic() > until:
            addresses, seconds = self._ask(service) or (self.known, 0)
            self.answers[service] = (addresses, time.monotonic() + seconds)
        return addresses

    def _ask(self, service):
        for _ in self.known:
            self.next += 1
            address = self.known[self.next % len(self.known)]
            try:
                answer = call(address, f"/v1/entries?service={service}"
                              "&data_centre=a", timeout=2)
            except (OSError, http.client.HTTPException):
                continue
            if answer.status == 200 and answer.json()["addresses"]:
                found = answer.json()
                return found["addresses"], found["max_age_ms"] / 1000
        return None


class Callers:
    """Calls services until it is stopped; a context manager.

    Each call goes to the next address in turn; one that refuses the
    connection is left out for that call. With `follow`, a caller uses the
    addresses that entries name, and asks again when they have aged.
    """

    _numbers = itertools.count(1)

    def __init__(self, addresses, services, threads=6, pause=0.01,
                 deadline_ms=None, follow=False):
        self.addresses = list(addresses)
        self.services = services  # name -> whether it books
        self.pause = pause
        self.deadline_ms = deadline_ms
        self.follow = follow
        self.outcomes = []
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(number,))
                         for number in range(threads)]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        names = list(self.services)
        named = NamedEntries(self.addresses, number)
        turn = number
        while not self._stop.is_set():
            turn += 1
            service = names[turn % len(names)]
            request_id = f"t{next(self._numbers)}"
            key = "k" + request_id if self.services[service] else ""
            self.outcomes.append(
                self._call(self._choose(named, turn, service), service,
                           request_id, key))
            self._stop.wait(self.pause)

    def _choose(self, named, turn, service):
        """Addresses in the order in which a call tries them."""
        if self.follow:
            return named.get(service)
        first = turn % len(self.addresses)
        return self.addresses[first:] + self.addresses[:first]

    def _call(self, addresses, service, request_id, key):
        outcome = Outcome(request_id, key, "unreachable", 0, "")
        for address in addresses:
            outcome = call_service(address, service, request_id, key,
                                   deadline_ms=self.deadline_ms)
            if outcome.kind != "unreachable":
                break
        return outcome

    def count(self):
        return Counter(outcome.kind for outcome in list(self.outcomes))

    def of_kind(self, *kinds):
        return [outcome for outcome in list(self.outcomes)
                if outcome.kind in kinds]

    def wait_for_calls(self, more, seconds=60):
        """Until this many more calls have come out well."""
        wanted = self.count()["ok"] + more
        end = time.monotonic() + seconds
        while self.count()["ok"] < wanted:
            assert time.monotonic() < end, (more, self.count())
            time.sleep(0.05)


def check_refusals(cluster, service, outcomes):
    """A refusal that says that the request did not run is true."""
    runs = cluster.runs(service)
    for outcome in outcomes:
        if outcome.kind == "no":
            name = outcome.key or outcome.request_id
            assert name not in runs, outcome


def check_answers(outcomes):
    """Every success was the whole answer to its own request."""
    wrong = [each for each in outcomes if each.kind == "wrong"]
    assert not wrong, json.dumps([vars(each) for each in wrong[:3]])


def check_all(cluster, callers):
    """Every guarantee that holds whatever has failed."""
    check_answers(callers.outcomes)
    for service in cluster.services:
        check_refusals(cluster, service.name, callers.outcomes)
    cluster.check_limits()
    cluster.check_bookings()
