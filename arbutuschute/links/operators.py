"""Link to operators: a router's status, histograms and explanations."""

from aiohttp import web
import msgspec

from arbutuschute import agreement
from arbutuschute.contracts import fold
from arbutuschute import errors
from arbutuschute.policy import choice
from arbutuschute.policy import rollout


class OperatorsLink:
    """HTTP handlers for operators, served on a separate address."""

    __slots__ = ('_environment',)

    def __init__(self, environment):
        self._environment = environment

    def make_app(self):
        """Return the aiohttp application for operators."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/status', self.handle_status),
                web.get('/histograms', self.handle_histograms),
                web.get('/explain', self.handle_explain),
            ]
        )
        return app

    async def handle_status(self, request):
        """Return the state of this instance."""
        environment = self._environment
        now = environment.timer.now()
        configuration = environment.configuration
        return _make_response(
            {
                'instance': environment.name,
                'incarnation': environment.incarnation,
                'zone': environment.settings.zone,
                'region': environment.settings.region,
                'state': environment.state,
                'offset': configuration.offset,
                'digest': fold.compute_digest(configuration),
                'confirmed': agreement.is_confirmed(environment),
                'peers': sorted(
                    m.name for m in environment.membership.find_live(now)
                ),
                'members': sorted(environment.membership.members),
                'silent': environment.membership.find_silent(now),
                'orders_fence': environment.orders.find_fence(),
                'halted': sorted(
                    name
                    for name, progress in configuration.rollouts.items()
                    if progress.halted
                    or (name, progress.revision) in environment.halts
                ),
                'leaving_servers': sorted(
                    server.name
                    for server in environment.fleet.servers.values()
                    if server.leaving
                ),
                'in_flight': environment.admission.in_flight,
                'unsettled_bills': environment.bill_replicator.unsettled,
                'kept_bills': len(environment.bill_replicas),
                'counters': dict(environment.metrics.totals),
            }
        )

    async def handle_histograms(self, request):
        """Return percentiles for each organisation and class."""
        return _make_response(self._environment.metrics.summarize())

    async def handle_explain(self, request):
        """Return the versions and servers that a request may get, and why."""
        environment = self._environment
        name = request.query.get('profile', '')
        published = environment.configuration.profiles.get(name)
        if published is None or published.document is None:
            failure = errors.UnknownProfile(name)
            return _make_response(
                errors.describe_problem(failure), failure.http_status
            )
        profile = published.document
        organisation = request.query.get('organisation')
        key = request.query.get('session', '')
        return _make_response(
            {
                'profile': name,
                'revision': published.revision,
                'allowed': organisation in profile.organisations,
                'confirmed': agreement.is_confirmed(environment),
                'models': [
                    self._explain_model(profile, model, key)
                    for model in profile.find_models()
                ],
                'service': profile.service,
            }
        )

    def _explain_model(self, profile, model, key):
        environment = self._environment
        configuration = environment.configuration
        version = rollout.choose_version(profile, model, configuration, key)
        servers = (
            environment.fleet.find_version(model, version.version)
            if version
            else []
        )
        return {
            'model': model,
            'version': version.version if version else None,
            'withdrawn': sorted(
                entry.version
                for entry in profile.versions
                if entry.model == model
                and configuration.is_withdrawn(model, entry.version)
            ),
            'shares': {
                f'{rule.old} -> {rule.new}': rollout.get_share(
                    profile, rule, configuration
                )
                for rule in profile.replacements
                if rule.model == model
            },
            'servers': {
                server.name: round(choice.estimate_load(server), 3)
                for server in servers
            },
        }


def _make_response(document, status=200):
    return web.Response(
        body=msgspec.json.encode(document),
        content_type='application/json',
        status=status,
    )
