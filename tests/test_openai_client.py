import openai
import pytest
from deployment_thread import MODEL, DeploymentThread

MESSAGES = [{"role": "user", "content": "Why fill a tyre to 75 percent?"}]


@pytest.fixture(scope="module")
def client(tmp_path_factory):
    with DeploymentThread(tmp_path_factory.mktemp("openai")) as running:
        host, port = running.address("entry-1", "callers")
        with openai.OpenAI(
            base_url=f"http://{host}:{port}/v1", api_key="unused", max_retries=0
        ) as client:
            yield client
    assert running.faults == []


def test_chat_whole_and_streamed(client):
    """Guards against an answer that the client can't parse, and a stream with different text."""
    whole = client.chat.completions.create(model=MODEL, messages=MESSAGES, max_tokens=20)
    assert whole.object == "chat.completion"
    assert whole.choices[0].finish_reason in {"stop", "length"}
    assert whole.usage.completion_tokens == 20
    options = {"include_usage": True}
    with client.chat.completions.create(
        model=MODEL, messages=MESSAGES, max_tokens=20, stream=True, stream_options=options
    ) as stream:
        chunks = list(stream)
    text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices)
    assert text == whole.choices[0].message.content
    assert len({chunk.id for chunk in chunks}) == 1
    assert chunks[-1].usage.completion_tokens == 20


def test_completions(client):
    """Guards against changes that work for chat completions but break plain completions."""
    whole = client.completions.create(model=MODEL, prompt="calcium mix", max_tokens=5)
    stream = client.completions.create(model=MODEL, prompt="calcium mix", max_tokens=5, stream=True)
    assert "".join(chunk.choices[0].text for chunk in stream) == whole.choices[0].text


def test_model_list(client):
    """Guards against a model list without the fields that the client's types require."""
    assert [(m.id, m.object, m.owned_by) for m in client.models.list()] == [
        (MODEL, "model", "ballast-llm")
    ]


def test_errors_raise_typed_client_exceptions(client):
    """Guards against an error body from which the client can't build its typed exception."""
    with pytest.raises(openai.NotFoundError) as missing:
        client.chat.completions.create(model="other", messages=MESSAGES)
    assert (missing.value.code, missing.value.type) == ("model_not_found", "invalid_request_error")
    with pytest.raises(openai.BadRequestError, match="max_tokens"):
        client.chat.completions.create(model=MODEL, messages=MESSAGES, max_tokens=-1)
