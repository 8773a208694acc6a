#!/usr/bin/env python3
"""Upgrades a cluster of real processes from one program version to another, one
instance at a time, undoes it, and upgrades again, while the configuration is
changed. Checks that each instance has each configuration, confirmed.

usage: bench/mixed_versions.py OLD NEW     (two mulberryd programs)

Three instances with a disk and two entries, on 127.0.77.1 to 127.0.77.5.
"""
import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

CORES, COUNT = 3, 5
LEASE_S = 10  # until an instance that was killed is surely no member


def address(i, port):
    return "127.0.77.%d:%d" % (i + 1, port)


def settings(i):
    gateway = {"founding": True, "fenced": True}
    out = {
        "cluster": "c",
        "instance": {"name": "m%d" % i, "dataCentre": "z", "region": "r"},
        "http": {"listen": address(i, 27390)},
        "bus": {"listen": address(i, 27000)},
        "seeds": [address(k, 28000) for k in range(CORES)],
        "gateway": gateway,
        "log": {"level": "info", "format": "json"},
    }
    if i < CORES:
        out["dataFolder"] = "data"
        gateway.update(control=address(i, 28000), registry=address(i, 28001))
    else:
        gateway.update(front=address(i, 29000), readiness=address(i, 29001))
    return out


def text(version):
    routes = [
        {
            "name": "r%d" % k,
            "host": "h.example",
            "path_prefix": "/r%d/" % k,
            "type": "non_idempotent",
            "timeout_ms": 2000 + (version if k == 30 else 0),
            "service": "app",
        }
        for k in range(60)
    ]
    return json.dumps(
        {"version": version, "routes": routes, "services": [{"name": "app"}]}
    ).encode()


class Cluster:
    def __init__(self, folder):
        self.folder = folder
        self.processes = [None] * COUNT
        self.failures = 0
        for i in range(COUNT):
            os.makedirs("%s/%d" % (folder, i))
            with open("%s/%d/settings.json" % (folder, i), "w") as f:
                json.dump(settings(i), f)

    def start(self, i, program):
        folder = "%s/%d" % (self.folder, i)
        with open(folder + "/log", "ab") as log:
            self.processes[i] = subprocess.Popen(
                [program, "--config", folder + "/settings.json"],
                cwd=folder, stdout=log, stderr=subprocess.STDOUT)

    def kill(self, i):
        if self.processes[i] is not None:
            self.processes[i].kill()
            self.processes[i].wait()
            self.processes[i] = None

    def metrics(self, i):
        try:
            with urllib.request.urlopen(
                    "http://%s/metrics" % address(i, 27390), timeout=2) as r:
                lines = r.read().decode().splitlines()
        except OSError:
            return {}
        words = [l.split(" ") for l in lines if not l.startswith("#")]
        return {w[0][len("mulberrypath_gate_config_"):]: float(w[1])
                for w in words
                if w[0].startswith("mulberrypath_gate_config_")}

    def put(self, version):
        end = time.time() + 30
        while time.time() < end:
            for i in range(CORES):
                request = urllib.request.Request(
                    "http://%s/api/configuration" % address(i, 28000),
                    data=text(version), method="PUT")
                try:
                    with urllib.request.urlopen(request, timeout=5):
                        return
                except (OSError, urllib.error.HTTPError):
                    time.sleep(0.1)
        self.failures += 1
        print("FAILED: version %d is not acknowledged" % version)

    def expect(self, version, what):
        begin = time.time()
        while time.time() < begin + 25:
            all_of = [self.metrics(i) for i in range(COUNT)]
            if all(m.get("version") == version and m.get("confirmed") == 1
                   for m in all_of):
                print("%-20s version %d at all after %.1f s; differences %s, "
                      "repeats %s" % (
                          what, version, time.time() - begin,
                          [int(m.get("deltas_total", -1)) for m in all_of],
                          [int(m.get("repeats_total", -1)) for m in all_of]),
                      flush=True)
                return
            time.sleep(0.1)
        self.failures += 1
        print("FAILED: %s: version %d: %s" % (what, version, [
            (m.get("version"), m.get("confirmed")) for m in all_of]))


def play(cluster, old, new):
    version = 1
    for i in range(COUNT):
        cluster.start(i, old)
    cluster.put(version)
    cluster.expect(version, "all old")
    for name, program, order in (
            ("upgrade", new, range(COUNT)),
            ("undo", old, reversed(range(COUNT))),
            ("upgrade again", new, range(COUNT))):
        for i in order:
            cluster.kill(i)
            cluster.put(version + 1)
            cluster.start(i, program)
            time.sleep(0.5)
            version += 2
            cluster.put(version)
            cluster.expect(version, "%s %d" % (name, i))
        time.sleep(LEASE_S)
        for _ in range(3):
            version += 1
            cluster.put(version)
        cluster.expect(version, name + ", done")


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder)
        try:
            play(cluster, *[os.path.abspath(p) for p in sys.argv[1:]])
        finally:
            for i in range(COUNT):
                cluster.kill(i)
    print("%d failures" % cluster.failures)
    sys.exit(1 if cluster.failures else 0)


if __name__ == "__main__":
    main()
