"""A load balancer for HTTP/1.1: sockets and processes; its decisions are made by `umberworks.rules`."""
