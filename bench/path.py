"""What the path itself adds, against the caller talking to the engine."""

import json
import os
import subprocess
import tempfile
import time

from system import DEMO, System

RATES = (100, 800, 3000)
SECONDS = 5
IDLE_SECONDS = 5
# Enough that the policy loads the adapter on all engines beforehand.
WARM_RATE, WARM_SECONDS = RATES[-1], 2
HZ = os.sysconf("SC_CLK_TCK")
ENGINE = ["--step-ms", "1", "--adapter-ms", "0", "--prefill-us", "0",
          "--seats", "64", "--fencing", "ignored"]


def usage(process):
    """CPU seconds, resident and peak resident kB of a process."""
    with open(f"/proc/{process['pid']}/stat") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{process['pid']}/status") as f:
        lines = dict(line.split(":", 1) for line in f if ":" in line)
    return {"cpuS": (int(fields[11]) + int(fields[12])) / HZ,
            "rssKb": int(lines["VmRSS"].split()[0]),
            "peakKb": int(lines["VmHWM"].split()[0])}


def observe(system, act):
    """CPU time and memory of each instance while act() runs."""
    instances = system.processes("instance")
    before = [usage(p) for p in instances]
    started = time.monotonic()
    result = act()
    seconds = time.monotonic() - started
    after = [usage(p) for p in instances]
    return result, {
        "seconds": seconds,
        "cpuS": [a["cpuS"] - b["cpuS"] for a, b in zip(after, before)],
        "rssKb": [a["rssKb"] for a in after],
        "peakKb": [a["peakKb"] for a in after]}


def write_trace(file, rate, seconds, adapter):
    with open(file, "w") as f:
        for i in range(rate * seconds):
            json.dump({"at_ms": i * 1000 // rate, "team": adapter["team"],
                       "kind": "draft", "adapter": adapter["name"],
                       "version": adapter["version"],
                       "prompt": f"request {i}", "max_tokens": 4,
                       "stream": True}, f)
            f.write("\n")


def direct(trace, report, engine, *more):
    subprocess.run([f"{DEMO.BIN}/mulberryctl", "load", "--trace", trace,
                    "--server", engine["address"], "--direct", "--quiet",
                    "--report", report, *more],
                   check=True, stdout=subprocess.DEVNULL)
    with open(report) as f:
        return json.load(f)


def percentile(ordered, share):
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def times(values):
    """Exact mean and percentiles in ms of microseconds."""
    ordered = sorted(v / 1000 for v in values)
    if not ordered:
        return {"meanMs": 0, "p50Ms": 0, "p99Ms": 0}
    return {"meanMs": sum(ordered) / len(ordered),
            "p50Ms": percentile(ordered, 0.5),
            "p99Ms": percentile(ordered, 0.99)}


def figures(report, samples):
    total = report["total"]
    with open(samples) as f:
        pairs = [[int(word) for word in line.split()] for line in f]
    return {"offered": total["offered"], "delivered": total["delivered"],
            "perSecond": total["delivered"] / SECONDS,
            "first": times([a for a, _ in pairs]),
            "whole": times([b for _, b in pairs])}


def holder_of(system, adapter):
    """The engine that has the adapter loaded."""
    key = f"{adapter['team']}/{adapter['name']}@{adapter['version']}"
    return next(p for p in system.processes("engine")
                if key in system.get(p["address"], "/fake/state")["adapters"])


def measure_rate(system, folder, rate, adapter):
    trace, report, samples = (os.path.join(folder, name)
                              for name in ("trace", "report", "samples"))
    write_trace(trace, rate, SECONDS, adapter)
    result, cost = observe(system, lambda: system.load(
        trace, report, "--samples", samples))
    path = figures(result, samples)
    plain = direct(trace, report, holder_of(system, adapter),
                   "--samples", samples)
    return {"path": path, "direct": figures(plain, samples),
            "instances": cost}


def say_rate(say, rate, r):
    a, b = r["path"], r["direct"]
    say(f"{rate}/s: delivered {a['perSecond']:.0f}/s, direct "
        f"{b['perSecond']:.0f}/s; added to the first token: median "
        f"{a['first']['p50Ms'] - b['first']['p50Ms']:.2f} ms, 99th "
        f"{a['first']['p99Ms'] - b['first']['p99Ms']:.2f} ms; to the whole: "
        f"median {a['whole']['p50Ms'] - b['whole']['p50Ms']:.2f} ms, 99th "
        f"{a['whole']['p99Ms'] - b['whole']['p99Ms']:.2f} ms")
    say_cost(say, f"{rate}/s", r["instances"])


def say_cost(say, what, cost):
    say(f"{what}: an instance used up to "
        f"{max(cost['cpuS']) / cost['seconds']:.2%} of a core "
        f"({max(cost['cpuS']):.2f} s in {cost['seconds']:.1f} s), peak "
        f"memory up to {max(cost['peakKb']) / 1024:.1f} MB")


def start_fast(start):
    """DEMO.start, but engines hardly take time of their own."""
    def fast(deployment, name, kind, command, **more):
        if kind == "engine":
            command = command + ENGINE
        return start(deployment, name, kind, command, **more)
    return fast


def run(system, say):
    adapter = {"team": "tallinn", "name": system.shape["adapter"],
               "version": "2"}
    out = {"rates": {}, "rateSeconds": SECONDS}
    system.start()
    with tempfile.TemporaryDirectory() as folder:
        _, out["idle"] = observe(system, lambda: time.sleep(IDLE_SECONDS))
        say_cost(say, "idle", out["idle"])
        trace = os.path.join(folder, "warm")
        write_trace(trace, WARM_RATE, WARM_SECONDS, adapter)
        system.load(trace, os.path.join(folder, "report"))
        for rate in RATES:
            out["rates"][rate] = measure_rate(system, folder, rate, adapter)
            say_rate(say, rate, out["rates"][rate])
    system.stop()
    return out


def measure(say):
    """Fast engines, one hot adapter: what is left is the path."""
    system = System("kuuldeallikas", "fair", 20000)
    system.shape = {**system.shape, "engines": 4}
    start = DEMO.start
    DEMO.start = start_fast(start)
    try:
        return run(system, say)
    except BaseException:
        DEMO.stop_processes(system.deployment["processes"])
        raise
    finally:
        DEMO.start = start
