"""A planned stop cuts requests that the leaving host has taken. See claim.txt."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import deployment
from deployment import BROKEN, HELD, Deployment, NotRun, resolve, run_case, small_config
from platform_standins import Duties, Store, Target
from web import Response, call

HOST, KEY = "orders.example", "order-key-1"
TIMEOUT_MS = 10_000
# Time that an order takes at its engine. The route allows ten seconds.
WORK_S = 4.0
# When the requests are sent, after the SIGTERM. Orders sent up to 3 s after it are excused by the rule.
SENT_S = [0.2, 1.5, 3.1, 3.3, 3.5, 3.7, 3.9, 4.1]
LAST_EXCUSED_S = 3.0


async def case(record, trouble, started):
    store, duties = Store(), Duties()
    runs = {}

    async def run(target, request):
        identity = request.headers["request-id"]
        runs.setdefault(identity, []).append(target.id)
        record("%s begins to run %s, Deadline-Ms %s" % (target.id, identity, request.headers.get("deadline-ms")))
        await asyncio.sleep(WORK_S)
        record("%s has run %s and answers 200" % (target.id, identity))
        return Response(200, "order %s is placed" % identity, target.signed(request))

    routes = [{"name": "orders", "host": HOST, "path_prefix": "/orders/", "route_type": "non_idempotent",
               "service": "order-desk", "timeout_ms": TIMEOUT_MS, "latency_goal_ms": 5000, "priority": 1,
               "max_attempts": 1}]
    store.set("config", "main", small_config(3, routes, [{"name": "order-desk"}],
                                             [{"name": "parish", "api_keys": [KEY]}]))
    for index in range(3):
        await Target(store, "order-desk", "i-%d" % index, deployment.ZONES[index], 6, run).start()
    fleet = Deployment(os.environ["CASE_LOGS"], 3, store, duties)
    started.append(fleet)
    await fleet.start()
    leaving = fleet.hosts[0]

    # The client asks where to connect right before the stop, and keeps the answer for three times ttl_s, as the pages
    # say that some clients do.
    asked = time.monotonic()
    answer = await call(fleet.hosts[1].addresses, "GET", "/api/resolve?name=%s&region=%s&zone=%s"
                        % (HOST, deployment.REGION, leaving.zone), {"Host": "registry"}, timeout=1)
    listed = answer.json()
    record("resolve: %s" % listed)
    if leaving.callers not in listed["addresses"]:
        raise NotRun("the host is not listed before the stop")
    keeps_s = 3 * min(listed["ttl_s"], 5)
    term = time.monotonic()
    if trouble:
        record("SIGTERM to %s" % leaving.name)
        leaving.signal(signal.SIGTERM)

    async def order(index, sent_s):
        await asyncio.sleep(max(0, term + sent_s - time.monotonic()))
        if time.monotonic() - asked > keeps_s:
            raise NotRun("the client would no longer use its answer")
        identity = "order-%d" % index
        record("%.2f s after the stop: POST /orders/%d as %s to %s" % (time.monotonic() - term, index, identity,
                                                                       leaving.name))
        answer = await call(leaving.callers, "POST", "/orders/%d" % index,
                            {"Host": HOST, "Request-Id": identity, "Deadline-Ms": str(TIMEOUT_MS),
                             "Authorization": "Bearer " + KEY}, b"a rack", timeout=TIMEOUT_MS / 1000 + 1)
        record("%.2f s after the stop: %s gets %s" % (time.monotonic() - term, identity, answer))
        return identity, sent_s, answer

    done = await asyncio.gather(*(order(index, sent_s) for index, sent_s in enumerate(SENT_S)))
    if trouble:
        if not await leaving.ended(deployment.GRACE_S + 1):
            record("the process has not ended by itself")
        record("%s has ended" % leaving.name)
    cut = [identity for identity, sent_s, answer in done
           if answer.status is None and identity in runs and sent_s > LAST_EXCUSED_S]
    record("passed on to an engine, no excuse, and cut without an answer: %s" % (cut or "none"))
    return BROKEN if cut else HELD


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
