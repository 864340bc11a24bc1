"""Checks what a file needs on this machine: free ports, names that resolve, environment variables and files."""

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

HEALTH_CHECK_TIMEOUT_S = 0.5  # timeout of the request that finds out whether a sidecar holds a port
# The Server header of a sidecar's answer to the health check: this prefix, then the application's name.
SERVER_HEADER_PREFIX = "passpost/"


def check_ports(file: File) -> list[Problem]:
    """Reports listen addresses that another process uses or that this machine doesn't have."""
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
                    continue  # held by the sidecar that runs with this file
                text = f"{application.listen} is taken" + (f" by the sidecar of {holder!r}" if holder else "")
                found.append(Problem(key, text, "another port, or stop the process that listens there"))
            elif error.errno == errno.EADDRNOTAVAIL:
                found.append(
                    Problem(
                        key,
                        f"{pair[0]} is not an address of this machine",
                        "127.0.0.1, or another address of this machine",
                    )
                )
            elif error.errno != errno.EACCES:  # checks.py reports privileged ports
                found.append(Problem(key, f"{application.listen}: {error.strerror}", "another address"))
    return found


def application_at(address: tuple[str, int], path: str) -> str:
    """The application of the sidecar that listens at an address; empty if it is not a sidecar."""
    connection = http.client.HTTPConnection(*address, timeout=HEALTH_CHECK_TIMEOUT_S)
    try:
        connection.request("GET", path)
        server = connection.getresponse().getheader("Server", "")
    except (OSError, http.client.HTTPException):
        return ""
    finally:
        connection.close()
    return server.removeprefix(SERVER_HEADER_PREFIX) if server.startswith(SERVER_HEADER_PREFIX) else ""


def check_name_resolution(file: File, timeout_s: float = 10.0) -> list[Problem]:
    """Reports host names that don't resolve on this machine; all are resolved concurrently."""
    names_by_key = [
        (f"applications[{i}].upstreams.names", text)
        for i, application in enumerate(file.applications)
        if isinstance(application.upstreams, model.Names)
        for text in application.upstreams.names
    ]
    hosts = {pair[0] for _, text in names_by_key if (pair := split_host_port(text)) is not None}
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
        for key, text in names_by_key
        if (pair := split_host_port(text)) is not None and reasons[pair[0]]
    ]


def _resolve(host: str) -> str:
    try:
        found = socket.getaddrinfo(host, None, type=socket.SOCK_STREAM)
    except (OSError, UnicodeError) as error:
        return f"does not resolve ({getattr(error, 'strerror', None) or error})"
    return "" if found else "resolves to nothing"


def check_watched_files(file: File) -> list[Problem]:
    """Reports watched files that don't exist: only a warning, because they may be written later."""
    found = []
    for i, application in enumerate(file.applications):
        source = application.upstreams
        if isinstance(source, model.Watched) and not os.path.isfile(source.path):
            text = f"the file {source.path!r} does not exist"
            found.append(
                Problem(
                    f"applications[{i}].upstreams.path",
                    text,
                    "the sidecar is not ready until it exists",
                    warning=True,
                )
            )
    return found


def check_environment(file: File, environment: Mapping[str, str]) -> list[Problem]:
    """Reports headers whose environment variable is not set or has an invalid value."""
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
