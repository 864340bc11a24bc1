"""Defines the short description of an application from which `writer.py` generates a whole operator's file.

It says which services the application calls, how long it waits, which requests may be repeated and how many it sends.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from passpost.operator.model import Header, Method, Millis, Name, Part, Path, Wait


class Request(Part, frozen=True, kw_only=True):
    """One kind of request to a service."""

    name: Annotated[Name, Meta(description="What you call it.")]
    path: Annotated[Path, Meta(description="Its paths: `*` for one segment, a last `**` for any number.")] = (
        "/**"
    )
    methods: Annotated[tuple[Method, ...], Meta(min_length=1, description="Its methods.")] = ("GET",)
    waits_ms: Annotated[Wait, Meta(description="How long you wait for it; 0: as for the service.")] = 0.0
    repeat: Annotated[
        Literal["freely", "with-key", "never"],
        Meta(description="freely: running twice does no harm. with-key: its servers drop a repeat. never."),
    ] = "freely"
    key_header: Annotated[Header, Meta(description="with-key: where the key is.")] = "Idempotency-Key"
    key_kept_ms: Annotated[Wait, Meta(description="with-key: for how long its servers remember it.")] = 0.0
    worth: Annotated[float, Meta(ge=0, le=1e6, description="Beside the other requests.")] = 1.0
    streams: Annotated[
        bool, Meta(description="Its answers live on, as server-sent events do; you wait for the first byte.")
    ] = False


class Service(Part, frozen=True, kw_only=True):
    """One service that the application calls."""

    service: Annotated[Name, Meta(description="What you call it.")]
    at: Annotated[
        tuple[str, ...],
        Meta(min_length=1, description="Where it is: names or IP addresses, each with a port."),
    ]
    listen: Annotated[
        str, Meta(description="Where you connect for it; free: 127.0.0.1, from port 7070 on.")
    ] = ""
    waits_ms: Annotated[Millis, Meta(description="How long you wait for an answer.")] = 2_000.0
    rate_per_s: Annotated[float, Meta(ge=0, le=1e9, description="How much you send; 0: not known.")] = 0.0
    requests: Annotated[tuple[Request, ...], Meta(description="None: GET of any path, repeated freely.")] = ()


class Description(Part, frozen=True, kw_only=True):
    """The whole description."""

    application: Annotated[Name, Meta(description="What you call your software.")]
    calls: Annotated[tuple[Service, ...], Meta(min_length=1, description="The services that it calls.")]
    kill_after_s: Annotated[
        float, Meta(gt=0, le=86_400, description="How long your supervisor waits after SIGTERM.")
    ] = 30.0
