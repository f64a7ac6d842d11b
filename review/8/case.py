"""The link between a forwarder and its planner is partitioned while a keyed op runs; the op comes again."""
import asyncio
import time

import peers
from peers import TROUBLE, Client, Path, Program, Registry, Runtime

WINDOW_MS = 5000


async def case(record, folder, programs):
    async def work(run):
        await asyncio.sleep(0.8 if run.method == "close-out" else 0.05)
        return b"result of " + run.body

    runtime, registry = Runtime(record, work), Registry(record)
    planner_port, port, unused = peers.free_port(), peers.free_port(), peers.free_port()
    path = Path(record, planner_port)
    for one in (runtime, registry, path):
        await one.listen()
    site = peers.settings([("avail-read", "retryable", 1300, 3300, 0), ("close-out", "dedup", 2200, 5400, WINDOW_MS)])
    results = "results\n    enabled   on\n    memory    8M\n"
    programs.append(Program(record, folder, "planner", "plan",
                            peers.config("p1", planner_port, runtime.port, registry.port, unused, site), results))
    programs.append(Program(record, folder, "forwarder", "forward",
                            peers.config("f1", port, runtime.port, registry.port, unused, site),
                            results + f"forward\n    planners  127.0.0.1:{path.port}\n"))
    await peers.wait_healthy(record, port)
    client = await Client(record, "edge node", 1).connect(port)
    began = time.time()
    first = asyncio.create_task(client.ask("close-out", b"op 1", 5400, "first try", key="key-1"))
    await asyncio.sleep(0.3)
    if TROUBLE:
        path.hold(True)
    answers = [await first]
    await asyncio.sleep(0.2)
    # The first try has failed, or its answer was lost on the way to the client: it asks again.
    answers.append(await client.ask("close-out", b"op 1", 1500, "second try", key="key-1"))
    if TROUBLE:
        path.hold(False)
    await asyncio.sleep(0.8)
    await peers.wait_healthy(record, port)
    if time.time() - began < WINDOW_MS / 1000 - 0.2:
        answers.append(await client.ask("close-out", b"op 1", 1500, "third try", key="key-1"))
    runs = [s for s in runtime.starts if s[3] == b"op 1"]
    record("case", f"{len(runs)} runs, answers {[a[0] for a in answers]}")
    if not runs:
        raise peers.CannotRun("the op was not run")
    refused = [i + 1 for i, answer in enumerate(answers) if answer[0] == "refused"]
    return [f"op 1 ran {(runs[0][0] - peers.BEGAN):.2f} s after the start of the case, and its try {i}, sent later, was"
            " refused" for i in refused]


peers.main(case)
