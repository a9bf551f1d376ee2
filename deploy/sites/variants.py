#!/usr/bin/env python3
"""Writes deployments of our own for the bench: a site file, changed as variants.toml says.

    variants.py NAME SITE.toml [OUT]    # NAME: a variant of variants.toml; OUT: a folder, ./out if not given

The files that stand beside SITE (names on the sockets, wire, unlock) are copied into OUT with it. What is
written is git-ignored: nothing of a bench's own files belongs in this repository."""
import json
import pathlib
import shutil
import sys
import tomllib

HERE = pathlib.Path(__file__).resolve().parent


def tables(lines):
    """Yields (name, first line after the header, end) of each table, arrays numbered: class.0, class.1."""
    counts, found = {}, []
    for i, line in enumerate(lines):
        text = line.strip()
        if text.startswith("[["):
            name = text[2:-2]
            counts[name] = counts.get(name, -1) + 1
            found.append([f"{name}.{counts[name]}", i + 1, len(lines)])
        elif text.startswith("["):
            found.append([text[1:-1], i + 1, len(lines)])
        else:
            continue
        if len(found) > 1:
            found[-2][2] = i
    return found


def changed(text, name, changes):
    lines = text.splitlines()
    left = dict(changes)
    for table, first, end in reversed(tables(lines)):
        if table not in left:
            continue
        for key, value in left.pop(table).items():
            at = [i for i in range(first, end) if lines[i].split("=")[0].strip() == key]
            line = [] if value == "" else [f"{key} = {json.dumps(value)}"]
            for i in at:
                lines[i:i + 1] = line
            if not at:
                lines[first:first] = line
            end += len(line) if not at else (len(line) - 1) * len(at)
    if left:
        sys.exit(f"no such table in the site: {', '.join(left)}")
    first = [i for i, line in enumerate(lines) if line.startswith("name = ")][0]
    lines[first] = f'name = "{name}"'
    return "\n".join(lines) + "\n"


def main():
    if len(sys.argv) not in (3, 4):
        sys.exit(__doc__)
    variants = {v["name"]: v for v in tomllib.loads((HERE / "variants.toml").read_text())["variant"]}
    if sys.argv[1] not in variants:
        sys.exit(f"no variant {sys.argv[1]}; there are {', '.join(variants)}")
    site = pathlib.Path(sys.argv[2])
    out = pathlib.Path(sys.argv[3]) if len(sys.argv) == 4 else HERE / "out"
    out.mkdir(parents=True, exist_ok=True)
    for beside in site.parent.iterdir():
        if beside.suffix in (".json", ".txt"):
            shutil.copyfile(beside, out / beside.name)
    target = out / (sys.argv[1] + ".toml")
    text = changed(site.read_text(), sys.argv[1], variants[sys.argv[1]]["set"])
    tomllib.loads(text)
    target.write_text(text)
    print(target)


main()
