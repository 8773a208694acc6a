"""Writes bench/report.json, bench/REPORT.md and its plots."""

import json
import os

import plots

COLUMNS = (
    ("offered", lambda r: r["total"]["offered"], "{}"),
    ("delivered", lambda r: r["total"]["delivered"], "{}"),
    ("weighted", lambda r: r["total"]["deliveredWeight"], "{:.0f}"),
    ("refused", lambda r: r["total"]["refused"], "{}"),
    ("failed / unknown", lambda r: f"{r['total']['failed']} / "
     f"{r['total']['unknown']}", "{}"),
    ("cut / wrong", lambda r: f"{r['total']['cut']} / "
     f"{r['total']['wrong']}", "{}"),
    ("first token p50", lambda r: r["total"]["firstToken"]["p50Ms"], "{:.0f}"),
    ("p95", lambda r: r["total"]["firstToken"]["p95Ms"], "{:.0f}"),
    ("p99 ms", lambda r: r["total"]["firstToken"]["p99Ms"], "{:.0f}"),
    ("cut-off, followed", lambda r: r["followed"], "{}"),
    ("between p95 ms", lambda r: r["total"]["betweenTokens"]["p95Ms"],
     "{:.1f}"),
    ("stall mean ms", lambda r: r["counters"]["stallMeanMs"], "{:.0f}"),
    ("stall p95 / p99 at most ms", lambda r: " / ".join(
        f"{r['counters'][p]:.0f}" for p in ("stallP95Ms", "stallP99Ms")
        if p in r["counters"]), "{}"),
    ("stall total s", lambda r: r["counters"]["stallMs"] / 1000, "{:.1f}"),
    ("loads", lambda r: r["counters"]["loads"], "{}"),
    ("evictions", lambda r: r["counters"]["evictions"], "{}"),
    ("mean batch", lambda r: r["counters"]["meanBatch"], "{:.2f}"),
    ("adapters a batch", lambda r: r["counters"]["adaptersPerBatch"],
     "{:.2f}"),
    ("largest gap so far", lambda r: r["counters"]["largestGapSoFar"],
     "{:.0f}"),
    ("Jain", lambda r: r["jain"], "{:.3f}"),
    ("store served / refused", lambda r: f"{r['counters']['storeServed']} / "
     f"{r['counters']['storeRefused']}", "{}"),
    ("refusal answer max ms", lambda r: r["refusalAnswer"]["maxMs"],
     "{:.0f}"),
)


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |",
             "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(str(c) for c in row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def case_table(policies, limit, case):
    stalls = [limit[k] for k in ("stall", "popularStall") if k in limit]
    limits = {
        "stall total s": [f"{s['totalS']:.1f}" for s in stalls],
        "stall mean ms": [f"{s['meanMs']:.0f}" for s in stalls],
        "loads": [f"{s['loads']}" for s in stalls],
        "mean batch": [f"{limit['packedBatch']:.2f}"]}
    rows = []
    for title, value, form in COLUMNS:
        cells = limits.get(title, [])
        rows.append([title] + [form.format(value(results[case]))
                               for results in policies.values()] +
                    cells + [""] * (len(stalls) - len(cells)))
    heads = ["limit", "known popularity"][:len(stalls)]
    return table([case, *policies, *heads], rows)


def team_row(result, team):
    return next(t for t in result["teams"] if t["team"] == team)


def flood_targets(policies, flooding):
    for policy, results in policies.items():
        for calm in results["steady-60"]["teams"]:
            name = calm["team"]
            if name == flooding:
                continue
            flood = team_row(results["flood"], name)
            yield [f"{policy}: {name} under the flood completes",
                   "at least 95% of without",
                   f"{flood['delivered']} of {calm['delivered']} "
                   f"({flood['delivered'] / max(1, calm['delivered']):.1%})",
                   flood["delivered"] >= 0.95 * calm["delivered"]]
            a, b = (flood["firstToken"]["p95Ms"],
                    calm["firstToken"]["p95Ms"])
            yield [f"{policy}: {name}'s first token p95 under the flood",
                   "at most doubles", f"{a:.0f} after {b:.0f} ms",
                   a <= 2 * b]


def targets(name, data, settings):
    policies, fair = data["policies"], data["policies"]["fair"]

    def stall(policy, case):
        return policies[policy][case]["counters"]["stallMs"] / 1000

    def batch(policy, case):
        return policies[policy][case]["counters"]["meanBatch"]

    rows = list(flood_targets(policies, settings["flooding"][name]))
    mine, other = stall("fair", "steady-60"), stall("least-loaded",
                                                    "steady-60")
    offline = data["limits"]["steady-60"]["stall"]["totalS"]
    rows.append(["fair: total load stall at 60%",
                 "at most half of least-loaded's",
                 f"{mine:.1f} against {other:.1f} s", mine <= other / 2])
    rows.append(["fair: total load stall at 60%",
                 "within 1.5 times the offline limit",
                 f"{mine:.1f} against {offline:.1f} s",
                 mine <= 1.5 * offline])
    for case in ("steady-90", "seats-90"):
        mine, other = batch("fair", case), batch("round-robin", case)
        packed = data["limits"][case]["packedBatch"]
        rows.append([f"fair: mean batch at {case}",
                     "at least 1.3 times round-robin's",
                     f"{mine:.2f} against {other:.2f}", mine >= 1.3 * other])
        rows.append([f"fair: mean batch at {case}",
                     "at least 0.8 of the packed pool",
                     f"{mine:.2f} of {packed:.2f}", mine >= 0.8 * packed])
    full, over = (fair[c]["total"]["deliveredWeight"]
                  for c in ("full", "overload-150"))
    rows.append(["fair: weighted goodput at 150% offered",
                 "at least 95% of that at 100%", f"{over:.0f} of {full:.0f}",
                 over >= 0.95 * full])
    recovery = fair["kill-instance"]["recoveryS"]
    rows.append(["fair: capacity back after an instance is killed",
                 "within 5 s", "not seen" if recovery is None
                 else f"{recovery} s", recovery is not None
                 and recovery <= 5])
    bad = sum(r["total"]["wrong"] + r["total"]["cut"]
              for results in policies.values() for r in results.values())
    rows.append(["all: wrong or cut answers", "none", str(bad), bad == 0])
    deadline = settings["deadlineMs"]
    late = max(r["refusalAnswer"]["maxMs"] - deadline
               for results in policies.values() for r in results.values())
    rows.append(["all: refusals for a passed deadline, after it",
                 "within 50 ms", f"at most {late:.0f} ms, seen by the caller",
                 late <= 50])
    refused = sum(r["counters"]["storeRefused"] for r in fair.values())
    rows.append(["fair: loads refused by the store", "none", str(refused),
                 refused == 0])
    return rows


def load_text(load):
    out = [
        "## Policies under load\n",
        f"Kind: {load['kind']}; {load['seconds']:.0f} s in all; "
        f"{load['parallel']} systems side by side on "
        f"{load['machineBefore']['cores']} cores; load average "
        f"{' '.join(load['machineBefore']['loadAverage'])} before and "
        f"{' '.join(load['machineAfter']['loadAverage'])} after, which "
        "includes other work on the machine; "
        f"{load['machineBefore']['time']}.\n",
        "Every policy gets the same traces (seed "
        f"{load['settings']['seed']}, {load['settings']['adapters']} "
        f"adapters, Zipf {load['settings']['zipf']}), one case after the "
        "other on one running system, after a warming case. 100% of "
        "capacity is " + ", ".join(
            f"{v} requests a second for {k}"
            for k, v in load["settings"]["capacity"].items()) +
        " (set from `script/bench --sweep`). Client figures are of the "
        "arrivals after the case's first seconds; counters are of the whole "
        "case. Jain's index and the gap are of teams of equal weight; the "
        "gap is the largest since the start. Percentiles come from buckets "
        "that are up to 19% wide, those of the stall from buckets whose end "
        "is twice their start (the end is told; 1 ms: none).\n",
        "Limits: for stall, all slots as one cache with Belady's eviction "
        "and the store's rate over the same trace; for the batch, all that "
        "runs on as few engines as have the seats and slots for it. "
        "Known popularity: the same cache and store, but what the trace asks "
        "for least often is evicted first; no target is set by it. "
        "100% is the store's capacity for this popularity: most seats are "
        "empty there. Case seats-90 asks for 90% of all seats, with a "
        "popularity (Zipf 2.2) that the store can follow.\n"]
    for name, data in load["deployments"].items():
        out.append(f"### {name}\n")
        out.append(table(
            ["target", "wanted", "measured", "reached"],
            [[a, b, c, "yes" if d else "**no**"]
             for a, b, c, d in targets(name, data, load["settings"])]))
        out.append(f"![stall](plots/{name}-stall.svg)\n\n"
                   f"![batch](plots/{name}-batch.svg)\n\n"
                   f"![first token](plots/{name}-first.svg)\n\n"
                   f"![flood](plots/{name}-flood.svg)\n\n"
                   f"![kill](plots/{name}-kill.svg)\n")
        for case in load["plan"][1:]:
            out.append(case_table(data["policies"],
                                  data["limits"][case["name"]],
                                  case["name"]))
    return "\n".join(out)


def path_times(path):
    rows = []
    for rate, r in path["rates"].items():
        a, b = r["path"], r["direct"]
        for what, title in (("first", "first token"), ("whole", "whole")):
            rows.append([
                rate, f"{a['perSecond']:.0f} / {b['perSecond']:.0f}", title,
                *(f"{a[what][p]:.2f} / {b[what][p]:.2f} / "
                  f"{a[what][p] - b[what][p]:+.2f}"
                  for p in ("meanMs", "p50Ms", "p99Ms"))])
    return table(["offered/s", "delivered/s path / direct", "time",
                  "mean ms path / direct / added",
                  "median ms path / direct / added",
                  "99th ms path / direct / added"], rows)


def path_costs(path):
    costs = {"idle": (path["idle"], 0)}
    costs.update((f"{rate}/s", (r["instances"], r["path"]["delivered"]))
                 for rate, r in path["rates"].items())
    rows = []
    for name, (cost, delivered) in costs.items():
        shares = [s / cost["seconds"] for s in cost["cpuS"]]
        rows.append([
            name, f"{cost['seconds']:.1f}",
            f"{min(cost['cpuS']):.2f} to {max(cost['cpuS']):.2f}",
            f"{min(shares):.2%} to {max(shares):.2%}",
            f"{sum(cost['cpuS']) * 1e6 / delivered:.0f}" if delivered else "",
            f"{max(cost['rssKb']) / 1024:.1f}",
            f"{max(cost['peakKb']) / 1024:.1f}"])
    return table(["load", "seconds", "CPU s of an instance", "of a core",
                  "CPU us a request, all instances", "largest resident MB",
                  "largest peak resident MB"], rows)


def path_text(path):
    return "\n".join([
        "## The path's own cost\n",
        "`script/bench --path`: five instances with 3,000 adapters, four "
        "engines with a step of 1 ms, one loaded adapter, answers of 4 "
        "streamed tokens, a warming at the highest rate before, by which it "
        "is loaded everywhere. Each rate runs for "
        f"{path['rateSeconds']} s through the path and then straight to the "
        "engine, in one run; load average "
        f"{' '.join(path['machineBefore']['loadAverage'])} before and "
        f"{' '.join(path['machine']['loadAverage'])} after, "
        f"{path['machine']['time']}. Path times include asking for "
        "addresses. Percentiles are exact; \"added\" is the difference of "
        "the percentiles.\n",
        path_times(path),
        "CPU time and memory of the instances, from /proc; the peak is that "
        "since their start.\n",
        path_costs(path)])


def update(folder, section):
    """Replace the sections just measured, keep the others."""
    file = os.path.join(folder, "report.json")
    data = {}
    if os.path.exists(file):
        with open(file) as f:
            data = json.load(f)
    data.update(section)
    data = json.loads(json.dumps(data))
    with open(file, "w") as f:
        json.dump(data, f, separators=(",", ":"))
        f.write("\n")
    parts = ["# Measurements\n",
             "Written by `script/bench`; the figures are in report.json, "
             "the cases in cases.json. Stand-in engines and store, real "
             "processes, one machine.\n"]
    if "load" in data:
        plots.draw(os.path.join(folder, "plots"), data["load"])
        parts.append(load_text(data["load"]))
    notes = os.path.join(folder, "notes.md")
    if "load" in data and os.path.exists(notes):
        with open(notes) as f:
            parts.append(f.read())
    if "path" in data:
        parts.append(path_text(data["path"]))
    with open(os.path.join(folder, "REPORT.md"), "w") as f:
        f.write("\n".join(parts))
