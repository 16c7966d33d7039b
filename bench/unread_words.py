#!/usr/bin/env python3
"""Words of the users' pages that nothing here reads: to be looked at whenever
pages change, as a word that only a letter brings breaks nothing by itself.

    bench/unread_words.py FOLDER [PAGE...]

FOLDER holds their wire.json files and pages; PAGEs are further texts.
"""

import json
import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
LITERAL = re.compile(r'"([^"\n]+)"')
PLACEHOLDER = re.compile(r"{{[#^/]?([\w.]+)")
WORD = re.compile(r"[\w/-]+")
HEADER = re.compile(r"`([A-Z][a-z]+(?:-[A-Z][A-Za-z]*)+)(?:`|:)")
KINDS = ("headers", "calls", "fields", "words")


def read_words():
    """What the adapter, the template of settings, and HTTP know."""
    words = set()
    sources = [*ROOT.glob("platform/*pp"), *ROOT.glob("src/io/*.cpp"),
               *ROOT.glob("apps/router/*/*.cpp")]
    for source in sources:
        for literal in LITERAL.findall(source.read_text()):
            # Queries have several: "&waitMs=".
            words |= {literal, *WORD.findall(literal)}
    template = (ROOT / "deploy/settings.json.template").read_text()
    for path in PLACEHOLDER.findall(template):
        words |= set(path.split("."))
    deploy = (ROOT / "deploy/system.toml").read_text()
    return words | set(LITERAL.findall(deploy))


def is_read(kind, word, known):
    if kind == "calls":
        path = word.split()[-1].split("{")[0]
        return path in known or path.rstrip("/") in known
    return word in known


def main():
    folder, *pages = sys.argv[1:]
    known = read_words()
    for wire in sorted(Path(folder).rglob("wire.json")):
        document = json.loads(wire.read_text())
        print(wire.parent.name)
        for kind in KINDS:
            unread = sorted(w for w in document[kind].values()
                            if not is_read(kind, w, known))
            print(f"  {kind}: {', '.join(unread) or 'all are read'}")
    texts = [*Path(folder).rglob("*.md"), *map(Path, pages)]
    headers = {h for text in texts for h in HEADER.findall(text.read_text())}
    print("headers of the pages:",
          ", ".join(sorted(headers - known)) or "all are read")


if __name__ == "__main__":
    main()
