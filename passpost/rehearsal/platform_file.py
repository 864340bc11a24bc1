"""The platform's configuration of simulated balancers. No I/O."""

from __future__ import annotations

from typing import Any

from passpost.host import Address
from passpost.rehearsal.model import Scenario

PLATFORM_EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
MEMORY_MB = 192


def configuration(
    scenario: Scenario,
    tier: int,
    name: str,
    listen: Address,
    discovery: Address,
    known_list: dict[str, Any],
    seed: int,
) -> dict[str, Any]:
    """Return the configuration of one balancer that calls tier number `tier`; `known_list` is its initial list."""
    return {
        "name": name,
        "listen": f"{listen[0]}:{listen[1]}",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": scenario.contract.sockets},
        "known": known_list,
        "settings": settings(scenario, tier),
    }


def settings(scenario: Scenario, tier: int) -> dict[str, Any]:
    """Return the platform's settings for the balancers that call tier number `tier`."""
    contract, discovery = scenario.contract, scenario.discovery
    calling_tier = scenario.tiers[tier - 1] if tier else None
    balancers = sum(k.count for k in calling_tier.kinds) if calling_tier else scenario.tiers[0].balancers
    return {
        "balancers": balancers,
        "tier": tier,
        "tick": 1.0,
        "discovery": discovery.mode,
        "classes": [
            {
                "name": c.name,
                "target": c.aim_ms,
                "deadline": c.deadline_ms,
                "effect": PLATFORM_EFFECTS[c.effect],
                "keyScope": c.scope,
                "repeatWindow": c.window_ms,
                "worth": c.worth,
                "lateShare": c.late_share,
            }
            for c in scenario.classes
        ],
        "orgs": [{"name": t.name, "quotaPerS": t.quota_per_s} for t in scenario.tenants],
        "limits": {
            "attemptsCap": contract.attempts,
            "mayCancel": contract.cancel,
            "mayDuplicate": contract.second_copies,
            "retryAfter": contract.retry_after_ms > 0,
            "maxRetryAfter": contract.retry_after_ms,
            "connectTimeout": contract.connect_timeout_ms,
            "connIdle": min(k.idle_s for k in scenario.tiers[tier].kinds) * 1000,
        },
        "contract": {
            "drainGrace": contract.drain_grace_ms,
            "askWithin": contract.ask_within_ms,
            "cold": contract.cold_ms,
            "coldFrom": contract.cold_from,
            "overloadFactor": contract.overload_factor,
            "tipAfter": contract.overload_ms,
            "graceToAnswer": 16.0,
        },
    }
