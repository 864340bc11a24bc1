"""What two files differ in, told as behaviour, and what a running sidecar can take over at once. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from passpost.operator.model import Application, Class, File, Part

# Of an application, what only its listening socket and pools know: the rest is the module's, and can be swapped.
RESTART_FIELDS = frozenset({"listen", "connect_ms", "idle_s"})


@dataclass(frozen=True, slots=True)
class Change:
    """One difference. `restart`: a running sidecar goes on as before in this, until it is started again."""

    key: str
    text: str
    restart: bool = False


def difference(old: File, new: File) -> list[Change]:
    """All that changes from one file to the other."""
    found: list[Change] = []
    if old.name != new.name:
        found.append(Change("name", f"the sidecar is called {new.name!r} and no longer {old.name!r}", True))
    for section in ("limits", "drain", "health"):
        found += _fields(section, getattr(old, section), getattr(new, section), restart=section == "limits")
    before = {a.name: a for a in old.applications}
    after = {a.name: a for a in new.applications}
    for name, application in before.items():
        if name not in after:
            text = f"{name!r} is no longer served: what it has taken is answered, and {application.listen} is closed"
            found.append(Change(name, text))
    for name, application in after.items():
        if name not in before:
            classes = ", ".join(c.name for c in application.classes)
            found.append(Change(name, f"{name!r} is served on {application.listen} ({classes})"))
        else:
            found += _application(before[name], application)
    return found


def _application(old: Application, new: Application) -> list[Change]:
    found: list[Change] = []
    for info in msgspec.structs.fields(Application):
        field = info.name
        a, b = getattr(old, field), getattr(new, field)
        if a == b or field == "classes":
            continue
        key = f"{new.name}.{field}"
        if field == "upstreams" and type(a) is not type(b):
            text = f"upstreams come from {_kind(b)} and no longer from {_kind(a)}"
            found.append(Change(key, text))
        elif isinstance(b, Part):
            found += _fields(key, a, b, restart=field in RESTART_FIELDS)
        elif field == "tenants":
            found += _tenants(old, new)
        elif field == "add_headers":
            found.append(
                Change(key, f"headers added: {', '.join(b) or 'none'}; before: {', '.join(a) or 'none'}")
            )
        else:
            found.append(Change(key, f"{_show(b)}, and was {_show(a)}", field in RESTART_FIELDS))
    return found + _classes(old, new)


def _tenants(old: Application, new: Application) -> list[Change]:
    before = {t.name: t.share for t in old.tenants}
    after = {t.name: t.share for t in new.tenants}
    found = []
    for name in dict.fromkeys([*before, *after]):
        a, b = before.get(name), after.get(name)
        key = f"{new.name}.tenants.{name}"
        if b is None:
            found.append(Change(key, "has no share any more"))
        elif a is None:
            found.append(Change(key, f"has a share of {b:.0%}"))
        elif a != b:
            found.append(Change(key, f"may use {b:.0%}, and before {a:.0%}"))
    return found


def _classes(old: Application, new: Application) -> list[Change]:
    before, after = ({c.name: c for c in x.classes} for x in (old, new))
    found = []
    for name, cls in before.items():
        if name not in after:
            text = f"{', '.join(cls.methods)} {cls.path} is no longer taken as {name!r}; open requests are answered"
            found.append(Change(f"{new.name}.{name}", text))
    for name, cls in after.items():
        if name not in before:
            text = f"{', '.join(cls.methods)} {cls.path} is taken as {name!r}, {_means(cls)}"
            found.append(Change(f"{new.name}.{name}", text))
        else:
            found += _fields(f"{new.name}.{name}", before[name], cls, restart=False)
    kept = [n for n in before if n in after]
    if kept != [n for n in after if n in before]:
        found.append(Change(f"{new.name}.classes", f"are asked in another order: {', '.join(after)}"))
    return found


def _means(cls: Class) -> str:
    if cls.effect == "safe":
        return "repeated freely"
    return (
        f"repeated for {cls.window_ms:g} ms"
        if cls.effect == "keyed"
        else "never repeated once it may have run"
    )


def _fields(key: str, old: Any, new: Any, restart: bool) -> list[Change]:
    return [
        Change(f"{key}.{info.name}", f"{_show(b)}, and was {_show(a)}", restart)
        for info in msgspec.structs.fields(type(new))
        if (a := getattr(old, info.name)) != (b := getattr(new, info.name))
    ]


def _kind(source: Any) -> str:
    return {"static": "fixed addresses", "names": "names", "file": "a file", "discovery": "discovery"}[
        str(source.__struct_config__.tag)
    ]


def _show(value: Any) -> str:
    if isinstance(value, bool) or value is None:
        return {True: "yes", False: "no", None: "none"}[value]
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "none"
    return repr(value) if isinstance(value, str) else str(value)
