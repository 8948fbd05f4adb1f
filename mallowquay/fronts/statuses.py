"""The one table from final answers to SIP statuses, and from SIP statuses to endings."""

from __future__ import annotations

from ..core.model import Ending, FinalAnswer, Verdict

# (verdict, whether the last attempt ran out of time): the platform's status, the second front's.
# On the platform 503 and 480 say that trying again is harmless; every other refusal is a failure.
STATUSES: dict[tuple[Verdict, bool], tuple[int, int]] = {
    (Verdict.STANDS, False): (200, 200),
    (Verdict.STANDS, True): (200, 200),
    (Verdict.REFUSED, False): (503, 503),
    (Verdict.REFUSED, True): (503, 503),
    (Verdict.FAILED, False): (500, 480),
    (Verdict.FAILED, True): (504, 504),
    (Verdict.CANCELLED, False): (487, 487),
    (Verdict.CANCELLED, True): (487, 487),
    (Verdict.BAD, False): (400, 400),
    (Verdict.BAD, True): (400, 400),
}

# How an attempt ended, by the final response of a SIP log server; any other is a fault.
ENDINGS: dict[int, Ending] = {
    408: Ending.TIMED_OUT,
    480: Ending.LINES_FULL,
    486: Ending.NUMBER_BUSY,
    487: Ending.WITHDRAWN,
    503: Ending.PROCESSOR_FULL,
    600: Ending.NUMBER_BUSY,
}

NORMAL_CLEARING, INTERWORKING_CUT = 16, 41


def platform_status(answer: FinalAnswer) -> int:
    """The status of a final answer to the platform's callers."""
    return STATUSES[answer.verdict, answer.timed_out][0]


def sip_status(answer: FinalAnswer) -> int:
    """The status of a final answer to callers of the second front."""
    return STATUSES[answer.verdict, answer.timed_out][1]


def release_cause(ending: Ending) -> int:
    """The cause that tells a caller how its standing call ended."""
    return NORMAL_CLEARING if ending in (Ending.COMPLETED, Ending.CALLER_LEFT) else INTERWORKING_CUT


def release_ending(cause: int) -> Ending:
    """How a standing call ended, by the cause of the log server's release."""
    return Ending.COMPLETED if cause == NORMAL_CLEARING else Ending.CUT
