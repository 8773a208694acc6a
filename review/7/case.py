"""A stream whose worker crashes goes on at another worker, in an answer with a length."""
import asyncio
import os
import re
import signal
import sys
import time

from stand import Deployment, Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENTS = 40
REQUESTS = 6
HOST = "orders.example"
CONFIG = {
    "version": 3,
    "routes": [{"name": "r-note", "host": HOST, "path_prefix": "/note/", "type": "streaming",
                "timeout_ms": 12000, "target_latency_ms": 1000, "priority": 1, "service": "lm",
                "max_attempts": 2, "sticky": True, "resumable": True, "target_gap_ms": 300}],
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


def worker_options(number):
    return {"service": "lm", "zone": f"z{number}", "slots": 64, "model": "m0", "stream": True,
            "events": EVENTS, "event_s": 0.03, "text": "batteries ",
            "weights_used_mb": 65100, "adapter_mb": 12, "weights_mb": 66500, "adapter_slots": 5}


async def request(deployment, n, crash):
    """One client's attempt. Returns what is wrong with its answer, or None."""
    attempt = f"{n:016x}"
    host, port = deployment.front(3 + n % 2).split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write((f"POST /note/2f HTTP/1.1\r\nHost: {HOST}\r\n"
                  f"Mulberrypath-Attempt-Id: {attempt}\r\nMulberrypath-Model: m0\r\n"
                  f"Mulberrypath-Token-Usage: 1460,120\r\n"
                  f"Mulberrypath-Prompt-Prefix: 5c1e{n:04x}:800,{n:08x}:660\r\n"
                  "Mulberrypath-Deadline-Ms: 12000\r\nContent-Length: 2\r\n\r\nhi").encode())
    record(f"sent {attempt}")
    head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 12)).decode("latin-1")
    status = int(head.split()[1])
    length = re.search(r"(?im)^content-length: *(\d+)", head)
    chunked = re.search(r"(?im)^transfer-encoding: *chunked", head)
    served_by = re.search(r"(?im)^mulberrypath-server-signature: *(\S+)\.", head)
    record(f"answer {attempt}: status {status}, length {length and length.group(1)}, "
           f"chunked {bool(chunked)}, first worker {served_by and served_by.group(1)}")
    if status != 200:
        writer.close()
        return None
    body, complete, crashed = b"", False, not crash
    end = time.time() + 12
    try:
        while not complete and time.time() < end:
            if length:
                wanted = int(length.group(1)) - len(body)
                piece = await asyncio.wait_for(reader.read(min(4096, wanted)), 12)
                if not piece:
                    break
                body += piece
                complete = len(body) == int(length.group(1))
            elif chunked:
                size = int(await asyncio.wait_for(reader.readline(), 12), 16)
                body += (await reader.readexactly(size + 2))[:-2]
                complete = size == 0
            else:
                piece = await asyncio.wait_for(reader.read(4096), 12)
                body += piece
                complete = not piece
            if not crashed and body.count(b"\n\n") >= 8:
                crashed = True
                record(f"SIGKILL of worker {served_by.group(1)}")
                deployment.signal(served_by.group(1), signal.SIGKILL)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, ValueError) as e:
        record(f"{attempt}: broken off or silent: {type(e).__name__}")
    ids = [int(i) for i in re.findall(rb"(?m)^id: (\d+)$", body)]
    whole = body.endswith(b"\n\n") and ids == list(range(1, EVENTS + 1))
    extra = b""
    if complete and not (not chunked and not length):
        try:
            extra = await asyncio.wait_for(reader.read(65536), 1.0)
        except (asyncio.TimeoutError, ConnectionError):
            pass
    writer.close()
    record(f"{attempt}: complete {complete}, events {len(ids)} (last {ids[-1] if ids else 0}), "
           f"whole {whole}, bytes after the answer {len(extra)} {extra[:40]!r}")
    if complete and not whole:
        return "ORDER: the stream ends as complete before its last piece"
    if extra:
        return "MIXED: bytes that are no answer, on a channel with no request waiting"
    return None


async def main():
    deployment = Deployment()
    try:
        for i in range(5):
            deployment.start(i, True)
        for number in range(3):
            deployment.start_worker(f"i-{number}", worker_options(number))
        if await deployment.put(CONFIG) != 200 or not all(
                [await deployment.ready(3), await deployment.ready(4)]):
            record("the deployment doesn't get ready")
            return 2
        await asyncio.sleep(2)
        faults, number = [], 3
        for n in range(REQUESTS):
            fault = await request(deployment, n + 1, TROUBLE)
            if fault:
                record(f"BROKEN {n + 1:016x} {fault}")
                faults.append(fault)
            for name in [k for k, p in deployment.processes.items()
                         if isinstance(k, str) and p.poll() is not None]:
                del deployment.processes[name]  # the platform starts another worker
                deployment.start_worker(f"i-{number}", worker_options(int(name[2:]) % 3))
                number += 3
            await asyncio.sleep(2.5 if TROUBLE else 0.2)
        for run in deployment.runs():
            record(f"worker: {run}")
        if not any("ran" in run for run in deployment.runs()):
            return 2
        record(f"{len(faults)} of {REQUESTS} answers break the rule")
        return 42 if faults else 0
    finally:
        deployment.close()


sys.exit(asyncio.run(main()))
