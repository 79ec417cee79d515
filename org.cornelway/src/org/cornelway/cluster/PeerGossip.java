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
 * Compares documents with one random peer now and then, so that a process which the key-value
 * service does not serve still learns what changed.
 *
 * <p>Confined to the control thread.
 */
public final class PeerGossip {
    /** Time between two exchanges while the service answers. */
    private static final long CALM_MILLIS = 1_500;

    /** Time between two exchanges while it does not, or nothing is known yet. */
    private static final long URGENT_MILLIS = 250;

    private final MemberTable mMembers;
    private final List<Member> mSeeds = new ArrayList<>();
    private final DocumentSynchronizer mExchanges;
    private final Clock mClock;
    private final Random mRandom;
    private long mNextMillis;

    /**
     * @param seeds addresses of some entries, to begin with
     */
    public PeerGossip(
            MemberTable members,
            List<HttpEndpoint> seeds,
            DocumentSynchronizer exchanges,
            Clock clock,
            Random random) {
        mMembers = members;
        mExchanges = exchanges;
        mClock = clock;
        mRandom = random;
        setSeeds(seeds);
    }

    /** Takes over other addresses to begin with. */
    public void setSeeds(List<HttpEndpoint> seeds) {
        mSeeds.clear();
        for (HttpEndpoint seed : seeds) {
            String address = seed.toString();
            mSeeds.add(new ClusterMember(address, address, "", "", 0).toMember());
        }
    }

    /** Exchanges with a peer if that is due. */
    public void step(boolean urgent) {
        long now = mClock.nowMillis();
        if (now < mNextMillis) {
            return;
        }
        long period = urgent ? URGENT_MILLIS : CALM_MILLIS;
        mNextMillis = now + period / 2 + mRandom.nextInt((int) period);
        peer().ifPresent(mExchanges::synchronize);
    }

    private Optional<Member> peer() {
        List<Member> peers = mMembers.peers().isEmpty() ? mSeeds : mMembers.peers();
        return peers.isEmpty()
                ? Optional.empty()
                : Optional.of(peers.get(mRandom.nextInt(peers.size())));
    }
}
