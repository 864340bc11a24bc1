"""Daily operation: what operators call, and two versions at once. Loaded only where the configuration names `ops`."""
