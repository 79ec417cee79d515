package org.cornelway.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cornelway.internal.platform.HttpEndpoint;
import org.cornelway.platform.Member;
import org.cornelway.relay.DocumentSynchronizer;
import org.cornelway.relay.MemberTable;
import org.cornelway.time.Clock;

/**
 * Synchronizes documents with one random peer periodically, so that a process that cannot reach the
 * key-value service still receives changes.
 *
 * <p>Confined to the control thread.
 */
public final class PeerGossip {
    /** Mean time between two synchronizations while the key-value service is available. */
    private static final long NORMAL_PERIOD_MILLIS = 1_500;

    /**
     * Mean time between two synchronizations while the key-value service is unavailable, or while
     * no configuration is known.
     */
    private static final long URGENT_PERIOD_MILLIS = 250;

    private final MemberTable mMembers;
    private final List<Member> mSeeds = new ArrayList<>();
    private final DocumentSynchronizer mSynchronizer;
    private final Clock mClock;
    private final Random mRandom;
    private long mNextSynchronizationMillis;

    /**
     * @param seeds addresses of some entries, used while no peers are known
     */
    public PeerGossip(
            MemberTable members,
            List<HttpEndpoint> seeds,
            DocumentSynchronizer synchronizer,
            Clock clock,
            Random random) {
        mMembers = members;
        mSynchronizer = synchronizer;
        mClock = clock;
        mRandom = random;
        setSeeds(seeds);
    }

    /** Replaces the addresses that are used while no peers are known. */
    public void setSeeds(List<HttpEndpoint> seeds) {
        mSeeds.clear();
        for (HttpEndpoint seed : seeds) {
            String address = seed.toString();
            mSeeds.add(new ClusterMember(address, address, "", "", 0, 0).toMember());
        }
    }

    /**
     * Synchronizes with a random peer if a synchronization is due.
     *
     * @param urgent whether the shorter of the two periods applies
     */
    public void step(boolean urgent) {
        long now = mClock.nowMillis();
        if (now < mNextSynchronizationMillis) {
            return;
        }
        long period = urgent ? URGENT_PERIOD_MILLIS : NORMAL_PERIOD_MILLIS;
        mNextSynchronizationMillis = now + period / 2 + mRandom.nextInt((int) period);
        randomPeer().ifPresent(mSynchronizer::synchronize);
    }

    private Optional<Member> randomPeer() {
        List<Member> peers = mMembers.peers().isEmpty() ? mSeeds : mMembers.peers();
        return peers.isEmpty()
                ? Optional.empty()
                : Optional.of(peers.get(mRandom.nextInt(peers.size())));
    }
}
