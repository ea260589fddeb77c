"""Stand-ins of the platform: its metadata store, its interface for duties, engines and plain services."""

import asyncio
import json
import time

from web import Response, Server

HEARTBEAT_S = 1.2


def now_ms():
    return int(time.time() * 1000)


class Store:
    """The metadata store: objects by kind and name, one revision counter, conditional changes, listings, watches.

    Sound unless a case sets one of the switches below.
    """

    def __init__(self, value_bytes=1048576, answer_s=0.004):
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.value_bytes = value_bytes
        # Time that an answer takes. A change is made when its call arrives. A watch that waits returns its event after
        # `event_s`.
        self.answer_s = answer_s
        self.read_s = None  # time that the answer to a read takes, if it differs
        self.event_s = answer_s
        self.busy = False  # every call is answered 503, and nothing is done
        self.log = lambda text: None
        self.server = Server(self.handle)

    def set(self, kind, name, spec, status=None):
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": 1, "finalizers": [], "deleting": False}
        self.objects[kind, name] = {"metadata": metadata, "spec": spec, "status": status}
        self.notify(kind, name, False)
        return self.objects[kind, name]

    def remove(self, kind, name):
        if (kind, name) in self.objects:
            self.revision += 1
            self.notify(kind, name, True)
            del self.objects[kind, name]

    def notify(self, kind, name, deleted):
        self.history.append((self.revision, kind, {"object": self.objects[kind, name], "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request):
        if self.busy:
            await asyncio.sleep(0.004)
            return Response(503)
        kind, _, name = request.path.removeprefix("/api/objects/").partition("/")
        if request.method == "GET" and "watch" in request.query:
            return await self.watch(kind, int(request.query["watch"]), int(request.query.get("wait_ms", 0)))
        if request.method == "GET":
            response = self.read(request, kind, name)
            await asyncio.sleep(self.answer_s if self.read_s is None else self.read_s)
            return response
        response = self.change(request, kind, name)
        self.log("store: %s %s/%s -> %d" % (request.method, kind, name or request.json()["metadata"]["name"],
                                            response.status))
        await asyncio.sleep(self.answer_s)
        return response

    def read(self, request, kind, name):
        if name:
            found = self.objects.get((kind, name))
            return Response.json(200, found) if found else Response(404)
        names = sorted(n for k, n in self.objects if k == kind and n > request.query.get("after", ""))
        items = [self.objects[kind, n] for n in names[:500]]
        return Response.json(200, {"items": items, "has_more": len(names) > 500, "current_rev": self.revision})

    async def watch(self, kind, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for revision, of, event in self.history if revision > after and of == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                # As of one revision: what changes while the answer is under way comes with the next watch.
                body = {"events": events, "current_rev": self.revision}
                await asyncio.sleep(self.event_s if events else 0)
                return Response.json(200, body)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def change(self, request, kind, name):
        if request.method == "DELETE":
            return self.delete(request, kind, name)
        body = request.json()
        name, _, part = name.partition("/")
        if len(json.dumps(body.get("spec"))) > self.value_bytes:
            return Response(413)
        if request.method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self.objects:
                return Response.json(409, self.objects[kind, name])
            return Response.json(200, self.set(kind, name, body.get("spec")))
        found = self.objects.get((kind, name))
        if not found:
            return Response(404)
        revision = body["metadata"].get("revision")
        if revision is not None and revision != found["metadata"]["revision"]:
            return Response.json(409, found)
        if part == "status":
            return Response.json(200, self.set(kind, name, found["spec"], body.get("status")))
        if body.get("spec") == found["spec"]:
            return Response.json(200, found)
        return Response.json(200, self.set(kind, name, body.get("spec"), found["status"]))

    def delete(self, request, kind, name):
        found = self.objects.get((kind, name))
        if not found:
            return Response(404)
        revision = request.query.get("revision")
        if revision is not None and int(revision) != found["metadata"]["revision"]:
            return Response.json(409, found)
        self.remove(kind, name)
        return Response(200)


class Duties:
    """The platform's interface for duties. It accepts every call and keeps it."""

    def __init__(self):
        self.calls = []
        self.server = Server(self.handle)

    async def handle(self, request):
        self.calls.append((time.monotonic(), request.path, request.headers, request.body))
        return Response(200)


class Target:
    """An engine or an instance of a plain service. `run(request)` is a coroutine that makes the answer."""

    def __init__(self, store, service, identity, zone, slots, run, models=()):
        self.store, self.service, self.id, self.zone, self.slots = store, service, identity, zone, slots
        self.run = run
        self.models = {model: 1 for model in models}
        self.state = "ready"
        self.orders = 0
        self.beats = 0
        self.born = now_ms()
        self.on_order = lambda: None
        self.server = Server(self.handle)
        self.beating = None

    async def start(self):
        await self.server.start()
        self.register()
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beats += 1
            if (("servers", self.id) in self.store.objects) and not self.store.busy:
                self.register()

    def register(self):
        entry = {"service": self.service, "address": self.server.address, "zone": self.zone, "version": "1",
                 "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.beats, "born": self.born,
                 "models": self.listed_models()}
        self.store.set("servers", self.id, entry)

    def listed_models(self):
        return [{"name": name, "version": version, "adapters": []} for name, version in self.models.items()]

    def signed(self, request):
        return {"Request-Id": request.headers.get("request-id", ""), "Server-Stamp": "3e1b.%s" % self.id}

    async def handle(self, request):
        if request.headers.get("expect-instance", self.id) != self.id:
            return Response(421, headers={"Not-Executed": "1", **self.signed(request)})
        if request.path == "/api/report":
            return Response.json(200, {"stage": "both", "models": self.listed_models(), "busy": False,
                                       "seq": self.orders, "queued": 0, "active": 0, "kv_used": 0,
                                       "kv_total": 100000, "handles": 0, "born": self.born})
        if request.path == "/api/order":
            return await self.order(request.json())
        return await self.run(self, request)

    async def order(self, order):
        if order.get("precondition", self.orders) != self.orders:
            return Response(409)
        if self.models.get(order["model"]) == order["version"]:
            return Response(200)
        self.orders += 1
        self.models[order["model"]] = order["version"]
        self.on_order()
        return Response(202)


def event_stream(target, request, count, gap_s, text, on_event=lambda number: None):
    """The answer of an engine: events up to `count`, after the one that `Last-Event-Id` names."""
    first = int(request.headers.get("last-event-id", 0)) + 1
    model = request.headers.get("model", next(iter(target.models), ""))

    async def pieces():
        for number in range(first, count + 1):
            await asyncio.sleep(gap_s)
            on_event(number)
            yield ("id: %d\ndata: %s\n\n" % (number, text(number))).encode()

    headers = {**target.signed(request), "Content-Type": "text/event-stream",
               "Weight-Versions": str(target.models.get(model, 1))}
    return Response(200, headers=headers, stream=pieces())
