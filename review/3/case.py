"""The directory stands still for 3 s. Some time later a server drains: does its new work end in time?"""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from rig import TROUBLE, CannotRun, Server, Viewers, run  # noqa: E402

SILENCE_S = 3.0  # "for 3 s none may arrive at all"
QUIET_S = 20.0  # From the end of the silence to the drain; the directory answers each query at once.
GRACE_S = 1.0 + 0.05  # rules.drain-grace of the settings; "every time limit is 50 ms longer".
TOLD_AT_THE_LATEST_S = 1.5  # "at the latest 1.5 s after it happened"


async def ask_steadily(viewers, rate, until):
    number = 0
    while time.time() < until():
        number += 1
        await viewers.ask_alone("licensed-view" if number % 3 == 0 else "preview")
        await asyncio.sleep(1 / rate)


async def case(rig):
    servers = [Server(rig, number, session_s=1.5) for number in range(1, 7)]
    for server in servers:
        await server.start()
    listed = [server.entry for server in servers]
    directory = await rig.start_directory(listed)
    node = await rig.start_node(directory, listed)
    viewers = Viewers(rig, node)
    end = [time.time() + 1e6]
    asking = asyncio.create_task(ask_steadily(viewers, 16, lambda: end[0]))
    await asyncio.sleep(3)
    if TROUBLE:
        rig.record("trouble begins: the directory is stopped")
        directory.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(SILENCE_S)
        directory.process.send_signal(signal.SIGCONT)
        rig.record("trouble ends: the directory goes on")
    await asyncio.sleep(QUIET_S)
    draining = servers[0]
    draining.entry["state"] = "draining"
    happened_at = time.time()
    directory.tell(listed, 2)
    await asyncio.sleep(8)
    end[0] = 0
    await asking
    await asyncio.sleep(0.5)
    told_at = directory.first_answer.get(2)
    if told_at is None:
        raise CannotRun("the front node has not asked the directory since the drain")
    rig.record("the front node was told", seconds_after_the_drain=round(told_at - happened_at, 3))
    limit = min(told_at, happened_at + TOLD_AT_THE_LATEST_S) + GRACE_S
    before = [at for at, _ in draining.set_ups if at < happened_at]
    if not before:
        raise CannotRun("the server got no set-up before it drained")
    late = [at for at, _ in draining.set_ups if at > limit]
    after_latest = [at for at in late if at > happened_at + TOLD_AT_THE_LATEST_S + GRACE_S]
    rig.record("set-ups after the limit", count=len(late), last_s_after_told=round(max(late, default=told_at) - told_at, 3),
               count_if_told_only_at_the_latest=len(after_latest))
    return [f"{draining.id} got a set-up {at - told_at:.2f} s after the answer that told of its drain" for at in late]


run(os.path.dirname(os.path.abspath(__file__)), case)
