"""Reads and writes scripts. Whatever is wrong with one is told in one line: file, key, reason."""

from __future__ import annotations

import difflib
import os
import re
import tomllib
from fnmatch import fnmatchcase
from typing import Any, Literal, get_args, get_origin, get_type_hints

import msgspec

from passpost.rehearsal import carried, model
from passpost.rehearsal.model import Scenario

MAX_BYTES = 1_000_000  # no night needs more; a larger file is some other file


class ScenarioError(Exception):
    """A script can't be used; the text is one line that names file, key and reason."""


def load(path: str) -> Scenario:
    """The script in a file; raises ScenarioError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_BYTES + 1)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror or error}") from None
    if len(data) > MAX_BYTES:
        raise ScenarioError(f"{path}: over {MAX_BYTES:,} bytes; this is no script")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ScenarioError(f"{path}: not UTF-8 at byte {error.start}") from None
    return parse(text, path)


def parse(text: str, path: str) -> Scenario:
    """The script in a text; raises ScenarioError. `path` is only named in errors."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path}: no TOML: {error}") from None
    except RecursionError:
        raise ScenarioError(f"{path}: nested too deeply") from None
    try:
        script = msgspec.convert(data, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {_explain(str(error))}") from None
    for key, reason in _contradictions(script):
        raise ScenarioError(f"{path}: {key}: {reason}")
    if script.sidecar is not None:
        file = os.path.abspath(os.path.join(os.path.dirname(path), script.sidecar.file))
        script = msgspec.structs.replace(
            script, sidecar=model.Sidecar(file=file, application=script.sidecar.application)
        )
        try:
            carried.merged(script, carried.read(file))
        except carried.MismatchError as error:
            raise ScenarioError(f"{path}: {error}") from None
    return script


def _explain(message: str) -> str:
    """msgspec's sentence, with the key in front and a guess at what was meant."""
    reason, _, where = message.partition(" - at `$")
    key = where.rstrip("`").lstrip(".").replace("[...]", "") or "the script"
    if found := re.search(r"unknown field `(.*)`", reason):
        wrong = found[1]
        near = difflib.get_close_matches(wrong, sorted(_all_keys()), n=1)
        return f"{key}: unknown key {wrong!r}" + (f"; did you mean {near[0]!r}?" if near else "")
    if found := re.search(r"missing required field `(.*)`", reason):
        return f"{key}: the key {found[1]!r} is missing"
    if found := re.search(r"Invalid (?:enum )?value '(.*)'", reason):
        near = difflib.get_close_matches(found[1], sorted(_event_kinds() | _words()), n=1)
        hint = f"; did you mean {near[0]!r}?" if near else ""
        return f"{key}: {found[1]!r} is not among what is allowed here{hint}"
    return f"{key}: {reason[0].lower()}{reason[1:]}"


def _parts() -> list[type[msgspec.Struct]]:
    values = vars(model).values()
    return [v for v in values if isinstance(v, type) and issubclass(v, model._Part)]


def _all_keys() -> set[str]:
    return {name for part in _parts() for name in part.__struct_fields__} | {"kind"}


def _event_kinds() -> set[str]:
    return {str(p.__struct_config__.tag) for p in _parts() if p.__struct_config__.tag}


def _words() -> set[str]:
    """The words that keys with a choice of them may hold."""
    words = set()
    for part in _parts():
        for hint in get_type_hints(part, include_extras=True).values():
            if get_origin(hint) is Literal:
                words |= {w for w in get_args(hint) if isinstance(w, str)}
    return words


def _contradictions(script: Scenario) -> list[tuple[str, str]]:
    """What each value allows by itself and all together forbid, each with its key."""
    found: list[tuple[str, str]] = []
    for label, names in (
        ("classes", [c.name for c in script.classes]),
        ("tenants", [t.name for t in script.tenants]),
        ("tiers", [t.name for t in script.tiers]),
        *((f"tiers[{i}].kinds", [k.name for k in t.kinds]) for i, t in enumerate(script.tiers)),
    ):
        if twice := {n for n in names if names.count(n) > 1}:
            found.append((label, f"the name {min(twice)!r} is given twice"))
    total = sum(t.part for t in script.tiers)
    if not 0.999 <= total <= 1.001:
        found.append(("tiers", f"the parts of the work come to {total:g}, and should to 1"))
    for i, c in enumerate(script.classes):
        if c.aim_ms > c.deadline_ms:
            found.append((f"classes[{i}].aim_ms", f"{c.aim_ms:g} is past the deadline of {c.deadline_ms:g}"))
    for i, tier in enumerate(script.tiers):
        if tier.calls[0] > tier.calls[1]:
            found.append((f"tiers[{i}].calls", "the first figure is the least, and is above the second"))
        if i and tier.balancers != 1:
            found.append((f"tiers[{i}].balancers", "only the first tier has balancers of its own"))
    if script.discovery.notice_s[0] > script.discovery.notice_s[1]:
        found.append(("discovery.notice_s", "the first figure is the least, and is above the second"))
    nodes, balancers = script.node_names(), script.balancer_names()
    if len(nodes) != len(set(nodes)) or len(balancers) != len(set(balancers)):
        found.append(("tiers", "two nodes or balancers would have the same name; rename a tier or kind"))
    machines = [*nodes, *balancers, "clients", "discovery"]
    for i, event in enumerate(script.events):
        key = f"events[{i}]"
        if event.at_s >= script.length_s:
            found.append((f"{key}.at_s", f"{event.at_s:g} is past the end at {script.length_s:g}"))
        for name in ("nodes", "a", "b"):
            allowed = nodes
            if name in "ab" or isinstance(event, model.Pause | model.Delay):
                allowed = machines
            for pattern in getattr(event, name, ()):
                if not any(fnmatchcase(n, pattern) for n in allowed):
                    found.append(
                        (f"{key}.{name}", f"{pattern!r} matches nothing; there are {_some(allowed)}")
                    )
        balancer = getattr(event, "balancer", None)
        if balancer is not None and balancer not in balancers:
            found.append((f"{key}.balancer", f"{balancer!r} is none of {_some(balancers)}"))
        tier_name, tenant = getattr(event, "tier", ""), getattr(event, "tenant", "")
        if tier_name and tier_name not in [t.name for t in script.tiers]:
            found.append((f"{key}.tier", f"there is no tier {tier_name!r}"))
        if tenant and tenant not in [t.name for t in script.tenants]:
            found.append((f"{key}.tenant", f"there is no tenant {tenant!r}"))
    return found


def _some(names: list[str]) -> str:
    return ", ".join(names[:4]) + (", ..." if len(names) > 4 else "")


# ---- writing ------------------------------------------------------------------------------------


def dump(script: Scenario) -> str:
    """The script as TOML: what differs from the defaults, always in the same bytes."""
    data = _differing(script)
    lines = [f"{k} = {_value(v)}" for k, v in data.items() if not _is_table(v)]
    for key, value in data.items():
        if isinstance(value, dict):
            lines += ["", f"[{key}]", *(f"{k} = {_value(v)}" for k, v in value.items())]
        elif _is_table(value):
            for item in value:
                lines += ["", f"[[{key}]]"]
                lines += [f"{k} = {_value(v)}" for k, v in item.items() if not _is_table(v)]
                for sub, entries in item.items():
                    if _is_table(entries):
                        for entry in entries:
                            lines += [f"[[{key}.{sub}]]", *(f"{k} = {_value(v)}" for k, v in entry.items())]
    return "\n".join(lines) + "\n"


def _differing(part: msgspec.Struct) -> dict[str, Any]:
    kept: dict[str, Any] = {}
    if tag := part.__struct_config__.tag:
        kept["kind"] = tag
    defaults = dict(zip(reversed(part.__struct_fields__), reversed(part.__struct_defaults__), strict=False))
    for name in part.__struct_fields__:
        value = getattr(part, name)
        if name in defaults and value == defaults[name]:
            continue
        if isinstance(value, msgspec.Struct):
            value = _differing(value)
        elif isinstance(value, tuple) and value and isinstance(value[0], msgspec.Struct):
            value = [_differing(v) for v in value]
        kept[name] = value
    return kept


def _is_table(value: Any) -> bool:
    return isinstance(value, dict) or (isinstance(value, list) and bool(value) and isinstance(value[0], dict))


def _value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        return msgspec.json.encode(value).decode().replace("\x7f", "\\u007f")  # a JSON string is a TOML one
    return "[" + ", ".join(_value(v) for v in value) + "]"
