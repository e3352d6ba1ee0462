"""Checks that no worker runs a request that was smuggled inside another one (rule UNASKED).

One host, one worker. A client sends a POST whose body is the text of a second POST. With the disruption, the outer
request names a Transfer-Encoding whose last coding is not chunked, so that no length can be told from it; a sound
server rejects it (RFC 9112, section 6.3) or takes the bytes as its body. Without the disruption, the same body has a
Content-Length. The client sends only ids that begin with "outer"; the ids inside the bodies are never sent.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from platformstandin import *

ANSWER_TIME_S = 2.0  # more than the route's timeout

ENCODINGS = {  # fields that frame the outer request, with the disruption
    "identity": "Transfer-Encoding: identity\r\n",
    "chunked-identity": "Transfer-Encoding: chunked, identity\r\n",
    "gzip": "Transfer-Encoding: gzip\r\n",
}


def request(attempt, framing):
    return (f"POST /print/badge HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: 2500\r\nX-Api-Key: {TENANT['apiKeys'][0]}\r\n{framing}\r\n").encode()


async def send(host, record, name, framing):
    inner = request(f"inner-{name}", "Content-Length: 0\r\n")
    reader, writer = await asyncio.open_connection(host.address, host.front)
    framing = framing or f"Content-Length: {len(inner)}\r\n"
    record.write(f"send outer-{name} with {framing.strip()} and {len(inner)} bytes of body that spell inner-{name}")
    writer.write(request(f"outer-{name}", framing) + inner)
    received = b""
    try:
        async with asyncio.timeout(ANSWER_TIME_S):
            while data := await reader.read(4096):
                received += data
    except asyncio.TimeoutError:
        pass
    writer.close()
    answers = [line for line in received.decode("latin-1").split("\r\n") if "HTTP/1.1 " in line]
    record.write(f"the client of outer-{name} got {len(answers)} answers: {answers}")


async def case():
    record = Record()
    store = Store()
    await store.start()
    worker = Worker(store, record, "orders-app", "i-1", 6)
    await worker.start()
    await store.put("keyed.op", "config", configuration(
        [plain_route("print", "/print/", "non_idempotent", "orders-app")], [plain_service("orders-app")], [TENANT]))
    with temporary_folder() as folder:
        host = Host(folder, store, "front-1", "127.0.0.1", free_ports("127.0.0.1"))
        await host.start()
        try:
            if not await host.wait_ready():
                return NOT_RUN
            client = Client(host, record)
            if await client.call("POST", "/print/badge", "outer-plain", b"badge") != 200:
                return NOT_RUN
            client.close()
            for name, framing in ENCODINGS.items():
                await send(host, record, name, framing if trouble() else None)
        finally:
            await host.stop()
    smuggled = [attempt for attempt in worker.ran if not attempt.startswith("outer")]
    emptied = [name for name in ENCODINGS if worker.bodies.get(f"outer-{name}") == b""]
    record.say(f"UNASKED: {len(smuggled)} requests ran that were smuggled: {smuggled}")
    record.say(f"UNASKED: {len(emptied)} requests ran with their body taken away: {emptied}")
    return BROKEN if smuggled else HELD


exit_with(case)
