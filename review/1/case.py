"""One slow answer of the store makes a host start a batch job twice, and fills its engines for good. See claim.txt."""

import asyncio
import base64
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import deployment
from deployment import BROKEN, HELD, Deployment, NotRun, run_case, small_config
from platform_standins import Duties, Store, Target, event_stream
from web import call

HOST, KEY, MODEL = "drafts.example", "draft-key-1", "m0"
# `platform_slow` of the sheet: answers take x 60 times as long (4 ms), for 4.5 s. Here a change is answered after 240 ms,
# a read and an event of a watch after half of that, and for a shorter time.
SLOW_WRITE_S, SLOW_READ_S, SLOW_FOR_S = 0.24, 0.12, 0.6
# A step as on the sheet, with fewer items: due after 7.5 s, read 1.5 s longer.
STEPS, GROUPS, SIZE, WANTED, EVENTS, GAP_S = 3, 12, 4, 11, 10, 0.1
DUE_S, LONGER_S, STABLE_S = 7.5, 1.5, 3.0
ENGINES, SLOTS = 3, 12


async def case(record, trouble, started):
    store, duties = Store(), Duties()
    store.event_s = 0.006
    # Runs of each item at the engines, as [begin, end]; and when an item was finished.
    runs, finished = {}, {}

    async def run(target, request):
        identity = request.headers["request-id"]
        span = [time.monotonic(), None]
        runs.setdefault(identity, []).append(span)
        response = event_stream(target, request, EVENTS, GAP_S, lambda number: "%s-%d" % (identity, number))
        pieces = response.stream

        async def watched():
            try:
                async for piece in pieces:
                    yield piece
                finished.setdefault(identity, time.monotonic())
            finally:
                span[1] = time.monotonic()

        response.stream = watched()
        return response

    routes = [{"name": "drafts", "host": HOST, "path_prefix": "/drafts/", "route_type": "rollout",
               "service": "draft-servers", "timeout_ms": 10000, "latency_goal_ms": 400, "priority": 1,
               "max_attempts": 3, "item_ttl_s": 40, "result_deadline_ms": DUE_S * 1000}]
    services = [{"name": "draft-servers", "engine": {"slots": SLOTS, "models": [{"name": MODEL}]}}]
    store.set("config", "main", small_config(3, routes, services, [{"name": "parish", "api_keys": [KEY]}]))
    for index in range(ENGINES):
        await Target(store, "draft-servers", "i-%d" % index, deployment.ZONES[index], SLOTS, run, [MODEL]).start()
    fleet = Deployment(os.environ["CASE_LOGS"], 3, store, duties)
    started.append(fleet)
    await fleet.start()
    await asyncio.sleep(4)

    def headers(identity, extra=()):
        return {"Host": HOST, "Authorization": "Bearer " + KEY, "Request-Id": identity, "Deadline-Ms": "5000",
                **dict(extra)}

    async def step(number, host):
        """Asks for a step and reads it to its deadline. Returns when it was asked, when it ended and its results."""
        identity = "step-%d" % number
        items = [{"id": "s%d-%02d" % (number, index), "path": "/drafts/%d/%d" % (number, index),
                  "headers": {"Model": MODEL, "Token-Count": "16,40", "Prompt-Prefix": "%x:16" % index},
                  "body": base64.b64encode(b"prompt %d" % index).decode(), "token_count": 56,
                  "group_id": "g%d" % (index // SIZE)} for index in range(GROUPS * SIZE)]
        text = {"step": number, "model": MODEL, "min_version": 1, "desired_count": WANTED, "items": items}
        asked = time.monotonic()
        answer = await call(host.callers, "POST", "/drafts/%d" % number, headers(identity), json.dumps(text).encode(), 5)
        record("%s to %s: %s after %.2f s" % (identity, host.name, answer, time.monotonic() - asked))
        if answer.status != 202:
            raise NotRun("the step was not accepted")
        results = []
        while time.monotonic() < asked + DUE_S + LONGER_S:
            reader = fleet.hosts[(number + len(results)) % len(fleet.hosts)]
            answer = await call(reader.callers, "GET", "/api/lots/%s?after=%d" % (identity, len(results)),
                                headers("read", {"Wait-Ms": "1000"}), timeout=3)
            if answer.status == 200:
                results += answer.json()["results"]
            groups = {}
            for result in results:
                group = int(result["id"].split("-")[1]) // SIZE
                groups[group] = groups.get(group, 0) + 1
            if sum(count == SIZE for count in groups.values()) >= WANTED:
                break
            await asyncio.sleep(0.3)
        ended = time.monotonic()
        answer = await call(host.callers, "DELETE", "/api/lots/" + identity, headers("end"), timeout=5)
        begun = sum(item["id"] in runs for item in items)
        record("%s ended %.2f s after it was asked: %d of %d results read, %d items began to run; end answered %s"
               % (identity, ended - asked, len(results), len(items), begun, answer))
        return asked, ended, [item["id"] for item in items], begun, len(results)

    async def owner():
        """The host that runs the steps of this model."""
        await step(100, fleet.hosts[0])
        name = json.loads(store.objects["jm-batch-state", "step-100"]["spec"])["owner"]
        return next(host for host in fleet.hosts if host.name == name)

    host = await owner()
    record("the client's choice of an address falls on %s" % host.name)
    usual_s = store.answer_s
    calm_since = time.monotonic()
    steps = []
    for number in range(STEPS):
        if trouble and number == 0:
            store.answer_s, store.read_s, store.event_s = SLOW_WRITE_S, SLOW_READ_S, SLOW_READ_S
            record("the store is slow")
        task = asyncio.create_task(step(number, host))
        if trouble and number == 0:
            await asyncio.sleep(SLOW_FOR_S)
            store.answer_s, store.read_s, store.event_s = usual_s, None, 0.006
            calm_since = time.monotonic()
            record("the store is as fast as before")
        steps.append(await task)

    broken = False
    for number, (asked, ended, items, begun, read) in enumerate(steps):
        if ended - asked < DUE_S:
            continue
        for item in items:
            if finished.get(item, ended) < ended or not begun:
                continue
            # The longest time of steady state in which the item was at no engine.
            marks = [(max(asked, calm_since + STABLE_S), 0)]
            for begin, end in runs.get(item, []):
                marks += [(begin, 1), (end or ended, -1)]
            idle_s, busy, since = 0, 0, None
            for at, change in sorted(marks) + [(ended, 0)]:
                if since is not None and busy == 0:
                    idle_s = max(idle_s, at - max(since, calm_since + STABLE_S))
                busy += change
                since = at
            if idle_s >= 5:
                record("%s of step %d, which no engine finished, was at no engine for %.1f s of steady state; "
                       "%d items of the step had begun" % (item, number, idle_s, begun))
                broken = True
                break
    busy = sum(1 for spans in runs.values() for begin, end in spans if end is None)
    record("requests at the %d slots of the engines at the end: %d" % (ENGINES * SLOTS, busy))
    return BROKEN if broken else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
