"""A batch job whose log is longer than one message between the processes: after a kill of its owner
nobody can take it over, and no empty disk can be filled again (TROUBLE=disks)."""

import asyncio
import os
import time

from standins import CannotRun, run_case

FOLDER = os.path.dirname(os.path.abspath(__file__))
CATCH_UP_S = 4.6
CONTACT_S = 3.0
RECOVER_S = 12.0
# Between two disruptions: the store is stable again and the machine has caught up, with some seconds more.
APART_S = CATCH_UP_S + CONTACT_S + 3.0
# The samples of a step (letter 1), and the events of a text, of 256 bytes for 58 tokens.
GROUPS, SIZE = 128, 8
EVENTS = 104


async def case(deployment, trouble):
    owner, other = deployment.fronts
    first, second, _ = deployment.stores
    say = deployment.record.say
    events = 4 if trouble.startswith("small") else EVENTS

    # A trainer's step is accepted, run, listed and read.
    job = "cc0000000000000c"
    if not await accepted(deployment, owner, job, [[events] * SIZE] * GROUPS):
        raise CannotRun("the batch job was not accepted")
    held = []

    async def all_listed():
        while True:
            status, found = await deployment.read(owner, job, after=len(held), wait_ms=500)
            if status != 200 or not found["results"]:
                return False
            held.extend(result["id"] for result in found["results"])
            if len(held) == found["total_count"]:
                return True
    await deployment.until("all items are listed", 60, all_listed)

    if trouble in ("1", "small"):
        say("disruption: node_kill of the front that took the job")
        await owner.kill()
        await asyncio.sleep(1.0)
        await owner.start()
    if trouble.endswith("disks"):
        # Two store machines lose their disks, one after the other; between them a small job is accepted.
        say("disruption: the first loss of a disk")
        await lose_disk(first)
        await asyncio.sleep(APART_S)
        job = "bb0000000000000b"
        await deployment.until("a small job is accepted", 10, lambda: accepted(deployment, other, job, [[3, 3]] * 4))
        say("disruption: the second loss of a disk")
        await lose_disk(second)
    back_at = time.monotonic()

    # After recover_s, and as long again as finish_s and more, the job has to be readable at some front.
    await asyncio.sleep(RECOVER_S)
    answers = []
    while time.monotonic() < back_at + RECOVER_S + 20.0:
        for reader in (owner, other):
            status, found = await deployment.read(reader, job)
            answers.append(status)
            if status == 200 and found["results"]:
                return None
        await asyncio.sleep(0.5)
    return (f"LOST: batch job {job} was accepted with 202 and can't be read at any front from {RECOVER_S:.0f} s to "
            f"{RECOVER_S + 20:.0f} s after all processes were back: {len(answers)} reads, answers {sorted(set(answers))}")


async def lose_disk(store):
    await store.kill()
    store.wipe()
    await asyncio.sleep(1.5)
    await store.start()


async def accepted(deployment, front, job, events):
    return await deployment.submit(front, job, events) == 202


run_case(case, FOLDER, fronts=2, stores=3, samplers=3, event_s=0.005, event_bytes=256)
