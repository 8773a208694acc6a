"""A server, one of five, is cut off from the core for 4.9 s and leaves when the link is back.

Its deregistration is acknowledged. A status report that the cut held up arrives after that, and the
system sends requests to the server again, until the server's process ends with them.
"""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import stand  # noqa: E402

HOST = "ficu95.example"
PATH = "/puxa403/2f"
CUT_S = 4.9
DRAIN_S = 2.0
SERVES_ON_S = 1.5  # after drain_ms
CONFIGURATION = {
    "version": 3,
    "routes": [{"name": "r-book", "host": HOST, "path_prefix": "/puxa403/", "type": "non_idempotent",
                "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2, "service": "kuulde-app",
                "max_attempts": 1}],
    "services": [{"name": "kuulde-app", "health_path": "/health", "max_connections": 96,
                  "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}}


class BusyServer(stand.Server):
    """Takes 0.2 s for a booking."""

    def work(self, request):
        time.sleep(0.2)
        return b"booked"


class LeavingServer(BusyServer):
    """Deregisters first, without having reported that it drains, and serves on for a while.

    While its link to the core is cut, its status reports stay on the way; the network delivers them
    after the link is back. The link to the entries works all the time.
    """

    def __init__(self, *args, **kwargs):
        self.cut = threading.Event()
        self.left = threading.Event()
        self.held = []
        self.beats = 0  # acknowledged
        self.next_beat = threading.Event()
        super().__init__(*args, **kwargs)

    def announce(self):
        """Calls node after node, each for a second, until one acknowledges."""
        for core in self.deployment.cores:
            body = self.description()
            if not self.cut.is_set():
                if stand.call(core.control, "PUT", f"/api/instances/{self.id}", body)[0] == 200:
                    self.beats += 1
                    return True
                continue
            self.record(f"{self.id} sends its status report {body['sequence']}, which the cut holds up")
            self.held.append((core, body))
            if self.left.wait(1.0):
                return False
        return False

    def _beat(self):
        while not self.closing and not self.left.is_set():
            self.announce()
            self.left.wait(1.2)

    def deliver_held(self):
        for core, body in self.held:
            status, _ = stand.call(core.control, "PUT", f"/api/instances/{self.id}", body)
            self.record(f"status report {body['sequence']} of {self.id} arrives late: {status}")

    def leave(self):
        """Returns when the deregistration was acknowledged."""
        self.left.set()
        for _ in range(10):
            for core in self.deployment.cores:
                status, _ = stand.call(core.control, "DELETE", f"/api/instances/{self.id}")
                if status == 200:
                    self.record(f"{self.id} has left: acknowledged by {core.name}")
                    return self.record.now()
        raise stand.CannotRun("the deregistration was not acknowledged")


answers = {}  # status by number


def attempt(record, edge, number):
    headers = [("Mulberrypath-Attempt-Id", f"{number:016x}"), ("Mulberrypath-Deadline-Ms", "4000")]
    record(f"client sends {number:016x} to {edge.name}")
    try:
        with stand.connect(edge.front, 1.0) as sock:
            sock.settimeout(5.0)
            sock.sendall(stand.format_request("POST", PATH, HOST, headers, b"order"))
            answer = stand.read_message(sock.makefile("rb"))
    except OSError:
        answer = None
    status = None if answer is None else answer.status
    record(f"client gets {status or 'nothing'} for {number:016x}")
    answers[number] = status


def send_requests(record, deployment, count, first):
    threads = [threading.Thread(target=attempt, args=(record, deployment.edges[i % 2], first + i))
               for i in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def case(record, folder, trouble):
    deployment = stand.Deployment(folder, record, cores=3, edges=2)
    servers = []
    try:
        deployment.start()
        deployment.put_configuration(CONFIGURATION)
        leaving = LeavingServer(deployment, "kuulde-app", 0)
        servers = [leaving] + [BusyServer(deployment, "kuulde-app", i) for i in range(1, 5)]
        deployment.wait_ready()
        time.sleep(4.0)
        send_requests(record, deployment, 30, 1)
        if not leaving.runs:
            raise stand.CannotRun("the server got no request before it left")
        # The link is cut just before the next status report is due.
        beats = leaving.beats
        while leaving.beats == beats:
            time.sleep(0.005)
        time.sleep(1.1)
        if trouble:
            leaving.cut.set()
            record("the link between the server and the core is cut")
        time.sleep(CUT_S)
        leaving.left.set()  # it has decided to leave: no further status reports
        leaving.cut.clear()
        record("the link is back")
        time.sleep(0.3)
        acked = leaving.leave()
        time.sleep(0.3)
        leaving.deliver_held()
        # DRAIN: a request that a client sends now must not reach the server after drain_ms.
        time.sleep(max(0.0, acked + DRAIN_S + 0.3 - record.now()))
        end = threading.Timer(acked + DRAIN_S + SERVES_ON_S - record.now(), lambda: (
            record(f"the process of {leaving.id} ends"), leaving.exit()))
        end.start()
        first = 101
        while record.now() < acked + DRAIN_S + SERVES_ON_S + 0.2:
            send_requests(record, deployment, 30, first)
            first += 30
        end.join()
        late = [run for run in leaving.runs if run[2] > acked + DRAIN_S and int(run[0], 16) > 100]
        for number, _, when in late:
            record(f"DRAIN: {number} reached {leaving.id} {when - acked:.2f} s after the acknowledgement")
        lost = [run[0] for run in late if answers.get(int(run[0], 16)) != 200]
        record(f"{len(late)} requests reached the server later than drain_ms after the acknowledgement, "
               f"{len(lost)} of them were lost with it")
        return stand.BROKEN if late else stand.HELD
    finally:
        for server in servers:
            server.close()
        deployment.stop()


stand.main(HERE, case)
