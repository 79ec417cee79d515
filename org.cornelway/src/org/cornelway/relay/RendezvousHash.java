package org.cornelway.relay;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Weights for rendezvous hashing; callers select the members with the lowest weights. Stateless and
 * thread-safe.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the weight of a member for a key: a uniformly distributed 64-bit number that depends
     * only on these two.
     */
    public static long weight(String member, String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(key.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            byte[] hash = digest.digest(member.getBytes(StandardCharsets.UTF_8));
            return java.nio.ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
