# Failures guarded against: a log event that the catalogue does not list, or
# lists with another level or message; a number that nothing logs.
python3 - <<'PY'
import glob
import re

page = open("docs/events.md", encoding="utf-8").read()
listed = {int(m[1]): (m[2], m[3]) for m in re.finditer(
    r"^\| (\d+) \| (\w+) \| ([^|]*) \|", page, re.M)}
logged = {}
chosen = set()
for path in sorted(glob.glob("src/*/*.c")):
    text = open(path, encoding="utf-8").read()
    for m in re.finditer(r'LOG_EVENT\(\s*(\d+),\s*LOG_LEVEL_(\w+),\s*'
                         r'((?:"[^"]*"\s*)+)', text):
        message = "".join(re.findall(r'"([^"]*)"', m[3]))
        logged.setdefault(int(m[1]), set()).add((m[2].lower(), message))
    # One of two numbers, chosen by a condition.
    for m in re.finditer(r"LOG_EVENT\([^,;]*\? (\d+) : (\d+),", text):
        chosen |= {int(m[1]), int(m[2])}
print("events found:", len(logged) > 50 and len(chosen) == 4)
for number in sorted(set(listed) | set(logged) | chosen):
    if number not in listed:
        print(number, "is not in docs/events.md")
    elif number not in logged and number not in chosen:
        print(number, "is logged nowhere")
    for found in logged.get(number, ()):
        if found != listed.get(number):
            print(number, "differs:", found, listed.get(number))
PY
