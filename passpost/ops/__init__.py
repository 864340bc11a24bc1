"""Operators' calls and the handover between two versions. Imported only if the configuration has `ops`."""
