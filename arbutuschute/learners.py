"""Cascades in a request's story: try cheap, keep it or go on to dear."""

import msgspec

from arbutuschute.policy import cascade

RATED_SHARE = 0.05
GOOD_RATING = 0.5


class _Confidence(msgspec.Struct, frozen=True):
    confidence: float = 0.0


_decoder = msgspec.json.Decoder(_Confidence)


class Learners:
    """What is known of each profile and class, and the plans that follow."""

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
        """Return the plan in use for a profile and class."""
        place = profile.name, class_name
        plan = self._plans.get(place)
        if plan is None:
            plan = self._plans[place] = _choose_plan(
                profile, self.find(*place)
            )
        return plan

    def update(self):
        """Let the plans be chosen anew from what is known now."""
        self._plans.clear()


def _choose_plan(profile, learner):
    costs = {}
    for entry in profile.versions:
        costs.setdefault(entry.model, entry.cost)
    rule = profile.cascade
    return learner.choose_plan(
        costs[rule.cheap], costs[rule.expensive], rule.quality_target
    )


def is_tried(environment, work):
    """Tell whether to try the cheap model; else set the model to use.

    An answer has to be whole before it is judged, so a streamed request
    goes to the cheap model only where each of its answers is kept.
    """
    rule = work.profile.cascade
    if rule is None or work.model is not None:
        return False
    plan = environment.learners.find_plan(work.profile, work.class_name)
    if work.stream or not work.profile.idempotent:
        keeps_all = plan.threshold == 0
        work.model = rule.cheap if keeps_all else rule.expensive
        return False
    learner = environment.learners.find(work.profile.name, work.class_name)
    learning = environment.random.random() < learner.get_learning_share()
    if plan.tries_cheap or learning:
        work.rates = learning
        return True
    work.model = rule.expensive
    return False


class HeldReply:
    """Holds a cheap answer until it is judged good enough."""

    __slots__ = ('_environment', '_held', '_reply', '_work', 'is_kept')

    def __init__(self, environment, work, reply):
        self._environment = environment
        self._work = work
        self._reply = reply
        self._held = None
        self.is_kept = False

    async def answer_whole(self, closing, body, usage, version, server):
        """Judge a cheap answer by its confidence."""
        environment, work = self._environment, self._work
        learner = environment.learners.find(work.profile.name, work.class_name)
        confidence = read_confidence(body)
        learner.record_cheap(confidence)
        plan = environment.learners.find_plan(work.profile, work.class_name)
        self.is_kept = cascade.get_bin(confidence) >= plan.threshold
        self._held = (body, usage, version, server)
        if work.rates or environment.random.random() < RATED_SHARE:
            environment.raters.rate(
                work.id,
                body,
                lambda rating: learner.rate_cheap(
                    confidence, rating >= GOOD_RATING
                ),
            )
        if not self.is_kept:
            closing.spend(version, usage)
            environment.metrics.count('cascade.escalated')

    async def release(self, closing):
        """Deliver the held answer."""
        self._environment.metrics.count('cascade.kept')
        await self._reply.answer_whole(closing, *self._held)


def read_confidence(body):
    """Return an answer's confidence in 0..1, 0 if it states none."""
    try:
        return _decoder.decode(body).confidence
    except msgspec.DecodeError:
        return 0.0


def rate_dear(environment, work, version, body):
    """Have a share of the dear model's answers rated."""
    rule = work.profile.cascade
    if rule is None or version.model != rule.expensive:
        return
    if environment.random.random() >= RATED_SHARE:
        return
    learner = environment.learners.find(work.profile.name, work.class_name)
    environment.raters.rate(
        work.id,
        body,
        lambda rating: learner.rate_expensive(rating >= GOOD_RATING),
    )
