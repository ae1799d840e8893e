"""Prints the newest score of a site in journal/ beside the last committed one: compare.py SITE. Exits with 1 when the new score did not pass its gate."""

import json
import pathlib
import subprocess
import sys


def scores(site, paths):
    """Returns the completed scores of the site's standard days, oldest first."""
    found = []
    for path in paths:
        entry = json.loads(pathlib.Path(path).read_text())
        if entry["cmd"] == "score" and entry["site"] == site and entry["ok"]:
            found.append(entry)
    return sorted(found, key=lambda entry: entry["at"])


def weakest(day):
    name, _, worth = min(day["parts"], key=lambda part: part[2]) if day["parts"] else ("-", 0, 0)
    return f"{name} {worth:.2f}"


def main(site):
    listing = ["git", "ls-tree", "-r", "--name-only", "HEAD", "journal"]
    committed = set(subprocess.run(listing, check=True, capture_output=True, text=True).stdout.split())
    every = {str(path) for path in pathlib.Path("journal").glob("*.json")}
    new = scores(site, every - committed)
    old = scores(site, committed & every)
    if not new:
        print(f"{site}: no completed score", file=sys.stderr)
        return 1
    before = {day["name"]: day for day in old[-1]["days"]} if old else {}
    gate = new[-1]["figures"].get("gate") == 1.0
    print(f"{site}: score {new[-1]['score']}, gate {'passed' if gate else 'failed'}, before {old[-1]['score'] if old else '-'}")
    for day in new[-1]["days"]:
        earlier = before.get(day["name"])
        was = f"{earlier['G']:.3f}" if earlier else "-"
        broken = " broken: " + ", ".join(day["rules"]) if day["rules"] else ""
        print(f"  {day['name']:12} worth {day['G']:.3f} (before {was}), weakest {weakest(day)}{broken}")
    return 0 if gate else 1


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
