"""Reads the operator's file: every mistake of form at once, each with its line and key.

A file that is no TOML, or can't be read at all, gives one line and nothing else. In any other, whatever is well
formed is kept, so that `checks.py` can judge it although something else is wrong.
"""

from __future__ import annotations

import difflib
import os
import re
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from functools import cache
from typing import Any, get_args, get_origin

import msgspec

from passpost.operator import model
from passpost.operator.model import File, Part

MAX_BYTES = 8_000_000  # a file of 1,000 applications has under 1 MB
TRIES = 3  # at a file that is being written while it is read


class UnreadableError(Exception):
    """The file can't be read or parsed; the text is one line that names it."""


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake, or with `warning` something legal and unwise. `key` is a path such as `limits.body_kb`."""

    key: str
    text: str
    fix: str = ""
    warning: bool = False
    line: int = 0
    spoils: bool = (
        False  # the table that it stands in is not as it was meant: what follows from it is no news
    )


@dataclass(slots=True)
class ParsedFile:
    """What was read: the file as far as it is well formed, and what is wrong with its form."""

    path: str
    text: str
    file: File | None
    problems: list[Problem] = field(default_factory=list)
    lines: dict[str, int] = field(default_factory=dict)

    def all_problems(self, found: Iterable[Problem]) -> list[Problem]:
        """All problems, located: those of form, and of the others those that do not follow from these."""
        spoilt = [p.key.rpartition(".")[0] + "." for p in self.problems if p.spoils]
        lost = any(s.startswith("applications[") for s in spoilt)
        kept = [
            self.locate(p)
            for p in found
            if not any(p.key.startswith(s) for s in spoilt) and not (lost and p.key.endswith(".calls"))
        ]
        return self.problems + kept

    def locate(self, problem: Problem) -> Problem:
        """The problem with the line of its key."""
        return with_line(problem, self.lines)


def with_line(problem: Problem, lines: dict[str, int]) -> Problem:
    """The problem with the line of its key, or of the nearest table round it."""
    key = problem.key
    while key and key not in lines:
        key = key[: max(key.rfind("."), key.rfind("["), 0)]
    return replace(problem, line=lines.get(key, 1))


def read_part(part: type[Part], data: Any, problems: list[Problem]) -> Part | None:
    """A table as a value of its type, None if it is not whole; mistakes are added to `problems`."""
    found = _part(part, data, "", problems)
    return found if isinstance(found, Part) else None


def read_bytes(path: str) -> bytes:
    """The whole file as it was at one moment; raises UnreadableError."""
    try:
        for _ in range(TRIES):
            with open(path, "rb") as file:
                before = os.fstat(file.fileno())
                data = file.read(MAX_BYTES + 1)
                after = os.fstat(file.fileno())
            if (before.st_size, before.st_mtime_ns) == (after.st_size, after.st_mtime_ns):
                break
        else:
            raise UnreadableError(
                f"{path}: it is being written; replace it in one go (write aside, then rename)"
            )
    except OSError as error:
        raise UnreadableError(f"{path}: {error.strerror or error}") from None
    except ValueError as error:  # a NUL in the name
        raise UnreadableError(f"{path!r}: {error}") from None
    if len(data) > MAX_BYTES:
        raise UnreadableError(f"{path}: over {MAX_BYTES // 1_000_000} MB, which is too large for such a file")
    return data


def load(path: str) -> ParsedFile:
    """Read a file; raises UnreadableError if it can't be parsed at all."""
    data = read_bytes(path)
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise UnreadableError(f"{path}:{line}: not UTF-8") from None
    return parse(text, path)


def parse(text: str, path: str) -> ParsedFile:
    """Read a text; raises UnreadableError if it is no TOML."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"\(at line (\d+), column \d+\)", str(error))
        line = found[1] if found else str(text.count("\n") + 1)
        reason = re.sub(r" \(at .*\)$", "", str(error))
        raise UnreadableError(f"{path}:{line}: no TOML: {' '.join(reason.split())}") from None
    except RecursionError:
        raise UnreadableError(f"{path}: nested too deeply") from None
    problems: list[Problem] = []
    file = read_part(File, data, problems)
    assert file is None or isinstance(file, File)
    reading = ParsedFile(path, text, file, lines=line_numbers(text))
    reading.problems = [reading.locate(p) for p in problems]
    return reading


# ---- form ---------------------------------------------------------------------------------------

_MISSING: Any = object()


@cache
def _fields(part: type[Part]) -> dict[str, msgspec.structs.FieldInfo]:
    """The keys of a part; worked out once, as msgspec evaluates its annotations each time."""
    return {f.encode_name: f for f in msgspec.structs.fields(part)}


def _part(part: type[Part], data: Any, key: str, problems: list[Problem]) -> Any:
    """A table as a value of its type, or _MISSING."""
    if not isinstance(data, dict):
        problems.append(Problem(key, f"must be a table, and is {_a(data)}", spoils=True))
        return _MISSING
    fields = _fields(part)
    tag = part.__struct_config__.tag_field
    for name in data:
        if name in fields or name == tag:
            continue
        at = _join(key, name)
        if part is File and name in model.RESERVED:
            problems.append(
                Problem(at, "is reserved for a front that is not built yet", "leave the section out")
            )
        else:
            near = difflib.get_close_matches(name, [*fields, *([tag] if tag else [])], n=1, cutoff=0.6)
            where = f"[{key}]" if key else "the file"
            fix = f"did you mean {near[0]!r}?" if near else f"{where} knows {', '.join(fields)}"
            problems.append(Problem(at, "unknown key", fix))
    values: dict[str, Any] = {}
    whole = True
    for name, info in fields.items():
        at = _join(key, name)
        if name not in data:
            if info.required:
                problems.append(Problem(at, "is missing", _help(info.type), spoils=True))
                whole = False
            continue
        value = _value(info.type, data[name], at, problems)
        if value is not _MISSING:
            values[name] = value
        elif info.required:
            whole = False
    return part(**values) if whole else _MISSING


def _value(kind: Any, data: Any, key: str, problems: list[Problem]) -> Any:
    bare = get_args(kind)[0] if get_origin(kind) is not None and hasattr(kind, "__metadata__") else kind
    if isinstance(bare, type) and issubclass(bare, Part):
        return _part(bare, data, key, problems)
    options = get_args(bare)
    if options and all(isinstance(o, type) and issubclass(o, Part) for o in options):
        return _tagged(options, data, key, problems)
    if get_origin(bare) is tuple and isinstance(options[0], type) and issubclass(options[0], Part):
        if not isinstance(data, list):
            text = f"must be an array of tables ([[{key}]]), and is {_a(data)}"
            problems.append(Problem(key, text, spoils=True))
            return _MISSING
        if not data and _least(kind):
            problems.append(Problem(key, "must hold at least one table", spoils=True))
            return _MISSING
        items = [_part(options[0], item, f"{key}[{i}]", problems) for i, item in enumerate(data)]
        good = tuple(item for item in items if item is not _MISSING)
        return good if good or not items else _MISSING
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        problems.append(replace(_explain(str(error), kind, data, key), spoils=True))
        return _MISSING


def _tagged(options: tuple[Any, ...], data: Any, key: str, problems: list[Problem]) -> Any:
    kinds = {o.__struct_config__.tag: o for o in options}
    if not isinstance(data, dict):
        problems.append(Problem(key, f"must be a table, and is {_a(data)}", spoils=True))
        return _MISSING
    kind = data.get("kind")
    if kind not in kinds:
        text = "is missing" if kind is None else f"{kind!r} is no kind of upstreams"
        near = difflib.get_close_matches(str(kind), kinds, n=1)
        fix = f"did you mean {near[0]!r}?" if near else f"one of {', '.join(map(repr, kinds))}"
        problems.append(Problem(f"{key}.kind", text, fix, spoils=True))
        return _MISSING
    return _part(kinds[kind], data, key, problems)


def _least(kind: Any) -> bool:
    return any(getattr(m, "min_length", None) for m in getattr(kind, "__metadata__", ()))


def _help(kind: Any) -> str:
    texts = [m.description for m in getattr(kind, "__metadata__", ()) if getattr(m, "description", None)]
    return texts[-1][0].lower() + texts[-1][1:].rstrip(".") if texts else ""


_TYPES = {
    "str": "a text",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "array": "an array",
    "object": "a table",
}


def _a(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        return repr(value) if len(value) < 40 else "a text"
    kinds: dict[type, str] = {list: "an array", dict: "a table"}
    return kinds.get(type(value), "something else")


def _explain(message: str, kind: Any, data: Any, key: str) -> Problem:
    """msgspec's sentence in plain words."""
    reason, _, where = message.partition(" - at `$")
    key += where.rstrip("`").replace("[...]", "")
    if found := re.search(r"Invalid enum value (.*)", reason):
        words = _choices(kind)
        near = difflib.get_close_matches(str(found[1]).strip("'").lower(), [w.lower() for w in words], n=1)
        hint = next((w for w in words if near and w.lower() == near[0]), "")
        return Problem(key, f"{found[1]} is not allowed", f"did you mean {hint!r}?" if hint else _or(words))
    if found := re.search(r"Expected `(.*?)`, got `(.*?)`", reason):
        wanted = " or ".join(_TYPES.get(w, w) for w in found[1].split(" | ") if w != "null")
        return Problem(key, f"must be {wanted}, and is {_a(data)}")
    if found := re.search(r"Expected `(.*?)` (>=|<=|>|<) (\S+)", reason):
        words = {">=": "at least", "<=": "at most", ">": "above", "<": "below"}[found[2]]  # type: ignore[assignment]
        return Problem(key, f"must be {words} {float(found[3]):g}, and is {_a(data)}")
    if found := re.search(r"Expected `(.*?)` of length (>=|<=) (\d+)", reason):
        how = "at least" if found[2] == ">=" else "at most"
        return Problem(key, f"must hold {how} {found[3]} {'characters' if found[1] == 'str' else 'entries'}")
    if "matching regex" in reason:
        return Problem(key, f"{_a(data)} has a character that is not allowed or a wrong start", _rule(reason))
    return Problem(key, reason[0].lower() + reason[1:])


def _rule(reason: str) -> str:
    if model.NAME in reason:
        return "lower-case letters, digits and hyphens, a letter first, 40 at most"
    if model.TOKEN in reason:
        return "a header's name, such as X-Request-Id"
    return "a path that begins with / and has no ?, # or space"


def _choices(kind: Any) -> list[str]:
    """The words that a type with a choice of them allows, however deep they stand in it."""
    found = [a for a in get_args(kind) if isinstance(a, str)]
    return found + [w for a in get_args(kind) if not isinstance(a, str | msgspec.Meta) for w in _choices(a)]


def _or(words: list[str]) -> str:
    return "one of " + ", ".join(map(repr, words))


def _join(key: str, name: str) -> str:
    name = name if re.fullmatch(r"[A-Za-z0-9_-]+", name) else repr(name)
    return f"{key}.{name}" if key else name


# ---- lines --------------------------------------------------------------------------------------

_HEADER = re.compile(r"^\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(#.*)?$")
_KEY = re.compile(
    r"""^\s*((?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*'))*)\s*="""
)
_STRING = re.compile(r'"""(?:\\.|[^\\])*?"""|\'\'\'.*?\'\'\'|"(?:\\.|[^"\\\n])*"|\'[^\'\n]*\'|#[^\n]*', re.S)


def line_numbers(text: str) -> dict[str, int]:
    """The line of each table and key of a TOML text that parses; keys inside inline tables have their parent's."""
    lines: dict[str, int] = {"": 1}
    blank = _STRING.sub(lambda m: "\n" * m[0].count("\n") + ("''" if m[0][0] != "#" else ""), text)
    originals = text.split("\n")
    counts: dict[str, int] = {}
    table, depth = "", 0
    for number, line in enumerate(blank.split("\n"), 1):
        if depth == 0:
            if (header := _HEADER.match(line)) and not _KEY.match(line):
                table = _table(header[1] == "[[", header[2], counts)
                lines.setdefault(table.removesuffix("[0]"), number)
                lines.setdefault(table, number)
            elif (key := _KEY.match(line)) is not None:
                quoted = _KEY.match(originals[number - 1]) if "'" in key[1] else None  # its text was blanked
                lines.setdefault(_join_all(table, (quoted or key)[1]), number)
        depth = max(depth + line.count("[") + line.count("{") - line.count("]") - line.count("}"), 0)
        if depth and _HEADER.match(line):
            depth = 0
    return lines


def _parts(dotted: str) -> list[str]:
    return [p.strip().strip("\"'") for p in re.findall(r"\"[^\"]*\"|'[^']*'|[^.\s]+", dotted)]


def _join_all(table: str, dotted: str) -> str:
    for part in _parts(dotted):
        table = _join(table, part)
    return table


def _table(array: bool, dotted: str, counts: dict[str, int]) -> str:
    """The path of a header, with the number of each array's last entry."""
    path = ""
    parts = _parts(dotted)
    for i, part in enumerate(parts):
        path = _join(path, part)
        if i == len(parts) - 1 and array:
            counts[path] = counts.get(path, -1) + 1
        if path in counts:
            path = f"{path}[{counts[path]}]"
    return path
