"""An entry is killed and back at once; its new process takes grants that belong to the old one.

Two services are busy. Requests for the first wait at an entry that has just started; that process
is killed and started again, and requests for the second service come to the new process.
"""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import stand  # noqa: E402

HOST = "ficu95.example"
BOOK, CHECK = "/puxa403/2f", "/cufi504/2f"
ALLOWED = {BOOK: "kuulde-app", CHECK: "wuno96b"}
SLOTS = 6
WAITING = 5


class TimedServer(stand.Server):
    """Works on a request for as many seconds as its body says."""

    def work(self, request):
        time.sleep(float(request.body))
        return f"{self.service} {request.get('Mulberrypath-Attempt-Id')}".encode()


def route(name, prefix, service):
    return {"name": name, "host": HOST, "path_prefix": prefix, "type": "non_idempotent",
            "timeout_ms": 12000, "target_latency_ms": 8000, "priority": 2, "service": service,
            "max_attempts": 1}


CONFIGURATION = {
    "version": 3,
    "routes": [route("r-book", "/puxa403/", "kuulde-app"), route("r-check", "/cufi504/", "wuno96b")],
    "services": [{"name": name, "health_path": "/health", "max_connections": 96, "protocol": "h1",
                  "tls": False} for name in ("kuulde-app", "wuno96b")],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}}


class Clients:
    """Client attempts, each on a channel and a thread of its own."""

    def __init__(self, record):
        self.record, self.number, self.threads, self.answers = record, 0, [], {}

    def send(self, edge, path, work_s):
        self.number += 1
        attempt = f"{self.number:016x}"
        thread = threading.Thread(target=self._attempt, args=(attempt, edge, path, work_s))
        thread.start()
        self.threads.append(thread)

    def _attempt(self, attempt, edge, path, work_s):
        self.record(f"client sends {attempt} POST {path} to {edge.name}")
        headers = [("Mulberrypath-Attempt-Id", attempt), ("Mulberrypath-Deadline-Ms", "10000")]
        try:
            with stand.connect(edge.front, 1.0) as sock:
                sock.settimeout(11.0)
                sock.sendall(stand.format_request("POST", path, HOST, headers, str(work_s).encode()))
                answer = stand.read_message(sock.makefile("rb"))
        except OSError:
            answer = None
        text = "no answer" if answer is None else f"{answer.status} {answer.body[:60]!r}"
        self.record(f"client gets {text} for {attempt} POST {path}")
        self.answers[attempt] = (path, answer)

    def join(self):
        for thread in self.threads:
            thread.join()


def wait_until_serving(edge, within_s=8.0):
    """Until the entry answers 404, not 503, for a path without a route: it knows its routes."""
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        status, _ = stand.call(edge.front, "GET", "/never-existed/1", host=HOST)
        if status == 404:
            return
        time.sleep(0.02)
    raise stand.CannotRun("the entry does not serve")


def case(record, folder, trouble):
    # One of ten machines is killed: a share of 0.1.
    deployment = stand.Deployment(folder, record, cores=3, edges=7)
    servers = []
    clients = Clients(record)
    try:
        deployment.start()
        deployment.put_configuration(CONFIGURATION)
        servers = [TimedServer(deployment, "kuulde-app", 0, SLOTS),
                   TimedServer(deployment, "wuno96b", 1, SLOTS)]
        deployment.wait_ready()
        time.sleep(4.0)
        first, second = deployment.edges[:2]
        # Both services become busy by requests of the other entry.
        for _ in range(SLOTS):
            clients.send(second, BOOK, 1.9)
            clients.send(second, CHECK, 5.0)
        time.sleep(0.3)
        for _ in range(WAITING):
            clients.send(first, BOOK, 0.1)
        time.sleep(0.3)
        if trouble:
            first.kill()
            record("killed edge-0")
            first.start()
            record("started edge-0")
        wait_until_serving(first)
        record("edge-0 knows its routes")
        for _ in range(WAITING):
            clients.send(first, CHECK, 0.1)
        clients.join()
        wrong = 0
        for server in servers:
            for attempt, path, _ in server.runs:
                if ALLOWED[path] != server.service:
                    record(f"ROUTE: {server.id} of {server.service} ran {attempt} {path}")
                    wrong += 1
        record(f"{wrong} requests were run by a service that no desired state allows")
        return stand.BROKEN if wrong else stand.HELD
    finally:
        for server in servers:
            server.close()
        deployment.stop()


stand.main(HERE, case)
