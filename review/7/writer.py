"""One client that sends one job as chunks of a given size, then reads its answer: a process of its own."""

from __future__ import annotations

import socket
import sys


def main(host: str, port: int, txn: str, length: int, size: int) -> None:
    """Connect, send when a line comes, and print the first line of the answer."""
    head = (
        f"POST /job-submit HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {txn}\r\nX-Remaining: 1.000\r\n"
        f"Idempotency-Key: {txn}\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()
    chunk = b"%x\r\n%b\r\n" % (size, b"j" * size)
    body = chunk * (length // size) + b"0\r\n\r\n"
    with socket.create_connection((host, port)) as connection:
        print("connected", flush=True)
        sys.stdin.readline()
        try:
            connection.settimeout(90)
            connection.sendall(head + body)
            print(connection.recv(4096).split(b"\r\n")[0].decode() or "a close", flush=True)
        except OSError as error:
            print(type(error).__name__, flush=True)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4]), int(sys.argv[5]))
