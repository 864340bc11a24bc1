"""Defines the content of the operator's file as immutable typed structures.

`reader.py` parses the file into them and `checks.py` checks their values. The JSON Schema of `passpost schema`, and
with it the help in editors, is generated from them, and so are the comments that `writer.py` writes above each key:
operators read the texts in `Meta(description=...)` and the doc comments of the classes.

Durations end in `_ms` or `_s` and rates in `_per_s`; a `share` is greater than 0 and at most 1.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

NAME = r"^[a-z][a-z0-9-]{0,39}$"
TOKEN = r"^[!#$%&'*+.^_`|~0-9A-Za-z-]{1,60}$"  # RFC 9110, section 5.6.2

Millis = Annotated[float, Meta(gt=0, le=3_600_000)]
Wait = Annotated[float, Meta(ge=0, le=3_600_000)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Name = Annotated[str, Meta(pattern=NAME)]
Header = Annotated[str, Meta(pattern=TOKEN)]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
Path = Annotated[str, Meta(pattern=r"^/[\x21-\x22\x24-\x3e\x40-\x7e]*$", max_length=500)]  # without # and ?

# Sections reserved for features that are not implemented yet. They are refused by name, so that an operator doesn't
# mistake a section without effect for one that works.
RESERVED = (
    "websocket",
    "tls",
    "vrrp",
    "overrides",
    "budgets",
    "zones",
    "admission",
    "affinity",
    "expectations",
)


class Part(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What all parts of the file share: unknown keys are refused."""


class Class(Part, frozen=True, kw_only=True):
    """One class of requests: which they are, how long the caller waits, and what may be repeated."""

    name: Annotated[Name, Meta(description="What the class is called in logs and figures.")]
    path: Annotated[
        Path, Meta(description="Which paths: `*` stands for one segment, a last `**` for any number of them.")
    ]
    methods: Annotated[tuple[Method, ...], Meta(min_length=1, description="Which methods.")] = ("GET",)
    deadline_ms: Annotated[
        Millis, Meta(description="How long the caller waits for the answer, from its last byte on.")
    ]
    aim_ms: Annotated[
        Wait, Meta(description="An answer later than this is worth less; 0: half of the deadline.")
    ] = 0.0
    effect: Annotated[
        Literal["safe", "keyed", "unsafe"],
        Meta(
            description="safe: may run any number of times. keyed: carries a key by which upstreams drop repeats. "
            "unsafe: sent again only if it is sure that it never ran."
        ),
    ] = "safe"
    key_header: Annotated[Header | None, Meta(description="keyed: the header that carries the key.")] = None
    window_ms: Annotated[Wait, Meta(description="keyed: for how long upstreams remember a key.")] = 0.0
    attempts: Annotated[
        int,
        Meta(ge=0, le=20, description="At most so many attempts, the first included; 0: the application's."),
    ] = 0
    attempt_ms: Annotated[
        Wait, Meta(description="How long one attempt may take; 0: all the time that is left.")
    ] = 0.0
    worth: Annotated[
        float, Meta(ge=0, le=1e6, description="What an answer in time is worth beside the other classes'.")
    ] = 1.0
    late_share: Annotated[
        float, Meta(ge=0, le=1, description="The part of it that a late answer is worth.")
    ] = 0.5
    streams: Annotated[
        bool,
        Meta(
            description="Its answers live on, as server-sent events do: passed on from the first byte, for which "
            "alone the deadline runs."
        ),
    ] = False
    idle_s: Annotated[
        Seconds, Meta(description="streams: an answer that brings nothing for so long is ended.")
    ] = 60.0


class Tenant(Part, frozen=True, kw_only=True):
    """One customer and its share of the application's rate."""

    name: Annotated[str, Meta(min_length=1, max_length=100, description="As the tenant header names it.")]
    share: Annotated[
        float, Meta(gt=0, le=1, description="The part of `rate_per_s` that it may use at any time.")
    ]


class Static(Part, frozen=True, kw_only=True, tag_field="kind", tag="static"):
    """Upstreams at fixed addresses."""

    addresses: Annotated[tuple[str, ...], Meta(min_length=1, description="IP address and port of each.")]


class Names(Part, frozen=True, kw_only=True, tag_field="kind", tag="names"):
    """Upstreams by name: every address that a name has is an upstream."""

    names: Annotated[tuple[str, ...], Meta(min_length=1, description="Host name and port of each.")]
    expires_s: Annotated[
        Seconds, Meta(description="A name is resolved again after so long, while requests go on.")
    ] = 10.0
    timeout_s: Annotated[
        Seconds, Meta(description="A name that takes longer to resolve keeps its last addresses.")
    ] = 5.0


class Watched(Part, frozen=True, kw_only=True, tag_field="kind", tag="file"):
    """Upstreams from a file that others write: one address a line."""

    path: Annotated[str, Meta(min_length=1, description="The file; replaced whole, it is followed at once.")]
    every_s: Annotated[Seconds, Meta(description="How often it is looked at.")] = 1.0


class Discovered(Part, frozen=True, kw_only=True, tag_field="kind", tag="discovery"):
    """Upstreams from the platform's discovery."""

    address: Annotated[str, Meta(description="IP address and port of the service or agent.")]
    mode: Annotated[Literal["ask", "push"], Meta(description="Asked, or pushed to an agent here.")] = "ask"
    ask_within_ms: Annotated[
        Millis, Meta(description="Unasked for longer than this, what it would have told counts as told.")
    ] = 10_000.0


Upstreams = Static | Names | Watched | Discovered


class Identity(Part, frozen=True, kw_only=True):
    """Where callers say who they are. None of it is needed: a plain HTTP client is served."""

    id_header: Annotated[
        Header, Meta(description="A caller's id for a request; kept and passed on, never trusted to be new.")
    ] = "X-Request-Id"
    tenant_header: Annotated[Header, Meta(description="Names the tenant.")] = "X-Tenant"
    tenant: Annotated[str, Meta(max_length=100, description="The tenant of whoever names none.")] = ""
    deadline_header: Annotated[
        Header,
        Meta(
            description="Seconds that the caller still waits, and that an attempt may take; read and written."
        ),
    ] = "X-Remaining"


class Cold(Part, frozen=True, kw_only=True):
    """How upstreams that have just started are spared."""

    span_ms: Annotated[Wait, Meta(description="After so long an upstream is warm; 0: at once.")] = 0.0
    start: Annotated[float, Meta(gt=0, le=1, description="The part of its capacity that it starts with.")] = (
        0.2
    )
    most: Annotated[
        float, Meta(ge=1, le=100, description="Times what it can do that it may be sent, by all together.")
    ] = 3.0
    window_ms: Annotated[Millis, Meta(description="Over this time.")] = 1_500.0


class Application(Part, frozen=True, kw_only=True):
    """One service that is called through this sidecar."""

    name: Annotated[Name, Meta(description="What it is called.")]
    listen: Annotated[
        str, Meta(description="Where its callers connect: an address of this machine and a port.")
    ]
    upstreams: Annotated[Upstreams, Meta(description="Where its servers are.")]
    classes: Annotated[
        tuple[Class, ...], Meta(min_length=1, description="The first class that fits a request has it.")
    ]
    attempts: Annotated[int, Meta(ge=1, le=20, description="At most so many attempts for one request.")] = 3
    copies: Annotated[
        bool, Meta(description="Whether a second copy may go out while the first has no answer.")
    ] = False
    rate_per_s: Annotated[
        float, Meta(ge=0, le=1e9, description="Requests a second that its servers can take; 0: not known.")
    ] = 0.0
    tenants: Annotated[tuple[Tenant, ...], Meta(description="Who shares it.")] = ()
    balancers: Annotated[
        int, Meta(ge=1, le=100_000, description="How many sidecars call the same servers, this one included.")
    ] = 1
    calls: Annotated[
        tuple[Name, ...], Meta(description="Applications in this file that its servers call in turn.")
    ] = ()
    connect_ms: Annotated[Millis, Meta(description="A connection that is not up by then has failed.")] = 250.0
    idle_s: Annotated[Seconds, Meta(description="Its servers close a connection idle for so long.")] = 15.0
    retry_after_ms: Annotated[
        Wait,
        Meta(description="The longest that refused callers are told to stay away; 0: they are not told."),
    ] = 1_500.0
    identity: Identity = Identity()
    cold: Cold = Cold()
    add_headers: Annotated[
        dict[str, str],
        Meta(description="Headers for every request to its servers; secrets as `env:VARIABLE` only."),
    ] = {}  # safe as a default: msgspec copies it for each instance


class Limits(Part, frozen=True, kw_only=True):
    """What the process may use, over all applications."""

    descriptors: Annotated[int, Meta(ge=64, le=10_000_000, description="File descriptors.")] = 1_024
    memory_mb: Annotated[int, Meta(ge=16, le=10_000_000, description="Memory.")] = 256
    connections: Annotated[
        int, Meta(ge=0, le=10_000_000, description="Callers' connections; 0: 55% of the descriptors.")
    ] = 0
    upstream_connections: Annotated[
        int, Meta(ge=0, le=10_000_000, description="Connections to upstreams; 0: 35% of the descriptors.")
    ] = 0
    body_mb: Annotated[
        int, Meta(ge=1, le=1_000_000, description="The longest body of a request or an answer.")
    ] = 64
    body_kb: Annotated[
        int,
        Meta(
            ge=1,
            le=65_536,
            description="A body up to this is kept whole, so that its request can be sent again; a longer one is "
            "passed on as it comes.",
        ),
    ] = 64


class Drain(Part, frozen=True, kw_only=True):
    """How this process ends. An upstream whose drain is told gets nothing new from then on."""

    kill_after_s: Annotated[
        Seconds, Meta(description="SIGKILL follows SIGTERM after this, as the machine's supervisor is set.")
    ] = 30.0
    serve_s: Annotated[
        Wait, Meta(description="After SIGTERM callers are served on for up to so long, and then let go.")
    ] = 2.0


class Health(Part, frozen=True, kw_only=True):
    """How others see whether the sidecar serves."""

    path: Annotated[
        Path, Meta(description="Answers 200 on every listener once an upstream is known, else 503.")
    ] = "/health/ready"


class File(Part, frozen=True, kw_only=True):
    """The whole file."""

    version: Annotated[Literal[1], Meta(description="Of this form.")]
    name: Annotated[Name, Meta(description="What this sidecar is called.")] = "passpost"
    limits: Limits = Limits()
    drain: Drain = Drain()
    health: Health = Health()
    applications: Annotated[tuple[Application, ...], Meta(min_length=1, max_length=10_000)]
