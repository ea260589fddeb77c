"""A small deployment of host processes on loopback addresses, with the commands of the deploy file."""

import asyncio
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

from web import call

ROOT = Path(__file__).resolve().parents[2]
ROLE = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
REGION = "baltic-north"
ZONES = ["riga-a", "riga-b", "riga-c"]
# As on the sheet of plaukts-riga.
GRACE_S, LEASE_MS, WINDOW_S, STATUS_S = 8, 3000, 5, 120
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def __call__(self, text):
        print("%8.3f  %s" % (time.monotonic() - self.began, text), file=self.file, flush=True)


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Host:
    """One entry host: its settings file and its process."""

    def __init__(self, index):
        self.name = "edge-%s-%d" % (ZONES[index % 3], index + 1)
        self.zone = ZONES[index % 3]
        pid = os.getpid()
        self.ip = "127.%d.%d.%d" % (20 + pid % 200, 1 + pid // 200 % 250, index + 1)
        self.callers, self.ready, self.addresses, self.peers = ("%s:%d" % (self.ip, free_port(self.ip)) for _ in "1234")
        self.internal = free_port(self.ip, socket.SOCK_DGRAM)
        self.process = None
        self.settings = None
        self.log = None

    def write_settings(self, folder, store, duties, seeds):
        values = {"node_name": self.name, "zone": self.zone, "region": REGION, "ip": self.ip,
                  "listen.frontend": self.callers, "listen.ready": self.ready, "listen.registry": self.addresses,
                  "listen.control_plane": self.peers, "internal_ports.0": str(self.internal),
                  "platform.address": store, "cloud_api.address": duties, "seed_nodes": ",".join(seeds),
                  "bounds.grace_s": str(GRACE_S), "bounds.lease_ms": str(LEASE_MS),
                  "bounds.report_window_s": str(WINDOW_S), "bounds.status_s": str(STATUS_S)}
        template = (ROOT / ROLE["template"]).read_text()
        self.settings = Path(folder) / (self.name + ".ini")
        text = re.sub(r"{{(.+?)}}", lambda match: values[match.group(1)], template)
        # The template has a fixed port for metrics. A case uses free ports only.
        text = re.sub(r"(?m)^metrics = .*$", "metrics = %s:%d" % (self.ip, free_port(self.ip)), text)
        self.settings.write_text(text)
        self.log = open(Path(folder) / (self.name + ".log"), "a")

    def start(self):
        program, *arguments = ROLE["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["JACINTHMOOR_SETTINGS"] = str(self.settings)
        self.process = subprocess.Popen([str(ROOT / program), *arguments], cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self, limit_s):
        """Waits until the process has ended."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                return True
            await asyncio.sleep(0.02)
        return False

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """Host processes before a store and an interface for duties."""

    def __init__(self, folder, hosts, store, duties):
        self.folder, self.store, self.duties = folder, store, duties
        self.hosts = [Host(index) for index in range(hosts)]

    async def start(self):
        store = await self.store.server.start()
        duties = await self.duties.server.start()
        seeds = [host.peers for host in self.hosts[:3]]
        for host in self.hosts:
            host.write_settings(self.folder, store, duties, seeds)
            host.start()
        until = time.monotonic() + 20
        for host in self.hosts:
            while (await call(host.ready, "GET", "/api/readyz", {"Host": "ready"}, timeout=1)).status != 200:
                if time.monotonic() > until:
                    raise NotRun("%s is not ready" % host.name)
                await asyncio.sleep(0.1)
        # The hosts have found one another when each names all of them.
        for host in self.hosts:
            while len(await resolve(host)) < len(self.hosts):
                if time.monotonic() > until:
                    raise NotRun("%s does not see all hosts" % host.name)
                await asyncio.sleep(0.1)

    def stop(self):
        for host in self.hosts:
            host.kill()


async def resolve(host):
    answer = await call(host.addresses, "GET", "/api/resolve?name=x&region=%s&zone=%s" % (REGION, host.zone),
                        {"Host": "registry"}, timeout=1)
    return answer.json()["addresses"] if answer.status == 200 else []


def run_case(case, folder, limit_s=112):
    """Runs `case(record, folder, trouble)`, ends what it started and exits as the issue asks."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("TROUBLE=%d" % trouble)
    if not (ROOT / ROLE["run"].split()[0]).exists():
        record("%s is not built" % ROLE["run"].split()[0])
        sys.exit(NOT_RUN)
    started = []
    logs = tempfile.mkdtemp()
    os.environ["CASE_LOGS"] = os.environ.get("KEEP_LOGS", logs)

    def finish(result):
        for deployment in started:
            deployment.stop()
        shutil.rmtree(logs, ignore_errors=True)
        record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}[result])
        os._exit(result)

    async def limited():
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, finish, NOT_RUN)
        try:
            async with asyncio.timeout(limit_s):
                result = await case(record, trouble, started)
        except NotRun as error:
            record("not run: %s" % error)
            result = NOT_RUN
        except TimeoutError:
            record("not run: the case took too long")
            result = NOT_RUN
        except Exception:
            record(traceback.format_exc())
            result = NOT_RUN
        finish(result)

    asyncio.run(limited())


def small_config(version, routes, services, tenants):
    """A configuration with the limits of the sheet of plaukts-riga."""
    limits = {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits, "tenants": tenants}
