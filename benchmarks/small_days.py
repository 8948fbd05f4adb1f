"""Days of restarts and cuts, played small on many seeds by the operators' kit, and their table.

It judges nothing: gate, rules and figures are the kit's. Run it in a work tree whose files stay as they are.

    python benchmarks/small_days.py SITE --seeds 101-110 --out FOLDER [--days roll+mass,split+mass] [--jobs 2]
                                    [--cpus 4,5,6,7]

A play that stands in FOLDER is not played again. Needs the kit beside the repository (exit code 2 without).
Beside other runs of the kit, name cores that those do not use: processes that share a core with them may
starve, and a day that starved is void.
"""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from pathlib import Path

from tabulate import tabulate

KIT = Path(__file__).resolve().parents[2] / "given/kit/more/mass/bin/lbreal"
DAYS = "roll+mass,split+mass,join+mass"
PLAY_MOST = timedelta(minutes=25)  # as long as the operators' page gives a day
SERVED = re.compile(r"served ([\d.]+) \(gate ([\d.]+)\)")
CLASS = re.compile(r"^class (\S+)\s+served ([\d.]+)", re.MULTILINE)
WINDOW = re.compile(r"^ +(\d+) +\d+ .* ([\d.]+)$", re.MULTILINE)  # the share of worth served, last
READY = re.compile(r"ready after ([\d.]+) s, restarts took \[([^\]]*)\]")
RULES = re.compile(r"^(rules kept.*|.*rule.*broken.*|.*crash.*|void.*)$", re.MULTILINE)


def play(site: Path, day: str, seed: int, nodes: int, folder: Path, cpus: str) -> Path:
    """Play one day unless it was played; its output stands in the file that comes back."""
    said = folder / f"{site.stem}-{day}-{nodes}-{seed}.txt"
    if not said.exists():
        logs = folder / f"{said.stem}.logs"
        options = ["--no-build", "--rough", day, "--seed", str(seed), "--nodes", str(nodes)]
        options += ["--logs", str(logs), *(["--cpus", cpus] if cpus else [])]
        begun = said.with_suffix(".begun")
        with begun.open("w") as output:
            subprocess.run(
                [str(KIT), str(site), *options],
                stdout=output, stderr=subprocess.STDOUT, timeout=PLAY_MOST.total_seconds(), check=False,
            )  # fmt: skip
        begun.rename(said)
    return said


def row(day: str, seed: int, said: str) -> list[object]:
    """One line of the table, from what the kit printed."""
    served = SERVED.search(said)
    ready = READY.search(said)
    times = [float(time) for time in (ready[2].split(",") if ready and ready[2].strip() else [])]
    classes = [(float(share), name) for name, share in CLASS.findall(said)]
    windows = [(float(share), start) for start, share in WINDOW.findall(said)]
    return [
        day, seed, *([float(served[1]), float(served[2])] if served else ["none", "none"]),
        "{:.2f} {}".format(*min(classes)) if classes else "",
        "{:.1f} from {} s".format(*min(windows)) if windows else "",
        max([float(ready[1]), *times]) if ready else "",
        "; ".join(RULES.findall(said))[:120] or "no word of rules",
    ]  # fmt: skip


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("site", type=Path)
    parser.add_argument("--seeds", default="101-110")
    parser.add_argument("--days", default=DAYS)
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--jobs", type=int, choices=(1, 2), default=2, help="at a time")
    parser.add_argument("--cpus", default="", help="cores for the kit's processes, as it takes them")
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--table", action="store_true", help="only of what was played")
    options = parser.parse_args()
    if not KIT.exists():
        print(f"small_days: no kit at {KIT}", file=sys.stderr)
        return 2
    options.out.mkdir(parents=True, exist_ok=True)
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    plays = [(day, seed) for seed in seeds for day in options.days.split(",")]

    def one(place: tuple[str, int]) -> list[object]:
        day, seed = place
        said = options.out / f"{options.site.stem}-{day}-{options.nodes}-{seed}.txt"
        if not options.table:
            said = play(options.site, day, seed, options.nodes, options.out, options.cpus)
        made = row(day, seed, said.read_text()) if said.exists() else []
        if made and not options.table:
            print(*made, sep="  ", flush=True)
        return made

    with ThreadPoolExecutor(options.jobs) as pool:
        rows = [made for made in pool.map(one, plays) if made]
    head = ["day", "seed", "served", "gate wants", "lowest class", "lowest 5 s", "slowest ready, s", "rules"]
    print(tabulate(sorted(rows, key=str), head, tablefmt="github", disable_numparse=True))
    return 0


if __name__ == "__main__":
    sys.exit(main())
