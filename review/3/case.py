"""A read of a batch job at a front that isn't its owner answers with the results of later positions,
when the front's cache lets go of the job while the owner's answer is under way."""

import asyncio
import os
import signal

from standins import CannotRun, run_case

FOLDER = os.path.dirname(os.path.abspath(__file__))
CACHE_BYTES = 16 * 1024 * 1024


async def case(deployment, trouble):
    reader, owner, other = deployment.fronts
    say = deployment.record.say

    # A step whose first group is done at once and whose second one takes some seconds.
    job = "dd0000000000000d"
    await deployment.until("the job is accepted", 10, lambda: accepted(deployment, owner, job, [[1, 1], [600, 600]]))
    held = {}
    await deployment.until("its first group is listed", 10, lambda: follow(deployment, reader, job, held, 2))
    if len(held) != 2:
        raise CannotRun("the second group was listed too early")

    # The steps of other trainers, taken by another front.
    steps = [f"ee{number:02x}00000000000e" for number in range(11)]
    for step in steps:
        await deployment.until("a step is accepted", 10, lambda: accepted(deployment, other, step, [[150] * 8] * 5))
    for step in steps:
        listed = {}
        await deployment.until("a step is listed", 60, lambda: follow(deployment, other, step, listed, 40))
    listed = {}
    await deployment.until("the second group is listed", 60, lambda: follow(deployment, owner, job, listed, 4))

    # The trainer has all and ends its job, which stays readable.
    if await deployment.end(owner, job) != 200:
        raise CannotRun("the job was not ended")

    # The other steps are read at the reader's front, all but the last one.
    read_bytes = 0
    for step in steps[:-1]:
        results = {}
        await deployment.until("a step is read", 10, lambda: follow(deployment, reader, step, results, 40))
        read_bytes += sum(len(result["text"]) for result in results.values())
    say(f"client: {read_bytes} bytes of results read at {reader.name}")
    if read_bytes > CACHE_BYTES:
        raise CannotRun("the steps are too long")

    # The owner freezes for about a second. Before it wakes, the job is read from the start, and the last other step.
    if trouble != "0":
        say("disruption: node_freeze of the owner")
        owner.send(signal.SIGSTOP)
    await asyncio.sleep(0.9)
    reading = asyncio.create_task(deployment.read(reader, job))
    await asyncio.sleep(0.03)
    await deployment.read(reader, steps[-1])
    if trouble != "0":
        owner.send(signal.SIGCONT)
    status, found = await reading
    if status != 200:
        say("the read was refused")
        found = {"results": []}
    broken = None
    for position, result in enumerate(found["results"]):
        if position in held and result["id"] != held[position]["id"] and not broken:
            broken = (f"TWICE: at {reader.name}, position {position} of batch job {job} held "
                      f"{held[position]['id']} and now holds {result['id']}")
    # The client reads on from the position that the answer named.
    stands = {result["id"]: position for position, result in enumerate(found["results"])}
    if status == 200:
        after = found["next_token"]
        status, found = await deployment.read(reader, job, after=after)
        for number, result in enumerate(found["results"] if found else []):
            if stands.setdefault(result["id"], after + number) != after + number and broken:
                broken += f"; item {result['id']} stands at positions {stands[result['id']]} and {after + number}"
    return broken


async def accepted(deployment, front, job, events):
    return await deployment.submit(front, job, events) == 202


async def follow(deployment, front, job, results, count):
    """Reads on behind what `results` (by position) has; true once `count` results are there."""
    status, found = await deployment.read(front, job, after=len(results), wait_ms=500)
    for result in found["results"] if found else []:
        results[len(results)] = result
    return len(results) >= count


run_case(case, FOLDER, fronts=3, stores=3, samplers=3, event_s=0.005, event_bytes=256)
