"""Logs trace lines for requests and calls to discovery, and sums up the lines of all balancers."""
