"""Codec of the bench's wire: frames to events, actions to frames. Translation only."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from typing import BinaryIO, NamedTuple, TypeVar

from .interface import (
    Action,
    AttemptEnded,
    CallClass,
    CallerGone,
    CallerGroup,
    CallOffered,
    CallStands,
    CancelAttempt,
    Event,
    Fail,
    ListKind,
    Log,
    Outcome,
    Probe,
    Refuse,
    Send,
    ServerEntry,
    ServerList,
    ServerReport,
    ServerState,
    SetTimer,
    Settings,
    TimerDue,
    WatchList,
)

T = TypeVar("T")

EVENT_SIZE, ACTION_SIZE = 48, 24
BATCH_HEADER = struct.Struct("<QIII")
REPLY_HEADER = struct.Struct("<III")
ENTRY = struct.Struct("<6sHHBHfQ")

INIT, ANNOUNCE, QUERY, HEAD_RECEIVED, COMPLETED = 10, 20, 30, 40, 50
CANCELLED_BY_CLIENT, WAKEUP, PONG, PEER, CRASH_NOW, CATALOG = 60, 70, 80, 90, 100, 110
RECORDS = {
    INIT: struct.Struct("<xHQII"),
    ANNOUNCE: struct.Struct("<xHBIH"),
    QUERY: struct.Struct("<xHIBIQIIfffH"),
    HEAD_RECEIVED: struct.Struct("<xHIBI6s"),
    COMPLETED: struct.Struct("<xHIB6sHIBIB4f"),
    CANCELLED_BY_CLIENT: struct.Struct("<xHI"),
    WAKEUP: struct.Struct("<xHI"),
    PONG: struct.Struct("<xH6sHIB4f"),
    PEER: struct.Struct("<xHHII"),
    CRASH_NOW: struct.Struct("<xH"),
    CATALOG: struct.Struct("<xHII"),
}
OUTCOMES = {
    100: Outcome.ENDED,
    301: Outcome.ERROR,
    302: Outcome.FULL,
    303: Outcome.TIMEOUT,
    304: Outcome.CONNECT_FAILED,
    305: Outcome.RESET,
    306: Outcome.CANCELLED,
    307: Outcome.NOT_SENT,
}
STATES = {1: ServerState.GONE, 2: ServerState.READY, 3: ServerState.DRAINING}
LIST_KINDS = {0: ListKind.FULL, 1: ListKind.CHANGES, 2: ListKind.FULL, 3: ListKind.FAILED}
REPORT_WORDS = {"rif": "in_work", "q": "queue", "lat_ms": "delay_ms"}  # the others are called alike
NOTE_PROCESSOR_FULL, NOTE_BEYOND_FULL, NOTE_NUMBER_BUSY = 3, 18, 4
FLAG_REDIALLED, FLAG_IN_TRANSIT = 2, 8


class WireError(Exception):
    """A frame that cannot be read; the text names the fault."""


class Start(NamedTuple):
    """An instance starts, with the text of its settings."""

    seed: int
    config: str


class Stop(NamedTuple):
    """An instance was killed."""


class Batch(NamedTuple):
    """What one frame holds: (instance, event) in order of arrival."""

    now: int
    number: int
    events: list[tuple[int, Event | Start | Stop]]


class Addresses:
    """Four bytes and a port, to and from the text that names a server."""

    def __init__(self) -> None:
        self._text: dict[bytes, str] = {}
        self._raw: dict[str, bytes] = {}

    def text(self, raw: bytes) -> str:
        """The name of a server, always the same for the same address."""
        name = self._text.get(raw)
        if name is None:
            name = "{}.{}.{}.{}:{}".format(*raw[:4], int.from_bytes(raw[4:], "little"))
            self._text[raw], self._raw[name] = name, raw
        return name

    def raw(self, name: str) -> bytes:
        """The address behind a name met before."""
        return self._raw[name]


class Codec:
    """Reads batches and writes replies; keeps the numbered lists and the addresses met."""

    def __init__(self) -> None:
        self._addresses = Addresses()
        self._lists: dict[int, tuple[ServerEntry, ...]] = {}

    def decode(self, header: bytes, body: bytes) -> Batch:
        """Turn one frame into events; WireError if it is malformed."""
        now, length, count, number = BATCH_HEADER.unpack(header)
        end = count * EVENT_SIZE
        if length != len(body) or end > length:
            raise WireError(f"batch {number}: {count} records do not fit {len(body)} bytes")
        tail = memoryview(body)[end:]
        events: list[tuple[int, Event | Start | Stop]] = []
        for at in range(0, end, EVENT_SIZE):
            code = body[at]
            record = RECORDS.get(code)
            if record is None:
                raise WireError(f"batch {number}: unknown event code {code}")
            try:
                self._event(code, record.unpack_from(body, at), tail, events)
            except (KeyError, UnicodeDecodeError, struct.error) as fault:
                raise WireError(f"batch {number}: bad value in event {code}: {fault}") from fault
        return Batch(now, number, events)

    def _event(
        self, code: int, values: tuple, tail: memoryview, out: list[tuple[int, Event | Start | Stop]]
    ) -> None:
        name = self._addresses.text
        instance = values[0]
        if code == QUERY:
            _, call, kind, group, key, budget, _, dest, _, _, bits = values
            if not -1 <= dest < 65536:  # also false for a NaN
                raise WireError(f"event {code}: no such destination: {dest}")
            out.append(
                (
                    instance,
                    CallOffered(
                        call,
                        kind,
                        group,
                        key,
                        budget,
                        int(dest),
                        bool(bits & FLAG_REDIALLED),
                        bool(bits & FLAG_IN_TRANSIT),
                    ),
                )
            )
        elif code == HEAD_RECEIVED:
            _, call, attempt, elapsed, raw = values
            out.append((instance, CallStands(call, attempt, elapsed, name(raw))))
        elif code == COMPLETED:
            _, call, attempt, raw, reason, elapsed, done, note, n, *load = values
            full = note % 16 == NOTE_PROCESSOR_FULL or note == NOTE_BEYOND_FULL
            out.append(
                (
                    instance,
                    AttemptEnded(
                        call,
                        attempt,
                        name(raw),
                        OUTCOMES[reason],
                        elapsed,
                        bool(done),
                        full,
                        note == NOTE_NUMBER_BUSY,
                        _report(n, load),
                    ),
                )
            )
        elif code == WAKEUP:
            out.append((instance, TimerDue(values[1])))
        elif code == PONG:
            _, raw, reason, elapsed, n, *load = values
            ok = OUTCOMES[reason] is Outcome.ENDED
            asked = elapsed > 0 or not ok
            out.append((instance, ServerReport(name(raw), ok, asked, _report(n, load))))
        elif code == CANCELLED_BY_CLIENT:
            out.append((instance, CallerGone(values[1])))
        elif code == ANNOUNCE:
            _, mode, _, slot = values
            kind = LIST_KINDS[mode]
            entries = () if kind is ListKind.FAILED else self._lists[slot]
            out.append((instance, ServerList(kind, entries)))
        elif code == CATALOG:
            _, offset, count = values
            raw_entries = _slice(tail, offset, count * ENTRY.size)
            self._lists[instance] = tuple(
                ServerEntry(name(raw), number, STATES[state], boot)
                for raw, _, number, state, _, _, boot in ENTRY.iter_unpack(raw_entries)
            )
        elif code == INIT:
            _, seed, offset, length = values
            out.append((instance, Start(seed, _slice(tail, offset, length).tobytes().decode())))
        elif code == CRASH_NOW:
            out.append((instance, Stop()))
        else:  # PEER: nothing is shared between gateways
            _slice(tail, values[2], values[3])

    def encode(self, number: int, actions: list[tuple[int, Action | str]]) -> bytes:
        """One reply frame; a plain text stands for the failure of an instance."""
        records, tail = bytearray(), bytearray()
        for instance, action in actions:
            record = self._action(instance, action, tail)
            records += record.ljust(ACTION_SIZE, b"\0")
        return REPLY_HEADER.pack(len(records) + len(tail), len(actions), number) + records + tail

    def _action(self, instance: int, action: Action | str, tail: bytearray) -> bytes:
        pack, raw = struct.pack, self._addresses.raw
        match action:
            case Send(call, server, timeout):
                return pack("<BHII6s", 10, instance, call, timeout, raw(server))
            case Refuse(call, retry_after):
                return pack("<BHII", 90, instance, call, retry_after)
            case Fail(call, _):  # the wire has no room for the wait
                return pack("<BHI", 20, instance, call)
            case CancelAttempt(call, attempt):
                return pack("<BHIB", 70, instance, call, attempt)
            case SetTimer(delay, token):
                return pack("<BHII", 120, instance, delay, token)
            case Probe(server):
                return pack("<BH6s", 40, instance, raw(server))
            case WatchList():
                return pack("<BHB", 110, instance, 1)
            case Log(text):
                return pack("<BHII", 30, instance, *_append(tail, text))
            case str():
                return pack("<BHII", 50, instance, *_append(tail, action))


def _report(count: int, load: list[float]) -> tuple[float, ...]:
    return tuple(load[:count])


def _slice(tail: memoryview, offset: int, length: int) -> memoryview:
    if offset + length > len(tail):
        raise WireError(f"offset {offset} and length {length} lie outside a tail of {len(tail)} bytes")
    return tail[offset : offset + length]


def _append(tail: bytearray, text: str) -> tuple[int, int]:
    offset, data = len(tail), text.encode()
    tail += data
    return offset, len(data)


def read_frames(stream: BinaryIO) -> Iterator[tuple[bytes, bytes]]:
    """Header and body of each frame until the end of input; WireError if one is cut off."""
    while header := stream.read(BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise WireError(f"truncated header: {len(header)} of {BATCH_HEADER.size} bytes")
        length = BATCH_HEADER.unpack(header)[1]
        body = stream.read(length)
        if len(body) < length:
            raise WireError(f"truncated frame: {len(body)} of {length} bytes")
        yield header, body


# --- settings ---------------------------------------------------------------------------------------


def _flag(text: str) -> bool:
    return {"true": True, "false": False}[text]


def read_settings(config: str) -> Settings:
    """Settings from path=value lines; unknown paths are skipped, ValueError names a missing or bad one."""
    values = dict(line.split("=", 1) for line in config.splitlines() if "=" in line)

    def get(path: str, kind: Callable[[str], T]) -> T:
        if path not in values:
            raise ValueError(f"missing setting {path}")
        try:
            return kind(values[path])
        except (ValueError, KeyError) as fault:
            raise ValueError(f"impossible setting {path}={values[path]}") from fault

    def numbers(text: str) -> tuple[int, ...]:
        return tuple(int(part) for part in text.split(",") if part)

    pools = get("extra.layout", str) == "pools"
    skills = [
        get(f"extra.skilledPools.{i}", numbers) for i in range(int(values.get("extra.skilledPools.count", 0)))
    ]
    holds = numbers(values.get("extra.meanHold", ""))
    classes = [
        CallClass(
            aim=get(f"services.{i}.onTime", int),
            deadline=get(f"services.{i}.deadline", int),
            worth=get(f"services.{i}.worth", float),
            late_worth=get(f"services.{i}.lateWorth", float),
            repeatable=get(f"services.{i}.effect", str) == "read_like",
            mean_hold=holds[i] if i < len(holds) else 0,
            pools=skills[i] if pools and i < len(skills) else None,
        )
        for i in range(get("services.count", int))
    ]
    groups = [
        CallerGroup(get(f"tenants.{i}.quotaPerS", float), get(f"tenants.{i}.fraction", float))
        for i in range(
            get("tenants.count", int) if not values.get("tenants") and "tenants.count" in values else 0
        )
    ]
    words = get("telemetry.fields", str).split(",")
    return Settings(
        group_size=get("groupSize", int),
        classes=tuple(classes),
        groups=tuple(groups),
        over_share_worth=get("overShareWorth", float),
        own_number=None if pools else get("extra.selfNo", int),
        max_attempts=get("limits.mostTries", int),
        max_retry_after=get("limits.maxRetryAfter", int) if get("limits.retryAfter", _flag) else 0,
        may_probe=get("limits.mayProbe", _flag),
        may_cancel=get("limits.cancelling", _flag),
        list_on_request=get("registryMode", str) == "on_request",
        report_fields=tuple(REPORT_WORDS.get(word, word) for word in words),
        repeat_interval=get("extra.repeat", int),
        release_wait=get("extra.release", int),
        drain_grace=get("rules.drainGrace", int),
        cold_from=get("rules.coldFrom", float),
        cold_time=get("rules.cold", int),
        fall_multiple=get("rules.fallMultiple", float),
        fall_time=get("rules.fall", int),
    )
