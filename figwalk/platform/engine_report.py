"""Encodes requests for the reports of the platform's engines and decodes the reports."""

from __future__ import annotations

from figwalk.coordination.stream_pauses import EngineRun
from figwalk.errors import HttpError
from figwalk.platform.backend_codec import (
    is_leaving,
    read_request_limit,
    read_retry_after_s,
)
from figwalk.platform.json_fields import JsonFields, PlatformRecordError
from figwalk.prompt_agent.engine_watcher import EngineReport, EngineReportCodec
from figwalk.protocol.messages import Role
from figwalk.transport import Headers, HttpRequest

ROLES = {"prefill": Role.PREFILL, "decode": Role.DECODE}


class PlatformEngineReportCodec(EngineReportCodec):
    """Encodes requests for an engine's role, load and state, and decodes the reports."""

    def encode_report_request(self) -> HttpRequest:
        """Return the request for a report."""
        return HttpRequest("GET", "/report", [])

    def read_retry_after_s(self, status: int, headers: Headers) -> float:
        """Return the requested pause; see `EngineReportCodec.read_retry_after_s`."""
        return read_retry_after_s(status, headers)

    def decode_report(self, headers: Headers, body: bytes) -> EngineReport:
        """Decode a report; see `EngineReportCodec.decode_report`."""
        try:
            fields = JsonFields.parse(body, "report of an engine")
            return EngineReport(
                role=ROLES.get(fields.text("stage"), Role.MIXED),
                changing=fields.flag("busy"),
                born_ms=fields.integer("born", 0),
                running=fields.integer("running"),
                waiting=fields.integer("waiting"),
                kv_tokens=fields.integer("kv-total"),
                leaving=is_leaving(headers),
                requests_per_s=read_request_limit(headers),
                runs=_decode_runs(fields),
            )
        except PlatformRecordError as error:
            raise HttpError(str(error)) from error


def _decode_runs(fields: JsonFields) -> tuple[EngineRun, ...] | None:
    """Return the calls that an engine runs, or None without a list that can be read.

    An engine without such a list is served as before, so a malformed one is no reason to reject the
    whole report; the agent logs whether it gets a list.
    """
    runs = []
    for row in fields.items("runs") if fields.has("runs") else [None]:
        match row:
            case [str(request_id), _, int(events), *_] if events >= 0:
                runs.append(EngineRun(request_id, events))
            case _:
                return None
    return tuple(runs)
