"""What runs of a scenario came to, beside what the formulas say of it; and plots of both."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any

import numpy
from scipy import stats

from ..dimensioning.erlang import Unanswerable, erlang_b, redialled
from ..dimensioning.processor import Processor, Work, meets
from ..dimensioning.transient import Stretch, modified_load
from .followed import follow
from .run import Outcome
from .scenario import Refusal, Scenario, Spread

CONFIDENCE = 0.95
VIOLATIONS_SHOWN = 20


def hold_of(scenario: Scenario) -> timedelta:
    """The mean length of a call, over the classes."""
    shares = sum(kind.share for kind in scenario.classes)
    return timedelta(seconds=sum(kind.share * kind.hold_s for kind in scenario.classes) / shares)


def processor_of(scenario: Scenario) -> Processor:
    """The scenario's processor as the formulas know it."""
    shape, spread = scenario.servers, 1.0 if scenario.servers.work is Spread.EXPONENTIAL else 0.0

    def work(milliseconds: float) -> Work:
        return Work(timedelta(milliseconds=milliseconds), spread)

    return Processor(
        work(shape.setup_ms), work(shape.answer_ms), work(shape.release_ms), work(shape.refusal_ms),
        timedelta(milliseconds=shape.wait_limit_ms),
    )  # fmt: skip


def predicted(scenario: Scenario) -> dict[str, Any]:
    """What standing traffic of this rate meets, with redials: by lines, by processors, and the larger.

    `load` in erlang, of first tries; waits in seconds. Nothing of incidents, surges and mixes is in it: for
    those see `followed`.
    """
    hold, shape, callers = hold_of(scenario), scenario.servers, scenario.callers
    load = callers.rate * hold.total_seconds()
    lines = shape.count * shape.lines
    groups = shape.count if shape.refuses is Refusal.BUSY else 1  # that a call cannot leave
    processor = processor_of(scenario)

    def by_processor(offered: float) -> float:
        try:
            return meets(processor, offered / hold.total_seconds() / shape.count).loss
        except Unanswerable:
            return 1.0

    by_lines = redialled(
        load, callers.again, lambda offered: erlang_b(offered / groups, lines / groups), callers.redials
    )
    result: dict[str, Any] = {
        "load": load,
        "lines": lines,
        "loss_lines": by_lines.loss,
        "loss_processor": 0.0,
    }
    met = by_lines
    if shape.setup_ms > 0:
        work = redialled(load, callers.again, by_processor, callers.redials)
        result["loss_processor"] = work.loss
        met = max(by_lines, work, key=lambda found: found.loss)
        try:
            queue = meets(processor, met.offered / hold.total_seconds() / shape.count)
            result |= {"wait_s": queue.wait.total_seconds(), "use": queue.use}
        except Unanswerable:
            result |= {"wait_s": shape.wait_limit_ms / 1000, "use": 1.0}
    return result | {"loss": met.loss, "given_up": met.given_up, "offered": met.offered}


def interval(outcomes: Sequence[Outcome]) -> tuple[float, float, float]:
    """The loss of all runs, and its confidence interval from parts of the runs (batch means, Student's t)."""
    parts = [(tries, lost) for outcome in outcomes for tries, lost in outcome.batches if tries]
    tries, lost = (numpy.array(column, dtype=float) for column in zip(*parts)) if parts else (None, None)
    if tries is None or lost is None or len(tries) < 2:
        return 0.0, 0.0, 1.0
    # A ratio of sums: its spread is that of what each part is off the common ratio.
    loss = float(lost.sum() / tries.sum())
    off = (lost - loss * tries) / tries.mean()
    half = float(stats.t.ppf((1 + CONFIDENCE) / 2, len(tries) - 1) * off.std(ddof=1) / len(tries) ** 0.5)
    return loss, max(0.0, loss - half), min(1.0, loss + half)


def report(scenario: Scenario, outcomes: Sequence[Outcome]) -> dict[str, Any]:
    """One JSON object of all runs."""
    loss, least, most = interval(outcomes)
    path, classes = follow(scenario), {}
    for kind in scenario.classes:
        tallies = [outcome.classes[kind.name] for outcome in outcomes]
        total = {name: sum(getattr(tally, name) for tally in tallies)
                 for name in ("first", "tries", "stood", "lost", "given_up")}  # fmt: skip
        classes[kind.name] = total | {
            "loss": total["lost"] / max(1, total["tries"]),
            "given_up_share": total["given_up"] / max(1, total["first"]),
            "setup_s": sum(tally.setup for tally in tallies) / max(1, total["stood"]),
        }
    took = sum(outcome.took for outcome in outcomes)
    return {
        "seeds": [outcome.seed for outcome in outcomes],
        "decides": scenario.decides.value,
        "loss": loss,
        "loss_interval": [least, most],
        "calls_mean": sum(outcome.calls_mean for outcome in outcomes) / len(outcomes),
        "wait_s": sum(outcome.wait_mean for outcome in outcomes) / len(outcomes),
        "use": sum(outcome.use for outcome in outcomes) / len(outcomes),
        "refused_lines": sum(outcome.refused_lines for outcome in outcomes),
        "refused_processor": sum(outcome.refused_work for outcome in outcomes),
        "classes": classes,
        "predicted": predicted(scenario),
        "followed": {"loss": path.loss, "worst_10_s": path.worst},
        "violations": sum(outcome.broken for outcome in outcomes),
        "violations_shown": [
            {"rule": found.rule, "seed": found.seed, "call": found.call, "at_s": found.at / 1e6}
            for outcome in outcomes
            for found in outcome.violations
        ][:VIOLATIONS_SHOWN],
        "calls": sum(outcome.calls for outcome in outcomes),
        "calls_per_s": sum(outcome.calls for outcome in outcomes) / max(took, 1e-9),
    }


def offered_load(scenario: Scenario, points: Sequence[float]) -> list[float]:
    """The modified offered load at points of time (seconds), with the scenario's surges."""

    def rate(at: float) -> float:
        times = 1.0
        for surge in scenario.surges:
            if surge.at_s <= at < surge.at_s + surge.for_s:
                times *= surge.times
        return scenario.callers.rate * times

    hold = hold_of(scenario)
    stretches = [
        Stretch(timedelta(seconds=after - before), rate((before + after) / 2))
        for before, after in zip(points, points[1:])
    ]
    return [0.0, *modified_load(stretches, hold, 0.0)]


def plot(scenario: Scenario, outcomes: Sequence[Outcome], told: dict[str, Any], folder: Path) -> list[Path]:
    """Offered and carried load, loss by class and processor wait as PNG files. Errors: OSError."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    first = outcomes[0]
    at = first.series["at"]
    mean = {name: numpy.mean([outcome.series[name] for outcome in outcomes], axis=0) for name in first.series}
    files: list[Path] = []

    def finish(name: str, title: str, below: str, left: str) -> None:
        axes.set(title=title, xlabel=below, ylabel=left)
        axes.legend()
        axes.grid(alpha=0.3)
        figure.tight_layout()
        files.append(folder / f"{name}.png")
        figure.savefig(files[-1], dpi=100)
        pyplot.close(figure)

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    axes.plot(at, mean["offered"], color="0.7", label="offered, tries x mean length")
    axes.plot(at, offered_load(scenario, at), color="C1", label="modified offered load, first tries")
    axes.plot(at, mean["carried"], color="C0", label="carried")
    axes.axhline(scenario.servers.count * scenario.servers.lines, color="k", ls=":", label="lines")
    if told["predicted"]["lines"] > 5 * max(mean["offered"]):
        axes.set_ylim(0, 1.3 * max(mean["offered"]))
    finish("load", "Offered and carried load", "seconds", "erlang")

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    names = list(told["classes"])
    axes.bar(names, [told["classes"][name]["loss"] for name in names], color="C0", label="observed")
    axes.axhline(told["predicted"]["loss"], color="C1", label="predicted for standing traffic")
    axes.axhline(told["followed"]["loss"], color="C2", ls="--", label="predicted, followed in time")
    low, high = told["loss_interval"]
    axes.axhspan(low, high, color="C0", alpha=0.2, label="95% of all classes")
    finish("loss", "Loss by class", "class", "share of tries")

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    axes.plot(at, mean["wait"], color="C0", label="work in line, mean of the log servers")
    axes.axhline(told["predicted"].get("wait_s", 0.0), color="C1", label="predicted for standing traffic")
    path = follow(scenario)
    axes.plot(path.at, path.wait, color="C2", ls="--", label="predicted, followed in time")
    axes.axhline(scenario.servers.wait_limit_ms / 1000, color="k", ls=":", label="limit")
    finish("wait", "Processor wait", "seconds", "seconds")
    return files
