package org.cornelway.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelway.platform.KeyValue;
import org.cornelway.rpc.Document;
import org.cornelway.rpc.DocumentRevision;
import org.cornelway.rpc.RelayReply;
import org.cornelway.rpc.RelayRequest;

/**
 * Builds and applies the messages with which two processes synchronize their documents.
 * Thread-safe.
 */
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

    /** Builds a request with the revisions of all cached documents and with the given documents. */
    public RelayRequest newRequest(List<KeyValue> documents) {
        RelayRequest.Builder request = RelayRequest.newBuilder().setFrom(mSelf);
        request.addAllKnown(revisions());
        documents.forEach(document -> request.addDocuments(toMessage(document)));
        return request.build();
    }

    /**
     * Applies the documents of a peer's request. Returns the reply, which contains the documents
     * that the peer lacks.
     */
    public RelayReply handleRequest(RelayRequest request) {
        request.getDocumentsList().forEach(this::apply);
        Map<String, Long> peerRevisions = new HashMap<>();
        request.getKnownList().forEach(r -> peerRevisions.put(r.getKey(), r.getRevision()));
        request.getDocumentsList().forEach(r -> peerRevisions.put(r.getKey(), r.getRevision()));
        RelayReply.Builder reply = RelayReply.newBuilder().addAllKnown(revisions());
        for (KeyValue document : mCache.all()) {
            if (document.revision() > peerRevisions.getOrDefault(document.key(), 0L)) {
                reply.addDocuments(toMessage(document));
            }
        }
        return reply.build();
    }

    /** Applies the documents of a peer's reply; returns the documents that the peer still lacks. */
    public List<KeyValue> apply(RelayReply reply) {
        reply.getDocumentsList().forEach(this::apply);
        Map<String, Long> peerRevisions = new HashMap<>();
        reply.getKnownList().forEach(r -> peerRevisions.put(r.getKey(), r.getRevision()));
        return mCache.all().stream()
                .filter(
                        document ->
                                document.revision()
                                        > peerRevisions.getOrDefault(document.key(), 0L))
                .toList();
    }

    private void apply(Document document) {
        mCache.offer(
                new KeyValue(
                        document.getKey(),
                        document.getValue().toByteArray(),
                        document.getRevision()));
    }

    private List<DocumentRevision> revisions() {
        return mCache.all().stream()
                .map(
                        document ->
                                DocumentRevision.newBuilder()
                                        .setKey(document.key())
                                        .setRevision(document.revision())
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
