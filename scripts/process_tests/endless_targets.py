"""Targets that send or read without end, and callers of a router that sends calls to them.

    endless_targets.py MODE ROUTER_PORT FIRST_PORT TARGETS CALLS

Listens at TARGETS ports from FIRST_PORT on and sends CALLS calls at once. Prints how they ended: a line
"STATUS COUNT" for each status, "none" without one. Ends once all calls have ended.

Modes, by what a target does or a caller leaves undone:
  body        a body without length and without end
  head        a head without end
  event       an event of a stream without end
  held        just less than a router holds back of a response, then silence
  slow        callers do not read
  upload      targets do not read bodies of 4 MiB
"""

import asyncio
import collections
import sys

MODE = sys.argv[1]
ROUTER_PORT, FIRST_PORT, TARGETS, CALLS = (int(value) for value in sys.argv[2:6])
PIECE = b"x" * 16384
UPLOAD = b"u" * (4 << 20) if MODE == "upload" else b""
CALL_TIME_S = 5  # also the callers' deadline
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: "
PLAIN = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
BEGINNINGS = {"body": PLAIN, "slow": PLAIN, "event": STREAM, "head": b"HTTP/1.1 200 OK\r\n",
              "held": PLAIN + b"x" * 250_000}


async def run_target(reader, writer):
    try:
        if MODE == "upload":
            await asyncio.sleep(CALL_TIME_S)
            return
        await reader.readuntil(b"\r\n\r\n")
        writer.write(BEGINNINGS[MODE])
        await writer.drain()
        if MODE == "held":
            await asyncio.sleep(CALL_TIME_S)
            return
        piece = b"X-Header: " + PIECE[:80] + b"\r\n" if MODE == "head" else PIECE
        while True:
            writer.write(piece)
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


async def call(number, ends):
    status = "none"
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", ROUTER_PORT)
        path = "stream" if MODE == "event" else "faulty"
        writer.write(f"POST /{path}/1 HTTP/1.1\r\nHost: app.example\r\nX-Peridotspur-Attempt-Id: e{number}\r\n"
                     f"X-Peridotspur-Deadline-Ms: {CALL_TIME_S * 1000}\r\n"
                     f"Content-Length: {len(UPLOAD)}\r\n\r\n".encode() + UPLOAD)
        if MODE == "slow":
            await asyncio.sleep(CALL_TIME_S)
        head = await asyncio.wait_for(reader.read(100), CALL_TIME_S + 1)
        status = head[9:12].decode() or "none"
        while await asyncio.wait_for(reader.read(65536), CALL_TIME_S):
            pass
        writer.close()
    except (OSError, asyncio.TimeoutError):
        pass
    ends[status] += 1


async def main():
    servers = [await asyncio.start_server(run_target, "127.0.0.1", FIRST_PORT + number, backlog=1000)
               for number in range(TARGETS)]
    ends = collections.Counter()
    await asyncio.gather(*(call(number, ends) for number in range(CALLS)))
    for status, count in sorted(ends.items()):
        print(status, count, flush=True)
    for server in servers:
        server.close()


asyncio.run(main())
