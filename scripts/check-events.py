#!/usr/bin/env python3
"""Holds docs/events.md against the code.

Each number in LOG_EVENT() and log_write() has one row with the same level and
message, each row is used, and the rows are in order.
"""
import glob
import re
import sys

CALL = re.compile(
    r"(?:LOG_EVENT|log_write)\(\s*(\d+),\s*([^,]+?),\s*((?:\"[^\"]*\"\s*)+)?")
ROW = re.compile(r"^\| (\d+) \| (\w+) \| (.*?) \| (.+) \|$")
problems = []


def read_code():
    """Returns {number: [(level, message, place)]}; level or message may be
    None where the code computes it."""
    events = {}
    for path in sorted(glob.glob("src/*/*.c")):
        with open(path, encoding="utf-8") as source:
            text = source.read()
        for call in CALL.finditer(text):
            number, level, message = call.groups()
            level = re.fullmatch(r"LOG_LEVEL_(\w+)", level)
            place = f"{path}:{text.count(chr(10), 0, call.start()) + 1}"
            events.setdefault(int(number), []).append((
                level.group(1).lower() if level else None,
                "".join(re.findall(r'"([^"]*)"', message)) if message
                else None, place))
        numbers = len(re.findall(r"(?:LOG_EVENT|log_write)\(\s*[^)\s]", text))
        if path != "src/base/log.c" and numbers != len(CALL.findall(text)):
            problems.append(f"{path}: an event number is not a plain number")
    return events


def read_rows():
    rows = {}
    last = 0
    with open("docs/events.md", encoding="utf-8") as page:
        for line in page:
            row = ROW.match(line.rstrip("\n"))
            if row is None:
                continue
            number = int(row.group(1))
            if number in rows:
                problems.append(f"{number}: has two rows")
            if number < last:
                problems.append(f"{number}: row out of order")
            last = number
            rows[number] = (row.group(2), row.group(3))
    return rows


events = read_code()
rows = read_rows()
for number, calls in sorted(events.items()):
    if number not in rows:
        problems.append(f"{number}: no row in docs/events.md ({calls[0]})")
        continue
    level, message = rows[number]
    for found_level, found_message, place in calls:
        if found_level not in (None, level):
            problems.append(f"{number}: {place} has level {found_level}, the "
                            f"row {level}")
        if found_message not in (None, message):
            problems.append(f"{number}: {place} says {found_message!r}, the "
                            f"row {message!r}")
for number in sorted(set(rows) - set(events)):
    problems.append(f"{number}: the row is not used in the code")
for problem in problems:
    print(problem)
print(f"{len(rows)} rows, {len(events)} events, {len(problems)} problems")
sys.exit(bool(problems))
