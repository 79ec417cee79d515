package org.cornelway.placement;

/**
 * What is bound to a backend server while a plan is made.
 *
 * <p>Not thread-safe; lives for one planning run.
 */
public final class ServerAllocation {
    private final ServerView mServer;
    private long mBoundBytes;
    private long mWarmBytes;
    private int mZoneReplicas;

    /**
     * @param server the server, with nothing bound
     */
    public ServerAllocation(ServerView server) {
        mServer = server;
    }

    /** The server. */
    public ServerView server() {
        return mServer;
    }

    /** Bytes of all bound models, loaded or not. */
    public long boundBytes() {
        return mBoundBytes;
    }

    /** Bytes of the models that are kept loaded. */
    public long warmBytes() {
        return mWarmBytes;
    }

    /** Replicas of the model at hand in this server's availability zone. */
    public int zoneReplicas() {
        return mZoneReplicas;
    }

    /** Bound bytes as a share of memory. */
    public double boundShare() {
        return (double) mBoundBytes / mServer.memoryBytes();
    }

    /** Whether the model could be kept loaded beside the other warm ones. */
    public boolean fitsWarm(long bytes) {
        return mWarmBytes + bytes <= mServer.memoryBytes();
    }

    void setZoneReplicas(int replicas) {
        mZoneReplicas = replicas;
    }

    void bind(long bytes, boolean warm) {
        mBoundBytes += bytes;
        if (warm) {
            mWarmBytes += bytes;
        }
    }
}
