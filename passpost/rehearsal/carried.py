"""An operator's file in a rehearsal: the first tier's balancers are sidecars that run it.

The file says what its classes wait for and what may be repeated, how its servers start, and what a sidecar may
use. The script says what is sent and what goes wrong. Of the file one application is played. Its servers are the
script's nodes, which the sidecar finds by the rehearsal's list, whatever source the file names: a drain is told
by a list only.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

import msgspec

from passpost.host import HOST, Address, Host
from passpost.operator.checks import connections, findings
from passpost.operator.model import Application, Discovered, File
from passpost.operator.reader import UnreadableError, load
from passpost.operator.routes import Routes
from passpost.operator.settings import AIM_PART
from passpost.operator.sidecar import Sidecar
from passpost.rehearsal.model import Class, Contract, Scenario
from passpost.rehearsal.speech import PlainSpeech, sample
from umberworks.rules import Balancer

FROM_FILE = ("aim_ms", "deadline_ms", "effect", "window_ms", "worth", "late_share")
CONTRACT_FROM_FILE = (
    "cold_ms", "cold_from", "overload_factor", "overload_ms", "attempts", "second_copies", "retry_after_ms",
    "connect_timeout_ms", "ask_within_ms", "sockets",
)  # fmt: skip
SECRET = "rehearsed"  # what every variable of the environment holds that the file names


class MismatchError(Exception):
    """Script and file do not belong together; `key` is the script's, the text the reason."""

    def __init__(self, key: str, text: str) -> None:
        super().__init__(f"{key}: {text}")
        self.key, self.text = key, text


def read(path: str) -> File:
    """The operator's file; raises MismatchError if it is not fit to run."""
    try:
        reading = load(path)
    except UnreadableError as error:
        raise MismatchError("sidecar.file", str(error)) from None
    errors = [p for p in findings(reading) if not p.warning]
    if errors:
        first = errors[0]
        more = f", and {len(errors) - 1} more mistakes" if len(errors) > 1 else ""
        raise MismatchError("sidecar.file", f"{path}:{first.line}: {first.key}: {first.text}{more}")
    assert reading.file is not None
    return reading.file


def application_of(script: Scenario, file: File) -> Application:
    """The application that is played; raises MismatchError if there is none of that name."""
    assert script.sidecar is not None
    for application in file.applications:
        if application.name == script.sidecar.application:
            return application
    names = ", ".join(a.name for a in file.applications[:4])
    raise MismatchError("sidecar.application", f"{script.sidecar.application!r} is none of {names}")


def merged(script: Scenario, file: File) -> Scenario:
    """The script with all that the file says; raises MismatchError where they contradict each other."""
    application = application_of(script, file)
    known = {c.name: c for c in application.classes}
    routes = Routes(application.classes)
    classes = []
    for i, cls in enumerate(script.classes):
        key = f"classes[{i}]"
        found = known.get(cls.name)
        if found is None:
            raise MismatchError(f"{key}.name", f"{application.name} has no class {cls.name!r}")
        _not_said(cls, FROM_FILE, key)
        method, path = sample(found)
        if method == "HEAD":
            raise MismatchError(key, "it takes HEAD only, whose answers have nothing that could be watched")
        if routes.find(method, path) is not found:
            raise MismatchError(key, f"{method} {path}, which stands for its path, is of another class")
        classes.append(
            msgspec.structs.replace(
                cls,
                aim_ms=found.aim_ms or AIM_PART * found.deadline_ms,
                deadline_ms=found.deadline_ms,
                effect=found.effect,
                window_ms=found.window_ms,
                worth=found.worth,
                late_share=found.late_share,
            )
        )
    _not_said(script.contract, CONTRACT_FROM_FILE, "contract")
    if script.tiers[0].balancers > application.balancers:
        raise MismatchError(
            "tiers[0].balancers",
            f"{script.tiers[0].balancers} sidecars, and the file counts on {application.balancers}",
        )
    cold, source = application.cold, application.upstreams
    contract = msgspec.structs.replace(
        script.contract,
        cold_ms=cold.span_ms,
        cold_from=cold.start,
        overload_factor=cold.most,
        overload_ms=cold.window_ms,
        attempts=application.attempts,
        second_copies=application.copies,
        retry_after_ms=application.retry_after_ms,
        connect_timeout_ms=application.connect_ms,
        ask_within_ms=source.ask_within_ms if isinstance(source, Discovered) else 10_000.0,
        sockets=file.limits.descriptors,
    )
    return msgspec.structs.replace(script, classes=tuple(classes), contract=contract)


def _not_said(part: Class | Contract, names: tuple[str, ...], key: str) -> None:
    defaults = {f.name: f.default for f in msgspec.structs.fields(type(part))}
    for name in names:
        if getattr(part, name) != defaults[name]:
            raise MismatchError(f"{key}.{name}", "the operator's file says this; leave it out")


def placed(file: File, script: Scenario, listen: Address, discovery: Address) -> File:
    """The file as one sidecar of the night runs it: one application, its own address, the night's list."""
    application = application_of(script, file)
    callers, upstreams = connections(file)
    share = len(file.applications)
    limits = msgspec.structs.replace(
        file.limits, connections=max(callers // share, 1), upstream_connections=max(upstreams // share, 1)
    )
    source = Discovered(
        address=f"{discovery[0]}:{discovery[1]}",
        mode=script.discovery.mode,
        ask_within_ms=script.contract.ask_within_ms,
    )
    played = msgspec.structs.replace(
        application, listen=f"{listen[0]}:{listen[1]}", upstreams=source, calls=()
    )
    return msgspec.structs.replace(file, limits=limits, applications=(played,))


def environment(file: File) -> Mapping[str, str]:
    """Every variable that the file's headers name, with a value that is no secret."""
    values = [v for a in file.applications for v in a.add_headers.values()]
    return {v.removeprefix("env:"): SECRET for v in values if v.startswith("env:")}


def speech(script: Scenario, file: File) -> PlainSpeech:
    """How the night's clients and first tier speak."""
    return PlainSpeech(application_of(script, file), file.health.path)


def start(file: File, seed: str, host: Host = HOST, module: type[Balancer] = Balancer) -> Sidecar:
    """A sidecar that serves; the same seed draws the same."""
    sidecar = Sidecar(file, environment(file), host, module, random.Random(seed).getrandbits)
    sidecar.start()
    return sidecar
