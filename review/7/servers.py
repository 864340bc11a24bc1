"""Servers that read requests whole and answer each at once with its id: a process of its own."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import sys


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer the requests of one connection, one after the other; chunks are read in large steps, as C code would."""
    rest = b""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(1 << 18):
            rest += data
            while b"\r\n\r\n" in rest:
                head, _, body = rest.partition(b"\r\n\r\n")
                if re.search(rb"(?i)transfer-encoding: *chunked", head) and not body.endswith(b"0\r\n\r\n"):
                    tail = body[-8:]
                    while not tail.endswith(b"0\r\n\r\n"):
                        if not (data := await reader.read(1 << 18)):
                            break
                        tail = (tail + data)[-8:]
                    body = b""
                elif re.search(rb"(?i)transfer-encoding: *chunked", head):
                    body = b""
                rest = body
                txn = re.search(rb"(?i)x-txn: *(\S+)", head)
                assert txn is not None
                answer = b"made for " + txn[1]
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(answer), answer))
                await writer.drain()
    writer.close()


async def main(number: int) -> None:
    """Serve until the input ends."""
    servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for _ in range(number)]
    print(json.dumps([server.sockets[0].getsockname()[1] for server in servers]), flush=True)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_reader(sys.stdin.fileno(), lambda: ended.set() if not os.read(0, 100) else None)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(120):
            await ended.wait()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
