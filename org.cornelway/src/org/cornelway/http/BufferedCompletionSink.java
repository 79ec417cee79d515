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

/** Puts a completion's events together into one JSON answer. Called by one thread at a time. */
final class BufferedCompletionSink extends ResponseSink {
    private final boolean mChat;
    private final Map<Integer, Choice> mChoices = new TreeMap<>();
    private ObjectNode mFirst = Json.mapper().createObjectNode();
    private JsonNode mUsage = Json.mapper().nullNode();

    /** One of the answer's alternatives. */
    private static final class Choice {
        private final StringBuilder mText = new StringBuilder();
        private String mFinishReason = "";
    }

    /**
     * @param chat whether the answer has the chat form
     */
    BufferedCompletionSink(HttpServerResponse response, String requestId, boolean chat) {
        super(response, requestId);
        mChat = chat;
    }

    @Override
    public void chunk(byte[] data) {
        try {
            JsonNode event = Json.mapper().readTree(data);
            if (mFirst.isEmpty() && event instanceof ObjectNode object) {
                mFirst = object.deepCopy();
            }
            event.path("choices").forEach(this::add);
            if (event.hasNonNull("usage")) {
                mUsage = event.get("usage");
            }
        } catch (IOException e) {
            throw new IllegalStateException("event is not JSON", e);
        }
    }

    @Override
    public boolean canReset() {
        return true;
    }

    @Override
    public void reset() {
        mChoices.clear();
        mFirst = Json.mapper().createObjectNode();
        mUsage = Json.mapper().nullNode();
    }

    private void add(JsonNode part) {
        Choice choice =
                mChoices.computeIfAbsent(part.path("index").asInt(0), index -> new Choice());
        JsonNode text = mChat ? part.path("delta").path("content") : part.path("text");
        choice.mText.append(text.asText(""));
        if (part.hasNonNull("finish_reason")) {
            choice.mFinishReason = part.get("finish_reason").asText();
        }
    }

    @Override
    public void end(Outcome ending) {
        if (!isSuccess(ending)) {
            sendError(ending);
            return;
        }
        if (isClosed()) {
            return;
        }
        writeHead(200, "application/json");
        response()
                .putHeader(HttpHeaders.RESULT_CODE, Integer.toString(ending.code().number()))
                .end(Buffer.buffer(Json.write(answer())));
    }

    private ObjectNode answer() {
        ObjectNode answer = mFirst;
        answer.put("object", mChat ? "chat.completion" : "text_completion");
        ArrayNode choices = answer.putArray("choices");
        mChoices.forEach((index, choice) -> choices.add(choice(index, choice)));
        answer.set("usage", mUsage);
        return answer;
    }

    private ObjectNode choice(int index, Choice choice) {
        ObjectNode node = Json.mapper().createObjectNode().put("index", index);
        if (mChat) {
            node.putObject("message")
                    .put("role", "assistant")
                    .put("content", choice.mText.toString());
        } else {
            node.put("text", choice.mText.toString());
        }
        return node.put("finish_reason", choice.mFinishReason);
    }
}
