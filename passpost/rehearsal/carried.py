"""Simulation of an operator's file: the balancers of the first tier are sidecars that run it.

The file sets the deadlines of its classes, which requests may be repeated, how its servers start and what a
sidecar may use. The scenario sets the traffic and the failures. One application of the file is simulated. Its
servers are the scenario's nodes, which the sidecar finds through the simulated registry whatever source the file
names, because only a registry can announce a drain.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

import msgspec

from passpost.host import HOST, Address, Host
from passpost.operator.checks import connection_limits, findings
from passpost.operator.model import Application, Discovered, File
from passpost.operator.reader import UnreadableError, load
from passpost.operator.routes import Routes
from passpost.operator.settings import DEFAULT_AIM_SHARE
from passpost.operator.sidecar import Sidecar
from passpost.rehearsal.model import Class, Contract, Scenario
from passpost.rehearsal.speech import PlainRequestFormat, example_request
from umberworks.rules import Balancer

CLASS_FIELDS_FROM_FILE = ("aim_ms", "deadline_ms", "effect", "window_ms", "worth", "late_share")
CONTRACT_FIELDS_FROM_FILE = (
    "cold_ms", "cold_from", "overload_factor", "overload_ms", "attempts", "second_copies", "retry_after_ms",
    "connect_timeout_ms", "ask_within_ms", "sockets",
)  # fmt: skip
ENVIRONMENT_VALUE = "rehearsed"  # value of every environment variable that the file names


class MismatchError(Exception):
    """The scenario and the operator's file contradict each other; `key` is the key in the scenario."""

    def __init__(self, key: str, text: str) -> None:
        super().__init__(f"{key}: {text}")
        self.key, self.text = key, text


def read_operator_file(path: str) -> File:
    """Read an operator's file; raise MismatchError if it can't be read or has errors."""
    try:
        reading = load(path)
    except UnreadableError as error:
        raise MismatchError("sidecar.file", str(error)) from None
    errors = [p for p in findings(reading) if not p.warning]
    if errors:
        first = errors[0]
        other_errors = f", and {len(errors) - 1} more mistakes" if len(errors) > 1 else ""
        raise MismatchError("sidecar.file", f"{path}:{first.line}: {first.key}: {first.text}{other_errors}")
    assert reading.file is not None
    return reading.file


def application_of(scenario: Scenario, file: File) -> Application:
    """Return the application that is simulated; raise MismatchError if the file has none of that name."""
    assert scenario.sidecar is not None
    for application in file.applications:
        if application.name == scenario.sidecar.application:
            return application
    names = ", ".join(a.name for a in file.applications[:4])
    raise MismatchError("sidecar.application", f"{scenario.sidecar.application!r} is none of {names}")


def merge_operator_file(scenario: Scenario, file: File) -> Scenario:
    """Return the scenario with the settings of the file; raise MismatchError where the two contradict."""
    application = application_of(scenario, file)
    classes_by_name = {c.name: c for c in application.classes}
    routes = Routes(application.classes)
    classes = []
    for index, cls in enumerate(scenario.classes):
        key = f"classes[{index}]"
        file_class = classes_by_name.get(cls.name)
        if file_class is None:
            raise MismatchError(f"{key}.name", f"{application.name} has no class {cls.name!r}")
        _reject_if_set(cls, CLASS_FIELDS_FROM_FILE, key)
        method, path = example_request(file_class)
        if method == "HEAD":
            raise MismatchError(
                key, "it takes HEAD only, and a response to HEAD has no body that could be checked"
            )
        if routes.find(method, path) is not file_class:
            raise MismatchError(key, f"{method} {path}, the sample for its path, matches another class")
        classes.append(
            msgspec.structs.replace(
                cls,
                aim_ms=file_class.aim_ms or DEFAULT_AIM_SHARE * file_class.deadline_ms,
                deadline_ms=file_class.deadline_ms,
                effect=file_class.effect,
                window_ms=file_class.window_ms,
                worth=file_class.worth,
                late_share=file_class.late_share,
            )
        )
    _reject_if_set(scenario.contract, CONTRACT_FIELDS_FROM_FILE, "contract")
    if scenario.tiers[0].balancers > application.balancers:
        raise MismatchError(
            "tiers[0].balancers",
            f"{scenario.tiers[0].balancers} sidecars, and the file is written for {application.balancers}",
        )
    cold_start, upstream_source = application.cold, application.upstreams
    contract = msgspec.structs.replace(
        scenario.contract,
        cold_ms=cold_start.span_ms,
        cold_from=cold_start.start,
        overload_factor=cold_start.most,
        overload_ms=cold_start.window_ms,
        attempts=application.attempts,
        second_copies=application.copies,
        retry_after_ms=application.retry_after_ms,
        connect_timeout_ms=application.connect_ms,
        ask_within_ms=upstream_source.ask_within_ms if isinstance(upstream_source, Discovered) else 10_000.0,
        sockets=file.limits.descriptors,
    )
    return msgspec.structs.replace(scenario, classes=tuple(classes), contract=contract)


def _reject_if_set(section: Class | Contract, names: tuple[str, ...], key: str) -> None:
    defaults = {f.name: f.default for f in msgspec.structs.fields(type(section))}
    for name in names:
        if getattr(section, name) != defaults[name]:
            raise MismatchError(f"{key}.{name}", "the operator's file sets this; remove it here")


def sidecar_file(file: File, scenario: Scenario, listen: Address, discovery: Address) -> File:
    """Return the file of one sidecar in a run: one application, the sidecar's address and the simulated registry."""
    application = application_of(scenario, file)
    caller_connections, upstreams = connection_limits(file)
    application_count = len(file.applications)
    limits = msgspec.structs.replace(
        file.limits,
        connections=max(caller_connections // application_count, 1),
        upstream_connections=max(upstreams // application_count, 1),
    )
    upstream_source = Discovered(
        address=f"{discovery[0]}:{discovery[1]}",
        mode=scenario.discovery.mode,
        ask_within_ms=scenario.contract.ask_within_ms,
    )
    simulated_application = msgspec.structs.replace(
        application, listen=f"{listen[0]}:{listen[1]}", upstreams=upstream_source, calls=()
    )
    return msgspec.structs.replace(file, limits=limits, applications=(simulated_application,))


def environment(file: File) -> Mapping[str, str]:
    """Return every environment variable that the file's headers name, with a placeholder value."""
    values = [v for a in file.applications for v in a.add_headers.values()]
    return {v.removeprefix("env:"): ENVIRONMENT_VALUE for v in values if v.startswith("env:")}


def speech(scenario: Scenario, file: File) -> PlainRequestFormat:
    """Return the request format of the clients and of the first tier."""
    return PlainRequestFormat(application_of(scenario, file), file.health.path)


def start_sidecar(file: File, seed: str, host: Host = HOST, module: type[Balancer] = Balancer) -> Sidecar:
    """Start a sidecar; its random draws depend on the seed only."""
    sidecar = Sidecar(file, environment(file), host, module, random.Random(seed).getrandbits)
    sidecar.start()
    return sidecar
