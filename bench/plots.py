"""Bar and line charts as SVG."""

import os
from html import escape

WIDTH, HEIGHT, LEFT, BOTTOM, TOP = 860, 300, 60, 60, 40
COLOURS = ("#1b6ca8", "#d1495b", "#edae49", "#66a182", "#8d6a9f")


def frame(title, unit, top, names):
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
           f'height="{HEIGHT}" font-family="sans-serif" font-size="11">',
           '<rect width="100%" height="100%" fill="white"/>',
           f'<text x="{LEFT}" y="16" font-size="14">{escape(title)}</text>']
    for i in range(5):
        value = top * i / 4
        y = height_of(value, top)
        out.append(f'<line x1="{LEFT}" x2="{WIDTH - 10}" y1="{y:.1f}" '
                   f'y2="{y:.1f}" stroke="#ddd"/>'
                   f'<text x="{LEFT - 6}" y="{y + 4:.1f}" '
                   f'text-anchor="end">{value:.4g}</text>')
    out.append(f'<text x="6" y="{TOP - 8}">{escape(unit)}</text>')
    for i, name in enumerate(names):
        x = LEFT + 130 * i
        out.append(f'<rect x="{x}" y="{HEIGHT - 16}" width="10" height="10" '
                   f'fill="{COLOURS[i % len(COLOURS)]}"/>'
                   f'<text x="{x + 14}" y="{HEIGHT - 7}">{escape(name)}'
                   '</text>')
    return out


def height_of(value, top):
    return HEIGHT - BOTTOM - (HEIGHT - BOTTOM - TOP) * value / (top or 1)


def bars(file, title, unit, groups, series):
    """series: name to one value for each group."""
    top = 1.05 * max((v for values in series.values() for v in values),
                     default=1) or 1
    out = frame(title, unit, top, list(series))
    room = (WIDTH - LEFT - 10) / len(groups)
    width = 0.8 * room / len(series)
    for g, group in enumerate(groups):
        out.append(f'<text x="{LEFT + room * (g + 0.5):.1f}" '
                   f'y="{HEIGHT - BOTTOM + 16}" text-anchor="middle">'
                   f'{escape(group)}</text>')
        for i, values in enumerate(series.values()):
            x = LEFT + room * (g + 0.1) + width * i
            y = height_of(values[g], top)
            out.append(f'<rect x="{x:.1f}" y="{y:.1f}" width="{width:.1f}" '
                       f'height="{HEIGHT - BOTTOM - y:.1f}" '
                       f'fill="{COLOURS[i % len(COLOURS)]}"/>')
    write(file, out)


def lines(file, title, unit, series):
    """series: name to one value a second."""
    top = 1.05 * max((v for values in series.values() for v in values),
                     default=1) or 1
    longest = max(len(values) for values in series.values())
    out = frame(title, unit, top, list(series))
    step = (WIDTH - LEFT - 10) / max(1, longest - 1)
    for i, values in enumerate(series.values()):
        points = " ".join(f"{LEFT + step * k:.1f},{height_of(v, top):.1f}"
                          for k, v in enumerate(values))
        out.append(f'<polyline points="{points}" fill="none" '
                   f'stroke="{COLOURS[i % len(COLOURS)]}" '
                   'stroke-width="2"/>')
    for k in range(0, longest, max(1, longest // 10)):
        out.append(f'<text x="{LEFT + step * k:.1f}" '
                   f'y="{HEIGHT - BOTTOM + 16}" text-anchor="middle">'
                   f'{k} s</text>')
    write(file, out)


def write(file, out):
    with open(file, "w") as f:
        f.write("\n".join(out) + "\n</svg>\n")


def draw(folder, load):
    os.makedirs(folder, exist_ok=True)
    cases = [c["name"] for c in load["plan"][1:]]
    for name, data in load["deployments"].items():
        policies, limits = data["policies"], data["limits"]

        def series(value):
            return {p: [value(results[c]) for c in cases]
                    for p, results in policies.items()}

        def file(plot):
            return os.path.join(folder, f"{name}-{plot}.svg")

        bars(file("stall"), f"{name}: total load stall", "s", cases,
             {**series(lambda r: r["counters"]["stallMs"] / 1000),
              "offline limit": [limits[c]["stall"]["totalS"]
                                for c in cases]})
        bars(file("batch"), f"{name}: mean sequences a step", "", cases,
             {**series(lambda r: r["counters"]["meanBatch"]),
              "packed pool": [limits[c]["packedBatch"] for c in cases]})
        bars(file("first"), f"{name}: first token, 95th percentile", "ms",
             cases, series(lambda r: r["total"]["firstToken"]["p95Ms"]))
        flooding = load["settings"]["flooding"][name]
        quiet = next(t for t in policies["fair"]["flood"]["timeline"]["teams"]
                     if t != flooding)
        lines(file("flood"), f"{name}: delivered to {quiet} while "
              f"{flooding} floods", "weight/s",
              {p: r["flood"]["timeline"]["teams"][quiet]
               for p, r in policies.items()})
        lines(file("kill"), f"{name}: delivered while an instance is killed",
              "weight/s",
              {p: r["kill-instance"]["timeline"]["deliveredWeight"]
               for p, r in policies.items()})
