"""umberworks: the decisions of a load balancer for services that call services."""

from umberworks.interface import Settings
from umberworks.rules import Balancer

__all__ = ["Balancer", "Settings"]
