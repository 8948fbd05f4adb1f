"""What deployments differ in, on the platform's protocol: tenants, tests of log servers, gaps for callers."""

from __future__ import annotations

import copy
import json
import select
from typing import Any

from support import SETTINGS, LogServer
from test_core import MS
from test_platform import PlatformCase

from mallowquay.settings import ConfigError, common


def settings_with(limits: dict[str, Any] | None = None, **more: Any) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS) | more
    settings["limits"] |= limits or {}
    return settings


FEW, MANY = {"fraction": 0.1, "quotaPerS": 0.1}, {"fraction": 0.9, "quotaPerS": 100.0}


class TenantsTest(PlatformCase):
    servers = 1

    def more(self) -> dict[str, object]:
        return {"settings": settings_with(tenants=[{"name": "few", **FEW}, {"name": "many", **MANY}])}

    def ask(self, call_id: str, tenant: str | None) -> None:
        billed = [] if tenant is None else [f"P-Billed: {tenant}"]
        self.caller.send("INVITE", call_id, "P-Kind: log-lookup", "P-Time-Left: 3000",
                         "P-Path: dest:0;width:1;via:-1", *billed, body="offer\r\n")  # fmt: skip

    def hold_two(self, tenant: str) -> None:
        """Two set-ups stay unanswered: a log server of unknown capacity is sent no more."""
        for call_id in ("00000000000000a1", "00000000000000a2"):
            self.ask(call_id, tenant)
            self.assertEqual(self.log_servers[0].read()["ref"], call_id)

    def test_a_call_within_its_tenants_share_goes_before_one_beyond(self) -> None:
        for held, first in ((("few", "many"), 1), (("many", "many"), 0)):
            with self.subTest(held):
                self.hold_two_and_two(held, first)
                self.doCleanups()
                self.setUp()

    def hold_two_and_two(self, tenants: tuple[str, str], first: int) -> None:
        """Two set-ups stay unanswered, and two more are held until one of them is."""
        self.hold_two(tenants[0])
        ids = ("00000000000000a3", "00000000000000a4")
        for call_id, tenant in zip(ids, tenants, strict=True):
            self.ask(call_id, tenant)
        self.caller.send("OPTIONS", "p")
        self.caller.read()  # both have been taken
        self.log_servers[0].say("up", "00000000000000a1", text="answer")
        self.assertEqual(self.log_servers[0].read()["ref"], ids[first])

    def test_a_tenant_that_the_settings_do_not_name(self) -> None:
        self.ask("00000000000000a1", "nobody")
        self.assertEqual(self.caller.read()[""][8:11], "400")
        self.ask("00000000000000a2", None)  # none is told: the call is nobody's, and goes
        self.assertEqual(self.log_servers[0].read()["ref"], "00000000000000a2")
        self.document["settings"]["tenants"].append({"name": "nobody", **FEW})
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(self.document, file)
        self.program.process.send_signal(1)
        self.program.wait_for("configuration_taken")
        self.ask("00000000000000a3", "nobody")
        self.assertEqual(self.log_servers[0].read()["ref"], "00000000000000a3")

    def test_names_of_tenants_are_checked(self) -> None:
        for tenants, named in (
            ([FEW], "settings.tenants.0.name is missing"),
            ([{"name": "few", **FEW}] * 2, "settings.tenants: a name is given twice"),
            ("few", "settings.tenants must be list"),
            ([{"name": "few", **FEW, "fraction": 2}], "fraction must be from 0 to 1"),
        ):
            with self.subTest(named), self.assertRaisesRegex(ConfigError, named):
                common(settings_with(tenants=tenants), 1, 1024)


class NoGapTest(PlatformCase):
    servers = 1

    def more(self) -> dict[str, object]:
        return {"settings": settings_with({"retryAfter": False})}

    def test_callers_are_told_no_gap_where_the_settings_allow_none(self) -> None:
        self.caller.invite("00000000000000a1", left=700)
        self.log_servers[0].read()  # and never answers
        answer = self.caller.read()
        self.assertRegex(answer[""], "^SIP/2.0 5")
        self.assertNotIn("p-gap-ms", answer)

    def test_the_gaps_follow_the_settings(self) -> None:
        for limits, usual, away in (
            ({}, 1000, 500),
            ({"retryAfter": False}, 0, 0),
            ({"maxRetryAfter": 200_000}, 100, 200),  # no longer than callers heed
        ):
            config = common(settings_with(limits), 1, 1024)
            self.assertEqual((config.default_gap, config.terms.away_gap), (usual * MS, away * MS))


class SilentCase(PlatformCase):
    """A log server dies and comes back; the list tells nothing of it."""

    allowed = False

    def more(self) -> dict[str, object]:
        return {"settings": settings_with({"mayProbe": self.allowed})}

    def lose_one(self) -> LogServer:
        self.log_servers[0].reset()
        self.caller.invite("00000000000000a1")
        self.assertEqual(self.log_servers[1].read()["ref"], "00000000000000a1")
        self.log_servers[0] = LogServer(0, self.log_servers[0].port)
        return self.log_servers[0]

    def first_after(self, back: LogServer) -> dict[str, object]:
        for number in range(200):  # it is taken as cold: its first call may wait for its turn
            self.caller.invite(f"{number + 1024:016x}")
            if back.sock is None and select.select([back.listener], [], [], 0.05)[0]:
                back.accept()
            if back.sock is not None:
                back.say("gauge", "", load="x0:1000;x1:1000")  # or its connection would be left as mute
                if not back.silent(0.05):
                    break
        return back.read()


class TestedTest(SilentCase):
    allowed = True

    def test_a_silent_log_server_is_tested_and_has_calls_again_once_it_passed(self) -> None:
        back = self.lose_one()
        back.accept()
        refs = []
        for passed in (None, 0, 1):  # unanswered, failed, passed
            test = back.read()
            self.assertEqual((test["t"], test["c"], test["f"]), ("hb", 1, {}))
            refs.append(test["ref"])
            back.say("gauge", "", load="x0:1000;x1:1000")
            back.say("hb_ok", "00000000000000ff", cause=1)  # of no test
            if passed is not None:
                back.say("hb_ok", str(test["ref"]), cause=passed)
        self.assertEqual(len(set(refs)), 3)
        self.assertEqual(self.first_after(back)["t"], "new")


class UntestedTest(SilentCase):
    def test_nothing_is_tested_where_the_settings_do_not_allow_it(self) -> None:
        self.assertEqual(self.first_after(self.lose_one())["t"], "new")  # it is tried with a call instead
