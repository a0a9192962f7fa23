#!/usr/bin/env python3
"""When each configuration came into force on each node, from the nodes' logs.

For each version: when the first node had it, and how much later the others had it; a node that had a
newer one first is not late. Nodes that were later than --late ms stand in a line each, with the calls
to the store that failed there meanwhile, by log.

usage: scripts/versions.py [--late MS] LOG...
"""
import argparse
import datetime
import re
import signal

LINE = re.compile(r"(\d{4}-\d\d-\d\dT[\d:.]+) \w+ node=(\S+) event=(\w+)(.*)")
VERSION = re.compile(r" version=(\d+)")
LOG_NAME = re.compile(r" log=(\w+)")


def events(path):
    """Time, node, event and fields of each line, in the order of time."""
    found = []
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            match = LINE.search(line)
            if match:
                time = datetime.datetime.fromisoformat(match.group(1))
                found.append((time, match.group(2), match.group(3), match.group(4)))
    return sorted(found, key=lambda it: it[0])


class Node:
    """One start of a node: what it has had in force, and which logs do not answer it."""

    def __init__(self, started=None):
        self.started = started
        self.version = 0
        self.lost = set()


def read(path):
    """First time of each version, and for each node the delay and the logs that were lost then."""
    first = {}
    delays = {}
    nodes = {}
    for time, name, event, fields in events(path):
        if event == "started":
            nodes[name] = Node(time)
        node = nodes.setdefault(name, Node())
        if event in ("store_lost", "store_back"):
            log = LOG_NAME.search(fields)
            if log:
                (node.lost.add if event == "store_lost" else node.lost.discard)(log.group(1))
        if event != "configuration":
            continue
        version = int(VERSION.search(fields).group(1))
        first.setdefault(version, time)
        for it, since in first.items():
            if node.started and node.started > since:
                continue  # what came into force before the start says nothing of this node
            if node.version < it <= version:
                delay = (time - since).total_seconds() * 1000
                delays.setdefault(it, {})[name] = (delay, sorted(node.lost))
        node.version = version
    return first, delays


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--late", type=float, default=1000, help="ms; default 1000")
    parser.add_argument("logs", nargs="+")
    args = parser.parse_args()
    for path in args.logs:
        first, delays = read(path)
        for version, since in sorted(first.items()):
            by_node = delays.get(version, {})
            worst = max((it[0] for it in by_node.values()), default=0)
            print(f"{path} version {version} first {since.time()} nodes {len(by_node)} last +{worst:.0f} ms")
            for name, (delay, lost) in sorted(by_node.items(), key=lambda it: it[1][0]):
                if delay >= args.late:
                    print(f"    {name} +{delay:.0f} ms lost={','.join(lost) or '-'}")


if __name__ == "__main__":
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)
    main()
