"""Applies the operator's records that evacuate zones."""

from arbutuschute import logs

PREFIX = 'evacuate/'
# What a restored store has lost, the operator writes again within this time.
# A zone reader's records may also lack the newest orders for a moment.
REWRITE_S = 3.0


class Orders:
    """Keeps the state of ``policy.evacuation`` as the topic has it."""

    __slots__ = ('_log', '_metrics', '_state')

    def __init__(self, state, log, metrics):
        self._state = state
        self._log = log
        self._metrics = metrics

    def apply(self, record, absent_at, is_restored):
        """Apply the record of an order.

        Its key says it all: with a value that can't be read, an order would
        hold on instances that know it and not on those that start.
        ``absent_at`` is when the store is known to have lacked the order. If
        ``is_restored``, it may have ended since the copy was made.
        """
        zone = record.key.removeprefix(PREFIX)
        if is_restored and self._state.has_ended(zone):
            self._log.info(
                'evacuation of the store is older',
                zone=zone,
                offset=record.offset,
            )
            self._state.defer(zone, REWRITE_S)
            return
        self._order(zone, absent_at, record.offset)

    def remove(self, key, is_restored=False):
        """Apply the deletion of an order.

        A restored store may lack a later order: there, a deleted key is like
        a missing one, see ``keep_only``.
        """
        if key.startswith(PREFIX) and not is_restored:
            self._end(key.removeprefix(PREFIX))

    def keep_only(self, keys):
        """Defer the end of the orders that are missing from ``keys``."""
        for zone in self._state.list_known():
            if PREFIX + zone in keys:
                continue
            if self._state.is_ordered(zone):
                self._log.warning('evacuation missing', zone=zone)
                self._state.defer(zone, REWRITE_S)
            else:
                self._state.end(zone)

    def apply_due(self, absent_at):
        """Apply deferred changes that are due; the topic was read to its end.

        What the operator has written meanwhile has cancelled them.
        """
        for zone in self._state.list_due():
            if self._state.is_ordered(zone):
                self._end(zone)
            else:
                self._order(zone, absent_at, None)

    def _order(self, zone, absent_at, offset):
        shift_s = self._state.order(zone, absent_at)
        if shift_s is None:
            return
        self._metrics.count('evacuations.ordered')
        self._log.warning(
            'zone evacuated',
            zone=zone,
            shift_ms=logs.round_to_ms(shift_s),
            offset=offset,
        )

    def _end(self, zone):
        if self._state.end(zone):
            self._metrics.count('evacuations.ended')
            self._log.warning('evacuation ended', zone=zone)
