#!/usr/bin/env python3
"""Classes of requests that were not answered by an engine, from the nodes' logs, largest first.

  scripts/unserved.py LOG...        # or logs on standard input

Each line `event=request` with another outcome than "answered" counts once, by outcome and reason; for
those that an engine may have run, the last attempt's reason is counted too. The seconds in which most
of a class fell show what it belongs to.
"""
import collections
import fileinput
import re
import sys

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
TIME = re.compile(r"T(\d\d:\d\d:\d\d)")
PERMITTED = {"unknown_key", "no_route"}  # the configuration says so: these are not owed an answer


def fields(line):
    return {name: value.strip('"') for name, value in FIELD.findall(line)}


def main():
    classes = collections.Counter()
    seconds = collections.defaultdict(collections.Counter)
    attempts = collections.Counter()
    for line in fileinput.input(sys.argv[1:] or ("-",), errors="replace"):
        if " event=attempt_failed " in line:
            attempts[fields(line).get("reason", "")] += 1
        if " event=request " not in line:
            continue
        said = fields(line)
        if said.get("outcome") in (None, "answered"):
            continue
        name = (said["outcome"], said.get("reason", ""))
        classes[name] += 1
        time = TIME.search(line)
        seconds[name][time.group(1) if time else "?"] += 1
    for (outcome, reason), n in classes.most_common():
        worst = ", ".join(f"{count} at {when}" for when, count in seconds[outcome, reason].most_common(3))
        note = " (as the configuration says)" if reason in PERMITTED else ""
        print(f"{n:6} {outcome:12} {reason or '-'}{note}: {worst}")
    if attempts:
        print("failed attempts:", ", ".join(f"{n} {reason}" for reason, n in attempts.most_common(8)))


if __name__ == "__main__":
    main()
