"""The operators' port: what a node knows, as JSON and as metrics."""

import json
from typing import Any

from circuits.web import Controller, Server

from daisyline.coordination.node_core import NodeCore
from daisyline.protocol import operator_views


class _Views(Controller):
    """The paths of the operators' port; they only read."""

    channel = '/'

    def __init__(self, core: NodeCore) -> None:
        """Remember whose state is shown."""
        super().__init__()
        self._core = core

    def status(self, *_path: str, **_query: str) -> str:
        """Show the node, its members and its rollouts."""
        return self._json(operator_views.status(self._core))

    def explain(self, *_path: str, kind: str = '', name: str = '') -> str:
        """Show the decisions about a call, target, zone or rollout."""
        return self._json(operator_views.explain(self._core, kind, name))

    def histograms(self, *_path: str, **_query: str) -> str:
        """Show the histograms in the form that merges exactly."""
        return self._json(operator_views.histograms(self._core))

    def metrics(self, *_path: str, **_query: str) -> bytes:
        """Show the metrics in the Prometheus text format."""
        self.response.headers['Content-Type'] = 'text/plain; version=0.0.4'
        return operator_views.metrics(self._core)

    def _json(self, shown: Any) -> str:
        self.response.headers['Content-Type'] = 'application/json'
        return json.dumps(shown)


def listen_to_operators(
    core: NodeCore, root: Any, host: str, port: int
) -> None:
    """Serve the operators' port on the loop.

    circuits.web serves it: its faults with pipelining and rewritten paths
    don't matter to a read-only port, where they would on the callers' one.
    """
    server = Server((host, port), channel='operators', display_banner=False)
    server.register(root)
    _Views(core).register(server)
