"""A route moves to another service, and the sampler of the service before is emptied; items that it breaks off are never taken up."""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))
from standins import BOUNDS, TROUBLE, call, configuration, job_body, main, route

ITEMS = 12
EVENTS = 120
INTERVAL_S = 0.05
DEADLINE_S = 25.0


def routes(service):
    return [route('safe', 'safe', 'other'),
            route('rollout', 'rollout', service, max_attempts=3, max_queue_s=60.0, result_deadline_ms=DEADLINE_S * 1e3)]


async def take_away(deployment, record, sampler):
    """A planned end: the sampler says draining, serves on for `drain_ms` and a little, and ends."""
    sampler.drain()
    await asyncio.sleep(BOUNDS['drain_ms'] / 1e3 + 0.5)
    sampler.server.close()
    for writer in list(sampler.writers):
        writer.transport.abort()
    deployment.platform.remove(f'servers/{sampler.id}')
    record.say(f'{sampler.id} has ended, its entry is gone')


async def play(deployment, record):
    await deployment.start(fronts=2, samplers=0, config=configuration(1, routes('service')))
    old = await deployment.add_sampler('s-0', events=EVENTS, interval=INTERVAL_S)
    newer = [await deployment.add_sampler(f'n-{index}', service='newer', zone=zone, events=EVENTS, interval=INTERVAL_S)
             for index, zone in enumerate(('zone-a', 'zone-b', 'zone-c') * 2)]
    await deployment.wait_ready()
    await asyncio.sleep(3)
    front, other = deployment.fronts
    await deployment.submit(front, 'aa', job_body('aa', ITEMS))
    submitted = time.monotonic()
    await asyncio.sleep(1)
    if TROUBLE:
        deployment.platform.write('op/config', configuration(4, routes('newer')))
        record.say('operator: configuration 4 is acknowledged; it moves the route to the service `newer`')
        await asyncio.sleep(2)
        await take_away(deployment, record, old)
    await asyncio.sleep(3)
    await deployment.submit(other, 'bb', job_body('bb', 4))
    listed = {}
    while time.monotonic() - submitted < DEADLINE_S:
        for job in ('aa', 'bb'):
            status, answer = await deployment.read(other, job)
            if answer:
                listed[job] = [one['id'] for one in answer['results']]
        await asyncio.sleep(1)
    runs = collections.Counter(arrival['id'] for sampler in deployment.samplers for arrival in sampler.arrivals)
    missing = [f'aai{index:03}' for index in range(ITEMS) if f'aai{index:03}' not in listed.get('aa', [])]
    record.say(f'after {DEADLINE_S} s: job aa lists {len(listed.get("aa", []))} of {ITEMS}, job bb {len(listed.get("bb", []))} of 4')
    for item in missing:
        record.say(f'{item}: sent to a sampler {runs[item]} times, not listed')
    return not missing


main(FOLDER, play)
