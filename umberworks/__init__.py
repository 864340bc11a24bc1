"""Decisions of a load balancer for service-to-service calls; no I/O."""

from umberworks.interface import Settings
from umberworks.rules import Balancer

__all__ = ["Balancer", "Settings"]
