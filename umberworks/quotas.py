"""Checks requests against the quotas of their tenants (the contract: umberworks/interface.py)."""

from __future__ import annotations

import math
from collections.abc import Iterable

from umberworks.interface import Tenant

# The bucket of a tenant holds the requests of this time at its rate, and at least MIN_BURST_REQUESTS: for a
# small part of a quota that time yields less than one request.
BURST_MS = 2_000.0
MIN_BURST_REQUESTS = 4.0


class TenantQuotas:
    """One token bucket per tenant, filled at this balancer's part of the agreed rate."""

    def __init__(self, tenants: Iterable[Tenant], balancers: int) -> None:
        self._rates_per_ms = {t.name: t.quota_per_s / balancers / 1000 for t in tenants}
        self._levels: dict[str, tuple[float, float]] = {}  # per tenant: tokens, and when they were counted

    def exceeds_quota(self, tenant: str | None, now: float) -> bool:
        """Count a request, and return whether it exceeds its tenant's quota; the excess is worth little.

        A request without a tenant, or of an unknown one, has no quota.
        """
        rate = self._rates_per_ms.get(tenant or "")
        if rate is None or tenant is None:
            return False
        tokens, counted_at = self._levels.get(tenant, (math.inf, now))
        tokens = min(max(BURST_MS * rate, MIN_BURST_REQUESTS), tokens + (now - counted_at) * rate)
        exceeded = tokens < 1
        self._levels[tenant] = (tokens if exceeded else tokens - 1, now)
        return exceeded
