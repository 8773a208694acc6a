"""A small deployment on loopback and its stand-ins: clients, servers and the platform.

Used by the scripts of review/. Processes are target/bin/mulberryd, started as deploy/system.toml
says, with the settings that deploy/mulberryd.json.template gives for the bounds of kuulde-tallinn.
Each run takes loopback addresses of its own, checks that its ports are free there, and works in a
temporary folder. Stand-ins follow PROTOCOL.md; where it is silent they behave like sound ones.
"""
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/bin/mulberryd"
HELD, BROKEN, NOT_RUN = 0, 1, 2
CONTACT_S = 3.0


class CannotRun(Exception):
    """The case could not run: exit 2."""


class Record:
    """What was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()

    def now(self):
        return time.monotonic() - self.start


# ---- HTTP -------------------------------------------------------------------


class Message:
    """A request or an answer as it was read from a socket."""

    def __init__(self, first, headers, body, complete):
        self.first, self.headers, self.body, self.complete = first, headers, body, complete

    def get(self, name):
        return self.headers.get(name.lower())

    @property
    def status(self):
        return int(self.first.split(" ")[1])


def read_head(stream):
    """Reads a head; None at the end of the channel."""
    line = stream.readline()
    while line in (b"\r\n", b"\n"):
        line = stream.readline()
    if not line:
        return None
    headers = {}
    first = line.decode("latin-1").rstrip("\r\n")
    while True:
        line = stream.readline()
        if not line:
            return None
        text = line.decode("latin-1").rstrip("\r\n")
        if not text:
            return first, headers
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()


def read_message(stream):
    """Reads a request or an answer; None if the channel ends before its head is complete."""
    head = read_head(stream)
    if head is None:
        return None
    first, headers = head
    body, complete = b"", True
    if "content-length" in headers:
        length = int(headers["content-length"])
        body = stream.read(length) if length else b""
        complete = len(body) == length
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = stream.readline()
            if not line.strip():
                complete = False
                break
            size = int(line.split(b";")[0], 16)
            piece = stream.read(size + 2)
            if len(piece) < size + 2:
                complete = False
                break
            if size == 0:
                break
            body += piece[:size]
    return Message(first, headers, body, complete)


def connect(address, timeout):
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def format_request(method, path, host, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def call(address, method, path, body=None, timeout=1.0, host="control"):
    """One call on a new channel. Returns (status, body), or (None, reason)."""
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = [("Content-Type", "application/json")] if body is not None else []
    try:
        with connect(address, timeout) as sock:
            sock.settimeout(timeout)
            sock.sendall(format_request(method, path, host, headers, data))
            answer = read_message(sock.makefile("rb"))
    except OSError as error:
        return None, type(error).__name__
    if answer is None or not answer.complete:
        return None, "no whole answer"
    return answer.status, answer.body


# ---- the deployment ---------------------------------------------------------


class Instance:
    def __init__(self, deployment, name, ip, zone, is_core):
        self.deployment, self.name, self.ip, self.zone, self.is_core = deployment, name, ip, zone, is_core
        self.folder = os.path.join(deployment.folder, name)
        self.process = None
        self.starts = 0
        os.makedirs(os.path.join(self.folder, "data"))
        ports = deployment.ports
        self.control, self.registry = f"{ip}:{ports['control']}", f"{ip}:{ports['registry']}"
        self.front, self.readiness = f"{ip}:{ports['front']}", f"{ip}:{ports['readiness']}"

    def settings(self):
        ports = self.deployment.ports
        listen = {"control": self.control, "registry": self.registry} if self.is_core else {"front": self.front}
        out = {
            "cluster": "mulberrypath",
            "instance": {"name": self.name, "dataCentre": self.zone, "region": "ee-north"},
            "http": {"listen": f"{self.ip}:{ports['metrics']}",
                     "limits": {"bodyBytes": 8388608, "headerBytes": 65536, "connections": 3000,
                                "idleMs": 30000}},
            "bus": {"listen": f"{self.ip}:{ports['bus']}"},
            "seeds": [core.control for core in self.deployment.cores[:3]],
            "gateway": {**listen, "readiness": self.readiness, "founding": self.starts == 0,
                        "fenced": True, "addressLifetimeMs": 700, "heartbeatMs": 1200,
                        "drainMs": 2000, "stopMs": 8000, "orderLeaseMs": 3000, "retryRatio": 0.2,
                        "retryExtra": 52, "retryWindowMs": 10000, "storeWindowMs": 5000,
                        "storeOver": 1.1},
            "store": {"inFlight": 8}, "scheduling": {"loadMs": 250},
            "log": {"level": "info", "format": "json"},
        }
        if self.is_core:
            out["dataFolder"] = os.path.join(self.folder, "data")
        return out

    def start(self):
        path = os.path.join(self.folder, "boot.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file, indent=1)
        self.starts += 1
        with open(os.path.join(self.folder, "log"), "ab") as log:
            # pylint: disable=consider-using-with
            self.process = subprocess.Popen([PROGRAM, "--config", path], cwd=ROOT, stdout=log,
                                            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def send(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def ended_by_itself(self):
        return self.process.poll()

    def log_lines(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.readlines()


class Deployment:
    """Core and edge processes on loopback addresses that no other run uses."""

    PORTS = {"bus": 0, "metrics": 0, "control": 0, "registry": 0, "front": 0, "readiness": 0}

    def __init__(self, folder, record, cores=3, edges=2):
        self.folder, self.record = folder, record
        self.cores, self.edges = [], []
        self._choose_addresses(cores + edges)
        for i in range(cores):
            self.cores.append(Instance(self, f"core-{i}", self.ips[i], f"z{i % 3}", True))
        for i in range(edges):
            self.edges.append(Instance(self, f"edge-{i}", self.ips[cores + i], f"z{i % 3}", False))

    def _choose_addresses(self, count):
        for _ in range(50):
            net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
            self.ips = [f"{net}.{i + 1}" for i in range(count)]
            self.server_ips = [f"{net}.{i + 101}" for i in range(60)]
            base = random.randint(11000, 30000)
            self.ports = {name: base + i for i, name in enumerate(self.PORTS)}
            if all(is_free(ip, port) for ip in self.ips for port in self.ports.values()):
                return
        raise CannotRun("no free ports")

    def instances(self):
        return self.cores + self.edges

    def start(self):
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun(f"{PROGRAM} is not built")
        for instance in self.instances():
            instance.start()
            self.record(f"start {instance.name} {instance.ip}")

    def put_configuration(self, config, within_s=20.0, nodes=None):
        """As an admin: the same call to any node until it is acknowledged. Returns the time."""
        end = time.monotonic() + within_s
        body = json.dumps(config).encode()
        while time.monotonic() < end:
            for core in nodes or self.cores:
                status, text = call(core.control, "PUT", "/api/configuration", body)
                if status == 200:
                    self.record(f"admin: version {config['version']} acknowledged by {core.name}")
                    return time.monotonic()
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"configuration refused: {status} {text!r}")
            time.sleep(0.2)
        raise CannotRun("no configuration acknowledged")

    def wait_ready(self, edges=None, within_s=20.0):
        end = time.monotonic() + within_s
        for edge in edges or self.edges:
            while call(edge.readiness, "GET", "/api/readiness")[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun(f"{edge.name} is not ready")
                time.sleep(0.1)
        self.record("edges are ready")

    def leader(self):
        """The core that logs last that it places."""
        found, newest = None, ""
        for core in self.cores:
            for line in core.log_lines():
                if '"placing": true' in line or '"placing":true' in line:
                    stamp = line[:60]
                    if stamp > newest:
                        found, newest = core, stamp
        return found

    def stop(self):
        for instance in self.instances():
            process = instance.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for instance in self.instances():
            if instance.process is not None:
                instance.process.wait()


def is_free(ip, port):
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


# ---- servers ----------------------------------------------------------------


class Server:
    """A sound server of a service: announces itself, runs requests, tells its load."""

    SIGNATURE = "review.0"

    def __init__(self, deployment, service, index, slots=6, zone="z0"):
        self.deployment, self.record = deployment, deployment.record
        self.service, self.slots, self.zone = service, slots, zone
        self.id = f"i-{service}-{index}"
        self.ip = deployment.server_ips[index]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.closing = False
        self.draining = False
        self.lock = threading.Lock()
        self.runs = []  # (attempt, path, seconds since the start)
        self.channels = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.ip, 0))
        self.listener.listen(256)
        self.address = f"{self.ip}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        self.beat_thread = threading.Thread(target=self._beat, daemon=True)
        self.beat_thread.start()

    # announcements

    def description(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    def announce(self):
        """One status report: the next node is called until one acknowledges. Returns whether."""
        body = self.description()
        for core in random.sample(self.deployment.cores, len(self.deployment.cores)):
            if call(core.control, "PUT", f"/api/instances/{self.id}", body)[0] == 200:
                return True
        return False

    def _beat(self):
        while not self.closing:
            self.announce()
            time.sleep(1.2)

    # requests

    def _accept(self):
        while not self.closing:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve_channel, args=(sock,), daemon=True).start()

    def _serve_channel(self, sock):
        self.channels.add(sock)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = sock.makefile("rb")
            while not self.closing:
                request = read_message(stream)
                if request is None or not request.complete or not self.serve(sock, request):
                    break
        except (OSError, ValueError):
            pass
        finally:
            self.channels.discard(sock)
            sock.close()

    def serve(self, sock, request):
        """Answers one request; False: the channel is to be closed."""
        method, path, _ = request.first.split(" ", 2)
        if path == "/health":
            self.answer(sock, 200, b"", [("Mulberrypath-Instance-Id", self.id)])
            return True
        expected = request.get("Mulberrypath-Expected-Instance")
        if expected is not None and expected != self.id:
            self.answer(sock, 421, b"", [("Mulberrypath-Instance-Id", self.id),
                                         ("Mulberrypath-Not-Executed", "1")])
            return True
        return self.run(sock, request, method, path)

    def run(self, sock, request, method, path):
        attempt = request.get("Mulberrypath-Attempt-Id")
        with self.lock:
            self.running += 1
            self.runs.append((attempt, path, self.record.now()))
        self.record(f"{self.id} runs {attempt} {method} {path}")
        body = self.work(request)
        with self.lock:
            self.running -= 1
        self.answer(sock, 200, body, [("Mulberrypath-Attempt-Id", attempt),
                                      ("Mulberrypath-Server-Signature", self.SIGNATURE)])
        return True

    def work(self, request):
        time.sleep(0.06)
        return b"answer to " + (request.get("Mulberrypath-Attempt-Id") or "").encode()

    def answer(self, sock, status, body, headers):
        with self.lock:
            load = f"{self.running},0,{self.slots}"
        lines = [f"HTTP/1.1 {status} OK"] + [f"{name}: {value}" for name, value in headers]
        lines += [f"Mulberrypath-Instance-Load: {load}", f"Content-Length: {len(body)}"]
        sock.sendall("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)

    def close(self):
        self.closing = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()

    def exit(self):
        """The process ends: so do its channels, whatever it works on."""
        self.close()
        for sock in list(self.channels):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def main(folder, case):
    """Runs case(record, folder, trouble) -> HELD or BROKEN, and exits as the issue says."""
    os.chdir(ROOT)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="review-")
    code = NOT_RUN
    faults = []

    def on_thread_fault(args):
        faults.append(args.exc_value)
        record("".join(traceback.format_exception(args.exc_value)))

    threading.excepthook = on_thread_fault
    try:
        record(f"TROUBLE={1 if trouble else 0}")
        code = case(record, temporary, trouble)
        if faults and code == HELD:
            raise CannotRun("a stand-in failed")
    except CannotRun as error:
        code = NOT_RUN
        record(f"could not run: {error}")
    except Exception:  # pylint: disable=broad-except
        record(f"could not run: {traceback.format_exc()}")
    finally:
        if os.environ.get("KEEP") is None:
            shutil.rmtree(temporary, ignore_errors=True)
        else:
            print(temporary)
        record({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)
