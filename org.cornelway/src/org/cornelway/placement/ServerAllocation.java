package org.cornelway.placement;

/**
 * Total sizes of the models that a planning run has bound to one backend server so far.
 *
 * <p>Not thread-safe; lives for one planning run.
 */
public final class ServerAllocation {
    private final ServerView mServer;
    private long mBoundBytes;
    private long mWarmBytes;
    private int mZoneReplicas;

    /**
     * @param server the server; no model is bound to it at first
     */
    public ServerAllocation(ServerView server) {
        mServer = server;
    }

    /** Returns the server. */
    public ServerView server() {
        return mServer;
    }

    /** Returns the size of all bound models in bytes, loaded or not. */
    public long boundBytes() {
        return mBoundBytes;
    }

    /** Returns the size of the models that are kept loaded, in bytes. */
    public long warmBytes() {
        return mWarmBytes;
    }

    /**
     * Returns how many replicas of the model being placed are already bound in this server's
     * availability zone. The planner sets the number before each choice of a server.
     */
    public int zoneReplicas() {
        return mZoneReplicas;
    }

    /** Returns the bound bytes as a share of the server's memory; can be above 1. */
    public double boundShare() {
        return (double) mBoundBytes / mServer.memoryBytes();
    }

    /**
     * Whether a model of the given size, in bytes, fits into memory beside the models that are kept
     * loaded.
     */
    public boolean fitsWarm(long bytes) {
        return mWarmBytes + bytes <= mServer.memoryBytes();
    }

    void setZoneReplicas(int replicas) {
        mZoneReplicas = replicas;
    }

    /**
     * Adds a model to the allocation.
     *
     * @param warm whether the model is kept loaded
     */
    void bind(long bytes, boolean warm) {
        mBoundBytes += bytes;
        if (warm) {
            mWarmBytes += bytes;
        }
    }
}
