"""What is known of each site, and from what: own calls, the list, the view, words of others. No I/O.

Own silence acts at once and for this gatekeeper alone. A site is lost for all only by the list, by a view
that has all its members down while nobody hears its log servers, or by the word of at least two gatekeepers
that are the majority of those with evidence: a lone liar, and one behind a bad link, move nothing for others.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from ..core.model import Ending, Server, ServerStatus
from ..fleet.model import State, View
from .model import MILLISECOND, SECOND, Seen, SiteState, SitesTerms, Word

OWED_MOST = 10_000  # attempts without an answer that are remembered of one log server or site
OWED_LEAST = 2  # one lost answer is not a site's silence
DOUBT_MOST = 4  # times `doubt`: a slow site is given more time, up to this
FRESH = timedelta(milliseconds=1_200)  # a word, or an answer that is told of, counts for so long
ANSWERED_LATELY = timedelta(milliseconds=1_200)
SLOW = 3.0  # times its usual delay, and beyond `doubt`: the site is slow
USUAL_UP, USUAL_DOWN = 0.002, 0.1  # weight of an answer in the usual delay
VOTERS_LEAST = 2
MEMBERS_MOST = 1_000

# The log server was there and said something whole: its site is not silent.
ANSWERS = frozenset(
    {Ending.FAULT, Ending.NUMBER_BUSY, Ending.LINES_FULL, Ending.PROCESSOR_FULL, Ending.COMPLETED}
)
# Nobody was there to answer.
DEAD = frozenset({Ending.CONNECTION_REFUSED, Ending.CONNECTION_FAILED, Ending.CONNECTION_SILENT})
# Says nothing either way.
NOTHING = frozenset({Ending.WITHDRAWN, Ending.CALLER_LEFT, Ending.MOOT})


class Sight:
    """What own calls saw of one log server, or of all of a site together."""

    def __init__(self) -> None:
        self.sent = self.answers = 0
        self.owed: dict[Hashable, timedelta] = {}
        self.answered_at: timedelta | None = None
        self.since: timedelta | None = None  # the first set-up that all answers are owed since
        self.unanswered = self.dead = 0  # since the last answer
        self.delay = self.spread = timedelta(0)  # smoothed as in RFC 6298, 2
        self.gap = timedelta(0)  # between answers, smoothed
        self.usual = timedelta(0)  # the delay in good times

    def out(self, key: Hashable, now: timedelta) -> None:
        """A set-up leaves."""
        self.sent += 1
        self.unanswered += 1
        if self.since is None:
            self.since = now
        if len(self.owed) < OWED_MOST:
            self.owed[key] = now

    def over(self, key: Hashable, ending: Ending | None, now: timedelta) -> None:
        """It came to stand (no ending), or failed."""
        sent_at = self.owed.pop(key, None)
        if ending is None or ending in ANSWERS:
            self._answer(now, None if sent_at is None else now - sent_at)
        elif ending in DEAD:
            self.dead += 1
        elif ending in NOTHING and not self.owed and self.unanswered <= 1:
            self.since, self.unanswered = None, 0

    def _answer(self, now: timedelta, delay: timedelta | None) -> None:
        if self.answered_at is not None:
            self.gap += (min(now - self.answered_at, SECOND) - self.gap) / 8
        if delay is not None:
            if not self.answers:
                self.delay, self.spread, self.usual = delay, delay / 2, delay
            self.spread += (abs(delay - self.delay) - self.spread) / 4
            self.delay += (delay - self.delay) / 8
            # Slow times hardly count to what is usual, and quick ones at once.
            self.usual += (delay - self.usual) * (USUAL_DOWN if delay < self.usual else USUAL_UP)
        self.answers += 1
        self.answered_at, self.unanswered, self.dead = now, 0, 0
        self.since = now if self.owed else None

    def forgive(self, span: timedelta) -> None:
        """This process stood still for so long: what was owed meanwhile says nothing."""
        if self.since is not None:
            self.since += span

    def silent_for(self, now: timedelta) -> timedelta | None:
        """For how long all answers are owed; None where none is, or too few to mean anything."""
        if self.since is None or max(self.unanswered, len(self.owed)) < OWED_LEAST:
            return None
        return now - self.since

    def patience(self, doubt: timedelta) -> timedelta:
        """How long a silence must last to be doubted: as RFC 6298 waits for an answer that is slow anyway."""
        slow = self.gap * 3 if self.delay > doubt / 2 else timedelta(0)
        return min(max(doubt, self.delay + 4 * self.spread, slow), DOUBT_MOST * doubt)

    def silent(self, now: timedelta, doubt: timedelta) -> bool:
        """Nobody answers there."""
        if self.dead >= OWED_LEAST:
            return True
        span = self.silent_for(now)
        return span is not None and span >= self.patience(doubt)

    def answered_lately(self, now: timedelta) -> bool:
        """Somebody does."""
        return self.answered_at is not None and now - self.answered_at <= ANSWERED_LATELY

    def slow(self, doubt: timedelta) -> bool:
        """It answers, and late."""
        return self.delay > doubt and self.delay > SLOW * self.usual


@dataclass(slots=True)
class Heard:
    """The last word of a member, and when it came."""

    word: Word
    at: timedelta


@dataclass(slots=True)
class Opinion:
    """What this gatekeeper thinks of one site, with its evidence."""

    state: SiteState = SiteState.WHOLE
    why: str = ""
    since: timedelta = timedelta(0)
    own_doubt: bool = False  # by own calls: acts here only
    heard_alive: bool = False  # somebody had an answer lately
    better_since: timedelta | None = None  # since when nothing speaks for the worse state it is in


@dataclass(slots=True)
class Evidence:
    """All sites, as one gatekeeper sees them."""

    name: str
    terms: SitesTerms
    districts: Mapping[str, str]  # of the members
    servers: dict[str, Server] = field(default_factory=dict)
    sights: dict[str, Sight] = field(default_factory=dict)  # by site
    by_server: dict[str, Sight] = field(default_factory=dict)
    words: dict[str, Heard] = field(default_factory=dict)
    opinions: dict[str, Opinion] = field(default_factory=dict)
    view: View | None = None  # while it holds
    listed_once: set[str] = field(default_factory=set)  # sites that had a log server in the list
    looked_at: timedelta | None = None

    def __post_init__(self) -> None:
        for site in self.terms.sites:
            self.sights[site.name], self.opinions[site.name] = Sight(), Opinion()

    # --- news

    def list_told(self, servers: Mapping[str, Server]) -> None:
        """The list as it is now."""
        self.servers = dict(servers)
        for server in servers.values():
            if server.district in self.sights and server.status is ServerStatus.READY:
                self.listed_once.add(server.district)
        for name in [name for name in self.by_server if name not in servers]:
            del self.by_server[name]

    def sent(self, key: Hashable, server: str, now: timedelta) -> str | None:
        """A set-up leaves; the site it goes to."""
        site = self.site_of(server)
        if site is not None:
            self.sights[site].out(key, now)
            self.by_server.setdefault(server, Sight()).out(key, now)
        return site

    def over(self, key: Hashable, server: str, ending: Ending | None, now: timedelta) -> None:
        """What became of it."""
        site = self.site_of(server)
        if site is not None:
            self.sights[site].over(key, ending, now)
        if (sight := self.by_server.get(server)) is not None:
            sight.over(key, ending, now)

    def site_of(self, server: str) -> str | None:
        """The site of a log server of the list; None for one of no site."""
        entry = self.servers.get(server)
        return entry.district if entry is not None and entry.district in self.sights else None

    def heard(self, member: str, word: Word, now: timedelta) -> None:
        """A word came; an older one that was overtaken says nothing."""
        known = self.words.get(member)
        stale = known is not None and word.number <= known.word.number and now - known.at < FRESH
        if not stale and (known is not None or len(self.words) < MEMBERS_MOST):
            self.words[member] = Heard(word, now)

    def fresh(self, now: timedelta) -> Iterable[tuple[str, Word, timedelta]]:
        """Words that still count, with their age."""
        for member, heard in self.words.items():
            if now - heard.at <= FRESH:
                yield member, heard.word, now - heard.at

    def forgive(self, span: timedelta) -> None:
        """This process stood still."""
        for sight in (*self.sights.values(), *self.by_server.values()):
            sight.forgive(span)

    # --- judging

    def judge(self, now: timedelta) -> list[tuple[str, SiteState, SiteState, str]]:
        """Look at all sites anew: which changed, from what to what, and why."""
        changed = []
        told = list(self.fresh(now))
        for site in self.terms.sites:
            opinion = self.opinions[site.name]
            before = opinion.state
            opinion.own_doubt = self._own_doubt(site.name, opinion, now)
            opinion.heard_alive = self._alive(site.name, now, told)
            state, why = self._state(site.name, opinion, now, told)
            self._move(opinion, state, why, now)
            if opinion.state is not before:
                changed.append((site.name, before, opinion.state, opinion.why))
        return changed

    def _own_doubt(self, site: str, opinion: Opinion, now: timedelta) -> bool:
        sight = self.sights[site]
        if sight.silent(now, self.terms.doubt):
            others = [one for name, one in self.sights.items() if name != site and one.since is not None]
            # All that was asked is silent: then it is this gatekeeper's own link that fails.
            alone = others and all(other.silent(now, self.terms.doubt) for other in others)
            return not alone or len(others) < len(self.sights) - 1
        if not opinion.own_doubt:
            return False
        # Lifted by an answer since, or where nothing is owed any more and others hear it.
        if sight.since is None or sight.unanswered == 0:
            return not (sight.answered_lately(now) or opinion.heard_alive)
        return True

    def _alive(self, site: str, now: timedelta, told: list[tuple[str, Word, timedelta]]) -> bool:
        if self.sights[site].answered_lately(now):
            return True
        hearing = 0
        home_hears = False
        for member, word, age in told:
            for one in word.seen:
                fresh = one.site == site and 0 <= one.answered_ms
                if fresh and one.answered_ms * MILLISECOND + age <= ANSWERED_LATELY:
                    hearing += 1
                    home_hears |= self.districts.get(member) == site
        return home_hears or hearing >= VOTERS_LEAST

    def votes(self, site: str, now: timedelta, told: list[tuple[str, Word, timedelta]]) -> tuple[int, int]:
        """How many gatekeepers with evidence of late find a site silent, and how many hear it."""
        silent = hears = 0
        sight = self.sights[site]
        if sight.silent(now, self.terms.doubt):
            silent += 1
        elif sight.answered_lately(now):
            hears += 1
        for _, word, age in told:
            for one in word.seen:
                if one.site != site:
                    continue
                if one.doubted and one.silent_ms >= 0:
                    silent += 1
                elif one.answered_ms >= 0 and one.answered_ms * MILLISECOND + age <= ANSWERED_LATELY:
                    hears += 1
        return silent, hears

    def members_of(self, site: str) -> list[str]:
        """The gatekeepers of a district."""
        return [name for name, district in self.districts.items() if district == site]

    def down(self, site: str) -> tuple[int, int]:
        """How many of a district's members the held view has down or left, and how many there are."""
        members = self.members_of(site)
        if self.view is None:
            return 0, len(members)
        gone = (State.DOWN, State.LEFT)
        count = 0
        for name in members:
            standing = self.view.standing(name)
            count += standing is not None and standing.state in gone
        return count, len(members)

    def _state(
        self, site: str, opinion: Opinion, now: timedelta, told: list[tuple[str, Word, timedelta]]
    ) -> tuple[SiteState, str]:
        servers = [server for server in self.servers.values() if server.district == site]
        ready = [server for server in servers if server.status is ServerStatus.READY]
        if site in self.listed_once and not ready:
            return SiteState.LOST, "list: none of its log servers takes calls"
        down, members = self.down(site)
        silent, hears = self.votes(site, now, told)
        if members and down == members and not hears:
            return SiteState.LOST, f"view: all {members} members down, and nobody hears its log servers"
        if silent >= VOTERS_LEAST and silent > hears:
            return SiteState.LOST, f"words: {silent} gatekeepers find it silent, {hears} hear it"
        if opinion.own_doubt:
            return SiteState.DOUBTED, "own calls: all answers are owed"
        if silent >= VOTERS_LEAST:
            return SiteState.DOUBTED, f"words: {silent} gatekeepers find it silent, {hears} hear it"
        if members and down == members:
            return SiteState.PARTLY, f"view: all {members} members down, its log servers answer"
        if len(ready) < len(servers):
            return SiteState.PARTLY, f"list: {len(ready)} of {len(servers)} log servers take calls"
        mute = [server.id for server in ready if self.mute(server.id, now)]
        if mute:
            return SiteState.PARTLY, f"own calls: {len(mute)} of {len(ready)} log servers are silent"
        if self.sights[site].slow(self.terms.doubt):
            return SiteState.PARTLY, "own calls: it answers, and slowly"
        if down:
            return SiteState.PARTLY, f"view: {down} of {members} members down"
        return SiteState.WHOLE, ""

    def mute(self, server: str, now: timedelta) -> bool:
        """One log server is silent while its site may not be."""
        sight = self.by_server.get(server)
        return sight is not None and sight.silent(now, self.terms.doubt)

    def _move(self, opinion: Opinion, state: SiteState, why: str, now: timedelta) -> None:
        """Worse at once, better only after a stay: hysteresis."""
        if RANK[state] > RANK[opinion.state]:
            opinion.state, opinion.why, opinion.since, opinion.better_since = state, why, now, None
            return
        if state is opinion.state:
            opinion.better_since = None
            opinion.why = why
            return
        # Without a positive sign of life a site that was lost stays so.
        if opinion.state is SiteState.LOST and not opinion.heard_alive and not opinion.why.startswith("list"):
            if not self._listed_alive(opinion):
                opinion.better_since = None
                return
        if opinion.better_since is None:
            opinion.better_since = now
        if now - opinion.better_since >= self.terms.doubt:
            opinion.state, opinion.why, opinion.since, opinion.better_since = state, why, now, None

    def _listed_alive(self, opinion: Opinion) -> bool:
        """Nobody sends to a lost site, so a view that has members of it up again is a sign of life."""
        site = next(name for name, one in self.opinions.items() if one is opinion)
        down, members = self.down(site)
        return self.view is not None and bool(members) and down < members and opinion.why.startswith("view")


RANK = {
    SiteState.WHOLE: 0,
    SiteState.PARTLY: 1,
    SiteState.RETURNING: 1,
    SiteState.DOUBTED: 2,
    SiteState.LOST: 3,
}


def seen_of(site: str, sight: Sight, opinion: Opinion, now: timedelta, kept: bool) -> Seen:
    """What a word tells of a site."""
    silent = sight.silent_for(now)
    if silent is None and opinion.own_doubt:
        silent = timedelta(0)
    answered = -1 if sight.answered_at is None else _ms(now - sight.answered_at)
    return Seen(
        site, sight.sent, sight.answers, answered, -1 if silent is None else _ms(silent),
        _ms(sight.delay), opinion.own_doubt, kept,
    )  # fmt: skip


def _ms(span: timedelta) -> int:
    return min(max(span // MILLISECOND, 0), 86_400_000)
