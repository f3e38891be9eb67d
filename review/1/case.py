"""A store machine whose registration the platform carried out late stays unregistered for good; two
losses of a disk, each borne and long apart, then lose every batch job."""

import asyncio
import os
import time

from standins import run_case

FOLDER = os.path.dirname(os.path.abspath(__file__))
CATCH_UP_S = 4.6
CONTACT_S = 3.0
RECOVER_S = 12.0
# Between two disruptions: the store is stable again and the machine has caught up, with some seconds more.
APART_S = CATCH_UP_S + CONTACT_S + 3.0


async def lose_disk(store):
    await store.kill()
    store.wipe()
    await asyncio.sleep(1.5)
    await store.start()


async def case(deployment, trouble):
    first, second, third = deployment.stores
    front = deployment.fronts[0]
    say = deployment.record.say

    # The system serves.
    warm = "aa0000000000000a"
    await deployment.until("a first batch job is accepted", 10, lambda: accepted(deployment, front, warm))
    await deployment.until("its results are read", 15, lambda: complete(deployment, front, warm))

    # A store process is killed and starts again; the platform loses the answer to one write and does it
    # 1.5 s later, when the process has repeated it with success.
    if trouble != "0":
        say("disruption: node_kill on a store, with one answer of the platform's store lost (late)")
        await third.kill()
        await asyncio.sleep(1.0)
        if trouble != "disks":
            deployment.store.lose_next_put(f"ladderstage/node/{third.name}", 1.5)
        await third.start()
    await asyncio.sleep(APART_S + 3.0)

    # One store machine loses its disk and comes back empty: borne (tolerate.machines = 1).
    if trouble != "0":
        say("disruption: the first loss of a disk")
        await lose_disk(first)
    await asyncio.sleep(APART_S)

    # A job is accepted; then another store machine loses its disk, the first one long since back.
    job = "bb0000000000000b"
    await deployment.until("the job is accepted", 10, lambda: accepted(deployment, front, job))
    if trouble != "0":
        say("disruption: the second loss of a disk")
        await lose_disk(second)
    back_at = time.monotonic()

    # After recover_s, and as long again as finish_s and more, the job has to be readable at some front.
    await asyncio.sleep(RECOVER_S)
    answers = []
    while time.monotonic() < back_at + RECOVER_S + 20.0:
        for reader in deployment.fronts:
            status, found = await deployment.read(reader, job)
            answers.append(status)
            if status == 200 and len(found["results"]) == found["total_count"]:
                return None
        await asyncio.sleep(0.5)
    if 200 in answers:
        return f"LOST: batch job {job} was accepted and never got its results"
    return (f"LOST: batch job {job} was accepted with 202 and can't be read at any front from {RECOVER_S:.0f} s to "
            f"{RECOVER_S + 20:.0f} s after all machines were back: {len(answers)} reads, answers {sorted(set(answers))}")


async def accepted(deployment, front, job):
    return await deployment.submit(front, job) == 202


async def complete(deployment, front, job):
    status, found = await deployment.read(front, job, wait_ms=500)
    return status == 200 and len(found["results"]) == found["total_count"]


run_case(case, FOLDER, fronts=2, stores=3, samplers=3)
