"""Runs the cases of bench/cases.json; see script/bench."""

import argparse
import collections
import concurrent.futures
import json
import os
import sys
import tempfile
import threading
import time

import limits
import path
import report
from system import DEMO, ROOT, System, make_trace

BENCH = os.path.join(ROOT, "bench")
SEATS, SLOTS, IN_FLIGHT, LOAD_S = 8, 4, 8, 0.25
SWEEP_SHARES = (0.4, 0.6, 0.8, 1.0, 1.2, 1.4)
SWEEP_SECONDS = 15


def say(text):
    print(f"[{time.strftime('%H:%M:%S')}] {text}", file=sys.stderr, flush=True)


# ---- what a case changed -----------------------------------------------------

def class_sum(status, name):
    """Sum in ms and count of one histogram over an instance's classes."""
    hists = [c[name] for c in status["classes"]]
    return (sum(h["meanMs"] * h["count"] for h in hists),
            sum(h["count"] for h in hists))


def stall_quantile(before, after, q):
    """Upper end in ms of the bucket with the q-quantile of a case's stalls.

    Before and after: counts by instance; a restarted one counts from 0.
    """
    counts = collections.Counter()
    for name, now in after.items():
        old = before.get(name, {})
        if any(old.get(end, 0) > n for end, n in now.items()):
            old = {}
        for end, n in now.items():
            counts[end] += n - old.get(end, 0)
    whole = max(counts.values(), default=0)
    return 1000 * min((end for end, n in counts.items()
                       if n >= q * whole > 0), default=0.0)


def difference(before, after):
    """Counters of one case; a restarted process counts from 0."""
    out = dict.fromkeys(("loads", "loadFailures", "evictions", "stallMs",
                         "stalled", "waitMs", "waited"), 0)
    gap = 0.0
    for key, now in after["instances"].items():
        old = before["instances"].get(key)
        if old and old["messages"]["in"] > now["messages"]["in"]:
            old = None
        for field in ("loads", "loadFailures", "evictions"):
            out[field] += now["work"][field] - \
                (old["work"][field] if old else 0)
        for name, ms, count in (("stall", "stallMs", "stalled"),
                                ("wait", "waitMs", "waited")):
            total, n = class_sum(now, name)
            if old:
                total, n = (total - class_sum(old, name)[0],
                            n - class_sum(old, name)[1])
            out[ms] += total
            out[count] += n
        gap = max(gap, now["work"]["largestGap"])
    out["largestGapSoFar"] = gap
    steps = sequences = adapters = refused = 0
    for key, now in after["engines"].items():
        old = before["engines"].get(key)
        if not old or old["incarnation"] != now["incarnation"]:
            old = {"steps": 0, "meanBatch": 0, "meanAdapters": 0,
                   "refused": 0}
        steps += now["steps"] - old["steps"]
        sequences += now["steps"] * now["meanBatch"] - \
            old["steps"] * old["meanBatch"]
        adapters += now["steps"] * now["meanAdapters"] - \
            old["steps"] * old["meanAdapters"]
        refused += now["refused"] - old["refused"]
    out["engineSteps"] = steps
    out["meanBatch"] = sequences / steps if steps else 0
    out["batchEfficiency"] = out["meanBatch"] / SEATS
    out["adaptersPerBatch"] = adapters / steps if steps else 0
    out["engineRefused"] = refused
    out["stallMeanMs"] = out["stallMs"] / max(1, out["stalled"])
    for percent in (95, 99):
        out[f"stallP{percent}Ms"] = stall_quantile(
            before["stallBuckets"], after["stallBuckets"], percent / 100)
    for field in ("served", "refused"):
        out[f"store{field.capitalize()}"] = \
            after["store"][field] - before["store"][field]
    out["storeMaxInFlight"] = after["store"]["maxInFlight"]
    return out


def recovery_seconds(result, kill_s):
    """Seconds after a kill until delivery is back; None when never."""
    delivered = result["timeline"]["deliveredWeight"]
    offered = result["timeline"]["offered"]
    before = sum(delivered[2:kill_s]) / max(1, sum(offered[2:kill_s]))
    for second in range(kill_s, len(offered) - 2):
        part = slice(second, second + 3)
        if sum(delivered[part]) >= 0.9 * before * sum(offered[part]) > 0:
            return second - kill_s
    return None


# ---- cases -------------------------------------------------------------------

def seats_rate(cases, name):
    """Requests a second that would fill every seat."""
    seconds = limits.STEP_S * cases["answerTokens"] + \
        limits.PREFILL_S_PER_TOKEN * (cases["promptBytes"] / 4 + 1)
    shares = cases["shares"]
    return DEMO.DEPLOYMENTS[name]["engines"] * SEATS / seconds / \
        (1 - shares["bookings"] - shares["lookups"])


def trace_options(cases, name, case):
    if "seats" in case:
        rate = case["seats"] * seats_rate(cases, name)
    else:
        rate = case["load"] * cases["capacity"][name]
    options = {"seed": cases["seed"], "seconds": case["seconds"],
               "rate": rate, "adapters": cases["adapters"],
               "zipf": case.get("zipf", cases["zipf"]),
               "teams": cases["shareOf"][name], "burst": cases["burst"],
               "answer-tokens": cases["answerTokens"],
               "prompt-bytes": cases["promptBytes"], **cases["shares"]}
    if "flood" in case:
        options["flood"] = ":".join(
            [cases["flooding"][name], *map(str, case["flood"])])
    if "flip" in case:
        options["flip"] = case["flip"]
    return options


def disturb(system, case):
    """What happens to processes while a case runs; the thread, or None."""
    def restart_engine():
        engine = system.processes("engine")[0]
        system.kill(engine)
        system.restart(engine)

    def kill_instance():
        system.kill(system.processes("instance")[3])

    def lose_centre():
        centre = system.processes("instance")[3]["dataCentre"]
        for p in system.of_centre(centre):
            system.kill(p)

    action = {"restart": restart_engine, "kill": kill_instance,
              "lose": lose_centre}
    for name, act in action.items():
        if name in case:
            timer = threading.Timer(case[name], act)
            timer.start()
            return timer
    return None


def run_case(system, case, trace, lead, folder):
    before = system.counters()
    timer = disturb(system, case)
    result = system.load(trace, os.path.join(folder, "report.json"),
                         "--window", f"{lead}:{case['seconds']}")
    if timer:
        timer.join()
    result["counters"] = difference(before, system.counters())
    for word, lost in (
            ("kill", system.processes("instance")[3:4]),
            ("lose", system.of_centre(
                system.processes("instance")[3]["dataCentre"]))):
        if word in case:
            result["recoveryS"] = recovery_seconds(result, case[word])
            for p in lost:
                system.restart(p)
    return result


def run_policy(cases, plan, name, policy, traces):
    system = System(name, policy, cases["deadlineMs"])
    results = {}
    try:
        system.start()
        with tempfile.TemporaryDirectory() as folder:
            for case in plan["cases"]:
                trace = traces(system, name, case)
                started = time.monotonic()
                results[case["name"]] = run_case(
                    system, case, trace, plan["lead"], folder)
                say(f"{name} {policy} {case['name']}: "
                    f"{time.monotonic() - started:.0f} s")
        system.stop()
    except BaseException:
        DEMO.stop_processes(system.deployment["processes"])
        raise
    return results


class Traces:
    """Each trace is made once and sent to every policy."""

    def __init__(self, cases, folder):
        self.cases, self.folder = cases, folder
        self.lock = threading.Lock()

    def file(self, name, case):
        return os.path.join(self.folder, f"{name}-{case['name']}.jsonl")

    def __call__(self, system, name, case):
        file = self.file(name, case)
        with self.lock:
            if not os.path.exists(file):
                make_trace(system, file,
                           trace_options(self.cases, name, case))
        return file


def stated_limits(cases, plan, name, traces):
    shape = DEMO.DEPLOYMENTS[name]
    warm = plan["cases"][0]
    out = {}
    for case in plan["cases"][1:]:
        models = limits.read_models(traces.file(name, case))
        both = limits.read_models(traces.file(name, warm),
                                  -warm["seconds"]) + models

        def stall(limit):
            store = limits.Store(float(shape["storeRate"]), IN_FLIGHT, LOAD_S)
            store.at = -warm["seconds"]
            return limit(both, shape["engines"] * SLOTS, store, 0,
                         cases["deadlineMs"] / 1000)
        out[case["name"]] = {
            "stall": stall(limits.belady_stall),
            "popularStall": stall(limits.popular_stall),
            "packedBatch": limits.packed_batch(
                models, shape["engines"], SEATS, SLOTS)}
    return out


def machine():
    with open("/proc/loadavg") as f:
        return {"cores": os.cpu_count(), "loadAverage": f.read().split()[:3],
                "time": time.strftime("%Y-%m-%d %H:%M:%S")}


def run_all(cases, plan, names, parallel):
    started = time.monotonic()
    out = {"plan": plan["cases"], "settings": {
        k: v for k, v in cases.items() if k not in ("quick", "full")},
        "parallel": parallel, "machineBefore": machine(), "deployments": {}}
    with tempfile.TemporaryDirectory() as folder, \
            concurrent.futures.ThreadPoolExecutor(parallel) as pool:
        traces = Traces(cases, folder)
        jobs = {(n, p): pool.submit(run_policy, cases, plan, n, p, traces)
                for n in names for p in cases["policies"]}
        for n in names:
            out["deployments"][n] = {
                "policies": {p: jobs[n, p].result()
                             for p in cases["policies"]}}
            out["deployments"][n]["limits"] = stated_limits(
                cases, plan, n, traces)
    out["machineAfter"] = machine()
    out["seconds"] = time.monotonic() - started
    return out


def print_case(cases, plan, names, options):
    """Run one case of a plan and print what the report says of it."""
    plan["cases"] = [plan["cases"][0]] + [
        c for c in plan["cases"] if c["name"] == options.case]
    out = run_all(cases, plan, names, options.parallel or 1)
    print("load average", out["machineBefore"]["loadAverage"],
          out["machineAfter"]["loadAverage"])
    for name, data in out["deployments"].items():
        print(name)
        print(report.case_table(data["policies"],
                                data["limits"][options.case], options.case))
        for policy, results in data["policies"].items():
            result = results[options.case]
            print(policy, "recovery s", result.get("recoveryS"), [
                (t["team"], t["delivered"], t["offered"],
                 t["firstToken"]["p95Ms"]) for t in result["teams"]])


# ---- modes -------------------------------------------------------------------

def sweep(cases, names):
    """Delivered share by rate, to set the capacities."""
    for name in names:
        system = System(name, "fair", cases["deadlineMs"])
        try:
            system.start()
            with tempfile.TemporaryDirectory() as folder:
                for share in SWEEP_SHARES:
                    case = {"load": share, "seconds": SWEEP_SECONDS}
                    trace = os.path.join(folder, "t.jsonl")
                    make_trace(system, trace,
                               trace_options(cases, name, case))
                    result = system.load(trace, os.path.join(folder, "r"),
                                         "--window", f"5:{SWEEP_SECONDS}")
                    total = result["total"]
                    say(f"{name} {cases['capacity'][name] * share:.0f}/s: "
                        f"offered {total['offered']}, delivered "
                        f"{total['delivered']}, first p50 "
                        f"{total['firstToken']['p50Ms']:.0f} p95 "
                        f"{total['firstToken']['p95Ms']:.0f} ms")
            system.stop()
        except BaseException:
            DEMO.stop_processes(system.deployment["processes"])
            raise


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--path", action="store_true")
    parser.add_argument("--sweep", action="store_true")
    parser.add_argument("--deployment", choices=sorted(DEMO.DEPLOYMENTS))
    parser.add_argument("--parallel", type=int)
    parser.add_argument("--case", help="after the warming case, this one; "
                        "printed, not written")
    parser.add_argument("--policy", action="append")
    options = parser.parse_args()
    with open(os.path.join(BENCH, "cases.json")) as f:
        cases = json.load(f)
    names = [options.deployment] if options.deployment else \
        list(cases["capacity"])
    if options.sweep:
        sweep(cases, names)
        return
    if options.path:
        before = machine()
        section = {"path": {**path.measure(say), "machineBefore": before,
                            "machine": machine()}}
    else:
        kind = "quick" if options.quick else "full"
        cases["policies"] = options.policy or cases["policies"]
        if options.case:
            print_case(cases, cases[kind], names, options)
            return
        section = {"load": run_all(cases, cases[kind], names,
                                   options.parallel or
                                   (8 if options.quick else 2))}
        section["load"]["kind"] = kind
    report.update(BENCH, section)
    say(f"written: {os.path.join(BENCH, 'REPORT.md')}")


if __name__ == "__main__":
    main()
