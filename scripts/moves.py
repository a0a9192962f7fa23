#!/usr/bin/env python3
"""Streams that left their replica and heads that refused, from the nodes' logs.

  scripts/moves.py [--json] [--heads N] LOG...        # or logs on standard input

Counts cut streams and failed attempts by reason, streams that were moved away from their replica, and
refusals of first and of later attempts. For each run of refusals by one head it shows what the orders,
the replica lines and the registrations said of that head's replica around that time. Lines are bounded
per second: what was left out is summed by kind and missing from every other count.
"""
import argparse
import bisect
import collections
import datetime
import json
import re
import statistics
import sys

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
PLAYED = re.compile(r"\s*(-?\d+\.\d+) ")  # seconds, where a play's log puts them before each line
WRITTEN = re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+")
REFUSED = "engine_refused"
MOVED = "replica_lost"
# The word of the desk on a second attempt: it stands in a second line of an attempt that has failed.
NO_PLACE = {"replicas_full", "no_replica", "no_retry_budget", "no_engine"}
OF_ENGINE = {"engine_leaves", "engine_lost", "engine_back", "engine_restarted"}
PAUSE = 2.0  # seconds without a refusal that end a run
BEFORE, AFTER = 5.0, 1.0  # seconds around a run in which events are shown

Event = collections.namedtuple("Event", "at node kind said")
Attempt = collections.namedtuple("Attempt", "at request engine reason nth last_event after_ms")


def moment(line):
    played = PLAYED.match(line)
    if played:
        return float(played.group(1))
    written = WRITTEN.search(line)
    return datetime.datetime.fromisoformat(written.group(0)).timestamp() if written else None


def read(files):
    events = []
    for file in files:
        for line in file:
            said = {name: value.strip('"') for name, value in FIELD.findall(line)}
            at = moment(line)
            if at is not None and "event" in said:
                events.append(Event(at, said.pop("node", ""), said.pop("event"), said))
    events.sort(key=lambda event: event.at)
    return events


def failed_attempts(events):
    """Each failed attempt once, with its place among the attempts of its request."""
    attempts = []
    earlier = collections.defaultdict(list)
    for event in events:
        if event.kind != "attempt_failed":
            continue
        request, engine = event.said.get("request", ""), event.said.get("engine", "")
        not_again = event.said.get("not_again", "")
        if not_again in NO_PLACE and earlier[request] and earlier[request][-1] == engine:
            continue
        earlier[request].append(engine)
        attempts.append(Attempt(event.at, request, engine, event.said.get("reason", ""),
                                len(earlier[request]), event.said.get("last_event", ""),
                                int(event.said.get("after_ms", 0))))
    return attempts


def most_within(times, span=1.0):
    """The most of these sorted times in any window of that many seconds."""
    return max(bisect.bisect_right(times, at + span) - i for i, at in enumerate(times))


class Replicas:
    """Which engines were told to join which group, as far as the order lines say."""

    def __init__(self, events):
        self.joins = [event for event in events if event.kind == "order" and event.said.get("kind") == "join"]
        self.opens = [event for event in events if event.kind == "order" and event.said.get("kind") == "open"]

    def group_of(self, head, at):
        """An open names the head for certain; where its line was left out, a join must do."""
        for orders in (self.opens, self.joins):
            groups = [event.said.get("group", "") for event in orders
                      if event.at <= at and event.said.get("engine") == head]
            if groups:
                return groups[-1]
        return ""

    def members(self, group, at):
        last = {}
        for event in self.joins:
            if event.at <= at + AFTER:
                last[event.said.get("engine", "")] = event.said.get("group", "")
        return {engine for engine, joined in last.items() if joined == group}


def told(event):
    shown = {key: value for key, value in event.said.items() if key not in ("model", "fence", "left_out")}
    return event.kind + "".join(f" {key}={value or '-'}" for key, value in shown.items())


def around(events, head, group, members, first, last):
    """Lines on that replica around a run, equal ones of several nodes or moments taken together."""
    lines = {}
    for event in events:
        if not first - BEFORE <= event.at <= last + AFTER:
            continue
        said = event.said
        ours = (event.kind in ("order", "replica") and group and said.get("group") == group
                or event.kind == "order" and said.get("engine") in members
                or event.kind in OF_ENGINE and said.get("engine") in members
                or event.kind == "suspect" and said.get("head") == head)
        if not ours:
            continue
        text = f"suspect head={head}" if event.kind == "suspect" else told(event)
        line = lines.setdefault(text, {"from": event.at, "to": event.at, "lines": 0, "says": text})
        line["to"] = event.at
        line["lines"] += 1
    return list(lines.values())


def runs_of_refusals(events, attempts):
    replicas = Replicas(events)
    by_head = collections.defaultdict(list)
    for attempt in attempts:
        if attempt.reason == REFUSED:
            by_head[attempt.engine].append(attempt)
    runs = []
    for head, refused in by_head.items():
        start = 0
        for i in range(1, len(refused) + 1):
            if i < len(refused) and refused[i].at - refused[i - 1].at <= PAUSE:
                continue
            run = refused[start:i]
            start = i
            runs.append(describe(run, head, events, replicas))
    return sorted(runs, key=lambda run: -run["refusals"])


def describe(run, head, events, replicas):
    first, last = run[0].at, run[-1].at
    waited = [attempt.after_ms for attempt in run]
    group = replicas.group_of(head, first)
    members = replicas.members(group, first) | {head}
    return {
        "head": head,
        "group": group,
        "members": sorted(members),
        "from": first,
        "to": last,
        "refusals": len(run),
        "first_attempts": sum(attempt.nth == 1 for attempt in run),
        "most_in_a_second": most_within([attempt.at for attempt in run]),
        "after_ms": {"median": statistics.median_low(waited), "most": max(waited)},
        "around": around(events, head, group, members, first, last),
    }


def summary(events):
    attempts = failed_attempts(events)
    refused = [attempt for attempt in attempts if attempt.reason == REFUSED]
    moved = {attempt.request for attempt in attempts if attempt.reason == MOVED}
    ends = {event.said.get("request"): event.said for event in events if event.kind == "request"}
    left_out = collections.Counter()
    for event in events:
        left_out[event.kind] += int(event.said.get("left_out", 0))
    cut = [said for said in ends.values() if said.get("outcome") == "cut"]
    runs = runs_of_refusals(events, attempts)
    return {
        "cut": collections.Counter(said.get("reason", "") for said in cut),
        "cut_after_move": sum(said.get("request") in moved for said in cut),
        "attempts_failed": collections.Counter(attempt.reason for attempt in attempts),
        "moves": sum(attempt.reason == MOVED for attempt in attempts),
        "moves_of_begun_streams": sum(attempt.reason == MOVED and attempt.last_event != "" for attempt in attempts),
        "moved_requests_ended": collections.Counter(
            ends.get(request, {}).get("outcome", "no line") for request in moved),
        "refused_firsts": sum(attempt.nth == 1 for attempt in refused),
        "refused_later": sum(attempt.nth > 1 for attempt in refused),
        "most_refusals_of_a_head_in_a_second": max((run["most_in_a_second"] for run in runs), default=0),
        "lines_left_out": +left_out,
        "runs": runs,
    }


def counted(counter):
    return ", ".join(f"{n} {name or '-'}" for name, n in counter.most_common()) or "none"


def show(found, heads):
    print(f"cut: {counted(found['cut'])}; of these moved before: {found['cut_after_move']}")
    print(f"attempts failed: {counted(found['attempts_failed'])}")
    print(f"moves: {found['moves']}, of streams that had begun: {found['moves_of_begun_streams']}; "
          f"how their requests ended: {counted(found['moved_requests_ended'])}")
    print(f"refused first attempts: {found['refused_firsts']}, later ones: {found['refused_later']}, "
          f"most by one head in a second: {found['most_refusals_of_a_head_in_a_second']}")
    print(f"lines left out: {counted(found['lines_left_out'])}")
    if found["runs"]:
        print("\n  refused  firsts  in a second  after ms (most)      from        to  head, replica")
    for run in found["runs"]:
        print(f"  {run['refusals']:7} {run['first_attempts']:7} {run['most_in_a_second']:12} "
              f"{run['after_ms']['median']:9} {'(%d)' % run['after_ms']['most']:7}"
              f"{run['from']:9.3f} {run['to']:9.3f}  {run['head']} {run['group']}")
    for run in found["runs"][:heads]:
        print(f"\n{run['head']} of {run['group'] or 'an unknown group'} ({' '.join(run['members'])}), "
              f"{run['refusals']} refusals from {run['from']:.3f} to {run['to']:.3f}")
        for line in run["around"]:
            until = f" to {line['to']:.3f}" if line["to"] > line["from"] else ""
            print(f"  {line['from']:9.3f}{until} ({line['lines']}) {line['says']}")


def main():
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--json", action="store_true", help="one JSON object in place of the table")
    options.add_argument("--heads", type=int, default=5, help="runs whose surroundings are shown (default 5)")
    options.add_argument("logs", nargs="*", metavar="LOG")
    asked = options.parse_args()
    files = [open(name, errors="replace") for name in asked.logs] or [sys.stdin]
    found = summary(read(files))
    if asked.json:
        json.dump(found, sys.stdout)
        print()
    else:
        show(found, asked.heads)


if __name__ == "__main__":
    main()
