"""Cascades: try the cheap model first, escalate to the expensive one."""

import msgspec

from arbutuschute import decoding
from arbutuschute.policy import cascade

RATED_SHARE = 0.05
GOOD_RATING = 0.5


class _Confidence(msgspec.Struct, frozen=True):
    confidence: float = 0.0


_decoder = decoding.make_json_decoder(_Confidence)


class Learners:
    """A learner per profile and class, and the plans computed from them."""

    __slots__ = ('_learners', '_plans')

    def __init__(self):
        self._learners = {}
        self._plans = {}

    def find(self, profile, class_name):
        """Return the learner of a profile and class."""
        return self._learners.setdefault(
            (profile, class_name), cascade.Learner()
        )

    def find_plan(self, profile, class_name):
        """Return the current plan of a profile and class."""
        key = profile.name, class_name
        plan = self._plans.get(key)
        if plan is None:
            plan = self._plans[key] = _choose_plan(profile, self.find(*key))
        return plan

    def update(self):
        """Discard the plans; they are recomputed from the newest counts."""
        self._plans.clear()


def _choose_plan(profile, learner):
    costs = {}
    for entry in profile.versions:
        costs.setdefault(entry.model, entry.cost)
    rule = profile.cascade
    return learner.choose_plan(
        costs[rule.cheap], costs[rule.expensive], rule.quality_target
    )


def tries_cheap(environment, work):
    """Return whether to try the cheap model; else set the model to use.

    Only a complete answer can be evaluated, so a streamed request goes to
    the cheap model only where the plan accepts all of its answers. The same
    holds for requests that are not idempotent.
    """
    rule = work.profile.cascade
    if rule is None or work.model is not None:
        return False
    plan = environment.learners.find_plan(work.profile, work.class_name)
    if work.stream or not work.profile.idempotent:
        accepts_all = plan.threshold == 0
        work.model = rule.cheap if accepts_all else rule.expensive
        return False
    learner = environment.learners.find(work.profile.name, work.class_name)
    learning = environment.random.random() < learner.get_learning_share()
    if plan.tries_cheap or learning:
        work.is_rated = learning
        return True
    work.model = rule.expensive
    return False


class BufferedReply:
    """Buffers a cheap answer, to be delivered if it is accepted."""

    __slots__ = ('_environment', '_buffered', '_reply', '_work', 'is_accepted')

    def __init__(self, environment, work, reply):
        self._environment = environment
        self._work = work
        self._reply = reply
        self._buffered = None
        self.is_accepted = False

    async def answer_whole(self, bill, body, usage, version, server):
        """Accept or reject a cheap answer by its confidence."""
        environment, work = self._environment, self._work
        learner = environment.learners.find(work.profile.name, work.class_name)
        confidence = read_confidence(body)
        learner.record_cheap(confidence)
        plan = environment.learners.find_plan(work.profile, work.class_name)
        self.is_accepted = cascade.get_bin(confidence) >= plan.threshold
        self._buffered = (body, usage, version, server)
        if work.is_rated or environment.random.random() < RATED_SHARE:
            environment.rating_client.rate(
                work.id,
                body,
                lambda rating: learner.rate_cheap(
                    confidence, rating >= GOOD_RATING
                ),
            )
        if not self.is_accepted:
            bill.add_cost(version, usage)
            environment.metrics.count('cascade.escalated')

    async def deliver(self, bill):
        """Deliver the buffered answer."""
        self._environment.metrics.count('cascade.kept')
        await self._reply.answer_whole(bill, *self._buffered)


def read_confidence(body):
    """Return the answer's confidence in 0..1, 0 if it states none."""
    try:
        return _decoder.decode(body).confidence
    except msgspec.DecodeError:
        return 0.0


def rate_expensive(environment, work, version, body):
    """Have a share of the expensive model's answers rated."""
    rule = work.profile.cascade
    if rule is None or version.model != rule.expensive:
        return
    if environment.random.random() >= RATED_SHARE:
        return
    learner = environment.learners.find(work.profile.name, work.class_name)
    environment.rating_client.rate(
        work.id,
        body,
        lambda rating: learner.rate_expensive(rating >= GOOD_RATING),
    )
