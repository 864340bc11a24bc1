"""The tenants' shares: who has used up this balancer's part of what was agreed (umberworks/interface.py)."""

from __future__ import annotations

import math
from collections.abc import Iterable

from umberworks.interface import Tenant

BURST_MS = 2_000.0  # a tenant may use this much of its share at once ...
BURST = 4.0  # ... and so many requests; a small part of a share comes to less than one


class TenantQuotas:
    """One bucket for each tenant, filled at our part of its rate."""

    def __init__(self, tenants: Iterable[Tenant], balancers: int) -> None:
        self._rates = {t.name: t.quota_per_s / balancers / 1000 for t in tenants}
        self._levels: dict[str, tuple[float, float]] = {}

    def exceeds_quota(self, tenant: str | None, now: float) -> bool:
        """Book a request; whether its tenant is past its share: the excess is worth little."""
        rate = self._rates.get(tenant or "")
        if rate is None or tenant is None:
            return False
        level, seen = self._levels.get(tenant, (math.inf, now))
        level = min(max(BURST_MS * rate, BURST), level + (now - seen) * rate)
        over = level < 1
        self._levels[tenant] = (level if over else level - 1, now)
        return over
