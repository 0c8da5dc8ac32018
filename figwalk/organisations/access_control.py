"""Decides which organisation a call belongs to, by the key that its caller sent."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from http import HTTPStatus

from figwalk.errors import CallerError, RefusalError
from figwalk.events import Event, EventLog
from figwalk.gateway.call import Call
from figwalk.gateway.gateway_metrics import GatewayMetrics
from figwalk.organisations.config_confirmation import ConfigConfirmation
from figwalk.state.organisation_keys import digest_key
from figwalk.state.routing import Organisation, Route, RoutingConfig

INVALID_KEY_CODE = "invalid_api_key"
UNCONFIRMED_RETRY_MS = 500


class KeyRefusal(StrEnum):
    """Why a call was refused for its key."""

    MISSING = "missing"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"
    UNCONFIRMED = "unconfirmed"


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
        confirmation: Knows whether the configuration is confirmed as strict revocation demands.
        metrics: Counts refused keys.
        events: Event log.
    """

    def __init__(
        self,
        routing: Callable[[], RoutingConfig | None],
        confirmation: ConfigConfirmation,
        metrics: GatewayMetrics,
        events: EventLog,
    ) -> None:
        self._routing = routing
        self._confirmation = confirmation
        self._metrics = metrics
        self._events = events
        self._key_digests: frozenset[bytes] = frozenset()

    def record_adopted(self, routing: RoutingConfig) -> None:
        """Record the organisations and keys of a configuration that takes effect, in numbers."""
        known, digests = self._key_digests, frozenset(routing.key_digests)
        organisations = len(routing.organisations or ())
        self._metrics.record_organisations(organisations=organisations, keys=len(digests))
        if routing.organisations is not None or known:
            self._events.record(
                Event.ORGANISATIONS_CHANGED,
                version=routing.version,
                organisations=organisations,
                keys=len(digests),
                added=len(digests - known),
                withdrawn=len(known - digests),
            )
        self._key_digests = digests

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
            RefusalError: The route needs a key, and the store has not confirmed for too long which
                keys are valid.
        """
        if routing.organisations is None:
            return None
        return self._identify(routing, route, api_key, KeyRefusal.UNKNOWN)

    def check_again(self, call: Call) -> str | None:
        """Authenticate a call that has waited, by the configuration now in force.

        Returns the name of its organisation, empty if it has none, or None if neither this
        configuration nor those that applied to it before have organisations.

        Raises:
            InvalidKeyError: The key was withdrawn, or the route needs one now.
            RefusalError: As for `authenticate`.
        """
        routing = self._routing()
        if routing is None or routing.organisations is None:
            call.organisation = None
            return "" if call.has_organisations else None
        if routing.version == call.config_version:
            self._check_confirmed(call.route)
        else:
            request = call.request
            route = routing.match(request.header(b"host"), request.path) or call.route
            reason = KeyRefusal.WITHDRAWN if call.has_organisations else KeyRefusal.UNKNOWN
            call.has_organisations = True
            call.organisation = self._identify(routing, route, call.facts.api_key, reason)
        return call.organisation.name if call.organisation is not None else ""

    def _identify(
        self, routing: RoutingConfig, route: Route, api_key: str, reason: KeyRefusal
    ) -> Organisation | None:
        self._check_confirmed(route)
        organisation = routing.find_organisation(digest_key(api_key)) if api_key else None
        if organisation is not None or route.is_public:
            return organisation
        reason = reason if api_key else KeyRefusal.MISSING
        self._metrics.record_refused_key(reason.value)
        raise InvalidKeyError(reason)

    def _check_confirmed(self, route: Route) -> None:
        if route.is_public or not self._confirmation.is_too_old:
            return
        self._metrics.record_refused_key(KeyRefusal.UNCONFIRMED.value)
        raise RefusalError(
            "keys_unconfirmed",
            "the store has not confirmed the valid keys in time",
            retry_after_ms=UNCONFIRMED_RETRY_MS,
        )
