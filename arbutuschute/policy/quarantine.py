"""Quarantine of prompt parts that crash backend servers.

A server that begins to answer a certain part of a prompt may crash, whatever
else the prompt holds. Instances share two kinds of observations: which parts
were in unanswered requests at a server that crashed, and which of these have
been answered since. The fewest parts that explain the crashes are
quarantined: requests with them are refused.
"""

import collections

import msgspec

# Crashes that make a part quarantined, unless a request with it was answered
# meanwhile.
QUARANTINE_CRASHES = 3
# A request is not sent to another server after a crash if it, or its parts,
# were at this many.
RETRY_CRASHES = 2
# Servers that share a machine or a rack crash together. No part explains
# crashes that are this close to each other, so they count once, unless the
# later one followed from a request that was sent after the first.
SAME_CAUSE_S = 0.2
# A part is not suspected if a request with it was answered this recently.
RECENT_ANSWER_S = 2.0
# Servers may be repaired meanwhile.
QUARANTINE_S = 600.0
# The newest crashes that are kept, and parts whose last answer is.
MAX_CRASHES = 64
MAX_PARTS = 4096


class Crash(msgspec.Struct, frozen=True, tag='crash'):
    """Unanswered requests' parts at a server that crashed.

    ``server`` identifies one incarnation of a server. ``at`` and ``sent_at``,
    when the last of the requests was sent, are in seconds since the epoch.
    ``has_begun`` says whether the server had begun to respond to them.
    """

    server: str
    at: float
    sent_at: float
    parts: tuple[str, ...]
    has_begun: bool = False


class Answered(msgspec.Struct, frozen=True, tag='answered'):
    """Suspected parts of requests that have been answered since."""

    parts: tuple[str, ...]


class Verdict(msgspec.Struct, frozen=True, tag='verdict'):
    """Parts that are quarantined together until ``until`` (epoch, s)."""

    parts: tuple[str, ...]
    until: float


class _Suspects:
    """The suspected parts of one crash."""

    __slots__ = ('at', 'begun', 'known_at', 'sent_at', 'waiting')

    def __init__(self, crash, known_at):
        self.at = crash.at
        self.sent_at = crash.sent_at
        self.known_at = known_at
        self.begun = set()
        self.waiting = set()

    @property
    def parts(self):
        """The parts that may have caused the crash."""
        return self.begun or self.waiting

    def discard(self, parts):
        """Remove parts that did not cause it."""
        self.begun -= parts
        self.waiting -= parts


class Quarantine:
    """What is known of crashes, and the parts quarantined for them.

    ``now`` and ``wall`` return monotonic seconds and seconds since the
    epoch.
    """

    __slots__ = ('_answered_at', '_crashes', '_groups', '_now', '_verdicts',
                 '_wall')  # fmt: skip

    def __init__(self, now, wall):
        self._now = now
        self._wall = wall
        self._crashes = collections.OrderedDict()
        self._answered_at = collections.OrderedDict()
        # Verdicts of instances that may know more, by their parts.
        self._verdicts = {}
        # The groups by the number of crashes, computed on demand.
        self._groups = {}

    def record_crash(self, crash):
        """Record the unanswered parts at a server that crashed."""
        parts = self.select_unanswered(crash.parts)
        if not parts:
            return
        self._groups.clear()
        suspects = self._crashes.get(crash.server)
        if suspects is None:
            suspects = _Suspects(crash, self._now())
            self._crashes[crash.server] = suspects
        suspects.sent_at = max(suspects.sent_at, crash.sent_at)
        found = suspects.begun if crash.has_begun else suspects.waiting
        found.update(parts)
        self._forget_old()

    def record_answered(self, parts):
        """Record answered parts; return those that had been suspected."""
        now = self._now()
        for part in parts:
            self._answered_at[part] = now
            self._answered_at.move_to_end(part)
        while len(self._answered_at) > MAX_PARTS:
            self._answered_at.popitem(last=False)
        cleared = self._find_suspected(parts)
        if cleared:
            self._groups.clear()
            for suspects in self._crashes.values():
                suspects.discard(cleared)
            self._clear_verdicts(cleared)
        return cleared

    def record_verdict(self, verdict):
        """Record a verdict on the parts that were not answered recently."""
        self._verdicts = {
            group: self._verdicts[group] for group in self._find_verdicts()
        }
        if parts := self.select_unanswered(verdict.parts):
            self._verdicts[frozenset(parts)] = verdict.until

    def list_verdicts(self):
        """Return a ``Verdict`` on each group that is quarantined now."""
        until = self._wall() + QUARANTINE_S
        ends = dict.fromkeys(self.list_groups(), until)
        ends.update((g, self._verdicts[g]) for g in self._find_verdicts())
        return [
            Verdict(tuple(sorted(group)), end) for group, end in ends.items()
        ]

    def select_unanswered(self, parts):
        """Return the parts that were not answered recently."""
        since = self._now() - RECENT_ANSWER_S
        never = float('-inf')
        return tuple(
            part
            for part in parts
            if self._answered_at.get(part, never) < since
        )

    def find_refused(self, parts):
        """Return the quarantined parts that a request must not hold."""
        for group in self._find_verdicts():
            if group.issubset(parts):
                return tuple(sorted(group))
        return self._find_within(parts, QUARANTINE_CRASHES)

    def may_retry(self, parts, crashes):
        """Return whether a request may be sent again after ``crashes``.

        Crashes of other requests with its parts count, too.
        """
        if not crashes:
            return True
        if crashes >= RETRY_CRASHES:
            return False
        return not self._find_within(parts, RETRY_CRASHES)

    def list_groups(self, crashes=QUARANTINE_CRASHES):
        """Return the groups of parts that explain the crashes.

        A group was at ``crashes`` of them or more that no other group
        explains. Its parts were at the same ones, so that each of them may
        be the cause: only a request with all of them is refused.
        """
        if crashes not in self._groups:
            self._forget_old()
            self._groups[crashes] = _explain(self._merge_crashes(), crashes)
        return self._groups[crashes]

    def _find_within(self, parts, crashes):
        if not self._crashes:
            return ()
        for group in self.list_groups(crashes):
            if group.issubset(parts):
                return tuple(sorted(group))
        return ()

    def _find_verdicts(self):
        if not self._verdicts:
            return ()
        wall = self._wall()
        return [group for group, end in self._verdicts.items() if end > wall]

    def _find_suspected(self, parts):
        if not self._crashes and not self._verdicts:
            return set()
        wanted = set(parts)
        found = set()
        for suspects in self._crashes.values():
            found |= wanted & (suspects.begun | suspects.waiting)
        for group in self._verdicts:
            found |= wanted & group
        return found

    def _clear_verdicts(self, cleared):
        """Remove answered parts: the others of a group stay quarantined."""
        kept = {}
        for group, until in self._verdicts.items():
            if rest := group - cleared:
                kept[rest] = until
        self._verdicts = kept

    def _forget_old(self):
        before = self._now() - QUARANTINE_S
        while self._crashes:
            oldest = next(iter(self._crashes.values()))
            if oldest.known_at >= before and len(self._crashes) <= MAX_CRASHES:
                return
            self._crashes.popitem(last=False)

    def _merge_crashes(self):
        """Return the suspects of each crash; simultaneous ones are merged."""
        merged = []
        began_at = float('-inf')
        for suspects in sorted(self._crashes.values(), key=lambda s: s.at):
            is_close = suspects.at - began_at < SAME_CAUSE_S
            if is_close and suspects.sent_at <= began_at:
                merged[-1] |= suspects.parts
                continue
            began_at = suspects.at
            merged.append(set(suspects.parts))
        return merged


def _explain(crashes, least):
    """Return groups of parts at ``least`` or more crashes, the most first.

    ``crashes`` are the sets of parts suspected at each.
    """
    groups = []
    left = dict(enumerate(crashes))
    while left:
        seen = collections.defaultdict(set)
        for number, parts in left.items():
            for part in parts:
                seen[part].add(number)
        numbers = max(seen.values(), key=len, default=())
        if len(numbers) < least:
            break
        group = frozenset(p for p, found in seen.items() if found == numbers)
        groups.append(group)
        for number in numbers:
            del left[number]
    return tuple(groups)
