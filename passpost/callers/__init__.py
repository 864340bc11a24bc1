"""The callers' side: their connections and the socket that they come in by."""
