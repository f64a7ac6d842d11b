"""Stand-ins for one review case: platform settings, runtime, dependency, registry and JSON-RPC clients.

Standard library only. Every address is in 127.0.0.0/8. All that happens goes into record.txt.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(sys.argv[0]))
ROOT = os.path.dirname(os.path.dirname(HERE))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGAN = time.time()


class CannotRun(Exception):
    """The case could not be set up: exit status 2."""


class Record:
    def __init__(self, path):
        self.out = open(path, "w", encoding="utf-8")

    def __call__(self, who, text):
        line = f"{time.time() - BEGAN:9.4f} {who:<12} {text}"
        self.out.write(line + "\n")
        self.out.flush()
        if who in ("verdict", "case"):
            print(line, flush=True)


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def settings(classes, **info):
    """The settings object of a small server; classes: (name, semantics, target ms, give-up ms, window ms)."""
    family = {"cores": 4, "memory-kb": 100000, "run-factor": 4, "callers": 2, "caller-idle": 30000,
              "halt": "off", "deep-checks": False, "list-follows": True, "below": "off",
              "passes-deadline": True, "key-kb": 20, "fresh": 0, "cold": False,
              "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"]}
    family.update(info)
    return {"servers": 1, "resolution": 4, "hints": "none",
            "request-classes": [{"name": n, "semantics": s, "target": t, "give-up": g, "window": w, "worth": 1,
                                 "late-worth": 0} for n, s, t, g, w in classes],
            "family": "server", "family-info": family,
            "rules": {"fall-multiple": 8, "fall": 1500, "cold": 17000, "cold-from": 0.2, "stop-sending-within": 2500,
                      "answer-slack": 60},
            "allowed": {"retry-after": True, "max-retry-after": 1000}}


class Lines:
    """Lines that end in CR LF, some with a payload, as the runtime's protocol has them."""

    def __init__(self, reader):
        self.reader = reader

    async def line(self):
        text = await self.reader.readuntil(b"\r\n")
        return text[:-2].decode("latin-1").split(" ")

    async def payload(self, size):
        body = await self.reader.readexactly(size + 2)
        return body[:-2]


class Runtime:
    """A sound runtime. `work(run)` is a coroutine that gives a run's result; it may use run.call(body)."""

    class Run:
        def __init__(self, runtime, ident, method, body):
            self.runtime, self.ident, self.method, self.body = runtime, ident, method, body
            self.reply = None
            self.over = False

        async def call(self, body):
            self.reply = asyncio.get_running_loop().create_future()
            self.runtime.notice(lambda n: f"wants {n} {self.ident} {len(body)}\r\n".encode() + body + b"\r\n",
                                f"wants {self.ident} {body!r}")
            return await self.reply

    def __init__(self, record, work, name="runtime"):
        self.record, self.work, self.name = record, work, name
        self.port = free_port()
        self.notices, self.runs, self.writer = [], {}, None
        self.starts = []  # (time, id, method, body)
        self.links = set()
        self.began = time.time() - 60  # it has been up for a minute
        self.state = "hot"

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def restart(self):
        """Killed and started anew: runs and notices are gone."""
        self.record(self.name, "killed with its server, and started again")
        for run in self.runs.values():
            run.task.cancel()
        self.notices, self.runs, self.began = [], {}, time.time()
        self.state = "chilly"
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    def send(self, data):
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(data)

    def notice(self, make, text):
        data = make(len(self.notices) + 1)
        self.notices.append(data)
        self.record(self.name, text)
        self.send(data)

    async def serve(self, reader, writer):
        if self.writer is not None:
            self.writer.close()
        self.writer = writer
        self.links.add(writer)
        lines = Lines(reader)
        try:
            while True:
                words = await lines.line()
                await self.command(words, lines)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
            if self.writer is writer:
                self.writer = None

    async def command(self, words, lines):
        verb = words[0]
        if verb == "sync":
            self.send(f"ready {self.state} {(time.time() - self.began) * 1000:.1f}\r\n".encode())
            for data in self.notices[int(words[1]):]:
                self.send(data)
        elif verb == "gauges":
            busy = sum(1 for r in self.runs.values() if not r.over)
            self.send(f"load {words[1]} {min(1.0, busy / 4):.2f} {busy} 0.10 4\r\n".encode())
        elif verb == "selftest":
            self.send(f"verdict {words[1]} complete\r\n".encode())
        elif verb == "start":
            body = await lines.payload(int(words[3]))
            self.start(words[1], words[2], body)
        elif verb == "give":
            body = await lines.payload(int(words[2]))
            run = self.runs.get(words[1])
            self.record(self.name, f"give {words[1]} {body!r}")
            if run and run.reply and not run.reply.done():
                run.reply.set_result(body)
        elif verb == "omit":
            run = self.runs.get(words[1])
            self.record(self.name, f"omit {words[1]}")
            if run and run.reply and not run.reply.done():
                run.reply.set_result(None)
        else:
            self.record(self.name, " ".join(words))

    def start(self, ident, method, body):
        if ident in self.runs:
            return
        self.starts.append((time.time(), ident, method, body))
        self.record(self.name, f"start {ident} {method} {body!r}")
        run = self.runs[ident] = Runtime.Run(self, ident, method, body)
        run.task = asyncio.get_running_loop().create_task(self.finish(run, time.time()))

    async def finish(self, run, began):
        result = await self.work(run)
        run.over = True
        ms = (time.time() - began) * 1000
        if result is None:
            self.notice(lambda n: f"end {n} {run.ident} error {ms:.1f}\r\n".encode(), f"end {run.ident} error")
        else:
            self.notice(lambda n: f"end {n} {run.ident} complete {ms:.1f} {len(result)}\r\n".encode() + result
                        + b"\r\n", f"end {run.ident} complete {result!r}")


class Registry:
    def __init__(self, record):
        self.record, self.port, self.seen = record, free_port(socket.SOCK_DGRAM), None

    async def listen(self):
        owner = self

        class Protocol(asyncio.DatagramProtocol):
            def datagram_received(self, data, addr):
                if data != owner.seen:
                    owner.seen = data
                    owner.record("registry", data.decode("latin-1"))

        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            Protocol, local_addr=("127.0.0.1", self.port))


class Path:
    """The network between two processes; `held` is a partition: no byte and no connection passes."""

    def __init__(self, record, to):
        self.record, self.to, self.port = record, to, free_port()
        self.free = None

    async def listen(self):
        self.free = asyncio.Event()
        self.free.set()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def hold(self, held):
        self.record("network", "partitioned" if held else "whole again")
        self.free.clear() if held else self.free.set()

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.free.wait()
                if not data:
                    break
                writer.write(data)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        await self.free.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.to)
        except OSError:
            return writer.close()
        await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))


class Client:
    """An edge node's connection: requests with numbers from 1 up, answers in any order."""

    def __init__(self, record, name, node):
        self.record, self.name, self.node = record, name, node
        self.next, self.waiting, self.drained = 1, {}, False

    async def connect(self, port, host="127.0.0.1"):
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.task = asyncio.get_running_loop().create_task(self.read())
        return self

    async def read(self):
        try:
            while True:
                head = await self.reader.readuntil(b"\r\n\r\n")
                size = int(head.split(b":")[1])
                message = json.loads(await self.reader.readexactly(size))
                if message.get("method") == "noMore":
                    self.drained = True
                    self.record(self.name, "noMore")
                    continue
                future = self.waiting.get(message.get("id"))
                if future is None or future.done():
                    self.record(self.name, f"answer to no open request: {message}")
                else:
                    future.set_result(message)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        for future in self.waiting.values():
            if not future.done():
                future.set_result(None)

    def send(self, method, params):
        number, self.next = self.next, self.next + 1
        future = self.waiting[number] = asyncio.get_running_loop().create_future()
        text = json.dumps({"jsonrpc": "2.0", "id": number, "method": method, "params": params}).encode()
        self.writer.write(b"Content-Length: %d\r\n\r\n" % len(text) + text)
        return future

    async def ask(self, method, body, limit_ms, label, **more):
        """Sends one try; returns ('served', body), ('refused', later), ('failed', code) or ('none', None)."""
        txn = os.urandom(8).hex()
        params = {"txn": txn, "door": int(time.time() * 1000), "lb": self.node, "limit": limit_ms, "ram": 20.0,
                  "standing": 0.5, "arg": base64.b64encode(body).decode()}
        params.update(more)
        self.record(self.name, f"{label}: sent {method} txn {txn} {body!r} {more} limit {limit_ms}")
        began = time.time()
        future = self.send(method, params)
        try:
            message = await asyncio.wait_for(asyncio.shield(future), limit_ms / 1000 + 2)
        except asyncio.TimeoutError:
            message = None
        took = (time.time() - began) * 1000
        if message is None:
            answer = ("none", None)
        elif "result" in message:
            answer = ("served", base64.b64decode(message["result"].get("arg", "")))
        elif message["error"]["code"] == -32001:
            answer = ("refused", message["error"].get("data", {}).get("later"))
        else:
            answer = ("failed", message["error"]["code"])
        self.record(self.name, f"{label}: {answer[0]} {answer[1]!r} after {took:.0f} ms")
        return answer

    async def healthy(self):
        future = self.send("health", {"probe": False})
        message = await asyncio.wait_for(asyncio.shield(future), 3)
        return bool(message and message.get("result", {}).get("pass"))


class Program:
    """One of the project's own programs, started as the deploy file starts it."""

    def __init__(self, record, folder, name, command, config, operator=None):
        self.record, self.name = record, name
        binary = os.path.join(ROOT, "build", "damsonspoke")
        if not os.access(binary, os.X_OK):
            raise CannotRun("build/damsonspoke is missing: run the build of deploy/balancer.toml first")
        self.config_path = os.path.join(folder, name + ".json")
        with open(self.config_path, "w", encoding="utf-8") as out:
            json.dump(config, out)
        env = dict(os.environ, PROXY_CONFIG=self.config_path, PROXY_NAME=config["name"], PROXY_LISTEN=config["listen"])
        env.pop("DAMSONSPOKE_OPERATOR", None)
        if operator is not None:
            path = os.path.join(folder, name + ".conf")
            with open(path, "w", encoding="utf-8") as out:
                out.write(operator)
            env["DAMSONSPOKE_OPERATOR"] = path
        self.log = open(os.path.join(folder, name + ".log"), "w+", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", f"exec build/damsonspoke {command}"], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=subprocess.STDOUT)
        record(name, f"started: damsonspoke {command}, process {self.process.pid}")

    def signal(self, number):
        self.record(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.seek(0)
        for line in self.log.read().splitlines()[:400]:
            self.record.out.write(f"          {self.name:<12} log: {line}\n")
        self.log.close()


def config(name, port, runtime, registry, backend, site, stop_ms=3200):
    return {"name": name, "listen": f"127.0.0.1:{port}", "runtime": f"127.0.0.1:{runtime}",
            "roster": f"127.0.0.1:{registry}", "backend": f"127.0.0.1:{backend}", "seed": os.urandom(8).hex(),
            "stop_ms": stop_ms, "limits": {"cores": 1, "memory_mb": 192, "sockets": 512}, "settings": site}


async def wait_healthy(record, port, seconds=10):
    end = time.time() + seconds
    while time.time() < end:
        try:
            client = await Client(record, "check", 99).connect(port)
            good = await client.healthy()
            client.writer.close()
            if good:
                return
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.1)
    raise CannotRun("the server did not become healthy")


def main(case):
    """Runs `case(record, folder, programs)`, a coroutine that returns the broken rules, and exits."""
    record = Record(os.path.join(HERE, "record.txt"))
    record("case", f"TROUBLE={'1' if TROUBLE else '0'}")
    folder = tempfile.mkdtemp(prefix="damsonspoke-review-")
    programs = []

    async def run():
        try:
            return await asyncio.wait_for(case(record, folder, programs), 100)
        finally:
            for program in programs:
                program.end()

    status = 2
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    try:
        broken = loop.run_until_complete(run())
        status = 1 if broken else 0
        for text in broken:
            record("verdict", "BROKEN: " + text)
        if not broken:
            record("verdict", "the rule held")
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record("verdict", f"the case could not run: {error!r}")
    finally:
        shutil.rmtree(folder, ignore_errors=True)
        record("case", f"exit {status}")
        sys.stdout.flush()
        os._exit(status)
