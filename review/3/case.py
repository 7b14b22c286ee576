"""An entry that is stopped ends before callers who read slowly have their answers.

Callers read streams slowly but steadily, well within their time limit. The entry gets
SIGTERM when they have some five seconds left to read, and has `grace_s` to hand it over.
TROUBLE=0: there is no SIGTERM.
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from standins import *  # noqa: E402,F403

ENGINES, ENTRIES, CALLERS = 3, 3, 16
# As on the sheet: 439 pieces of 2,000 bytes at most.
EVENTS, EVENT_BYTES = 439, 1000
EVENT_GAP_S = 0.01
READ_BYTES_PER_S = 50_000
READ_BYTES = 400
# Left to read for the fastest caller as SIGTERM comes: 5 s at this pace, of 8 s of grace.
LEFT_AT_SIGTERM = 250_000
# Small windows and segments, as on a link; loopback alone would buffer megabytes.
SEGMENT_BYTES = 500
RECEIVE_BUFFER_BYTES = 6_000
LAST_CHUNK = b"\r\n0\r\n\r\n"


class ModelEngine(Engine):
    """Streams events at once."""

    async def answer_plain(self, request_id, method, target, headers, reader, writer):
        run = self.begin(request_id)
        try:
            await asyncio.sleep(0.1)
            writer.write(stream_head(request_id))
            for number in range(1, EVENTS + 1):
                writer.write(chunk(event(request_id, number, EVENT_BYTES)))
                await writer.drain()
                await asyncio.sleep(EVENT_GAP_S)
                if reader.at_eof() or writer.transport.is_closing():
                    run.ended("its channel was closed by the entry")
                    return "close"
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            run.ended("complete")
        finally:
            run.ended("cut off")


def slow_socket(entry):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.connect((entry.ip, entry.front))
    sock.setblocking(False)
    return sock


def count(got):
    """Events in raw bytes; a header name ends like the line of an event's id."""
    return got.count(b"\nid: ")


async def caller(site, log, entry, on_left):
    """Reads one stream slowly; returns whether it came whole."""
    request_id = site.request_id("digest")
    channel = await Channel.open(entry, slow_socket(entry))
    channel.send("POST", "/digest/a", request_id, body=b"p" * 1300, deadline_ms=39000,
                 headers=generation(500, 1756))
    sent = last = log.now()
    got, longest, began = b"", 0.0, None
    while not got.endswith(LAST_CHUNK):
        try:
            data = await channel.reader.read(READ_BYTES)
        except ConnectionError:
            data = b""
        now = log.now()
        began = began or now
        longest, last = max(longest, now - last), now
        if not data:
            break
        got += data
        if len(got) >= EVENTS * EVENT_BYTES - LEFT_AT_SIGTERM:
            on_left()
        await asyncio.sleep(max(0.0, began + len(got) / READ_BYTES_PER_S - log.now()))
    whole = got.endswith(LAST_CHUNK)
    status = got[:15].decode("latin-1")
    log.say(f"{request_id}: {status!r}, {count(got)} of {EVENTS} events, whole: {whole}, "
            f"{last - sent:.1f} s, longest wait for a read {longest:.2f} s")
    channel.close()
    return whole


async def case(site, log):
    await site.configure([digest_route()], [MODEL_SERVICE])
    for n in range(ENGINES):
        await site.add_engine(f"i-llm{n}", MODELS, kind=ModelEngine)
    site.add_entries(ENTRIES)
    await site.start_entries()
    await asyncio.sleep(STABLE_WINDOW_S)
    entry, left = site.entries[0], asyncio.Event()
    callers = [asyncio.create_task(caller(site, log, entry, left.set)) for _ in range(CALLERS)]
    await left.wait()
    if trouble():
        entry.signal(signal.SIGTERM)
        stopped = log.now()
        await asyncio.get_running_loop().run_in_executor(None, entry.process.wait)
        log.say(f"the entry ended by itself {log.now() - stopped:.2f} s after SIGTERM, "
                f"with status {entry.process.returncode}; grace_s is {site.bounds['grace_s']}")
    whole = await asyncio.gather(*callers)
    log.say(f"{len(whole)} requests, {len(whole) - sum(whole)} ended without a complete answer")
    return HELD if all(whole) else BROKEN


main(FOLDER, case)
