"""What the path itself adds, against the caller talking to the engine."""

import json
import os
import subprocess
import tempfile
import time

from system import DEMO, System

RATES = (50, 200, 400)
SECONDS = 10
HZ = os.sysconf("SC_CLK_TCK")
ENGINE = ["--step-ms", "1", "--adapter-ms", "0", "--prefill-us", "0",
          "--seats", "64", "--fencing", "ignored"]


def usage(process):
    """CPU seconds and peak resident kB of a process."""
    with open(f"/proc/{process['pid']}/stat") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{process['pid']}/status") as f:
        peak = next(line for line in f if line.startswith("VmHWM"))
    return ((int(fields[11]) + int(fields[12])) / HZ, int(peak.split()[1]))


def observe(system, act):
    """CPU share and peak memory of each instance while act() runs."""
    instances = system.processes("instance")
    before = [usage(p) for p in instances]
    started = time.monotonic()
    result = act()
    seconds = time.monotonic() - started
    after = [usage(p) for p in instances]
    return result, {
        "seconds": seconds,
        "cpuOfACore": [(a[0] - b[0]) / seconds
                       for a, b in zip(after, before)],
        "peakKb": [a[1] for a in after]}


def write_trace(file, rate, team, adapter, version):
    with open(file, "w") as f:
        for i in range(rate * SECONDS):
            json.dump({"at_ms": i * 1000 // rate, "team": team,
                       "kind": "draft", "adapter": adapter,
                       "version": version, "prompt": f"request {i}",
                       "max_tokens": 4, "stream": True}, f)
            f.write("\n")


def direct(system, trace, report, engine):
    subprocess.run([f"{DEMO.BIN}/mulberryctl", "load", "--trace", trace,
                    "--server", engine["address"], "--direct", "--quiet",
                    "--report", report],
                   check=True, stdout=subprocess.DEVNULL)
    with open(report) as f:
        return json.load(f)


def figures(result):
    total = result["total"]
    return {"offered": total["offered"], "delivered": total["delivered"],
            "refused": total["refused"],
            "perSecond": total["delivered"] / SECONDS,
            "first": total["firstToken"], "whole": total["whole"]}


def measure(say):
    """Fast engines, one hot adapter: what is left is the path."""
    system = System("kuuldeallikas", "fair", 20000)
    shape = {**system.shape, "engines": 4}
    system.shape = shape
    start = DEMO.start

    def start_fast(deployment, name, kind, command, **more):
        if kind == "engine":
            command = command + ENGINE
        return start(deployment, name, kind, command, **more)

    DEMO.start = start_fast
    out = {"rates": {}}
    try:
        system.start()
        team = "tallinn"
        adapter = shape["adapter"]
        with tempfile.TemporaryDirectory() as folder:
            _, out["idle"] = observe(system, lambda: time.sleep(SECONDS))
            trace = os.path.join(folder, "t.jsonl")
            report = os.path.join(folder, "r.json")
            write_trace(trace, 20, team, adapter, "2")
            system.load(trace, report)  # loads the adapter everywhere
            for rate in RATES:
                write_trace(trace, rate, team, adapter, "2")
                result, cost = observe(
                    system, lambda: system.load(trace, report))
                holder = next(
                    (p for p in system.processes("engine")
                     if f"{team}/{adapter}@2" in system.get(
                         p["address"], "/fake/state")["adapters"]), None)
                plain = direct(system, trace, report, holder)
                out["rates"][rate] = {"path": figures(result),
                                      "direct": figures(plain),
                                      "instances": cost}
                say(f"path {rate}/s: median "
                    f"{result['total']['firstToken']['p50Ms']:.2f} ms, "
                    f"direct {plain['total']['firstToken']['p50Ms']:.2f} ms")
        system.stop()
    except BaseException:
        DEMO.stop_processes(system.deployment["processes"])
        raise
    finally:
        DEMO.start = start
    return out
