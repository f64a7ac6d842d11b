"""The back end, reached by AJP, sends one reply with a second copy of it behind."""
import asyncio

import peers
from peers import TROUBLE, Client, Program, Registry, Runtime

REQUESTS = 24


def text(value):
    return len(value).to_bytes(2, "big") + value + b"\0"


def packet(payload):
    return b"AB" + len(payload).to_bytes(2, "big") + payload


class AjpBackEnd:
    """An AJP 1.3 server: one request at a time on a connection, 50 ms each; its reply names the call."""

    def __init__(self, record):
        self.record, self.port, self.calls, self.copies = record, peers.free_port(), 0, 0

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def read(self, reader):
        head = await reader.readexactly(4)
        return await reader.readexactly(int.from_bytes(head[2:], "big"))

    async def serve(self, reader, writer):
        try:
            while True:
                payload = await self.read(reader)
                if payload == b"\x0a":
                    writer.write(packet(b"\x09"))
                    continue
                body = (await self.read(reader))[2:]
                self.calls += 1
                # Now and then a reply brings a second copy: here one of the 24.
                second = TROUBLE and self.calls == 4
                reply = b"reply to " + body
                self.record("back end", f"call {body!r}")
                await asyncio.sleep(0.05)
                answer = (packet(b"\x04" + (200).to_bytes(2, "big") + text(b"OK") + b"\0\0")
                          + packet(b"\x03" + text(reply)) + packet(b"\x05\x01"))
                self.copies += second
                self.record("back end", f"reply {reply!r}{' and a second copy' if second else ''}")
                writer.write(answer * (2 if second else 1))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def case(record, folder, programs):
    wrong = []

    async def work(run):
        await asyncio.sleep(0.02)
        asked = b"call of " + run.body
        reply = await run.call(asked)
        if reply is not None and reply != b"reply to " + asked:
            wrong.append(f"the call {asked!r} was given {reply!r}")
        await asyncio.sleep(0.02)
        return None if reply is None else b"result of " + run.body + b": " + reply

    runtime, registry, back_end = Runtime(record, work), Registry(record), AjpBackEnd(record)
    for one in (runtime, registry, back_end):
        await one.listen()
    site = peers.settings([("avail-read", "retryable", 1300, 3300, 0)], below="shared",
                          **{"dep-share": 2, "calls-over": 5000, "linger": 200, "calls-by-class": [True],
                             "worth-without": [0]})
    port = peers.free_port()
    operator = f"ajp\n    below       127.0.0.1:{back_end.port}\n    below-path  /ledger/call\n"
    programs.append(Program(record, folder, "server", "serve",
                            peers.config("n1", port, runtime.port, registry.port, back_end.port, site), operator))
    await peers.wait_healthy(record, port)
    client = await Client(record, "edge node", 1).connect(port)
    answers = await asyncio.gather(*[client.ask("avail-read", b"op %d" % i, 3300, f"op {i}") for i in range(REQUESTS)])
    served = [a for a in answers if a[0] == "served"]
    for i, answer in enumerate(answers):
        expected = b"result of op %d: reply to call of op %d" % (i, i)
        if answer[0] == "served" and answer[1] != expected:
            wrong.append(f"op {i} was answered {answer[1]!r}")
    record("case", f"{len(served)} of {REQUESTS} served, {back_end.calls} calls, {back_end.copies} second copies")
    if not served:
        raise peers.CannotRun("nothing was served")
    return wrong


peers.main(case)
