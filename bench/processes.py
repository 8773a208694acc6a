#!/usr/bin/env python3
"""Real mulberryd processes over loopback: memory, CPU and messages a role.

usage: bench/processes.py [--instances N] [--voters N] [--regions N]
                          [--seconds N] [--changes N ...] [--adapters N]

For each rate of changes a second (0: idle) one line a role: the mean and
the largest resident set, share of a core from /proc, message bytes from
/metrics. Ends the processes it started, by their pids.
"""

import argparse
import hashlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MULBERRYD = os.path.join(ROOT, "build", "bin", "mulberryd")
START_SECONDS = 240
TOKEN = "bench"
FRACTION_OF_MEMORY = 0.4


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def new_keys():
    out = subprocess.run([MULBERRYD, "--generate-keys"], check=True,
                         capture_output=True, text=True)
    return json.loads(out.stdout)


def call(method, port, path, body=None, seconds=10):
    connection = http.client.HTTPConnection("127.0.0.1", port,
                                            timeout=seconds)
    try:
        connection.request(method, path, body,
                           {"Authorization": f"Bearer {TOKEN}",
                            "Content-Type": "application/json"})
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except OSError:
        return 0, ""
    finally:
        connection.close()


def write_settings(folder, count, voters, regions):
    ports = free_ports(2 * count)
    keys = [new_keys() for _ in range(count)]
    peers = [{"id": i + 1, "bus": f"127.0.0.1:{ports[i]}",
              "voter": i < voters, "publicKey": keys[i]["publicKey"]}
             for i in range(count)]
    for i in range(count):
        settings = {
            "cluster": "bench",
            "instance": {"id": i + 1, "name": f"i-{i + 1}",
                         "dataCentre": f"dc-{i % (2 * regions)}",
                         "region": f"region-{i % regions}"},
            "http": {"listen": f"127.0.0.1:{ports[count + i]}"},
            "bus": {"listen": peers[i]["bus"], **keys[i]},
            "peers": peers,
            "operators": [{"name": "ops", "tokenHash": sha256(TOKEN),
                           "teams": ["*"]}],
            "store": {"loadsPerSecond": 100,
                      "inFlight": 8},
        }
        if i < voters:
            settings["dataFolder"] = os.path.join(folder, f"data-{i + 1}")
        file = os.path.join(folder, f"{i + 1}.json")
        with open(file, "w") as f:
            os.fchmod(f.fileno(), 0o600)
            json.dump(settings, f)
        yield file, ports[count + i]


def used_bytes():
    fields = {}
    with open("/proc/meminfo") as f:
        for line in f:
            fields[line.split(":")[0]] = int(line.split()[1]) * 1024
    return fields["MemTotal"], fields["MemTotal"] - fields["MemAvailable"]


def rss_bytes(pid):
    with open(f"/proc/{pid}/statm") as f:
        return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def metrics(port):
    wanted = {}
    for line in call("GET", port, "/metrics")[1].splitlines():
        if line.startswith("#"):
            continue
        name, _, value = line.rpartition(" ")
        wanted[name] = float(value)
    return wanted


def sample(nodes):
    return [(time.monotonic(), cpu_seconds(n["pid"]), metrics(n["port"]))
            for n in nodes]


def status(port):
    return json.loads(call("GET", port, "/v1/status")[1] or "{}")


def document(adapters, weight):
    return json.dumps({
        "team": "team", "tokens": [sha256("caller")], "weight": weight,
        "kinds": {"draft": {"weight": 1, "priority": 1, "deadlineMs": 8000,
                            "maxTokens": 64}},
        "adapters": {f"adapter-{i}": {"version": "1", "baseModel": "base",
                                      "kind": "draft"}
                     for i in range(adapters)}})


def change_for(port, seconds, rate, adapters, revision):
    """Changes at a rate; the new revision and how many were accepted."""
    end = time.monotonic() + seconds
    next_at, done = time.monotonic(), 0
    while time.monotonic() < end:
        if rate > 0 and time.monotonic() >= next_at:
            next_at += 1 / rate
            code, text = call(
                "PUT", port, f"/v1/documents/team?revision={revision}"
                f"&change=c{revision}-{time.monotonic_ns()}",
                document(adapters, revision % 9 + 1))
            if code == 200:
                revision = json.loads(text)["revision"]
                done += 1
        time.sleep(max(0.0, min(next_at, end) - time.monotonic())
                   if rate > 0 else end - time.monotonic())
    return revision, done


def time_to_force(port, adapters, revision):
    began = time.monotonic()
    code, text = call("PUT", port, f"/v1/documents/team?revision={revision}"
                      f"&change=t{time.monotonic_ns()}",
                      document(adapters, revision % 9 + 1))
    if code != 200:
        return revision, float("nan"), float("nan")
    accepted = time.monotonic() - began
    while not json.loads(call("GET", port, "/v1/documents/team/status")[1]
                         or "{}").get("inForce"):
        if time.monotonic() - began > 30:
            break
        time.sleep(0.01)
    return (json.loads(text)["revision"], accepted,
            time.monotonic() - began)


def report(role, rows):
    if not rows:
        return
    mean = [sum(r[k] for r in rows) / len(rows) for k in range(4)]
    most = [max(r[k] for r in rows) for k in range(4)]
    print(f"  {role:8} {len(rows):4}  RSS {mean[0] / 1e6:6.1f} "
          f"(at most {most[0] / 1e6:.1f}) MB  CPU {mean[1] * 100:6.2f} "
          f"(at most {most[1] * 100:.2f}) %  in {mean[2] / 1e3:7.2f} "
          f"out {mean[3] / 1e3:7.2f} (at most {most[3] / 1e3:.2f}) KB/s",
          flush=True)


def measure(nodes, voters, options, rate, revision):
    change_for(nodes[-1]["port"], 2, rate, options.adapters, revision)
    revision = json.loads(call("GET", nodes[-1]["port"],
                               "/v1/documents/team")[1])["revision"]
    leader = status(nodes[-1]["port"])["leader"]
    before = sample(nodes)
    revision, done = change_for(nodes[-1]["port"], options.seconds, rate,
                                options.adapters, revision)
    after = sample(nodes)
    rows = {"leader": [], "voter": [], "other": []}
    for i, n in enumerate(nodes):
        span = after[i][0] - before[i][0]
        role = ("leader" if i + 1 == leader else
                "voter" if i < voters else "other")
        key = "mulberrypath_message_bytes_"
        rows[role].append((
            rss_bytes(n["pid"]), (after[i][1] - before[i][1]) / span,
            *((after[i][2][key + d] - before[i][2][key + d]) / span
              for d in ("in_total", "out_total"))))
    print(f"{rate:g} changes/s wanted, {done / options.seconds:.2f} "
          f"accepted; load average {os.getloadavg()[0]:.1f}")
    for role, list_ in rows.items():
        report(role, list_)
    return revision


def wait_members(nodes):
    end = time.monotonic() + START_SECONDS
    while time.monotonic() < end:
        members = status(nodes[-1]["port"]).get("members", [])
        total, used = used_bytes()
        if used > FRACTION_OF_MEMORY * total:
            raise SystemExit("too much memory is in use: stopped")
        if len(members) >= len(nodes) and all(
                call("GET", n["port"], "/readyz")[0] == 200 for n in nodes):
            return
        time.sleep(0.2)
    raise SystemExit("the cluster did not form in time")


def stop(nodes):
    for n in nodes:
        n["process"].send_signal(signal.SIGKILL)
    for n in nodes:
        n["process"].wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--instances", type=int, default=5)
    parser.add_argument("--voters", type=int, default=3)
    parser.add_argument("--regions", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("--adapters", type=int, default=100)
    parser.add_argument("--changes", type=float, nargs="+",
                        default=[0, 0.5, 50])
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="mulberrypath-bench-")
    nodes = []
    try:
        for file, port in write_settings(folder, options.instances,
                                         options.voters, options.regions):
            process = subprocess.Popen(
                [MULBERRYD, "--config", file], stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
            nodes.append({"pid": process.pid, "port": port,
                          "process": process})
        began = time.monotonic()
        wait_members(nodes)
        print(f"instances {options.instances}, voters {options.voters}, "
              f"{options.adapters} adapters: all members after "
              f"{time.monotonic() - began:.1f} s", flush=True)
        revision, accepted, told = 0, [], []
        for _ in range(4):
            revision, a, t = time_to_force(nodes[-1]["port"],
                                           options.adapters, revision)
            accepted.append(a)
            told.append(t)
        print("change accepted after", *(f"{a:.3f}" for a in accepted),
              "s, told in force after", *(f"{t:.3f}" for t in told), "s")
        for rate in options.changes:
            revision = measure(nodes, options.voters, options, rate,
                               revision)
    finally:
        stop(nodes)
        shutil.rmtree(folder)


if __name__ == "__main__":
    sys.exit(main())
