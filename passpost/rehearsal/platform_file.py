"""The platform's configuration file as balancers in the simulator get it. No I/O."""

from __future__ import annotations

from typing import Any

from passpost.host import Address
from passpost.rehearsal.model import Scenario

EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
MEMORY_MB = 192


def configuration(
    script: Scenario,
    tier: int,
    name: str,
    listen: Address,
    discovery: Address,
    known: dict[str, Any],
    seed: int,
) -> dict[str, Any]:
    """The file of one balancer before a tier; `known` is the list as it last had it."""
    return {
        "name": name,
        "listen": f"{listen[0]}:{listen[1]}",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": script.contract.sockets},
        "known": known,
        "settings": settings(script, tier),
    }


def settings(script: Scenario, tier: int) -> dict[str, Any]:
    """What balancers before a tier are told of the platform."""
    contract, discovery = script.contract, script.discovery
    before = script.tiers[tier - 1] if tier else None
    balancers = sum(k.count for k in before.kinds) if before else script.tiers[0].balancers
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
                "effect": EFFECTS[c.effect],
                "keyScope": "all",
                "repeatWindow": c.window_ms,
                "worth": c.worth,
                "lateShare": c.late_share,
            }
            for c in script.classes
        ],
        "orgs": [{"name": t.name, "quotaPerS": t.quota_per_s} for t in script.tenants],
        "limits": {
            "attemptsCap": contract.attempts,
            "mayCancel": contract.cancel,
            "mayDuplicate": contract.second_copies,
            "retryAfter": contract.retry_after_ms > 0,
            "maxRetryAfter": contract.retry_after_ms,
            "connectTimeout": contract.connect_timeout_ms,
            "connIdle": min(k.idle_s for k in script.tiers[tier].kinds) * 1000,
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
