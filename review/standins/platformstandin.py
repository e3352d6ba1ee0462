"""Stand-ins of the platform for the cases in review/: its store, workers, and the start of entry hosts.

The store speaks the log form of PROTOCOL.md for keyed topics. A worker serves one service: it registers itself in the
store, checks X-Expect-Instance, runs a request, and answers with its seal. Hosts are started with the command of
deploy/system.toml. Everything listens on loopback addresses.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
MEMORY_LIMIT_MB = 260  # limits.memoryMb of the settings
HEARTBEAT_S = 1.2  # heartbeatMs of the settings
CONTACT_S = 4.0  # contactMs of the settings
RECOVERY_S = 12.0  # recoveryS of the settings
FIRST_PORT, LAST_PORT = 10000, 30000  # below the ports that the system gives to outgoing connections
PR_SET_PDEATHSIG = 1
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit statuses of a script


def free_port(address="127.0.0.1"):
    """Returns a port that is free for TCP and UDP, as messages between hosts use both."""
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        try:
            with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind((address, port))
                udp.bind((address, port))
                return port
        except OSError:
            continue


def trouble():
    """Returns whether the script runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def exit_with(case):
    """Runs the coroutine function of a case and exits with its status; a case that fails to run exits with 2."""
    try:
        status = asyncio.run(case())
    except BaseException as error:  # Also a cancelled run must not look like a broken rule.
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = NOT_RUN
    sys.stdout.flush()
    os._exit(status)  # Connections that are still open need no orderly end.


def end_with_parent():
    """Lets a process that is being started end with the script, also if the script is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self):
        folder = Path(sys.argv[0]).resolve().parent
        self.file = open(folder / "record.txt", "w", encoding="utf-8", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)


async def read_head(reader):
    """Returns the start line and the fields (names in lower case) of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_end=False):
    """Returns the body of a message; raises an exception if it is not complete."""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_end else b""


class Store:
    """The platform's store: keyed topics with one partition."""

    def __init__(self, address="127.0.0.1"):
        self.address = address
        self.port = free_port(address)
        self.topics = {}
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    async def append(self, topic, contents):
        records = self.topics.setdefault(topic, [])
        first = len(records)
        async with self.changed:
            records.extend(contents)
            self.changed.notify_all()
        return first, len(records)

    async def put(self, topic, key, value):
        """Writes as the operator or a worker does; without a value the record of the key is removed."""
        content = bytes([len(key)]) + key.encode()
        if value is not None:
            content += json.dumps(value).encode()
        await self.append(topic, [content])

    async def serve(self, reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                line, fields = message
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                arguments = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                status, kind, answer = await self.call(path, arguments, body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, path, arguments, body):
        topic = arguments.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if path == "/log-append":
            if "at" in arguments and int(arguments["at"]) != len(records):
                return 412, "application/json", json.dumps({"end": len(records)}).encode()
            contents = []
            while body:
                size = struct.unpack(">I", body[:4])[0]
                contents.append(body[4:4 + size])
                body = body[4 + size:]
            first, end = await self.append(topic, contents)
            return 200, "application/json", json.dumps({"offset": first, "end": end}).encode()
        if path == "/log-read":
            first = int(arguments["from"])
            if first > len(records):
                return 410, "application/json", json.dumps({"first": 0}).encode()
            wait_s = int(arguments.get("waitMs", 0)) / 1000
            if first == len(records) and wait_s > 0:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait_for(lambda: len(records) > first), wait_s)
                    except asyncio.TimeoutError:
                        pass
            data = struct.pack(">QQ", len(records), 0)
            for content in records[first:]:
                data += struct.pack(">I", len(content)) + content
            return 200, "application/octet-stream", data
        if path == "/log-newest":
            newest = {}
            for offset, content in enumerate(records):
                key, value = content[1:1 + content[0]].decode(), content[1 + content[0]:]
                newest.pop(key, None)
                if value:
                    newest[key] = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            answer = {"items": list(newest.values()), "hasMore": False, "end": len(records)}
            return 200, "application/json", json.dumps(answer).encode()
        return 404, "application/json", b"{}"


class Worker:
    """A sound worker; a subclass overrides answer() to behave as a page says that a faulty one may."""

    def __init__(self, store, record, service, name, slots, address="127.0.0.1", zone="accra-osu"):
        self.store, self.record, self.service, self.name, self.slots = store, record, service, name, slots
        self.address, self.zone = address, zone
        self.port = free_port(address)
        self.work_s = 0.015
        self.running = 0
        self.ran = []  # ids of the requests that began to run, in order
        self.bodies = {}  # by the id of the request
        self.sequence = 0
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)
        self.heart = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            await self.store.put("keyed.servers", self.name, {
                "service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1",
                "concurrency": self.slots, "state": "ready", "coldLeftMs": 0, "sequence": self.sequence,
                "born": self.born})
            await asyncio.sleep(HEARTBEAT_S)

    def seal(self, attempt):
        return f"X-Attempt-Id: {attempt}\r\nX-Server-Seal: {self.name}.{attempt}\r\n"

    async def serve(self, reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                line, fields = message
                body = await read_body(reader, fields)
                attempt = fields.get("x-attempt-id", "")
                if fields.get("x-expect-instance", self.name) != self.name:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                    continue
                if self.running >= self.slots or not attempt:
                    status = "503 Service Unavailable" if attempt else "400 Bad Request"
                    writer.write(f"HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                self.running += 1
                self.ran.append(attempt)
                self.bodies[attempt] = body
                self.record.write(f"run {self.name} {attempt} {line} body={len(body)}")
                try:
                    if not await self.answer(line, fields, body, attempt, reader, writer):
                        break
                    await writer.drain()
                finally:
                    self.running -= 1
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, line, fields, body, attempt, reader, writer):
        """Answers a request; returns whether the connection stays open."""
        await asyncio.sleep(self.work_s)
        text = f"done {attempt}\n".encode()
        writer.write(f"HTTP/1.1 200 OK\r\n{self.seal(attempt)}Keep-Alive: timeout=10\r\n"
                     f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        return True


class Link:
    """State of one connection between a host and a worker."""

    def __init__(self):
        self.silent = False


class SilentLink:
    """Lets the open connections of a worker go silent for good, without a reset, while new ones work.

    What a host sends on them is read and reaches no worker, and nothing comes back, as behind a proxy that has lost
    the connection. Mixed into a worker class, before it.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.links = set()  # of the open connections, silent or not

    def silence(self):
        """Returns how many connections go silent."""
        active = [link for link in self.links if not link.silent]
        for link in active:
            link.silent = True
        return len(active)

    async def serve(self, reader, writer):
        link = Link()
        self.links.add(link)
        passed_on = asyncio.StreamReader()
        server = asyncio.create_task(super().serve(passed_on, SilentWriter(writer, link)))
        while data := await reader.read(65536):
            if not link.silent:
                passed_on.feed_data(data)
        self.links.discard(link)
        passed_on.feed_eof()
        await server
        writer.close()


class SilentWriter:
    """Passes on to a connection what its worker writes, until the link is silent; a close is not seen then either."""

    def __init__(self, writer, link):
        self.writer, self.link = writer, link

    def write(self, data):
        if not self.link.silent:
            self.writer.write(data)

    async def drain(self):
        if not self.link.silent:
            await self.writer.drain()

    def close(self):
        if not self.link.silent:
            self.writer.close()


def run_command():
    """Returns the words of the command that starts a host, from deploy/system.toml."""
    text = (ROOT / "deploy/system.toml").read_text()
    return re.search(r'^run = "(.*)"$', text, re.MULTILINE).group(1).split()


class Host:
    """An entry host: a process of this project with a settings file like that of the platform."""

    def __init__(self, folder, store, name, address, ports, first_start=True, zone="accra-osu"):
        self.name, self.address = name, address
        self.front, self.ready, self.peers, self.metrics = ports
        self.folder = Path(folder) / name
        self.folder.mkdir()
        (self.folder / "node.json").write_text(json.dumps({
            "node": name, "role": "entry", "machineClass": "front", "serves": ["front"], "ip": address, "zone": zone,
            "region": "accra", "zones": {"accra-osu": "accra", "accra-tema": "accra"},
            "listen": {"front": f"{address}:{self.front}", "ready": f"{address}:{self.ready}"},
            "portRange": [self.peers, self.peers + 15], "seedAddrs": [], "bootstrap": first_start,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": MEMORY_LIMIT_MB, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
                       "drainMs": 2500, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2500,
                       "rollbackSlackMs": 250, "outerBoundMs": 6000, "revokeStrict": True, "revokeMs": 5000,
                       "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 52, "quotaWindowS": 8,
                       "quotaOverage": 0.1, "quotaSlack": 140000, "exposureShare": 0.1, "exposureSlack": 50,
                       "rollbackMs": 5000, "recoveryS": 12, "passMs": 250, "againS": 10},
            "platform": {"address": f"{store.address}:{store.port}", "form": "log", "writesPerS": 400,
                         "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "partMbS": 20.0, "readMbS": 80.0,
                         "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200,
                         "ttlMinMs": 1000}}))
        self.process = None

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["SAPPHIRECOVE_CONFIG"] = str(self.folder / "node.json")
        words = run_command()
        if "--metrics-port" in words:
            words[words.index("--metrics-port") + 1] = str(self.metrics)
        self.log = open(self.folder / "log.txt", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / words[0]), *words[1:], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL, preexec_fn=end_with_parent)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return message is not None and " 200 " in message[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout_s=15):
        """Waits for two positive checks, as the platform needs one and a configuration may be on its way."""
        end = time.monotonic() + timeout_s
        hits = 0
        while hits < 2 and time.monotonic() < end:
            hits = hits + 1 if await self.is_ready() else 0
            await asyncio.sleep(0.3)
        return hits >= 2

    def resident_mb(self):
        """Returns the resident memory of the process in MB; 0 once it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found.group(1)) / 1024 if found else 0.0

    def ended(self):
        return self.process is None or self.process.returncode is not None

    async def stop(self):
        if not self.ended():
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def free_ports(address):
    """Returns ports for callers, readiness, messages between hosts and metrics that are free now."""
    return [free_port(address) for _ in range(4)]


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="review-")


def configuration(routes, services, tenants=None, version=7):
    result = {"version": version, "routes": routes, "services": services,
              "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                         "idleTimeoutMs": 15000}}
    if tenants:
        result["tenants"] = tenants
    return result


def plain_route(name, prefix, kind, service, attempts=1):
    """A route like that of the print requests of the site."""
    return {"name": name, "host": "orders.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 1200,
            "targetLatencyMs": 150, "priority": 2, "service": service, "maxAttempts": attempts, "public": False,
            "sticky": False, "resumable": False}


def stream_route(name, prefix, service):
    """A route like that of the organisers' questions: a stream that must not run twice."""
    return {"name": name, "host": "orders.example", "pathPrefix": prefix, "kind": "streaming", "timeoutMs": 15000,
            "targetLatencyMs": 800, "gapAimMs": 300, "priority": 1, "service": service, "maxAttempts": 1,
            "public": False, "sticky": True, "resumable": False}


def engine_service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": False,
            "engine": {"concurrency": 12, "kvCapacity": 626662, "kvTokenBytes": 163840, "linkMbps": 740000.0,
                       "moves": True, "backups": True, "stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                       "handleS": 5.0, "models": [{"name": "m"}]}}


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": False}


class Engine(Worker):
    """A sound model worker: it streams its events in chunks."""

    events = 40
    event_s = 0.02

    async def answer(self, line, fields, body, attempt, reader, writer):
        writer.write(f"HTTP/1.1 200 OK\r\n{self.seal(attempt)}Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        return True


TENANT = {"name": "parish", "apiKeys": ["key-of-the-parish"], "priority": 1}


class Client:
    """A client that keeps a connection, as long as the host does."""

    def __init__(self, host, record, key=TENANT["apiKeys"][0]):
        self.host, self.record, self.key, self.reader, self.writer = host, record, key, None, None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.host.address, self.host.front)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, attempt, body=b"", deadline_ms=2500, fields="", patience_s=None):
        """Returns the status of the answer, 0 if the connection ended without one, or -1 if the client has left.

        The client leaves after patience_s; if none is given, at the deadline that it has named.
        """
        try:
            if self.writer is None:
                await self.connect()
            self.record.write(f"send {attempt} {method} {path}")
            self.writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {self.key}\r\n{fields}"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            status = await asyncio.wait_for(self.receive(), patience_s or deadline_ms / 1000)
        except asyncio.TimeoutError:
            self.close()
            status = -1
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
            status = 0
        self.record.write(f"answer {attempt} {status}")
        return status

    async def receive(self):
        message = await read_head(self.reader)
        if message is None:
            self.close()
            return 0
        line, fields = message
        self.body = await read_body(self.reader, fields, until_end=True)
        self.fields = fields
        if fields.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1])
