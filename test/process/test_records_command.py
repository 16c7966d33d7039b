"""The operators' command against the platform stand-in."""

import json
import subprocess
import threading

import pytest

from cluster import BIN, Process, call, free_address, wait_until

OK, REFUSED, USAGE, LOST_RACE, UNAVAILABLE, UNKNOWN, NOT_FOUND = range(7)


class Table:
    """A platform stand-in and the command to write to it."""

    def __init__(self, directory):
        self.directory = directory
        self.address = free_address()
        self.process = Process(
            [BIN / "vanillapost-platform-standin", "--listen", self.address],
            directory / "platform.log")
        wait_until(lambda: call(self.address, "/control/truth"), "platform")

    def run(self, *arguments, user="ada"):
        done = subprocess.run(
            [BIN / "vanillapost-records", "--platform", self.address, "--user",
             user, "--json", *map(str, arguments)],
            capture_output=True, text=True, timeout=60, check=False)
        report = json.loads(done.stdout) if done.stdout else {}
        return done.returncode, report

    def fault(self, **fault):
        call(self.address, "/control/fault", "POST", body=json.dumps(fault))

    def clear(self):
        call(self.address, "/control/clear", "POST", body="{}")

    def file(self, name, **fields):
        path = self.directory / (name + ".json")
        path.write_text(json.dumps({"schema": 2, "kind": "data_centre",
                                    "name": name, **fields}))
        return path

    def history(self, name):
        key = "records/data_centre/" + name
        rows = call(self.address, "/control/truth?prefix=records/").json()
        return rows["rows"].get(key, [])


@pytest.fixture(name="table")
def make_table(tmp_path):
    table = Table(tmp_path)
    yield table
    table.process.end()


def test_records_lost_race_names_the_winner(table):
    assert table.run("put", table.file("a"))[0] == OK
    code, report = table.run("put", table.file("a", limit=3), user="bea")
    assert code == LOST_RACE
    assert report["winners"][0]["by"] == "ada"
    assert report["winners"][0]["differences"] == [
        {"field": "/limit", "before": None, "after": 3}]
    assert len(table.history("a")) == 1


def test_records_lost_answer_is_written_once(table):
    table.fault(fault="lose_answers", share=1.0)
    code, report = table.run("put", table.file("a"))
    table.clear()
    assert code == OK, report
    assert len(table.history("a")) == 1


def test_records_outage_writes_nothing_and_says_so(table):
    table.fault(fault="down")
    code, _ = table.run("--attempts", 3, "put", table.file("a"))
    table.clear()
    assert code == UNAVAILABLE
    assert table.history("a") == []


def test_records_silent_platform_leaves_the_outcome_unknown(table):
    table.fault(fault="down", silent=True)
    code, report = table.run("--attempts", 2, "--timeout-ms", 200, "put",
                             table.file("a"))
    table.clear()
    assert code == UNKNOWN, report


def test_records_racing_operators_each_learn_their_outcome(table):
    assert table.run("put", table.file("a"))[0] == OK
    files = [table.file("a", limit=0)] * 8
    codes = []

    def replace(path):
        codes.append(table.run("replace", path, "--expect",
                               table_revision)[0])

    table_revision = table.run("show", "data_centre", "a")[1]["revision"]
    threads = [threading.Thread(target=replace, args=(each,))
               for each in files]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(codes) == [OK] + [LOST_RACE] * 7
    assert len(table.history("a")) == 2


def test_records_bad_file_is_refused_whole(table):
    good, bad = table.file("a"), table.file("b", colour="red")
    code, report = table.run("put", good, bad)
    assert code == REFUSED
    assert "/colour" in report["detail"]
    assert table.history("a") == []


def test_records_take_out_and_misspelt_name(table):
    assert table.run("put", table.file("a", limit=4))[0] == OK
    assert table.run("take-out", "a")[0] == OK
    record = table.run("show", "data_centre", "a")[1]["record"]
    assert (record["state"], record["limit"]) == ("out", 4)
    assert table.run("take-out", "aa")[0] == NOT_FOUND
    assert table.run("withdraw", "data_centre", "a")[0] == USAGE
