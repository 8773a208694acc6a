"""Streams with a length that are resumed at another worker after a crash. See claim.txt."""
import json, os, random, socket, struct, sys, threading, time

import harness as H

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
WORKERS = 6
CRASHED = 1  # of six: a share of 0.167; the site file goes to 0.25
DOWN_S = 4.5
CALM_S = 2.0
AFTER_S = 7.0
CLIENTS = 42
EVENTS = 40
EVENT_GAP_S = 0.015
WORDS = ["box", "parcel", "courier", "battery", "delivered", "at", "the", "clinic", "tomorrow"]

record = H.Record(os.path.join(HERE, "record.txt"))
lock = threading.Lock()
answered = {}  # attempt id: (status, whole pieces, ended as complete, bytes after the end)
resumed = set()  # attempt ids that a second worker went on with


def draft(attempt, ident):
    """The text that a worker makes of a request: each has its own, sampled anew."""
    rng = random.Random(attempt + ident)
    return [b"id: %d\ndata: %s\n\n" % (n, " ".join(rng.choice(WORDS) for _ in range(3)).encode())
            for n in range(1, EVENTS + 1)]


class Engine(H.Worker):
    """A worker of the language model service, with its model loaded and no adapters."""

    def report_models(self):
        return [{"name": H.MODEL, "version": 1, "adapters": []}]

    def report(self, s, headers):
        body = json.dumps({"phase": "combined", "models": self.report_models(), "busy": False, "sequence": 0,
                           "queued": 0, "active": self.active, "kv_used": 0, "kv_total": 129651,
                           "handles": 0}).encode()
        self.answer(s, "200 OK", [("Content-Type", "application/json")], body)
        return True

    def order(self, s, headers, order):
        self.answer(s, "200 OK", [])  # its model is loaded
        return True

    def run(self, s, method, path, headers, body):
        attempt = headers["mulberrypath-attempt-id"]
        after = int(headers.get("last-event-id", "0"))
        pieces = draft(attempt, self.id)[after:]
        with self.lock:
            self.active += 1
        with lock:
            if after:
                resumed.add(attempt)
        length = sum(len(p) for p in pieces)
        record.write("run %s by %s, after piece %d, %d bytes" % (attempt, self.id, after, length))
        try:
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n" % length
            for name, value in self.proof(headers):
                head += "%s: %s\r\n" % (name, value)
            s.sendall((head + "\r\n").encode())
            for p in pieces:
                s.sendall(p)
                time.sleep(EVENT_GAP_S)
            record.write("done %s by %s" % (attempt, self.id))
            return True
        finally:
            with self.lock:
                self.active -= 1

    def crash(self):
        """The process is gone: its channels are reset, its address answers no more."""
        record.write("crash of %s" % self.id)
        self.closing = True
        self.listener.close()
        for s in list(self.channels):
            try:
                s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                s.close()
            except OSError:
                pass


def bytes_after(c):
    """What comes on a kept channel while no request waits there."""
    if c.sock is None:
        return c.rest
    got = c.rest
    c.rest = b""
    c.sock.settimeout(0.15)
    try:
        got += c.sock.recv(65536)
    except OSError:
        pass
    return got


def client(deployment, number, stop):
    edge = deployment.edges[number % len(deployment.edges)]
    c = H.Client((edge.ip, deployment.ports["front"]))
    n = 0
    while not stop.is_set():
        n += 1
        attempt = "s%d-%d" % (number, n)
        record.write("sent %s to %s" % (attempt, edge.name))
        status, headers, data, complete = c.request(
            "POST", "/note/draft", attempt, 12000,
            [("Mulberrypath-Model", H.MODEL), ("Mulberrypath-Token-Usage", "100,120"),
             ("Mulberrypath-Prompt-Prefix", "5c1e07a2:80,%x%04x:20" % (number + 1, n))], b"draft")
        after = bytes_after(c) if complete else b""
        pieces = data.count(b"\n\n") if status == 200 else 0
        with lock:
            answered[attempt] = (status, pieces, complete, after)
        record.write("answer %s: %s, length %s, %d bytes with %d whole pieces, %s" % (
            attempt, status if status > 0 else "none", headers.get("content-length", "none"), len(data), pieces,
            "complete" if complete else "broken off"))
        if after:
            record.write("then on its channel, with no request waiting: %r" % after[:80])
            c.close()


def judge():
    """The rules as written: ended as complete before its last piece; bytes that are no answer."""
    cut = [a for a, (status, pieces, complete, _) in answered.items() if status == 200 and complete and pieces < EVENTS]
    stray = [a for a, (_, _, _, after) in answered.items() if after]
    for a in cut:
        record.write("BROKEN (ORDER): %s ended as complete after %d whole pieces of %d" % (a, answered[a][1], EVENTS))
    for a in stray:
        record.write("BROKEN (MIXED): %d bytes that are no answer came after %s" % (len(answered[a][3]), a))
    print("%d streams, %d resumed; %d ended as complete before their last piece, %d with stray bytes after their end"
          % (len(answered), len(resumed), len(cut), len(stray)))
    return 1 if cut or stray else 0


def main():
    deployment = H.Deployment()
    stop = threading.Event()
    try:
        deployment.start()
        workers = [Engine(deployment, record, "i-lm%d" % i, "kuulde-lm", 64, models=[]) for i in range(WORKERS)]
        engine = {"slots": 64, "kv_capacity_tokens": 129651, "weights_mb": 66500.0, "adapter_slots": 5,
                  "loads_per_s": 4.8, "models": [{"name": H.MODEL, "weights_mb": 65100.0, "load_s": 2.5,
                                                  "adapters": 3000, "adapter_size_mb": 12.0,
                                                  "warm_s": 0.6, "disk_s": 1.0}]}
        deployment.put({"version": 1,
                        "routes": [H.route("r-note", "/note/", "streaming", "kuulde-lm", timeout_ms=12000,
                                           target_ms=1000, attempts=2, sticky=True, resumable=True,
                                           target_gap_ms=300)],
                        "services": [{"name": "kuulde-lm", "health_path": "/health", "max_connections": 360,
                                      "protocol": "h1", "tls": False, "engine": engine}],
                        "limits": H.LIMITS})
        deployment.wait_ready()
        time.sleep(1.5)  # all workers have reported
        threads = [threading.Thread(target=client, args=(deployment, i, stop), daemon=True) for i in range(CLIENTS)]
        for t in threads:
            t.start()
        time.sleep(CALM_S)
        if TROUBLE:
            for w in workers[:CRASHED]:
                w.crash()
        time.sleep(DOWN_S)
        if TROUBLE:
            for i in range(CRASHED):
                Engine(deployment, record, "i-lm%d" % (WORKERS + i), "kuulde-lm", 64, models=[])
        time.sleep(AFTER_S - DOWN_S)
        stop.set()
        for t in threads:
            t.join(13)
        if sum(s == 200 for s, _, _, _ in answered.values()) < 50:
            raise H.CannotRun("only %d streams were served" % sum(s == 200 for s, _, _, _ in answered.values()))
        if TROUBLE and not resumed:
            raise H.CannotRun("no stream was resumed")
        return judge()
    except H.CannotRun as e:
        print("cannot run:", e)
        return 2
    finally:
        stop.set()
        deployment.end()


if __name__ == "__main__":
    sys.exit(main())
