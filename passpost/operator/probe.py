"""Looks at the machine for what a file needs there: names that resolve, ports that are free, variables, files."""

from __future__ import annotations

import errno
import http.client
import os
import socket
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

from passpost.operator import model
from passpost.operator.callers import resolve_header_value
from passpost.operator.checks import is_ip_address, split_host_port
from passpost.operator.model import File
from passpost.operator.reader import Problem

ASK_S = 0.5  # for a passpost that may hold the port
SERVER_HEADER_PREFIX = "passpost/"  # how a sidecar names itself where it is asked whether it is ready


def check_ports(file: File) -> list[Problem]:
    """Listeners whose address is taken by somebody else, or is not this machine's."""
    found = []
    for i, application in enumerate(file.applications):
        pair = split_host_port(application.listen)
        if pair is None or not is_ip_address(pair[0]) or not pair[1]:
            continue
        key = f"applications[{i}].listen"
        family = socket.AF_INET6 if ":" in pair[0] else socket.AF_INET
        try:
            with socket.create_server(pair, family=family):
                pass
        except OSError as error:
            if error.errno == errno.EADDRINUSE:
                holder = application_at(pair, file.health.path)
                if holder == application.name:
                    continue  # the sidecar that runs by this file
                text = f"{application.listen} is taken" + (f" by the sidecar of {holder!r}" if holder else "")
                found.append(Problem(key, text, "another port, or end what listens there"))
            elif error.errno == errno.EADDRNOTAVAIL:
                found.append(
                    Problem(key, f"{pair[0]} is no address of this machine", "127.0.0.1, or one it has")
                )
            elif error.errno != errno.EACCES:  # a privileged port is told by checks.py
                found.append(Problem(key, f"{application.listen}: {error.strerror}", "another address"))
    return found


def application_at(address: tuple[str, int], path: str) -> str:
    """The application of the sidecar that listens there; empty if it is none."""
    connection = http.client.HTTPConnection(*address, timeout=ASK_S)
    try:
        connection.request("GET", path)
        server = connection.getresponse().getheader("Server", "")
    except (OSError, http.client.HTTPException):
        return ""
    finally:
        connection.close()
    return server.removeprefix(SERVER_HEADER_PREFIX) if server.startswith(SERVER_HEADER_PREFIX) else ""


def check_name_resolution(file: File, timeout_s: float = 10.0) -> list[Problem]:
    """Names that do not resolve here and now; all are asked side by side."""
    wanted = [
        (f"applications[{i}].upstreams.names", text)
        for i, application in enumerate(file.applications)
        if isinstance(application.upstreams, model.Names)
        for text in application.upstreams.names
    ]
    hosts = {pair[0] for _, text in wanted if (pair := split_host_port(text)) is not None}
    if not hosts:
        return []
    pool = ThreadPoolExecutor(min(len(hosts), 32))
    futures = {host: pool.submit(_resolve, host) for host in sorted(hosts)}
    reasons: dict[str, str] = {}
    for host, future in futures.items():
        try:
            reasons[host] = future.result(timeout_s)
        except TimeoutError:
            reasons[host] = f"is not resolved within {timeout_s:g} s"
    pool.shutdown(wait=False, cancel_futures=True)
    return [
        Problem(key, f"{pair[0]!r} {reasons[pair[0]]}", "a name that resolves where the sidecar runs")
        for key, text in wanted
        if (pair := split_host_port(text)) is not None and reasons[pair[0]]
    ]


def _resolve(host: str) -> str:
    try:
        found = socket.getaddrinfo(host, None, type=socket.SOCK_STREAM)
    except (OSError, UnicodeError) as error:
        return f"does not resolve ({getattr(error, 'strerror', None) or error})"
    return "" if found else "resolves to nothing"


def check_watched_files(file: File) -> list[Problem]:
    """Watched files that are not there: legal, as they may come later."""
    found = []
    for i, application in enumerate(file.applications):
        source = application.upstreams
        if isinstance(source, model.Watched) and not os.path.isfile(source.path):
            text = f"there is no file {source.path!r}"
            found.append(
                Problem(f"applications[{i}].upstreams.path", text, "not ready until there is", warning=True)
            )
    return found


def check_environment(file: File, environment: Mapping[str, str]) -> list[Problem]:
    """Headers whose variable is not set."""
    found = []
    for i, application in enumerate(file.applications):
        for name, value in application.add_headers.items():
            try:
                resolve_header_value(value, environment)
            except ValueError as error:
                found.append(
                    Problem(f"applications[{i}].add_headers.{name}", str(error), "set it", warning=True)
                )
    return found
