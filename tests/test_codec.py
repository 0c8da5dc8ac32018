import pytest

from figwalk.errors import MalformedFrameError
from figwalk.fairness.fair_share import TryKind
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
