"""An instance freezes while a task waits there for a better worker, and starts the task
when it wakes, although another instance has given that run up and runs the task again."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import bench3  # noqa: E402

# Two of these don't fit on a worker of 64 cores.
CPU = 40_000
RUN_MS = 2_000
FREEZE_S = 4.0
JOB = "00000000000000c1"


async def scenario(d):
    await d.start(
        ["za", "zb"],
        [("i-a1", "za", 64_000), ("i-b1", "zb", 64_000), ("i-b2", "zb", 64_000)],
        {"timeout_ms": 10_000, "target_latency_ms": 60},
        {"far_factor": 3},
    )
    front, owner = d.instances
    near = "rack-i-b1"
    # The worker of the rack `near` is busy until 2.0 s, that of zone a until 3.0 s.
    first = asyncio.create_task(d.submit(owner, "00000000000000b1", CPU, RUN_MS, affinity=near))
    await asyncio.sleep(1.0)
    second = asyncio.create_task(d.submit(front, "00000000000000a1", CPU, RUN_MS))
    await asyncio.sleep(0.4)
    # The data of this job is in the rack `near`, so its task waits there for 0.6 s.
    third = asyncio.create_task(d.submit(front, JOB, CPU, RUN_MS, affinity=near))
    await asyncio.sleep(0.2)
    if any(key[0].startswith(JOB) for _, key, _ in d.judge.starts):
        d.record.note("the task did not wait")
        return False
    if bench3.TROUBLE:
        owner.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        owner.signal(signal.SIGCONT)
    await asyncio.gather(first, second, third)
    await asyncio.sleep(1)
    return any(key[0].startswith(JOB) for _, key, _ in d.judge.starts)


bench3.play(scenario, FOLDER)
