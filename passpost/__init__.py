"""A load balancer on real sockets; the decisions are those of `umberworks.rules`."""
