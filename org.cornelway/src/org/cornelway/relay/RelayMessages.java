package org.cornelway.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelway.platform.KeyValue;
import org.cornelway.rpc.Document;
import org.cornelway.rpc.DocumentRevision;
import org.cornelway.rpc.RelayReply;
import org.cornelway.rpc.RelayRequest;

/** Computes what two processes tell each other about their documents. Thread-safe. */
public final class RelayMessages {
    private final String mSelf;
    private final DocumentCache mCache;

    /**
     * @param self this process's instance id
     */
    public RelayMessages(String self, DocumentCache cache) {
        mSelf = self;
        mCache = cache;
    }

    /** A request that offers revisions and, if given, documents. */
    public RelayRequest newRequest(List<KeyValue> documents) {
        RelayRequest.Builder request = RelayRequest.newBuilder().setFrom(mSelf);
        request.addAllKnown(known());
        documents.forEach(document -> request.addDocuments(toMessage(document)));
        return request.build();
    }

    /** Takes over what a peer sent, and answers with what it lacks. */
    public RelayReply answer(RelayRequest request) {
        request.getDocumentsList().forEach(this::apply);
        Map<String, Long> theirs = new HashMap<>();
        request.getKnownList().forEach(r -> theirs.put(r.getKey(), r.getRevision()));
        request.getDocumentsList().forEach(r -> theirs.put(r.getKey(), r.getRevision()));
        RelayReply.Builder reply = RelayReply.newBuilder().addAllKnown(known());
        for (KeyValue held : mCache.all()) {
            if (held.revision() > theirs.getOrDefault(held.key(), 0L)) {
                reply.addDocuments(toMessage(held));
            }
        }
        return reply.build();
    }

    /** Takes over a reply; returns the documents that the peer still lacks. */
    public List<KeyValue> apply(RelayReply reply) {
        reply.getDocumentsList().forEach(this::apply);
        Map<String, Long> theirs = new HashMap<>();
        reply.getKnownList().forEach(r -> theirs.put(r.getKey(), r.getRevision()));
        return mCache.all().stream()
                .filter(held -> held.revision() > theirs.getOrDefault(held.key(), 0L))
                .toList();
    }

    private void apply(Document document) {
        mCache.offer(
                new KeyValue(
                        document.getKey(),
                        document.getValue().toByteArray(),
                        document.getRevision()));
    }

    private List<DocumentRevision> known() {
        return mCache.all().stream()
                .map(
                        held ->
                                DocumentRevision.newBuilder()
                                        .setKey(held.key())
                                        .setRevision(held.revision())
                                        .build())
                .toList();
    }

    private static Document toMessage(KeyValue document) {
        return Document.newBuilder()
                .setKey(document.key())
                .setRevision(document.revision())
                .setValue(com.google.protobuf.ByteString.copyFrom(document.value()))
                .build();
    }
}
