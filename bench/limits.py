"""Limits worked out from a trace alone, which no real policy can pass."""

import bisect
import collections
import heapq
import json
import math

STEP_S = 0.024          # a stand-in's step with four adapters in the batch
PREFILL_S_PER_TOKEN = 0.0005
STORE_BURST = 8


def read_models(file, shift=0.0):
    """(time, adapter, tokens, prompt bytes) of all model requests."""
    out = []
    with open(file) as f:
        for line in f:
            r = json.loads(line)
            if "adapter" not in r:
                continue
            prompt = r.get("prompt") or json.dumps(r["session"])
            out.append((r["at_ms"] / 1000 + shift,
                        f"{r['team']}/{r['adapter']}", r["max_tokens"],
                        len(prompt)))
    return out


class Store:
    """Permits by a token bucket, and a bound on loads in flight."""

    def __init__(self, rate, in_flight, load_s):
        self.rate, self.in_flight, self.load_s = rate, in_flight, load_s
        self.tokens, self.at, self.ends = STORE_BURST, 0.0, []

    def load(self, now):
        """When a load that is asked for now is ready."""
        start = max(now, self.at)
        if len(self.ends) >= self.in_flight:
            start = max(start, heapq.heappop(self.ends))
        self.tokens = min(STORE_BURST,
                          self.tokens + (start - self.at) * self.rate)
        if self.tokens < 1:
            start += (1 - self.tokens) / self.rate
            self.tokens = 1
        self.tokens -= 1
        self.at = start
        heapq.heappush(self.ends, start + self.load_s)
        return start + self.load_s


def belady_stall(requests, slots, store, count_from, deadline_s):
    """The stall when what is needed again latest is evicted first."""
    uses = {}
    for t, key, _, _ in requests:
        uses.setdefault(key, []).append(t)

    def next_use(key, now):
        at = bisect.bisect_left(uses[key], now)
        return uses[key][at] if at < len(uses[key]) else math.inf
    return cache_stall(requests, slots, store, count_from, deadline_s,
                       next_use)


def popular_stall(requests, slots, store, count_from, deadline_s):
    """The stall when what the trace asks for least often is evicted first.

    Its misses are the least of a policy that knows how popular each adapter
    is, but not when it is asked for, if requests are independent.
    """
    count = collections.Counter(key for _, key, _, _ in requests)
    return cache_stall(requests, slots, store, count_from, deadline_s,
                       lambda key, now: -count[key])


def cache_stall(requests, slots, store, count_from, deadline_s, rank):
    """Stall in seconds of requests from a time on, and the loads made.

    All slots form one cache; what ranks highest is evicted first.
    """
    ready, stall, counted, loads = {}, 0.0, 0, 0
    for t, key, _, _ in requests:
        if key not in ready:
            if len(ready) >= slots:
                del ready[max(ready, key=lambda k: rank(k, t))]
            ready[key] = store.load(t)
            loads += t >= count_from
        if t >= count_from:
            stall += min(deadline_s, max(0.0, ready[key] - t))
            counted += 1
    return {"totalS": stall, "meanMs": 1000 * stall / max(1, counted),
            "loads": loads, "requests": counted}


def packed_batch(requests, engines, seats, slots):
    """Mean batch when what runs always sits on as few engines as it can.

    An engine takes so many sequences, and of so many adapters.
    """
    running, waiting, at = [], list(requests), 0
    now, steps, sequences = 0.0, 0, 0
    while at < len(waiting) or running:
        while at < len(waiting) and waiting[at][0] <= now and \
                len(running) < engines * seats:
            _, key, tokens, prompt = waiting[at]
            prefill = (prompt / 4 + 1) * PREFILL_S_PER_TOKEN
            running.append((tokens + prefill / STEP_S, key))
            at += 1
        if running:
            distinct = len({key for _, key in running})
            steps += max(math.ceil(len(running) / seats),
                         math.ceil(distinct / slots))
            sequences += len(running)
            running = [(r - 1, key) for r, key in running if r > 1]
            now += STEP_S
        else:
            now = waiting[at][0]
    return sequences / max(1, steps)
