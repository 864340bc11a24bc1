"""Describes the differences between two files as behaviour, and which of them need a restart. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from passpost.operator.model import Application, Class, File, Part

# Settings that only an application's listening socket and pools use. All others can be replaced in a running sidecar.
RESTART_FIELDS = frozenset({"listen", "connect_ms", "idle_s"})


@dataclass(frozen=True, slots=True)
class Change:
    """One difference. `restart`: a running sidecar keeps its old behaviour in this until it is restarted."""

    key: str
    text: str
    restart: bool = False


def difference(old: File, new: File) -> list[Change]:
    """All changes from the old file to the new one."""
    found: list[Change] = []
    if old.name != new.name:
        found.append(Change("name", f"the sidecar is named {new.name!r}, was {old.name!r}", True))
    for section in ("limits", "drain", "health"):
        found += _field_changes(
            section, getattr(old, section), getattr(new, section), restart=section == "limits"
        )
    before = {a.name: a for a in old.applications}
    after = {a.name: a for a in new.applications}
    for name, application in before.items():
        if name not in after:
            text = f"{name!r} is no longer served: open requests are answered, and {application.listen} is closed"
            found.append(Change(name, text))
    for name, application in after.items():
        if name not in before:
            classes = ", ".join(c.name for c in application.classes)
            found.append(Change(name, f"{name!r} is served on {application.listen} ({classes})"))
        else:
            found += _application_changes(before[name], application)
    return found


def _application_changes(old: Application, new: Application) -> list[Change]:
    found: list[Change] = []
    for info in msgspec.structs.fields(Application):
        field = info.name
        old_value, new_value = getattr(old, field), getattr(new, field)
        if old_value == new_value or field == "classes":
            continue
        key = f"{new.name}.{field}"
        if field == "upstreams" and type(old_value) is not type(new_value):
            text = f"upstreams come from {_source_kind(new_value)} instead of {_source_kind(old_value)}"
            found.append(Change(key, text))
        elif isinstance(new_value, Part):
            found += _field_changes(key, old_value, new_value, restart=field in RESTART_FIELDS)
        elif field == "tenants":
            found += _tenant_changes(old, new)
        elif field == "add_headers":
            found.append(
                Change(
                    key,
                    f"added headers: {', '.join(new_value) or 'none'}; before: {', '.join(old_value) or 'none'}",
                )
            )
        else:
            found.append(
                Change(
                    key,
                    f"{_format_value(new_value)}, was {_format_value(old_value)}",
                    field in RESTART_FIELDS,
                )
            )
    return found + _class_changes(old, new)


def _tenant_changes(old: Application, new: Application) -> list[Change]:
    before = {t.name: t.share for t in old.tenants}
    after = {t.name: t.share for t in new.tenants}
    found = []
    for name in dict.fromkeys([*before, *after]):
        old_value, new_value = before.get(name), after.get(name)
        key = f"{new.name}.tenants.{name}"
        if new_value is None:
            found.append(Change(key, "no longer has a share"))
        elif old_value is None:
            found.append(Change(key, f"has a share of {new_value:.0%}"))
        elif old_value != new_value:
            found.append(Change(key, f"may use {new_value:.0%}, was {old_value:.0%}"))
    return found


def _class_changes(old: Application, new: Application) -> list[Change]:
    before, after = ({c.name: c for c in application.classes} for application in (old, new))
    found = []
    for name, cls in before.items():
        if name not in after:
            text = f"{', '.join(cls.methods)} {cls.path} no longer has class {name!r}; open requests are answered"
            found.append(Change(f"{new.name}.{name}", text))
    for name, cls in after.items():
        if name not in before:
            text = f"{', '.join(cls.methods)} {cls.path} has class {name!r}, {_describe_repeats(cls)}"
            found.append(Change(f"{new.name}.{name}", text))
        else:
            found += _field_changes(f"{new.name}.{name}", before[name], cls, restart=False)
    kept = [n for n in before if n in after]
    if kept != [n for n in after if n in before]:
        found.append(Change(f"{new.name}.classes", f"are matched in another order: {', '.join(after)}"))
    return found


def _describe_repeats(cls: Class) -> str:
    if cls.effect == "safe":
        return "may be repeated"
    return (
        f"may be repeated for {cls.window_ms:g} ms"
        if cls.effect == "keyed"
        else "never repeated once it may have run"
    )


def _field_changes(key: str, old: Any, new: Any, restart: bool) -> list[Change]:
    return [
        Change(f"{key}.{info.name}", f"{_format_value(new_value)}, was {_format_value(old_value)}", restart)
        for info in msgspec.structs.fields(type(new))
        if (old_value := getattr(old, info.name)) != (new_value := getattr(new, info.name))
    ]


def _source_kind(source: Any) -> str:
    return {"static": "fixed addresses", "names": "names", "file": "a file", "discovery": "discovery"}[
        str(source.__struct_config__.tag)
    ]


def _format_value(value: Any) -> str:
    if isinstance(value, bool) or value is None:
        return {True: "yes", False: "no", None: "none"}[value]
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "none"
    return repr(value) if isinstance(value, str) else str(value)
