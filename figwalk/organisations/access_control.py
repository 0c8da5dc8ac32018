"""Decides which organisation a call belongs to, by the key that its caller sent."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from http import HTTPStatus

from figwalk.errors import CallerError
from figwalk.gateway.call import Call
from figwalk.gateway.gateway_metrics import GatewayMetrics
from figwalk.state.organisation_keys import digest_key
from figwalk.state.routing import Organisation, Route, RoutingConfig

INVALID_KEY_CODE = "invalid_api_key"


class KeyRefusal(StrEnum):
    """Why a call was refused for its key."""

    MISSING = "missing"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"


class InvalidKeyError(CallerError):
    """A call needs a key of an organisation and has none, or one that is not valid.

    Args:
        reason: Why the call was refused; callers are not told.
    """

    def __init__(self, reason: KeyRefusal) -> None:
        self._reason = reason
        super().__init__(
            HTTPStatus.UNAUTHORIZED, INVALID_KEY_CODE, "send a valid key of your organisation"
        )

    @property
    def reason(self) -> KeyRefusal:
        """Why the call was refused."""
        return self._reason


class AccessControl:
    """Authenticates callers, when their call arrives and again before each send.

    Args:
        routing: Returns the configuration in force, or None before the first one.
        metrics: Counts refused keys.
    """

    def __init__(
        self, routing: Callable[[], RoutingConfig | None], metrics: GatewayMetrics
    ) -> None:
        self._routing = routing
        self._metrics = metrics

    def authenticate(
        self, routing: RoutingConfig, route: Route, api_key: str
    ) -> Organisation | None:
        """Return the organisation of a caller, or None if a call without a valid key is allowed.

        Args:
            routing: The configuration in force.
            route: Route that the request matched.
            api_key: Key that the caller sent, or empty.

        Raises:
            InvalidKeyError: The route needs a key of an organisation, and the caller sent none.
        """
        if routing.organisations is None:
            return None
        organisation = routing.find_organisation(digest_key(api_key)) if api_key else None
        if organisation is None and not route.is_public:
            raise self._refuse(KeyRefusal.UNKNOWN if api_key else KeyRefusal.MISSING)
        return organisation

    def check_again(self, call: Call) -> str | None:
        """Authenticate a call that has waited, by the configuration now in force.

        Returns the name of its organisation, empty if it has none, or None if neither this
        configuration nor those that applied to it before have organisations.

        Raises:
            InvalidKeyError: The key was withdrawn, or the route needs one now.
        """
        routing = self._routing()
        if routing is None or routing.organisations is None:
            call.organisation = None
            return "" if call.has_organisations else None
        call.has_organisations = True
        if routing.version != call.config_version:
            request = call.request
            route = routing.match(request.header(b"host"), request.path) or call.route
            api_key = call.facts.api_key
            organisation = routing.find_organisation(digest_key(api_key)) if api_key else None
            if organisation is None and not route.is_public:
                raise self._refuse(KeyRefusal.WITHDRAWN)
            call.organisation = organisation
        return call.organisation.name if call.organisation is not None else ""

    def _refuse(self, reason: KeyRefusal) -> InvalidKeyError:
        self._metrics.record_refused_key(reason.value)
        return InvalidKeyError(reason)
