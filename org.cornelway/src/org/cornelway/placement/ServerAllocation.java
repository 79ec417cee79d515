package org.cornelway.placement;

/**
 * The models bound to one backend server so far in a planning run, as totals of their sizes.
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
     * Returns the number of replicas, in this server's availability zone, of the model being
     * placed. The planner sets it before each choice of a server.
     */
    public int zoneReplicas() {
        return mZoneReplicas;
    }

    /** Returns the bound bytes as a share of the server's memory. */
    public double boundShare() {
        return (double) mBoundBytes / mServer.memoryBytes();
    }

    /** Whether a model of the given size fits into memory with the models that are kept loaded. */
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
