"""Trace lines in the log for each request and each call to discovery, and summaries of the lines of all balancers."""
