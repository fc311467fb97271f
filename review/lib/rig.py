"""Stand-ins for servers and viewers, and the start of the front node by the deploy file, for the cases of this review."""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


def settings():
    """Settings like those of a small deployment: the example of the wire page, with fewer cells."""
    return {
        "index": 0, "siblings": 2, "az": 0, "azs": ["east-hall", "west-hall"], "kinds": ["std-3core"], "discovery": "push",
        "services": [
            {"aim": 800000000, "deadline": 4000000000, "key-scope": "all", "memory-span": 5000000000,
             "name": "licensed-view", "semantics": "single_shot", "streaming": True, "worth": 2.0},
            {"aim": 1000000000, "deadline": 5000000000, "key-scope": "all", "memory-span": 5000000000,
             "name": "preview", "semantics": "free", "streaming": True, "worth": 1.0}],
        "family-info": {
            "cabinets": 1, "cells": 6, "class-top": [4, 4], "fleet-kb": 77252.0, "guard": 0.0, "is-live": [False, False],
            "join": 1.0, "kb-per-weight": 6438.0, "level-kb": [214.0, 364.0, 620.0, 1056.0, 1797.0], "licence-cap": [0, 0],
            "lowest-rung": [0, 0], "places-by-kind": [27], "rate-factor": [1.4, 1.0],
            "rung-worth": [0.28, 0.48, 0.66, 0.83, 1.0], "see": 1122043000, "shortfall-cost": 9.0, "switch-s": 0.5,
            "told-every": 4000000000, "uplink-kb": 77252.0},
        "limits": {"attempts-cap": 4, "cancel": True, "conn-idle": 30000000000, "connect-timeout": 250000000,
                   "cpu-us-per-request": 0.0, "cpu-us-per-s": 400000, "max-open": 1000000,
                   "max-retry-after": 1000000000, "may-tell": False, "multiplex": 1048576, "probing": True,
                   "retry-after": True, "second-copies": False},
        "over-share-worth": 0.1, "parties": [], "prices": {"cross-zone": 0.01, "late-fail": 0.05, "moves": 0.05, "probe": 0.01},
        "rules": {"answer-slack": 40000000, "ask-within": 10000000000, "cold": 12000000000, "cold-share": 0.4,
                  "drain-grace": 1000000000, "fall": 1000000000, "tip-multiple": 2.5},
        "telemetry": {"fields": ["x0"], "how": "answers"}, "tick": 10000000, "tier": 0, "weights": "none"}


class Rig:
    """The processes, the record and the verdict of one run."""

    def __init__(self, folder):
        self.folder = folder
        self.scratch = tempfile.mkdtemp(prefix="review-")
        self.log = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.processes = []
        self.servers = []

    def record(self, event, **fields):
        line = {"t": round(time.time(), 4), "event": event, **fields}
        self.log.write(json.dumps(line) + "\n")

    async def spawn(self, *command, **options):
        process = await asyncio.create_subprocess_exec(*command, start_new_session=True, **options)
        self.processes.append(process)
        return process

    async def start_directory(self, servers, serial=1):
        directory = Directory(self)
        await directory.start(servers, serial)
        return directory

    async def start_node(self, directory, listed, serial=1, sockets=256, memory_mb=64, change=None, listen=None):
        """Starts one front node with the deploy file's command `run`, and waits until it has passed a test."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        if not os.path.exists(os.path.join(ROOT, "target", "release", "crankpaddle")):
            raise CannotRun("the build of the deploy file is missing")
        instances = [{"instanceId": s["id"], "hostPort": f"{s['ip']}:{s['port']}", "zone": s["zone"],
                      "machineType": s["kind"], "cell": s["cell"], "lifecycle": s["state"], "weight": 1,
                      "startedAtMs": s.get("started", 0)} for s in listed]
        listen = listen or f"127.0.0.1:{free_port()}"
        config = {"name": "n1", "listen": listen, "seed": f"{random.getrandbits(64):016x}",
                  "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                  "nameserver": f"127.0.0.1:{directory.port}",
                  "known": {"seq": serial, "results": [{"seq": serial, "fleet": {"generation": 1, "reset": True,
                                                                                 "instances": instances}}]},
                  "settings": settings()}
        if change:
            change(config)
        path = os.path.join(self.scratch, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        environment = {**os.environ, "NODE_NAME": "n1", "NODE_LISTEN": listen, "NODE_CONFIG": path, "TMPDIR": self.scratch}
        errors = open(os.path.join(self.scratch, "node.log"), "wb")
        process = await self.spawn("/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=asyncio.subprocess.PIPE,
                                   stderr=errors)
        try:
            line = await asyncio.wait_for(process.stdout.readline(), 30)
        except asyncio.TimeoutError as error:
            raise CannotRun("the front node is not ready within 30 s") from error
        match = re.match(rb"listening ([0-9.]+):(\d+)", line)
        if not match:
            raise CannotRun(f"the front node did not start: {line!r}")
        node = Node(process, match.group(1).decode(), int(match.group(2)), path, config)
        self.record("node ready", pid=process.pid, address=f"{node.host}:{node.port}")
        if not await echo(node):
            raise CannotRun("the front node does not pass its first test")
        return node

    async def end_processes(self):
        for process in self.processes:
            if process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        process.send_signal(number)
                    except ProcessLookupError:
                        pass
            if process.stdin:
                process.stdin.close()
            await process.wait()

    def close(self):
        self.log.close()
        shutil.rmtree(self.scratch, ignore_errors=True)


def free_port():
    import socket
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Node:
    def __init__(self, process, host, port, path, config):
        self.process, self.host, self.port, self.path, self.config = process, host, port, path, config


class Directory:
    def __init__(self, rig):
        self.rig, self.port, self.first_answer = rig, None, {}

    async def start(self, servers, serial):
        script = os.path.join(os.path.dirname(__file__), "directory.py")
        self.process = await self.rig.spawn(sys.executable, script, stdin=asyncio.subprocess.PIPE,
                                            stdout=asyncio.subprocess.PIPE)
        line = json.loads(await asyncio.wait_for(self.process.stdout.readline(), 10))
        self.port = line["port"]
        self.tell(servers, serial)
        self.reader = asyncio.create_task(self.read())

    def tell(self, servers, serial):
        listed = [s for s in servers if s["state"] != "gone"]
        self.rig.record("directory has a new list", serial=serial, states={s["id"]: s["state"] for s in servers})
        self.process.stdin.write((json.dumps({"serial": serial, "servers": listed}) + "\n").encode())

    async def read(self):
        while line := await self.process.stdout.readline():
            event = json.loads(line)
            if event["event"] == "answered":
                self.first_answer.setdefault(event["serial"], event["t"])
            self.rig.log.write(json.dumps({"t": round(event["t"], 4), "event": "directory " + event["event"],
                                           **{k: v for k, v in event.items() if k not in ("t", "event")}}) + "\n")


async def read_rtsp(reader):
    """One RTSP message: the first line, the headers in lower case, the body; None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                key, value = line.split(":", 1)
                headers[key.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def rtsp(first, headers, body=b""):
    lines = [first] + [f"{k}: {v}" for k, v in headers.items()] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """A sound server: sets a session up after `delay`, notes its load, and releases the session at its end (cause 16)."""

    def __init__(self, rig, number, zone="east-hall", delay=0.03, session_s=3.0):
        self.rig, self.number, self.delay, self.session_s = rig, number, delay, session_s
        self.id = f"s-{number:08x}"
        self.entry = {"id": self.id, "ip": "127.0.0.1", "port": 0, "zone": zone, "kind": "std-3core",
                      "cell": (number - 1) % 6, "state": "ready", "started": 0}
        self.connections, self.sessions, self.set_ups, self.tasks = [], {}, [], set()
        self.held = {}  # From the arrival of a set-up to its refusal, or to the end or release of its session.
        rig.servers.append(self)

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.entry["port"] = self.listener.sockets[0].getsockname()[1]
        self.task(self.note_load())

    def task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def no_longer_held(self, tag):
        if tag in self.held and self.held[tag][3] is None:
            self.held[tag][3] = time.time()

    def load(self):
        return f"{min(1.0, 0.05 * len(self.sessions)):.2f}"

    def send(self, writer, data):
        if writer not in self.connections:
            if not self.connections:
                return False
            writer = self.connections[-1]
        writer.write(data)
        return True

    async def serve(self, reader, writer):
        self.connections.append(writer)
        open_set_ups = {}
        try:
            while message := await read_rtsp(reader):
                await self.handle(writer, open_set_ups, *message)
        except asyncio.CancelledError:
            return  # The run is over.
        for tag, task in open_set_ups.items():
            task.cancel()
            self.no_longer_held(tag)
        self.connections.remove(writer)
        writer.close()

    async def handle(self, writer, open_set_ups, first, headers, body):
        method, tag = first.split(" ", 1)[0], headers.get("session")
        if method == "SETUP":
            self.set_ups.append((time.time(), tag))
            self.held[tag] = [headers.get("subject"), first.split(" ")[1], time.time(), None]
            self.rig.record("server got a set-up", server=self.id, id=tag, **{"class": headers.get("subject")},
                            patience_ms=headers.get("x-patience"))
            open_set_ups[tag] = self.task(self.set_up(writer, open_set_ups, tag, body))
        elif method == "TEARDOWN":
            if task := open_set_ups.pop(tag, None):
                task.cancel()
            was_standing = self.sessions.pop(tag, None)
            self.no_longer_held(tag)
            self.rig.record("server got a release", server=self.id, id=tag, reason=headers.get("reason"),
                            was_standing=was_standing is not None)
            self.send(writer, rtsp("RTSP/1.0 200 OK", {"CSeq": headers.get("cseq", 2), "Session": tag}))
        elif method == "OPTIONS":
            self.send(writer, rtsp("RTSP/1.0 200 OK", {"CSeq": headers.get("cseq", 3), "Session": tag or "0" * 16,
                                                       "X-State": f"x0:{self.load()}"}))

    async def set_up(self, writer, open_set_ups, tag, body):
        await asyncio.sleep(self.delay)
        open_set_ups.pop(tag, None)
        self.sessions[tag] = writer
        description = b"made by " + self.id.encode() + b" for " + body
        self.rig.record("server answered 200", server=self.id, id=tag)
        self.send(writer, rtsp("RTSP/1.0 200 OK", {"CSeq": 1, "Session": tag, "X-State": f"x0:{self.load()}"}, description))
        self.task(self.end_later(writer, tag))

    async def end_later(self, writer, tag):
        await asyncio.sleep(self.session_s)
        if self.sessions.pop(tag, None) is not None:
            self.no_longer_held(tag)
            self.rig.record("server released a session", server=self.id, id=tag, cause=16)
            self.send(writer, rtsp(f"TEARDOWN rtsp://media/{tag} RTSP/1.0",
                                   {"CSeq": 2, "Session": tag, "Reason": "cause=16", "X-State": f"x0:{self.load()}"}))

    async def note_load(self):
        while True:
            await asyncio.sleep(4)
            for tag, writer in list(self.sessions.items())[:1]:
                self.send(writer, rtsp(f"ANNOUNCE rtsp://media/{tag} RTSP/1.0",
                                       {"CSeq": 9, "Session": tag, "X-Note": "link_use", "Figure": self.load()}))


class Request:
    """What a viewer asked for and what it was answered."""

    def __init__(self, tag, kind, left):
        self.tag, self.kind, self.left = tag, kind, left
        self.sent_at = self.closed_at = None
        self.answers, self.releases, self.viewer = [], [], None

    def message(self, cell, title, top, again):
        self.viewer = again.viewer if again else f"{random.getrandbits(64):016x}"
        extras = f"home:{cell};copies:3;top:{top};viewer:{self.viewer}{';again:1' if again else ''}"
        return json.dumps({"verb": "START", "tag": self.tag, "blob": f"offer {self.tag}\r\n",
                           "opts": {"class": self.kind, "left": str(self.left), "key": f"{title:016x}",
                                    "extras": extras}}).encode() + b"\n"


class Viewers:
    """Viewers of one platform: each request is sent on the connection that it names, and every line read is recorded."""

    def __init__(self, rig, node):
        self.rig, self.node, self.requests, self.count, self.tasks = rig, node, {}, 0, set()

    async def connect(self):
        connection = Connection(self)
        await connection.open()
        return connection

    def request(self, kind, left):
        self.count += 1
        request = Request(f"{random.getrandbits(64):016x}", kind, left)
        self.requests[request.tag] = request
        return request

    async def ask(self, connection, kind="preview", left=None, cell=None, top=4, again=None):
        left = left or (4000 if kind == "licensed-view" else 5000)
        request = self.request(kind, left)
        cell = random.randrange(6) if cell is None else cell
        connection.requests.add(request)
        await connection.send(request.message(cell, 0x7f3a9c21e0b40000 + cell, top, again))
        request.sent_at = time.time()
        self.rig.record("viewer asked", id=request.tag, left_ms=left, connection=connection.number, **{"class": kind})
        return request

    async def ask_alone(self, kind="preview", left=None, cell=None, top=4, again=None):
        """Asks on a new connection, as a viewer of its own."""
        return await self.ask(await self.connect(), kind, left, cell, top, again)


class Connection:
    numbers = 0

    def __init__(self, viewers):
        self.viewers, self.requests = viewers, set()
        Connection.numbers += 1
        self.number = Connection.numbers

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.viewers.node.host, self.viewers.node.port), 5)
        task = asyncio.create_task(self.read())
        self.viewers.tasks.add(task)

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def read(self):
        rig, viewers = self.viewers.rig, self.viewers
        try:
            while line := await self.reader.readline():
                now = time.time()
                message = json.loads(line)
                rig.record("viewer was sent", connection=self.number, message=message)
                request = viewers.requests.get(message.get("tag"))
                if request is None or message["verb"] in ("FINISHED", "ECHOED", "PENDING"):
                    continue
                started = any(m["verb"] == "STARTED" for _, m in request.answers)
                if started and message["verb"] in ("FINISH", "MOVE"):
                    request.releases.append((now, message))
                else:
                    request.answers.append((now, message))
        except (ConnectionError, ValueError) as error:
            rig.record("viewer's connection failed", connection=self.number, reason=repr(error))
        self.ended_at = time.time()
        for request in self.requests:
            request.closed_at = self.ended_at
        rig.record("viewer's connection ended", connection=self.number)


async def echo(node, timeout=3.0):
    """The platform's test of a front node; true if it passes."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(node.host, node.port), timeout)
        writer.write(b'{"verb":"ECHO","tag":"00000000000000ec","opts":{},"rc":0}\n')
        line = await asyncio.wait_for(reader.readline(), timeout)
        writer.close()
        return b'"ECHOED"' in line and json.loads(line).get("rc") == 1
    except (OSError, asyncio.TimeoutError):
        return False


def run(folder, case, limit=110):
    """Runs `case(rig)`, which returns a list of breaches, and exits with 1, 0 or 2."""
    rig = Rig(folder)

    async def bounded():
        try:
            return await asyncio.wait_for(case(rig), limit)
        finally:
            await rig.end_processes()

    code = 2
    try:
        breaches = asyncio.run(bounded())
        for breach in breaches:
            rig.record("BREACH", text=breach)
        code = 1 if breaches else 0
        print(f"{'rule broken' if code else 'rule held'}: {len(breaches)} breaches; {breaches[0] if breaches else ''}")
    except CannotRun as error:
        print(f"could not run: {error}")
    except (OSError, asyncio.TimeoutError, KeyError, ValueError) as error:
        print(f"could not run: {error!r}")
    rig.record("verdict", exit=code, trouble=TROUBLE)
    rig.close()
    sys.exit(code)
