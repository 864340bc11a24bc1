"""The upstreams' side: attempts, the connections that carry them, and the pools of those connections."""
