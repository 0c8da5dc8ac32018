from pathlib import Path

import capnp
import pytest

from figwalk.errors import MalformedFrameError
from figwalk.fairness.fair_share import TryKind
from figwalk.protocol import codec
from figwalk.protocol.codec import decode_message, encode_message
from figwalk.protocol.messages import (
    Call,
    ConnectionKind,
    End,
    Hello,
    LoadReport,
    OriginQuery,
    OriginReply,
    PromptOffer,
    Refusal,
    StreamBegun,
)

SAMPLES = [
    Hello(ConnectionKind.CALL, "entry-1", 2**64 - 1, "rajkot-a", "saurashtra"),
    Call(7, "r", "POST", "/x", [(b"a", b"b")], b"body", 30, stream=True),
    End(7, 12, True),
    End(7, 12, True, LoadReport(1, "llm-1", cache_stored=[1, 2**64 - 1])),
    LoadReport(1, "llm-1", model="m", adapter="a", version="2"),
    Refusal(9, "overloaded"),
    PromptOffer(1, "r", "a", [10], 250, 2000, 0),
    PromptOffer(1, "r", "a", [10], 250, 2000, 0, 5, 6, 2**32 - 1, 255, TryKind.DUE_REPEAT),
    OriginQuery(3, b"\x00\xff"),
    OriginReply(3),
    OriginReply(3, StreamBegun(b"\x00\xff", "lm", "v1.1", "b1", 2**53)),
]


@pytest.mark.parametrize("message", SAMPLES, ids=lambda m: type(m).__name__)
def test_message_round_trip(message):
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize("data", [b"", b"\x00" * 7, b"\xff" * 64, encode_message(SAMPLES[1])[:-9]])
def test_malformed_bytes_raise_malformed_frame_error(data):
    """Guards against an untyped decoder exception that ends the connection's task."""
    with pytest.raises(MalformedFrameError):
        decode_message(data)


def test_load_reports_of_releases_with_and_without_the_loaded_model_are_understood(tmp_path):
    """Guards against entries and agents of two releases that close each other's connections."""
    lines = Path(codec.__file__).with_name("peer.capnp").read_text().splitlines()
    report = lines.index("struct LoadReport {")
    added = [
        lines.index(line, report)
        for line in ("  model @20 :Text;", "  adapter @21 :Text;", "  version @22 :Text;")
    ]
    path = tmp_path / "peer.capnp"
    path.write_text("\n".join(line for at, line in enumerate(lines) if at not in added))
    earlier = capnp.SchemaParser().load(str(path)).Message
    sent = earlier.new_message(loadReport={"sequence": 1, "backend": "llm-1", "role": "mixed"})
    sent.loadReport.state = "serving"
    received = decode_message(sent.to_bytes())
    assert (received.model, received.adapter, received.version) == ("", "", "")
    current = LoadReport(1, "llm-1", running=3, model="m", adapter="a", version="2")
    with earlier.from_bytes(encode_message(current)) as reader:
        assert (reader.loadReport.backend, reader.loadReport.running) == ("llm-1", 3)
