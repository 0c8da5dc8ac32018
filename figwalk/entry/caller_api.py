"""HTTP interface for callers."""

from __future__ import annotations

from collections.abc import Callable

from figwalk.entry.model_calls import ModelCalls
from figwalk.entry.service_calls import SERVICES_PATH, ServiceCalls
from figwalk.errors import CallerError
from figwalk.protocol.chat import CHAT_PATH, COMPLETIONS_PATH, MODELS_PATH
from figwalk.state.configuration import Configuration
from figwalk.transport import HttpRequest, Responder

HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"


class CallerApi:
    """Dispatches callers' requests by path.

    Args:
        models: Answers model calls.
        services: Answers calls to plain services.
        configuration: Published configuration.
        is_ready: Returns whether the load balancer may send new requests.
    """

    def __init__(
        self,
        models: ModelCalls,
        services: ServiceCalls,
        configuration: Configuration,
        is_ready: Callable[[], bool],
    ) -> None:
        self._models = models
        self._services = services
        self._configuration = configuration
        self._is_ready = is_ready

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request.

        Raises:
            CallerError: The request is not valid.
        """
        path = request.path
        if path in {CHAT_PATH, COMPLETIONS_PATH}:
            _require_method(request, "POST")
            await self._models.serve(request, responder)
        elif path.startswith(SERVICES_PATH):
            await self._services.serve(request, responder)
        elif path == MODELS_PATH:
            _require_method(request, "GET")
            await self._list_models(responder)
        elif path == HEALTH_PATH:
            await responder.send_json(200, {"status": "ok"})
        elif path == READY_PATH:
            ready = self._is_ready()
            await responder.send_json(200 if ready else 503, {"ready": ready})
        else:
            raise CallerError(404, "not_found", f"there is nothing at {path!r}")

    async def _list_models(self, responder: Responder) -> None:
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": name}
            for name, service in sorted(self._configuration.services().items())
            for model in service.models
        ]
        await responder.send_json(200, {"object": "list", "data": models})


def _require_method(request: HttpRequest, method: str) -> None:
    if request.method != method:
        raise CallerError(405, "method_not_allowed", f"use {method} for {request.path}")
