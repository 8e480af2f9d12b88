"""Settings file of the platform, decoded into the product's own fields."""

import os
import pathlib

import msgspec
from returns import result

from arbutuschute import errors

PATH_VARIABLE = 'ARBUTUSCHUTE_SETTINGS'
DEFAULT_PATH = '/etc/arbutuschute/node.conf'
# Must match the port in the deploy file.
METRICS_PORT = 9464
# The memory of a machine whose settings name none.
MEMORY_MB = 512
# Ordinary callers pause for less than 8 s between two reads.
UNREAD_S = 12.0
# Keys may be used for revoke_s after they were revoked; this much of it is
# reserved for requests in flight.
LEASE_MARGIN_S = 0.6
# The link of a machine whose settings name none.
LINK_MBPS = 1000.0
# The platform may change the file without a signal.
CHECK_PERIOD_S = 2.0


class Address(msgspec.Struct, frozen=True):
    """An IPv4 address and a TCP port."""

    host: str
    port: int

    def __str__(self):
        return f'{self.host}:{self.port}'


class Bounds(msgspec.Struct, frozen=True):
    """Time bounds (in seconds) and shares that the deployment sets."""

    drain_s: float = 2.5
    stop_s: float = 8.0
    apply_s: float = 2.5
    revoke_s: float = 5.0
    retry_share: float = 0.9
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    canary_share: float = 0.15
    canary_slack: float = 30.0
    session_s: float = 5.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    evacuate_s: float = 5.0

    @property
    def lease_s(self):
        """How long a confirmed configuration may be used, in seconds."""
        return self.revoke_s - LEASE_MARGIN_S


class Settings(msgspec.Struct, frozen=True):
    """Settings of one instance: its machine, addresses and bounds."""

    name: str
    zone: str
    region: str
    callers: Address
    readiness: Address
    store: Address
    # Where zone peers read new store records from this instance.
    zone_peers: Address
    regions_by_zone: dict[str, str]
    bounds: Bounds
    max_descriptors: int = 4096
    memory_bytes: int = MEMORY_MB * 1024 * 1024
    unread_s: float = UNREAD_S
    link_mbps: float = LINK_MBPS
    metrics_port: int = METRICS_PORT


def load(path):
    """Return ``Result`` with the ``Settings`` in the file at ``path``."""
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        return result.Failure(errors.UnreadableFile(path, error.strerror))
    except UnicodeDecodeError as error:
        return result.Failure(errors.UnreadableFile(path, str(error)))
    return decode(text, str(path))


def get_signature(path):
    """Return a value that changes with the file, None if it is missing."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_ino, found.st_size


class SettingsFile:
    """Applies the bounds in a file again when they change.

    Addresses stay as they were bound.
    """

    __slots__ = ('_apply_bounds', '_bounds', '_log', '_path', '_timer')

    def __init__(self, path, bounds, timer, log, apply_bounds):
        self._path = path
        self._bounds = bounds
        self._timer = timer
        self._log = log
        self._apply_bounds = apply_bounds

    def reload(self):
        """Read the file and apply its bounds; keep them if it is bad."""
        answer = load(self._path)
        if isinstance(answer, result.Failure):
            self._log.error('settings', cause=answer.failure().detail)
            return
        bounds = answer.unwrap().bounds
        changed = bounds != self._bounds
        self._bounds = bounds
        self._apply_bounds(bounds)
        self._log.info('settings read again', changed=changed)

    async def run(self):
        """Reload the file when it changes without a signal."""
        known = get_signature(self._path)
        while True:
            await self._timer.sleep(CHECK_PERIOD_S)
            found = get_signature(self._path)
            if found != known:
                known = found
                self.reload()


def decode(text, path):
    """Return ``Result`` with the ``Settings`` in ``text``.

    The failure lists every fault found, not only the first one.
    """
    values = _parse_lines(text)
    faults = []
    settings = _decode_settings(values, faults)
    if faults:
        return result.Failure(errors.BrokenSettings(path, tuple(faults)))
    return result.Success(settings)


def _parse_lines(text):
    pairs = (line.partition('=') for line in text.splitlines())
    return {
        key.strip(): value.strip()
        for key, mark, value in pairs
        if mark and not key.lstrip().startswith('#')
    }


def _decode_settings(values, faults):
    read = _Reader(values, faults)
    readiness = read.address('listen.readiness')
    return Settings(
        name=read.text('node'),
        zone=read.text('zone'),
        region=read.text('region'),
        callers=read.address('listen.frontendAddress'),
        readiness=readiness,
        store=read.address('platform.address'),
        zone_peers=Address(readiness.host, read.first_port('portRange')),
        regions_by_zone={
            key.removeprefix('zones.'): value
            for key, value in values.items()
            if key.startswith('zones.')
        },
        bounds=_decode_bounds(read),
        max_descriptors=int(read.number('limits.maxFds', 4096)),
        memory_bytes=int(
            read.number('limits.memoryMb', MEMORY_MB) * 1024 * 1024
        ),
        unread_s=read.seconds('limits.unreadMs', UNREAD_S),
        link_mbps=read.number('limits.linkMbps', LINK_MBPS),
    )


def _decode_bounds(read):
    defaults = Bounds()
    return Bounds(
        drain_s=read.seconds('bounds.drainMs', defaults.drain_s),
        stop_s=read.number('bounds.graceS', defaults.stop_s),
        apply_s=read.seconds('bounds.configApplyMs', defaults.apply_s),
        revoke_s=read.seconds('bounds.revokeMs', defaults.revoke_s),
        retry_share=read.number(
            'bounds.retryBudgetRatio', defaults.retry_share
        ),
        retry_window_s=read.number(
            'bounds.budgetWindowS', defaults.retry_window_s
        ),
        retry_slack=read.number('bounds.budgetSlack', defaults.retry_slack),
        canary_share=read.number(
            'bounds.exposureShare', defaults.canary_share
        ),
        canary_slack=read.number(
            'bounds.exposureSlack', defaults.canary_slack
        ),
        session_s=read.number('bounds.sessionS', defaults.session_s),
        cold_factor=read.number('bounds.coldOvershoot', defaults.cold_factor),
        cold_slack=read.number('bounds.coldSlack', defaults.cold_slack),
        evacuate_s=read.seconds('bounds.evacuateMs', defaults.evacuate_s),
    )


class _Reader:
    """Reads single fields and appends what is wrong to ``faults``."""

    __slots__ = ('_faults', '_values')

    def __init__(self, values, faults):
        self._values = values
        self._faults = faults

    def text(self, key):
        value = self._values.get(key, '')
        if not value:
            self._faults.append(f'{key}: required field is missing')
        return value

    def number(self, key, default):
        """Return a number from 0 on; ``default`` if the field is missing."""
        value = self._values.get(key, '')
        if not value:
            return default
        try:
            found = float(value)
        except ValueError:
            found = -1.0
        if found >= 0:
            return found
        self._faults.append(f'{key}: expected a number from 0 on, {value!r}')
        return default

    def seconds(self, key, default_s):
        return self.number(key, default_s * 1000) / 1000

    def address(self, key):
        host, _, port = self.text(key).rpartition(':')
        if host and port.isdigit() and 0 < int(port) < 65536:
            return Address(host, int(port))
        self._faults.append(f'{key}: expected HOST:PORT')
        return Address('', 0)

    def first_port(self, key):
        """Return the first port of a ``FIRST,LAST`` range."""
        first, _, last = self.text(key).partition(',')
        if first.isdigit() and last.isdigit() and int(first) <= int(last):
            return int(first)
        self._faults.append(f'{key}: expected FIRST,LAST')
        return 0
