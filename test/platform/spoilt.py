"""Rows that no reader can use, as other writers leave them in the store."""

import json

MAX_ROW_BYTES = 65536
DEEP = 20000  # levels of nesting

NO_UTF8 = (b"\xc1\xbf\x80 written by somebody else", b"\xff\xfe", b"\x80" * 300,
           b'{"address":"\xc3\x28"}', b"\xed\xa0\x80", b"\xf5\x80\x80\x80")
NO_OBJECT = ("", " ", "[]", "null", "7", "true", '"ready"', "{", "}", "{]",
             '{"address":', "\x00", "\x00" * 50, "not JSON", "[[[]]",
             '{"a":1}{"a":2}', "\ufeff{}", "{" * 40, "{'address':'x'}",
             '{"a":NaN}', '{"a":1e999}', '"\\ud800"', '{"\\udfff":1}')
LARGE = ('{"address":' + "[" * DEEP + "}",
         '{"address":' + "[" * DEEP + "]" * DEEP + "}",
         '{"x":"' + "x" * (MAX_ROW_BYTES - 8) + '"}', "\u00e9" * 32768,
         b"\xc1" * MAX_ROW_BYTES, b"\x00" * MAX_ROW_BYTES, b"\xff" * 65535)
ODD_VALUES = (None, True, [], {}, "", "x", -1, 0, 1.5, -2**63, 2**63, 2**64,
              10**30, 1e308, "-5ms", "9e99s", "99999999999999999999ms", "1h",
              "NaN", "\r\nSet: 1", "\x00", "\u202e", ["ready"], [[[]]],
              "READY", "gone", "ready ", "s" * 9000,  # states and services
              "nowhere", ":", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
              "127.0.0.1:-1", "256.1.1.1:80", "[::1]:80", "localhost:80",
              "127.0.0.1:80\r\nX: y", "0.0.0.0:80", "127.0.0.1:80 ",
              "1.2.3.4:5:6", "\x00:1", "255.255.255.255:9")
ODD_KEYS = ("", " ", "/", "//", "..", "i-\r\nX: y", "i-\x00", "i-\x01\x1f\x7f",
            'i-"\\', "i-%00%2F", "i-&after=0#", "i-\u00e9\u4e2d\U0001f600",
            "i-\u202e\ufeff", "k" * 200, "\u00e9" * 100, "i-?table=op",
            "i-{}", "-1", "list", "\uffff", "i-+ +", "*")
ODD_OPERATOR_KEYS = ("configuration", "config/", "config ", "Config",
                     "evacuate", "evacuat/a", "limits", "evacuate/\r\n",
                     "evacuate/", "evacuate/nowhere", "evacuate//",
                     "evacuate/\x00")


def _cut(random, text):
    return text[:random.randrange(1, len(text))]


def _near_target(random):
    """A target's row, but for one or two fields."""
    document = {"address": "127.0.0.1:9", "born": 1,
                "info": {"service": "stock", "version": "v1", "zone": "a",
                         "maxConcurrency": 2},
                "status": {"state": "ready", "sequence": 1,
                           "warmupLeft": "0ms"}}
    for _ in range(random.randint(1, 2)):
        part = random.choice([document, document.get("info") or {},
                              document.get("status") or {}])
        if not isinstance(part, dict) or not part:
            continue
        name = random.choice(list(part))
        if random.random() < 0.3:
            del part[name]
        else:
            part[name] = random.choice(ODD_VALUES)
    return json.dumps(document)


def make_value(random):
    """Bytes or text of a row."""
    return random.choice((
        lambda: random.choice(NO_UTF8), lambda: random.choice(NO_OBJECT),
        lambda: random.choice(LARGE), lambda: random.randbytes(99),
        lambda: _near_target(random), lambda: _near_target(random),
        lambda: _cut(random, _near_target(random))))()


def make_config(random, good):
    """A configuration that no reader may put in force, near a good one."""
    document = json.loads(good)
    rule = random.choice(document["listeners"][0]["rules"])
    part, name = random.choice((
        (document, "version"), (document, "listeners"), (document, "clusters"),
        (rule, "kind"), (rule, "match"), (rule, "action")))
    document["version"] = f"r{int(document['version'][1:]) + 1}"
    part[name] = random.choice((None, {}, 7, "x", "r-1", "r" + "9" * 30, [7]))
    return random.choice((json.dumps(document), _cut(random, good),
                          make_value(random)))
