"""Property tests draw the same examples each time: the same verdict on the same commit."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("same", derandomize=True)
settings.load_profile("same")
