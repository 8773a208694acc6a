"""A deployment of script/demo, started for a measurement."""

import collections
import importlib.machinery
import importlib.util
import json
import os
import shutil
import signal
import subprocess
import tempfile
import threading

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def load_demo():
    path = os.path.join(ROOT, "script", "demo")
    loader = importlib.machinery.SourceFileLoader("demo", path)
    spec = importlib.util.spec_from_loader("demo", loader)
    module = importlib.util.module_from_spec(spec)
    loader.exec_module(module)
    module.say = lambda text: None
    return module


DEMO = load_demo()
START = threading.Lock()
STALL_BUCKET = "mulberrypath_load_stall_seconds_bucket{"


def bench_examples(name, policy, folder, deadline_ms):
    """The examples with another policy and no limits of the teams."""
    out = os.path.join(folder, "examples")
    os.mkdir(out)
    source = os.path.join(ROOT, "examples", name)
    for file in os.listdir(source):
        with open(os.path.join(source, file)) as f:
            data = json.load(f)
        if file.startswith("instance-"):
            data["scheduling"]["policy"] = policy
        else:
            data["limits"] = {"requestsPerSecond": 0, "concurrent": 0}
            data["weight"] = 1
            for kind in data["kinds"].values():
                kind["deadlineMs"] = min(kind["deadlineMs"], deadline_ms)
        with open(os.path.join(out, file), "w") as f:
            json.dump(data, f)
    return out


class System:
    def __init__(self, name, policy, deadline_ms):
        self.name, self.policy = name, policy
        self.shape = DEMO.DEPLOYMENTS[name]
        folder = tempfile.mkdtemp(prefix="mulberrypath-bench-")
        self.deployment = {
            "deployment": name, "entries": [], "operators": {},
            "teams": {t: f"token-{t}" for t in self.shape["teams"]},
            "endpointsToken": "endpoints", "folder": folder, "processes": []}
        self.examples = bench_examples(name, policy, folder, deadline_ms)

    def start(self):
        with START:
            DEMO.start_instances(self.deployment, self.examples)
            DEMO.start_fakes(self.deployment, self.shape)
        DEMO.wait_ready(self.deployment, self.shape)
        for team, token in self.deployment["teams"].items():
            DEMO.apply_document(self.deployment, self.examples, team, token)

    def stop(self):
        DEMO.stop_all(self.deployment)

    def documents(self):
        return ",".join(os.path.join(self.deployment["folder"], f"{t}.json")
                        for t in self.shape["teams"])

    def tokens(self):
        return ",".join(f"{t}={k}"
                        for t, k in self.deployment["teams"].items())

    def processes(self, kind):
        return [p for p in self.deployment["processes"] if p["kind"] == kind]

    def of_centre(self, centre):
        """The instances and endpoints of a data centre."""
        return [p for p in self.deployment["processes"]
                if p.get("dataCentre") == centre]

    def kill(self, process):
        os.kill(process["pid"], signal.SIGKILL)
        DEMO.wait_for(f"{process['name']} to end",
                      lambda: (DEMO.reap(), not DEMO.is_running(process))[1])

    def restart(self, process):
        with open(process["log"], "ab") as out:
            child = subprocess.Popen(process["command"], stdout=out,
                                     stdin=subprocess.DEVNULL, stderr=out,
                                     start_new_session=True)
        process["pid"] = child.pid

    def get(self, address, path, token=None):
        status, _, text = DEMO.call("GET", address, path, token, seconds=5)
        return json.loads(text) if status == 200 else None

    def counters(self):
        """What instances, engines and the store have counted so far."""
        ops = self.deployment["operators"]["ops"]
        instances = [self.get(p["address"], "/v1/status", ops)
                     for p in self.processes("instance")]
        engines = {p["name"]: self.get(p["address"], "/fake/state")
                   for p in self.processes("engine")}
        store = self.get(self.processes("store")[0]["address"], "/fake/state")
        return {"instances": {s["instance"]: s for s in instances if s},
                "engines": {n: e for n, e in engines.items() if e},
                "store": store, "stallBuckets": self.stall_buckets()}

    def stall_buckets(self):
        """Cumulative counts of load stalls by instance and bucket end, s."""
        out = {}
        for p in self.processes("instance"):
            counts = collections.Counter()
            for line in DEMO.call("GET", p["address"], "/metrics",
                                  seconds=5)[2].splitlines():
                name, _, value = line.rpartition(" ")
                if name.startswith(STALL_BUCKET):
                    end = name.rpartition('le="')[2].rstrip('"}')
                    counts[float(end.replace("+Inf", "inf"))] += float(value)
            out[p["name"]] = counts
        return out

    def load(self, trace, report, *more):
        """Send a trace; the report as JSON."""
        command = [f"{DEMO.BIN}/mulberryctl", "load", "--trace", trace,
                   "--docs", self.documents(), "--tokens", self.tokens(),
                   "--server", ",".join(self.deployment["entries"]),
                   "--report", report, "--quiet", *more]
        out = subprocess.run(command, capture_output=True, text=True)
        if out.returncode != 0:
            raise DEMO.DemoError(f"load: {out.returncode}: {out.stderr}")
        with open(report) as f:
            return json.load(f)


def make_trace(system, file, options):
    words = []
    for name, value in options.items():
        words += [f"--{name}", str(value)]
    subprocess.run([f"{DEMO.BIN}/mulberryctl", "load", "--make", file,
                    "--docs", system.documents(), *words], check=True,
                   stdout=subprocess.DEVNULL)


def forget_folder(system):
    shutil.rmtree(system.deployment["folder"], ignore_errors=True)
