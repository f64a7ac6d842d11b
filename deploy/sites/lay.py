#!/usr/bin/env python3
"""Lays the variants of this folder as full site files, with the kit's pages beside them.

usage: lay.py [--given DIR] [VARIANT.toml ...]     (default: every variant beside this script, ../given)

A variant names its base and what differs: [change] holds keys that the base must have, [add] keys that it
must not have. A path is table.key; a number picks an entry of an array of tables. Laid into
deploy/sites/laid/NAME/, which git ignores. Anything that does not fit is one line and exit status 1.
"""
import json
import pathlib
import shutil
import sys
import tomllib

HERE = pathlib.Path(__file__).resolve().parent
BESIDE = ("real.json", "wire.json", "unlock.txt")


class Wrong(Exception):
    pass


def read(path):
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise Wrong(f"cannot read {path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise Wrong(f"{path}: {error}") from error


def step(holder, word):
    if isinstance(holder, list):
        return holder[int(word)] if word.isdigit() and int(word) < len(holder) else None
    return holder.get(word) if isinstance(holder, dict) else None


def place(site, path, value, must_exist, variant):
    *way, last = path.split(".")
    holder = site
    for word in way:
        holder = step(holder, word)
        if holder is None:
            raise Wrong(f"{variant}: the base has no '{path}' any more")
    if not isinstance(holder, dict):
        raise Wrong(f"{variant}: '{path}' names no key of a table")
    if must_exist and last not in holder:
        raise Wrong(f"{variant}: the base has no '{path}' any more")
    if not must_exist and last in holder:
        raise Wrong(f"{variant}: the base has '{path}' already")
    holder[last] = value


def plain(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return json.dumps(value, ensure_ascii=False)
    if isinstance(value, list):
        return "[" + ", ".join(plain(one) for one in value) + "]"
    return repr(value)


def is_tables(value):
    return isinstance(value, list) and value and isinstance(value[0], dict)


def lines(table, name):
    """The table's own values first, then the tables in it, as TOML wants them."""
    out = [f"{key} = {plain(value)}" for key, value in table.items()
           if not isinstance(value, dict) and not is_tables(value)]
    for key, value in table.items():
        full = f"{name}.{key}" if name else key
        if isinstance(value, dict):
            out += ["", f"[{full}]", *lines(value, full)]
        elif is_tables(value):
            for entry in value:
                out += ["", f"[[{full}]]", *lines(entry, full)]
    return out


def lay(variant, given):
    wanted = read(variant)
    for key in wanted:
        if key not in ("base", "change", "add"):
            raise Wrong(f"{variant}: '{key}' is none of base, change, add")
    base = given / str(wanted.get("base", ""))
    if not base.is_file():
        raise Wrong(f"{variant}: no base {base}")
    site = read(base)
    for path, value in wanted.get("change", {}).items():
        place(site, path, value, True, variant)
    for path, value in wanted.get("add", {}).items():
        place(site, path, value, False, variant)
    folder = HERE / "laid" / variant.stem
    folder.mkdir(parents=True, exist_ok=True)
    for name in BESIDE:
        source = given / "kit" / "sites" / name
        if not source.is_file():
            raise Wrong(f"no {source}")
        target = folder / name
        target.unlink(missing_ok=True)
        shutil.copyfile(source, target)
    laid = folder / variant.name
    laid.write_text("\n".join(lines(site, "")) + "\n", encoding="utf-8")
    return laid


def main(words):
    given = HERE.parents[2] / "given"
    if words[:1] == ["--given"]:
        if len(words) < 2:
            raise Wrong("--given names no folder")
        given, words = pathlib.Path(words[1]), words[2:]
    if not given.is_dir():
        raise Wrong(f"no folder {given}: the users' files are not part of this repository")
    variants = [pathlib.Path(word) for word in words] or sorted(HERE.glob("*.toml"))
    for variant in variants:
        print(lay(variant, given))


if __name__ == "__main__":
    try:
        main(sys.argv[1:])
    except (Wrong, OSError) as error:
        sys.exit(f"lay.py: {error}")
