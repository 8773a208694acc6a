"""One part of some prompts, the ninth of ten, ends each worker that begins to answer on it."""
import asyncio
import os
import sys
import time

from stand import Deployment, Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PARTS = int(os.environ.get("PARTS", "10"))  # of a prompt, the request's own one included
HOST = "orders.example"
WORKERS, BACK_S = 6, 2.0
CONTACT_S = 3.0
FATAL = "dead0bad"
CONFIG = {
    "version": 3,
    "routes": [{"name": "r-note", "host": HOST, "path_prefix": "/note/", "type": "streaming",
                "timeout_ms": 4000, "target_latency_ms": 800, "priority": 1, "service": "lm",
                "max_attempts": 1, "sticky": True, "resumable": False, "target_gap_ms": 300}],
    "services": [{"name": "lm", "health_path": "/health", "max_connections": 360,
                  "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kv_capacity_tokens": 129651, "kv_bytes": 163840,
                             "adapter_slots": 5, "weights_mb": 66500.0, "loads_per_s": 4.8,
                             "models": [{"name": "m0", "weights_mb": 65100.0, "load_s": 2.5,
                                         "adapters": 3000, "adapter_size_mb": 12.0,
                                         "warm_s": 0.6, "disk_s": 1.0}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}
record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
fatal_sent = {}  # attempt -> time
results = {"sound": [0, 0], "fatal": [0, 0]}  # whole, not


async def request(deployment, n, is_fatal):
    attempt = f"{n:016x}"
    shared = [f"5c1e07{i:02x}:120" for i in range(PARTS - 2)]
    shared.append(f"{FATAL}:120" if is_fatal else f"91bd3f0{n % 4}:120")
    prompt = ",".join(shared + [f"{0xa0000000 + n:x}:60"])
    host, port = deployment.front(3 + n % 2).split(":")
    body = b""
    if is_fatal:
        fatal_sent[attempt] = time.time()
        record(f"sent {attempt} with the fatal part")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((f"POST /note/2f HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
                      f"Mulberrypath-Attempt-Id: {attempt}\r\nMulberrypath-Model: m0\r\n"
                      f"Mulberrypath-Token-Usage: {60 + 120 * (PARTS - 1)},30\r\n"
                      f"Mulberrypath-Prompt-Prefix: {prompt}\r\n"
                      "Mulberrypath-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi").encode())
        while True:
            piece = await asyncio.wait_for(reader.read(1 << 16), 5)
            if not piece:
                break
            body += piece
        writer.close()
    except (ConnectionError, OSError, asyncio.TimeoutError):
        pass
    whole = body.endswith(b"0\r\n\r\n")
    results["fatal" if is_fatal else "sound"][0 if whole else 1] += 1
    if is_fatal or not whole:
        record(f"answer {attempt}{' (fatal)' if is_fatal else ''}: "
               f"status {int(body.split()[1]) if body else 0}, whole {whole}")


async def main():
    deployment = Deployment()
    try:
        for i in range(5):
            deployment.start(i, True)
        number = 0

        def start_worker():
            nonlocal number
            deployment.start_worker(f"i-{number}", {
                "service": "lm", "zone": f"z{number % 3}", "slots": 64, "model": "m0",
                "stream": True, "fatal_part": FATAL, "weights_used_mb": 65100, "adapter_mb": 12,
                "weights_mb": 66500, "adapter_slots": 5})
            number += 1

        for _ in range(WORKERS):
            start_worker()
        if await deployment.put(CONFIG) != 200 or not all(
                [await deployment.ready(3), await deployment.ready(4)]):
            record("the deployment doesn't get ready")
            return 2
        await asyncio.sleep(2.5)
        calls, back, n, started = [], [], 0, time.time()
        while time.time() - started < 36:  # ten sound requests a second, one fatal one
            n += 1
            calls.append(asyncio.create_task(
                request(deployment, n, TROUBLE and n % 10 == 0 and n > 30)))
            for name in [k for k, p in deployment.processes.items()
                         if isinstance(k, str) and p.poll() is not None]:
                deployment.processes.pop(name)
                back.append(time.time() + BACK_S)
            while back and time.time() >= back[0]:
                back.pop(0)
                start_worker()
            await asyncio.sleep(0.1)
        await asyncio.gather(*calls)
        runs = deployment.runs()
        crashes = [run["at"] for run in runs if "crash" in run]
        for run in runs:
            if "crash" in run or run.get("ran") in fatal_sent:
                record(f"worker: {run}")
        late = []
        if len(crashes) >= 5:
            after = crashes[4] + CONTACT_S
            late = [run for run in runs if run.get("ran") in fatal_sent
                    and fatal_sent[run["ran"]] > after]
        record(f"{len(crashes)} crashes; of {len(fatal_sent)} requests with the fatal part "
               f"{len(late)} reached workers that were sent later than {CONTACT_S:.0f} s after "
               f"the fifth crash; whole and not: {results}")
        if results["sound"][0] < 50 or TROUBLE and not crashes:
            return 2
        return 42 if len(late) > 3 else 0
    finally:
        deployment.close()


sys.exit(asyncio.run(main()))
