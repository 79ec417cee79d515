package org.cornelway.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.cornelway.config.Json;
import org.cornelway.exchange.Outcome;

/** Combines the events of a completion into one JSON response. Called by one thread at a time. */
final class BufferedCompletionSink extends ResponseSink {
    private final boolean mIsChat;
    private final Map<Integer, Choice> mChoices = new TreeMap<>();
    private ObjectNode mFirstEvent = Json.lenientMapper().createObjectNode();
    private JsonNode mUsage = Json.lenientMapper().nullNode();

    /** One of the alternative texts of a completion. */
    private static final class Choice {
        private final StringBuilder mText = new StringBuilder();
        private String mFinishReason = "";
    }

    /**
     * @param isChat whether the response has the format of a chat completion
     */
    BufferedCompletionSink(HttpServerResponse response, String requestId, boolean isChat) {
        super(response, requestId);
        mIsChat = isChat;
    }

    @Override
    public void onChunk(byte[] data) {
        try {
            JsonNode event = Json.lenientMapper().readTree(data);
            if (mFirstEvent.isEmpty() && event instanceof ObjectNode object) {
                mFirstEvent = object.deepCopy();
            }
            event.path("choices").forEach(this::addChoicePart);
            if (event.hasNonNull("usage")) {
                mUsage = event.get("usage");
            }
        } catch (IOException e) {
            throw new IllegalStateException("completion event is not valid JSON", e);
        }
    }

    @Override
    public boolean canReset() {
        return true;
    }

    @Override
    public void reset() {
        mChoices.clear();
        mFirstEvent = Json.lenientMapper().createObjectNode();
        mUsage = Json.lenientMapper().nullNode();
    }

    private void addChoicePart(JsonNode part) {
        Choice choice =
                mChoices.computeIfAbsent(part.path("index").asInt(0), index -> new Choice());
        JsonNode text = mIsChat ? part.path("delta").path("content") : part.path("text");
        choice.mText.append(text.asText(""));
        if (part.hasNonNull("finish_reason")) {
            choice.mFinishReason = part.get("finish_reason").asText();
        }
    }

    @Override
    public void onEnd(Outcome outcome) {
        if (!isSuccess(outcome)) {
            sendError(outcome);
            return;
        }
        if (isClosed()) {
            return;
        }
        setHead(200, "application/json");
        response()
                .putHeader(HttpHeaders.RESULT_CODE, Integer.toString(outcome.code().number()))
                .end(Buffer.buffer(Json.write(responseBody())));
    }

    private ObjectNode responseBody() {
        ObjectNode body = mFirstEvent;
        body.put("object", mIsChat ? "chat.completion" : "text_completion");
        ArrayNode choices = body.putArray("choices");
        mChoices.forEach((index, choice) -> choices.add(choiceBody(index, choice)));
        body.set("usage", mUsage);
        return body;
    }

    private ObjectNode choiceBody(int index, Choice choice) {
        ObjectNode node = Json.lenientMapper().createObjectNode().put("index", index);
        if (mIsChat) {
            node.putObject("message")
                    .put("role", "assistant")
                    .put("content", choice.mText.toString());
        } else {
            node.put("text", choice.mText.toString());
        }
        return node.put("finish_reason", choice.mFinishReason);
    }
}
