"""Reads and writes scenario files (TOML). An error is one line that names the file, the key and the reason."""

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

MAX_BYTES = 1_000_000  # no scenario needs more; a larger file is not a scenario file


class ScenarioError(Exception):
    """A scenario file can't be used; the text is one line that names the file, the key and the reason."""


def load(path: str) -> Scenario:
    """Reads a scenario from a file; raises ScenarioError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_BYTES + 1)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror or error}") from None
    if len(data) > MAX_BYTES:
        raise ScenarioError(f"{path}: larger than {MAX_BYTES:,} bytes; not a scenario file")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ScenarioError(f"{path}: not UTF-8 at byte {error.start}") from None
    return parse(text, path)


def parse(text: str, path: str) -> Scenario:
    """Parses a scenario from TOML text; raises ScenarioError.

    `path` is named in errors, and the path of a sidecar's file is relative to its directory.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path}: invalid TOML: {error}") from None
    except RecursionError:
        raise ScenarioError(f"{path}: nested too deeply") from None
    try:
        scenario = msgspec.convert(data, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {_explain_validation_error(str(error))}") from None
    for key, reason in _find_contradictions(scenario):
        raise ScenarioError(f"{path}: {key}: {reason}")
    if scenario.sidecar is not None:
        file = os.path.abspath(os.path.join(os.path.dirname(path), scenario.sidecar.file))
        scenario = msgspec.structs.replace(
            scenario, sidecar=model.Sidecar(file=file, application=scenario.sidecar.application)
        )
        try:
            carried.merge_operator_file(scenario, carried.read_operator_file(file))
        except carried.MismatchError as error:
            raise ScenarioError(f"{path}: {error}") from None
    return scenario


def _explain_validation_error(message: str) -> str:
    """Rewords a validation message of msgspec: the key comes first, and a similar allowed name is suggested."""
    reason, _, where = message.partition(" - at `$")
    key = where.rstrip("`").lstrip(".").replace("[...]", "") or "top level"
    if found := re.search(r"unknown field `(.*)`", reason):
        wrong = found[1]
        near = difflib.get_close_matches(wrong, sorted(_all_keys()), n=1)
        return f"{key}: unknown key {wrong!r}" + (f"; did you mean {near[0]!r}?" if near else "")
    if found := re.search(r"missing required field `(.*)`", reason):
        return f"{key}: required key {found[1]!r} is missing"
    if found := re.search(r"Invalid (?:enum )?value '(.*)'", reason):
        near = difflib.get_close_matches(found[1], sorted(_event_kinds() | _literal_values()), n=1)
        hint = f"; did you mean {near[0]!r}?" if near else ""
        return f"{key}: {found[1]!r} is not an allowed value{hint}"
    return f"{key}: {reason[0].lower()}{reason[1:]}"


def _table_types() -> list[type[msgspec.Struct]]:
    values = vars(model).values()
    return [v for v in values if isinstance(v, type) and issubclass(v, model._Table)]


def _all_keys() -> set[str]:
    return {name for table in _table_types() for name in table.__struct_fields__} | {"kind"}


def _event_kinds() -> set[str]:
    return {str(p.__struct_config__.tag) for p in _table_types() if p.__struct_config__.tag}


def _literal_values() -> set[str]:
    """All strings that keys with a fixed set of values allow."""
    literals = set()
    for table in _table_types():
        for hint in get_type_hints(table, include_extras=True).values():
            if get_origin(hint) is Literal:
                literals |= {value for value in get_args(hint) if isinstance(value, str)}
    return literals


def _find_contradictions(scenario: Scenario) -> list[tuple[str, str]]:
    """Key and reason of each contradiction between values that are allowed one by one."""
    found: list[tuple[str, str]] = []
    for label, names in (
        ("classes", [c.name for c in scenario.classes]),
        ("tenants", [t.name for t in scenario.tenants]),
        ("tiers", [t.name for t in scenario.tiers]),
        *((f"tiers[{i}].kinds", [k.name for k in t.kinds]) for i, t in enumerate(scenario.tiers)),
    ):
        if twice := {n for n in names if names.count(n) > 1}:
            found.append((label, f"the name {min(twice)!r} is used twice"))
    total = sum(t.part for t in scenario.tiers)
    if not 0.999 <= total <= 1.001:
        found.append(("tiers", f"the parts of the work add up to {total:g} instead of 1"))
    for i, c in enumerate(scenario.classes):
        if c.aim_ms > c.deadline_ms:
            found.append(
                (f"classes[{i}].aim_ms", f"{c.aim_ms:g} is greater than the deadline of {c.deadline_ms:g}")
            )
    for i, tier in enumerate(scenario.tiers):
        if tier.calls[0] > tier.calls[1]:
            found.append(
                (f"tiers[{i}].calls", "the minimum (first value) is greater than the maximum (second value)")
            )
        if i and tier.balancers != 1:
            found.append((f"tiers[{i}].balancers", "only the first tier has balancers of its own"))
    if scenario.discovery.notice_s[0] > scenario.discovery.notice_s[1]:
        found.append(
            ("discovery.notice_s", "the minimum (first value) is greater than the maximum (second value)")
        )
    nodes, balancers = scenario.node_names(), scenario.balancer_names()
    if len(nodes) != len(set(nodes)) or len(balancers) != len(set(balancers)):
        found.append(("tiers", "two nodes or balancers would have the same name; rename a tier or kind"))
    machines = [*nodes, *balancers, "clients", "discovery"]
    for i, event in enumerate(scenario.events):
        key = f"events[{i}]"
        if event.at_s >= scenario.length_s:
            found.append((f"{key}.at_s", f"{event.at_s:g} is not before the end at {scenario.length_s:g}"))
        for name in ("nodes", "a", "b"):
            allowed = nodes
            if name in "ab" or isinstance(event, model.Pause | model.Delay):
                allowed = machines
            for pattern in getattr(event, name, ()):
                if not any(fnmatchcase(n, pattern) for n in allowed):
                    found.append(
                        (
                            f"{key}.{name}",
                            f"{pattern!r} matches nothing; the names are {_first_names(allowed)}",
                        )
                    )
        balancer = getattr(event, "balancer", None)
        if balancer is not None and balancer not in balancers:
            found.append((f"{key}.balancer", f"{balancer!r} is not one of {_first_names(balancers)}"))
        tier_name, tenant = getattr(event, "tier", ""), getattr(event, "tenant", "")
        if tier_name and tier_name not in [t.name for t in scenario.tiers]:
            found.append((f"{key}.tier", f"there is no tier {tier_name!r}"))
        if tenant and tenant not in [t.name for t in scenario.tenants]:
            found.append((f"{key}.tenant", f"there is no tenant {tenant!r}"))
    return found


def _first_names(names: list[str]) -> str:
    return ", ".join(names[:4]) + (", ..." if len(names) > 4 else "")


# ---- writing ------------------------------------------------------------------------------------


def dump(scenario: Scenario) -> str:
    """Formats a scenario as TOML: only values that differ from the defaults; equal scenarios give equal bytes."""
    data = _non_default_values(scenario)
    lines = [f"{k} = {_format_value(v)}" for k, v in data.items() if not _is_table(v)]
    for key, value in data.items():
        if isinstance(value, dict):
            lines += ["", f"[{key}]", *(f"{k} = {_format_value(v)}" for k, v in value.items())]
        elif _is_table(value):
            for item in value:
                lines += ["", f"[[{key}]]"]
                lines += [f"{k} = {_format_value(v)}" for k, v in item.items() if not _is_table(v)]
                for sub, entries in item.items():
                    if _is_table(entries):
                        for entry in entries:
                            lines += [
                                f"[[{key}.{sub}]]",
                                *(f"{k} = {_format_value(v)}" for k, v in entry.items()),
                            ]
    return "\n".join(lines) + "\n"


def _non_default_values(table: msgspec.Struct) -> dict[str, Any]:
    """The values of a table that differ from the defaults, and the kind of an event."""
    values: dict[str, Any] = {}
    if tag := table.__struct_config__.tag:
        values["kind"] = tag
    defaults = dict(zip(reversed(table.__struct_fields__), reversed(table.__struct_defaults__), strict=False))
    for name in table.__struct_fields__:
        value = getattr(table, name)
        if name in defaults and value == defaults[name]:
            continue
        if isinstance(value, msgspec.Struct):
            value = _non_default_values(value)
        elif isinstance(value, tuple) and value and isinstance(value[0], msgspec.Struct):
            value = [_non_default_values(v) for v in value]
        values[name] = value
    return values


def _is_table(value: Any) -> bool:
    return isinstance(value, dict) or (isinstance(value, list) and bool(value) and isinstance(value[0], dict))


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        # A JSON string is a valid TOML string, except that TOML forbids a literal DEL.
        return msgspec.json.encode(value).decode().replace("\x7f", "\\u007f")
    return "[" + ", ".join(_format_value(v) for v in value) + "]"
