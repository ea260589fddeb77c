"""Two hosts store one batch job together, each with its own time-outs in the text. See claim.txt."""

import asyncio
import base64
import json
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import deployment
from deployment import BROKEN, HELD, Deployment, NotRun, run_case, small_config
from platform_standins import Duties, Store, Target, event_stream
from web import Response, call

HOST, KEY = "drafts.example", "draft-key-1"
# `platform_slow` of the sheet: answers take x 60 times as long, for 4.5 s.
SLOW_X, SLOW_S = 60, 4.5
TRAINERS, ITEMS, GROUP, BODY_BYTES, EVENTS = 3, 1_024, 8, 3_000, 1
# Time that a submitter waits for the 202, three times `latency_goal_ms`, before it submits the batch job again, at
# another host.
PATIENCE_S, PAUSE_S, SUBMIT_LIMIT_S = 1.2, 0.3, 12.0
TTL_S = 40
FINISH_S = 10


def config(version, result_deadline_ms):
    routes = [{"name": "drafts", "host": HOST, "path_prefix": "/drafts/", "route_type": "rollout",
               "service": "draft-servers", "timeout_ms": 10000, "latency_goal_ms": 400, "priority": 1,
               "max_attempts": 3, "item_ttl_s": TTL_S, "result_deadline_ms": result_deadline_ms}]
    models = [{"name": "m%d" % index} for index in range(TRAINERS)]
    services = [{"name": "draft-servers", "engine": {"slots": 48, "models": models}}]
    return small_config(version, routes, services, [{"name": "parish", "api_keys": [KEY]}])


def batch(trainer):
    random_bytes = random.Random(trainer)
    items = []
    for index in range(ITEMS):
        body = random_bytes.randbytes(BODY_BYTES)
        items.append({"id": "%02x%06x" % (trainer, index), "path": "/drafts/%d/%x" % (trainer, index),
                      "headers": {"Model": "m%d" % trainer, "Token-Count": "16,40", "Prompt-Prefix": "%x:16" % index},
                      "body": base64.b64encode(body).decode(), "token_count": 56, "group_id": "g%d" % (index // GROUP)})
    return {"step": 0, "model": "m%d" % trainer, "min_version": 1, "desired_count": ITEMS // GROUP, "items": items}


async def case(record, trouble, started):
    store, duties = Store(), Duties()
    bodies, wrong_runs = {}, []

    async def run(target, request):
        identity = request.headers.get("request-id")
        sent = bodies.get(identity)
        if sent is None or sent != (request.path, request.body):
            wrong_runs.append(identity)
            record("%s runs %s, which nobody sent like this" % (target.id, identity))
        return event_stream(target, request, EVENTS, 0.005, lambda number: "%s-%d" % (identity, number))

    store.set("config", "main", config(3, 7500))
    for index in range(4):
        target = Target(store, "draft-servers", "i-%d" % index, deployment.ZONES[index % 3], 48, run,
                        ["m%d" % trainer for trainer in range(TRAINERS)])
        await target.start()
    fleet = Deployment(os.environ["CASE_LOGS"], 4, store, duties)
    started.append(fleet)
    await fleet.start()
    await asyncio.sleep(3)
    store.log = lambda text: "batch" in text and record(text)
    accepted = {}

    def headers(identity, extra=()):
        return {"Host": HOST, "Authorization": "Bearer " + KEY, "Request-Id": identity, **dict(extra)}

    async def submit(trainer):
        identity, text = "b%02d" % trainer, json.dumps(batch(trainer)).encode()
        for item in json.loads(text)["items"]:
            bodies[item["id"]] = (item["path"], base64.b64decode(item["body"]))
        until = time.monotonic() + SUBMIT_LIMIT_S
        attempt = trainer
        while time.monotonic() < until:
            host = fleet.hosts[attempt % len(fleet.hosts)]
            attempt += 1
            record("submit %s (%d bytes) to %s" % (identity, len(text), host.name))
            answer = await call(host.callers, "POST", "/drafts/%d" % trainer,
                                headers(identity, {"Deadline-Ms": str(int(PATIENCE_S * 1000)),
                                                   "Content-Type": "application/json"}), text, timeout=PATIENCE_S)
            record("submit %s to %s: %s" % (identity, host.name, answer))
            if answer.status == 202:
                accepted[identity] = trainer
                return
            await asyncio.sleep(float(answer.headers.get("retry-after", PAUSE_S)))
        record("%s was never accepted" % identity)

    usual_s = store.answer_s
    if trouble:
        store.answer_s = usual_s * SLOW_X
        record("the store takes %.0f ms for each answer from now on" % (store.answer_s * 1000))
    submitters = [asyncio.create_task(submit(trainer)) for trainer in range(TRAINERS)]
    if trouble:
        await asyncio.sleep(0.5)
        store.set("config", "main", config(5, 12000))
        record("the operator raises result_deadline_ms from 7500 to 12000; acknowledged")
        await asyncio.sleep(SLOW_S - 0.5)
        store.answer_s = usual_s
        record("the store is as fast as before")
    await asyncio.gather(*submitters)
    record("accepted: %s; no more traffic, %d s to finish" % (sorted(accepted), FINISH_S))
    if not accepted:
        raise NotRun("no batch job was accepted")
    await asyncio.sleep(FINISH_S)

    async def read(identity, host):
        results = []
        while True:
            answer = await call(host.callers, "GET", "/api/lots/%s?after=%d" % (identity, len(results)),
                                headers("read"), timeout=3)
            if answer.status != 200:
                return results, str(answer)
            page = answer.json()
            results += page["results"]
            if not page["results"]:
                return results, "200, total %d" % page["total"]

    async def body(identity, item, host):
        answer = await call(host.callers, "GET", "/api/items/%s?id=%s" % (identity, item), headers("body"), timeout=3)
        return answer

    lost = []
    for identity, trainer in sorted(accepted.items()):
        listed = {}
        for host in fleet.hosts:
            results, end = await read(identity, host)
            record("%s at %s: %d of %d results; last read %s" % (identity, host.name, len(results), ITEMS, end))
            listed.update((result["id"], result) for result in results)
        open_items = [item for item in ("%02x%06x" % (trainer, index) for index in range(ITEMS)) if item not in listed]
        for item in open_items[:3]:
            given = False
            # Asked again after each failure, at every host, for 6 s.
            for attempt in range(12):
                answer = await body(identity, item, fleet.hosts[attempt % len(fleet.hosts)])
                record("body of %s of %s at %s: %s" % (item, identity, fleet.hosts[attempt % len(fleet.hosts)].name,
                                                      answer))
                given = given or (answer.status == 200 and answer.body == bodies[item][1])
                if given:
                    break
                await asyncio.sleep(0.5)
            if not given:
                lost.append(item)
                break
    record("accepted, not listed and without a body at any host: %s" % (lost or "none"))
    return BROKEN if lost else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
