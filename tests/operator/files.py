"""A valid operator's file, which tests modify to introduce one fault at a time."""

from __future__ import annotations

GOOD = """\
version = 1
name = "studio"

[limits]
descriptors = 1024
memory_mb = 256

[drain]
kill_after_s = 30
serve_s = 2

[[applications]]
name = "render"
listen = "127.0.0.1:17070"
attempts = 3
rate_per_s = 200
calls = ["queue"]

[applications.upstreams]
kind = "static"
addresses = ["127.0.0.1:18001", "127.0.0.1:18002"]

[applications.identity]
tenant_header = "X-Tenant"
tenant = "harbour"

[applications.cold]
span_ms = 10000
window_ms = 1500

[applications.add_headers]
X-Studio = "north"
X-Render-Token = "env:RENDER_TOKEN"

[[applications.tenants]]
name = "harbour"
share = 0.6

[[applications.tenants]]
name = "castle"
share = 0.4

[[applications.classes]]
name = "submit"
path = "/jobs"
methods = ["POST"]
deadline_ms = 2000
effect = "keyed"
key_header = "Idempotency-Key"
window_ms = 3000
attempts = 2
attempt_ms = 900

[[applications.classes]]
name = "frame"
path = "/frames/*"
deadline_ms = 3000
aim_ms = 1200
attempt_ms = 1000

[[applications.classes]]
name = "pay"
path = "/orders/**"
methods = ["POST", "DELETE"]
deadline_ms = 2000
effect = "unsafe"

[[applications]]
name = "queue"
listen = "127.0.0.1:17071"

[applications.upstreams]
kind = "names"
names = ["localhost:18003"]

[[applications.classes]]
name = "frame"
path = "/**"
deadline_ms = 1000
"""


def good_file_with(*edits: tuple[str, str]) -> str:
    """The valid file with texts replaced; each text to replace must occur in it."""
    text = GOOD
    for old, new in edits:
        assert old in text, old
        text = text.replace(old, new, 1)
    return text
