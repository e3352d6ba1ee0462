"""Checks that a host that the store has turned away places no requests at a worker that has left (rule DRAIN).

Four hosts, three workers of a plain service with moderate traffic. In each round, the store turns away the host that
decides for the others (503), as a store that "turns some machines away and serves the others". A worker that has just
nothing to do says that it drains; the store acknowledges it, and from then on the worker says so in all its answers,
too. Once drainMs has passed, the next host that decides and another one are killed, and start again later. The worker
keeps serving. The script counts requests that a client sent later than drainMs after the acknowledgement and that the
worker gets from a host that was neither turned away nor killed. Without the disruption, the worker drains in each round
and nothing else happens.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from platformstandin import *

HOSTS = 4
ROUNDS = 6
SETTLE_S = 6.0  # before a round: more than contactMs after the last one
BEFORE_DRAIN_S = 2.0  # from the store turning the host away to the worker's notice
DRAIN_S = 2.5  # drainMs of the settings
KILL_AFTER_S = 2.6  # from the acknowledgement
WATCH_S = 2.6  # from the kill
REST_S = 1.2  # until the store serves all hosts again: 8.4 s after it turned the first one away
REQUESTS_PER_S = 20.0
SMALL_SHARE = 5  # the host that is turned away gets requests in every fifth turn
WORK_S = 0.11  # the longest work of a print request on the sheet


def sockets_of(process):
    """Returns the inodes of the sockets of a process that this script has started."""
    links = []
    for descriptor in os.listdir(f"/proc/{process.pid}/fd"):
        try:
            links.append(os.readlink(f"/proc/{process.pid}/fd/{descriptor}"))
        except OSError:
            continue  # Closed meanwhile.
    return {link[len("socket:["):-1] for link in links if link.startswith("socket:[")}


class SelectiveStore(Store):
    """A store that can turn one host away with 503."""

    hosts = ()
    turned_away = None

    def caller(self, port):
        """Returns the host whose connection to this store has the given port."""
        with open("/proc/net/tcp") as table:
            for line in table.readlines()[1:]:
                words = line.split()
                ports = [int(word.split(":")[1], 16) for word in words[1:3]]
                if ports == [port, self.port]:
                    for host in self.hosts:
                        if not host.ended() and words[9] in sockets_of(host.process):
                            return host
        return None

    async def serve(self, reader, writer):
        host = None
        port = writer.get_extra_info("peername")[1]

        async def call(path, arguments, body):
            nonlocal host
            host = host or self.caller(port)
            answer = await Store.call(self, path, arguments, body) if host is not self.turned_away else None
            if host is not None and host is self.turned_away:  # Also one whose call waited meanwhile.
                return 503, "application/json", b"{}"
            return answer

        connection = Store.__new__(Store)
        connection.__dict__ = dict(self.__dict__, call=call)
        await Store.serve(connection, reader, writer)


class LeavingWorker(Worker):
    state = "ready"

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.work_s = WORK_S
        self.arrivals = []  # time and id

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def register(self):
        self.sequence += 1
        await self.store.put("keyed.servers", self.name, {
            "service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1",
            "concurrency": self.slots, "state": self.state, "coldLeftMs": 0, "sequence": self.sequence,
            "born": self.born})

    def seal(self, attempt):
        return super().seal(attempt) + ("Server-Leaving: 1\r\n" if self.state == "draining" else "")

    async def answer(self, line, fields, body, attempt, reader, writer):
        self.arrivals.append((self.record.now(), attempt))
        return await super().answer(line, fields, body, attempt, reader, writer)

    async def leave(self):
        self.heart.cancel()
        await self.store.put("keyed.servers", self.name, None)
        self.server.close()


async def decides(host):
    """Returns whether the metrics of the host say that it decides for the others."""
    reader, writer = await asyncio.open_connection(host.address, host.metrics)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n")
    text = await reader.read()
    writer.close()
    return re.search(rb"^sapphirecove_decider 1", text, re.MULTILINE) is not None


async def case():
    record = Record()
    store = SelectiveStore()
    await store.start()
    names = iter(range(1, 1000))

    async def start_worker():
        worker = LeavingWorker(store, record, "orders-app", f"i-{next(names)}", 6)
        await worker.start()
        return worker

    workers = [await start_worker() for _ in range(3)]
    await store.put("keyed.op", "config", configuration(
        [plain_route("print", "/print/", "non_idempotent", "orders-app")], [plain_service("orders-app")], [TENANT]))
    broken = []
    sent = {}  # by id: time and host
    tasks = []
    with temporary_folder() as folder:
        hosts = []
        for number in range(HOSTS):
            address = f"127.0.0.{number + 1}"
            hosts.append(Host(folder, store, f"front-{number}", address, free_ports(address)))
        store.hosts = hosts

        async def send(number, host):
            sent[f"print-{number}"] = record.now(), host
            client = Client(host, record)
            await client.call("POST", "/print/badge", f"print-{number}", b"badge")
            client.close()

        async def traffic():
            number = 0
            while True:
                # The share of connections is uneven: the host that decides has the smallest one.
                running = [host for host in hosts if not host.ended()
                           and (host is not store.turned_away or number % SMALL_SHARE == 0)]
                tasks.append(asyncio.create_task(send(number, running[number % len(running)])))
                number += 1
                await asyncio.sleep(1 / REQUESTS_PER_S)

        async def play_round():
            await asyncio.sleep(SETTLE_S)
            deciding = [host for host in hosts if await decides(host)]
            stale = deciding[0] if len(deciding) == 1 else None
            if stale is None:
                record.write("no round, as not one host decides")
                return False
            if trouble():
                store.turned_away = stale
                record.write(f"the store turns {stale.name} away, which decides")
            await asyncio.sleep(BEFORE_DRAIN_S)
            worker = workers.pop(0)
            while worker.running > 0:
                await asyncio.sleep(0.005)
            worker.state = "draining"
            await worker.register()
            acknowledged = record.now()
            record.write(f"the store acknowledges that {worker.name} drains")
            await asyncio.sleep(KILL_AFTER_S)
            others = [host for host in hosts if host is not stale]
            deciding = [host for host in others if await decides(host)]
            killed = (deciding + [host for host in others if host not in deciding])[:2] if trouble() else []
            for host in killed:
                host.process.send_signal(signal.SIGKILL)
                record.write(f"{host.name} is killed")
            await asyncio.sleep(WATCH_S)
            calm = [host for host in others if host not in killed]
            late = [(round(at - acknowledged, 3), attempt, sent[attempt][1].name) for at, attempt in worker.arrivals
                    if sent[attempt][0] > acknowledged + DRAIN_S]
            record.write(f"{worker.name} got {len(late)} requests later than drainMs: {late}")
            broken.extend(entry for entry in late if entry[2] in [host.name for host in calm])
            for host in killed:
                await host.process.wait()
                await host.start()
            await asyncio.sleep(REST_S)
            store.turned_away = None
            await worker.leave()
            workers.append(await start_worker())
            return True

        try:
            for host in hosts:
                await host.start()
            if not all([await host.wait_ready() for host in hosts]):
                return NOT_RUN
            clients = asyncio.create_task(traffic())
            played = [await play_round() for _ in range(ROUNDS)]
            clients.cancel()
            await asyncio.gather(*tasks)
        finally:
            for host in hosts:
                await host.stop()
    record.say(f"{sum(played)} of {ROUNDS} rounds played")
    record.say(f"DRAIN: {len(broken)} requests reached a worker later than {DRAIN_S} s after the store had acknowledged "
               f"that it drains, sent on by hosts in touch: {broken}")
    if not any(played):
        return NOT_RUN
    return BROKEN if broken else HELD


exit_with(case)
