"""Operators' calls, and the handover between two running versions. Imported only if the configuration has `ops`."""
