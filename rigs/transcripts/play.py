"""Plays: each drives one or more processes of the program by stand-ins whose sockets are tapped.

A play is one function in one thread; it says what each stand-in sends and takes, step by step. At its end the
process is asked to end, and everything that it still says until it has ended is taken as well, so a line too
many is seen as much as one that is missing.
"""

from __future__ import annotations

import asyncio
import re
import select
import socket
import tempfile
import time
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mallowquay.fleet import model
from mallowquay.fleet.model import Life

from ..fleet.machines import FILE
from ..fleet.relay import read
from ..fleet.rig import Rig
from ..process import Process, connect, quiet_port
from .scrub import transcript
from .wire import FLEET, HTTP, WITHIN, Codec, Lanes, Record, Tap, fields, tell_frame

Frame = list[Any]  # of the fleet, as msgpack has it
END_WITHIN = WITHIN  # callers may come for 0.75 s after SIGTERM, and standing calls are seen to their end
GATEKEEPER = "gatekeeper"


class Stage:
    """What every play has: a record, taps, one process of the program, and an end.

    Use as a context manager: it leaves no process and no socket behind.
    """

    me = GATEKEEPER

    def __init__(self, **options: Any) -> None:
        self.options = options
        self.record = Record()
        self.left = ExitStack()
        self.taps: list[Tap] = []
        self.listeners: list[tuple[str, socket.socket, Codec]] = []
        self.program: Process | None = None

    def __enter__(self) -> Stage:
        try:
            self.begin()
        except BaseException as fault:
            self._explain(fault)
            self.left.close()
            raise
        return self

    def __exit__(self, kind: object, fault: BaseException | None, trace: object) -> None:
        if fault is not None:
            self._explain(fault)
        self.left.close()

    def _explain(self, fault: BaseException) -> None:
        """What has passed, and the program's log, go with a play that fails."""
        fault.add_note(transcript("what had passed:", self.record))
        if self.program is not None:
            fault.add_note(self.program.text())

    def begin(self) -> None:
        """Start what the play needs."""

    def run(self, arguments: list[str], environment: dict[str, str] | None = None) -> Process:
        """Start the program."""
        self.program = Process(arguments, environment or {})
        self.left.callback(self.program.stop)
        return self.program

    def tap(self, sock: socket.socket, me: str, comes: Codec, goes: Codec | None = None, **more: Any) -> Any:
        """Tap a socket of the stand-in `me`, whose far end is the program."""
        tap = Tap(self.record, sock, me, more.pop("far", GATEKEEPER), comes, goes, **more)
        sock.settimeout(WITHIN)
        self.taps.append(tap)
        self.left.callback(sock.close)
        return tap

    def accepted(self, listener: socket.socket, me: str, comes: Codec, goes: Codec | None = None,
                 **more: Any) -> Any:  # fmt: skip
        """The next connection that the program opens to a stand-in."""
        sock, _ = listener.accept()
        self.record.add(more.get("far", GATEKEEPER), me, "(connected)")
        return self.tap(sock, me, comes, goes, **more)

    def connected(self, port: int, me: str, comes: Codec, goes: Codec | None = None, **more: Any) -> Any:
        """A connection of a stand-in to the program."""
        sock = connect(port)
        self.record.add(me, more.get("far", GATEKEEPER), "(connected)")
        return self.tap(sock, me, comes, goes, **more)

    def listens(self, listener: socket.socket, me: str, codec: Codec) -> socket.socket:
        """Watch a stand-in's listener: a connection that nobody took is told at the end."""
        listener.settimeout(WITHIN)
        self.listeners.append((me, listener, codec))
        self.left.callback(listener.close)
        return listener

    def note(self, who: str, what: str) -> None:
        """Something that passes by no socket: a signal, an exit, a file."""
        self.record.add(who, self.me, f"({what})")

    def call(self, port: int, method: str, path: str, body: str = "", who: str = "staff",
             form: str = "application/json") -> bytes:  # fmt: skip
        """One call by HTTP, to its end; the answer."""
        sock = connect(port)
        tap = self.tap(sock, who, HTTP)
        head = f"{method} {path} HTTP/1.1\r\nHost: gatekeeper\r\n"
        if body or method == "POST":
            head += f"Content-Type: {form}\r\nContent-Length: {len(body)}\r\n"
        tap.sendall(f"{head}Connection: close\r\n\r\n{body}".encode())
        answer: bytes = tap.recv()
        sock.close()  # that the far end closes after its answer is the same for each call
        return answer

    def up(self, port: int) -> None:
        """Wait until the program listens."""

        def listens() -> bool:
            try:
                socket.create_connection(("127.0.0.1", port), timeout=WITHIN).close()
            except ConnectionRefusedError:
                return False
            return True

        until(listens, f"listening at {port}")

    def signal(self, name: str) -> None:
        """SIGHUP or SIGTERM from the platform."""
        assert self.program is not None
        self.note("platform", name)
        {"SIGHUP": self.program.hang_up, "SIGTERM": self.program.terminate}[name]()

    def logged(self, word: str) -> None:
        """Wait for an event in the log, and write down what it says."""
        assert self.program is not None
        program = self.program
        until(lambda: word in program.text(), f"{word} in the log")
        line = next(line for line in self.program.text().splitlines() if word in line)
        self.record.add(GATEKEEPER, "log", re.sub(r"\s+\[[\w.]+\]\s+", " ", line[line.index(word) :]))

    def command(self, arguments: list[str], name: str, text: str, environment: dict[str, str]) -> None:
        """One command on a file of this text, to its end; the folder's own name is not told."""
        folder = self.left.enter_context(tempfile.TemporaryDirectory())
        (Path(folder) / name).write_text(text)
        self.record.add("shell", GATEKEEPER, " ".join(["mallowquay", *arguments]),
                        *(f"{key}={value}" for key, value in environment.items()),
                        *(f"| {line}" for line in text.splitlines()))  # fmt: skip
        program = self.run(
            [f"{folder}/{name}" if one == name else one for one in arguments],
            {key: value.replace(name, f"{folder}/{name}") for key, value in environment.items()},
        )
        code = program.process.wait(END_WITHIN)
        said = program.text().replace(f"{folder}/", "").splitlines()
        self.record.add(GATEKEEPER, "shell", f"(exit code {code})", *(f"| {line}" for line in said))

    def finish(self, asks: bool = True) -> None:
        """Ask the program to end; take what it says until then."""
        assert self.program is not None
        if asks:
            self.signal("SIGTERM")
        code = self.program.process.wait(END_WITHIN)
        for tap in self.taps:
            tap.rest()
        for me, listener, codec in self.listeners:
            self._untaken(me, listener, codec)
        self.record.add(GATEKEEPER, "platform", f"(ended with {code})")

    def _untaken(self, me: str, listener: socket.socket, codec: Codec) -> None:
        if listener.fileno() < 0:
            return
        listener.settimeout(0)
        while True:
            try:
                tap = self.accepted(listener, me, codec)
            except OSError:
                return
            tap.rest()


# What members say at each beat or period, and again until it is answered.
PERIODIC = frozenset({"ping", "ack", "nack", "pingfor", "table", "ask", "lead"})
FAST = "period_ms = 1000\nanswer_ms = 300\nbeat_ms = 50\nlease_ms = 450\npatience_ms = 600\n"


class Members(Stage):
    """One member of a fleet, `g1`, among stand-ins for the others, which say what the play says.

    Pings and the leader's beats are answered as they come, whatever the play waits for; what is periodic is
    left out of the record, unless the play takes it. Frames are written down when the play takes them.
    """

    me = "g1"

    def begin(self) -> None:
        """Start it; the stand-ins listen."""
        self.names = ["g2", "g3"]
        self.record.left_out |= PERIODIC | self.options.get("leaves_out", frozenset())
        self.lives = {name: Life(1, 2**61 + number, 2**60 + number) for number, name in enumerate(self.names)}
        self.waiting: dict[str, list[list[Any]]] = {name: [] for name in self.names}
        self.links: dict[str, socket.socket] = {}  # those that are open, by the stand-in's name
        self._kept = dict.fromkeys(self.names, b"")
        self.doors = {name: socket.create_server(("127.0.0.1", 0)) for name in self.names}
        for door in self.doors.values():
            door.settimeout(WITHIN)
            self.left.callback(door.close)
        self.listen = quiet_port()
        folder = self.left.enter_context(tempfile.TemporaryDirectory())
        text = FILE.format(seed=1, count=3, control=quiet_port(), sip=quiet_port())
        text += f'[[servers]]\nid = "log-0"\naddress = "127.0.0.1:{quiet_port()}"\n'
        text += f'[fleet]\nname = "g1"\nlisten = "127.0.0.1:{self.listen}"\ndisk = "{folder}/disk"\n{FAST}'
        ports = {name: door.getsockname()[1] for name, door in self.doors.items()}
        for name, port in {self.me: self.listen, **ports}.items():
            text += f'[[fleet.members]]\nname = "{name}"\naddress = "127.0.0.1:{port}"\n'
        file = Path(folder) / "g1.toml"
        file.write_text(text)
        self.run([str(file)])

    def say(self, name: str, frame: model.Frame, told: bool = True) -> None:
        """A stand-in's frame."""
        data = model.encode(frame)
        if told:
            self.record.add(name, self.me, *tell_frame(read(data)))
        self.links[name].sendall(len(data).to_bytes(4, "big") + data)

    def take(self, name: str, kind: str, truth: Callable[[Frame], bool] = lambda frame: True) -> Frame:
        """The next frame of this kind that a stand-in gets."""
        end = time.monotonic() + WITHIN
        while True:
            for place, frame in enumerate(self.waiting[name]):
                if frame[0] == kind and truth(frame):
                    del self.waiting[name][place]
                    self.record.add(self.me, name, *tell_frame(frame))
                    return frame
            if not self._hear(end - time.monotonic()):
                raise AssertionError(f"{name} got no {kind}: {self.waiting[name]}")

    def _hear(self, within: float) -> bool:
        """Read what has come on any link; False where all have closed, or nothing comes for so long."""
        socks = {sock: name for name, sock in self.links.items()}
        ready, _, _ = select.select(list(socks), [], [], max(0.0, within)) if socks else ([], [], [])
        for sock in ready:
            name = socks[sock]
            try:
                data = sock.recv(1 << 16)
            except ConnectionError:
                data = b""
            if not data:
                del self.links[name]
                sock.close()
                self.waiting[name].append(["(closed)"])
            self._kept[name] += data
            while size := FLEET.whole(self._kept[name]):
                frame = read(self._kept[name][4:size])
                self._kept[name] = self._kept[name][size:]
                self.waiting[name].append(frame)
                if name in self.links:
                    self._answer(name, frame)
        return bool(ready)

    def _answer(self, name: str, frame: list[Any]) -> None:
        if frame[0] == "ping":
            self.say(name, model.Ack(frame[1], 1), told=False)
        elif frame[0] == "lead":
            lead, disk = fields(frame), self.lives[name].disk
            key = model.Key(*lead["key"])
            self.say(name, model.Follow(lead["term"], key, disk, 1, lead["stamp"], 1), told=False)

    def meet(self, name: str) -> None:
        """The member dials a stand-in, and both tell what they know: nothing."""
        sock, _ = self.doors[name].accept()
        self.left.callback(sock.close)
        self.links[name] = sock
        life = self.lives[name]
        mark = fields(self.take(name, "hello"))["life"][1]
        self.say(name, model.Welcome(1, name, life))
        self.take(name, "table")
        self.say(name, model.Table((model.Rumour(name, life, 0, model.State.UP),)))
        self.take(name, "ask")
        self.say(name, model.Known(mark, model.NOBODY, 0, True, 0))

    def dial(self, name: str, frame: model.Frame) -> None:
        """A stand-in dials the member, and greets it so."""
        sock = connect(self.listen)
        self.left.callback(sock.close)
        self.links[name] = sock
        self.say(name, frame)

    def agree(self, number: int, *names: str) -> None:
        """The member leads: a view of this number is proposed to these, and agreed."""
        for word in ("proposed", "agreed"):
            for name in names:
                self.take(name, "lead", lambda frame: says(frame, word) == f"{word} {number}")

    def finish(self, asks: bool = True) -> None:
        """As any; what came and was not taken is told, unless it is periodic."""
        assert self.program is not None
        self.signal("SIGTERM")
        end = time.monotonic() + END_WITHIN
        while self.links and time.monotonic() < end:
            self._hear(0.1)
        for name in self.names:
            for frame in self.waiting[name]:
                if frame[0] not in self.record.left_out:
                    self.record.add(self.me, name, *tell_frame(frame))
        self.record.add(self.me, "platform", f"(ended with {self.program.process.wait(END_WITHIN)})")


RigScript = Callable[[Rig, Lanes], Coroutine[Any, Any, None]]
Keep = Callable[[str, str, Frame], tuple[str, list[str]] | None]


def says(frame: Frame, word: str) -> str | None:
    """Of a leader's word, whether it proposes a view or tells that one is agreed, and the view's number."""
    lead = fields(frame)
    if word == "proposed":
        return f"proposed {lead['key'][1]}" if lead.get("view") or lead.get("patch") else None
    return f"agreed {lead['key'][1]}" if lead["agreed"] == lead["key"] else None


def views_told(origin: str, to: str, frame: Frame) -> tuple[str, list[str]] | None:
    """Of what members say to each other: views, once when proposed and once when agreed, and leaving."""
    if frame and frame[0] == "leave":
        return "leave", tell_frame(frame)
    if not frame or frame[0] != "lead":
        return None
    if agreed := says(frame, "agreed"):
        return agreed, tell_frame(frame)
    proposed = says(frame, "proposed")
    return (proposed, tell_frame(frame)) if proposed else None


class FastRig(Rig):
    """The rig with quick elections and quick suspicion, for one play."""

    def file_of(self, name: str, members: list[str], listen: int = 0, disk: Path | None = None) -> str:
        """As the rig's."""
        text = super().file_of(name, members, listen, disk)
        return text.replace("[fleet]\n", "[fleet]\nperiod_ms = 200\nanswer_ms = 60\nbeat_ms = 50\n"
                            "lease_ms = 450\npatience_ms = 600\n")  # fmt: skip


class Fleet(Stage):
    """Three real members behind relays, whose tap reads each frame; they are told lane by lane."""

    def play(self, script: RigScript, keep: Keep = views_told) -> None:
        """Play an asynchronous script on the rig."""
        lanes = Lanes(keep)
        self.record.left_out.add("all but what is told here")

        async def body() -> None:
            async with FastRig(1, 3) as rig:
                rig.relays.tapped = lanes.frame
                await rig.begin(callers=False)
                await script(rig, lanes)

        try:
            asyncio.run(body())
        finally:
            lanes.into(self.record)


def until(truth: Callable[[], bool], what: str, within: float = WITHIN) -> None:
    """Wait for something that cannot be taken from a socket; it is looked for again and again."""
    end = time.monotonic() + within
    while not truth():
        if time.monotonic() > end:
            raise AssertionError(f"not in time: {what}")
        time.sleep(0.005)


Script = Callable[[Any], None]
Table = dict[str, dict[str, Any]]


@dataclass(frozen=True, slots=True)
class Play:
    """A script, and the stage that it is played on."""

    script: Script
    stage: type[Stage]
    options: dict[str, Any]
    ends: bool  # by SIGTERM, as most do; else the script ends its process itself

    def played(self) -> str:
        """Play it; the transcript."""
        title = " ".join((self.script.__doc__ or self.script.__name__).split())
        with self.stage(**self.options) as stage:
            self.script(stage)
            if self.ends:
                stage.finish()
            return transcript(title, stage.record)


class Plays(dict[str, Play]):
    """All plays by name, which is that of the approved file."""

    def on(self, stage: type[Stage], ends: bool = True, **options: Any) -> Callable[[Script], Script]:
        """Enter a script: its name is the transcript's, its docstring the first line."""

        def enter(script: Script) -> Script:
            name = script.__name__.replace("_", "-")
            assert name not in self, f"two plays are named {name}"
            self[name] = Play(script, stage, options, ends)
            return script

        return enter

    def each(self, stage: type[Stage], table: Table, **options: Any) -> Callable[..., Script]:
        """Enter one script for each row of a table: its key goes into the name, its values are arguments.

        The row's `told` is the first line of its transcript.
        """

        def enter(script: Callable[..., None]) -> Script:
            for key, row in table.items():
                def played(stage: Any, row: dict[str, Any] = row) -> None:
                    script(stage, **{name: value for name, value in row.items() if name != "told"})

                played.__name__, played.__doc__ = f"{script.__name__}_{key}", str(row["told"])
                self.on(stage, **options)(played)
            return script

        return enter
