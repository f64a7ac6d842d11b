"""A repeat waits at the planner for the running first try of its op; the link to the planner breaks and comes back."""
import asyncio
import time

import peers
from peers import TROUBLE, Client, Path, Program, Registry, Runtime

WINDOW_MS = 5000


async def case(record, folder, programs):
    async def work(run):
        await asyncio.sleep(2.6 if run.method == "close-out" else 0.05)
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
    # The first try's wait ends before its run does; the op runs on, and its repeat waits for the result.
    answers = [await client.ask("close-out", b"op 1", 600, "first try", key="key-1")]
    second = asyncio.create_task(client.ask("close-out", b"op 1", 4000, "second try", key="key-1"))
    await asyncio.sleep(0.3)
    if TROUBLE:
        path.hold(True)
    await asyncio.sleep(1.3)
    if TROUBLE:
        path.hold(False)
    answers.append(await second)
    await asyncio.sleep(max(0.0, began + 3.4 - time.time()))
    answers.append(await client.ask("close-out", b"op 1", 4000, "third try", key="key-1"))
    runs = [s for s in runtime.starts if s[3] == b"op 1"]
    record("case", f"{len(runs)} runs, answers {[a[0] for a in answers]}")
    if not runs:
        raise peers.CannotRun("the op was not run")
    refused = [i + 1 for i, answer in enumerate(answers) if answer[0] == "refused"]
    return [f"op 1 ran {(runs[0][0] - peers.BEGAN):.2f} s after the start of the case, and its try {i}, sent later, was"
            " refused" for i in refused]


peers.main(case)
