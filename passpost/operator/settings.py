"""Converts an application of the operator's file to settings of the decision module. No I/O."""

from __future__ import annotations

from passpost.operator import model
from passpost.operator.model import Application, Class
from umberworks.interface import Effect, RequestClass, Settings, Tenant

EFFECT_BY_KEYWORD = {"safe": Effect.REPEATABLE, "keyed": Effect.KEYED, "unsafe": Effect.ONCE}
DEFAULT_AIM_SHARE = 0.5  # default target time, as a share of the deadline


def request_class(cls: Class) -> RequestClass:
    """Converts a class of the file to a request class of the decision module."""
    return RequestClass(
        name=cls.name,
        aim_ms=cls.aim_ms or DEFAULT_AIM_SHARE * cls.deadline_ms,
        deadline_ms=cls.deadline_ms,
        effect=EFFECT_BY_KEYWORD[cls.effect],
        dedup_window_ms=cls.window_ms,
        worth=cls.worth,
        late_share=cls.late_share,
        attempts=cls.attempts,
        attempt_ms=cls.attempt_ms,
    )


def settings(application: Application) -> Settings:
    """The decision module's settings for one application."""
    source = application.upstreams
    asked = isinstance(source, model.Discovered) and source.mode == "ask"
    return Settings(
        classes=tuple(map(request_class, application.classes)),
        tenants=tuple(Tenant(t.name, t.share * application.rate_per_s) for t in application.tenants),
        balancers=application.balancers,
        pulls_list=asked,
        ask_within_ms=source.ask_within_ms if isinstance(source, model.Discovered) else 10_000.0,
        max_attempts=application.attempts,
        may_cancel=True,  # with HTTP/1.1, an attempt is cancelled by closing its connection
        may_duplicate=application.copies,
        max_retry_after_ms=application.retry_after_ms,
        cold_ms=application.cold.span_ms,
        cold_from=application.cold.start,
        cold_overload_factor=application.cold.most,
        cold_window_ms=application.cold.window_ms,
    )
