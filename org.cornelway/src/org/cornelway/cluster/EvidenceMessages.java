package org.cornelway.cluster;

import java.util.List;
import org.cornelway.directory.ServerIncarnation;
import org.cornelway.dispatch.CrashEvidence;
import org.cornelway.dispatch.PartCrash;

/** Translates evidence on parts of prompts that crash servers. Stateless and thread-safe. */
final class EvidenceMessages {
    private EvidenceMessages() {}

    static org.cornelway.rpc.CrashEvidence toMessage(CrashEvidence.Snapshot evidence) {
        org.cornelway.rpc.CrashEvidence.Builder message =
                org.cornelway.rpc.CrashEvidence.newBuilder()
                        .addAllAnsweredParts(evidence.cleared());
        evidence.crashes().forEach(crash -> message.addCrashes(toMessage(crash)));
        return message.build();
    }

    private static org.cornelway.rpc.PartCrash toMessage(PartCrash crash) {
        return org.cornelway.rpc.PartCrash.newBuilder()
                .setPart(crash.part())
                .setPosition(crash.position())
                .setServer(crash.server().id())
                .setBorn(crash.server().startedMillis())
                .setSentMillis(crash.sentMillis())
                .setCrashedMillis(crash.crashedMillis())
                .build();
    }

    /** The version of the result is 0, since the message has none. */
    static CrashEvidence.Snapshot fromMessage(org.cornelway.rpc.CrashEvidence message) {
        List<PartCrash> crashes =
                message.getCrashesList().stream().map(EvidenceMessages::fromMessage).toList();
        return new CrashEvidence.Snapshot(0, crashes, message.getAnsweredPartsList());
    }

    private static PartCrash fromMessage(org.cornelway.rpc.PartCrash message) {
        return new PartCrash(
                message.getPart(),
                message.getPosition(),
                new ServerIncarnation(message.getServer(), message.getBorn()),
                message.getSentMillis(),
                message.getCrashedMillis());
    }
}
