"""Encodes requests to the platform's backend servers and decodes their responses."""

from __future__ import annotations

import re
from http import HTTPStatus

from figwalk.coordination.backend_tracker import ReportedLoad
from figwalk.errors import HttpError
from figwalk.gateway.codecs import AnswerFacts, BackendCodec, CallStep, KvSource, SendPlan
from figwalk.platform import headers as names
from figwalk.platform.json_fields import JsonFields, PlatformRecordError, is_count
from figwalk.state.backend_directory import BackendEntry
from figwalk.timer import MS_PER_S
from figwalk.transport import Headers, HttpRequest, find_header, strip_hop_by_hop

_LOAD_FIELDS = 3
_LOAD_FIELDS_WITH_SLOWDOWN = 4
_USUAL_SLOWDOWN = 100  # Percent.
# Accepted form of Retry-After and of a request limit. Any other, such as a date, a sign or more
# than 12 digits before or after the point, counts as if the header were absent.
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


class PlatformBackendCodec(BackendCodec):
    """Encodes and decodes the headers between figwalk and backend servers."""

    def encode(self, request: HttpRequest, plan: SendPlan) -> HttpRequest:
        """Return the request to send for a caller's request; see `BackendCodec.encode`."""
        removed = names.SYSTEM_HEADERS
        if plan.organisation is not None:
            removed |= names.ORGANISATION_HEADERS
        headers = [
            (name, value)
            for name, value in strip_hop_by_hop(request.headers, keep_host=True)
            if name not in removed and not (plan.resume_after and name == names.LAST_EVENT_ID)
        ]
        left_ms = max(1, int(plan.left_s * MS_PER_S))
        headers.append((names.DEADLINE_MS, str(left_ms).encode()))
        headers.append((names.EXPECTED_BACKEND, plan.backend.backend.encode()))
        headers += _encode_organisation(plan.organisation)
        if plan.resume_after:
            headers.append((names.LAST_EVENT_ID, plan.resume_after.encode("latin-1")))
        if plan.engine_priority is not None:
            headers.append((names.URGENCY, str(plan.engine_priority).encode()))
        if plan.step is CallStep.PREFILL:
            headers.append((names.STEP, b"prefill"))
        if plan.kv_source is not None:
            source = f"{plan.kv_source.backend.address}/{plan.kv_source.handle}"
            headers.append((names.KV_SOURCE, source.encode()))
        if plan.donor is not None:
            headers.append((names.KV_FETCH, str(plan.donor.address).encode()))
        return HttpRequest(request.method, request.target, headers, request.body)

    def is_own_response(self, call_id: str, headers: Headers) -> bool:
        """Return whether the response has the id of the call."""
        return find_header(headers, names.REQUEST_ID) == call_id

    def decode_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Decode the headers of a response; see `BackendCodec.decode_answer`."""
        # The address now belongs to another backend server. It did not run the call, and the load
        # and departure in its response are its own, not those of the expected backend server.
        is_misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
        return AnswerFacts(
            not_run=is_misdirected or bool(find_header(headers, names.NOT_RUN)),
            signed=bool(find_header(headers, names.SIGNATURE)),
            load=None if is_misdirected else _parse_load(find_header(headers, names.LOAD)),
            leaving=not is_misdirected and is_leaving(headers),
            closed_s=read_retry_after_s(status, headers),
            requests_per_s=None if is_misdirected else read_request_limit(headers),
        )

    def decode_prefill(self, backend: BackendEntry, body: bytes) -> KvSource:
        """Decode the location of a prompt's KV cache; see `BackendCodec.decode_prefill`."""
        try:
            fields = JsonFields.parse(body, "answer to a prefill")
            return KvSource(backend, fields.token("transfer-handle"), fields.integer("tokens"))
        except PlatformRecordError as error:
            raise HttpError(str(error)) from error

    def encode_release(self, source: KvSource, organisation: str) -> HttpRequest:
        """Return the request that frees a KV cache; see `BackendCodec.encode_release`."""
        headers = _encode_organisation(organisation)
        return HttpRequest("DELETE", f"/kv-handle/{source.handle}", headers)


def _encode_organisation(name: str | None) -> Headers:
    return [(names.ORGANISATION, name.encode())] if name else []


def is_leaving(headers: Headers) -> bool:
    """Return whether the headers of a response announce that the backend server will leave."""
    return find_header(headers, names.LEAVING).strip() == "1"


def read_retry_after_s(status: int, headers: Headers) -> float:
    """Return the seconds for which a backend server asks for no calls; 0 if it does not."""
    text = find_header(headers, names.RETRY_AFTER).strip()
    if status != HTTPStatus.SERVICE_UNAVAILABLE or not _DECIMAL.fullmatch(text):
        return 0.0
    return float(text)


def read_request_limit(headers: Headers) -> float | None:
    """Return the requests a second that a backend server takes from all machines, or None."""
    text = find_header(headers, names.REQUEST_LIMIT).strip()
    return float(text) if _DECIMAL.fullmatch(text) else None


def _parse_load(text: str) -> ReportedLoad | None:
    numbers = text.split(",")
    if not all(map(is_count, numbers)):
        return None
    counts = list(map(int, numbers))
    if len(counts) == _LOAD_FIELDS:
        return ReportedLoad(*counts)
    if len(counts) == _LOAD_FIELDS_WITH_SLOWDOWN:
        return ReportedLoad(*counts[:_LOAD_FIELDS], slowdown=counts[-1] / _USUAL_SLOWDOWN)
    return None
