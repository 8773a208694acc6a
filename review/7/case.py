"""Orders to a worker stay unanswered and are carried out seconds later."""
import asyncio
import os
import re
import sys

from stand import Deployment, Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "orders.example"
SLOTS = 5
CONFIG = {
    "version": 3,
    "routes": [{"name": "r-note", "host": HOST, "path_prefix": "/note/", "type": "streaming",
                "timeout_ms": 12000, "target_latency_ms": 1000, "priority": 1, "service": "lm",
                "max_attempts": 2, "sticky": True, "resumable": True, "target_gap_ms": 300}],
    "services": [{"name": "lm", "health_path": "/health", "max_connections": 360,
                  "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kv_capacity_tokens": 129651, "kv_bytes": 163840,
                             "adapter_slots": SLOTS, "weights_mb": 66500.0, "loads_per_s": 4.8,
                             "models": [{"name": "m0", "weights_mb": 65100.0, "load_s": 2.5,
                                         "adapters": 3000, "adapter_size_mb": 12.0,
                                         "warm_s": 0.6, "disk_s": 1.0}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}
record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
sent = 0


async def request(deployment, adapter, deadline_ms=4000, events=4):
    global sent
    sent += 1
    attempt = f"{sent:016x}"
    host, port = deployment.front(3 + sent % 2).split(":")
    record(f"sent {attempt} for m0/{adapter}, deadline {deadline_ms} ms")
    body = b""
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((f"POST /note/2f HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
                      f"Mulberrypath-Attempt-Id: {attempt}\r\n"
                      f"Mulberrypath-Model: m0/{adapter}\r\n"
                      f"Mulberrypath-Token-Usage: 200,{events}\r\n"
                      f"Mulberrypath-Prompt-Prefix: 5c1e{sent:04x}:100,{sent:08x}:100\r\n"
                      f"Mulberrypath-Deadline-Ms: {deadline_ms}\r\nContent-Length: 2\r\n\r\n"
                      "hi").encode())
        while True:
            more = await asyncio.wait_for(reader.read(1 << 16), 14)
            if not more:
                break
            body += more
        writer.close()
    except (asyncio.TimeoutError, ConnectionError, OSError) as e:
        record(f"{attempt}: {type(e).__name__}")
    whole = body.endswith(b"0\r\n\r\n")
    record(f"answer {attempt} for {adapter}: status {int(body.split()[1]) if body else 0}, "
           f"events {len(re.findall(rb'(?m)^id: ', body))}, whole {whole}")


async def traffic(deployment):
    for adapter in ("x1", "x2", "x3", "x4", "x5"):  # all places are taken
        await request(deployment, adapter)
    for adapter in ("a2", "a3", "a4", "a5"):  # these replace them, and are wanted more than a1
        await request(deployment, adapter)
        await request(deployment, adapter)
    await request(deployment, "a1")
    for _ in range(3):
        for adapter in ("a2", "a3", "a4", "a5"):
            await request(deployment, adapter)
    await request(deployment, "a6", 800)  # a1 is to make way for it
    await asyncio.sleep(0.3)
    long = asyncio.create_task(request(deployment, "a1", 12000, 300))  # six seconds
    await asyncio.sleep(4.5)
    await request(deployment, "a7")
    await long
    for _ in range(4):
        for adapter in ("a2", "a3", "a4", "a5", "a7"):
            if adapter in held(deployment):
                await request(deployment, adapter)
    await request(deployment, "a8", 800)
    await asyncio.sleep(0.5)
    await request(deployment, "a9")
    for _ in range(4):  # usual traffic, while what was late arrives
        for adapter in held(deployment):
            await request(deployment, adapter)


def held(deployment):
    """What the worker held when it last told so."""
    return [run["held"] for run in deployment.runs() if "held" in run][-1]


async def main():
    deployment = Deployment()
    try:
        for i in range(5):
            deployment.start(i, True)
        late = [{"what": "unload a1", "count": 3, "delay_s": 4},
                {"what": "load a8", "count": 3, "delay_s": 4}] if TROUBLE else []
        deployment.start_worker("i-0", {"service": "lm", "zone": "z0", "slots": 64, "model": "m0",
                                        "adapter_slots": SLOTS, "late": late})
        if await deployment.put(CONFIG) != 200 or not all(
                [await deployment.ready(3), await deployment.ready(4)]):
            record("the deployment doesn't get ready")
            return 2
        await asyncio.sleep(2)
        await traffic(deployment)
        await asyncio.sleep(3)
        runs = deployment.runs()
        for run in runs:
            record(f"worker: {run}")
        if not any("ran" in run for run in runs):
            return 2
        crashes = [run for run in runs if "crash" in run]
        orders = [run for run in runs if "order" in run or "unanswered" in run]
        record(f"{sum('unanswered' in run for run in runs)} of {len(orders)} orders were left "
               f"unanswered and carried out later")
        record(f"the worker was ordered to load more than it holds: {bool(crashes)}")
        return 42 if crashes else 0
    finally:
        deployment.close()


sys.exit(asyncio.run(main()))
