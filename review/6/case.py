"""Core machines lose their disks one after the other while the desired state changes often."""
import asyncio
import json
import os
import random
import shutil
import signal
import sys
import time

from stand import Deployment, Record, call

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTES = 2800  # big_config: twice with the largest dose of kuulde-tallinn-large
GAP_S, IN_PROGRESS = 0.06, 8  # config_storm; "Up to eight orders may be in progress at once"
CATCH_UP_S = 4.0
WIPES = 14
record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))


def route(i, timeout_ms):
    return {"name": f"r-2b9wu{i:05d}", "host": f"ficu{i % 40}.example",
            "path_prefix": f"/pufi{i}/", "type": "streaming", "timeout_ms": timeout_ms,
            "target_latency_ms": 1000, "priority": 1, "service": "huvo11a", "max_attempts": 2,
            "sticky": True, "resumable": True, "target_gap_ms": 300}


BASE = json.dumps([route(i, 12000) for i in range(5 + ROUTES - 1)])[1:-1]


def config(version):
    """One route's time-out changes with each version."""
    return (f'{{"version":{version},"routes":[{BASE},'
            + json.dumps(route(99999, 5000 + version)) + '],"services":[{"name":"huvo11a",'
            '"health_path":"/health","max_connections":370,"protocol":"h1","tls":false}],'
            '"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,'
            '"header_timeout_ms":3000,"idle_timeout_ms":15000}}').encode()


class Admin:
    def __init__(self, deployment):
        self.deployment, self.open = deployment, set()
        self.version = self.acked = 1
        self.acked_at, self.refused = time.time(), 0

    async def change(self, version):
        """Sends one desired state, again to any node, until it gets a clear answer."""
        end = time.time() + 30
        while time.time() < end:
            status, _, _ = await call(random.choice(self.deployment.cores()), "PUT",
                                      "/api/configuration", config(version), 3)
            if status == 200:
                self.acked, self.acked_at = max(self.acked, version), time.time()
                return
            if 400 <= status < 500:
                self.refused += 1
                return
            await asyncio.sleep(0.2)

    async def storm(self):
        while True:
            if len(self.open) < IN_PROGRESS:
                self.version += 1
                task = asyncio.create_task(self.change(self.version))
                self.open.add(task)
                task.add_done_callback(self.open.discard)
            await asyncio.sleep(GAP_S)


async def read_back(deployment, seconds):
    """Returns the newest version that any core tells, and how often one answered with it."""
    newest, answers, end = 0, {}, time.time() + seconds
    while time.time() < end:
        for core in deployment.cores():
            status, _, body = await call(core, "GET", "/api/configuration", None, 2)
            answers[status] = answers.get(status, 0) + 1
            if status == 200:
                newest = max(newest, json.loads(body)["version"])
        await asyncio.sleep(0.3)
    record(f"read back for {seconds} s: statuses {answers}, newest version {newest}")
    return newest


async def main():
    deployment = Deployment()
    try:
        for i in range(5):
            deployment.start(i, True)
        if await deployment.put(config(1)) != 200 or not all(
                [await deployment.ready(3), await deployment.ready(4)]):
            record("the deployment doesn't get ready")
            return 2
        admin = Admin(deployment)
        record(f"the desired state has {len(config(1))} bytes, {5 + ROUTES} routes")
        storm = asyncio.create_task(admin.storm())
        await asyncio.sleep(5)
        for n in range(WIPES):
            core = n % 3
            if TROUBLE:
                record(f"core {core} loses its disk: {admin.acked} acknowledged, "
                       f"{len(admin.open)} changes in progress")
                deployment.signal(core, signal.SIGKILL)
                deployment.processes[core].wait()
                shutil.rmtree(f"{deployment.folder}/{core}/data")
                await asyncio.sleep(0.5)
                deployment.start(core, False)  # the old address, an empty folder, no bootstrap
                back = time.time()
                record(f"core {core} is back")
                await asyncio.sleep(CATCH_UP_S + 0.1)
                if admin.acked_at < back:
                    record(f"nothing was acknowledged for {time.time() - admin.acked_at:.1f} s; "
                           "no further machine is touched")
                    break
            else:
                await asyncio.sleep(CATCH_UP_S + 0.6)
        storm.cancel()
        for task in list(admin.open):
            task.cancel()
        record(f"{admin.acked} is the newest version that was acknowledged")
        if admin.acked < 2:  # nothing to read back but the first one
            return 2
        await read_back(deployment, 12)  # recovery_s; all machines run, and none is disturbed
        newest = await read_back(deployment, 6)
        if newest < admin.acked:
            for i in range(3):
                with open(f"{deployment.folder}/{i}/log") as f:
                    for line in f:
                        if '"voters-changed"' in line or '"log-founded"' in line:
                            record(f"log of core {i}: {line.strip()[:170]}")
            record(f"BROKEN: version {admin.acked} was acknowledged; {newest or 'none'} comes")
        return 42 if newest < admin.acked else 0
    finally:
        deployment.close()


sys.exit(asyncio.run(main()))
