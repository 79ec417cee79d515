package org.cornelway.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.models.HeldAdapters;
import org.cornelway.rpc.HeldModel;
import org.cornelway.rpc.HoldingsReply;
import org.cornelway.rpc.ServerHoldings;
import org.testng.annotations.Test;

/** Tests that entries learn what the engines hold from changes alone, also if replies are lost. */
public class HoldingsHistoryTest {
    private static final int ENGINES = 6;
    private static final int MODELS = 5;
    private static final int STEPS = 2_000;

    private final HoldingsHistory mHistory = new HoldingsHistory();

    /** What an entry knows from the replies that reached it. */
    private static final class Entry {
        private final Map<String, Set<String>> mKnown = new HashMap<>();
        private long mTerm;
        private long mVersion;

        void apply(HoldingsReply reply) {
            mTerm = reply.getTerm();
            mVersion = reply.getVersion();
            for (ServerHoldings server : reply.getServersList()) {
                mKnown.put(
                        server.getServer(),
                        server.getModelsList().stream()
                                .map(HeldModel::getModel)
                                .collect(Collectors.toSet()));
            }
        }
    }

    private static Map<ServerIncarnation, Map<String, HeldAdapters>> toHoldings(
            Map<String, Set<String>> models) {
        Map<ServerIncarnation, Map<String, HeldAdapters>> holdings = new HashMap<>();
        models.forEach(
                (id, names) ->
                        holdings.put(
                                new ServerIncarnation(id, 1),
                                names.stream()
                                        .collect(
                                                Collectors.toMap(
                                                        name -> name,
                                                        name -> new HeldAdapters()))));
        return holdings;
    }

    @Test
    public void onlyChangedServersAreSent() {
        Map<String, Set<String>> models = new HashMap<>();
        models.put("e1", Set.of("a"));
        models.put("e2", Set.of("b"));
        mHistory.update(1, 1, toHoldings(models));
        HoldingsReply first = mHistory.replyTo(0, 0);
        assertThat(first.getServersCount()).isEqualTo(2);
        models.put("e2", Set.of("c"));
        mHistory.update(1, 2, toHoldings(models));
        HoldingsReply second = mHistory.replyTo(1, first.getVersion());
        assertThat(second.getServersList())
                .extracting(ServerHoldings::getServer)
                .containsExactly("e2");
        assertThat(mHistory.replyTo(1, second.getVersion()).getChanged()).isFalse();
        assertThat(mHistory.replyTo(0, second.getVersion()).getServersCount()).isEqualTo(2);
    }

    @Test
    public void entriesKnowAllHoldingsAfterLostRepliesAndNewTerms() {
        Random random = new Random(1);
        Map<String, Set<String>> models = new HashMap<>();
        Entry entry = new Entry();
        long term = 1;
        for (int step = 0; step < STEPS; step++) {
            Set<String> names = new HashSet<>();
            for (int i = random.nextInt(3); i > 0; i--) {
                names.add("m" + random.nextInt(MODELS));
            }
            models.put("e" + random.nextInt(ENGINES), names);
            term += random.nextInt(50) == 0 ? 1 : 0;
            mHistory.update(term, step, toHoldings(models));
            HoldingsReply reply = mHistory.replyTo(entry.mTerm, entry.mVersion);
            boolean lost = random.nextInt(4) == 0;
            if (!lost) {
                entry.apply(reply);
                assertThat(entry.mKnown).as("step %d", step).isEqualTo(models);
            }
        }
    }
}
