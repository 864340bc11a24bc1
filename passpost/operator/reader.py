"""Parses the operator's file and reports all mistakes in its form at once, each with its line and key.

A file that can't be read, or is not valid TOML, gives a single error. From any other file, the well-formed parts are
kept even if some parts are malformed, so that `checks.py` can still check the values of the former.
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

MAX_FILE_BYTES = 8_000_000  # a file with 1,000 applications is smaller than 1 MB
MAX_READ_ATTEMPTS = 3  # for a file that changes while it is read


class UnreadableError(Exception):
    """The file can't be read or parsed. The message is a single line that begins with the file's path."""


@dataclass(frozen=True, slots=True)
class Problem:
    """One finding about a file: an error, or with `warning` something legal but unwise.

    `key` is the path of the setting, such as `limits.body_kb`; `text` says what is wrong and `fix` what would be right.
    `line` is the line number of the key, 0 until the problem is located.
    """

    key: str
    text: str
    fix: str = ""
    warning: bool = False
    line: int = 0
    # The containing table was not read as intended, so errors in its values only follow from this one.
    spoils: bool = False


@dataclass(slots=True)
class ParsedFile:
    """A parsed file: its well-formed parts, and the problems with its form. `lines` maps each key to its line."""

    path: str
    text: str
    file: File | None
    problems: list[Problem] = field(default_factory=list)
    lines: dict[str, int] = field(default_factory=dict)

    def all_problems(self, found: Iterable[Problem]) -> list[Problem]:
        """The problems of form, and those of `found` that don't merely follow from them, each with its line."""
        spoilt_prefixes = [p.key.rpartition(".")[0] + "." for p in self.problems if p.spoils]
        lost_application = any(s.startswith("applications[") for s in spoilt_prefixes)
        kept = [
            self.locate(p)
            for p in found
            if not any(p.key.startswith(s) for s in spoilt_prefixes)
            and not (lost_application and p.key.endswith(".calls"))
        ]
        return self.problems + kept

    def locate(self, problem: Problem) -> Problem:
        """A copy of the problem with the line of its key."""
        return with_line(problem, self.lines)


def with_line(problem: Problem, lines: dict[str, int]) -> Problem:
    """A copy of the problem with the line of its key, or of the nearest enclosing table that has a line."""
    key = problem.key
    while key and key not in lines:
        key = key[: max(key.rfind("."), key.rfind("["), 0)]
    return replace(problem, line=lines.get(key, 1))


def read_part(part: type[Part], data: Any, problems: list[Problem]) -> Part | None:
    """Converts a table to `part`; None if a required value is missing or invalid. Adds mistakes to `problems`."""
    found = _convert_table(part, data, "", problems)
    return found if isinstance(found, Part) else None


def read_bytes(path: str) -> bytes:
    """The content of a file, read again if the file changed meanwhile; raises UnreadableError."""
    try:
        for _ in range(MAX_READ_ATTEMPTS):
            with open(path, "rb") as file:
                before = os.fstat(file.fileno())
                data = file.read(MAX_FILE_BYTES + 1)
                after = os.fstat(file.fileno())
            if (before.st_size, before.st_mtime_ns) == (after.st_size, after.st_mtime_ns):
                break
        else:
            raise UnreadableError(
                f"{path}: it is being written; replace it atomically (write a new file, then rename it)"
            )
    except OSError as error:
        raise UnreadableError(f"{path}: {error.strerror or error}") from None
    except ValueError as error:  # a NUL character in the path
        raise UnreadableError(f"{path!r}: {error}") from None
    if len(data) > MAX_FILE_BYTES:
        raise UnreadableError(f"{path}: larger than the limit of {MAX_FILE_BYTES // 1_000_000} MB")
    return data


def load(path: str) -> ParsedFile:
    """Reads and parses a file; raises UnreadableError if it can't be read or is not valid TOML in UTF-8."""
    data = read_bytes(path)
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise UnreadableError(f"{path}:{line}: not UTF-8") from None
    return parse(text, path)


def parse(text: str, path: str) -> ParsedFile:
    """Parses a text; raises UnreadableError if it is not valid TOML. `path` is for messages."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"\(at line (\d+), column \d+\)", str(error))
        line = found[1] if found else str(text.count("\n") + 1)
        reason = re.sub(r" \(at .*\)$", "", str(error))
        raise UnreadableError(f"{path}:{line}: invalid TOML: {' '.join(reason.split())}") from None
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
def _fields_by_key(part: type[Part]) -> dict[str, msgspec.structs.FieldInfo]:
    """The fields of a part by key. Cached, because msgspec evaluates the annotations on every call."""
    return {f.encode_name: f for f in msgspec.structs.fields(part)}


def _convert_table(part: type[Part], data: Any, key: str, problems: list[Problem]) -> Any:
    """Converts a table to `part`; _MISSING if a required value is missing or invalid."""
    if not isinstance(data, dict):
        problems.append(Problem(key, f"must be a table, but is {_describe(data)}", spoils=True))
        return _MISSING
    fields = _fields_by_key(part)
    tag = part.__struct_config__.tag_field
    for name in data:
        if name in fields or name == tag:
            continue
        at = _join(key, name)
        if part is File and name in model.RESERVED:
            problems.append(
                Problem(at, "is reserved for a feature that is not implemented yet", "leave the section out")
            )
        else:
            close_matches = difflib.get_close_matches(
                name, [*fields, *([tag] if tag else [])], n=1, cutoff=0.6
            )
            where = f"[{key}]" if key else "the file"
            fix = (
                f"did you mean {close_matches[0]!r}?"
                if close_matches
                else f"{where} accepts {', '.join(fields)}"
            )
            problems.append(Problem(at, "unknown key", fix))
    values: dict[str, Any] = {}
    is_complete = True
    for name, info in fields.items():
        at = _join(key, name)
        if name not in data:
            if info.required:
                problems.append(Problem(at, "is missing", _lower_description(info.type), spoils=True))
                is_complete = False
            continue
        value = _convert_value(info.type, data[name], at, problems)
        if value is not _MISSING:
            values[name] = value
        elif info.required:
            is_complete = False
    return part(**values) if is_complete else _MISSING


def _convert_value(kind: Any, data: Any, key: str, problems: list[Problem]) -> Any:
    plain_type = get_args(kind)[0] if get_origin(kind) is not None and hasattr(kind, "__metadata__") else kind
    if isinstance(plain_type, type) and issubclass(plain_type, Part):
        return _convert_table(plain_type, data, key, problems)
    options = get_args(plain_type)
    if options and all(isinstance(o, type) and issubclass(o, Part) for o in options):
        return _convert_tagged_table(options, data, key, problems)
    if get_origin(plain_type) is tuple and isinstance(options[0], type) and issubclass(options[0], Part):
        if not isinstance(data, list):
            text = f"must be an array of tables ([[{key}]]), but is {_describe(data)}"
            problems.append(Problem(key, text, spoils=True))
            return _MISSING
        if not data and _requires_entry(kind):
            problems.append(Problem(key, "must hold at least one table", spoils=True))
            return _MISSING
        items = [_convert_table(options[0], item, f"{key}[{i}]", problems) for i, item in enumerate(data)]
        valid_items = tuple(item for item in items if item is not _MISSING)
        return valid_items if valid_items or not items else _MISSING
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        problems.append(replace(_explain_error(str(error), kind, data, key), spoils=True))
        return _MISSING


def _convert_tagged_table(options: tuple[Any, ...], data: Any, key: str, problems: list[Problem]) -> Any:
    kinds = {o.__struct_config__.tag: o for o in options}
    if not isinstance(data, dict):
        problems.append(Problem(key, f"must be a table, but is {_describe(data)}", spoils=True))
        return _MISSING
    kind = data.get("kind")
    if kind not in kinds:
        text = "is missing" if kind is None else f"{kind!r} is not a kind of upstreams"
        close_matches = difflib.get_close_matches(str(kind), kinds, n=1)
        fix = (
            f"did you mean {close_matches[0]!r}?"
            if close_matches
            else f"one of {', '.join(map(repr, kinds))}"
        )
        problems.append(Problem(f"{key}.kind", text, fix, spoils=True))
        return _MISSING
    return _convert_table(kinds[kind], data, key, problems)


def _requires_entry(kind: Any) -> bool:
    return any(getattr(m, "min_length", None) for m in getattr(kind, "__metadata__", ()))


def _lower_description(kind: Any) -> str:
    texts = [m.description for m in getattr(kind, "__metadata__", ()) if getattr(m, "description", None)]
    return texts[-1][0].lower() + texts[-1][1:].rstrip(".") if texts else ""


_TYPE_NAMES = {
    "str": "a string",
    "int": "an integer",
    "float": "a number",
    "bool": "true or false",
    "array": "an array",
    "object": "a table",
}


def _describe(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        return repr(value) if len(value) < 40 else "a string"
    kinds: dict[type, str] = {list: "an array", dict: "a table"}
    return kinds.get(type(value), "something else")


def _explain_error(message: str, kind: Any, data: Any, key: str) -> Problem:
    """Turns a message of msgspec into a problem with a sentence for operators."""
    reason, _, where = message.partition(" - at `$")
    key += where.rstrip("`").replace("[...]", "")
    if found := re.search(r"Invalid enum value (.*)", reason):
        words = _choices(kind)
        close_matches = difflib.get_close_matches(
            str(found[1]).strip("'").lower(), [w.lower() for w in words], n=1
        )
        hint = next((w for w in words if close_matches and w.lower() == close_matches[0]), "")
        return Problem(
            key, f"{found[1]} is not allowed", f"did you mean {hint!r}?" if hint else _one_of(words)
        )
    if found := re.search(r"Expected `(.*?)`, got `(.*?)`", reason):
        wanted = " or ".join(_TYPE_NAMES.get(w, w) for w in found[1].split(" | ") if w != "null")
        return Problem(key, f"must be {wanted}, but is {_describe(data)}")
    if found := re.search(r"Expected `(.*?)` (>=|<=|>|<) (\S+)", reason):
        words = {">=": "at least", "<=": "at most", ">": "above", "<": "below"}[found[2]]  # type: ignore[assignment]
        return Problem(key, f"must be {words} {float(found[3]):g}, but is {_describe(data)}")
    if found := re.search(r"Expected `(.*?)` of length (>=|<=) (\d+)", reason):
        how = "at least" if found[2] == ">=" else "at most"
        return Problem(key, f"must hold {how} {found[3]} {'characters' if found[1] == 'str' else 'entries'}")
    if "matching regex" in reason:
        return Problem(
            key,
            f"{_describe(data)} has a character that is not allowed or a wrong first character",
            _pattern_hint(reason),
        )
    return Problem(key, reason[0].lower() + reason[1:])


def _pattern_hint(reason: str) -> str:
    if model.NAME in reason:
        return "lower-case letters, digits and hyphens, beginning with a letter, at most 40 characters"
    if model.TOKEN in reason:
        return "a header name, such as X-Request-Id"
    return "a path that begins with / and has no ?, # or space"


def _choices(kind: Any) -> list[str]:
    """The strings that a type with literal choices allows, at any nesting depth of the type."""
    found = [a for a in get_args(kind) if isinstance(a, str)]
    return found + [w for a in get_args(kind) if not isinstance(a, str | msgspec.Meta) for w in _choices(a)]


def _one_of(words: list[str]) -> str:
    return "one of " + ", ".join(map(repr, words))


def _join(key: str, name: str) -> str:
    name = name if re.fullmatch(r"[A-Za-z0-9_-]+", name) else repr(name)
    return f"{key}.{name}" if key else name


# ---- lines --------------------------------------------------------------------------------------

_TABLE_HEADER = re.compile(r"^\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(#.*)?$")
_KEY_START = re.compile(
    r"""^\s*((?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*'))*)\s*="""
)
_STRING_OR_COMMENT = re.compile(
    r'"""(?:\\.|[^\\])*?"""|\'\'\'.*?\'\'\'|"(?:\\.|[^"\\\n])*"|\'[^\'\n]*\'|#[^\n]*', re.S
)


def line_numbers(text: str) -> dict[str, int]:
    """The line number of each table and key of a valid TOML text, by path.

    Keys inside inline tables are left out: `with_line` falls back to the enclosing key.
    """
    lines: dict[str, int] = {"": 1}
    blanked = _STRING_OR_COMMENT.sub(
        lambda m: "\n" * m[0].count("\n") + ("''" if m[0][0] != "#" else ""), text
    )
    originals = text.split("\n")
    counts: dict[str, int] = {}
    table, depth = "", 0
    for number, line in enumerate(blanked.split("\n"), 1):
        if depth == 0:
            if (header := _TABLE_HEADER.match(line)) and not _KEY_START.match(line):
                table = _header_path(header[1] == "[[", header[2], counts)
                lines.setdefault(table.removesuffix("[0]"), number)
                lines.setdefault(table, number)
            elif (key := _KEY_START.match(line)) is not None:
                # A quoted key was blanked above, so it is read from the original line.
                quoted = _KEY_START.match(originals[number - 1]) if "'" in key[1] else None
                lines.setdefault(_join_dotted(table, (quoted or key)[1]), number)
        depth = max(depth + line.count("[") + line.count("{") - line.count("]") - line.count("}"), 0)
        if depth and _TABLE_HEADER.match(line):
            depth = 0
    return lines


def _split_key(dotted: str) -> list[str]:
    return [p.strip().strip("\"'") for p in re.findall(r"\"[^\"]*\"|'[^']*'|[^.\s]+", dotted)]


def _join_dotted(table: str, dotted: str) -> str:
    for part in _split_key(dotted):
        table = _join(table, part)
    return table


def _header_path(array: bool, dotted: str, counts: dict[str, int]) -> str:
    """The path of a table header, with the index of the current entry of each array of tables in it."""
    path = ""
    parts = _split_key(dotted)
    for i, part in enumerate(parts):
        path = _join(path, part)
        if i == len(parts) - 1 and array:
            counts[path] = counts.get(path, -1) + 1
        if path in counts:
            path = f"{path}[{counts[path]}]"
    return path
