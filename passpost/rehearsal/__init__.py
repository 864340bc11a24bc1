"""Rehearsals: the whole program on a simulated clock and network, or on loopback, from one script."""
