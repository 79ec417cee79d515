package org.cornelway.relay;

/**
 * Keys of the documents in the key-value service that are cached by agents and by the entries that
 * call agents.
 */
public final class DocumentKeys {
    /** Prefix of the documents that are relayed. */
    public static final String PREFIX = "cornelway/documents/";

    /** Key of the configuration in force. */
    public static final String CONFIGURATION = PREFIX + "configuration";

    /** Key of the placement of shard 0. */
    public static final String PLACEMENT = PREFIX + "placement/0";

    private DocumentKeys() {}
}
